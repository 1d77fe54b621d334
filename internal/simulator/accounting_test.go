package simulator

import (
	"testing"
	"time"

	"gullrudder/internal/controller/accounting"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/wire/workerapi"
)

// phase is the phase of a job as the simulator observes it.
type phase int

const (
	waitingForMachine phase = iota // an uncompleted task is on no machine
	fetchingImage
	runningOnMachine
	retrying  // all uncompleted tasks have failed before
	completed // all tasks are done
	phaseCount
)

// String returns the name of the phase for failure messages.
func (p phase) String() string {
	return [phaseCount]string{"waiting for a machine", "fetching the image", "running", "retrying", "completed"}[p]
}

// phaseRecord holds the time that the simulator observed a job in each phase, the number of changes into and out of each phase, and the
// indexes of the tasks with a failed attempt.
type phaseRecord struct {
	phase   phase
	spent   [phaseCount]time.Duration
	changes [phaseCount]int
	failed  map[int]bool
}

// currentPhase returns the phase of a job from the state of its tasks on all machines.
func (sim *Cluster) currentPhase(job *observedJob, record *phaseRecord) phase {
	if len(job.completedTasks) == job.spec.Tasks {
		return completed
	}
	current, failedTasks := runningOnMachine, 0
	for index := range job.spec.Tasks {
		if job.completedTasks[index] {
			continue
		}
		state := sim.observeTask(jobs.TaskID{JobID: job.spec.ID, Index: index}, record)
		if record.failed[index] {
			failedTasks++
		}
		switch {
		case state == "":
			current = waitingForMachine
		case state == workerapi.StateFetching && current == runningOnMachine:
			current = fetchingImage
		}
	}
	if failedTasks == job.spec.Tasks-len(job.completedTasks) {
		return retrying
	}
	return current
}

// observeTask returns the state of a task on the machines, empty if it is on none. It records whether an attempt of the task has failed.
func (sim *Cluster) observeTask(taskID jobs.TaskID, record *phaseRecord) workerapi.TaskState {
	state := workerapi.TaskState("")
	for _, worker := range sim.Cloud.runningMachines() {
		task := worker.tasks[taskID.String()]
		switch {
		case task == nil:
		case task.state != workerapi.StateExited:
			state = task.state
		case task.reason != workerapi.ReasonDone:
			record.failed[taskID.Index] = true
		}
	}
	return state
}

// recordPhases records the phases of all jobs as the simulator observes them.
func (sim *Cluster) recordPhases(records map[string]*phaseRecord) {
	const interval = 20 * time.Millisecond
	var observe func()
	observe = func() {
		for jobID, job := range sim.checker.jobs {
			record := records[jobID]
			if record == nil {
				record = &phaseRecord{failed: map[int]bool{}}
				records[jobID] = record
			}
			if job.finishedAt.IsZero() && job.cancelledAt.IsZero() {
				record.add(sim.currentPhase(job, record), interval)
			}
		}
		sim.At(interval, observe)
	}
	observe()
}

// add records that the job was in a phase for a duration.
func (r *phaseRecord) add(observed phase, duration time.Duration) {
	if observed != r.phase {
		r.changes[observed]++
		r.changes[r.phase]++
		r.phase = observed
	}
	r.spent[observed] += duration
}

// timeAccount returns the leader's time accounting of a job, by reason and in total. The map is nil if the leader does not respond.
func (sim *Cluster) timeAccount(jobID string) (spent map[string]time.Duration, sum time.Duration) {
	explanation, ok := sim.explainWithin(5*time.Millisecond, jobID)
	if !ok {
		return nil, 0
	}
	spent = map[string]time.Duration{}
	for _, share := range explanation.TimeShares {
		duration := time.Duration(share.Milliseconds) * time.Millisecond
		spent[share.Reason] += duration
		sum += duration
	}
	return spent, sum
}

// The leader's time accounting of a job must match the phases that the simulator observed. Each change of phase may differ by the delay of
// a heartbeat, an observation and a slow message.
func TestTimeAccountingMatchesSimulation(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		t.Run(seedName(seed), func(t *testing.T) {
			checkTimeAccounting(t, seed)
		})
	}
}

// checkTimeAccounting runs TestTimeAccountingMatchesSimulation with one seed.
func checkTimeAccounting(t *testing.T, seed uint64) {
	t.Helper()
	options := testOptions()
	options.LossShare, options.LateShare = 0, 0
	sim := New(seed, options, testLogger())
	records := map[string]*phaseRecord{}
	sim.recordPhases(records)
	for i := range 30 {
		sim.At(time.Duration(i)*2*time.Second, sim.Users.SubmitRandom)
	}
	sim.Run(4 * time.Minute)
	expectNoViolations(t, sim)
	// Allowed for each change of phase: a heartbeat, an observation and a slow message.
	tolerance := options.HeartbeatInterval*5/4 + 1100*time.Millisecond
	checked := 0
	for jobID, job := range sim.checker.jobs {
		if job.finishedAt.IsZero() || job.cancelRequested || job.spec.IsService {
			continue
		}
		spent, sum := sim.timeAccount(jobID)
		if spent == nil {
			t.Fatalf("time accounting of %s: got none, want one", jobID)
		}
		checkPhases(t, jobID, accountedPhases(spent, sum), records[jobID], tolerance)
		checked++
	}
	if checked < 10 {
		t.Errorf("jobs whose time accounting was checked: got %d, want at least 10", checked)
	}
}

// accountedPhases converts a job's time accounting from reasons to phases.
func accountedPhases(spent map[string]time.Duration, sum time.Duration) [phaseCount]time.Duration {
	accounted := [phaseCount]time.Duration{
		fetchingImage:    spent[accounting.FetchingImage.String()],
		runningOnMachine: spent[accounting.Running.String()],
		retrying: spent[accounting.AttemptFailed.String()] + spent[accounting.MachineLost.String()] +
			spent[accounting.Preempted.String()],
		completed: spent[accounting.NotDurable.String()],
	}
	accounted[waitingForMachine] = sum - accounted[fetchingImage] - accounted[runningOnMachine] - accounted[retrying] - accounted[completed]
	return accounted
}

// checkPhases checks that the accounted time of each phase matches the observed time, within the tolerance for each change of phase.
func checkPhases(t *testing.T, jobID string, accounted [phaseCount]time.Duration, observed *phaseRecord, tolerance time.Duration) {
	t.Helper()
	for p := range phaseCount {
		// Not comparable: the simulator counts until the user learned that the job is done, the leader until the result is durable.
		if p == completed {
			continue
		}
		limit := tolerance * time.Duration(max(observed.changes[p], 1))
		if difference := (accounted[p] - observed.spent[p]).Abs(); difference > limit {
			t.Errorf("%s, time spent %v, with %d changes of phase: got %v, want %v within %v; by phase: got %v, want %v",
				jobID, p, observed.changes[p], accounted[p], observed.spent[p], limit, accounted, observed.spent)
		}
	}
}

// A job's accounted time must sum to its age by the stored record, also across failovers, machine failures and an outage. Time that no
// leader observed has a separate reason.
func TestTimeAccountingAcrossFailovers(t *testing.T) {
	t.Parallel()
	unobserved := 0
	for seed := range uint64(3) {
		t.Run(seedName(seed), func(t *testing.T) {
			sim := New(seed, testOptions(), testLogger())
			for i := range 20 {
				sim.At(time.Duration(i)*time.Second, func() {
					sim.Users.SubmitRandom()
					for _, j := range sim.checker.jobs {
						j.runTime = max(j.runTime, 8*time.Second)
					}
				})
			}
			sim.At(15*time.Second, sim.Cloud.FailMachine)
			sim.At(25*time.Second, func() { sim.State.Outage(4 * time.Second) })
			for _, at := range []time.Duration{20, 35, 45} {
				sim.At(at*time.Second, func() {
					sim.crashLeader(3 * time.Second)
				})
			}
			for range 12 {
				sim.Run(10 * time.Second)
				expectNoViolations(t, sim)
				unobserved += sim.checkAccountedAges(t)
			}
		})
	}
	if unobserved == 0 {
		t.Error("time accountings that contain time not observed by a leader: got 0, want at least 1")
	}
}

// checkAccountedAges checks that the accounted time of each unfinished job equals its age. It returns the number of jobs with time that no
// leader observed.
func (sim *Cluster) checkAccountedAges(t *testing.T) (unobserved int) {
	t.Helper()
	for id, job := range sim.checker.jobs {
		record, ok := sim.State.record(id)
		if !ok || job.acceptedAt.IsZero() || record.SubmittedMs == 0 || job.cancelRequested || !job.finishedAt.IsZero() ||
			sim.checker.anyAncestor(id, func(other *observedJob) bool { return other.cancelRequested }) {
			continue // time accounting ends when the job or a dependency is cancelled
		}
		spent, sum := sim.timeAccount(id)
		age := sim.Now.Sub(time.UnixMilli(record.SubmittedMs))
		if len(spent) > 0 && (sum-age).Abs() > 150*time.Millisecond {
			t.Errorf("%s, sum of its time accounting: got %v, want its age %v within 150ms; by reason: %v", id, sum, age, spent)
		}
		if spent[accounting.EarlierLeader.String()] > 0 {
			unobserved++
		}
	}
	return unobserved
}

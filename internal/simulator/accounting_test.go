package simulator

import (
	"testing"
	"time"

	"gullrudder/internal/controller/accounting"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/wire/workerapi"
)

// phase is the state of a job as the simulator observes it.
type phase int

const (
	waitingForMachine phase = iota // an uncompleted task is on no machine
	fetchingImage
	runningOnMachine
	retrying  // all uncompleted tasks have failed before
	completed // all tasks are done
	phaseCount
)

// String is the name of the phase in failure messages.
func (p phase) String() string {
	return [phaseCount]string{"waiting for a machine", "fetching the image", "running", "retrying", "completed"}[p]
}

// phaseRecord is the time that a job spent in each phase, as the simulator observed it.
type phaseRecord struct {
	phase   phase
	spent   [phaseCount]time.Duration
	changes [phaseCount]int
	failed  map[int]bool
}

// currentPhase is the phase of a job by the state of its tasks on all machines.
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

// observeTask returns the state of a task on the machines, empty if it is on none, and records whether an attempt of it has failed.
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

// add records that the job has been in a phase for a while.
func (r *phaseRecord) add(observed phase, duration time.Duration) {
	if observed != r.phase {
		r.changes[observed]++
		r.changes[r.phase]++
		r.phase = observed
	}
	r.spent[observed] += duration
}

// timeAccount asks the leader for the time accounting of a job, by reason and in total; nil if it does not respond.
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

// Time accounting attributes a job's time as the simulator observed it, but for one heartbeat and one observation at each change of
// phase, and sums to the time from acceptance to the end.
func TestTimeAccountingMatchesSimulation(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		t.Run(seedName(seed), func(t *testing.T) {
			checkTimeAccounting(t, seed)
		})
	}
}

// checkTimeAccounting is TestTimeAccountingMatchesSimulation with one seed.
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
	// For each change of phase: a heartbeat, an observation, a slow message.
	tolerance := options.HeartbeatInterval*5/4 + 1100*time.Millisecond
	checked := 0
	for jobID, job := range sim.checker.jobs {
		if job.finishedAt.IsZero() || job.cancelRequested || job.spec.IsService {
			continue
		}
		spent, sum := sim.timeAccount(jobID)
		if spent == nil {
			t.Fatalf("the leader returns no time accounting of %s", jobID)
		}
		checkPhases(t, jobID, accountedPhases(spent, sum), records[jobID], tolerance)
		checked++
	}
	if checked < 10 {
		t.Errorf("jobs whose time accounting was checked: got %d, want at least 10", checked)
	}
}

// accountedPhases sums a job's time by phase, as the leader accounted for it.
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

// checkPhases checks that the leader accounted for a job's time as the simulator observed it, but for a tolerance at each change of phase.
func checkPhases(t *testing.T, jobID string, accounted [phaseCount]time.Duration, observed *phaseRecord, tolerance time.Duration) {
	t.Helper()
	for p := range phaseCount {
		// The simulator counts completed jobs until their user learned it, the leader until the result was durable.
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

// Across failovers, failed machines and an outage, a job's accounted time still sums to its age by the stored record, and time that no
// leader observed has a reason of its own.
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
		t.Error("time accountings with time that no leader observed: got 0, want at least 1")
	}
}

// checkAccountedAges checks that the accounted time of each unfinished job is its age, and returns how many have time that no leader
// observed.
func (sim *Cluster) checkAccountedAges(t *testing.T) (unobserved int) {
	t.Helper()
	for id, job := range sim.checker.jobs {
		record, ok := sim.State.record(id)
		if !ok || job.acceptedAt.IsZero() || record.SubmittedMs == 0 || job.cancelRequested || !job.finishedAt.IsZero() ||
			sim.checker.anyAncestor(id, func(other *observedJob) bool { return other.cancelRequested }) {
			continue // time accounting ends with a cancellation, that of a dependency too
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

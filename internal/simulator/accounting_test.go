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
	p, failed := runningOnMachine, 0
	for task := range job.spec.Tasks {
		if job.completedTasks[task] {
			continue
		}
		key, state := (jobs.TaskID{JobID: job.spec.ID, Index: task}).String(), workerapi.TaskState("")
		for _, m := range sim.Cloud.runningMachines() {
			if t := m.tasks[key]; t != nil && t.state == workerapi.StateExited && t.reason != workerapi.ReasonDone {
				record.failed[task] = true
			} else if t != nil && t.state != workerapi.StateExited {
				state = t.state
			}
		}
		if record.failed[task] {
			failed++
		}
		switch {
		case state == "":
			p = waitingForMachine
		case state == workerapi.StateFetching && p == runningOnMachine:
			p = fetchingImage
		}
	}
	if failed == job.spec.Tasks-len(job.completedTasks) {
		return retrying
	}
	return p
}

// recordPhases records the phases of all jobs as the simulator observes them.
func (sim *Cluster) recordPhases(records map[string]*phaseRecord) {
	const every = 20 * time.Millisecond
	var look func()
	look = func() {
		for id, j := range sim.checker.jobs {
			r := records[id]
			if r == nil {
				r = &phaseRecord{failed: map[int]bool{}}
				records[id] = r
			}
			if !j.finishedAt.IsZero() || !j.cancelledAt.IsZero() {
				continue
			}
			p := sim.currentPhase(j, r)
			if p != r.phase {
				r.changes[p]++
				r.changes[r.phase]++
				r.phase = p
			}
			r.spent[p] += every
		}
		sim.At(every, look)
	}
	look()
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
	opt := testOptions()
	opt.LossShare, opt.LateShare = 0, 0
	sim := New(seed, opt, testLogger())
	records := map[string]*phaseRecord{}
	sim.recordPhases(records)
	for i := range 30 {
		sim.At(time.Duration(i)*2*time.Second, sim.Users.SubmitRandom)
	}
	sim.Run(4 * time.Minute)
	expectNoViolations(t, sim)
	checked := 0
	slack := opt.HeartbeatInterval*5/4 + 1100*time.Millisecond // a heartbeat, an observation, a slow message
	for id, j := range sim.checker.jobs {
		r := records[id]
		if j.finishedAt.IsZero() || j.cancelRequested || j.spec.IsService {
			continue
		}
		spent, sum := sim.timeAccount(id)
		if spent == nil {
			t.Fatalf("no time accounting of %s", id)
		}
		mine := [phaseCount]time.Duration{
			fetchingImage:    spent[accounting.FetchingImage.String()],
			runningOnMachine: spent[accounting.Running.String()],
			retrying: spent[accounting.AttemptFailed.String()] + spent[accounting.MachineLost.String()] +
				spent[accounting.Preempted.String()],
			completed: spent[accounting.NotDurable.String()],
		}
		mine[waitingForMachine] = sum - mine[fetchingImage] - mine[runningOnMachine] - mine[retrying] - mine[completed]
		for p := range phaseCount {
			// The simulator counts until the user learned it, the leader until the result was durable.
			if p == completed {
				continue
			}
			if diff := (mine[p] - r.spent[p]).Abs(); diff > slack*time.Duration(max(r.changes[p], 1)) {
				t.Errorf(
					"%s: phase %d: %v by the leader, %v by the simulator, %d changes\n%v",
					id,
					p,
					mine[p],
					r.spent[p],
					r.changes[p],
					spent,
				)
			}
		}
		checked++
	}
	if checked < 10 {
		t.Errorf("only %d jobs were checked", checked)
	}
}

// Across failovers, failed machines and an outage, a job's accounted time still sums to its age by the stored record, and time that no
// leader observed has a reason of its own.
func TestTimeAccountingAcrossFailovers(t *testing.T) {
	unknown := 0
	t.Parallel()
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
				unknown += sim.checkAccountedAges(t)
			}
		})
	}
	if unknown == 0 {
		t.Error("no time accounting across failovers has time that no leader observed")
	}
}

// checkAccountedAges checks that the accounted time of each unfinished job is its age, and returns how many have time that no leader
// observed.
func (sim *Cluster) checkAccountedAges(t *testing.T) (unknown int) {
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
			t.Errorf("%s: its time accounting sums to %v, its age is %v: %v", id, sum, age, spent)
		}
		if spent[accounting.EarlierLeader.String()] > 0 {
			unknown++
		}
	}
	return unknown
}

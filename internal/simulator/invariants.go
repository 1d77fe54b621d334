package simulator

import (
	"fmt"
	"time"

	"gullrudder/internal/controller/jobs"
)

// invariantChecker is the slow plain model of the rules: who is where, and what was told to whom.
type invariantChecker struct {
	sim        *Cluster
	jobs       map[string]*observedJob
	placements map[jobs.TaskID][]*machine
	attempts   map[uint64]string // attempt -> task and machine
	TaskStarts int
}

type observedJob struct {
	spec            jobs.Spec
	runTime         time.Duration
	taskStagger     time.Duration // by how much each task runs longer than the one before
	completedTasks  map[int]bool
	acceptedAt      time.Time // when its user was told; zero: not yet
	cancelledAt     time.Time // when its user was told
	finishedAt      time.Time // when its user was told that it is done
	cancelRequested bool      // its user asked to cancel it
	submittedAt     time.Time // when it was first submitted
	firstStartedAt  time.Time // when its first task ran that was not stopped within startStands
	firstAttempt    uint64    // the attempt that this was
	lastAnsweredAt  time.Time // when a question about it was answered last
	isSubmitted     bool      // it was submitted at least once
	alwaysFails     bool      // all of its tasks fail
	startCount      int
	startableSince  time.Time  // since when it has been left waiting though a machine has room
	fittingMachines []*machine // those that had room for it all the time since then
}

func newInvariantChecker(sim *Cluster) *invariantChecker {
	return &invariantChecker{sim: sim, jobs: map[string]*observedJob{}, placements: map[jobs.TaskID][]*machine{}, attempts: map[uint64]string{}}
}

func (checker *invariantChecker) runTime(taskID jobs.TaskID) time.Duration {
	if j := checker.jobs[taskID.JobID]; j != nil {
		return j.runTime + time.Duration(taskID.Index)*j.taskStagger
	}
	return time.Second
}

func (checker *invariantChecker) taskFails(taskID jobs.TaskID) bool {
	return checker.jobs[taskID.JobID] != nil && checker.jobs[taskID.JobID].alwaysFails
}

func (checker *invariantChecker) hasCheckpoints(taskID jobs.TaskID) bool {
	j := checker.jobs[taskID.JobID]
	return j != nil && j.spec.CheckpointInterval > 0
}

// mayHoldTasks reports whether the machine's worker can still have tasks: it kills them when its
// lease ends, and while it hangs it executes none beyond that.
func (checker *invariantChecker) mayHoldTasks(worker *machine) bool {
	return worker.isAlive() && checker.sim.Now.Sub(worker.leaseRenewedAt) <= checker.sim.Options.WorkerLease
}

// startReceived is called when a worker takes a start command. No attempt number is used twice,
// not by another leader either (but by the tasks of a gang, of which there are none here).
func (checker *invariantChecker) startReceived(worker *machine, task *machineTask) {
	if before, ok := checker.attempts[task.attempt]; ok {
		checker.sim.reportViolation("attempt %d of %s on %s was used before: %s", task.attempt, task.key, worker.id, before)
	}
	if j := checker.jobs[task.key.JobID]; j != nil {
		j.startCount++
	}
	checker.attempts[task.attempt] = fmt.Sprintf("%s on %s", task.key, worker.id)
}

// taskStarted is called when a task is on its machine: it has its image.
func (checker *invariantChecker) taskStarted(worker *machine, t *machineTask) {
	checker.TaskStarts++
	j := checker.jobs[t.key.JobID]
	if j == nil || !j.isSubmitted {
		checker.sim.reportViolation("a task of an unknown job runs: %s", t.key)
		return
	}
	if j.firstStartedAt.IsZero() {
		j.firstStartedAt, j.firstAttempt = checker.sim.Now, t.attempt
	}
	if t.key.Index >= j.spec.Tasks {
		checker.sim.reportViolation("an impossible task runs: %s", t.key)
	}
	for _, o := range checker.placements[t.key] {
		if checker.mayHoldTasks(o) {
			checker.sim.reportViolation("ran_twice: %s on %s while on %s", t.key, worker.id, o.id)
		}
	}
	checker.checkDependenciesDone(t.key.JobID)
	checker.placements[t.key] = append(checker.placements[t.key], worker)
	if !j.cancelledAt.IsZero() && checker.sim.Now.Sub(j.cancelledAt) > checker.sim.Options.CancelTimeout {
		checker.sim.reportViolation("ran_cancelled: %s starts %v after its user was told", t.key, checker.sim.Now.Sub(j.cancelledAt))
	}
	checker.checkPlacement(worker, t.key, j)
	if !checker.sim.Options.SkipCostlyChecks {
		checker.checkQuota(j.spec.Team)
	}
}

func (checker *invariantChecker) checkPlacement(worker *machine, taskID jobs.TaskID, job *observedJob) {
	s := job.spec
	if !worker.allowsJob(s) {
		checker.sim.reportViolation("wrong_place: %s on %s", taskID, worker.id)
	}
	zones := map[string]int{}
	for t := range s.Tasks {
		for _, o := range checker.placements[jobs.TaskID{JobID: taskID.JobID, Index: t}] {
			if checker.mayHoldTasks(o) {
				zones[o.zone]++
			}
		}
	}
	if s.SingleZone && len(zones) > 1 {
		checker.sim.reportViolation("wrong_place: %s is in %d zones", taskID.JobID, len(zones))
	}
	for z, n := range zones {
		if s.SpreadAcrossZones && n > (s.Tasks+1)/2 {
			checker.sim.reportViolation("wrong_place: %d tasks of %s are in zone %s", n, taskID.JobID, z)
		}
	}
}

func (checker *invariantChecker) checkQuota(team string) {
	used := 0.0
	for k, list := range checker.placements {
		for _, h := range list {
			if j := checker.jobs[k.JobID]; j.spec.Team == team && checker.mayHoldTasks(h) {
				used += j.spec.CPUs
			}
		}
	}
	for _, t := range checker.sim.Options.Teams {
		if t.Name == team && t.CPULimit > 0 && used > t.CPULimit+1e-6 {
			checker.sim.reportViolation("quota: team %s uses %g CPUs of %g", team, used, t.CPULimit)
		}
	}
}

// taskStopped is called when a task leaves its machine.
func (checker *invariantChecker) taskStopped(worker *machine, task *machineTask) {
	list := checker.placements[task.key]
	for i, o := range list {
		if o == worker {
			checker.placements[task.key] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

func (checker *invariantChecker) taskCompleted(taskID jobs.TaskID) {
	if j := checker.jobs[taskID.JobID]; j != nil {
		again := j.completedTasks[taskID.Index]
		j.completedTasks[taskID.Index] = true
		if len(j.completedTasks) == j.spec.Tasks && !again {
			checker.sim.Users.jobEnded(taskID.JobID)
		}
	}
}

// forgetReceived is called when a worker is told to forget a task: its result has to be in the
// state service by then, or nobody may want it any more.
func (checker *invariantChecker) forgetReceived(task *machineTask) {
	if !checker.sim.Options.SkipCostlyChecks {
		checker.sim.Users.checkResultDurable(task)
	}
}

// jobStateAnswered takes in what a user was told. asked is when the user sent the request.
func (checker *invariantChecker) jobStateAnswered(jobID, state string, asked time.Time) {
	j := checker.jobs[jobID]
	if j == nil || !j.isSubmitted {
		checker.sim.reportViolation("invented: %s is %s", jobID, state)
		return
	}
	switch state {
	case "done":
		if len(j.completedTasks) < j.spec.Tasks {
			checker.sim.reportViolation("not_done: %s with %d of %d", jobID, len(j.completedTasks), j.spec.Tasks)
		}
		if !j.cancelledAt.IsZero() {
			checker.sim.reportViolation("went_back: %s was cancelled, is done", jobID)
		}
		if j.finishedAt.IsZero() {
			j.finishedAt = checker.sim.Now
		}
	case "cancelled":
		if !j.cancelRequested && !checker.anyAncestor(jobID, func(x *observedJob) bool { return x.cancelRequested }) {
			checker.sim.reportViolation("went_back: nobody cancelled %s", jobID)
		}
		if !j.finishedAt.IsZero() {
			checker.sim.reportViolation("went_back: %s was done, is cancelled", jobID)
		}
		if j.cancelledAt.IsZero() {
			j.cancelledAt = checker.sim.Now
			checker.sim.At(checker.sim.Options.CancelTimeout+time.Millisecond, func() { checker.checkTasksStopped(jobID) })
		}
	default:
		checker.checkNotOrphaned(jobID, asked)
		// An answer to a request that was sent before the newer answer came may be older.
		if over := j.finishedAt; !over.IsZero() && asked.After(over) {
			checker.sim.reportViolation("went_back: %s was done, is %s", jobID, state)
		}
		if over := j.cancelledAt; !over.IsZero() && asked.After(over) {
			checker.sim.reportViolation("went_back: %s was cancelled, is %s", jobID, state)
		}
	}
	if j.acceptedAt.IsZero() {
		j.acceptedAt = checker.sim.Now
	}
	j.lastAnsweredAt = checker.sim.Now
}

// startCountsAfter is for how long a task must not be stopped for its start to count.
const startCountsAfter = 30 * time.Second

// killReceived is called when a command stops a task.
func (checker *invariantChecker) killReceived(task *machineTask) {
	j := checker.jobs[task.key.JobID]
	if j != nil && !j.cancelRequested && !j.firstStartedAt.IsZero() && j.firstAttempt == task.attempt && checker.sim.Now.Sub(j.firstStartedAt) < startCountsAfter {
		j.firstStartedAt = time.Time{}
	}
}

// maxUnanswered is how long no question about an accepted job may go unanswered once all troubles are over,
// however others fare.
const maxUnanswered = 75 * time.Second

// pollUnanswered takes in that a question about a job got no answer.
func (checker *invariantChecker) pollUnanswered(jobID string) {
	j := checker.jobs[jobID]
	if j == nil || j.acceptedAt.IsZero() {
		return
	}
	since := j.lastAnsweredAt
	if checker.sim.faultsUntil.After(since) {
		since = checker.sim.faultsUntil
	}
	if checker.sim.Now.Sub(since) > maxUnanswered {
		checker.sim.reportViolation("forgotten: no question about %s was answered for %v", jobID, checker.sim.Now.Sub(since).Round(time.Second))
	}
}

func (checker *invariantChecker) checkTasksStopped(jobID string) {
	for t := range checker.jobs[jobID].spec.Tasks {
		for _, h := range checker.placements[jobs.TaskID{JobID: jobID, Index: t}] {
			if checker.mayHoldTasks(h) {
				checker.sim.reportViolation("ran_cancelled: %s/%d is still on %s", jobID, t, h.id)
			}
		}
	}
}

// jobRejected takes in a 404, or a refusal of a repeated submission.
func (checker *invariantChecker) jobRejected(jobID string, asked time.Time, status int) {
	if j := checker.jobs[jobID]; j != nil && !j.acceptedAt.IsZero() && asked.After(j.acceptedAt) {
		checker.sim.reportViolation("forgotten: %s is answered %d", jobID, status)
	}
}

package simulator

import (
	"fmt"
	"time"

	"gullrudder/internal/controller/jobs"
)

// invariantChecker is a simple model of the run: which task may be on which machine, and what users were told. Workers and users
// report events to it, and it calls the check of each rule that an event can break.
type invariantChecker struct {
	sim        *Cluster
	jobs       map[string]*observedJob
	placements map[jobs.TaskID][]*machine
	attempts   map[uint64]string // attempt -> task and machine
	TaskStarts int
}

// observedJob is a job with what was observed of it.
type observedJob struct {
	spec            jobs.Spec
	runTime         time.Duration
	runTimeStep     time.Duration // by how much each task runs longer than the one before
	completedTasks  map[int]bool
	acceptedAt      time.Time // when its user learned it; zero: not yet
	cancelledAt     time.Time // when its user learned it
	finishedAt      time.Time // when its user learned that it is done
	cancelRequested bool      // its user asked to cancel it
	submittedAt     time.Time // when it was first submitted
	firstStartedAt  time.Time // when its first task ran that was not killed within startCountsAfter
	firstAttempt    uint64    // attempt number of that start
	lastResponseAt  time.Time // when a request about it was answered last
	isSubmitted     bool      // it was submitted at least once
	alwaysFails     bool      // all of its tasks fail
	startCount      int
	startableSince  time.Time  // since when it waits although a machine has capacity
	fittingMachines []*machine // machines that had capacity all the time since then
}

// States of a job in responses to users.
const (
	stateDone      = "done"
	stateCancelled = "cancelled"
)

func newInvariantChecker(sim *Cluster) *invariantChecker {
	return &invariantChecker{
		sim:        sim,
		jobs:       map[string]*observedJob{},
		placements: map[jobs.TaskID][]*machine{},
		attempts:   map[uint64]string{},
	}
}

// runTime is how long an attempt of the task runs, one second for an unknown job.
func (checker *invariantChecker) runTime(taskID jobs.TaskID) time.Duration {
	if job := checker.jobs[taskID.JobID]; job != nil {
		return job.runTime + time.Duration(taskID.Index)*job.runTimeStep
	}
	return time.Second
}

// taskFails reports whether every attempt of the task fails.
func (checker *invariantChecker) taskFails(taskID jobs.TaskID) bool {
	return checker.jobs[taskID.JobID] != nil && checker.jobs[taskID.JobID].alwaysFails
}

// hasCheckpoints reports whether the task saves its progress when it is killed with enough grace.
func (checker *invariantChecker) hasCheckpoints(taskID jobs.TaskID) bool {
	job := checker.jobs[taskID.JobID]
	return job != nil && job.spec.CheckpointInterval > 0
}

// mayHoldTasks reports whether the machine's worker can still have tasks: it kills them when its
// lease ends, and while it hangs it executes none beyond that.
func (checker *invariantChecker) mayHoldTasks(worker *machine) bool {
	return worker.isAlive() && checker.sim.Now.Sub(worker.leaseRenewedAt) <= checker.sim.Options.WorkerLease
}

// startReceived records that a worker received a start command.
func (checker *invariantChecker) startReceived(worker *machine, task *machineTask) {
	checker.checkAttemptUnused(worker, task)
	if job := checker.jobs[task.id.JobID]; job != nil {
		job.startCount++
	}
	checker.attempts[task.attempt] = fmt.Sprintf("%s on %s", task.id, worker.id)
}

// taskStarted records that a task is on its machine: the image is there.
func (checker *invariantChecker) taskStarted(worker *machine, task *machineTask) {
	checker.TaskStarts++
	job := checker.jobs[task.id.JobID]
	if !checker.checkKnownTask(task.id) {
		return
	}
	if job.firstStartedAt.IsZero() {
		job.firstStartedAt, job.firstAttempt = checker.sim.Now, task.attempt
	}
	checker.checkRanTwice(worker, task.id)
	checker.checkTooEarly(task.id.JobID)
	checker.placements[task.id] = append(checker.placements[task.id], worker)
	checker.checkStartOfCancelled(task.id, job)
	checker.checkWrongPlace(worker, task.id, job)
	if !checker.sim.Options.SkipCostlyChecks {
		checker.checkQuota(job.spec.Team)
	}
}

// taskStopped records that a task has left its machine.
func (checker *invariantChecker) taskStopped(worker *machine, task *machineTask) {
	list := checker.placements[task.id]
	for i, other := range list {
		if other == worker {
			checker.placements[task.id] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

// taskCompleted records that a task has completed.
func (checker *invariantChecker) taskCompleted(taskID jobs.TaskID) {
	if job := checker.jobs[taskID.JobID]; job != nil {
		wasCompleted := job.completedTasks[taskID.Index]
		job.completedTasks[taskID.Index] = true
		if len(job.completedTasks) == job.spec.Tasks && !wasCompleted {
			checker.sim.Users.allTasksCompleted(taskID.JobID)
		}
	}
}

// forgetReceived is called when a worker is sent a forget command for an exited task.
func (checker *invariantChecker) forgetReceived(task *machineTask) {
	if !checker.sim.Options.SkipCostlyChecks {
		checker.checkResultDurable(task)
	}
}

// minCountedRunTime is how long a task must not be killed for its start to count, as objectives are measured.
const minCountedRunTime = 30 * time.Second

// killReceived is called when a command stops a task.
func (checker *invariantChecker) killReceived(task *machineTask) {
	job := checker.jobs[task.id.JobID]
	if job == nil || job.cancelRequested || job.firstStartedAt.IsZero() || job.firstAttempt != task.attempt {
		return
	}
	if checker.sim.Now.Sub(job.firstStartedAt) < minCountedRunTime {
		job.firstStartedAt = time.Time{}
	}
}

// jobStateReceived records the state of a job that its user received. requestedAt is when the user sent the request.
func (checker *invariantChecker) jobStateReceived(jobID, state string, requestedAt time.Time) {
	if !checker.checkInvented(jobID, state) {
		return
	}
	job := checker.jobs[jobID]
	switch state {
	case stateDone:
		checker.checkNotDone(jobID)
		if job.finishedAt.IsZero() {
			job.finishedAt = checker.sim.Now
		}
	case stateCancelled:
		if job.cancelledAt.IsZero() {
			job.cancelledAt = checker.sim.Now
			checker.sim.At(checker.sim.Options.CancelTimeout+time.Millisecond, func() { checker.checkRanCancelled(jobID) })
		}
	default:
		checker.checkOrphaned(jobID, requestedAt)
	}
	checker.checkWentBack(jobID, state, requestedAt)
	if job.acceptedAt.IsZero() {
		job.acceptedAt = checker.sim.Now
	}
	job.lastResponseAt = checker.sim.Now
}

// anyDependency reports whether a condition holds for a direct dependency of the job.
func (checker *invariantChecker) anyDependency(jobID string, holds func(*observedJob) bool) bool {
	for _, dependency := range checker.jobs[jobID].spec.Dependencies {
		if holds(checker.jobs[dependency]) {
			return true
		}
	}
	return false
}

// anyAncestor reports whether a condition holds for a direct or indirect dependency of the job.
func (checker *invariantChecker) anyAncestor(jobID string, holds func(*observedJob) bool) bool {
	for _, dependency := range checker.jobs[jobID].spec.Dependencies {
		if holds(checker.jobs[dependency]) || checker.anyAncestor(dependency, holds) {
			return true
		}
	}
	return false
}

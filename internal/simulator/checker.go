package simulator

import (
	"fmt"
	"time"

	"gullrudder/internal/controller/jobs"
)

// invariantChecker checks the rules against a simple model of the run: which task may be on which machine, and which responses users
// received. Workers and users report events to it. For each event it runs the checks of the rules that the event can break.
type invariantChecker struct {
	sim        *Cluster
	jobs       map[string]*observedJob
	placements map[jobs.TaskID][]*machine
	attempts   map[uint64]string // attempt -> task and machine
	TaskStarts int
}

// observedJob is a job with the events observed so far.
type observedJob struct {
	spec            jobs.Spec
	otherFields     Submission // fields whose submitted values differ from those of spec
	runTime         time.Duration
	runTimeStep     time.Duration // added to the run time for each task index
	completedTasks  map[int]bool
	acceptedAt      time.Time // when its user learned that it is accepted; zero: not yet
	cancelledAt     time.Time // when its user learned that it is cancelled
	finishedAt      time.Time // when its user learned that it is done
	cancelRequested bool      // its user requested its cancellation
	submittedAt     time.Time // when it was first submitted
	firstStartedAt  time.Time // first start that was not killed within minCountedRunTime; zero: none
	firstAttempt    uint64    // attempt number of the start at firstStartedAt
	lastResponseAt  time.Time // time of the last response about it
	isSubmitted     bool      // it was submitted at least once
	alwaysFails     bool      // every attempt of its tasks fails
	failuresLeft    int       // number of further attempts that fail
	startCount      int
	startableSince  time.Time  // since when a machine has capacity for it; zero: none has
	fittingMachines []*machine // machines that have had capacity for it ever since
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

// runTime returns the run time of an attempt of the task. It is a second for an unknown job.
func (checker *invariantChecker) runTime(taskID jobs.TaskID) time.Duration {
	if job := checker.jobs[taskID.JobID]; job != nil {
		return job.runTime + time.Duration(taskID.Index)*job.runTimeStep
	}
	return time.Second
}

// attemptFails reports whether an attempt of the task that starts now fails.
func (checker *invariantChecker) attemptFails(taskID jobs.TaskID) bool {
	job := checker.jobs[taskID.JobID]
	if job == nil {
		return false
	}
	if job.failuresLeft > 0 {
		job.failuresLeft--
		return true
	}
	return job.alwaysFails
}

// savesCheckpoint reports whether the task saves a checkpoint when it is killed with a grace period. Like a real worker, it compares the
// number of the command with the one that the user submitted. A grace period above 0 that is too short breaks RuleWorkLost.
func (checker *invariantChecker) savesCheckpoint(taskID jobs.TaskID, graceSeconds *float64) bool {
	job := checker.jobs[taskID.JobID]
	if job == nil || job.spec.CheckpointInterval == 0 || graceSeconds == nil {
		return false
	}
	submitted := job.spec.CheckpointDuration.Seconds()
	if *graceSeconds > 0 && *graceSeconds < submitted {
		checker.sim.reportViolation(RuleWorkLost, "%s has %v s to save its work, and needs %v s", taskID, *graceSeconds, submitted)
	}
	return *graceSeconds >= submitted
}

// checkpointDuration returns how long the task takes to save a checkpoint.
func (checker *invariantChecker) checkpointDuration(taskID jobs.TaskID) time.Duration {
	return checker.jobs[taskID.JobID].spec.CheckpointDuration
}

// mayHoldTasks reports whether tasks may still run on the machine. A worker kills its tasks when its lease expires. A machine that hangs
// past that time executes no tasks.
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

// taskStarted records that a task runs on its machine: the image is fetched.
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

// taskStopped records that a task no longer runs on a machine.
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

// forgetReceived is called when a worker receives a forget command for an exited task.
func (checker *invariantChecker) forgetReceived(task *machineTask) {
	if !checker.sim.Options.SkipCostlyChecks {
		checker.checkResultDurable(task)
	}
}

// minCountedRunTime is the time without a kill after which a start counts as the first start, as in the measurement of objectives.
const minCountedRunTime = 30 * time.Second

// killReceived is called when a worker receives a kill command for a task. A first start that is killed early does not count.
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

package heartbeat

import (
	"time"

	"gullrudder/internal/controller/accounting"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/workerapi"
)

// retryDelay is the delay before a job or a machine is tried again after a refused start, or after a job failed on
// maxAvoidedMachines machines.
const retryDelay = 2 * time.Second

// HandleEnded processes the ended attempts of a machine. Their tasks are requeued unless they are done.
func (h *Handler) HandleEnded(now time.Time, machine *worker.Machine, endedAttempts []worker.EndedAttempt) {
	for _, ended := range endedAttempts {
		h.handleEndedAttempt(now, machine, ended)
	}
}

func (h *Handler) handleEndedAttempt(now time.Time, machine *worker.Machine, ended worker.EndedAttempt) {
	attempt := ended.Attempt
	job, task := attempt.Job, attempt.Task.Index
	if job == nil || task >= job.Tasks {
		return
	}
	h.placer.InvalidateOrder()
	if ended.Reason == workerapi.ReasonDone && !job.IsService {
		h.completeTask(now, machine, attempt)
		return
	}
	h.logEnded(machine, ended)
	switch ended.Reason {
	case workerapi.ReasonError:
		h.recordFailure(now, machine, job)
	case workerapi.ReasonNoCapacity:
		machine.StartsNotBefore = now.Add(retryDelay)
	case workerapi.ReasonInUse, workerapi.ReasonNotFound:
		job.NotBefore = now.Add(retryDelay)
		h.log.Info("start refused", logkeys.Task, attempt.Task, logkeys.Machine, machine.ID, logkeys.Reason, ended.Reason)
	}
	h.observers.accounting.RecordTaskLost(job, task, lossCause(ended))
	if ended.CheckpointSaved {
		job.ResumedTasks[task] = true
	}
	job.Requeue(task)
}

func (h *Handler) logEnded(machine *worker.Machine, ended worker.EndedAttempt) {
	if ended.Reason == workerapi.ReasonDone { // replicas of a service are restarted until their job is cancelled
		return
	}
	h.log.Debug("attempt ended", logkeys.Task, ended.Attempt.Task, logkeys.Attempt, ended.Attempt.Number,
		logkeys.Machine, machine.ID, logkeys.Reason, ended.Reason)
}

// completeTask records that an attempt has completed its task. The run time counts only if the leader observed the start of the
// attempt, and the attempt did not resume from a checkpoint.
func (h *Handler) completeTask(now time.Time, machine *worker.Machine, attempt *jobs.Attempt) {
	job, task := attempt.Job, attempt.Task.Index
	if !attempt.RunningSince.IsZero() && !job.ResumedTasks[task] {
		h.observeRunTime(machine, job, now.Sub(attempt.RunningSince))
	}
	h.observers.accounting.RecordTaskDone(job, task)
	h.recordCompletion(now, machine, job)
	if job.RecordTaskDone(task) {
		h.jobStore.FinishIfDone(now, job)
	}
}

func (h *Handler) observeRunTime(machine *worker.Machine, job *jobs.Job, runTime time.Duration) {
	if job.CompletedRuns > 0 {
		meanRunTime := job.CompletedRunTime / time.Duration(job.CompletedRuns)
		h.observers.stragglers.RecordRun(machine.ID, runTime, meanRunTime, job.CompletedRuns)
	}
	h.observers.estimator.ObserveRunTime(job, runTime)
}

// lossCause returns the wait reason to which the accounting attributes an attempt that did not complete its task.
func lossCause(ended worker.EndedAttempt) accounting.WaitReason {
	switch {
	case !ended.Attempt.StopRequestedAt.IsZero() || ended.Reason == workerapi.ReasonStopped:
		return accounting.Preempted
	case ended.Reason == worker.ReasonLost:
		return accounting.MachineLost
	}
	return accounting.AttemptFailed
}

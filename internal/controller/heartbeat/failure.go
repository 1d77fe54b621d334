package heartbeat

import (
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/logkeys"
)

// maxRetryDelay bounds the delay between two attempts of a failing job that has not completed any task.
const maxRetryDelay = time.Minute

// recordFailure records that a task has ended with an error. The job then avoids the machine. The failure tracker decides whether the
// job is crash-looping or the machine is faulty.
func (h *Handler) recordFailure(now time.Time, machine *worker.Machine, job *jobs.Job) {
	job.FailureCount++
	h.log.Info("task failed", logkeys.Job, job.ID, logkeys.Machine, machine.ID, logkeys.Count, job.FailureCount)
	tracker := h.observers.failures
	if job.CrashLooping && !tracker.IsCrashLooping(job.ID) {
		tracker.RestoreCrashLooping(now, job.ID) // the verdict of an earlier leader
	}
	tracker.RecordFailure(now, job.ID, machine.ID, job.DoneTasks)
	h.avoidMachine(now, machine, job)
	if !job.IsGang && !job.IsService && tracker.IsCrashLooping(job.ID) {
		h.throttleCrashLooping(now, job)
	}
	if tracker.IsFaulty(machine.ID) && machine.DrainReason == worker.NotDraining {
		machine.DrainReason = worker.DrainFaulty
		h.log.Info("machine quarantined", logkeys.Machine, machine.ID)
	}
}

// throttleCrashLooping limits a crash-looping job to one task at a time, with growing delays. Its other attempts are stopped,
// since they would use resources until they fail as well. The verdict is stored in the job's record, so that the next leader does not
// start all tasks again.
func (h *Handler) throttleCrashLooping(now time.Time, job *jobs.Job) {
	job.NotBefore = h.observers.failures.ScheduleRetry(now, job.ID)
	if job.CrashLooping {
		return
	}
	job.CrashLooping = true
	stopped := 0
	for _, attempt := range job.ActiveAttempts {
		if !attempt.IsUnsent && attempt.StopRequestedAt.IsZero() {
			attempt.StopRequestedAt = now
			stopped++
		}
	}
	h.log.Info("job marked as crash-looping", logkeys.Job, job.ID, logkeys.Team, job.Team, logkeys.Class, job.Class,
		logkeys.FailedMachines, h.observers.failures.FailedMachineCount(job.ID), logkeys.StoppedAttempts, stopped)
	h.jobStore.SaveRecord(now, job)
	h.placer.InvalidateOrder()
}

// recordCompletion records that a task of the job has completed on the machine, which revokes the verdict that the job is crash-looping.
func (h *Handler) recordCompletion(now time.Time, machine *worker.Machine, job *jobs.Job) {
	h.observers.failures.RecordCompletion(job.ID, machine.ID)
	if !job.CrashLooping {
		return
	}
	job.CrashLooping, job.NotBefore = false, time.Time{}
	h.log.Info("crash-looping job recovered", logkeys.Job, job.ID, logkeys.Machine, machine.ID)
	h.jobStore.SaveRecord(now, job)
	h.placer.InvalidateOrder()
}

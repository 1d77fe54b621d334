package heartbeat

import (
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/worker"
)

const (
	// maxAvoidedMachines is on how many machines a job may have failed before it is tried on all of them again: a
	// small site has no others.
	maxAvoidedMachines = 3
	// maxRetryDelay is how long a job that fails and has completed nothing waits at most between two tries.
	maxRetryDelay = time.Minute
)

// recordFailure takes in that a task has ended with an error. The job avoids the machine; whether the machine
// is faulty or the job was submitted with a mistake is for the book of blame.
func (h *Handler) recordFailure(now time.Time, machine *worker.Machine, job *jobs.Job) {
	job.FailureCount++
	h.log.Info("task failed", "job", job.ID, "machine", machine.ID, "errors", job.FailureCount)
	if job.CrashLooping && !h.failures.IsCrashLooping(job.ID) {
		h.failures.RestoreCrashLooping(now, job.ID) // an earlier leader found it
	}
	h.failures.RecordFailure(now, job.ID, machine.ID, job.DoneTasks)
	h.avoidMachine(now, machine, job)
	if !job.IsGang && !job.IsService && h.failures.IsCrashLooping(job.ID) {
		h.throttleCrashLooping(now, job)
	}
	if h.failures.IsFaulty(machine.ID) && machine.DrainReason == worker.NotDraining {
		machine.DrainReason = worker.DrainFaulty
		h.log.Info("machine quarantined", "machine", machine.ID)
	}
}

// avoidMachine keeps the job off the machine, until it has failed on so many that all are tried again, later.
func (h *Handler) avoidMachine(now time.Time, machine *worker.Machine, job *jobs.Job) {
	machine.FailedJobs[job.ID] = true
	if job.FailedMachines == nil {
		job.FailedMachines = map[string]bool{}
	}
	job.FailedMachines[machine.ID] = true
	if len(job.FailedMachines) < maxAvoidedMachines {
		return
	}
	job.NotBefore = now.Add(2 * time.Second)
	if job.DoneTasks == 0 {
		job.NotBefore = now.Add(min(time.Duration(job.FailureCount)*2*time.Second, maxRetryDelay))
	}
	for id := range job.FailedMachines {
		if other := h.workers.Machines[id]; other != nil {
			delete(other.FailedJobs, job.ID)
		}
	}
	job.FailedMachines = nil
}

// throttleCrashLooping has one task of the job tried at a time, and that seldom. What of it runs is stopped: it would
// fail as well, and takes the room of others until then. The verdict is kept, so that the next leader
// does not start all of its tasks once more.
func (h *Handler) throttleCrashLooping(now time.Time, job *jobs.Job) {
	job.NotBefore = h.failures.ScheduleRetry(now, job.ID)
	if job.CrashLooping {
		return
	}
	job.CrashLooping = true
	stopped := 0
	for _, attempt := range job.ActiveAttempts {
		if !attempt.IsUnsent && attempt.StopSentAt.IsZero() {
			attempt.StopSentAt = now
			stopped++
		}
	}
	h.log.Info(
		"a job fails wherever it is tried",
		"job",
		job.ID,
		"team",
		job.Team,
		"class",
		job.Class,
		"machines",
		h.failures.FailedMachineCount(job.ID),
		"stopped",
		stopped,
	)
	h.jobStore.SaveRecord(now, job)
	h.placer.InvalidateOrder()
}

// recordCompletion takes in that a task of the job has completed on the machine, which speaks for both.
func (h *Handler) recordCompletion(now time.Time, machine *worker.Machine, job *jobs.Job) {
	h.failures.RecordCompletion(job.ID, machine.ID)
	if !job.CrashLooping {
		return
	}
	job.CrashLooping, job.NotBefore = false, time.Time{}
	h.log.Info("a job that failed wherever it was tried has completed a task", "job", job.ID, "machine", machine.ID)
	h.jobStore.SaveRecord(now, job)
	h.placer.InvalidateOrder()
}

// ForgetJob takes in that a job is over.
func (h *Handler) ForgetJob(job *jobs.Job) { h.failures.ForgetJob(job.ID) }

package heartbeat

import (
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/logkeys"
)

// maxAvoidedMachines bounds the number of machines that a job avoids after failures. A job that has failed on this many may run on all of
// them again.
const maxAvoidedMachines = 3

// avoidance is one failure after which a job avoids a machine.
type avoidance struct {
	job     *jobs.Job
	machine string // ID
	until   time.Time
}

// avoidances are the avoidances that have not ended yet. All of them last equally long, so they end in the order in which they were added.
type avoidances []avoidance

// takeEnded removes the avoidances that have ended and returns them.
func (a *avoidances) takeEnded(now time.Time) []avoidance {
	count := 0
	for count < len(*a) && !now.Before((*a)[count].until) {
		count++
	}
	ended := (*a)[:count]
	*a = (*a)[count:]
	return ended
}

// avoidMachine makes the job avoid the machine for jobs.MachineAvoidance. A job that avoids maxAvoidedMachines may run on all of them again
// after a delay.
func (h *Handler) avoidMachine(now time.Time, machine *worker.Machine, job *jobs.Job) {
	machine.FailedJobs[job.ID] = true
	if job.AvoidedMachines == nil {
		job.AvoidedMachines = map[string]time.Time{}
	}
	until := now.Add(jobs.MachineAvoidance)
	job.AvoidedMachines[machine.ID] = until
	h.avoidances = append(h.avoidances, avoidance{job, machine.ID, until})
	if len(job.AvoidedMachines) < maxAvoidedMachines {
		return
	}
	job.NotBefore = now.Add(retryDelay)
	if job.DoneTasks == 0 {
		job.NotBefore = now.Add(min(time.Duration(job.FailureCount)*retryDelay, maxRetryDelay))
	}
	for id := range job.AvoidedMachines {
		h.stopAvoiding(job, id)
	}
}

// EndAvoidances lets jobs run again on the machines that they have avoided for long enough. Without it, a job whose other machines are full
// or do not exist would wait although a machine has room for it.
func (h *Handler) EndAvoidances(now time.Time) {
	for _, ended := range h.avoidances.takeEnded(now) {
		until, avoided := ended.job.AvoidedMachines[ended.machine]
		if !avoided || now.Before(until) { // the machine has been avoided anew since a later failure
			continue
		}
		h.stopAvoiding(ended.job, ended.machine)
		h.log.Debug("machine no longer avoided", logkeys.Job, ended.job.ID, logkeys.Machine, ended.machine)
	}
}

func (h *Handler) stopAvoiding(job *jobs.Job, machineID string) {
	delete(job.AvoidedMachines, machineID)
	if machine := h.workers.Machines[machineID]; machine != nil {
		delete(machine.FailedJobs, job.ID)
	}
}

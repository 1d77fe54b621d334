package simulator

import (
	"slices"
	"time"

	"gullrudder/internal/controller/jobs"
)

// maxStartableWait is how long a job may wait once all faults are over, while one machine has capacity for it all the time and its
// team is under its limit.
const maxStartableWait = 90 * time.Second

// queueCheckInterval is how often the queue is checked for jobs that are left waiting.
const queueCheckInterval = 2 * time.Second

// watchQueue checks the queue at intervals while no fault is in effect.
func (checker *invariantChecker) watchQueue() {
	checker.sim.At(queueCheckInterval, func() {
		if checker.sim.Now.After(checker.sim.faultsUntil) {
			checker.checkLeftWaiting()
		}
		checker.watchQueue()
	})
}

// checkLeftWaiting checks that no job waits for longer than maxStartableWait although a machine has capacity for it.
func (checker *invariantChecker) checkLeftWaiting() {
	usage := checker.measureUsage()
	for _, jobID := range checker.sim.Users.jobIDs {
		job := checker.jobs[jobID]
		// It has to be the same machine all the time: in a shortage each has capacity for a moment, until its next heartbeat.
		fitting := checker.machinesThatFit(job, usage)
		if job.startableSince.Before(checker.sim.faultsUntil) ||
			len(job.fittingMachines) == 0 { // time before the last fault ended does not count
			job.startableSince, job.fittingMachines = checker.sim.Now, fitting
		}
		job.fittingMachines = slices.DeleteFunc(
			job.fittingMachines,
			func(worker *machine) bool { return !slices.Contains(fitting, worker) },
		)
		if len(job.fittingMachines) == 0 {
			job.startableSince = time.Time{}
			continue
		}
		if waited := checker.sim.Now.Sub(job.startableSince); waited > maxStartableWait {
			checker.sim.reportViolation(
				RuleLeftWaiting,
				"%s for %v while a machine that fits has capacity",
				jobID,
				waited.Round(time.Second),
			)
		}
	}
}

// resources are CPUs and memory.
type resources struct {
	cpus, memoryGB float64
}

// clusterUsage is what runs on all running machines at one moment.
type clusterUsage struct {
	machines  []*machine
	available map[*machine]resources
	tasks     map[jobs.TaskID]bool // on any machine, in any state
	teamCPUs  map[string]float64
}

// measureUsage measures what runs now, by the true state of the machines.
func (checker *invariantChecker) measureUsage() clusterUsage {
	usage := clusterUsage{
		machines:  checker.sim.Cloud.runningMachines(),
		available: map[*machine]resources{},
		tasks:     map[jobs.TaskID]bool{},
		teamCPUs:  map[string]float64{},
	}
	for _, worker := range usage.machines {
		available := resources{worker.machineType.CPUs, worker.machineType.MemoryGB}
		for _, task := range worker.tasks {
			usage.tasks[task.id] = true
			if job := checker.jobs[task.id.JobID]; job != nil && task.reason == "" {
				available.cpus -= job.spec.CPUs
				available.memoryGB -= job.spec.MemoryGB
				usage.teamCPUs[job.spec.Team] += job.spec.CPUs
			}
		}
		usage.available[worker] = available
	}
	return usage
}

// machinesThatFit lists the machines that have capacity for a task of the job that waits, none if no task may start.
func (checker *invariantChecker) machinesThatFit(job *observedJob, usage clusterUsage) []*machine {
	if !checker.isStartable(job, usage) {
		return nil
	}
	spec := job.spec
	tasksByZone, placed := checker.tasksByZone(spec)
	return slices.DeleteFunc(slices.Clone(usage.machines), func(worker *machine) bool {
		available := usage.available[worker]
		isUsable := worker.reclaimAt.IsZero() && !worker.isFaulty && !worker.failedJobs[spec.ID] && worker.allowsJob(spec)
		hasCapacity := available.cpus >= spec.CPUs && available.memoryGB >= spec.MemoryGB
		fitsZone := (!spec.SingleZone || placed == tasksByZone[worker.zone]) &&
			(!spec.SpreadAcrossZones || tasksByZone[worker.zone] < (spec.Tasks+1)/2)
		return !isUsable || !hasCapacity || !fitsZone
	})
}

// isStartable reports whether the job has a task that waits, and neither its state, its dependencies nor its team's quota keep it
// from starting.
func (checker *invariantChecker) isStartable(job *observedJob, usage clusterUsage) bool {
	spec := job.spec
	if job.acceptedAt.IsZero() || job.cancelRequested || job.alwaysFails || !job.cancelledAt.IsZero() ||
		checker.anyDependency(spec.ID, func(other *observedJob) bool { return other.finishedAt.IsZero() }) {
		return false
	}
	hasWaitingTask := false
	for index := range spec.Tasks {
		hasWaitingTask = hasWaitingTask || !job.completedTasks[index] && !usage.tasks[jobs.TaskID{JobID: spec.ID, Index: index}]
	}
	if !hasWaitingTask {
		return false
	}
	for _, team := range checker.sim.Options.Teams {
		if team.Name == spec.Team && team.CPULimit > 0 && usage.teamCPUs[spec.Team]+spec.CPUs > team.CPULimit {
			return false
		}
	}
	return true
}

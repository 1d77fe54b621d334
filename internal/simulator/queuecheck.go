package simulator

import (
	"slices"
	"time"

	"gullrudder/internal/controller/jobs"
)

// maxStartableWait is the longest time that a job may wait after the end of all faults, while the same machine has capacity for it
// throughout and its team is under its limit.
const maxStartableWait = 90 * time.Second

// queueCheckInterval is the interval between checks for jobs that are left waiting.
const queueCheckInterval = 2 * time.Second

// watchQueue checks the queue at intervals, except while a fault is active.
func (checker *invariantChecker) watchQueue() {
	checker.sim.At(queueCheckInterval, func() {
		if checker.sim.Now.After(checker.sim.faultsUntil) {
			checker.checkLeftWaiting()
		}
		checker.watchQueue()
	})
}

// checkLeftWaiting checks that no job waits longer than maxStartableWait although a machine has capacity for it.
func (checker *invariantChecker) checkLeftWaiting() {
	usage := checker.measureUsage()
	for _, jobID := range checker.sim.Users.jobIDs {
		job := checker.jobs[jobID]
		// The same machine must fit throughout: in a shortage every machine has capacity briefly, until its next heartbeat.
		fitting := checker.machinesThatFit(job, usage)
		if job.startableSince.Before(checker.sim.faultsUntil) ||
			len(job.fittingMachines) == 0 { // time before the end of the last fault does not count
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
				"%s waited %v although a machine that fits has capacity",
				jobID,
				waited.Round(time.Second),
			)
		}
	}
}

// resources are the CPUs and memory of a machine.
type resources struct {
	cpus, memoryGB float64
}

// clusterUsage is the use of all running machines at one time.
type clusterUsage struct {
	machines  []*machine
	available map[*machine]resources
	tasks     map[jobs.TaskID]bool // tasks on any machine, in any state
	teamCPUs  map[string]float64
}

// measureUsage returns the current usage from the true state of the machines, not from what controllers know.
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

// machinesThatFit returns the machines that have capacity for a waiting task of the job. It returns none if no task may start.
func (checker *invariantChecker) machinesThatFit(job *observedJob, usage clusterUsage) []*machine {
	if !checker.isStartable(job, usage) {
		return nil
	}
	spec := job.spec
	tasksByZone, placed := checker.tasksByZone(spec)
	return slices.DeleteFunc(slices.Clone(usage.machines), func(worker *machine) bool {
		available := usage.available[worker]
		isUsable := worker.reclaimAt.IsZero() && !worker.isFaulty && worker.allowsJob(spec)
		hasCapacity := available.cpus >= spec.CPUs && available.memoryGB >= spec.MemoryGB
		fitsZone := (!spec.SingleZone || placed == tasksByZone[worker.zone]) &&
			(!spec.SpreadAcrossZones || tasksByZone[worker.zone] < (spec.Tasks+1)/2)
		return !isUsable || !hasCapacity || !fitsZone
	})
}

// isStartable reports whether the job has a waiting task that may start under the job's state, its dependencies and its team's quota.
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

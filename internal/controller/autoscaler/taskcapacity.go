package autoscaler

import (
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/worker"
)

// requiredTasks returns how many tasks of a job must be placed at the same time for it to make progress.
func requiredTasks(job *jobs.Job) int {
	if job.IsGang || job.IsService {
		return job.Tasks
	}
	return 1
}

// taskCapacity returns how many tasks of the job the machines could hold within its zone rules if only replicas of other jobs
// ran, which hold their resources until these are cancelled.
func (p *capacityProjection) taskCapacity(job *jobs.Job, zones *placement.ZoneAllowance) int {
	total, largest := 0, 0
	if !placement.HasZoneRules(job) {
		p.visitTaskCapacity(job, func(_ string, tasks int) { total += tasks })
		return total
	}
	for zone, capacity := range p.taskCapacityByZone(job) {
		tasks := min(capacity, zones.AllowedWhenEmpty(zone))
		total += tasks
		largest = max(largest, tasks)
	}
	if job.SingleZone {
		return largest
	}
	return total
}

// taskCapacityByZone returns how many tasks of the job the machines of each zone could hold if only replicas of other
// jobs ran.
func (p *capacityProjection) taskCapacityByZone(job *jobs.Job) map[string]int {
	byZone := map[string]int{}
	p.visitTaskCapacity(job, func(zone string, tasks int) { byZone[zone] += tasks })
	return byZone
}

// visitTaskCapacity calls visit with parts of the number of tasks that the machines of a zone could hold if only replicas of other jobs
// ran. The parts of a zone add up to its number.
func (p *capacityProjection) visitTaskCapacity(job *jobs.Job, visit func(zone string, tasks int)) {
	for kind, capacity := range p.byKind {
		if placement.KindAllowed(job, kind) {
			visit(kind.Zone, capacity.count*capacity.machineResources.TasksThatFit(job))
		}
	}
	if len(p.restricted) == 0 {
		return
	}
	own := replicasByMachine(job)
	for i := range p.restricted {
		restricted := &p.restricted[i]
		if placement.KindAllowed(job, restricted.kind) {
			empty := p.byKind[restricted.kind].machineResources
			visit(restricted.kind.Zone, restricted.taskCapacity(job, empty, own)-empty.TasksThatFit(job))
		}
	}
}

// taskCapacity returns how many tasks of the job a machine that is up could hold if only replicas of other jobs ran there: none if the job
// avoids it. empty are the resources of the machine without tasks, own the numbers of replicas of the job by machine.
func (m *projectedMachine) taskCapacity(job *jobs.Job, empty worker.Resources, own map[string]int) int {
	if placement.IsAvoided(job, m.machine) {
		return 0
	}
	usedByOthers := m.machine.UsedByServices.AfterPlacing(job, own[m.machine.ID])
	return empty.Minus(usedByOthers).TasksThatFit(job)
}

// replicasByMachine returns the numbers of active attempts of a service by machine ID. For other jobs it returns nil.
func replicasByMachine(job *jobs.Job) map[string]int {
	if !job.IsService {
		return nil
	}
	byMachine := map[string]int{}
	for _, attempt := range job.ActiveAttempts {
		byMachine[attempt.MachineID]++
	}
	return byMachine
}

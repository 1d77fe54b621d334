package autoscaler

import (
	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/units"
)

// capacityProjection is the capacity of the machines that are up, booting or planned. The waiting tasks are placed on it.
type capacityProjection struct {
	totalCPUs        float64
	slots            []slot // machines on which a task may still fit
	byKind           map[cloud.InstanceKind]*kindCapacity
	smallestTaskCPUs float64 // of the waiting tasks
}

// slot is a machine in the projection.
type slot struct {
	kind      cloud.InstanceKind
	available worker.Resources
}

// kindCapacity is the empty machines of a kind.
type kindCapacity struct {
	machineResources worker.Resources
	count            int
}

// projectCapacity returns the projection of the instances as they are. Machines with an expired lease and machines in unavailable
// zones do not count: their tasks need new instances at once.
func (s *Scaler) projectCapacity() *capacityProjection {
	projection := &capacityProjection{
		byKind:           map[cloud.InstanceKind]*kindCapacity{},
		smallestTaskCPUs: s.placer.SmallestTaskCPUs(),
	}
	for i := range s.instances {
		tracked := &s.instances[i]
		if !tracked.isCounted() || tracked.leaseExpired || s.zones.IsUnavailable(tracked.Kind.Zone) {
			continue
		}
		machine := tracked.machine
		switch {
		case machine == nil:
			projection.add(tracked.Kind, tracked.machineType)
		case machine.DrainReason != worker.NotDraining:
		case !machine.HasReported: // its tasks are unknown: counted as full
			projection.add(tracked.Kind, tracked.machineType)
			projection.setLast(worker.Resources{})
		default:
			projection.add(tracked.Kind, tracked.machineType)
			projection.setLast(machine.Available())
		}
	}
	return projection
}

// add adds an empty machine.
func (p *capacityProjection) add(kind cloud.InstanceKind, machineType *cloud.MachineType) {
	resources := placement.TypeResources(machineType)
	p.totalCPUs += machineType.CPUs
	p.slots = append(p.slots, slot{kind: kind, available: resources})
	capacity := p.byKind[kind]
	if capacity == nil {
		capacity = &kindCapacity{machineResources: resources}
		p.byKind[kind] = capacity
	}
	capacity.count++
}

// setLast sets what is available on the machine that was added last.
func (p *capacityProjection) setLast(available worker.Resources) {
	p.slots[len(p.slots)-1].available = available
}

// reserveLast places tasks on the machine that was added last. It returns their number.
func (p *capacityProjection) reserveLast(job *jobs.Job, tasks int) int {
	return p.slots[len(p.slots)-1].reserve(job, tasks)
}

func (s *slot) reserve(job *jobs.Job, tasks int) int {
	s.available = s.available.AfterPlacing(job, tasks)
	return tasks
}

// fill places up to maxTasks tasks of the job and returns how many found a place. It drops the slots that are full on its way, so
// that a loaded cluster is walked only once.
func (p *capacityProjection) fill(job *jobs.Job, maxTasks int) int {
	placed, kept := 0, 0
	for i := range p.slots {
		if placed >= maxTasks {
			if kept == i {
				return placed
			}
			kept += copy(p.slots[kept:], p.slots[i:])
			p.slots = p.slots[:kept]
			return placed
		}
		current := &p.slots[i]
		if fit := current.available.TasksThatFit(job); fit > 0 && placement.KindAllowed(job, current.kind) {
			placed += current.reserve(job, min(fit, maxTasks-placed))
		}
		if current.available.CPUs >= p.smallestTaskCPUs-units.ResourceTolerance {
			p.slots[kept] = *current
			kept++
		}
	}
	p.slots = p.slots[:kept]
	return placed
}

// requiredTasks returns how many tasks of a job must have a place at the same time for it to make progress.
func requiredTasks(job *jobs.Job) int {
	if job.IsGang || job.IsService {
		return job.Tasks
	}
	return 1
}

// taskCapacity returns how many tasks of the job the machines could hold if nothing else ran.
func (p *capacityProjection) taskCapacity(job *jobs.Job) int {
	tasks := 0
	for kind, capacity := range p.byKind {
		if placement.KindAllowed(job, kind) {
			tasks += capacity.count * capacity.machineResources.TasksThatFit(job)
		}
	}
	return tasks
}

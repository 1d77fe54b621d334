package autoscaler

import (
	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/units"
)

// capacityProjection holds the capacity of the machines that are running, booting or planned. The waiting tasks are placed on it.
type capacityProjection struct {
	totalCPUs        float64
	machines         []projectedMachine // machines on which a task may still fit
	byKind           map[cloud.InstanceKind]*kindCapacity
	smallestTaskCPUs float64 // lowest CPU request of the waiting tasks
}

type projectedMachine struct {
	kind      cloud.InstanceKind
	available worker.Resources
}

// kindCapacity counts the machines of a kind. machineResources are those of one empty machine.
type kindCapacity struct {
	machineResources worker.Resources
	count            int
}

// projectCapacity returns the projection of the present instances. Machines with an expired lease and machines in unavailable
// zones do not count: their tasks need new instances immediately.
func (s *Scaler) projectCapacity() *capacityProjection {
	projection := &capacityProjection{
		byKind:           map[cloud.InstanceKind]*kindCapacity{},
		smallestTaskCPUs: s.placer.SmallestTaskCPUs(),
	}
	for i := range s.instances {
		tracked := &s.instances[i]
		if !tracked.isActive() || tracked.leaseExpired || s.zones.IsUnavailable(tracked.Kind.Zone) {
			continue
		}
		machine := tracked.machine
		switch {
		case machine == nil:
			projection.addMachine(tracked.Kind, tracked.machineType)
		case machine.DrainReason != worker.NotDraining:
		case !machine.HasSentHeartbeat: // its tasks are unknown, so it counts as full
			projection.addMachine(tracked.Kind, tracked.machineType)
			projection.setLastAvailable(worker.Resources{})
		default:
			projection.addMachine(tracked.Kind, tracked.machineType)
			projection.setLastAvailable(machine.Available())
		}
	}
	return projection
}

// addMachine adds an empty machine.
func (p *capacityProjection) addMachine(kind cloud.InstanceKind, machineType *cloud.MachineType) {
	resources := placement.TypeResources(machineType)
	p.totalCPUs += machineType.CPUs
	p.machines = append(p.machines, projectedMachine{kind: kind, available: resources})
	capacity := p.byKind[kind]
	if capacity == nil {
		capacity = &kindCapacity{machineResources: resources}
		p.byKind[kind] = capacity
	}
	capacity.count++
}

// setLastAvailable sets the available resources of the machine that was added last.
func (p *capacityProjection) setLastAvailable(available worker.Resources) {
	p.machines[len(p.machines)-1].available = available
}

// reserveOnLast places tasks on the machine that was added last. It returns their number.
func (p *capacityProjection) reserveOnLast(job *jobs.Job, tasks int) int {
	return p.machines[len(p.machines)-1].reserve(job, tasks)
}

func (m *projectedMachine) reserve(job *jobs.Job, tasks int) int {
	m.available = m.available.AfterPlacing(job, tasks)
	return tasks
}

// placeTasks places up to maxTasks tasks of the job and returns how many it placed. It drops the full machines that it passes, so
// that a loaded cluster is scanned only once.
func (p *capacityProjection) placeTasks(job *jobs.Job, maxTasks int) int {
	placed, kept := 0, 0
	for i := range p.machines {
		if placed >= maxTasks {
			if kept == i {
				return placed
			}
			kept += copy(p.machines[kept:], p.machines[i:])
			p.machines = p.machines[:kept]
			return placed
		}
		current := &p.machines[i]
		if fit := current.available.TasksThatFit(job); fit > 0 && placement.KindAllowed(job, current.kind) {
			placed += current.reserve(job, min(fit, maxTasks-placed))
		}
		if current.available.CPUs >= p.smallestTaskCPUs-units.ResourceTolerance {
			p.machines[kept] = *current
			kept++
		}
	}
	p.machines = p.machines[:kept]
	return placed
}

// requiredTasks returns how many tasks of a job must be placed at the same time for it to make progress.
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

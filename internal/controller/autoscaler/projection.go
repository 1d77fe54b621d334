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
	restricted       []projectedMachine // machines in byKind that some jobs avoid, or on which replicas run
	smallestTaskCPUs float64            // lowest CPU request of the waiting tasks
}

type projectedMachine struct {
	kind      cloud.InstanceKind
	available worker.Resources
	machine   *worker.Machine // nil if it is booting or planned
}

// accepts reports whether tasks of the job may start on the machine if it has enough available resources.
func (m *projectedMachine) accepts(job *jobs.Job) bool {
	return placement.KindAllowed(job, m.kind) && (m.machine == nil || !placement.IsAvoided(job, m.machine))
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
		case machine.IsUnreachable:
			projection.totalCPUs += tracked.machineType.CPUs // no task can start on it, but its running tasks continue
		default:
			projection.addMachine(tracked.Kind, tracked.machineType)
			projection.setLast(machine)
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

// setLast makes the machine that was added last a machine that is up.
func (p *capacityProjection) setLast(machine *worker.Machine) {
	last := &p.machines[len(p.machines)-1]
	last.machine, last.available = machine, worker.Resources{}
	if machine.HasSentHeartbeat { // otherwise its tasks are unknown, so it counts as full
		last.available = machine.Available()
	}
	if len(machine.FailedJobs) > 0 || machine.UsedByServices.Tasks > 0 {
		p.restricted = append(p.restricted, *last)
	}
}

// placeOnLast places up to maxTasks tasks on the machine that was added last. It returns their number.
func (p *capacityProjection) placeOnLast(job *jobs.Job, maxTasks int, zones *placement.ZoneAllowance) int {
	return p.machines[len(p.machines)-1].place(job, maxTasks, zones)
}

// place places up to maxTasks tasks of the job on the machine and returns how many it placed.
func (m *projectedMachine) place(job *jobs.Job, maxTasks int, zones *placement.ZoneAllowance) int {
	fit := min(m.available.TasksThatFit(job), maxTasks)
	if fit <= 0 || !m.accepts(job) {
		return 0
	}
	tasks := zones.Assign(m.kind.Zone, fit)
	m.available = m.available.AfterPlacing(job, tasks)
	return tasks
}

// placeTasks places up to maxTasks tasks of the job within its zone rules and returns how many it placed. It drops the full machines
// that it passes, so that a loaded cluster is scanned only once.
func (p *capacityProjection) placeTasks(job *jobs.Job, maxTasks int, zones *placement.ZoneAllowance) int {
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
		placed += current.place(job, maxTasks-placed, zones)
		if current.available.CPUs >= p.smallestTaskCPUs-units.ResourceTolerance {
			p.machines[kept] = *current
			kept++
		}
	}
	p.machines = p.machines[:kept]
	return placed
}

// availableByZone returns how many more tasks of the job fit on the machines of each zone.
func (p *capacityProjection) availableByZone(job *jobs.Job) map[string]int {
	byZone := map[string]int{}
	for i := range p.machines {
		if machine := &p.machines[i]; machine.accepts(job) {
			byZone[machine.kind.Zone] += machine.available.TasksThatFit(job)
		}
	}
	return byZone
}

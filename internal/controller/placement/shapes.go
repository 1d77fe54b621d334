package placement

import (
	"strings"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/units"
)

// Shape holds the properties of a job that determine on which machines its tasks fit. It covers neither failures nor zone rules, see
// FitsAsShape.
type Shape struct {
	cpus, gpus, memoryGB float64
	zone, machineTypes   string
	allowsSpot           bool
}

// ShapeOf returns the shape of a job. Shapes are comparable.
func ShapeOf(job *jobs.Job) Shape {
	return Shape{job.CPUs, job.GPUs, job.MemoryGB, job.Zone, strings.Join(job.MachineTypes, " "), job.AllowsSpot}
}

// FitsAsShape reports whether the tasks of the job fit on the same machines as those of any other such job of its shape. A job that avoids
// machines, and one with zone rules, may fit on fewer.
func FitsAsShape(job *jobs.Job) bool { return len(job.AvoidedMachines) == 0 && !HasZoneRules(job) }

// representativeOf returns a copy of the job with the maximum number of tasks and without zone rules. Counts for it apply to all jobs of
// its shape, to those with zone rules zone by zone.
func representativeOf(job *jobs.Job) *jobs.Job {
	representative := *job
	representative.Tasks, representative.SingleZone, representative.SpreadAcrossZones = jobs.MaxTasks, false, false
	return &representative
}

// shapeFits caches, by shape number, how many tasks of the shape fit on the unreserved machines. The machines are thus
// scanned once per shape instead of once per job.
type shapeFits []shapeFit

type shapeFit struct {
	isCounted   bool
	tasksByZone map[string]int // number of tasks that fit on the unreserved machines
	tasks       int            // sum of tasksByZone
	isExhausted bool           // no unreserved machine is left that could be reserved
}

func newShapeFits(shapes int) shapeFits { return make(shapeFits, shapes) }

// isExhausted reports whether an earlier search found no machine to reserve for a job of the shape. Machines are only removed from the
// unreserved ones, and a job that does not fit as its shape fits on fewer, so none would be found for any job of the shape.
func (f shapeFits) isExhausted(number int) bool { return f[number].isExhausted }

// recordReservation records how many machines were reserved for a job, and how many were removed from the unreserved
// machines.
func (f shapeFits) recordReservation(job *jobs.Job, number, reserved, removed int) {
	for i := range f {
		f[i].isCounted = f[i].isCounted && removed == 0
	}
	isRestricted := len(job.AvoidedMachines) > 0 || HasZoneRules(job) && len(job.ActiveAttempts) > 0
	if reserved == 0 && !isRestricted {
		f[number].isExhausted = true
	}
}

// fittingTasks returns how many of the job's tasks, up to maxTasks, fit on the unreserved machines. The machines must be
// sorted by available CPUs in descending order.
func (f shapeFits) fittingTasks(job *jobs.Job, number int, machines []*worker.Machine, maxTasks int) int {
	if len(job.AvoidedMachines) > 0 {
		return countFittingTasks(job, machines, maxTasks)
	}
	fit := &f[number]
	if !fit.isCounted {
		fit.count(job, machines)
	}
	if !HasZoneRules(job) {
		return min(fit.tasks, maxTasks)
	}
	tasks := 0
	for zone, fitting := range fit.tasksByZone {
		tasks += min(fitting, TasksAllowedInZone(job, zone))
	}
	return min(tasks, maxTasks)
}

// count counts the tasks of the job's shape that fit on the machines.
func (f *shapeFit) count(job *jobs.Job, machines []*worker.Machine) {
	f.isCounted, f.tasks, f.tasksByZone = true, 0, map[string]int{}
	visitFittingTasks(representativeOf(job), machines, func(machine *worker.Machine, tasks int) bool {
		f.tasks += tasks
		f.tasksByZone[machine.Zone] += tasks
		return true
	})
}

// countFittingTasks returns the result of fittingTasks without the cache, by a scan of the machines.
func countFittingTasks(job *jobs.Job, machines []*worker.Machine, maxTasks int) int {
	tasks, zones := 0, NewZoneAllowance(job)
	visitFittingTasks(job, machines, func(machine *worker.Machine, fitting int) bool {
		tasks += zones.Assign(machine.Zone, fitting)
		return tasks < maxTasks
	})
	return min(tasks, maxTasks)
}

// visitFittingTasks calls visit with the number of tasks that fit on each machine, until visit returns false. The machines must be sorted
// by available CPUs in descending order.
func visitFittingTasks(job *jobs.Job, machines []*worker.Machine, visit func(machine *worker.Machine, tasks int) bool) {
	for _, machine := range machines {
		if job.CPUs > 0 && machine.CPUs-machine.UsedCPUs < job.CPUs-units.ResourceTolerance {
			return // the remaining machines have fewer available CPUs
		}
		if IsEligible(job, machine) && !visit(machine, machine.TasksThatFit(job)) {
			return
		}
	}
}

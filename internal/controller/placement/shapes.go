package placement

import (
	"math"
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

// representativeOf returns a copy of the job with the maximum number of tasks. Counts for it apply to all jobs of its shape.
func representativeOf(job *jobs.Job) *jobs.Job {
	representative := *job
	representative.Tasks = jobs.MaxTasks
	return &representative
}

// shapeFits caches, by shape number, how many tasks of the shape fit on the unreserved machines. The machines are thus
// scanned once per shape instead of once per job.
type shapeFits []shapeFit

type shapeFit struct {
	isCounted   bool
	tasks       int  // number of tasks that fit on the unreserved machines
	isExhausted bool // no unreserved machine is left that could be reserved
}

func newShapeFits(shapes int) shapeFits { return make(shapeFits, shapes) }

// isExhausted reports whether an earlier search found no machine to reserve for a job of the same shape. Machines are only
// removed from the unreserved ones, so none would be found for this job either.
func (f shapeFits) isExhausted(job *jobs.Job, number int) bool {
	return FitsAsShape(job) && f[number].isExhausted
}

// recordReservation records how many machines were reserved for a job, and how many were removed from the unreserved
// machines.
func (f shapeFits) recordReservation(job *jobs.Job, number, reserved, removed int) {
	for i := range f {
		f[i].isCounted = f[i].isCounted && removed == 0
	}
	if reserved == 0 && FitsAsShape(job) {
		f[number].isExhausted = true
	}
}

// fittingTasks returns how many of the job's tasks, up to maxTasks, fit on the unreserved machines. The machines must be
// sorted by available CPUs in descending order.
func (f shapeFits) fittingTasks(job *jobs.Job, number int, machines []*worker.Machine, maxTasks int) int {
	if !FitsAsShape(job) {
		return countFittingTasks(job, machines, maxTasks)
	}
	fit := &f[number]
	if !fit.isCounted {
		fit.isCounted, fit.tasks = true, countFittingTasks(representativeOf(job), machines, math.MaxInt)
	}
	return min(fit.tasks, maxTasks)
}

// countFittingTasks returns the result of fittingTasks without the cache, by a scan of the machines.
func countFittingTasks(job *jobs.Job, machines []*worker.Machine, maxTasks int) int {
	tasks, zones := 0, NewZoneAllowance(job)
	for _, machine := range machines {
		if tasks >= maxTasks || job.CPUs > 0 && machine.CPUs-machine.UsedCPUs < job.CPUs-units.ResourceTolerance {
			break // the remaining machines have fewer available CPUs
		}
		if IsEligible(job, machine) {
			tasks += zones.Assign(machine.Zone, machine.TasksThatFit(job))
		}
	}
	return min(tasks, maxTasks)
}

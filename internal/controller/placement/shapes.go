package placement

import (
	"math"
	"strings"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/units"
)

// Shape holds the properties of a job that determine on which machines its tasks fit. It does not cover failures: a job
// avoids the machines on which its tasks failed.
type Shape struct {
	cpus, gpus, memoryGB float64
	zone, machineTypes   string
	allowsSpot           bool
}

// ShapeOf returns the shape of a job. Shapes are comparable.
func ShapeOf(job *jobs.Job) Shape {
	return Shape{job.CPUs, job.GPUs, job.MemoryGB, job.Zone, strings.Join(job.MachineTypes, " "), job.AllowsSpot}
}

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
	return job.FailureCount == 0 && f[number].isExhausted
}

// recordReservation records how many machines were reserved for a job, and how many were removed from the unreserved
// machines.
func (f shapeFits) recordReservation(job *jobs.Job, number, reserved, removed int) {
	for i := range f {
		f[i].isCounted = f[i].isCounted && removed == 0
	}
	if reserved == 0 && job.FailureCount == 0 {
		f[number].isExhausted = true
	}
}

// fittingTasks returns how many of the job's tasks, up to maxTasks, fit on the unreserved machines. The machines must be
// sorted by available CPUs in descending order.
func (f shapeFits) fittingTasks(job *jobs.Job, number int, machines []*worker.Machine, maxTasks int) int {
	if job.FailureCount > 0 {
		return countFittingTasks(job, machines, maxTasks) // this job avoids the machines on which it failed
	}
	fit := &f[number]
	if !fit.isCounted {
		fit.isCounted, fit.tasks = true, countFittingTasks(representativeOf(job), machines, math.MaxInt)
	}
	return min(fit.tasks, maxTasks)
}

// countFittingTasks returns the result of fittingTasks without the cache, by a scan of the machines.
func countFittingTasks(job *jobs.Job, machines []*worker.Machine, maxTasks int) int {
	tasks := 0
	for _, machine := range machines {
		if tasks >= maxTasks || job.CPUs > 0 && machine.CPUs-machine.UsedCPUs < job.CPUs-units.ResourceTolerance {
			break // the remaining machines have fewer available CPUs
		}
		if IsEligible(job, machine) {
			tasks += machine.TasksThatFit(job)
		}
	}
	return min(tasks, maxTasks)
}

package placement

import (
	"math"
	"strings"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/units"
)

// Shape is everything of a job that decides on which machines its tasks fit, as long as none of them has failed.
type Shape struct {
	cpus, gpus, memoryGB float64
	zone, machineTypes   string
	allowsSpot           bool
}

// ShapeOf returns the shape of a job.
func ShapeOf(job *jobs.Job) Shape {
	return Shape{job.CPUs, job.GPUs, job.MemoryGB, job.Zone, strings.Join(job.MachineTypes, " "), job.AllowsSpot}
}

// representativeOf returns a copy of the job that stands for all jobs of its shape, however many tasks they have.
func representativeOf(job *jobs.Job) *jobs.Job {
	representative := *job
	representative.Tasks = jobs.MaxTasks
	return &representative
}

// shapeFits caches, by the number of a shape, how many of its tasks fit on the free machines, so that the machines are
// walked once for each shape and not for each job.
type shapeFits []shapeFit

type shapeFit struct {
	isCounted   bool
	tasks       int  // that fit on the free machines
	isExhausted bool // no free machine is left that could be reserved
}

func newShapeFits(shapes int) shapeFits { return make(shapeFits, shapes) }

// isExhausted reports that no machine was found to reserve for a job of the same shape. The free machines only become
// fewer, so none is found for this job either.
func (f shapeFits) isExhausted(job *jobs.Job, number int) bool {
	return job.FailureCount == 0 && f[number].isExhausted
}

// recordReservation records how many machines were reserved for a job, and how many are no longer free.
func (f shapeFits) recordReservation(job *jobs.Job, number, reserved, removed int) {
	for i := range f {
		f[i].isCounted = f[i].isCounted && removed == 0
	}
	if reserved == 0 && job.FailureCount == 0 {
		f[number].isExhausted = true
	}
}

// fittingTasks is the number of the job's tasks, up to maxTasks, that fit on the free machines, which are sorted by their
// free CPUs.
func (f shapeFits) fittingTasks(job *jobs.Job, number int, free []*worker.Machine, maxTasks int) int {
	if job.FailureCount > 0 {
		return countFittingTasks(job, free, maxTasks) // this job cannot use the machines on which it failed
	}
	fit := &f[number]
	if !fit.isCounted {
		fit.isCounted, fit.tasks = true, countFittingTasks(representativeOf(job), free, math.MaxInt)
	}
	return min(fit.tasks, maxTasks)
}

// countFittingTasks counts by a walk over the free machines.
func countFittingTasks(job *jobs.Job, free []*worker.Machine, maxTasks int) int {
	tasks := 0
	for _, machine := range free {
		if tasks >= maxTasks || job.CPUs > 0 && machine.CPUs-machine.UsedCPUs < job.CPUs-units.ResourceTolerance {
			break // the remaining machines have fewer free CPUs
		}
		if IsEligible(job, machine) {
			tasks += machine.TasksThatFit(job)
		}
	}
	return min(tasks, maxTasks)
}

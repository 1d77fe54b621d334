package worker

import (
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/units"
)

// Resources are quantities of CPUs, GPUs and memory, used by tasks or available on a machine, and a number of tasks.
type Resources struct {
	CPUs, GPUs, MemoryGB float64
	Tasks                int // number of tasks, whatever they use
}

// TasksThatFit returns how many tasks of the job fit into these resources, at most job.Tasks.
func (r Resources) TasksThatFit(job *jobs.Job) int {
	count := limitByResource(min(job.Tasks, r.Tasks), job.CPUs, r.CPUs)
	count = limitByResource(count, job.GPUs, r.GPUs)
	return max(limitByResource(count, job.MemoryGB, r.MemoryGB), 0)
}

// limitByResource returns how many of count tasks fit into the available quantity of one resource. Each task requires perTask of it.
func limitByResource(count int, perTask, available float64) int {
	if perTask <= 0 {
		return count
	}
	return units.CountThatFits(count, perTask, available+units.ResourceTolerance)
}

// AfterPlacing returns the resources left after placing a number of tasks of the job. A negative number releases their resources.
func (r Resources) AfterPlacing(job *jobs.Job, tasks int) Resources {
	count := float64(tasks)
	return Resources{r.CPUs - count*job.CPUs, r.GPUs - count*job.GPUs, r.MemoryGB - count*job.MemoryGB, r.Tasks - tasks}
}

// Minus returns the resources without those in use.
func (r Resources) Minus(used Resources) Resources {
	return Resources{r.CPUs - used.CPUs, r.GPUs - used.GPUs, r.MemoryGB - used.MemoryGB, r.Tasks - used.Tasks}
}

// Usage is the resources that a team's attempts use. It includes attempts that may have ended already.
type Usage struct{ CPUs, GPUs float64 }

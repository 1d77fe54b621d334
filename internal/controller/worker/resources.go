package worker

import "gullrudder/internal/controller/jobs"

// Resources is what tasks take of a machine, or what is available on one.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// TasksThatFit returns how many tasks of the job these resources suffice for, at most all of its tasks.
func (r Resources) TasksThatFit(job *jobs.Job) int {
	count := limitByResource(job.Tasks, job.CPUs, r.CPUs)
	count = limitByResource(count, job.GPUs, r.GPUs)
	return max(limitByResource(count, job.MemoryGB, r.MemoryGB), 0)
}

// limitByResource returns how many of count tasks fit if each needs so much of one resource.
func limitByResource(count int, need, available float64) int {
	if need <= 0 {
		return count
	}
	return min(count, int((available+jobs.ResourceTolerance)/need))
}

// AfterPlacing returns what is left beside so many tasks of the job. A negative number of tasks gives resources back.
func (r Resources) AfterPlacing(job *jobs.Job, tasks int) Resources {
	count := float64(tasks)
	return Resources{r.CPUs - count*job.CPUs, r.GPUs - count*job.GPUs, r.MemoryGB - count*job.MemoryGB}
}

// Usage is what a team's attempts take, including those that may be gone already.
type Usage struct{ CPUs, GPUs float64 }

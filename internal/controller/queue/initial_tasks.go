package queue

import (
	"slices"

	"gullrudder/internal/controller/admission"
	"gullrudder/internal/controller/ageing"
	"gullrudder/internal/controller/estimate"
	"gullrudder/internal/controller/jobs"
)

const (
	// initialTasksShare is the share of the cluster for the initial tasks of all jobs that await their first start.
	initialTasksShare = 0.05
	// maxInitialTasks bounds the initial tasks of one array, of which they are a hundredth.
	maxInitialTasks = 8
	// initialTaskDivisor is how many tasks of an array there are to one initial task.
	initialTaskDivisor = 100
)

// initialTaskCount is the number of tasks that the first start of a job needs at a time. A gang starts as a whole.
func initialTaskCount(job *jobs.Job) int {
	if job.IsGang {
		return job.Tasks
	}
	return min(max(job.Tasks/initialTaskDivisor, 1), maxInitialTasks)
}

// setAwaitingStart selects the jobs of which nothing was started within the bound for first starts, the oldest first, as far
// as the share for initial tasks goes. Without this rule the order by shortest remaining time started the largest jobs last,
// after more than four minutes.
func (r *Ranker) setAwaitingStart(candidates []candidate, capacity admission.Capacity) {
	if r.options.StartBound <= 0 {
		return
	}
	var awaiting []*candidate
	for i := range candidates {
		c := &candidates[i]
		if c.age > r.options.StartBound && isUnstarted(c.job) && capacity.StartableTasks(c.job) > 0 {
			awaiting = append(awaiting, c)
		}
	}
	slices.SortFunc(awaiting, func(a, b *candidate) int { return ageing.CompareAge(a.job, b.job) })
	usedCPUs := 0.0
	for i, c := range awaiting {
		if usedCPUs >= initialTasksShare*capacity.CPUs && i > 0 {
			break
		}
		c.awaitsStart = true
		usedCPUs += float64(initialTaskCount(c.job)) * estimate.CountedCPUs(c.job)
	}
}

// isUnstarted reports whether nothing was started of a job that has a first start to wait for.
func isUnstarted(job *jobs.Job) bool {
	return !job.IsService && !job.CrashLooping && job.DoneTasks+len(job.ActiveAttempts) == 0
}

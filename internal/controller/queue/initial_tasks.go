package queue

import (
	"slices"

	"gullrudder/internal/controller/admission"
	"gullrudder/internal/controller/ageing"
	"gullrudder/internal/controller/estimate"
	"gullrudder/internal/controller/jobs"
)

const (
	// initialTasksShare is the share of the cluster's CPUs for the initial tasks of all jobs that await their first start.
	initialTasksShare = 0.05
	// maxInitialTasks is the maximum number of initial tasks of one array.
	maxInitialTasks = 8
	// initialTaskDivisor is the number of tasks of an array per initial task.
	initialTaskDivisor = 100
)

// initialTaskCount returns how many tasks of a job run at a time for its first start. All tasks of a gang start together.
func initialTaskCount(job *jobs.Job) int {
	if job.IsGang {
		return job.Tasks
	}
	return min(max(job.Tasks/initialTaskDivisor, 1), maxInitialTasks)
}

// setAwaitingStart selects jobs that had no task started within StartBound, the oldest first, until their initial tasks use
// up initialTasksShare. Without this rule, the order by shortest remaining time started the largest jobs last, after more
// than four minutes.
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

// isUnstarted reports whether no task of the job was started. Services and crash-looping jobs never count as unstarted.
func isUnstarted(job *jobs.Job) bool {
	return !job.IsService && !job.CrashLooping && job.DoneTasks+len(job.ActiveAttempts) == 0
}

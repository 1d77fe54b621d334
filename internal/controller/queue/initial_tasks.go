package queue

import (
	"slices"
	"time"

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

// jobsAwaitingStart returns the jobs of which nothing was started within the bound for first starts, the oldest first, as
// far as the share for initial tasks goes. Without this
// rule the order by shortest remaining time started the largest jobs last, after more than four minutes.
func (r *Ranker) jobsAwaitingStart(now time.Time, live []*jobs.Job, capacity admission.Capacity) map[*jobs.Job]bool {
	if r.options.StartBound <= 0 {
		return nil
	}
	var awaiting []*jobs.Job
	for _, job := range live {
		if r.awaitsStart(now, job) && capacity.StartableTasks(job) > 0 {
			awaiting = append(awaiting, job)
		}
	}
	slices.SortFunc(awaiting, ageing.CompareAge)
	chosen := map[*jobs.Job]bool{}
	usedCPUs := 0.0
	for _, job := range awaiting {
		if usedCPUs >= initialTasksShare*capacity.CPUs && len(chosen) > 0 {
			break
		}
		chosen[job] = true
		usedCPUs += float64(initialTaskCount(job)) * estimate.CountedCPUs(job)
	}
	return chosen
}

// awaitsStart reports whether nothing of the job was started within the bound for first starts.
func (r *Ranker) awaitsStart(now time.Time, job *jobs.Job) bool {
	return !job.IsService && !job.CrashLooping && job.DoneTasks+len(job.ActiveAttempts) == 0 &&
		now.Sub(job.EligibleSince()) > r.options.StartBound
}

package queue

import (
	"time"

	"gullrudder/internal/controller/admission"
	"gullrudder/internal/controller/fairshare"
	"gullrudder/internal/controller/jobs"
)

// setOverdueReasons sets overdueReason of the overdue jobs for which capacity is set aside. Services, crash-looping jobs and jobs that
// are planned or served first are left out.
func (r *Ranker) setOverdueReasons(now time.Time, candidates []candidate, live []*jobs.Job, capacity admission.Capacity) {
	var overdue []fairshare.OverdueJob
	for i := range candidates {
		c := &candidates[i]
		if c.job.IsService || c.job.CrashLooping || c.isPlanned || c.isAgedFirst || !r.isOverdue(c) {
			continue
		}
		overdue = append(overdue, fairshare.OverdueJob{
			Job:                 c.job,
			RemainingCPUSeconds: c.remainingCPUSeconds,
			StartableTasks:      capacity.StartableTasks(c.job),
			IsStarved:           r.isStarved(c),
		})
	}
	reasons := r.fairShare.Allocate(now, overdue, live, capacity.CPUs)
	for i := range candidates {
		candidates[i].overdueReason = reasons[candidates[i].job]
	}
}

// isOverdue reports whether the job can no longer meet any of its objectives, or has waited longer than overdueAfter.
func (r *Ranker) isOverdue(c *candidate) bool {
	return c.age > r.overdueAfter(c) || r.objectives.areMissed(c.job, c.age, c.taskRunTime)
}

// isStarved reports whether an overdue job counts against the served share of its class and team. It does once it has
// waited a quarter longer than its longest objective allows, or longer than overdueAfter.
func (r *Ranker) isStarved(c *candidate) bool {
	longest := r.objectives.longestTimeLimit(c.job, c.taskRunTime)
	if longest <= 0 {
		longest = r.options.AgeBound
	}
	return c.age > min(5*longest/4, r.overdueAfter(c))
}

// overdueAfter returns the age after which a job is overdue even if it can still meet its objectives: the age bound, or less
// if no job of its class was done recently. Without the shorter age, six jobs of a class with long objectives got no capacity
// before the age bound, and only two were done by the end of the simulated run (a4e2-15).
func (r *Ranker) overdueAfter(c *candidate) time.Duration {
	startBound := r.options.StartBound
	if startBound <= 0 || !r.fairShare.NoneDoneRecently(c.now, c.job.Class) {
		return r.options.AgeBound
	}
	if c.taskRunTime > startBound {
		return min(startBound, r.options.AgeBound) // with tasks this long, a later start would finish late or not at all
	}
	return min(8*startBound/5, r.options.AgeBound)
}

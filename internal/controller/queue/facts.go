package queue

import (
	"time"

	"gullrudder/internal/controller/admission"
	"gullrudder/internal/controller/fairshare"
	"gullrudder/internal/controller/jobs"
)

// orderFacts is what is computed once for an order from all jobs. The rules read it.
type orderFacts struct {
	now           time.Time
	clusterCPUs   float64                        // at least 1
	planned       map[*jobs.Job]bool             // guaranteed, and the work fits before the deadline
	withinQuota   map[*jobs.Job]bool             // within the team's guaranteed quota
	agedFirst     map[*jobs.Job]bool             // aged, and served before everything else
	awaitingStart map[*jobs.Job]bool             // nothing was started for long
	limitBound    map[string]bool                // teams whose work is delayed by their quota
	overdue       map[*jobs.Job]fairshare.Reason // overdue jobs that have capacity of their own
}

// candidate is a job that is being ranked.
type candidate struct {
	*orderFacts
	job                 *jobs.Job
	age                 time.Duration
	taskRunTime         time.Duration
	remainingCPUSeconds float64
	remainingSeconds    float64 // on the whole cluster
}

// collectFacts computes the facts of one order.
func (r *Ranker) collectFacts(now time.Time, live []*jobs.Job, capacity admission.Capacity) *orderFacts {
	f := &orderFacts{
		now:           now,
		clusterCPUs:   max(capacity.CPUs, 1),
		planned:       r.planner.Feasible(now, live, capacity),
		withinQuota:   r.jobsWithinQuota(live),
		limitBound:    r.limitBoundTeams(now, live, capacity),
		agedFirst:     r.AgeingPolicy().FirstJobs(now, live, capacity.CPUs, capacity.StartableTasks),
		awaitingStart: r.jobsAwaitingStart(now, live, capacity),
	}
	f.overdue = r.allocateOverdue(live, capacity, f)
	return f
}

// fillCandidate makes the candidate that of another job.
func (r *Ranker) fillCandidate(c *candidate, job *jobs.Job) {
	c.job = job
	c.age = c.now.Sub(job.EligibleSince())
	c.taskRunTime = r.estimator.TaskRunTime(job)
	c.remainingCPUSeconds = r.estimator.RemainingCPUSeconds(job, c.now)
	c.remainingSeconds = c.remainingCPUSeconds / c.clusterCPUs
}

package queue

import (
	"time"

	"gullrudder/internal/controller/admission"
	"gullrudder/internal/controller/fairshare"
	"gullrudder/internal/controller/jobs"
)

// allocateOverdue returns the overdue jobs that may use the capacity of overdue jobs now. Jobs that are served before
// them in any case are not among them.
func (r *Ranker) allocateOverdue(live []*jobs.Job, capacity admission.Capacity, facts *orderFacts) map[*jobs.Job]fairshare.Reason {
	var overdue []fairshare.OverdueJob
	for _, job := range live {
		if job.IsService || job.CrashLooping || facts.planned[job] || facts.agedFirst[job] || !r.isOverdue(facts.now, job) {
			continue
		}
		overdue = append(overdue, fairshare.OverdueJob{
			Job:                 job,
			RemainingCPUSeconds: r.estimator.RemainingCPUSeconds(job, facts.now),
			StartableTasks:      capacity.StartableTasks(job),
			IsUnserved:          r.isUnserved(facts.now, job),
		})
	}
	return r.fairShare.Allocate(facts.now, overdue, live, capacity.CPUs)
}

// isOverdue reports whether the job can meet none of its objectives any more, or has waited too long without any.
func (r *Ranker) isOverdue(now time.Time, job *jobs.Job) bool {
	age := now.Sub(job.EligibleSince())
	return age > r.overdueAfter(now, job) || r.objectives.areMissed(job, age, r.estimator.TaskRunTime(job))
}

// isUnserved reports whether an overdue job counts against the served share of its class and team: it is late by a
// quarter of what the longest of its objectives allowed.
func (r *Ranker) isUnserved(now time.Time, job *jobs.Job) bool {
	longest := r.objectives.longestAllowed(job, r.estimator.TaskRunTime(job))
	if longest <= 0 {
		longest = r.options.AgeBound
	}
	return now.Sub(job.EligibleSince()) > min(5*longest/4, r.overdueAfter(now, job))
}

// overdueAfter is the age from which a job is overdue even if it can still meet its objectives: the age bound, or less if
// no job of its class was done recently. Without the shorter age, six jobs of a class with long objectives got no capacity
// before the age bound, and only two were done by the end of the simulated day (a4e2-15).
func (r *Ranker) overdueAfter(now time.Time, job *jobs.Job) time.Duration {
	startBound := r.options.StartBound
	if startBound <= 0 || !r.fairShare.NoneDoneRecently(now, job.Class) {
		return r.options.AgeBound
	}
	if r.estimator.TaskRunTime(job) > startBound {
		return min(startBound, r.options.AgeBound) // longer than this, such tasks would be done late or not at all
	}
	return min(8*startBound/5, r.options.AgeBound)
}

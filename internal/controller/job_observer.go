package controller

import (
	"time"

	"gullrudder/internal/controller/jobs"
)

// jobObserver passes changes of jobs on to the other components of the leadership. It implements jobstore.Observer.
type jobObserver struct {
	*leadership
	heartbeatInterval time.Duration
}

// OrderChanged has the placer sort the queue again before the next placement.
func (o jobObserver) OrderChanged() { o.placer.InvalidateOrder() }

// JobDone counts the job for its class and team, and drops the autoscaler's and the failure tracker's records of it.
func (o jobObserver) JobDone(now time.Time, job *jobs.Job) {
	o.autoscaler.JobEnded(now, job)
	o.fairShare.RecordDone(now, job)
	o.failures.ForgetJob(job.ID)
}

// JobWaiting propagates the deadline of a job to its unmet dependencies. It allows two heartbeat intervals for the start of each
// of them.
func (o jobObserver) JobWaiting(job *jobs.Job) {
	o.jobStore.DependencyGraph().PropagateDeadline(job, o.estimator.TaskRunTime, 2*o.heartbeatInterval, job.Guaranteed)
}

// JobReady adds a job to the queue. The autoscaler requests instances for it if the capacity does not suffice.
func (o jobObserver) JobReady(now time.Time, job *jobs.Job) {
	o.placer.InvalidateOrder()
	o.autoscaler.JobAccepted(now, job)
}

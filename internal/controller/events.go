package controller

import (
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/fairshare"
	"gullrudder/internal/controller/jobs"
)

// jobObserver tells the other components of a leadership of changes of jobs (jobstore.Observer).
type jobObserver struct {
	*leadership
	heartbeatInterval time.Duration
}

// OrderChanged has the order of the queue made anew.
func (o jobObserver) OrderChanged() { o.placer.InvalidateOrder() }

// JobDone counts the job for its class and team, and lets go of what is kept for it.
func (o jobObserver) JobDone(now time.Time, job *jobs.Job) {
	o.autoscaler.JobEnded(now, job)
	o.fairShare.RecordDone(now, job)
	o.heartbeats.ForgetJob(job)
}

// JobWaiting passes the deadline of a job on to the jobs that it waits for. Two heartbeat intervals are kept for the start
// of each.
func (o jobObserver) JobWaiting(job *jobs.Job) {
	o.jobStore.DependencyGraph().PropagateDeadline(job, o.estimator.TaskRunTime, 2*o.heartbeatInterval, job.Guaranteed)
}

// JobReady lets a job into the queue, and has instances requested for it if need be.
func (o jobObserver) JobReady(now time.Time, job *jobs.Job) {
	o.placer.InvalidateOrder()
	o.autoscaler.JobAccepted(now, job)
}

// applyOptions tells the components of other options in force.
func (l *leadership) applyOptions(options config.Options) {
	l.fairShare.SetPolicy(fairshare.PolicyOf(options))
	l.planner.SetOptions(options)
	l.ranker.SetOptions(options)
	l.jobStore.SetOptions(options)
	l.placer.InvalidateOrder()
}

package jobstore

import (
	"time"

	"gullrudder/internal/controller/archive"
	"gullrudder/internal/controller/jobs"
)

// ApplyCancellation records that the cancellation of a job is durable, and cancels all jobs that depend on it, directly or through others.
// The job stays in Unfinished until none of its tasks runs.
func (s *Store) ApplyCancellation(now time.Time, job *jobs.Job) {
	job.State, job.CancelConfirmedAt = jobs.Cancelled, now
	s.stopping[job] = true
	s.accounting.Finish(now, job)
	s.dependencies.graph.Remove(job)
	s.cancelDependents(now, s.dependencies.graph.Dependents(job.ID))
}

// RetireCancelled records that a job is cancelled because one of its dependencies had been cancelled before the job was accepted. The job
// is retired immediately, with the final state cancelled.
func (s *Store) RetireCancelled(now time.Time, job *jobs.Job) {
	job.State, job.CancelConfirmedAt = jobs.Cancelled, now
	s.accounting.Finish(now, job)
	s.retire(now, job)
}

// CancellationsCompletedBefore returns the confirmation time of the oldest cancellation that is not completed, or now if there is none.
// known is false if an earlier leader confirmed one of them at an unknown time.
func (s *Store) CancellationsCompletedBefore(now time.Time) (oldest time.Time, known bool) {
	oldest = now
	for job := range s.stopping {
		if job.CancelConfirmedAt.IsZero() {
			return time.Time{}, false
		}
		if job.CancelConfirmedAt.Before(oldest) {
			oldest = job.CancelConfirmedAt
		}
	}
	return oldest, true
}

// IsStopping reports whether the job is cancelled but some of its tasks may still run.
func (s *Store) IsStopping(job *jobs.Job) bool { return s.stopping[job] }

// IsTaskCancelled reports whether a task belongs to a job that is cancelled or is being cancelled. Such a task must be killed.
func (s *Store) IsTaskCancelled(task jobs.TaskID) bool {
	if job := s.Unfinished[task.JobID]; job != nil {
		return job.IsCancelling || job.State == jobs.Cancelled
	}
	if finished, ok := s.finished[task.JobID]; ok {
		return finished.State == jobs.Cancelled
	}
	return s.archive.store.LookupIndex(task.JobID) == archive.Cancelled
}

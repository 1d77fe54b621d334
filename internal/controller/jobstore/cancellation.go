package jobstore

import (
	"time"

	"gullrudder/internal/controller/archive"
	"gullrudder/internal/controller/jobs"
)

// ApplyCancellation records that a job's cancellation is durable. All jobs that depend on it are cancelled with it.
func (s *Store) ApplyCancellation(now time.Time, job *jobs.Job) {
	job.State, job.CancelConfirmedAt = jobs.Cancelled, now
	s.stopping[job] = true
	s.accounting.Finish(now, job)
	s.dependencies.graph.Remove(job)
	s.cancelDependents(now, s.dependencies.graph.Dependents(job.ID))
}

// RetireCancelled records that a job was accepted though one of its dependencies had been cancelled before: it is kept as cancelled.
func (s *Store) RetireCancelled(now time.Time, job *jobs.Job) {
	job.State, job.CancelConfirmedAt = jobs.Cancelled, now
	s.accounting.Finish(now, job)
	s.retire(now, job)
}

// CancellationsCompletedBefore is the time before which every confirmed cancellation has been carried out: now if all have been.
// known is false if an earlier leader has confirmed one at a time that cannot be told.
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

// IsStopping reports whether the job is cancelled and tasks of it may still run.
func (s *Store) IsStopping(job *jobs.Job) bool { return s.stopping[job] }

// IsTaskCancelled reports whether a task belongs to a job that is cancelled, or is being cancelled. Such a task has to stop, whatever
// else is known of it.
func (s *Store) IsTaskCancelled(task jobs.TaskID) bool {
	if job := s.Unfinished[task.JobID]; job != nil {
		return job.IsCancelling || job.State == jobs.Cancelled
	}
	if state, ok := s.finished[task.JobID]; ok {
		return !state.Done
	}
	return s.archive.store.LookupIndex(task.JobID) == archive.Cancelled
}

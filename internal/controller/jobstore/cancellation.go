package jobstore

import (
	"time"

	"gullrudder/internal/controller/archive"
	"gullrudder/internal/controller/jobs"
)

// ApplyCancellation records that the cancellation of a job is durable. All jobs that depend on it are cancelled, too.
func (s *Store) ApplyCancellation(now time.Time, job *jobs.Job) {
	job.State, job.CancelConfirmedAt = jobs.Cancelled, now
	s.stopping[job] = true
	s.accounting.Finish(now, job)
	s.dependencies.graph.Remove(job)
	s.cancelDependents(now, s.dependencies.graph.Dependents(job.ID))
}

// RetireCancelled records that a job was accepted after one of its dependencies had been cancelled: its final state is cancelled.
func (s *Store) RetireCancelled(now time.Time, job *jobs.Job) {
	job.State, job.CancelConfirmedAt = jobs.Cancelled, now
	s.accounting.Finish(now, job)
	s.retire(now, job)
}

// CancellationsCompletedBefore returns the time before which every confirmed cancellation is completed, which is now if all are. known
// is false if the time at which an earlier leader confirmed one of them is unknown.
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

// IsStopping reports whether the job is cancelled and some of its tasks may still run.
func (s *Store) IsStopping(job *jobs.Job) bool { return s.stopping[job] }

// IsTaskCancelled reports whether a task belongs to a job that is cancelled, or is being cancelled. Such a task must be killed in any
// case.
func (s *Store) IsTaskCancelled(task jobs.TaskID) bool {
	if job := s.Unfinished[task.JobID]; job != nil {
		return job.IsCancelling || job.State == jobs.Cancelled
	}
	if finished, ok := s.finished[task.JobID]; ok {
		return finished.State == jobs.Cancelled
	}
	return s.archive.store.LookupIndex(task.JobID) == archive.Cancelled
}

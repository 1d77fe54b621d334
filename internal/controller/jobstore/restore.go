package jobstore

import (
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/logkeys"
)

// RestoreJob restores a job from its record at a failover. It logs an error and skips a record that is invalid. leaderSince is the start of
// the leadership. confirmedAt is the earliest time at which a cancellation that is not completed may have been confirmed, or zero if that
// is unknown.
func (s *Store) RestoreJob(now, leaderSince, confirmedAt time.Time, name string, decode func(any) error) {
	var record jobs.Record
	if err := decode(&record); err != nil {
		s.log.Error("job record unreadable", logkeys.Job, name, logkeys.Err, err)
		return
	}
	job, err := jobs.FromRecord(name, record)
	if err != nil {
		s.log.Error("job not restored", logkeys.Job, name, logkeys.Err, err)
		return
	}
	if job.State == jobs.Done || job.State == jobs.Cancelled && record.CPUs+record.MemoryGB+record.GPUs == 0 {
		// The record has only the final state.
		s.finished[name] = newFinishedJob(now, job)
		s.storage.SetFinished(name)
		return
	}
	s.Unfinished[name] = job
	if job.State == jobs.Cancelled {
		job.CancelConfirmedAt = confirmedAt
		s.stopping[job] = true
	}
	if job.State == jobs.Accepted {
		s.accounting.Restore(job, record.TimeAccount, leaderSince)
	}
}

// RestoreChunk restores one chunk of the task results of a large array. It deletes the chunk if there is no unfinished job with this ID.
// RestoreJob must have been called for all jobs before.
func (s *Store) RestoreChunk(now time.Time, name, jobID string, chunk int, results jobs.Chunk) {
	job := s.Unfinished[jobID]
	if job == nil {
		// The job is finished, but an earlier leadership ended before the chunks were deleted.
		s.storage.Delete(now, name)
		return
	}
	if err := job.RestoreChunk(chunk, results); err != nil {
		s.log.Error("task results not restored", logkeys.Job, jobID, logkeys.Err, err)
	}
}

// FinishRestore completes a restore. It restores the dependencies, reserves space for the growth of the jobs' records, and finishes the
// jobs whose tasks are all done. All jobs and chunks must have been restored before.
func (s *Store) FinishRestore(now time.Time) {
	s.restoreDependencies(now)
	for _, job := range s.Unfinished {
		s.storage.Reserve(job.ID, job.MaxRecordBytes())
		for chunk := range job.ChunkCount() {
			s.storage.Reserve(job.ChunkName(chunk), jobs.MaxChunkBytes)
		}
		s.FinishIfDone(now, job)
	}
}

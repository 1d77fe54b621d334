package jobstore

import (
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/storage"
	"gullrudder/internal/logkeys"
)

// saveInterval is the minimum time between two writes of task results. They are batched because no request waits for them.
const saveInterval = time.Second

// saveState is the state of the periodic work of Save.
type saveState struct {
	nextAt            time.Time // earliest time of the next save
	missedStartBounds int
}

// MissedStartBounds returns the number of jobs whose first task did not start within FirstStartBound, as counted by this leadership.
func (s *Store) MissedStartBounds() int { return s.saving.missedStartBounds }

// Save writes unsaved task results and retires cancelled jobs whose tasks have ended, at most once per saveInterval. allAttemptsKnown must
// be false until the failover is completed. Until then some attempts are unknown, so no cancelled job may be retired.
func (s *Store) Save(now time.Time, allAttemptsKnown bool) {
	if now.Before(s.saving.nextAt) {
		return
	}
	s.saving.nextAt = now.Add(saveInterval)
	s.saveJobs(now, allAttemptsKnown)
	s.checkStartBounds(now)
}

// saveJobs writes unsaved task results and retires cancelled jobs whose tasks have all ended.
func (s *Store) saveJobs(now time.Time, allAttemptsKnown bool) {
	var running map[*jobs.Job]bool
	for _, job := range s.Unfinished {
		switch {
		case job.State == jobs.Cancelled && len(job.ActiveAttempts) == 0 && allAttemptsKnown:
			if running == nil {
				running = s.jobsWithAttempts()
			}
			if !running[job] {
				s.retireStopped(now, job)
			}
		case !isWritable(job) || !job.HasUnsaved():
		default:
			s.saveResults(now, job)
		}
	}
}

// isWritable reports whether the record of an accepted job may be written. It may not while a change of the job's state is being written.
func isWritable(job *jobs.Job) bool {
	return !job.IsFinishing && !job.IsCancelling && job.State == jobs.Accepted
}

// retireStopped writes the final record of a cancelled job whose tasks have all ended, and retires the job.
func (s *Store) retireStopped(now time.Time, job *jobs.Job) {
	if err := s.storage.Set(now, job.ID, jobs.NewFinalRecord(jobs.Cancelled, job.Tasks), storage.SetOptions{}); err != nil {
		s.log.Error("final record not written", logkeys.Job, job.ID, logkeys.Err, err)
	}
	s.retire(now, job)
}

// saveResults writes a job's unsaved task results to its record, or to chunks if the job is a large array. The results are marked as
// durable once all writes are.
func (s *Store) saveResults(now time.Time, job *jobs.Job) {
	tasks, chunks := job.TakeUnsaved()
	var err error
	pendingWrites := max(len(chunks), 1)
	done := func(_ time.Time, ok bool) {
		if !ok {
			return
		}
		if pendingWrites--; pendingWrites == 0 {
			job.RecordDurable(tasks)
		}
	}
	if chunks == nil {
		err = s.writeRecord(now, job, done)
	}
	for name, chunk := range chunks {
		if setErr := s.storage.Set(now, name, chunk, storage.SetOptions{ReservedBytes: jobs.MaxChunkBytes, Done: done}); setErr != nil {
			err = setErr
		}
	}
	if err != nil {
		s.log.Error("task results not written", logkeys.Job, job.ID, logkeys.Err, err)
	}
}

// jobsWithAttempts returns the set of jobs that have an attempt on any machine.
func (s *Store) jobsWithAttempts() map[*jobs.Job]bool {
	set := map[*jobs.Job]bool{}
	for _, machine := range s.workers.Machines {
		for _, attempt := range machine.Attempts {
			if attempt.Job != nil {
				set[attempt.Job] = true
			}
		}
	}
	return set
}

// SaveRecord stores the current record of a job after a change other than task results. It does nothing while a change of the job's state
// is being written. An error is logged.
func (s *Store) SaveRecord(now time.Time, job *jobs.Job) {
	if !isWritable(job) {
		return
	}
	if err := s.writeRecord(now, job, nil); err != nil {
		s.log.Error("job record not written", logkeys.Job, job.ID, logkeys.Err, err)
	}
}

// writeRecord stores the current record of a job. done may be nil.
func (s *Store) writeRecord(now time.Time, job *jobs.Job, done func(time.Time, bool)) error {
	record := job.Record()
	record.TimeAccount = s.accounting.EncodedAccount(job)
	return s.storage.Set(now, job.ID, record, storage.SetOptions{ReservedBytes: job.MaxRecordBytes(), Done: done})
}

// IsResultDurable reports whether the result of a completed task is durable or no longer needed. Its worker may then discard it.
func (s *Store) IsResultDurable(task jobs.TaskID) bool {
	job := s.Unfinished[task.JobID]
	if job == nil || job.State == jobs.Cancelled || task.Index >= job.Tasks {
		return true
	}
	return job.IsTaskDurable(task.Index)
}

// FinishIfDone writes the final record of a job if all its tasks are done. The job is finished once that record is durable. It does nothing
// for a service, or while another change of the job's state is being written.
func (s *Store) FinishIfDone(now time.Time, job *jobs.Job) {
	if job.IsService || job.DoneTasks < job.Tasks || !isWritable(job) {
		return
	}
	job.IsFinishing = true
	done := func(now time.Time, ok bool) {
		if ok && job.State != jobs.Done {
			s.applyDone(now, job)
		}
	}
	err := s.storage.Set(now, job.ID, jobs.NewFinalRecord(jobs.Done, job.Tasks), storage.SetOptions{Urgent: true, Done: done})
	if err != nil {
		s.log.Error("final record not written", logkeys.Job, job.ID, logkeys.Err, err)
	}
}

// applyDone finishes a done job after its final record became durable.
func (s *Store) applyDone(now time.Time, job *jobs.Job) {
	job.State = jobs.Done
	s.accounting.Finish(now, job)
	s.observer.JobDone(now, job)
	s.retire(now, job)
	s.releaseDependents(now, job.ID)
	s.log.Info("job done", logkeys.Job, job.ID, logkeys.Duration, now.Sub(job.SubmittedAt).Round(time.Millisecond))
}

// retire removes a finished job from the unfinished ones, keeps its final state, and deletes its chunks.
func (s *Store) retire(now time.Time, job *jobs.Job) {
	s.finished[job.ID] = newFinishedJob(now, job)
	s.storage.SetFinished(job.ID)
	delete(s.Unfinished, job.ID)
	delete(s.stopping, job)
	for chunk := range job.ChunkCount() {
		s.storage.Delete(now, job.ChunkName(chunk))
	}
	s.observer.OrderChanged()
}

// checkStartBounds logs and counts the jobs whose first task did not start within FirstStartBound. Each job is counted once.
func (s *Store) checkStartBounds(now time.Time) {
	for _, job := range s.Unfinished {
		if job.FirstStartBound <= 0 || job.MissedStartBound || !job.IsSchedulable() || job.DoneTasks+len(job.ActiveAttempts) > 0 {
			continue
		}
		waited := now.Sub(job.EligibleSince())
		if waited <= job.FirstStartBound {
			continue
		}
		job.MissedStartBound = true
		s.saving.missedStartBounds++
		s.log.Error("start bound missed", logkeys.Job, job.ID, logkeys.Team, job.Team, logkeys.Class, job.Class,
			logkeys.Duration, waited.Round(time.Second), logkeys.Limit, job.FirstStartBound, logkeys.Count, len(s.workers.Machines))
	}
}

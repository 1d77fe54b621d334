package jobstore

import (
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/storage"
	"gullrudder/internal/logkeys"
)

// saveInterval is the time between two writes of task results. No request waits for them, so they are batched.
const saveInterval = time.Second

// saveState is when task results are written next, and the counter of the checks made with that.
type saveState struct {
	nextAt            time.Time
	missedStartBounds int
}

// MissedStartBounds returns the number of jobs whose first task did not start within the bound stated at their acceptance.
func (s *Store) MissedStartBounds() int { return s.saving.missedStartBounds }

// Save writes unsaved task results and retires stopped jobs, at most once in a saveInterval. placing is true once the failover is
// completed, so that all attempts are known: a cancelled job must not be retired before that.
func (s *Store) Save(now time.Time, placing bool) {
	if now.Before(s.saving.nextAt) {
		return
	}
	s.saving.nextAt = now.Add(saveInterval)
	s.saveJobs(now, placing)
	s.checkStartBounds(now)
}

// saveJobs writes results of tasks, and retires cancelled jobs whose tasks have all ended.
func (s *Store) saveJobs(now time.Time, placing bool) {
	var running map[*jobs.Job]bool
	for _, job := range s.Unfinished {
		switch {
		case job.State == jobs.Cancelled && len(job.ActiveAttempts) == 0 && placing:
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

// isWritable reports whether the record of a job may be written in its present state: no other state of it is being written.
func isWritable(job *jobs.Job) bool {
	return !job.IsFinishing && !job.IsCancelling && job.State == jobs.Accepted
}

// retireStopped retires a cancelled job whose tasks have all ended.
func (s *Store) retireStopped(now time.Time, job *jobs.Job) {
	if err := s.storage.Set(now, job.ID, jobs.NewFinalRecord(jobs.Cancelled, job.Tasks), storage.SetOptions{}); err != nil {
		s.log.Error("final record not written", logkeys.Job, job.ID, logkeys.Err, err)
	}
	s.retire(now, job)
}

// saveResults writes the results of a job's tasks into its record, or into chunks if the job is a large array.
func (s *Store) saveResults(now time.Time, job *jobs.Job) {
	tasks, chunks := job.TakeUnsaved()
	var err error
	unwritten := max(len(chunks), 1)
	done := func(_ time.Time, ok bool) {
		if !ok {
			return
		}
		if unwritten--; unwritten == 0 {
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

// jobsWithAttempts returns the set of jobs with an attempt on some machine.
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

// SaveRecord writes the present record of a job with the next commit. It is for changes other than task results.
func (s *Store) SaveRecord(now time.Time, job *jobs.Job) {
	if !isWritable(job) {
		return
	}
	if err := s.writeRecord(now, job, nil); err != nil {
		s.log.Error("job record not written", logkeys.Job, job.ID, logkeys.Err, err)
	}
}

// writeRecord sets the stored record of a job to its present one.
func (s *Store) writeRecord(now time.Time, job *jobs.Job, done func(time.Time, bool)) error {
	record := job.Record()
	record.TimeAccount = s.accounting.EncodedAccount(job)
	return s.storage.Set(now, job.ID, record, storage.SetOptions{ReservedBytes: job.MaxRecordBytes(), Done: done})
}

// IsResultDurable reports whether the result of a completed task is durable or not needed, so that its worker may forget it.
func (s *Store) IsResultDurable(task jobs.TaskID) bool {
	job := s.Unfinished[task.JobID]
	if job == nil || job.State == jobs.Cancelled || task.Index >= job.Tasks {
		return true
	}
	return job.IsTaskDurable(task.Index)
}

// FinishIfDone writes the final record of a job if all its tasks are done.
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

// applyDone records that the final record of a done job is durable.
func (s *Store) applyDone(now time.Time, job *jobs.Job) {
	job.State = jobs.Done
	s.accounting.Finish(now, job)
	s.observer.JobDone(now, job)
	s.retire(now, job)
	s.releaseDependents(now, job.ID)
	s.log.Info("job done", logkeys.Job, job.ID, logkeys.Duration, now.Sub(job.SubmittedAt).Round(time.Millisecond))
}

// retire keeps only the final state of a finished job.
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

// checkStartBounds logs and counts jobs that have missed their start bound.
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

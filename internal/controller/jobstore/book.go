// Package jobstore keeps the jobs of a leadership: the unfinished ones, the finished ones that are in
// the ledger's live pages, and the history of all others. It owns what is written down of them. It
// does not decide where or when anything runs.
package jobstore

import (
	"log/slog"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/accounting"
	"gullrudder/internal/controller/archive"
	"gullrudder/internal/controller/dependencies"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/storage"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/wire/client"
)

// archiveShare is the part of the state service's limits that the history may use.
const archiveShare = 0.1

// FinalState is a finished job that is not sealed yet.
type FinalState struct {
	Done       bool
	Tasks      int
	finishedAt time.Time // when this leader learnt of it
}

// Store is what a leader knows of all jobs.
type Store struct {
	platform      *config.Platform
	options       *config.Options
	log           *slog.Logger
	storage       *storage.Store
	workers       *worker.Registry
	accounting    *accounting.Tracker
	onOrderChange func() // the order of the jobs is not what it was
	onDone        func(time.Time, *jobs.Job)
	onWaiting     func(*jobs.Job)            // a job begins to wait for others
	onReady       func(time.Time, *jobs.Job) // a job waits for no other any more

	Unfinished        map[string]*jobs.Job  // unfinished; for looking only
	finished          map[string]FinalState // finished jobs that are in the live pages
	archive           *archive.Store        // all others
	graph             *dependencies.Graph   // who waits for whom
	unresolved        []*unresolvedDependency
	nextResolveAt     time.Time
	stopping          map[*jobs.Job]bool // cancelled jobs whose tasks may still be there
	archiveUnreadable bool               // the history cannot be read: nobody is answered
	missedStartBounds int                // bounds on waiting that were missed
	nextSaveAt        time.Time
}

// Components is what a book sees of its neighbours.
type Components struct {
	Platform   *config.Platform
	Options    *config.Options
	Storage    *storage.Store
	Workers    *worker.Registry
	Accounting *accounting.Tracker
	Log        *slog.Logger
}

// New makes an empty book.
func New(w Components) *Store {
	b := &Store{
		platform:      w.Platform,
		options:       w.Options,
		log:           w.Log,
		storage:       w.Storage,
		workers:       w.Workers,
		accounting:    w.Accounting,
		onOrderChange: func() {},
		onDone:        func(time.Time, *jobs.Job) {},
		onWaiting:     func(*jobs.Job) {},
		onReady:       func(time.Time, *jobs.Job) {},
		Unfinished:    map[string]*jobs.Job{},
		finished:      map[string]FinalState{},
		stopping:      map[*jobs.Job]bool{},
	}
	b.graph = dependencies.New(b.Find)
	return b
}

// OnOrderChange names who is to know when the order of the jobs is not what it was.
func (b *Store) OnOrderChange(f func()) { b.onOrderChange = f }

// OnDone names who is to know of a job that is done.
func (b *Store) OnDone(f func(now time.Time, j *jobs.Job)) { b.onDone = f }

// Find is an unfinished job, or nil.
func (b *Store) Find(id string) *jobs.Job { return b.Unfinished[id] }

// Add takes a job whose acceptance is on its way into the ledger.
func (b *Store) Add(job *jobs.Job) {
	b.Unfinished[job.ID] = job
	b.accounting.Open(job)
}

// ApplyCancellation takes in that a job's cancellation is durable.
func (b *Store) ApplyCancellation(now time.Time, job *jobs.Job) {
	job.State, job.CancelConfirmedAt = jobs.Cancelled, now
	b.stopping[job] = true
	b.accounting.Finish(now, job)
	b.graph.Remove(job)
	b.cancelDependents(now, b.graph.Dependents(job.ID))
}

// CancellationsCompletedBefore is the time before which every cancellation that was confirmed is carried out: now if all are. Not known: an
// earlier leader has confirmed one, and nobody can tell when.
func (b *Store) CancellationsCompletedBefore(now time.Time) (oldest time.Time, known bool) {
	oldest = now
	for j := range b.stopping {
		if j.CancelConfirmedAt.IsZero() {
			return time.Time{}, false
		}
		if j.CancelConfirmedAt.Before(oldest) {
			oldest = j.CancelConfirmedAt
		}
	}
	return oldest, true
}

// IsStopping reports whether tasks of a cancelled job may still be there.
func (b *Store) IsStopping(j *jobs.Job) bool { return b.stopping[j] }

// IsTaskCancelled reports whether a task is of a job that is cancelled, or about to be: it is to end, whatever else is known.
func (b *Store) IsTaskCancelled(task jobs.TaskID) bool {
	if job := b.Unfinished[task.JobID]; job != nil {
		return job.IsCancelling || job.State == jobs.Cancelled
	}
	if f, ok := b.finished[task.JobID]; ok {
		return !f.Done
	}
	return b.archive.LookupIndex(task.JobID) == archive.Cancelled
}

// FinalState is a finished job that is in the live pages.
func (b *Store) FinalState(id string) (FinalState, bool) {
	f, ok := b.finished[id]
	return f, ok
}

// Archive is the record of all other finished jobs.
func (b *Store) Archive() *archive.Store { return b.archive }

// FinishedCount is the number of finished jobs.
func (b *Store) FinishedCount() int { return len(b.finished) + b.archive.JobCount() }

// MissedStartBounds is how many bounds on waiting were missed.
func (b *Store) MissedStartBounds() int { return b.missedStartBounds }

// IsArchiveUnreadable reports that the history cannot be read, so that nobody can be answered.
func (b *Store) IsArchiveUnreadable() bool { return b.archiveUnreadable }

// SetOptions takes other options for the history.
func (b *Store) SetOptions(opt config.Options) {
	if b.archive != nil {
		b.archive.SetThresholds(opt.MinSegmentJobs, opt.CompactionFanIn)
	}
}

// StartableJobs lists the unfinished jobs whose tasks may be started, those that are being saved included.
func (b *Store) StartableJobs() []*jobs.Job {
	list := make([]*jobs.Job, 0, len(b.Unfinished))
	for _, j := range b.Unfinished {
		if j.IsSchedulable() || j.State == jobs.Pending && !j.IsCancelling && j.UnmetDependencies == 0 {
			list = append(list, j)
		}
	}
	return list
}

// Tick does what is due. Results are saved once a second; cancelled jobs are let go of only once
// it is known of every machine what runs on it.
func (b *Store) Tick(now time.Time, box *client.Outbox) {
	b.archive.Tick(now, box)
	b.resolveDependencies(now, box)
}

// Save brings what is due into the ledger.
func (b *Store) Save(now time.Time, placing bool) {
	if now.Before(b.nextSaveAt) {
		return
	}
	b.nextSaveAt = now.Add(time.Second)
	b.saveResults(now, placing)
	b.checkStartBounds(now)
}

// FinishIfDone writes down that a job is done once all its tasks are.
func (b *Store) FinishIfDone(now time.Time, job *jobs.Job) {
	if job.IsService || job.DoneTasks < job.Tasks || job.IsFinishing || job.IsCancelling || job.State != jobs.Accepted {
		return
	}
	job.IsFinishing = true
	err := b.storage.Set(now, job.ID, jobs.NewFinalRecord(jobs.Done, job.Tasks), 0, true, func(now time.Time, ok bool) {
		if !ok || job.State == jobs.Done {
			return
		}
		job.State = jobs.Done
		b.accounting.Finish(now, job)
		b.onDone(now, job)
		b.retire(now, job)
		b.releaseDependents(now, job.ID)
		b.log.Info("job done", "job", job.ID, "after", now.Sub(job.SubmittedAt).Round(time.Millisecond))
	})
	if err != nil {
		b.log.Error("a result cannot be saved", "job", job.ID, "error", err)
	}
}

// retire keeps nothing of a finished job but its state.
func (b *Store) retire(now time.Time, job *jobs.Job) {
	b.finished[job.ID] = FinalState{Done: job.State == jobs.Done, Tasks: job.Tasks, finishedAt: now}
	b.storage.SetFinished(job.ID)
	delete(b.Unfinished, job.ID)
	delete(b.stopping, job)
	for c := range job.ChunkCount() {
		b.storage.Delete(now, job.ChunkName(c))
	}
	b.onOrderChange()
}

// saveResults brings results of tasks into the ledger and lets go of cancelled jobs whose tasks
// are all gone.
func (b *Store) saveResults(now time.Time, placing bool) {
	var present map[*jobs.Job]bool
	for _, j := range b.Unfinished {
		if j.State == jobs.Cancelled && len(j.ActiveAttempts) == 0 && placing {
			if present == nil {
				present = b.jobsWithAttempts()
			}
			if !present[j] {
				if err := b.storage.Set(now, j.ID, jobs.NewFinalRecord(jobs.Cancelled, j.Tasks), 0, false, nil); err != nil {
					b.log.Error("a cancelled job cannot be shrunk", "job", j.ID, "error", err)
				}
				b.retire(now, j)
			}
			continue
		}
		if j.IsFinishing || j.IsCancelling || j.State != jobs.Accepted || !j.HasUnsaved() {
			continue
		}
		tasks, chunks := j.TakeUnsaved()
		var err error
		left := max(len(chunks), 1)
		durable := func(_ time.Time, ok bool) {
			if !ok {
				return
			}
			if left--; left == 0 {
				j.RecordDurable(tasks)
			}
		}
		if chunks == nil {
			err = b.writeRecord(now, j, durable)
		}
		for name, c := range chunks {
			if e := b.storage.Set(now, name, c, jobs.MaxChunkBytes, false, durable); e != nil {
				err = e
			}
		}
		if err != nil {
			b.log.Error("results cannot be saved", "job", j.ID, "error", err)
		}
	}
}

// jobsWithAttempts marks the jobs of which an attempt is still on some machine.
func (b *Store) jobsWithAttempts() map[*jobs.Job]bool {
	set := map[*jobs.Job]bool{}
	for _, m := range b.workers.Machines {
		for _, a := range m.Attempts {
			if a.Job != nil {
				set[a.Job] = true
			}
		}
	}
	return set
}

// SaveRecord writes a job down as it is now, with the next commit: what is known of it has changed, and no
// result of it is to be saved.
func (b *Store) SaveRecord(now time.Time, job *jobs.Job) {
	if job.IsFinishing || job.IsCancelling || job.State != jobs.Accepted {
		return
	}
	if err := b.writeRecord(now, job, nil); err != nil {
		b.log.Error("a job cannot be noted", "job", job.ID, "error", err)
	}
}

// writeRecord sets the job's record as it is now, for the next commit.
func (b *Store) writeRecord(now time.Time, job *jobs.Job, done func(time.Time, bool)) error {
	record := job.Record()
	record.TimeAccount = b.accounting.EncodedAccount(job)
	return b.storage.Set(now, job.ID, record, job.MaxRecordBytes(), false, done)
}

// IsResultDurable reports whether the result of a task that exited with done need not be kept
// by its worker any more.
func (b *Store) IsResultDurable(task jobs.TaskID) bool {
	job := b.Unfinished[task.JobID]
	if job == nil || job.State == jobs.Cancelled || task.Index >= job.Tasks {
		return true
	}
	return job.IsTaskDurable(task.Index)
}

// OpenArchive makes the keeper of the finished jobs. While it cannot tell which jobs there
// were, nobody is answered: an accepted job must not be called unknown.
func (b *Store) OpenArchive() bool {
	opened, err := archive.New(b.storage, archive.Options{
		ValueBytes:      b.platform.MaxValueBytes,
		TxnOps:          b.platform.MaxTransactionOps,
		WriteRate:       b.platform.StateWriteRate * archiveShare,
		ReadRate:        b.platform.StateRequestRate * archiveShare,
		MinSegmentJobs:  b.options.MinSegmentJobs,
		CompactionFanIn: b.options.CompactionFanIn,
		CanArchive: func(now time.Time, id string) bool {
			f, ok := b.finished[id]
			return ok && now.Sub(f.finishedAt) >= b.options.ArchiveDelay
		},
		FinalState: func(id string) (archive.FinalState, bool) {
			f, ok := b.finished[id]
			return archive.FinalState{Cancelled: !f.Done, Tasks: f.Tasks}, ok
		},
		OnArchived: func(ids []string) {
			for _, id := range ids {
				delete(b.finished, id)
			}
		},
	}, b.log)
	if err != nil {
		b.archiveUnreadable = true
		b.log.Error("the history of finished jobs cannot be read: nothing is answered", "error", err)
		return false
	}
	b.archive = opened
	return true
}

// checkStartBounds tells of jobs that have waited longer than was stated.
func (b *Store) checkStartBounds(now time.Time) {
	for _, j := range b.Unfinished {
		if j.FirstStartBound > 0 && !j.MissedStartBound && j.IsSchedulable() && j.DoneTasks+len(j.ActiveAttempts) == 0 &&
			now.Sub(j.EligibleSince()) > j.FirstStartBound {
			j.MissedStartBound = true
			b.missedStartBounds++
			b.log.Error("a job waits longer than was stated", "job", j.ID, "team", j.Team, "class", j.Class,
				"waits", now.Sub(j.EligibleSince()).Round(time.Second), "stated", j.FirstStartBound, "machines", len(b.workers.Machines))
		}
	}
}

// RestoreJob takes in an entry of the ledger at a takeover; since is when the leadership began, and told the earliest that a
// cancellation can have been confirmed that is not carried out yet, zero if nobody can tell.
func (b *Store) RestoreJob(now, leaderSince, confirmedAt time.Time, name string, decode func(any) error) {
	var record jobs.Record
	if err := decode(&record); err != nil {
		b.log.Error("a job cannot be read", "job", name, "error", err)
		return
	}
	job, err := jobs.FromRecord(name, record)
	if err != nil {
		b.log.Error("a job cannot be rebuilt", "job", name, "error", err)
		return
	}
	if job.State == jobs.Done || job.State == jobs.Cancelled && record.CPUs+record.MemoryGB+record.GPUs == 0 {
		b.finished[name] = FinalState{Done: job.State == jobs.Done, Tasks: job.Tasks, finishedAt: now}
		b.storage.SetFinished(name)
		return
	}
	b.Unfinished[name] = job
	if job.State == jobs.Cancelled {
		job.CancelConfirmedAt = confirmedAt
		b.stopping[job] = true
	}
	if job.State == jobs.Accepted {
		b.accounting.Restore(job, record.TimeAccount, leaderSince)
	}
}

// RestoreChunk takes in the results of some tasks of a large array, after all jobs.
func (b *Store) RestoreChunk(now time.Time, name, id string, chunk int, results jobs.Chunk) {
	job := b.Unfinished[id]
	if job == nil {
		// An earlier leader ended after the job did and before its chunks were dropped.
		b.storage.Delete(now, name)
		return
	}
	if err := job.RestoreChunk(chunk, results); err != nil {
		b.log.Error("task results cannot be restored", "job", id, "error", err)
	}
}

// FinishRestore reserves what the jobs may come to need of their pages, and writes down those that are
// done.
func (b *Store) FinishRestore(now time.Time) {
	b.restoreDependencies(now)
	for _, j := range b.Unfinished {
		b.storage.Reserve(j.ID, j.MaxRecordBytes())
		for c := range j.ChunkCount() {
			b.storage.Reserve(j.ChunkName(c), jobs.MaxChunkBytes)
		}
		b.FinishIfDone(now, j)
	}
}

// Package jobstore keeps the jobs of a leadership: unfinished jobs, finished jobs that are still in the pages of package storage, and the
// archive of all other finished jobs. A Store owns the job records and the dependency graph, and is the only writer of both. It is created
// at the election and discarded when the leadership ends. The package does not decide where or when a task runs, and sends nothing to
// workers or users. Design notes: docs/design/archive.md, docs/design/dependencies.md.
package jobstore

import (
	"log/slog"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/accounting"
	"gullrudder/internal/controller/dependencies"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/storage"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/wire/client"
)

// finishedJob is a finished job that is not archived yet.
type finishedJob struct {
	jobs.FinalState
	finishedAt time.Time // for a restored job, the time of the restore
}

func newFinishedJob(now time.Time, job *jobs.Job) finishedJob {
	return finishedJob{FinalState: jobs.FinalState{State: job.State, Tasks: job.Tasks}, finishedAt: now}
}

// Components are the parts of a leadership that a Store uses. All of them are required.
type Components struct {
	Platform   *config.Platform
	Options    *config.Options
	Storage    *storage.Store
	Workers    *worker.Registry
	Accounting *accounting.Tracker
	Log        *slog.Logger
}

// Observer is notified of changes of jobs. Its methods are called synchronously by the Store method that makes the change.
type Observer interface {
	// OrderChanged is called after jobs have left the queue, which changes its order.
	OrderChanged()
	// JobDone is called once the final record of a done job is durable.
	JobDone(now time.Time, job *jobs.Job)
	// JobWaiting is called for an accepted job with unmet dependencies.
	JobWaiting(job *jobs.Job)
	// JobReady is called once an accepted job has no unmet dependencies.
	JobReady(now time.Time, job *jobs.Job)
}

// noObserver ignores all notifications. It is the default until SetObserver is called.
type noObserver struct{}

// OrderChanged ignores that jobs have left the queue: there is no order to sort again.
func (noObserver) OrderChanged() {}

// JobDone ignores that a job's final record is durable: nobody counts done jobs.
func (noObserver) JobDone(time.Time, *jobs.Job) {}

// JobWaiting ignores an accepted job with unmet dependencies: it sets no deadline for them.
func (noObserver) JobWaiting(*jobs.Job) {}

// JobReady ignores that an accepted job may start: there is no queue to add it to.
func (noObserver) JobReady(time.Time, *jobs.Job) {}

// Store holds all jobs of a leadership. It must be used only from the controller's event loop: it is not safe for concurrent use.
type Store struct {
	platform   *config.Platform
	options    *config.Options
	log        *slog.Logger
	storage    *storage.Store
	workers    *worker.Registry
	accounting *accounting.Tracker
	observer   Observer

	// Unfinished holds, by ID, the jobs that are neither done nor completely cancelled. Other packages must not modify the map.
	Unfinished map[string]*jobs.Job

	finished     map[string]finishedJob // finished jobs that are still in the pages, by ID
	stopping     map[*jobs.Job]bool     // cancelled jobs whose tasks may still run
	archive      archiveState
	dependencies dependencyTracker
	saving       saveState
}

// New returns the empty store of a new leadership. OpenArchive must succeed before jobs are looked up.
func New(components Components) *Store {
	s := &Store{
		platform:   components.Platform,
		options:    components.Options,
		log:        components.Log,
		storage:    components.Storage,
		workers:    components.Workers,
		accounting: components.Accounting,
		observer:   noObserver{},
		Unfinished: map[string]*jobs.Job{},
		finished:   map[string]finishedJob{},
		stopping:   map[*jobs.Job]bool{},
	}
	s.dependencies.graph = dependencies.New(s.Find)
	return s
}

// SetObserver sets the observer. It must be called at most once, before the state is restored.
func (s *Store) SetObserver(observer Observer) { s.observer = observer }

// Find returns the unfinished job with an ID, or nil.
func (s *Store) Find(id string) *jobs.Job { return s.Unfinished[id] }

// FinalState returns the final state of a finished job. It returns false if the job is unfinished, archived or unknown.
func (s *Store) FinalState(id string) (jobs.FinalState, bool) {
	finished, ok := s.finished[id]
	return finished.FinalState, ok
}

// FinishedCount returns the number of finished jobs, including archived jobs.
func (s *Store) FinishedCount() int { return len(s.finished) + s.archive.store.JobCount() }

// StartableJobs returns, in no particular order, the unfinished jobs whose tasks may be started, and the jobs without unmet dependencies
// whose acceptance is being written.
func (s *Store) StartableJobs() []*jobs.Job {
	list := make([]*jobs.Job, 0, len(s.Unfinished))
	for _, job := range s.Unfinished {
		if job.IsSchedulable() || job.State == jobs.Pending && !job.IsCancelling && job.UnmetDependencies == 0 {
			list = append(list, job)
		}
	}
	return list
}

// Add adds a job whose acceptance is being written, and opens its time account.
func (s *Store) Add(job *jobs.Job) {
	s.Unfinished[job.ID] = job
	s.accounting.Open(job)
}

// Tick performs the next step of archiving and looks up unresolved dependencies. The caller must execute the calls in outbox.
func (s *Store) Tick(now time.Time, outbox *client.Outbox) {
	s.archive.store.Tick(now, outbox)
	s.resolveDependencies(now, outbox)
}

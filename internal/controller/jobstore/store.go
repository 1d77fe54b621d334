// Package jobstore keeps the jobs of a leadership: the unfinished ones, the finished ones that are still in the pages of package storage,
// and the archive of all others. A Store owns the records of jobs and the graph of their dependencies, and is the only writer of both.
// It is made at the election and dropped whole when the leadership ends. The package never decides where or when a task runs, and sends
// nothing to workers or users. Design notes: docs/design/archive.md, docs/design/dependencies.md.
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
	finishedAt time.Time
}

func newFinishedJob(now time.Time, job *jobs.Job) finishedJob {
	return finishedJob{FinalState: jobs.FinalState{State: job.State, Tasks: job.Tasks}, finishedAt: now}
}

// Components are the components of the leadership that a Store uses.
type Components struct {
	Platform   *config.Platform
	Options    *config.Options
	Storage    *storage.Store
	Workers    *worker.Registry
	Accounting *accounting.Tracker
	Log        *slog.Logger
}

// Observer is notified of changes of jobs, during the call that makes the change.
type Observer interface {
	// OrderChanged is called after jobs have left the queue.
	OrderChanged()
	// JobDone is called once it is durable that a job is done.
	JobDone(now time.Time, job *jobs.Job)
	// JobWaiting is called for an accepted job with unmet dependencies.
	JobWaiting(job *jobs.Job)
	// JobReady is called once an accepted job has no unmet dependency.
	JobReady(now time.Time, job *jobs.Job)
}

// noObserver is the observer until another is set.
type noObserver struct{}

// OrderChanged does nothing.
func (noObserver) OrderChanged() {}

// JobDone does nothing.
func (noObserver) JobDone(time.Time, *jobs.Job) {}

// JobWaiting does nothing.
func (noObserver) JobWaiting(*jobs.Job) {}

// JobReady does nothing.
func (noObserver) JobReady(time.Time, *jobs.Job) {}

// Store has all jobs of a leadership. It belongs to the controller's event loop and is not safe for concurrent use.
type Store struct {
	platform   *config.Platform
	options    *config.Options
	log        *slog.Logger
	storage    *storage.Store
	workers    *worker.Registry
	accounting *accounting.Tracker
	observer   Observer

	// Unfinished has the jobs that are neither done nor completely cancelled, by ID. Other packages must not change it.
	Unfinished map[string]*jobs.Job

	finished     map[string]finishedJob // jobs in the pages, by ID
	stopping     map[*jobs.Job]bool     // cancelled jobs whose tasks may still run
	archive      archiveState
	dependencies dependencyState
	saving       saveState
}

// New returns the store of a new leadership, which is empty.
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

// SetObserver sets the observer. It is called once, before the state is restored.
func (s *Store) SetObserver(observer Observer) { s.observer = observer }

// Find returns an unfinished job, or nil.
func (s *Store) Find(id string) *jobs.Job { return s.Unfinished[id] }

// FinalState returns the final state of a finished job, and false if the job is unfinished, archived or unknown.
func (s *Store) FinalState(id string) (jobs.FinalState, bool) {
	finished, ok := s.finished[id]
	return finished.FinalState, ok
}

// FinishedCount returns the number of finished jobs, archived ones included.
func (s *Store) FinishedCount() int { return len(s.finished) + s.archive.store.JobCount() }

// StartableJobs returns the unfinished jobs whose tasks may be started, and those whose acceptance is being written.
func (s *Store) StartableJobs() []*jobs.Job {
	list := make([]*jobs.Job, 0, len(s.Unfinished))
	for _, job := range s.Unfinished {
		if job.IsSchedulable() || job.State == jobs.Pending && !job.IsCancelling && job.UnmetDependencies == 0 {
			list = append(list, job)
		}
	}
	return list
}

// Add adds a job whose acceptance is being written.
func (s *Store) Add(job *jobs.Job) {
	s.Unfinished[job.ID] = job
	s.accounting.Open(job)
}

// Tick does the next step of archiving, and looks up unresolved dependencies.
func (s *Store) Tick(now time.Time, outbox *client.Outbox) {
	s.archive.store.Tick(now, outbox)
	s.resolveDependencies(now, outbox)
}

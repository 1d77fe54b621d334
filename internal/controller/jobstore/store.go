// Package jobstore keeps the jobs of a leadership: the unfinished ones, the finished ones that are still in the pages of package
// storage, and the archive of all others. It owns the records of jobs and the graph of their dependencies, and it is the only writer
// of both. It does not decide where or when a task runs, and it sends nothing to workers or users.
//
// A Store is made at the election and dropped whole when the leadership ends. The design is in docs/design/archive.md and
// docs/design/dependencies.md.
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

// FinalState is a finished job that has not been archived yet.
type FinalState struct {
	Done       bool // false: cancelled
	Tasks      int  // how many the job had
	finishedAt time.Time
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

// Observer is told of changes of jobs, during the call that makes the change.
type Observer interface {
	// OrderChanged tells that jobs have left the queue.
	OrderChanged()
	// JobDone tells of a job that is done, durably.
	JobDone(now time.Time, job *jobs.Job)
	// JobWaiting tells of an accepted job that waits for others.
	JobWaiting(job *jobs.Job)
	// JobReady tells of an accepted job that waits for no other, or for none any more.
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

// Store is what a leader knows of all jobs. It belongs to the controller's event loop and is not safe for concurrent use.
type Store struct {
	platform   *config.Platform
	options    *config.Options
	log        *slog.Logger
	storage    *storage.Store
	workers    *worker.Registry
	accounting *accounting.Tracker
	observer   Observer

	// Unfinished are the jobs that are neither done nor completely cancelled, by ID. Other packages only read it.
	Unfinished map[string]*jobs.Job

	finished     map[string]FinalState // jobs in the pages, by ID
	stopping     map[*jobs.Job]bool    // cancelled jobs whose tasks may still run
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
		finished:   map[string]FinalState{},
		stopping:   map[*jobs.Job]bool{},
	}
	s.dependencies.graph = dependencies.New(s.Find)
	return s
}

// SetObserver sets who is told of changes of jobs. It is called once, before the state is restored.
func (s *Store) SetObserver(observer Observer) { s.observer = observer }

// Find returns an unfinished job, or nil.
func (s *Store) Find(id string) *jobs.Job { return s.Unfinished[id] }

// FinalState returns a finished job that has not been archived.
func (s *Store) FinalState(id string) (FinalState, bool) {
	state, ok := s.finished[id]
	return state, ok
}

// FinishedCount is the number of finished jobs, archived ones included.
func (s *Store) FinishedCount() int { return len(s.finished) + s.archive.store.JobCount() }

// StartableJobs lists the unfinished jobs whose tasks may be started, and those whose acceptance is being written.
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

// Tick does the next step of archiving, and asks for what is not known of dependencies.
func (s *Store) Tick(now time.Time, outbox *client.Outbox) {
	s.archive.store.Tick(now, outbox)
	s.resolveDependencies(now, outbox)
}

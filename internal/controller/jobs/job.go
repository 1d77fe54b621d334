// Package jobs has the jobs that users submit and the state of their tasks: which are done, which run, which wait to be started.
// It reads submissions (ParseSpec) and converts jobs to and from their stored form (Record, Chunk). A Job owns the progress of
// its tasks; package dependencies sets which job waits for which, and package heartbeat sets failures.
//
// The package writes and sends nothing, and decides nothing about where or when a task runs. It has no locks: a Job belongs to
// the controller's one goroutine that owns the state. Design notes: docs/design/storage.md, docs/design/upgrade.md.
package jobs

import "time"

// State is the state of a job that is in the state service.
type State int

// States of a job.
const (
	Pending   State = iota // its acceptance is not durable yet
	Accepted               // durable, unfinished
	Done                   // durable, all tasks done
	Cancelled              // durable, cancelled by its user
)

// Names of a job's state that users see.
const (
	nameQueued    = "queued"
	nameRunning   = "running"
	nameDone      = "done"
	nameCancelled = "cancelled"
)

// String returns the name of the state. Users see that of a finished job; for all others see Job.StateName.
func (s State) String() string {
	switch s {
	case Pending:
		return "pending"
	case Accepted:
		return "accepted"
	case Done:
		return nameDone
	case Cancelled:
		return nameCancelled
	}
	return "unknown"
}

// FinalState is what is kept of a finished job.
type FinalState struct {
	State State // Done or Cancelled
	Tasks int   // number of tasks of the job
}

// Terms are what was decided for a job when it was accepted.
type Terms struct {
	Guaranteed           bool          // admitted with a reservation; otherwise best effort
	FirstStartBound      time.Duration // bound on the wait for its first task to start; 0: none was stated
	LastStartBound       time.Duration // bound on the wait for its last task to start; 0: none was stated
	MissedStartBound     bool          // FirstStartBound was missed, which has been logged
	AcceptedByThisLeader bool          // this leader committed the acceptance, so no earlier one can have started a task
}

// DependencyStatus is a job's place in the graph of dependencies.
type DependencyStatus struct {
	UnmetDependencies      int       // dependencies whose end is not durable yet; set by dependencies.Graph
	ReadyAt                time.Time // when the last dependency was done; zero: the job never waited for one
	HasUndecidedDependency bool      // one of them may have been cancelled: the archive has to be read to decide
	InheritedDeadline      time.Time // from jobs that depend on this one; zero: none
	InheritedPriority      Priority  // of the most urgent job that depends on this one
	RequiredByGuaranteed   bool      // a guaranteed job depends on this one, so it is treated as guaranteed itself
}

// FailureStatus records a job's failed attempts. Package heartbeat sets it.
type FailureStatus struct {
	FailedMachines map[string]bool // machines on which tasks of the job failed
	NotBefore      time.Time       // no task starts before this
	FailureCount   int
	CrashLooping   bool // tasks fail wherever they are tried: one is tried at a time
}

// Job is a submitted job that is not archived yet.
type Job struct {
	Spec
	Terms
	DependencyStatus
	FailureStatus
	Progress

	State             State
	SubmittedAt       time.Time
	IsCancelling      bool      // a cancellation is being committed; nothing starts any more
	IsFinishing       bool      // all tasks are done, and that is being committed
	CancelConfirmedAt time.Time // earliest time at which the cancellation can have been confirmed to its user; zero: unknown
	PassedOverSince   time.Time // since when the job has left machines without its image to other jobs; zero: it does not

	maxRecordBytes int // see MaxRecordBytes; 0: not calculated yet
}

// New returns a job that is not accepted yet.
func New(spec Spec, submittedAt time.Time) *Job {
	return &Job{Spec: spec, SubmittedAt: submittedAt, Progress: newProgress(spec.Tasks)}
}

// IsSchedulable reports whether tasks of the job may be started.
func (j *Job) IsSchedulable() bool {
	return j.State == Accepted && !j.IsCancelling && !j.IsFinishing && j.UnmetDependencies == 0
}

// StateName returns the state as users see it.
func (j *Job) StateName() string {
	switch {
	case j.State == Done || j.State == Cancelled:
		return j.State.String()
	case j.RunningTasks() > 0:
		return nameRunning
	}
	return nameQueued
}

// EligibleSince returns since when the job waits for nothing but resources. Ages and bounds count from then; the deadline counts
// from the submission.
func (j *Job) EligibleSince() time.Time {
	if j.ReadyAt.After(j.SubmittedAt) {
		return j.ReadyAt
	}
	return j.SubmittedAt
}

// DueAt returns by when the job has to be complete: its own deadline or an inherited one, whichever is earlier. It is the
// zero time if there is neither.
func (j *Job) DueAt() time.Time {
	var due time.Time
	if j.Deadline > 0 {
		due = j.SubmittedAt.Add(j.Deadline)
	}
	if !j.InheritedDeadline.IsZero() && (due.IsZero() || j.InheritedDeadline.Before(due)) {
		due = j.InheritedDeadline
	}
	return due
}

// TimeToDeadline returns how long after EligibleSince the job has to be complete; 0 if it has no deadline.
func (j *Job) TimeToDeadline() time.Duration {
	due := j.DueAt()
	if due.IsZero() {
		return 0
	}
	return max(due.Sub(j.EligibleSince()), time.Millisecond)
}

// HasGuarantee reports whether resources are reserved for the job: it is guaranteed, or a guaranteed job depends on it.
func (j *Job) HasGuarantee() bool { return j.Guaranteed || j.RequiredByGuaranteed }

// EffectivePriority returns the job's priority, or that of the most urgent job that depends on it if that is higher.
func (j *Job) EffectivePriority() Priority { return max(j.Priority, j.InheritedPriority) }

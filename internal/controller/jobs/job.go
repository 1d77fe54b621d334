// Package jobs defines the jobs that users submit and the state of their tasks: done, running or waiting to be started. It
// parses submissions (ParseSpec) and converts jobs to and from their stored form (Record, Chunk). A Job owns the progress of
// its tasks. Packages dependencies and jobstore set its dependency status, and package heartbeat sets its failures.
//
// The package does no I/O and does not decide where or when a task runs. It has no locks: a Job belongs to the one goroutine
// of the controller that owns the state.
//
// Design notes: docs/design/storage.md, docs/design/upgrade.md.
package jobs

import "time"

// State is the state of a job in the state service. Users see Job.StateName.
type State int

// States of a job.
const (
	Pending   State = iota // acceptance is not durable yet
	Accepted               // durable, unfinished
	Done                   // durable, all tasks done
	Cancelled              // durable, cancelled by the user
)

// Names of job states that users see.
const (
	nameQueued    = "queued"
	nameRunning   = "running"
	nameDone      = "done"
	nameCancelled = "cancelled"
)

// String returns the name of the state. Users see this name for finished jobs only; Job.StateName returns the name for any job.
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

// FinalState holds what is kept of a finished job.
type FinalState struct {
	State State // Done or Cancelled
	Tasks int   // number of tasks of the job
}

// AcceptanceDecision holds what was decided for a job when it was accepted.
type AcceptanceDecision struct {
	Guaranteed           bool          // admitted with a reservation; otherwise best effort
	FirstStartBound      time.Duration // bound given to the user on the wait for the first task to start; 0: none
	LastStartBound       time.Duration // bound given to the user on the wait for the last task to start; 0: none
	MissedStartBound     bool          // FirstStartBound was missed, and this was logged
	AcceptedByThisLeader bool          // this leader committed the acceptance, so no earlier one can have started a task
}

// DependencyStatus holds what follows for a job from its dependencies and dependents.
type DependencyStatus struct {
	UnmetDependencies      int       // number of dependencies whose completion is not durable yet; set by dependencies.Graph
	ReadyAt                time.Time // when the last dependency was done; zero: the job has not waited for any
	HasUndecidedDependency bool      // a dependency may have been cancelled; the archive has to be read to decide
	InheritedDeadline      time.Time // from the jobs that depend on this one; zero: none
	InheritedPriority      Priority  // of the most urgent job that depends on this one
	RequiredByGuaranteed   bool      // a guaranteed job depends on this one, which therefore counts as guaranteed
}

// MachineAvoidance is how long a job avoids a machine after a task of it failed there.
const MachineAvoidance = 30 * time.Second

// FailureStatus holds the failures of a job's attempts. Package heartbeat sets it.
type FailureStatus struct {
	AvoidedMachines map[string]time.Time // until when the job avoids machines on which a task of it failed, by machine ID
	NotBefore       time.Time            // no task starts before this time
	FailureCount    int                  // number of failed attempts
	CrashLooping    bool                 // tasks fail on every machine; they are tried one at a time
}

// Job is a submitted job that is not archived yet.
type Job struct {
	Spec
	AcceptanceDecision
	DependencyStatus
	FailureStatus
	Progress

	State              State
	SubmittedAt        time.Time
	IsCancelling       bool      // a cancellation is being committed; no more tasks start
	IsFinishing        bool      // all tasks are done, and the completion is being committed
	CancelConfirmedAt  time.Time // earliest time at which the cancellation can have been confirmed to the user; zero: unknown
	AwaitingImageSince time.Time // since when the job skips machines without its image; zero: it has not skipped any

	maxRecordBytes int // cached result of MaxRecordBytes; 0: not calculated yet
}

// New returns a pending job. submittedAt is the time of the submission.
func New(spec Spec, submittedAt time.Time) *Job {
	return &Job{Spec: spec, SubmittedAt: submittedAt, Progress: newProgress(spec.Tasks)}
}

// IsSchedulable reports whether tasks of the job may be started.
func (j *Job) IsSchedulable() bool {
	return j.State == Accepted && !j.IsCancelling && !j.IsFinishing && j.UnmetDependencies == 0
}

// StateName returns the name of the state that users see: queued, running, done or cancelled.
func (j *Job) StateName() string {
	switch {
	case j.State == Done || j.State == Cancelled:
		return j.State.String()
	case j.RunningTasks() > 0:
		return nameRunning
	}
	return nameQueued
}

// EligibleSince returns the time since which the job waits for resources only, not for dependencies. Ages and bounds count from
// this time. The deadline counts from the submission.
func (j *Job) EligibleSince() time.Time {
	if j.ReadyAt.After(j.SubmittedAt) {
		return j.ReadyAt
	}
	return j.SubmittedAt
}

// DueAt returns the time by which the job has to be complete: its own deadline or the inherited one, whichever is earlier. It
// returns the zero time if there is neither.
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

// TimeToDeadline returns the time from EligibleSince to DueAt, at least 1 ms. It returns 0 if the job has no deadline.
func (j *Job) TimeToDeadline() time.Duration {
	due := j.DueAt()
	if due.IsZero() {
		return 0
	}
	return max(due.Sub(j.EligibleSince()), time.Millisecond)
}

// HasGuarantee reports whether resources are reserved for the job: either it is guaranteed, or a guaranteed job depends on it.
func (j *Job) HasGuarantee() bool { return j.Guaranteed || j.RequiredByGuaranteed }

// EffectivePriority returns the job's own or its inherited priority, whichever is higher.
func (j *Job) EffectivePriority() Priority { return max(j.Priority, j.InheritedPriority) }

package jobstore

import (
	"cmp"
	"slices"
	"time"

	"gullrudder/internal/controller/archive"
	"gullrudder/internal/controller/dependencies"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/client"
)

// resolveInterval is the minimum time between two rounds of lookups in the archive's data for unresolved dependencies.
const resolveInterval = 500 * time.Millisecond

// DependencyState is the durable state of a job on which another job depends.
type DependencyState int

// States of a dependency.
const (
	DependencyNeverAccepted DependencyState = iota // neither in the pages nor in the archive
	DependencyOpen                                 // accepted, neither done nor cancelled
	DependencyMet                                  // durably done
	DependencyCancelled                            // durably cancelled
	DependencyUndecided                            // its acceptance or cancellation is being written, or one of its dependencies is unresolved
	DependencyService                              // a service, which is never done
	DependencyUnresolved                           // may be in the archive; its index cannot decide this, only its data
)

// dependencyTracker is the graph of unmet dependencies and the progress of resolving dependencies in the archive's data.
type dependencyTracker struct {
	graph         *dependencies.Graph
	unresolved    []*unresolvedDependency
	nextResolveAt time.Time
}

// unresolvedDependency is a dependency whose state must be looked up in the archive's data.
type unresolvedDependency struct {
	job        *jobs.Job
	dependency string // ID of the job that it depends on; empty once resolved
	resolving  bool   // a lookup is in flight
}

// DependencyState returns the state of a job on which another job depends. Only durable changes count. They may be in the pages, written by
// this leader or an earlier one, or in the archive.
func (s *Store) DependencyState(jobID string) DependencyState {
	if finished, ok := s.finished[jobID]; ok {
		if finished.State == jobs.Cancelled {
			return DependencyCancelled
		}
		return DependencyMet
	}
	if job := s.Unfinished[jobID]; job != nil {
		return unfinishedDependencyState(job)
	}
	switch s.archive.store.LookupIndex(jobID) {
	case archive.Done:
		return DependencyMet
	case archive.Cancelled:
		return DependencyCancelled
	case archive.Undetermined:
		return DependencyUnresolved
	}
	return DependencyNeverAccepted
}

func unfinishedDependencyState(job *jobs.Job) DependencyState {
	switch {
	case job.State == jobs.Done:
		return DependencyMet
	case job.State == jobs.Cancelled:
		return DependencyCancelled
	case job.State == jobs.Pending || job.IsCancelling || job.HasUndecidedDependency:
		return DependencyUndecided
	case job.IsService:
		return DependencyService
	}
	return DependencyOpen
}

// WaitingJobs returns the accepted jobs with unmet dependencies, in the order of their submission.
func (s *Store) WaitingJobs() []*jobs.Job {
	var waiting []*jobs.Job
	for _, job := range s.Unfinished {
		if job.UnmetDependencies > 0 && job.State == jobs.Accepted && !job.IsCancelling {
			waiting = append(waiting, job)
		}
	}
	slices.SortFunc(waiting, func(a, b *jobs.Job) int {
		return cmp.Or(a.SubmittedAt.Compare(b.SubmittedAt), cmp.Compare(a.ID, b.ID))
	})
	return waiting
}

// DependencyGraph returns the graph of unmet dependencies. Other packages must not modify it.
func (s *Store) DependencyGraph() *dependencies.Graph { return s.dependencies.graph }

// WaitForDependencies adds the unmet dependencies of a job that is about to be accepted to the graph. unmet has the IDs of these
// dependencies. A job whose dependencies are all met is marked as ready.
func (s *Store) WaitForDependencies(now time.Time, job *jobs.Job, unmet []string) {
	if len(job.Dependencies) == 0 {
		return
	}
	if len(unmet) == 0 {
		job.ReadyAt = now
		return
	}
	s.dependencies.graph.Add(job, unmet)
}

// ApplyAcceptance records that the acceptance of a job is durable, and applies changes of its dependencies since the commit was sent. If
// one of them was cancelled, the job is cancelled too. If the last one was done meanwhile, the time at which the job became ready is saved.
func (s *Store) ApplyAcceptance(now time.Time, job *jobs.Job) {
	for _, id := range s.dependencies.graph.Unmet(job) {
		if s.DependencyState(id) == DependencyCancelled {
			s.cancelDependents(now, s.withDependents(job))
			return
		}
	}
	if job.UnmetDependencies > 0 {
		s.observer.JobWaiting(job) // not called earlier: only now it is known whether the job is guaranteed
		return
	}
	if job.ReadyAt.After(job.SubmittedAt) {
		s.SaveRecord(now, job)
	}
	s.observer.JobReady(now, job)
}

// releaseDependents handles that the job with this ID is durably done. It marks as ready the jobs that had no other unmet dependency.
func (s *Store) releaseDependents(now time.Time, id string) {
	for _, job := range s.dependencies.graph.RecordDone(now, id) {
		if job.State != jobs.Accepted {
			continue // its acceptance is being written; ApplyAcceptance will notify the observer
		}
		s.SaveRecord(now, job)
		s.observer.JobReady(now, job)
		s.log.Info("dependencies completed",
			logkeys.Job, job.ID, logkeys.Duration, now.Sub(job.SubmittedAt).Round(time.Millisecond))
	}
}

// withDependents returns a job and all jobs that depend on it, directly or through others.
func (s *Store) withDependents(job *jobs.Job) []*jobs.Job {
	return append([]*jobs.Job{job}, s.dependencies.graph.Dependents(job.ID)...)
}

// cancelDependents cancels jobs that depend, directly or through others, on a job whose cancellation is durable. None of them has a task on
// any machine, since their dependencies were never done. Their own records are written later. Their cancellation is durable nevertheless:
// every leader derives it from the record of the job on which they depend.
func (s *Store) cancelDependents(now time.Time, dependents []*jobs.Job) {
	if len(dependents) == 0 {
		return
	}
	for _, dependent := range dependents {
		if dependent.State != jobs.Accepted {
			continue // its acceptance is being written; ApplyAcceptance will cancel it
		}
		dependent.State, dependent.CancelConfirmedAt, dependent.HasUndecidedDependency = jobs.Cancelled, now, false
		s.dependencies.graph.Remove(dependent)
		s.accounting.Finish(now, dependent)
		s.log.Info("job cancelled with a dependency", logkeys.Job, dependent.ID)
	}
	s.observer.OrderChanged()
}

// restoreDependencies adds the unmet dependencies of restored jobs to the graph. All jobs must have been restored before.
func (s *Store) restoreDependencies(now time.Time) {
	var cancelled []*jobs.Job
	for _, job := range s.Unfinished {
		if len(job.Dependencies) == 0 || job.State != jobs.Accepted || !job.ReadyAt.IsZero() {
			continue // it has no unmet dependencies
		}
		unmet, hasCancelled := s.unmetDependencies(job)
		if hasCancelled {
			cancelled = append(cancelled, job)
		}
		if len(unmet) > 0 {
			s.dependencies.graph.Add(job, unmet)
		} else {
			job.ReadyAt = now // its dependencies were done under an earlier leader, which did not save ReadyAt
		}
	}
	for _, job := range cancelled {
		s.cancelDependents(now, s.withDependents(job))
	}
	for _, job := range s.Unfinished {
		if job.UnmetDependencies > 0 && job.State == jobs.Accepted {
			s.observer.JobWaiting(job)
		}
	}
}

// unmetDependencies returns the IDs of the dependencies of a restored job that are not done, and whether one of them is cancelled.
// Dependencies that must be looked up in the archive's data are added to the unresolved ones.
func (s *Store) unmetDependencies(job *jobs.Job) (unmet []string, hasCancelled bool) {
	for _, id := range job.Dependencies {
		switch s.DependencyState(id) {
		case DependencyMet:
			continue
		case DependencyCancelled:
			hasCancelled = true
		case DependencyUnresolved:
			job.HasUndecidedDependency = true
			s.dependencies.unresolved = append(s.dependencies.unresolved, &unresolvedDependency{job: job, dependency: id})
		case DependencyNeverAccepted:
			s.log.Error("dependency unknown", logkeys.Job, job.ID, logkeys.Dependency, id)
		}
		unmet = append(unmet, id)
	}
	return unmet, hasCancelled
}

// resolveDependencies looks up unresolved dependencies in the archive's data. Until a dependency is resolved, no request about the jobs
// that depend on it is answered, since an earlier leader may have reported these jobs as cancelled.
func (s *Store) resolveDependencies(now time.Time, outbox *client.Outbox) {
	if len(s.dependencies.unresolved) == 0 || now.Before(s.dependencies.nextResolveAt) {
		return
	}
	s.dependencies.nextResolveAt = now.Add(resolveInterval)
	for _, unresolved := range s.dependencies.unresolved {
		if unresolved.resolving {
			continue
		}
		unresolved.resolving = true
		s.archive.store.LookupData(now, outbox, unresolved.dependency,
			func(now time.Time, final jobs.FinalState, found bool, err error) {
				unresolved.resolving = false
				if err == nil {
					s.resolveDependency(now, unresolved, final, found)
				}
			})
	}
	s.dropResolved()
}

// resolveDependency applies the result of a lookup in the archive's data.
func (s *Store) resolveDependency(now time.Time, resolved *unresolvedDependency, final jobs.FinalState, found bool) {
	switch {
	case found && final.State == jobs.Cancelled:
		s.cancelDependents(now, s.withDependents(resolved.job))
	case found:
		s.releaseDependents(now, resolved.dependency)
	default:
		s.log.Error("dependency unknown", logkeys.Job, resolved.job.ID, logkeys.Dependency, resolved.dependency)
	}
	resolved.dependency = ""
}

// dropResolved removes the resolved dependencies from the list. A job stays undecided while any of its dependencies is unresolved.
func (s *Store) dropResolved() {
	unresolved := s.dependencies.unresolved[:0]
	for _, u := range s.dependencies.unresolved {
		u.job.HasUndecidedDependency = false
		if u.dependency != "" {
			unresolved = append(unresolved, u)
		}
	}
	s.dependencies.unresolved = unresolved
	for _, u := range unresolved {
		u.job.HasUndecidedDependency = u.job.State == jobs.Accepted
	}
}

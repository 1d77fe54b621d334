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

// resolveInterval is the time between two lookups in the archive's data for dependencies that its index cannot decide.
const resolveInterval = 500 * time.Millisecond

// DependencyState is the durable state of a job that another one depends on.
type DependencyState int

// States of a dependency.
const (
	DependencyNeverAccepted DependencyState = iota
	DependencyOpen                          // accepted, and neither done nor cancelled
	DependencyMet                           // done, durably
	DependencyCancelled                     // cancelled, durably
	DependencyUndecided                     // its acceptance or cancellation is being written
	DependencyService                       // a service, which is never done
	DependencyArchived                      // perhaps in the archive, which only its data can decide
)

// dependencyState is the state of the dependencies between jobs.
type dependencyState struct {
	graph         *dependencies.Graph
	unresolved    []*unresolvedDependency
	nextResolveAt time.Time
}

// unresolvedDependency is a dependency that only the archive's data can decide.
type unresolvedDependency struct {
	job        *jobs.Job
	dependency string // ID of the job that it depends on, empty once it is resolved
	resolving  bool
}

// DependencyState returns the state of a job that another one depends on. Only durable changes count: those in the pages, by this leader
// or an earlier one, or in the archive.
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
		return DependencyArchived
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

// WaitingJobs returns the accepted jobs with unmet dependencies, the oldest first.
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

// DependencyGraph returns the graph of the unmet dependencies. Other packages must not change it.
func (s *Store) DependencyGraph() *dependencies.Graph { return s.dependencies.graph }

// WaitForDependencies adds the missing dependencies of a job that is about to be accepted to the graph.
func (s *Store) WaitForDependencies(now time.Time, job *jobs.Job, missing []string) {
	if len(job.Dependencies) == 0 {
		return
	}
	if len(missing) == 0 {
		job.ReadyAt = now
		return
	}
	s.dependencies.graph.Add(job, missing)
}

// ApplyAcceptance records that the acceptance of a job is durable, and applies changes of its dependencies since the commit was sent: if
// one was cancelled the job is cancelled, too, and if the last one was done the time of that is written.
func (s *Store) ApplyAcceptance(now time.Time, job *jobs.Job) {
	for _, id := range s.dependencies.graph.Unmet(job) {
		if s.DependencyState(id) == DependencyCancelled {
			s.cancelDependents(now, s.withDependents(job))
			return
		}
	}
	if job.UnmetDependencies > 0 {
		s.observer.JobWaiting(job) // only now, since the job is not known to be guaranteed before
		return
	}
	if job.ReadyAt.After(job.SubmittedAt) {
		s.SaveRecord(now, job)
	}
	s.observer.JobReady(now, job)
}

// releaseDependents makes the jobs ready whose last unmet dependency is a job that is now done, durably.
func (s *Store) releaseDependents(now time.Time, id string) {
	for _, job := range s.dependencies.graph.RecordDone(now, id) {
		if job.State != jobs.Accepted {
			continue // its acceptance is being written
		}
		s.SaveRecord(now, job)
		s.observer.JobReady(now, job)
		s.log.Info("dependencies completed",
			logkeys.Job, job.ID, logkeys.Duration, now.Sub(job.SubmittedAt).Round(time.Millisecond))
	}
}

// withDependents returns a job and all that depend on it.
func (s *Store) withDependents(job *jobs.Job) []*jobs.Job {
	return append([]*jobs.Job{job}, s.dependencies.graph.Dependents(job.ID)...)
}

// cancelDependents cancels jobs that depend, directly or through others, on one whose cancellation is durable. None of them has a task on
// any machine, since their dependencies were never done. Their cancellation is durable by the record of that one job, from which every
// leader derives it; their own records are written later.
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

// restoreDependencies adds the unmet dependencies of restored jobs to the graph, once all jobs are restored.
func (s *Store) restoreDependencies(now time.Time) {
	var cancelled []*jobs.Job
	for _, job := range s.Unfinished {
		if len(job.Dependencies) == 0 || job.State != jobs.Accepted || !job.ReadyAt.IsZero() {
			continue // it has no unmet dependency
		}
		missing, hasCancelled := s.unmetDependencies(job)
		if hasCancelled {
			cancelled = append(cancelled, job)
		}
		if len(missing) > 0 {
			s.dependencies.graph.Add(job, missing)
		} else {
			job.ReadyAt = now // its dependencies were done under an earlier leader, which did not write ReadyAt
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

// unmetDependencies returns the dependencies of a restored job that are not done, and whether one is cancelled. Those that only the
// archive's data can decide are added to the unresolved ones.
func (s *Store) unmetDependencies(job *jobs.Job) (missing []string, hasCancelled bool) {
	for _, id := range job.Dependencies {
		switch s.DependencyState(id) {
		case DependencyMet:
			continue
		case DependencyCancelled:
			hasCancelled = true
		case DependencyArchived:
			job.HasUndecidedDependency = true
			s.dependencies.unresolved = append(s.dependencies.unresolved, &unresolvedDependency{job: job, dependency: id})
		case DependencyNeverAccepted:
			s.log.Error("dependency unknown", logkeys.Job, job.ID, logkeys.Dependency, id)
		}
		missing = append(missing, id)
	}
	return missing, hasCancelled
}

// resolveDependencies looks up unresolved dependencies in the archive's data. Until they are resolved no request about the jobs that
// depend on them is answered: an earlier leader may have reported these as cancelled.
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
	s.forgetResolved()
}

// resolveDependency records the result of the lookup of a dependency in the archive's data.
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

// forgetResolved drops the resolved dependencies. A job stays undecided as long as one of its dependencies is unresolved.
func (s *Store) forgetResolved() {
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

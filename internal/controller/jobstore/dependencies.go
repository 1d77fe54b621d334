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

// resolveInterval is how often the archive is asked again for dependencies that its index cannot tell of.
const resolveInterval = 500 * time.Millisecond

// DependencyState is what is known of a job that another one depends on.
type DependencyState int

// States of a dependency.
const (
	DependencyNeverAccepted DependencyState = iota
	DependencyOpen                          // accepted, and neither done nor cancelled
	DependencyMet                           // done, durably
	DependencyCancelled                     // cancelled, durably
	DependencyUndecided                     // its acceptance or cancellation is being written
	DependencyService                       // a service, which is never done
	DependencyArchived                      // perhaps in the archive; its data have to tell
)

// dependencyState is which jobs wait for others.
type dependencyState struct {
	graph         *dependencies.Graph
	unresolved    []*unresolvedDependency
	nextResolveAt time.Time
}

// unresolvedDependency is a dependency that only the archive's data can tell of.
type unresolvedDependency struct {
	job        *jobs.Job
	dependency string // ID of the job that it depends on, empty once that has been resolved
	resolving  bool
}

// DependencyState returns what has become of a job that another one depends on. Only what is durable counts: in the pages, written by
// this leader or an earlier one, or in the archive.
func (s *Store) DependencyState(jobID string) DependencyState {
	if state, ok := s.finished[jobID]; ok {
		if state.Done {
			return DependencyMet
		}
		return DependencyCancelled
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

// WaitingJobs lists the accepted jobs that wait for others, the oldest first.
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

// DependencyGraph is which job waits for which. Other packages only read it.
func (s *Store) DependencyGraph() *dependencies.Graph { return s.dependencies.graph }

// WaitForDependencies has a job that is about to be accepted wait for its dependencies that are not done.
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

// ApplyAcceptance records that a job's acceptance is durable. What became of its dependencies meanwhile counts from now on: if one was
// cancelled the job is cancelled with it, and if the last was done the time of that is written.
func (s *Store) ApplyAcceptance(now time.Time, job *jobs.Job) {
	for _, id := range s.dependencies.graph.Unmet(job) {
		if s.DependencyState(id) == DependencyCancelled {
			s.cancelDependents(now, s.withDependents(job))
			return
		}
	}
	if job.UnmetDependencies > 0 {
		s.observer.JobWaiting(job) // by now it is known whether the job is guaranteed
		return
	}
	if job.ReadyAt.After(job.SubmittedAt) {
		s.SaveRecord(now, job)
	}
	s.observer.JobReady(now, job)
}

// releaseDependents makes the jobs ready that have waited for a job which is done now, durably.
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

// withDependents is a job and all that depend on it.
func (s *Store) withDependents(job *jobs.Job) []*jobs.Job {
	return append([]*jobs.Job{job}, s.dependencies.graph.Dependents(job.ID)...)
}

// cancelDependents cancels jobs that depend, directly or through others, on one whose cancellation is durable. None of them has a task
// on any machine, since their dependencies were never done. That one record fixes their fate, since every leader reads the same out of
// it. Their own records are written later.
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

// restoreDependencies has the jobs of an earlier leader wait again for what is not done, once all have been restored.
func (s *Store) restoreDependencies(now time.Time) {
	var cancelled []*jobs.Job
	for _, job := range s.Unfinished {
		if len(job.Dependencies) == 0 || job.State != jobs.Accepted || !job.ReadyAt.IsZero() {
			continue // it waits for nothing, or does not wait any more
		}
		missing, hasCancelled := s.unmetDependencies(job)
		if hasCancelled {
			cancelled = append(cancelled, job)
		}
		if len(missing) > 0 {
			s.dependencies.graph.Add(job, missing)
		} else {
			job.ReadyAt = now // done under the previous leader, which ended before it wrote that
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

// unmetDependencies lists the dependencies of a restored job that are not done, and reports whether one is cancelled. What only the
// archive's data can tell is asked for.
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

// resolveDependencies asks the archive's data for dependencies that its index cannot tell of. Until then no request about the jobs that
// depend on them is answered: an earlier leader may have said that they are cancelled.
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
			func(now time.Time, state archive.FinalState, found bool, err error) {
				unresolved.resolving = false
				if err == nil {
					s.resolveDependency(now, unresolved, state, found)
				}
			})
	}
	s.forgetResolved()
}

// resolveDependency records what the archive's data say of a dependency.
func (s *Store) resolveDependency(now time.Time, resolved *unresolvedDependency, state archive.FinalState, found bool) {
	switch {
	case found && state.Cancelled:
		s.cancelDependents(now, s.withDependents(resolved.job))
	case found:
		s.releaseDependents(now, resolved.dependency)
	default:
		s.log.Error("dependency unknown", logkeys.Job, resolved.job.ID, logkeys.Dependency, resolved.dependency)
	}
	resolved.dependency = ""
}

// forgetResolved drops the dependencies that have been resolved. A job stays undecided as long as one of its own has not been.
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

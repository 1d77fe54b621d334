package jobstore

import (
	"cmp"
	"slices"
	"time"

	"gullrudder/internal/controller/archive"
	"gullrudder/internal/controller/dependencies"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/wire/client"
)

// DependencyState is what is known of a job that another one needs.
type DependencyState int

// Needs.
const (
	DependencyNeverAccepted DependencyState = iota
	DependencyOpen                          // accepted, and neither done nor cancelled
	DependencyMet                           // done, durably
	DependencyCancelled                     // cancelled, durably
	DependencyUndecided                     // its acceptance or cancellation is on its way into the ledger
	DependencyService                       // a service: it is never done
	DependencyArchived                      // in the history, perhaps; its data have to tell
)

// DependencyState tells what has become of a job that is needed. Only what is durable counts: in the ledger's pages, of this leader or an
// earlier one, or in the history.
func (s *Store) DependencyState(id string) DependencyState {
	if f, ok := s.finished[id]; ok {
		if f.Done {
			return DependencyMet
		}
		return DependencyCancelled
	}
	if j := s.Unfinished[id]; j != nil {
		switch {
		case j.State == jobs.Done:
			return DependencyMet
		case j.State == jobs.Cancelled:
			return DependencyCancelled
		case j.State == jobs.Pending || j.IsCancelling || j.HasUndecidedDependency:
			return DependencyUndecided
		case j.IsService:
			return DependencyService
		}
		return DependencyOpen
	}
	switch s.archive.LookupIndex(id) {
	case archive.Done:
		return DependencyMet
	case archive.Cancelled:
		return DependencyCancelled
	case archive.Undetermined:
		return DependencyArchived
	}
	return DependencyNeverAccepted
}

// WaitingJobs lists the accepted jobs that wait for others, the oldest first.
func (s *Store) WaitingJobs() []*jobs.Job {
	var list []*jobs.Job
	for _, j := range s.Unfinished {
		if j.UnmetDependencies > 0 && j.State == jobs.Accepted && !j.IsCancelling {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(x, y *jobs.Job) int {
		return cmp.Or(x.SubmittedAt.Compare(y.SubmittedAt), cmp.Compare(x.ID, y.ID))
	})
	return list
}

// DependencyGraph is who waits for whom. It is for looking only.
func (s *Store) DependencyGraph() *dependencies.Graph { return s.graph }

// OnWaiting names who is to know of an accepted job that waits for others, and OnFree of one that waits for none, or for none any more.
func (s *Store) OnWaiting(f func(j *jobs.Job))              { s.onWaiting = f }
func (s *Store) OnReady(f func(now time.Time, j *jobs.Job)) { s.onReady = f }

// WaitForDependencies lets a job that is about to be accepted wait for the needs that are not done.
func (s *Store) WaitForDependencies(now time.Time, job *jobs.Job, missing []string) {
	if len(job.Dependencies) == 0 {
		return
	}
	if len(missing) == 0 {
		job.ReadyAt = now
		return
	}
	s.graph.Add(job, missing)
}

// ApplyAcceptance takes in that a job's acceptance is durable. What became of its needs meanwhile counts from now on: one that was
// cancelled takes it along, and when the last was done is written down.
func (s *Store) ApplyAcceptance(now time.Time, job *jobs.Job) {
	for _, id := range s.graph.Unmet(job) {
		if s.DependencyState(id) == DependencyCancelled {
			s.cancelDependents(now, s.withDependents(job))
			return
		}
	}
	if job.UnmetDependencies > 0 {
		s.onWaiting(job) // by now it is known whether it is guaranteed
		return
	}
	if job.ReadyAt.After(job.SubmittedAt) {
		s.SaveRecord(now, job)
	}
	s.onReady(now, job)
}

// releaseDependents lets those start that have waited for a job which is done now, durably.
func (s *Store) releaseDependents(now time.Time, id string) {
	for _, j := range s.graph.MarkDone(now, id) {
		if j.State != jobs.Accepted {
			continue // its acceptance is on its way
		}
		s.SaveRecord(now, j)
		s.onReady(now, j)
		s.log.Info("all that a job needs is done", "job", j.ID, "after", now.Sub(j.SubmittedAt).Round(time.Millisecond))
	}
}

// withDependents is a job and all that need it.
func (s *Store) withDependents(job *jobs.Job) []*jobs.Job {
	return append([]*jobs.Job{job}, s.graph.Dependents(job.ID)...)
}

// cancelDependents cancels jobs that need one which is cancelled in the ledger, directly or through others. None of them has a task
// anywhere, since what they need was never done. With that one record their fate is fixed: every leader reads the same out of
// it. Their own records are written when there is time.
func (s *Store) cancelDependents(now time.Time, dependents []*jobs.Job) {
	if len(dependents) == 0 {
		return
	}
	for _, dependent := range dependents {
		if dependent.State != jobs.Accepted {
			continue // its acceptance is on its way; with it it learns of this
		}
		dependent.State, dependent.CancelConfirmedAt, dependent.HasUndecidedDependency = jobs.Cancelled, now, false
		s.graph.Remove(dependent)
		s.accounting.Finish(now, dependent)
		s.log.Info("job cancelled with one that it needs", "job", dependent.ID)
	}
	s.onOrderChange()
}

// unresolvedDependency is a need that the history's data have to tell of.
type unresolvedDependency struct {
	job        *jobs.Job
	dependency string
	resolving  bool
}

// restoreDependencies lets the jobs of an earlier leader wait again for what is not done, once all are read.
func (s *Store) restoreDependencies(now time.Time) {
	var cancelled []*jobs.Job
	for _, j := range s.Unfinished {
		if len(j.Dependencies) == 0 || j.State != jobs.Accepted || !j.ReadyAt.IsZero() {
			continue // it waits for nothing, or that was over before
		}
		var missing []string
		for _, id := range j.Dependencies {
			switch s.DependencyState(id) {
			case DependencyMet:
				continue
			case DependencyCancelled:
				cancelled = append(cancelled, j)
			case DependencyArchived:
				j.HasUndecidedDependency = true
				s.unresolved = append(s.unresolved, &unresolvedDependency{job: j, dependency: id})
			case DependencyNeverAccepted:
				s.log.Error("a job needs one that nobody knows: it waits", "job", j.ID, "needs", id)
			}
			missing = append(missing, id)
		}
		if len(missing) > 0 {
			s.graph.Add(j, missing)
		} else {
			j.ReadyAt = now // done under the leader before, which could not write that down any more
		}
	}
	for _, j := range cancelled {
		s.cancelDependents(now, s.withDependents(j))
	}
	for _, j := range s.Unfinished {
		if j.UnmetDependencies > 0 && j.State == jobs.Accepted {
			s.onWaiting(j)
		}
	}
}

// resolveDependencies asks the history's data what became of needs that its index cannot tell of. Until then nobody is told anything of the jobs
// that need them: an earlier leader may have called them cancelled.
func (s *Store) resolveDependencies(now time.Time, box *client.Outbox) {
	if len(s.unresolved) == 0 || now.Before(s.nextResolveAt) {
		return
	}
	s.nextResolveAt = now.Add(500 * time.Millisecond)
	for _, u := range s.unresolved {
		if u.resolving {
			continue
		}
		u.resolving = true
		s.archive.Resolve(now, box, u.dependency, func(now time.Time, state archive.FinalState, known bool, err error) {
			u.resolving = false
			switch {
			case err != nil:
				return // asked again
			case known && state.Cancelled:
				s.cancelDependents(now, s.withDependents(u.job))
			case known:
				s.releaseDependents(now, u.dependency)
			default:
				s.log.Error("a job needs one that nobody knows: it waits", "job", u.job.ID, "needs", u.dependency)
			}
			u.dependency = ""
		})
	}
	left := s.unresolved[:0]
	for _, u := range s.unresolved {
		u.job.HasUndecidedDependency = false
		if u.dependency != "" {
			left = append(left, u)
		}
	}
	s.unresolved = left
	for _, u := range left {
		u.job.HasUndecidedDependency = u.job.State == jobs.Accepted
	}
}

// RetireCancelled takes in a job that was accepted though one that it needs was cancelled before: it is kept as cancelled.
func (s *Store) RetireCancelled(now time.Time, job *jobs.Job) {
	job.State, job.CancelConfirmedAt = jobs.Cancelled, now
	s.accounting.Finish(now, job)
	s.retire(now, job)
}

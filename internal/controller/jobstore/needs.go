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
func (b *Store) DependencyState(id string) DependencyState {
	if f, ok := b.finished[id]; ok {
		if f.Done {
			return DependencyMet
		}
		return DependencyCancelled
	}
	if j := b.Unfinished[id]; j != nil {
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
	switch b.archive.LookupIndex(id) {
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
func (b *Store) WaitingJobs() []*jobs.Job {
	var list []*jobs.Job
	for _, j := range b.Unfinished {
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
func (b *Store) DependencyGraph() *dependencies.Graph { return b.graph }

// OnWaiting names who is to know of an accepted job that waits for others, and OnFree of one that waits for none, or for none any more.
func (b *Store) OnWaiting(f func(j *jobs.Job))              { b.onWaiting = f }
func (b *Store) OnReady(f func(now time.Time, j *jobs.Job)) { b.onReady = f }

// WaitForDependencies lets a job that is about to be accepted wait for the needs that are not done.
func (b *Store) WaitForDependencies(now time.Time, job *jobs.Job, missing []string) {
	if len(job.Dependencies) == 0 {
		return
	}
	if len(missing) == 0 {
		job.ReadyAt = now
		return
	}
	b.graph.Add(job, missing)
}

// ApplyAcceptance takes in that a job's acceptance is durable. What became of its needs meanwhile counts from now on: one that was
// cancelled takes it along, and when the last was done is written down.
func (b *Store) ApplyAcceptance(now time.Time, job *jobs.Job) {
	for _, id := range b.graph.Unmet(job) {
		if b.DependencyState(id) == DependencyCancelled {
			b.cancelDependents(now, b.withDependents(job))
			return
		}
	}
	if job.UnmetDependencies > 0 {
		b.onWaiting(job) // by now it is known whether it is guaranteed
		return
	}
	if job.ReadyAt.After(job.SubmittedAt) {
		b.SaveRecord(now, job)
	}
	b.onReady(now, job)
}

// releaseDependents lets those start that have waited for a job which is done now, durably.
func (b *Store) releaseDependents(now time.Time, id string) {
	for _, j := range b.graph.RecordDone(now, id) {
		if j.State != jobs.Accepted {
			continue // its acceptance is on its way
		}
		b.SaveRecord(now, j)
		b.onReady(now, j)
		b.log.Info("all that a job needs is done", "job", j.ID, "after", now.Sub(j.SubmittedAt).Round(time.Millisecond))
	}
}

// withDependents is a job and all that need it.
func (b *Store) withDependents(job *jobs.Job) []*jobs.Job {
	return append([]*jobs.Job{job}, b.graph.Dependents(job.ID)...)
}

// cancelDependents cancels jobs that need one which is cancelled in the ledger, directly or through others. None of them has a task
// anywhere, since what they need was never done. With that one record their fate is fixed: every leader reads the same out of
// it. Their own records are written when there is time.
func (b *Store) cancelDependents(now time.Time, dependents []*jobs.Job) {
	if len(dependents) == 0 {
		return
	}
	for _, dependent := range dependents {
		if dependent.State != jobs.Accepted {
			continue // its acceptance is on its way; with it it learns of this
		}
		dependent.State, dependent.CancelConfirmedAt, dependent.HasUndecidedDependency = jobs.Cancelled, now, false
		b.graph.Remove(dependent)
		b.accounting.Finish(now, dependent)
		b.log.Info("job cancelled with one that it needs", "job", dependent.ID)
	}
	b.onOrderChange()
}

// unresolvedDependency is a need that the history's data have to tell of.
type unresolvedDependency struct {
	job        *jobs.Job
	dependency string
	resolving  bool
}

// restoreDependencies lets the jobs of an earlier leader wait again for what is not done, once all are read.
func (b *Store) restoreDependencies(now time.Time) {
	var cancelled []*jobs.Job
	for _, j := range b.Unfinished {
		if len(j.Dependencies) == 0 || j.State != jobs.Accepted || !j.ReadyAt.IsZero() {
			continue // it waits for nothing, or that was over before
		}
		var missing []string
		for _, id := range j.Dependencies {
			switch b.DependencyState(id) {
			case DependencyMet:
				continue
			case DependencyCancelled:
				cancelled = append(cancelled, j)
			case DependencyArchived:
				j.HasUndecidedDependency = true
				b.unresolved = append(b.unresolved, &unresolvedDependency{job: j, dependency: id})
			case DependencyNeverAccepted:
				b.log.Error("a job needs one that nobody knows: it waits", "job", j.ID, "needs", id)
			}
			missing = append(missing, id)
		}
		if len(missing) > 0 {
			b.graph.Add(j, missing)
		} else {
			j.ReadyAt = now // done under the leader before, which could not write that down any more
		}
	}
	for _, j := range cancelled {
		b.cancelDependents(now, b.withDependents(j))
	}
	for _, j := range b.Unfinished {
		if j.UnmetDependencies > 0 && j.State == jobs.Accepted {
			b.onWaiting(j)
		}
	}
}

// resolveDependencies asks the history's data what became of needs that its index cannot tell of. Until then nobody is told anything of the jobs
// that need them: an earlier leader may have called them cancelled.
func (b *Store) resolveDependencies(now time.Time, box *client.Outbox) {
	if len(b.unresolved) == 0 || now.Before(b.nextResolveAt) {
		return
	}
	b.nextResolveAt = now.Add(500 * time.Millisecond)
	for _, u := range b.unresolved {
		if u.resolving {
			continue
		}
		u.resolving = true
		b.archive.Resolve(now, box, u.dependency, func(now time.Time, state archive.FinalState, known bool, err error) {
			u.resolving = false
			switch {
			case err != nil:
				return // asked again
			case known && state.Cancelled:
				b.cancelDependents(now, b.withDependents(u.job))
			case known:
				b.releaseDependents(now, u.dependency)
			default:
				b.log.Error("a job needs one that nobody knows: it waits", "job", u.job.ID, "needs", u.dependency)
			}
			u.dependency = ""
		})
	}
	left := b.unresolved[:0]
	for _, u := range b.unresolved {
		u.job.HasUndecidedDependency = false
		if u.dependency != "" {
			left = append(left, u)
		}
	}
	b.unresolved = left
	for _, u := range left {
		u.job.HasUndecidedDependency = u.job.State == jobs.Accepted
	}
}

// RetireCancelled takes in a job that was accepted though one that it needs was cancelled before: it is kept as cancelled.
func (b *Store) RetireCancelled(now time.Time, job *jobs.Job) {
	job.State, job.CancelConfirmedAt = jobs.Cancelled, now
	b.accounting.Finish(now, job)
	b.retire(now, job)
}

package api

import (
	"maps"
	"time"

	"gullrudder/internal/controller/archive"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/jobstore"
	"gullrudder/internal/wire/server"
)

const dependencyUndecided = "it cannot be told yet what became of a job that it needs"

// checkDependencies looks at the jobs that a submission names: those that it is to wait for, and whether one of them is cancelled. Not ok:
// it is answered, or will be once the history's data have told of one of them.
func (d *Handler) checkDependencies(
	now time.Time,
	r *server.Request,
	spec jobs.Spec,
	resolved map[string]jobstore.DependencyState,
) (missing []string, void, ok bool) {
	for _, id := range spec.Dependencies {
		need := d.jobStore.DependencyState(id)
		if t, known := resolved[id]; known && need == jobstore.DependencyArchived {
			need = t
		}
		switch need {
		case jobstore.DependencyMet:
		case jobstore.DependencyCancelled:
			void = true
		case jobstore.DependencyOpen:
			missing = append(missing, id)
		case jobstore.DependencyUndecided:
			d.responder.RespondError(r, 503, dependencyUndecided, retryDelay)
			return nil, false, false
		case jobstore.DependencyService:
			d.responder.RespondError(r, 422, "needs "+id+", a service, which is never done", 0)
			return nil, false, false
		case jobstore.DependencyArchived:
			d.lookUpDependency(now, r, spec, id, resolved)
			return nil, false, false
		default:
			d.responder.RespondError(r, 422, "needs "+id+", which was never accepted", 0)
			return nil, false, false
		}
	}
	return missing, void, true
}

// lookUpDependency asks the history's data of a job that a submission names, and goes on with it then.
func (d *Handler) lookUpDependency(
	now time.Time,
	r *server.Request,
	spec jobs.Spec,
	id string,
	resolved map[string]jobstore.DependencyState,
) {
	d.jobStore.Archive().Resolve(now, d.outbox, id, func(now time.Time, f archive.FinalState, known bool, err error) {
		if !d.holdsLease() || err != nil {
			d.responder.RespondError(r, 503, dependencyUndecided, archiveRetryDelay)
			return
		}
		next := maps.Clone(resolved)
		if next == nil {
			next = map[string]jobstore.DependencyState{}
		}
		switch {
		case !known:
			next[id] = jobstore.DependencyNeverAccepted
		case f.Cancelled:
			next[id] = jobstore.DependencyCancelled
		default:
			next[id] = jobstore.DependencyMet
		}
		d.acceptSubmission(now, r, spec, nil, next)
	})
}

// markAccepted takes in that a job's acceptance is durable; void: it needs one that is cancelled, and so is it.
func (d *Handler) markAccepted(now time.Time, j *jobs.Job, void bool) {
	if void {
		d.jobStore.RetireCancelled(now, j)
		return
	}
	d.jobStore.ApplyAcceptance(now, j)
}

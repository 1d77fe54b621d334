package requests

import (
	"maps"
	"time"

	"gullrudder/internal/controller/book"
	"gullrudder/internal/controller/history"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/wire/inbox"
)

const unsure = "it cannot be told yet what became of a job that it needs"

// needs looks at the jobs that a submission names: those that it is to wait for, and whether one of them is cancelled. Not ok:
// it is answered, or will be once the history's data have told of one of them.
func (d *Desk) needs(now time.Time, r *inbox.Request, spec jobs.Spec, told map[string]book.DependencyState) (missing []string, void, ok bool) {
	for _, id := range spec.Needs {
		need := d.book.DependencyState(id)
		if t, known := told[id]; known && need == book.DependencyArchived {
			need = t
		}
		switch need {
		case book.DependencyMet:
		case book.DependencyCancelled:
			void = true
		case book.DependencyOpen:
			missing = append(missing, id)
		case book.DependencyUndecided:
			d.out.Refuse(r, 503, unsure, comeBack)
			return nil, false, false
		case book.DependencyService:
			d.out.Refuse(r, 422, "needs "+id+", a service, which is never done", 0)
			return nil, false, false
		case book.DependencyArchived:
			d.askPast(now, r, spec, id, told)
			return nil, false, false
		default:
			d.out.Refuse(r, 422, "needs "+id+", which was never accepted", 0)
			return nil, false, false
		}
	}
	return missing, void, true
}

// askPast asks the history's data of a job that a submission names, and goes on with it then.
func (d *Desk) askPast(now time.Time, r *inbox.Request, spec jobs.Spec, id string, told map[string]book.DependencyState) {
	d.book.Archive().Resolve(now, d.box, id, func(now time.Time, f history.FinalState, known bool, err error) {
		if !d.acting() || err != nil {
			d.out.Refuse(r, 503, unsure, notNow)
			return
		}
		next := maps.Clone(told)
		if next == nil {
			next = map[string]book.DependencyState{}
		}
		switch {
		case !known:
			next[id] = book.DependencyNeverAccepted
		case f.Cancelled:
			next[id] = book.DependencyCancelled
		default:
			next[id] = book.DependencyMet
		}
		d.submitNew(now, r, spec, nil, next)
	})
}

// accepted takes in that a job's acceptance is durable; void: it needs one that is cancelled, and so is it.
func (d *Desk) accepted(now time.Time, j *jobs.Job, void bool) {
	if void {
		d.book.RetireCancelled(now, j)
		return
	}
	d.book.ApplyAcceptance(now, j)
}

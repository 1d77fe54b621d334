package requests

import (
	"time"

	"gullrudder/internal/controller/book"
	"gullrudder/internal/controller/history"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/wire/inbox"
)

// notNow is when a user is told to ask again about an old job that cannot be looked up.
const notNow = time.Second

func finalAnswer(id string, f book.FinalState, counts bool) jobAnswer {
	a := jobAnswer{ID: id, State: "cancelled"}
	zero := 0
	if f.Done {
		a.State = "done"
	}
	if counts {
		a.Done, a.Running = &zero, &zero
		if f.Done {
			a.Done = &f.Tasks
		}
	}
	return a
}

func (d *Desk) query(now time.Time, r *inbox.Request, id string) {
	if f, ok := d.book.FinalState(id); ok {
		d.out.Reply(r, 200, finalAnswer(id, f, true), 0)
		return
	}
	j := d.book.Find(id)
	if j == nil {
		d.missing(now, r, id, true, d.query)
		return
	}
	if d.notYet(r, j) {
		return
	}
	running := j.RunningTasks()
	because := ""
	if _, cause, ok := d.times.Of(now, j); ok {
		because = cause.String()
	}
	d.out.Reply(r, 200, jobAnswer{Because: because, ID: id, State: j.Wire(), Label: label(j.Guaranteed), Done: &j.NDone, Running: &running}, 0)
}

// notYet refuses to say anything of a job whose state cannot be told now; false if it can.
func (d *Desk) notYet(r *inbox.Request, j *jobs.Job) bool {
	switch {
	case j.State == jobs.Pending:
		d.out.Refuse(r, 503, "not saved yet", comeBack)
	case d.unconfirmed(j):
		d.out.Refuse(r, 503, stillThere, comeBack)
	case j.Unsure:
		d.out.Refuse(r, 503, unsure, notNow)
	default:
		return false
	}
	return true
}

// missing answers for a job that is neither live nor final in the pages: from the history, or
// 404. If it was submitted while the history was asked, it is served as usual.
func (d *Desk) missing(now time.Time, r *inbox.Request, id string, counts bool, serve func(time.Time, *inbox.Request, string)) {
	absent := func(now time.Time) {
		if _, over := d.book.FinalState(id); over || d.book.Find(id) != nil {
			serve(now, r, id)
			return
		}
		d.out.Refuse(r, 404, "no such job", 0)
	}
	if !d.past(now, r, id, counts, absent) {
		absent(now)
	}
}

func (d *Desk) cancel(now time.Time, r *inbox.Request, id string) {
	if f, ok := d.book.FinalState(id); ok {
		d.out.Reply(r, 200, finalAnswer(id, f, false), 0)
		return
	}
	j := d.book.Find(id)
	switch {
	case j == nil:
		d.missing(now, r, id, false, d.cancel)
		return
	case j.State == jobs.Pending:
		d.out.Refuse(r, 503, "not saved yet", comeBack)
		return
	case d.unconfirmed(j):
		d.out.Refuse(r, 503, stillThere, comeBack)
		return
	case j.State == jobs.Cancelled:
		d.out.Reply(r, 200, jobAnswer{ID: id, State: "cancelled"}, 0)
		return
	case j.Finishing || j.Cancelling || !d.ledger.IsHealthy():
		// What is on its way into the ledger decides; the user asks again.
		if !j.Finishing && !j.Cancelling {
			d.writeCancellation(now, j, nil)
		}
		d.out.Refuse(r, 503, "not saved yet", comeBack)
		return
	}
	d.writeCancellation(now, j, r)
}

const stillThere = "cancelled, and its tasks are not gone yet"

// unconfirmed reports whether nobody may be told yet that the job is cancelled: with settings by which a lease outlasts the
// time in which its tasks have to be gone, they have to be gone first.
func (d *Desk) unconfirmed(j *jobs.Job) bool {
	return d.late && j.State == jobs.Cancelled && d.book.IsStopping(j)
}

// writeCancellation writes the cancellation down; the user is told once it is durable. From now on
// nothing of the job starts.
func (d *Desk) writeCancellation(now time.Time, j *jobs.Job, r *inbox.Request) {
	j.Cancelling = true
	d.placer.InvalidateOrder()
	rec := j.Record()
	rec.State = jobs.FinalRecord(jobs.Cancelled, 0).State
	err := d.ledger.Set(now, j.ID, rec, j.Reserve(), true, func(now time.Time, ok bool) {
		if ok && j.State == jobs.Accepted {
			d.book.ApplyCancellation(now, j)
			d.log.Info("job cancelled", "job", j.ID)
		}
		if r == nil {
			return
		}
		switch {
		case !ok:
			d.out.Refuse(r, 503, "not saved yet", comeBack)
		case d.unconfirmed(j):
			d.out.Refuse(r, 503, stillThere, comeBack)
		default:
			d.out.Reply(r, 200, jobAnswer{ID: j.ID, State: "cancelled"}, 0)
		}
		r = nil
	})
	if err != nil {
		d.log.Error("a cancellation cannot be saved", "job", j.ID, "error", err)
	}
}

// past answers a request for a job that is finished and sealed. It returns false if no run of
// the history holds the job. If only the data of the history can tell, it is read first, and
// absent goes on if the job is not there; until then nobody knows it.
func (d *Desk) past(now time.Time, r *inbox.Request, id string, counts bool, absent func(now time.Time)) bool {
	known := d.book.Archive().LookupIndex(id)
	switch {
	case known == history.Absent:
		return false
	case known == history.Cancelled:
		d.out.Reply(r, 200, finalAnswer(id, book.FinalState{}, counts), 0)
		return true
	case known == history.Done && !counts:
		d.out.Reply(r, 200, finalAnswer(id, book.FinalState{Done: true}, false), 0)
		return true
	}
	d.book.Archive().Resolve(now, d.box, id, func(now time.Time, f history.FinalState, found bool, err error) {
		switch {
		case !d.acting():
			d.out.Refuse(r, 503, "no leader at present", comeBack)
		case found:
			d.out.Reply(r, 200, finalAnswer(id, book.FinalState{Done: !f.Cancelled, Tasks: f.Tasks}, counts), 0)
		case err == nil && known == history.Undetermined:
			absent(now)
		case known == history.Done && d.book.Archive().IsUnreachable(now):
			// Its state is certain; the counts are for display and would keep it from the user.
			d.out.Reply(r, 200, finalAnswer(id, book.FinalState{Done: true}, false), 0)
		default:
			if err != nil {
				d.log.Info("an old job cannot be looked up", "job", id, "error", err)
			}
			d.out.Refuse(r, 503, "finished jobs cannot be looked up now", notNow)
		}
	})
	return true
}

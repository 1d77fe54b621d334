package api

import (
	"time"

	"gullrudder/internal/controller/archive"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/jobstore"
	"gullrudder/internal/wire/server"
)

// archiveRetryDelay is when a user is told to ask again about an old job that cannot be looked up.
const archiveRetryDelay = time.Second

func finalResponse(id string, f jobstore.FinalState, counts bool) jobResponse {
	a := jobResponse{ID: id, State: "cancelled"}
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

func (d *Handler) serveQuery(now time.Time, r *server.Request, id string) {
	if f, ok := d.jobStore.FinalState(id); ok {
		d.responder.Respond(r, 200, finalResponse(id, f, true), 0)
		return
	}
	j := d.jobStore.Find(id)
	if j == nil {
		d.serveArchived(now, r, id, true, d.serveQuery)
		return
	}
	if d.refuseUndecided(r, j) {
		return
	}
	running := j.RunningTasks()
	because := ""
	if _, cause, ok := d.accounting.Account(now, j); ok {
		because = cause.String()
	}
	d.responder.Respond(
		r,
		200,
		jobResponse{WaitReason: because, ID: id, State: j.StateName(), Label: labelOf(j.Guaranteed), Done: &j.DoneTasks, Running: &running},
		0,
	)
}

// refuseUndecided refuses to say anything of a job whose state cannot be told now; false if it can.
func (d *Handler) refuseUndecided(r *server.Request, j *jobs.Job) bool {
	switch {
	case j.State == jobs.Pending:
		d.responder.RespondError(r, 503, "not saved yet", retryDelay)
	case d.hasUnconfirmedTasks(j):
		d.responder.RespondError(r, 503, tasksStillRunning, retryDelay)
	case j.HasUndecidedDependency:
		d.responder.RespondError(r, 503, dependencyUndecided, archiveRetryDelay)
	default:
		return false
	}
	return true
}

// serveArchived answers for a job that is neither live nor final in the pages: from the history, or
// 404. If it was submitted while the history was asked, it is served as usual.
func (d *Handler) serveArchived(now time.Time, r *server.Request, id string, counts bool, serve func(time.Time, *server.Request, string)) {
	absent := func(now time.Time) {
		if _, over := d.jobStore.FinalState(id); over || d.jobStore.Find(id) != nil {
			serve(now, r, id)
			return
		}
		d.responder.RespondError(r, 404, "no such job", 0)
	}
	if !d.replyFromArchive(now, r, id, counts, absent) {
		absent(now)
	}
}

func (d *Handler) serveCancellation(now time.Time, r *server.Request, id string) {
	if f, ok := d.jobStore.FinalState(id); ok {
		d.responder.Respond(r, 200, finalResponse(id, f, false), 0)
		return
	}
	j := d.jobStore.Find(id)
	switch {
	case j == nil:
		d.serveArchived(now, r, id, false, d.serveCancellation)
		return
	case j.State == jobs.Pending:
		d.responder.RespondError(r, 503, "not saved yet", retryDelay)
		return
	case d.hasUnconfirmedTasks(j):
		d.responder.RespondError(r, 503, tasksStillRunning, retryDelay)
		return
	case j.State == jobs.Cancelled:
		d.responder.Respond(r, 200, jobResponse{ID: id, State: "cancelled"}, 0)
		return
	case j.IsFinishing || j.IsCancelling || !d.storage.IsHealthy():
		// What is on its way into the ledger decides; the user asks again.
		if !j.IsFinishing && !j.IsCancelling {
			d.commitCancellation(now, j, nil)
		}
		d.responder.RespondError(r, 503, "not saved yet", retryDelay)
		return
	}
	d.commitCancellation(now, j, r)
}

const tasksStillRunning = "cancelled, and its tasks are not gone yet"

// hasUnconfirmedTasks reports whether nobody may be told yet that the job is cancelled: with settings by which a lease outlasts the
// time in which its tasks have to be gone, they have to be gone first.
func (d *Handler) hasUnconfirmedTasks(j *jobs.Job) bool {
	return d.leaseOutlastsCancel && j.State == jobs.Cancelled && d.jobStore.IsStopping(j)
}

// commitCancellation writes the cancellation down; the user is told once it is durable. From now on
// nothing of the job starts.
func (d *Handler) commitCancellation(now time.Time, j *jobs.Job, r *server.Request) {
	j.IsCancelling = true
	d.placer.InvalidateOrder()
	rec := j.Record()
	rec.State = jobs.NewFinalRecord(jobs.Cancelled, 0).State
	err := d.storage.Set(now, j.ID, rec, j.MaxRecordBytes(), true, func(now time.Time, ok bool) {
		if ok && j.State == jobs.Accepted {
			d.jobStore.ApplyCancellation(now, j)
			d.logger.Info("job cancelled", "job", j.ID)
		}
		if r == nil {
			return
		}
		switch {
		case !ok:
			d.responder.RespondError(r, 503, "not saved yet", retryDelay)
		case d.hasUnconfirmedTasks(j):
			d.responder.RespondError(r, 503, tasksStillRunning, retryDelay)
		default:
			d.responder.Respond(r, 200, jobResponse{ID: j.ID, State: "cancelled"}, 0)
		}
		r = nil
	})
	if err != nil {
		d.logger.Error("a cancellation cannot be saved", "job", j.ID, "error", err)
	}
}

// replyFromArchive answers a request for a job that is finished and sealed. It returns false if no run of
// the history holds the job. If only the data of the history can tell, it is read first, and
// absent goes on if the job is not there; until then nobody knows it.
func (d *Handler) replyFromArchive(now time.Time, r *server.Request, id string, counts bool, absent func(now time.Time)) bool {
	known := d.jobStore.Archive().LookupIndex(id)
	switch {
	case known == archive.Absent:
		return false
	case known == archive.Cancelled:
		d.responder.Respond(r, 200, finalResponse(id, jobstore.FinalState{}, counts), 0)
		return true
	case known == archive.Done && !counts:
		d.responder.Respond(r, 200, finalResponse(id, jobstore.FinalState{Done: true}, false), 0)
		return true
	}
	d.jobStore.Archive().Resolve(now, d.outbox, id, func(now time.Time, f archive.FinalState, found bool, err error) {
		switch {
		case !d.holdsLease():
			d.responder.RespondError(r, 503, "no leader at present", retryDelay)
		case found:
			d.responder.Respond(r, 200, finalResponse(id, jobstore.FinalState{Done: !f.Cancelled, Tasks: f.Tasks}, counts), 0)
		case err == nil && known == archive.Undetermined:
			absent(now)
		case known == archive.Done && d.jobStore.Archive().IsUnreachable(now):
			// Its state is certain; the counts are for display and would keep it from the user.
			d.responder.Respond(r, 200, finalResponse(id, jobstore.FinalState{Done: true}, false), 0)
		default:
			if err != nil {
				d.logger.Info("an old job cannot be looked up", "job", id, "error", err)
			}
			d.responder.RespondError(r, 503, "finished jobs cannot be looked up now", archiveRetryDelay)
		}
	})
	return true
}

package api

import (
	"net/http"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/storage"
	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/server"
)

// serveCancellation cancels a job. It responds once the cancellation is durable.
func (h *jobHandler) serveCancellation(now time.Time, request *server.Request, jobID string) {
	if final, ok := h.jobStore.FinalState(jobID); ok {
		h.responder.Respond(request, http.StatusOK, finalResponse(jobID, final, false), 0)
		return
	}
	job := h.jobStore.Find(jobID)
	switch {
	case job == nil:
		h.serveArchived(now, request, jobID, false, h.serveCancellation)
	case job.State == jobs.Pending:
		h.responder.RespondError(request, http.StatusServiceUnavailable, textNotSaved, retryDelay)
	case h.mustAwaitTaskEnd(job):
		h.responder.RespondError(request, http.StatusServiceUnavailable, textTasksStillRunning, retryDelay)
	case job.State == jobs.Cancelled:
		h.responder.Respond(request, http.StatusOK, jobResponse{ID: jobID, State: jobs.Cancelled.String()}, 0)
	case job.IsFinishing || job.IsCancelling:
		// A commit in progress decides the outcome; the user retries.
		h.responder.RespondError(request, http.StatusServiceUnavailable, textNotSaved, retryDelay)
	case !h.storage.IsHealthy():
		// The cancellation is written once the state service accepts changes; the user retries.
		h.commitCancellation(now, job, nil)
		h.responder.RespondError(request, http.StatusServiceUnavailable, textNotSaved, retryDelay)
	default:
		h.commitCancellation(now, job, request)
	}
}

// commitCancellation stores the cancellation. No task of the job starts from now on. A request that is not nil gets its response once
// the outcome is known or uncertain.
func (h *jobHandler) commitCancellation(now time.Time, job *jobs.Job, request *server.Request) {
	job.IsCancelling = true
	h.placer.InvalidateOrder()
	record := job.Record()
	record.State = jobs.NewFinalRecord(jobs.Cancelled, 0).State
	done := func(now time.Time, isDurable bool) {
		if isDurable && job.State == jobs.Accepted {
			h.jobStore.ApplyCancellation(now, job)
			h.log.Info("job cancelled", logkeys.Job, job.ID)
		}
		if request != nil {
			h.respondCancelled(request, job, isDurable)
			request = nil
		}
	}
	options := storage.SetOptions{ReservedBytes: job.MaxRecordBytes(), Urgent: true, Done: done}
	err := h.storage.Set(now, job.ID, record, options)
	if err != nil {
		h.log.Error("cancellation not saved", logkeys.Job, job.ID, logkeys.Err, err)
	}
}

func (h *jobHandler) respondCancelled(request *server.Request, job *jobs.Job, isDurable bool) {
	switch {
	case !isDurable:
		h.responder.RespondError(request, http.StatusServiceUnavailable, textNotSaved, retryDelay)
	case h.mustAwaitTaskEnd(job):
		h.responder.RespondError(request, http.StatusServiceUnavailable, textTasksStillRunning, retryDelay)
	default:
		h.responder.Respond(request, http.StatusOK, jobResponse{ID: job.ID, State: jobs.Cancelled.String()}, 0)
	}
}

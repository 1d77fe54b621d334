package api

import (
	"net/http"
	"time"

	"gullrudder/internal/controller/archive"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/server"
)

// archivedRequest is a request about a job that may be in the archive.
type archivedRequest struct {
	request    *server.Request
	jobID      string
	withCounts bool                // whether the response has the task counts
	ifAbsent   func(now time.Time) // called after the archive was read, if it does not have the job
}

// serveArchived responds for a job that is neither unfinished nor recently finished: from the archive, or with 404. If the job was
// submitted while the archive was read, it calls serve.
func (h *jobHandler) serveArchived(
	now time.Time, request *server.Request, jobID string, withCounts bool, serve func(time.Time, *server.Request, string),
) {
	ifAbsent := func(now time.Time) {
		if _, isFinished := h.jobStore.FinalState(jobID); isFinished || h.jobStore.Find(jobID) != nil {
			serve(now, request, jobID)
			return
		}
		h.responder.RespondError(request, http.StatusNotFound, "no such job", 0)
	}
	if !h.respondFromArchive(now, archivedRequest{request, jobID, withCounts, ifAbsent}) {
		ifAbsent(now)
	}
}

// respondFromArchive responds for an archived job. If the archive's index rules the job out, it returns false without a response or a
// call of ifAbsent. If the index alone does not decide, it reads the archive's data and responds afterwards.
func (h *jobHandler) respondFromArchive(now time.Time, archived archivedRequest) bool {
	indexed := h.jobStore.Archive().LookupIndex(archived.jobID)
	switch {
	case indexed == archive.Absent:
		return false
	case indexed == archive.Cancelled:
		h.respondFinal(archived, jobs.FinalState{State: jobs.Cancelled}, archived.withCounts)
		return true
	case indexed == archive.Done && !archived.withCounts:
		h.respondFinal(archived, jobs.FinalState{State: jobs.Done}, false)
		return true
	}
	h.jobStore.Archive().LookupData(now, h.outbox, archived.jobID, func(now time.Time, final jobs.FinalState, found bool, err error) {
		switch {
		case !h.holdsLease():
			h.responder.RespondError(archived.request, http.StatusServiceUnavailable, "no leader at present", retryDelay)
		case found:
			h.respondFinal(archived, final, archived.withCounts)
		case err == nil && indexed == archive.Undetermined:
			archived.ifAbsent(now)
		case indexed == archive.Done && h.jobStore.Archive().IsUnreachable(now):
			// The index has the job's state. Only the task counts are missing, which are for display.
			h.respondFinal(archived, jobs.FinalState{State: jobs.Done}, false)
		default:
			h.refuseArchived(archived, err)
		}
	})
	return true
}

func (h *jobHandler) respondFinal(archived archivedRequest, final jobs.FinalState, withCounts bool) {
	h.responder.Respond(archived.request, http.StatusOK, finalResponse(archived.jobID, final, withCounts), 0)
}

func (h *jobHandler) refuseArchived(archived archivedRequest, err error) {
	if err != nil {
		h.log.Info("archived job lookup failed", logkeys.Job, archived.jobID, logkeys.Err, err)
	}
	h.responder.RespondError(
		archived.request, http.StatusServiceUnavailable, "finished jobs cannot be looked up now", archiveRetryDelay,
	)
}

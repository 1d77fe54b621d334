package api

import (
	"log/slog"
	"net/http"
	"time"

	"gullrudder/internal/controller/accounting"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/jobstore"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/storage"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/server"
)

const (
	// retryDelay is the Retry-After of most answers of 503.
	retryDelay = time.Second
	// archiveRetryDelay is the Retry-After of an answer for a job that cannot be looked up in the archive.
	archiveRetryDelay = time.Second
)

// Texts to users.
const (
	textNotSaved            = "not saved yet"
	textTasksStillRunning   = "cancelled, and its tasks are not gone yet"
	textDependencyUndecided = "it cannot be told yet what became of a job that it needs"
)

// Labels of the terms on which a job was accepted.
const (
	labelGuaranteed = "guaranteed"
	labelBestEffort = "best_effort"
)

// jobHandler answers for jobs that were submitted: queries and cancellations.
type jobHandler struct {
	responder  *server.Responder
	outbox     *client.Outbox
	log        *slog.Logger
	holdsLease func() bool
	storage    *storage.Store
	jobStore   *jobstore.Store
	placer     *placement.Placer
	accounting *accounting.Tracker
	// leaseOutlastsCancel is set if a worker's lease that was just renewed may outlast the time within which the tasks of a
	// cancelled job have to be gone.
	leaseOutlastsCancel bool
}

func labelOf(guaranteed bool) string {
	if guaranteed {
		return labelGuaranteed
	}
	return labelBestEffort
}

// finalResponse returns the answer for a finished job. Queries have the numbers of tasks, other requests do not.
func finalResponse(jobID string, final jobs.FinalState, withCounts bool) jobResponse {
	response := jobResponse{ID: jobID, State: final.State.String()}
	if withCounts {
		done, running := 0, 0
		if final.State == jobs.Done {
			done = final.Tasks
		}
		response.Done, response.Running = &done, &running
	}
	return response
}

// acceptedResponse returns the answer to the submission of a job that is durable.
func acceptedResponse(job *jobs.Job) jobResponse {
	return jobResponse{ID: job.ID, State: job.StateName(), Label: labelOf(job.Guaranteed)}
}

// serveQuery answers with the state of a job.
func (h *jobHandler) serveQuery(now time.Time, request *server.Request, jobID string) {
	if final, ok := h.jobStore.FinalState(jobID); ok {
		h.responder.Respond(request, http.StatusOK, finalResponse(jobID, final, true), 0)
		return
	}
	job := h.jobStore.Find(jobID)
	if job == nil {
		h.serveArchived(now, request, jobID, true, h.serveQuery)
		return
	}
	if h.refuseUndecided(request, job) {
		return
	}
	response := acceptedResponse(job)
	running := job.RunningTasks()
	response.Done, response.Running = &job.DoneTasks, &running
	if _, reason, ok := h.accounting.Account(now, job); ok {
		response.WaitReason = reason.String()
	}
	h.responder.Respond(request, http.StatusOK, response, 0)
}

// refuseUndecided refuses to answer for a job whose state is not certain now. It returns false if it is certain.
func (h *jobHandler) refuseUndecided(request *server.Request, job *jobs.Job) bool {
	switch {
	case job.State == jobs.Pending:
		h.responder.RespondError(request, http.StatusServiceUnavailable, textNotSaved, retryDelay)
	case h.hasUnconfirmedTasks(job):
		h.responder.RespondError(request, http.StatusServiceUnavailable, textTasksStillRunning, retryDelay)
	case job.HasUndecidedDependency:
		h.responder.RespondError(request, http.StatusServiceUnavailable, textDependencyUndecided, archiveRetryDelay)
	default:
		return false
	}
	return true
}

// hasUnconfirmedTasks reports whether the cancellation of the job may not be confirmed yet: if a worker's lease can outlast the time
// within which the tasks have to be gone, they have to be gone before it is.
func (h *jobHandler) hasUnconfirmedTasks(job *jobs.Job) bool {
	return h.leaseOutlastsCancel && job.State == jobs.Cancelled && h.jobStore.IsStopping(job)
}

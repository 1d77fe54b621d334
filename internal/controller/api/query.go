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
	// retryDelay is the Retry-After of most responses with status 503.
	retryDelay = time.Second
	// archiveRetryDelay is the Retry-After of a response about a job that cannot be looked up in the archive now.
	archiveRetryDelay = time.Second
)

// Error texts for users.
const (
	textNotSaved            = "not saved yet"
	textTasksStillRunning   = "cancelled, and its tasks are not gone yet"
	textDependencyUndecided = "it cannot be told yet what became of a job that it needs"
)

// Labels that say whether a job was accepted with a guarantee.
const (
	labelGuaranteed = "guaranteed"
	labelBestEffort = "best_effort"
)

// jobHandler serves queries and cancellations of jobs.
type jobHandler struct {
	responder  *server.Responder
	outbox     *client.Outbox
	log        *slog.Logger
	holdsLease func() bool
	storage    *storage.Store
	jobStore   *jobstore.Store
	placer     *placement.Placer
	accounting *accounting.Tracker
	// leaseOutlastsCancelTimeout is set if a worker's newly renewed lease may outlast the platform's cancel timeout, within which the
	// tasks of a cancelled job have to end.
	leaseOutlastsCancelTimeout bool
}

func labelOf(guaranteed bool) string {
	if guaranteed {
		return labelGuaranteed
	}
	return labelBestEffort
}

// finalResponse returns the response for a finished job. Only responses to queries have the task counts.
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

// acceptedResponse returns the response to a submission whose job is durable.
func acceptedResponse(job *jobs.Job) jobResponse {
	return jobResponse{ID: job.ID, State: job.StateName(), Label: labelOf(job.Guaranteed)}
}

// serveQuery responds with the state of a job.
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
	if h.refuseIfUndecided(request, job) {
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

// refuseIfUndecided responds with 503 for a job whose state is uncertain now. If the state is certain, it returns false without a
// response.
func (h *jobHandler) refuseIfUndecided(request *server.Request, job *jobs.Job) bool {
	switch {
	case job.State == jobs.Pending:
		h.responder.RespondError(request, http.StatusServiceUnavailable, textNotSaved, retryDelay)
	case h.mustAwaitTaskEnd(job):
		h.responder.RespondError(request, http.StatusServiceUnavailable, textTasksStillRunning, retryDelay)
	case job.HasUndecidedDependency:
		h.responder.RespondError(request, http.StatusServiceUnavailable, textDependencyUndecided, archiveRetryDelay)
	default:
		return false
	}
	return true
}

// mustAwaitTaskEnd reports whether the cancellation of the job must not be confirmed yet. If a worker's lease may outlast the cancel
// timeout, the tasks of the job have to end before the confirmation.
func (h *jobHandler) mustAwaitTaskEnd(job *jobs.Job) bool {
	return h.leaseOutlastsCancelTimeout && job.State == jobs.Cancelled && h.jobStore.IsStopping(job)
}

package api

import (
	"net/http"
	"slices"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/admission"
	"gullrudder/internal/controller/autoscaler"
	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/estimate"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/jobstore"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/storage"
	"gullrudder/internal/controller/submission"
	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/server"
)

// unsavedRetryDelay is the Retry-After of a submission that the state service has not saved.
const unsavedRetryDelay = 2 * retryDelay

type submissionHandler struct {
	*jobHandler
	teams      map[string]config.Team
	cloud      *cloud.Client
	planner    *admission.Planner
	estimator  *estimate.Estimator
	autoscaler *autoscaler.Scaler
	bounds     *startBounds
	limiter    *submission.Limiter // bounds the submissions that are not durable yet
	refuser    *refuser
}

// jobSubmission is a submission that is being served.
type jobSubmission struct {
	request        *server.Request
	spec           jobs.Spec
	invalid        error                               // why the spec is invalid; nil if it is valid
	archivedStates map[string]jobstore.DependencyState // dependencies that were looked up in the archive's data, by job ID
}

// serveSubmission accepts or refuses a job. Submissions are idempotent: a request with the ID of an existing job gets the job's state
// as its response, whatever else the request contains.
func (h *submissionHandler) serveSubmission(now time.Time, request *server.Request) {
	spec, err := jobs.ParseSpec(request.Body)
	submitted := jobSubmission{request: request, spec: spec, invalid: err}
	if jobs.ValidID(spec.ID) {
		ifAbsent := func(now time.Time) { h.serveNew(now, submitted) }
		if h.respondIfKnown(request, spec.ID) || h.respondFromArchive(now, archivedRequest{request, spec.ID, false, ifAbsent}) {
			return
		}
	}
	h.serveNew(now, submitted)
}

// respondIfKnown responds to a repeated submission whose job is not archived. It returns false if there is no such job.
func (h *submissionHandler) respondIfKnown(request *server.Request, jobID string) bool {
	if final, ok := h.jobStore.FinalState(jobID); ok {
		h.responder.Respond(request, http.StatusOK, finalResponse(jobID, final, false), 0)
		return true
	}
	job := h.jobStore.Find(jobID)
	if job == nil {
		return false
	}
	if !h.refuseIfUndecided(request, job) {
		h.responder.Respond(request, http.StatusOK, acceptedResponse(job), 0)
	}
	return true
}

// serveNew accepts or refuses a job that is not in the archive.
func (h *submissionHandler) serveNew(now time.Time, submitted jobSubmission) {
	request := submitted.request
	if h.respondIfKnown(request, submitted.spec.ID) {
		return // the submission was repeated while the archive was read
	}
	job, ok := h.validate(now, submitted)
	if !ok {
		return
	}
	dependencies, ok := h.checkDependencies(now, submitted)
	if !ok {
		return
	}
	if accepted, retryAfter := h.limiter.Acquire(now, job.Team, job.ID); !accepted {
		h.responder.RespondError(request, http.StatusTooManyRequests,
			"too many submissions at once; there is a place for this one after the time given", retryAfter)
		return
	}
	record := jobs.NewFinalRecord(jobs.Cancelled, job.Tasks)
	if !dependencies.hasCancelled {
		h.plan(now, job, dependencies.unmet)
		record = job.Record()
	}
	pending := &pendingSubmission{request: request, job: job, isCancelled: dependencies.hasCancelled, holdsSlot: true}
	done := func(now time.Time, isDurable bool) {
		h.finishCommit(now, pending, isDurable)
	}
	options := storage.SetOptions{ReservedBytes: job.MaxRecordBytes(), Urgent: true, Done: done}
	err := h.storage.Set(now, job.ID, record, options)
	if err != nil {
		h.limiter.Release(job.Team)
		h.jobStore.DependencyGraph().Remove(job)
		h.refuser.refuse(now, request, job.ID, refusal{
			status: http.StatusServiceUnavailable, reason: reasonRecordTooLarge, text: reasonRecordTooLarge, retryAfter: unsavedRetryDelay,
		})
		return
	}
	h.jobStore.Add(job)
}

// validate returns the submitted job. It refuses the submission and returns false if the job is invalid, can never run, or cannot be
// checked or saved now.
func (h *submissionHandler) validate(now time.Time, submitted jobSubmission) (*jobs.Job, bool) {
	request := submitted.request
	if h.refuseInvalid(now, submitted) {
		return nil, false
	}
	if len(h.cloud.MachineTypes) == 0 {
		h.responder.RespondError(request, http.StatusServiceUnavailable, "the machine types are not known yet", retryDelay)
		return nil, false
	}
	job := jobs.New(h.compact(submitted.spec), now)
	if reason := h.unsatisfiableReason(job); reason != "" {
		h.refuser.refuse(now, request, job.ID, unsatisfiable(reason))
		return nil, false
	}
	if !h.storage.IsHealthy() {
		h.responder.RespondError(request, http.StatusServiceUnavailable, "the state service does not take changes", unsavedRetryDelay)
		return nil, false
	}
	return job, true
}

// compact returns the spec in the form that is stored. If no type of the spec is offered, the types stay as they are.
func (h *submissionHandler) compact(spec jobs.Spec) jobs.Spec {
	if _, ok := h.teams[spec.Team]; !ok {
		spec.Team = jobs.CompactName(spec.Team)
	}
	isOffered := func(machineType string) bool { return h.cloud.MachineTypes[machineType] != nil }
	if !slices.ContainsFunc(spec.MachineTypes, isOffered) {
		isOffered = func(string) bool { return true }
	}
	return spec.Compact(isOffered)
}

// unsatisfiableReason returns why a job can never run. It returns an empty string if it can.
func (h *submissionHandler) unsatisfiableReason(job *jobs.Job) string {
	team, ok := h.teams[job.Team]
	if len(h.teams) > 0 && !ok {
		return reasonUnknownTeam
	}
	if placement.ExceedsQuota(job, team) {
		return reasonExceedsQuota
	}
	for _, machineType := range h.cloud.MachineTypes {
		for _, zone := range machineType.Zones {
			kind := cloud.InstanceKindOf(machineType, zone, false)
			if placement.FitsType(job, machineType) && placement.KindAllowed(job, kind) {
				return ""
			}
		}
	}
	return reasonFitsNoType
}

// plan decides whether the job is guaranteed, and sets its start bounds. It adds the dependencies to the graph first, since they are
// part of the plan.
func (h *submissionHandler) plan(now time.Time, job *jobs.Job, unmet []string) {
	h.jobStore.WaitForDependencies(now, job, unmet)
	runTime, dependencies := h.jobStore.DependencyGraph().CriticalPath(job, h.estimator.TaskRunTime)
	job.Guaranteed = h.planner.Admit(now, admission.Request{
		Job: job, Live: h.jobStore.StartableJobs(), Capacity: h.autoscaler.ExpectedCapacity(now),
		Dependencies: dependencies, DependencyRunTime: runTime,
	})
	if len(unmet) == 0 {
		h.bounds.set(now, job)
	}
}

// pendingSubmission is a job whose acceptance is being committed.
type pendingSubmission struct {
	request      *server.Request
	job          *jobs.Job
	isCancelled  bool // it depends on a cancelled job, so it is accepted as cancelled
	holdsSlot    bool // the limiter still counts the submission
	hasResponded bool
}

// finishCommit is called when the acceptance is durable or its outcome is uncertain. After an uncertain outcome it may be called again.
func (h *submissionHandler) finishCommit(now time.Time, pending *pendingSubmission, isDurable bool) {
	job := pending.job
	if pending.holdsSlot {
		pending.holdsSlot = false
		h.limiter.Release(job.Team)
	}
	if isDurable && job.State == jobs.Pending {
		h.accept(now, job, pending.isCancelled)
	}
	if pending.hasResponded {
		return
	}
	pending.hasResponded = true
	if isDurable {
		h.responder.Respond(pending.request, http.StatusCreated, acceptedResponse(job), 0)
	} else {
		h.responder.RespondError(pending.request, http.StatusServiceUnavailable, textNotSaved, unsavedRetryDelay)
	}
}

// accept records that the acceptance is durable.
func (h *submissionHandler) accept(now time.Time, job *jobs.Job, isCancelled bool) {
	job.State, job.AcceptedByThisLeader = jobs.Accepted, true
	if isCancelled {
		h.jobStore.RetireCancelled(now, job)
	} else {
		h.jobStore.ApplyAcceptance(now, job)
	}
	h.log.Info("job accepted",
		logkeys.Job, job.ID, logkeys.Class, job.Class, logkeys.Tasks, job.Tasks, logkeys.Label, labelOf(job.Guaranteed))
}

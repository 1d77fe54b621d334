package api

import (
	"maps"
	"net/http"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/jobstore"
)

// dependencyCheck is the result of looking up the dependencies of a submission.
type dependencyCheck struct {
	unmet        []string // IDs of the dependencies that are not done
	hasCancelled bool     // at least one dependency is cancelled
}

// checkDependencies looks up the dependencies of a submission. It returns false if it has refused the submission. It also returns
// false if it has to read the archive: it then serves the submission again after the read.
func (h *submissionHandler) checkDependencies(now time.Time, submitted jobSubmission) (dependencyCheck, bool) {
	var check dependencyCheck
	for _, id := range submitted.spec.Dependencies {
		state := h.jobStore.DependencyState(id)
		if archived, ok := submitted.archivedStates[id]; ok && state == jobstore.DependencyUnresolved {
			state = archived
		}
		switch state {
		case jobstore.DependencyMet:
		case jobstore.DependencyCancelled:
			check.hasCancelled = true
		case jobstore.DependencyOpen:
			check.unmet = append(check.unmet, id)
		case jobstore.DependencyUnresolved:
			h.lookUpDependency(now, submitted, id)
			return dependencyCheck{}, false
		default:
			h.refuseDependency(now, submitted, id, state)
			return dependencyCheck{}, false
		}
	}
	return check, true
}

func (h *submissionHandler) refuseDependency(
	now time.Time, submitted jobSubmission, dependencyID string, state jobstore.DependencyState,
) {
	refused := refusal{status: http.StatusUnprocessableEntity, field: jobs.FieldDependencies, value: dependencyID}
	switch state {
	case jobstore.DependencyUndecided:
		h.responder.RespondError(submitted.request, http.StatusServiceUnavailable, textDependencyUndecided, retryDelay)
		return
	case jobstore.DependencyService:
		refused.reason, refused.text = reasonDependencyIsService, "needs "+dependencyID+", a service, which is never done"
	default:
		refused.reason, refused.text = reasonDependencyNotKnown, "needs "+dependencyID+", which was never accepted"
	}
	h.refuser.refuse(now, submitted.request, submitted.spec.ID, refused)
}

// lookUpDependency reads the final state of a dependency from the archive's data and then serves the submission again.
func (h *submissionHandler) lookUpDependency(now time.Time, submitted jobSubmission, jobID string) {
	h.jobStore.Archive().LookupData(now, h.outbox, jobID, func(now time.Time, final jobs.FinalState, found bool, err error) {
		if !h.holdsLease() || err != nil {
			h.responder.RespondError(submitted.request, http.StatusServiceUnavailable, textDependencyUndecided, archiveRetryDelay)
			return
		}
		states := maps.Clone(submitted.archivedStates)
		if states == nil {
			states = map[string]jobstore.DependencyState{}
		}
		states[jobID] = archivedDependencyState(final, found)
		submitted.archivedStates = states
		h.serveNew(now, submitted)
	})
}

func archivedDependencyState(final jobs.FinalState, found bool) jobstore.DependencyState {
	switch {
	case !found:
		return jobstore.DependencyNeverAccepted
	case final.State == jobs.Cancelled:
		return jobstore.DependencyCancelled
	}
	return jobstore.DependencyMet
}

package api

import (
	"fmt"
	"net/http"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/estimate"
	"gullrudder/internal/controller/failover"
	"gullrudder/internal/controller/failures"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/queue"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/wire/server"
)

const (
	// maxJobsAhead bounds the jobs ahead of a job that are listed, and the dependencies that are named.
	maxJobsAhead = 5
	// maxReasons bounds the reasons of an explanation, and separately its remedies.
	maxReasons = 8
)

// explanationHandler explains why a job waits.
type explanationHandler struct {
	*jobHandler
	options   *config.Options
	teams     map[string]config.Team
	workers   *worker.Registry
	failover  *failover.Reconciler
	failures  *failures.Tracker
	estimator *estimate.Estimator
	ranker    *queue.Ranker
}

// serveExplanation responds with the reasons why a job waits, the jobs ahead of it, and what would let it start earlier.
func (h *explanationHandler) serveExplanation(now time.Time, request *server.Request, jobID string) {
	// The time account of a job that ended under this leader is kept after the job is archived.
	if finished, ok := h.accounting.FinishedAccount(jobID); ok {
		h.responder.Respond(request, http.StatusOK, Explanation{
			QueuedJob: QueuedJob{ID: jobID, Team: finished.Team, Class: finished.Class}, State: finished.State.String(),
			Reasons: []string{"the job has ended"}, TimeShares: newTimeShares(&finished.Breakdown),
		}, 0)
		return
	}
	if final, ok := h.jobStore.FinalState(jobID); ok {
		h.responder.Respond(request, http.StatusOK, explainEarlierJob(jobID, final), 0)
		return
	}
	job := h.jobStore.Find(jobID)
	if job == nil {
		h.serveArchived(now, request, jobID, false, h.serveExplanation)
		return
	}
	h.responder.Respond(request, http.StatusOK, h.explain(now, job), 0)
}

func explainEarlierJob(jobID string, final jobs.FinalState) Explanation {
	return Explanation{
		QueuedJob: QueuedJob{ID: jobID}, State: final.State.String(), Reasons: []string{"the job ended under an earlier leader"},
	}
}

func (h *explanationHandler) explain(now time.Time, job *jobs.Job) Explanation {
	order := h.placer.Order(now)
	explanation := Explanation{
		QueuedJob: newQueuedJob(now, job, ""), State: job.StateName(),
		JobsAhead: []QueuedJob{}, Reasons: []string{}, Remedies: []string{},
	}
	if breakdown, _, ok := h.accounting.Account(now, job); ok {
		explanation.TimeShares = newTimeShares(&breakdown)
	}
	explanation.setPosition(now, job, order)
	wait := &waitExplanation{explanationHandler: h, Explanation: &explanation, now: now, job: job}
	wait.collect()
	return explanation
}

// setPosition sets the job's rank and position in the queue, and the waiting jobs ahead of it.
func (x *Explanation) setPosition(now time.Time, job *jobs.Job, order []queue.Entry) {
	ahead := []QueuedJob{}
	jobsAhead, cpuSecondsAhead := 0, 0.0
	for i := range order {
		entry := &order[i]
		if entry.Job == job {
			x.Rank, x.Position = entry.Rank.Reason(), jobsAhead+1
			x.JobsAhead, x.CPUSecondsAhead = ahead, cpuSecondsAhead
			return
		}
		if entry.Job.WaitingTasks() == 0 || !entry.Job.IsSchedulable() {
			continue
		}
		jobsAhead++
		cpuSecondsAhead += entry.RemainingCPUSeconds
		if len(ahead) < maxJobsAhead {
			ahead = append(ahead, newQueuedJob(now, entry.Job, entry.Rank.Reason()))
		}
	}
}

func (x *Explanation) addReason(format string, args ...any) {
	if len(x.Reasons) < maxReasons {
		x.Reasons = append(x.Reasons, fmt.Sprintf(format, args...))
	}
}

func (x *Explanation) addRemedy(format string, args ...any) {
	if len(x.Remedies) < maxReasons {
		x.Remedies = append(x.Remedies, fmt.Sprintf(format, args...))
	}
}

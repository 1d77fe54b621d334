// Package api serves the users: submissions, questions and cancellations, why a job waits and
// what waits before it. Its Desk owns the gate that bounds submissions which are not durable yet.
// What it answers comes from the book and the order; it changes nothing but the book.
package api

import (
	"errors"
	"log/slog"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/accounting"
	"gullrudder/internal/controller/admission"
	"gullrudder/internal/controller/autoscaler"
	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/election/renewal"
	"gullrudder/internal/controller/estimate"
	"gullrudder/internal/controller/failover"
	"gullrudder/internal/controller/failures"
	"gullrudder/internal/controller/fairshare"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/jobstore"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/queue"
	"gullrudder/internal/controller/storage"
	"gullrudder/internal/controller/submission"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/controller/zones"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/server"
)

// Handler serves users on behalf of a leader.
type Handler struct {
	platform            *config.Platform
	options             *config.Options
	teams               map[string]config.Team
	logger              *slog.Logger
	responder           *server.Responder
	outbox              *client.Outbox
	storage             *storage.Store
	jobStore            *jobstore.Store
	workers             *worker.Registry
	cloud               *cloud.Client
	planner             *admission.Planner
	estimator           *estimate.Estimator
	ranker              *queue.Ranker
	fairShare           *fairshare.Allocator
	placer              *placement.Placer
	autoscaler          *autoscaler.Scaler
	failover            *failover.Reconciler
	accounting          *accounting.Tracker
	failures            *failures.Tracker
	zoneTracker         *zones.Tracker
	submissionGate      *submission.Limiter // bounds the submissions that are not durable yet
	holdsLease          func() bool         // the leadership is entitled to act
	leaseOutlastsCancel bool                // a lease that was just renewed may outlast the time that users are told for a cancellation
}

// Components is what a desk sees of its neighbours.
type Components struct {
	Platform   *config.Platform
	Options    *config.Options
	Storage    *storage.Store
	JobStore   *jobstore.Store
	Workers    *worker.Registry
	Cloud      *cloud.Client
	Planner    *admission.Planner
	Estimator  *estimate.Estimator
	Ranker     *queue.Ranker
	FairShare  *fairshare.Allocator
	Placer     *placement.Placer
	Autoscaler *autoscaler.Scaler
	Failover   *failover.Reconciler
	Accounting *accounting.Tracker
	Failures   *failures.Tracker
	Zones      *zones.Tracker
	HoldsLease func() bool
	Responder  *server.Responder
	Outbox     *client.Outbox
	Logger     *slog.Logger
}

// NewHandler makes the desk of a new leadership.
func NewHandler(w Components) *Handler {
	d := &Handler{
		platform:    w.Platform,
		options:     w.Options,
		teams:       w.Platform.TeamsByName(),
		logger:      w.Logger,
		responder:   w.Responder,
		outbox:      w.Outbox,
		storage:     w.Storage,
		jobStore:    w.JobStore,
		workers:     w.Workers,
		cloud:       w.Cloud,
		planner:     w.Planner,
		estimator:   w.Estimator,
		ranker:      w.Ranker,
		fairShare:   w.FairShare,
		placer:      w.Placer,
		autoscaler:  w.Autoscaler,
		failover:    w.Failover,
		accounting:  w.Accounting,
		failures:    w.Failures,
		zoneTracker: w.Zones,
		holdsLease:  w.HoldsLease,
	}
	d.leaseOutlastsCancel = renewal.Window(d.platform.CancelTimeout, d.workers.Lease()) <= 0
	// What two seconds' changes hold may wait for a commit.
	rate := d.platform.StateWriteRate * float64(max(d.platform.MaxValueBytes/typicalRecordBytes, 1))
	d.submissionGate = submission.NewLimiter(int(2*rate), rate)
	return d
}

// MethodFor is what a path that a desk serves is asked with, empty if it serves no such path.
func MethodFor(parts []string) string {
	switch {
	case len(parts) == 1 && (parts[0] == "queue" || parts[0] == "account" || parts[0] == "served" || parts[0] == "zones"),
		len(parts) == 2 && parts[0] == "work":
		return "GET"
	case len(parts) == 1 && parts[0] == "work", len(parts) == 3 && parts[0] == "work" && parts[2] == "withdraw":
		return "POST"
	case len(parts) == 3 && parts[0] == "work" && parts[2] == "explain":
		return "GET"
	}
	return ""
}

// Serve answers a user's request, whose path and method fit.
func (d *Handler) Serve(now time.Time, r *server.Request, parts []string) {
	switch {
	case parts[0] == "queue":
		d.serveQueue(now, r)
	case parts[0] == "account":
		d.serveAccounts(now, r)
	case parts[0] == "served":
		d.serveServiceShares(now, r)
	case parts[0] == "zones":
		d.serveZones(now, r)
	case len(parts) == 1:
		d.serveSubmission(now, r)
	case len(parts) == 2:
		d.serveQuery(now, r, parts[1])
	case parts[2] == "withdraw":
		d.serveCancellation(now, r, parts[1])
	default:
		d.serveExplanation(now, r, parts[1])
	}
}

type jobResponse struct {
	ID         string `msgpack:"id"`
	State      string `msgpack:"trim"`
	Label      string `msgpack:"label,omitempty"`
	Done       *int   `msgpack:"done,omitempty"`
	Running    *int   `msgpack:"running,omitempty"`
	WaitReason string `msgpack:"because,omitempty"` // what keeps it from being done
}

const (
	labelGuaranteed = "guaranteed"
	labelBestEffort = "best_effort"
	// retryDelay is when a user is told to try again after a refusal for want of a leader
	// or of the state service.
	retryDelay = time.Second
	// typicalRecordBytes is about what a submission takes of a page.
	typicalRecordBytes = 512
)

func labelOf(guaranteed bool) string {
	if guaranteed {
		return labelGuaranteed
	}
	return labelBestEffort
}

func (d *Handler) serveSubmission(now time.Time, r *server.Request) {
	spec, err := jobs.ParseSpec(r.Body)
	// A known id is never refused, whatever else the request says.
	if jobs.ValidID(spec.ID) {
		absent := func(now time.Time) { d.acceptSubmission(now, r, spec, err, nil) }
		if d.replyIfSubmitted(now, r, spec.ID) || d.replyFromArchive(now, r, spec.ID, false, absent) {
			return
		}
	}
	d.acceptSubmission(now, r, spec, err, nil)
}

// replyIfSubmitted answers the repetition of a submission whose job is not sealed.
func (d *Handler) replyIfSubmitted(now time.Time, r *server.Request, id string) bool {
	if f, ok := d.jobStore.FinalState(id); ok {
		d.responder.Respond(r, 200, finalResponse(id, f, false), 0)
		return true
	}
	j := d.jobStore.Find(id)
	if j != nil {
		d.replyIfDecided(now, r, j)
	}
	return j != nil
}

// acceptSubmission takes a job that the history does not hold. told has what the history's data have told of jobs that it needs.
func (d *Handler) acceptSubmission(
	now time.Time,
	r *server.Request,
	spec jobs.Spec,
	err error,
	resolved map[string]jobstore.DependencyState,
) {
	if d.replyIfSubmitted(now, r, spec.ID) {
		return // the same submission came again while the history was asked
	}
	var refusal *jobs.ValidationError
	if errors.As(err, &refusal) {
		d.responder.RespondError(r, refusal.Status, refusal.Reason, 0)
		return
	}
	if len(d.cloud.MachineTypes) == 0 {
		d.responder.RespondError(r, 503, "the machine types are not known yet", retryDelay)
		return
	}
	j := jobs.New(spec, now)
	if reason := d.unsatisfiableReason(j); reason != "" {
		d.logger.Info("job refused", "job", j.ID, "why", reason)
		d.responder.RespondError(r, 422, reason, 0)
		return
	}
	if !d.storage.IsHealthy() {
		d.responder.RespondError(r, 503, "the state service does not take changes", 2*retryDelay)
		return
	}
	missing, void, ok := d.checkDependencies(now, r, spec, resolved)
	if !ok {
		return
	}
	if ok, retry := d.submissionGate.Acquire(now, j.Team, j.ID); !ok {
		d.responder.RespondError(r, 429, "too many submissions at once; there is a place for this one after the time given", retry)
		return
	}
	record := jobs.NewFinalRecord(jobs.Cancelled, j.Tasks)
	if !void {
		d.jobStore.WaitForDependencies(now, j, missing)
		before, needs := d.jobStore.DependencyGraph().CriticalPath(j, d.estimator.TaskRunTime)
		j.Guaranteed = d.planner.Admit(now, admission.Request{
			Job: j, Live: d.jobStore.StartableJobs(), Capacity: d.autoscaler.ExpectedCapacity(now),
			Dependencies: needs, DependencyRunTime: before,
		})
		if len(missing) == 0 {
			d.setStartBounds(now, j)
		}
		record = j.Record()
	}
	answered := false
	counted := true
	err = d.storage.Set(now, j.ID, record, j.MaxRecordBytes(), true, func(now time.Time, ok bool) {
		if counted {
			counted = false
			d.submissionGate.Release(j.Team)
		}
		if ok && j.State == jobs.Pending {
			j.State, j.AcceptedByThisLeader = jobs.Accepted, true
			d.markAccepted(now, j, void)
			d.logger.Info("job accepted", "job", j.ID, "class", j.Class, "tasks", j.Tasks, "label", labelOf(j.Guaranteed))
		}
		if answered {
			return
		}
		answered = true
		if ok {
			d.responder.Respond(r, 201, jobResponse{ID: j.ID, State: j.StateName(), Label: labelOf(j.Guaranteed)}, 0)
		} else {
			d.responder.RespondError(r, 503, "not saved yet", 2*retryDelay)
		}
	})
	if err != nil {
		d.submissionGate.Release(j.Team)
		d.jobStore.DependencyGraph().Remove(j)
		d.responder.RespondError(r, 400, "too large to be kept", 0)
		return
	}
	d.jobStore.Add(j)
}

// replyIfDecided answers the repetition of a submission.
func (d *Handler) replyIfDecided(now time.Time, r *server.Request, j *jobs.Job) {
	if d.refuseUndecided(r, j) {
		return
	}
	d.responder.Respond(r, 200, jobResponse{ID: j.ID, State: j.StateName(), Label: labelOf(j.Guaranteed)}, 0)
}

// unsatisfiableReason says why a job can never run, empty if it can.
func (d *Handler) unsatisfiableReason(j *jobs.Job) string {
	team, ok := d.teams[j.Team]
	if len(d.teams) > 0 && !ok {
		return "unknown team"
	}
	if placement.ExceedsQuota(j, team) {
		return "needs more than its team's limit"
	}
	for _, t := range d.cloud.MachineTypes {
		for _, z := range t.Zones {
			if placement.FitsType(j, t) && placement.KindAllowed(j, cloud.InstanceKindOf(t, z, false)) {
				return ""
			}
		}
	}
	return "a task fits no allowed machine type"
}

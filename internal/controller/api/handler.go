// Package api answers the users' requests: submissions, queries and cancellations of jobs, and the views of the queue, of waiting
// jobs, of time accounts, of served shares and of zones. Its Handler owns the limit of submissions that are not durable yet; each
// leadership has one.
//
// The package confirms nothing that is not durable, and changes no state but jobs: it creates and cancels them through storage and
// the job store. It starts no task and sends nothing to workers or to the cloud. Everything runs on the controller's one goroutine.
// Design notes: docs/design/dependencies.md, docs/design/accounting.md, docs/design/ageing.md.
package api

import (
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

const (
	// typicalRecordBytes is about what the record of a submitted job takes of a page.
	typicalRecordBytes = 512
	// pendingSeconds bounds the submissions that wait for a commit: to the writes of that many seconds.
	pendingSeconds = 2
)

// Stores are the parts that keep jobs and their history.
type Stores struct {
	Storage    *storage.Store
	Jobs       *jobstore.Store
	Accounting *accounting.Tracker
}

// Queueing are the parts that decide which job gets resources next.
type Queueing struct {
	Planner   *admission.Planner
	Estimator *estimate.Estimator
	Ranker    *queue.Ranker
	FairShare *fairshare.Allocator
	Placer    *placement.Placer
}

// Machines are the parts that keep workers, instances and zones.
type Machines struct {
	Workers    *worker.Registry
	Cloud      *cloud.Client
	Autoscaler *autoscaler.Scaler
	Failover   *failover.Reconciler
	Failures   *failures.Tracker
	Zones      *zones.Tracker
}

// Components are the parts of a leadership that the handler uses.
type Components struct {
	Platform   *config.Platform
	Options    *config.Options
	HoldsLease func() bool // the leader lease is valid, so that this controller may answer
	Stores     Stores
	Queueing   Queueing
	Machines   Machines
	Responder  *server.Responder
	Outbox     *client.Outbox
	Log        *slog.Logger
}

// Handler answers users on behalf of a leader.
type Handler struct {
	jobs         *jobHandler
	submissions  *submissionHandler
	explanations *explanationHandler
	views        *viewHandler
}

// New returns the handler of a new leadership.
func New(components Components) *Handler {
	jobs := newJobHandler(components)
	teams := components.Platform.TeamsByName()
	return &Handler{
		jobs:         jobs,
		submissions:  newSubmissionHandler(jobs, components, teams),
		explanations: newExplanationHandler(jobs, components, teams),
		views:        newViewHandler(components),
	}
}

func newJobHandler(c Components) *jobHandler {
	return &jobHandler{
		responder: c.Responder, outbox: c.Outbox, log: c.Log, holdsLease: c.HoldsLease,
		storage: c.Stores.Storage, jobStore: c.Stores.Jobs, placer: c.Queueing.Placer, accounting: c.Stores.Accounting,
		leaseOutlastsCancel: renewal.Window(c.Platform.CancelTimeout, c.Machines.Workers.LeaseExpiry()) <= 0,
	}
}

func newSubmissionHandler(jobs *jobHandler, c Components, teams map[string]config.Team) *submissionHandler {
	submissionsPerSecond := c.Platform.StateWriteRate * float64(max(c.Platform.MaxValueBytes/typicalRecordBytes, 1))
	return &submissionHandler{
		jobHandler: jobs, teams: teams, cloud: c.Machines.Cloud, autoscaler: c.Machines.Autoscaler,
		planner: c.Queueing.Planner, estimator: c.Queueing.Estimator,
		bounds: &startBounds{
			platform: c.Platform, options: c.Options, teams: teams,
			jobStore: c.Stores.Jobs, cloud: c.Machines.Cloud, estimator: c.Queueing.Estimator, ranker: c.Queueing.Ranker,
		},
		limiter: submission.New(int(pendingSeconds*submissionsPerSecond), submissionsPerSecond),
	}
}

func newExplanationHandler(jobs *jobHandler, c Components, teams map[string]config.Team) *explanationHandler {
	return &explanationHandler{
		jobHandler: jobs, options: c.Options, teams: teams, workers: c.Machines.Workers,
		failover: c.Machines.Failover, failures: c.Machines.Failures, estimator: c.Queueing.Estimator, ranker: c.Queueing.Ranker,
	}
}

func newViewHandler(c Components) *viewHandler {
	return &viewHandler{
		responder: c.Responder, options: c.Options, jobStore: c.Stores.Jobs, placer: c.Queueing.Placer,
		accounting: c.Stores.Accounting, fairShare: c.Queueing.FairShare, zones: c.Machines.Zones,
	}
}

// Serve answers a user's request. segments are the parts of its path; MethodFor has returned the request's method for them. The
// answer is given now, or later if the handler has to wait for a commit or for the archive.
func (h *Handler) Serve(now time.Time, request *server.Request, segments []string) {
	if route := findRoute(segments); route != nil {
		route.serve(h, now, request, segments)
	}
}

// Package api serves the users' requests: submissions, queries and cancellations of jobs. It also serves the views of the queue, of
// waiting jobs, of time accounts, of served shares and of zones. A Handler owns the limit of submissions that are not durable yet.
// Each leadership has its own Handler.
//
// The package confirms nothing that is not durable. It changes no state except jobs, which it creates and cancels through storage and
// the job store. It starts no task and sends nothing to workers or the cloud. All code runs on the controller's single goroutine.
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
	// typicalRecordBytes is the assumed size of a submitted job's record in a page.
	typicalRecordBytes = 512
	// maxPendingSeconds bounds the submissions that wait for a commit to the number that the state service writes in this time.
	maxPendingSeconds = 2
)

// Stores holds the components that keep jobs and their history.
type Stores struct {
	Storage    *storage.Store
	Jobs       *jobstore.Store
	Accounting *accounting.Tracker
}

// Queueing holds the components that decide which job gets resources next.
type Queueing struct {
	Planner   *admission.Planner
	Estimator *estimate.Estimator
	Ranker    *queue.Ranker
	FairShare *fairshare.Allocator
	Placer    *placement.Placer
}

// Machines holds the components that keep workers, instances and zones.
type Machines struct {
	Workers    *worker.Registry
	Cloud      *cloud.Client
	Autoscaler *autoscaler.Scaler
	Failover   *failover.Reconciler
	Failures   *failures.Tracker
	Zones      *zones.Tracker
}

// Components are the dependencies of a Handler. All fields are required.
type Components struct {
	Platform   *config.Platform
	Options    *config.Options
	HoldsLease func() bool // whether the leader lease is valid, so that this controller may respond
	Stores     Stores
	Queueing   Queueing
	Machines   Machines
	Metrics    *Metrics
	Responder  *server.Responder
	Outbox     *client.Outbox
	Log        *slog.Logger
}

// Handler serves users' requests on behalf of a leader. It is not safe for concurrent use.
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
		leaseOutlastsCancelTimeout: renewal.Window(c.Platform.CancelTimeout, c.Machines.Workers.LeaseExpiry()) <= 0,
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
		limiter: submission.New(int(maxPendingSeconds*submissionsPerSecond), submissionsPerSecond),
		refuser: newRefuser(c.Responder, c.Metrics, c.Log),
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

// Serve handles a user's request. segments are the parts of its path; MethodFor must have returned the request's method for them.
// Serve sends the response now, or later if it has to wait for a commit or the archive. Without a matching route it sends none.
func (h *Handler) Serve(now time.Time, request *server.Request, segments []string) {
	if route := findRoute(segments); route != nil {
		route.serve(h, now, request, segments)
	}
}

// Package heartbeat handles the heartbeats of workers. A Handler reconciles the leader's state with each heartbeat, and responds with
// the commands to kill, forget and start attempts on the machine. It owns the heartbeats that wait for their response and the records
// of registered machines in the state service, and which machines a job avoids. A Handler is created at each election.
//
// Start commands are sent in heartbeat responses only, and the placer chooses them. The Handler reconciles only heartbeats that the
// reachability tracker classifies as fresh. The rules of package worker alone decide when an attempt has ended.
// Design notes: docs/design/reachability.md, docs/design/failure-attribution.md.
package heartbeat

import (
	"log/slog"
	"net/http"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/accounting"
	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/election/renewal"
	"gullrudder/internal/controller/estimate"
	"gullrudder/internal/controller/failures"
	"gullrudder/internal/controller/jobstore"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/storage"
	"gullrudder/internal/controller/straggler"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/controller/worker/reachability"
	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/server"
	"gullrudder/internal/wire/workerapi"
)

// maxMachines bounds the number of machines that the leader keeps, however many machine IDs appear in heartbeats.
const maxMachines = 20000

// Components are the parts of a leader that a Handler works with.
type Components struct {
	Platform     *config.Platform
	FencingToken uint64
	Storage      *storage.Store
	JobStore     *jobstore.Store
	Workers      *worker.Registry
	Cloud        *cloud.Client
	Estimator    *estimate.Estimator
	Placer       *placement.Placer
	Accounting   *accounting.Tracker
	Stragglers   *straggler.Detector
	Failures     *failures.Tracker
	Reachability *reachability.Tracker
	Responder    *server.Responder
	Log          *slog.Logger
}

// Handler handles the heartbeats of one leadership. Only the event loop may call it.
type Handler struct {
	log               *slog.Logger
	responder         *server.Responder
	fencingToken      uint64
	heartbeatInterval time.Duration
	cancelWindow      time.Duration // how long after a cancellation is confirmed leases may be renewed, see renewal.Window

	storage      *storage.Store
	jobStore     *jobstore.Store
	workers      *worker.Registry
	cloud        *cloud.Client
	placer       *placement.Placer
	reachability *reachability.Tracker
	observers    observers

	pending    []pendingHeartbeat
	avoidances avoidances
}

// observers are the components that evaluate ended attempts.
type observers struct {
	accounting *accounting.Tracker
	estimator  *estimate.Estimator
	stragglers *straggler.Detector
	failures   *failures.Tracker
}

// pendingHeartbeat is a heartbeat whose response has not been sent yet.
type pendingHeartbeat struct {
	request     *server.Request
	machine     *worker.Machine
	heartbeat   *workerapi.Heartbeat
	freshness   reachability.Freshness
	receivedAt  time.Time
	stateLoaded bool // the persistent state was loaded when it was received
}

// New returns the Handler of a new leadership.
func New(components Components) *Handler {
	return &Handler{
		log:               components.Log,
		responder:         components.Responder,
		fencingToken:      components.FencingToken,
		heartbeatInterval: components.Platform.HeartbeatInterval,
		cancelWindow:      renewal.Window(components.Platform.CancelTimeout, components.Workers.LeaseExpiry()),
		storage:           components.Storage,
		jobStore:          components.JobStore,
		workers:           components.Workers,
		cloud:             components.Cloud,
		placer:            components.Placer,
		reachability:      components.Reachability,
		observers: observers{
			accounting: components.Accounting,
			estimator:  components.Estimator,
			stragglers: components.Stragglers,
			failures:   components.Failures,
		},
	}
}

// HandleHeartbeat processes a heartbeat. SendResponses sends the response at the end of the step. Heartbeats are not reconciled before
// the persistent state is loaded. provesAlive reports whether the heartbeat is fresh, which proves that its machine is alive.
func (h *Handler) HandleHeartbeat(now time.Time, request *server.Request, stateLoaded bool) (provesAlive bool) {
	heartbeat, ok := decodeHeartbeat(request.Body)
	if !ok {
		h.responder.RespondError(request, http.StatusBadRequest, "no report", 0)
		return false
	}
	if heartbeat.FencingToken > h.fencingToken || h.cloud.IsDeleted(heartbeat.Machine) || len(h.workers.Machines) > maxMachines {
		h.responder.RespondError(request, http.StatusServiceUnavailable, "not now", 0)
		return false
	}
	machine := h.workers.GetOrAdd(heartbeat.Machine)
	freshness := reachability.Unverified
	if stateLoaded {
		freshness = h.reachability.Classify(now, machine, heartbeat)
	}
	if freshness == reachability.Stale {
		// With status 200, duplicates of heartbeats would keep renewing the lease of a machine that no longer exists.
		h.responder.RespondError(request, http.StatusServiceUnavailable, "an older report", 0)
		return false
	}
	machine.LeaseRenewedAt = now
	if freshness == reachability.Fresh {
		// The worker sent the heartbeat after it received this leader's fencing token, so it no longer executes commands of an
		// earlier leader.
		h.Reconcile(now, machine, heartbeat, true)
		h.register(now, machine, heartbeat)
	}
	h.pending = append(h.pending, pendingHeartbeat{request, machine, heartbeat, freshness, now, stateLoaded})
	return freshness == reachability.Fresh
}

func decodeHeartbeat(body []byte) (heartbeat *workerapi.Heartbeat, ok bool) {
	heartbeat = &workerapi.Heartbeat{}
	if codec.UnmarshalKnownFields(body, heartbeat) != nil {
		return nil, false
	}
	hasValidID := heartbeat.Machine != "" && len(heartbeat.Machine) <= workerapi.MaxMachineIDBytes
	return heartbeat, hasValidID && heartbeat.Incarnation != 0
}

// Reconcile reconciles the attempts of a machine with a heartbeat that is newer than all earlier ones. complete is false for the
// response to direct commands (see worker.Registry.Reconcile).
func (h *Handler) Reconcile(now time.Time, machine *worker.Machine, heartbeat *workerapi.Heartbeat, complete bool) {
	ended := h.workers.Reconcile(now, machine, heartbeat, complete, h.jobStore.Find)
	h.reachability.RecordEnded(now, machine, ended)
	h.HandleEnded(now, machine, ended)
	if !machine.Reconciled {
		machine.Reconciled = true
		h.log.Debug("machine reconciled", logkeys.Machine, machine.ID, logkeys.Count, len(machine.Attempts))
	}
}

// Package heartbeat handles the heartbeats of workers. A Handler reconciles what the leader believes with what a heartbeat
// reports, and responds with what the machine is to stop, forget and start. It owns the heartbeats that wait for their response
// and the records of registered machines in the state service. It is made at each election.
//
// Starts go in heartbeat responses only, and what starts is the placer's decision. The Handler believes a heartbeat only if the
// reachability tracker calls it fresh, and never takes an attempt for gone except by the worker registry's rule
// (docs/design/reachability.md, docs/design/failure-attribution.md).
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

// maxMachines bounds the machines that the leader keeps, whatever names appear in heartbeats.
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

// Handler handles the heartbeats of one leader's term. Only the event loop may call it.
type Handler struct {
	log               *slog.Logger
	responder         *server.Responder
	fencingToken      uint64
	heartbeatInterval time.Duration
	cancelWindow      time.Duration // how long after a confirmed cancellation a renewed lease still expires within the promised time

	storage      *storage.Store
	jobStore     *jobstore.Store
	workers      *worker.Registry
	cloud        *cloud.Client
	placer       *placement.Placer
	reachability *reachability.Tracker
	observers    observers

	pending []pendingHeartbeat
}

// observers learn from attempts that have ended.
type observers struct {
	accounting *accounting.Tracker
	estimator  *estimate.Estimator
	stragglers *straggler.Detector
	failures   *failures.Tracker
}

// pendingHeartbeat is a heartbeat that waits for its response.
type pendingHeartbeat struct {
	request     *server.Request
	machine     *worker.Machine
	heartbeat   *workerapi.Heartbeat
	freshness   reachability.Freshness
	receivedAt  time.Time
	stateLoaded bool // the persistent state was loaded when it was received
}

// NewHandler returns the Handler of a new leader.
func NewHandler(components Components) *Handler {
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

// HandleHeartbeat takes in a heartbeat, to which SendResponses responds at the end of the step. Nothing in it is believed before
// the persistent state is loaded. provesAlive reports whether the heartbeat proves that its machine lived just now, which a duplicate
// does not.
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
		// With a 200 a machine that is gone would keep its tasks for as long as duplicates of its heartbeats arrive.
		h.responder.RespondError(request, http.StatusServiceUnavailable, "an older report", 0)
		return false
	}
	machine.LeaseRenewedAt = now
	if freshness == reachability.Fresh {
		// The worker has seen this leader's fencing token: commands of an earlier leader no longer have an effect there, and
		// the heartbeat was sent after that.
		h.Reconcile(now, machine, heartbeat, true)
		h.register(now, machine, heartbeat)
	}
	h.pending = append(h.pending, pendingHeartbeat{request, machine, heartbeat, freshness, now, stateLoaded})
	return freshness == reachability.Fresh
}

func decodeHeartbeat(body []byte) (heartbeat *workerapi.Heartbeat, ok bool) {
	heartbeat = &workerapi.Heartbeat{}
	if codec.Unmarshal(body, heartbeat) != nil {
		return nil, false
	}
	isNamed := heartbeat.Machine != "" && len(heartbeat.Machine) <= workerapi.MaxMachineIDBytes
	return heartbeat, isNamed && heartbeat.Incarnation != 0
}

// Reconcile takes in what is on a machine by a heartbeat that is newer than all before. complete is false for the answer to
// direct commands (see worker.Registry.Reconcile).
func (h *Handler) Reconcile(now time.Time, machine *worker.Machine, heartbeat *workerapi.Heartbeat, complete bool) {
	ended := h.workers.Reconcile(now, machine, heartbeat, complete, h.jobStore.Find)
	h.reachability.RecordEnded(now, machine, ended)
	h.HandleEnded(now, machine, ended)
	if !machine.Reconciled {
		machine.Reconciled = true
		h.log.Debug("machine reconciled", logkeys.Machine, machine.ID, logkeys.Count, len(machine.Attempts))
	}
}

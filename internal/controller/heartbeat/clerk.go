// Package heartbeat takes in what the machines report and answers them: attempts that have ended,
// machines that failed, what a machine is told to stop, forget and start. Its Clerk owns the
// reports that wait for their answers, and the roster of machines that may hold tasks. What
// starts is place's choice, and what is done is the book's.
package heartbeat

import (
	"log/slog"
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
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/server"
)

// MachineKeyPrefix marks the ledger's entries for machines that may hold tasks.
const MachineKeyPrefix = "m:"

// MachineRecord is what the ledger keeps of such a machine.
type MachineRecord struct {
	Addr string `msgpack:"a" json:"a"`
}

// pendingHeartbeat is a report that waits for its answer.
type pendingHeartbeat struct {
	request    *server.Request
	machine    *worker.Machine
	heartbeat  *worker.Heartbeat
	freshness  reachability.Freshness
	receivedAt time.Time

	stateLoaded bool // the ledger was read when it came
}

// Handler is a leader's dealings with reports.
type Handler struct {
	platform     *config.Platform
	log          *slog.Logger
	responder    *server.Responder
	fencingToken uint64
	storage      *storage.Store
	jobStore     *jobstore.Store
	workers      *worker.Registry
	cloud        *cloud.Client
	estimator    *estimate.Estimator
	placer       *placement.Placer
	accounting   *accounting.Tracker
	stragglers   *straggler.Detector
	failures     *failures.Tracker
	reachability *reachability.Tracker
	cancelWindow time.Duration // how long after a cancellation a lease that is given still ends in time
	pending      []pendingHeartbeat
}

// Components is what a clerk sees of its neighbours.
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

// NewHandler makes the clerk of a new leadership.
func NewHandler(components Components) *Handler {
	return &Handler{
		platform:     components.Platform,
		log:          components.Log,
		responder:    components.Responder,
		fencingToken: components.FencingToken,
		storage:      components.Storage,
		jobStore:     components.JobStore,
		workers:      components.Workers,
		cloud:        components.Cloud,
		estimator:    components.Estimator,
		placer:       components.Placer,
		accounting:   components.Accounting,
		stragglers:   components.Stragglers,
		failures:     components.Failures,
		reachability: components.Reachability,
		cancelWindow: renewal.Window(components.Platform.CancelTimeout, components.Workers.Lease()),
	}
}

// RejectPending refuses the reports that still wait for an answer.
func (h *Handler) RejectPending() {
	for _, pending := range h.pending {
		h.responder.Respond(pending.request, 503, nil, 0)
	}
	h.pending = nil
}

// maxCommandsPerResponse bounds the commands of one answer, so that it stays below 64 KiB.
const maxCommandsPerResponse = 300

// HandleHeartbeat takes in a report; its answer goes out at the end of the step. Before the ledger is read
// (built) nothing in it is believed. It says whether the machine lived just now: a copy does not tell.
func (h *Handler) HandleHeartbeat(now time.Time, request *server.Request, stateLoaded bool) (isAlive bool) {
	var heartbeat worker.Heartbeat
	if err := codec.Unmarshal(
		request.Body,
		&heartbeat,
	); err != nil || heartbeat.Machine == "" || len(heartbeat.Machine) > worker.MaxNameBytes ||
		heartbeat.Incarnation == 0 {
		h.responder.RespondError(request, 400, "no report", 0)
		return false
	}
	if heartbeat.FencingToken > h.fencingToken || h.cloud.IsDeleted(heartbeat.Machine) || len(h.workers.Machines) > 20000 {
		h.responder.RespondError(request, 503, "not now", 0)
		return false
	}
	machine := h.workers.GetOrAdd(heartbeat.Machine)
	freshness := reachability.Unverified
	if stateLoaded {
		freshness = h.reachability.Classify(now, machine, &heartbeat)
	}
	if freshness == reachability.Stale {
		// With a 200 a machine that is no more would keep its tasks for as long as copies of its reports come.
		h.responder.RespondError(request, 503, "an older report", 0)
		return false
	}
	machine.LeaseRenewedAt = now
	if freshness == reachability.Fresh {
		// Only a worker that has seen our token is believed: what an earlier leader still sends it has no
		// effect any more, and the report was made after that.
		h.Reconcile(now, machine, &heartbeat, true)
		h.register(now, machine, &heartbeat)
	}
	h.pending = append(h.pending, pendingHeartbeat{request, machine, &heartbeat, freshness, now, stateLoaded})
	return freshness == reachability.Fresh
}

// register writes down that the machine may hold tasks, before it gets any.
func (h *Handler) register(now time.Time, machine *worker.Machine, heartbeat *worker.Heartbeat) {
	h.cloud.ObserveHeartbeat(
		now,
		heartbeat.Machine,
		heartbeat.Addr,
		cloud.InstanceKind{Type: heartbeat.Type, Zone: heartbeat.Zone, Spot: heartbeat.Spot},
	)
	if machineType := h.cloud.MachineTypes[heartbeat.Type]; machineType != nil && machine.CPUs+machine.MemoryGB+machine.GPUs == 0 {
		h.workers.SetCapacity(machine, placement.TypeResources(machineType), machineType.ImageCacheGB, machineType.FetchGBPerSecond)
	}
	if machine.Registered || machine.Registering {
		return
	}
	machine.Registering = true
	if machine.Addr == "" {
		machine.Addr = heartbeat.Addr
	}
	err := h.storage.Set(now, MachineKeyPrefix+machine.ID, MachineRecord{Addr: heartbeat.Addr}, 0, true, func(_ time.Time, ok bool) {
		if ok && h.workers.Machines[machine.ID] == machine {
			machine.Registered, machine.Registering = true, false
		}
	})
	if err != nil {
		h.log.Error("a machine cannot be enrolled", "machine", machine.ID, "error", err)
		machine.Registering = false
	}
}

// Reconcile takes in what is on a machine; whole is false for the answer to a direct command.
func (h *Handler) Reconcile(now time.Time, machine *worker.Machine, heartbeat *worker.Heartbeat, complete bool) {
	ended := h.workers.Reconcile(now, machine, heartbeat, complete, h.jobStore.Find)
	h.reachability.RecordEnded(now, machine, ended)
	h.HandleEnded(now, machine, ended)
	if !machine.Reconciled {
		machine.Reconciled = true
		h.log.Debug("machine accounted for", "machine", machine.ID, "tasks", len(machine.Attempts))
	}
}

// lossCause is the cause that the account of a job gives for an attempt that did not get done.
func lossCause(ended worker.EndedAttempt) accounting.WaitReason {
	switch {
	case !ended.Attempt.StopSentAt.IsZero() || ended.Reason == worker.ReasonStopped:
		return accounting.Preempted
	case ended.Reason == worker.ReasonLost:
		return accounting.MachineLost
	}
	return accounting.AttemptFailed
}

// HandleEnded takes in the attempts that are known to be gone.
func (h *Handler) HandleEnded(now time.Time, machine *worker.Machine, endedAttempts []worker.EndedAttempt) {
	for _, ended := range endedAttempts {
		attempt := ended.Attempt
		job := attempt.Job
		if job == nil || attempt.Task.Index >= job.Tasks {
			continue
		}
		h.placer.InvalidateOrder()
		if ended.Reason != worker.ReasonDone {
			h.log.Debug("attempt ended", "task", attempt.Task, "attempt", attempt.Number, "machine", machine.ID, "why", ended.Reason)
		}
		switch ended.Reason {
		case worker.ReasonDone:
			if job.IsService {
				break // a replica runs until its job is cancelled: it is started again
			}
			if !attempt.RunningSince.IsZero() && !job.ResumedTasks[attempt.Task.Index] {
				if job.CompletedRuns > 0 {
					h.stragglers.RecordRun(
						machine.ID,
						now.Sub(attempt.RunningSince),
						job.CompletedRunTime/time.Duration(job.CompletedRuns),
						job.CompletedRuns,
					)
				}
				h.estimator.ObserveRunTime(job, now.Sub(attempt.RunningSince))
			}
			h.accounting.RecordTaskDone(job, attempt.Task.Index)
			h.recordCompletion(now, machine, job)
			if job.RecordTaskDone(attempt.Task.Index) {
				h.jobStore.FinishIfDone(now, job)
			}
			continue
		case worker.ReasonError:
			h.recordFailure(now, machine, job)
		case worker.ReasonNoCapacity:
			machine.StartsNotBefore = now.Add(2 * time.Second)
		case worker.ReasonInUse, worker.ReasonNotFound:
			job.NotBefore = now.Add(2 * time.Second)
			h.log.Info("start refused", "task", attempt.Task, "machine", machine.ID, "why", ended.Reason)
		}
		h.accounting.RecordTaskLost(job, attempt.Task.Index, lossCause(ended))
		if ended.CheckpointSaved {
			job.ResumedTasks[attempt.Task.Index] = true
		}
		job.Requeue(attempt.Task.Index)
	}
}

// Package failover prepares a new leader to place tasks: it restores the jobs and the registered machines from persistent state, and
// reconciles every machine that may hold tasks of an earlier leader.
//
// Its Reconciler owns the list of unreconciled machines and the budget of probes. After the failover it continues to probe machines
// whose heartbeats are overdue, and terminates those that do not answer. It never decides that a task is gone: it waits for a newer
// heartbeat without the task, for the cloud's confirmation of the deletion, or for the expiry of the machine's lease.
// Design notes: docs/design/fault-combinations.md, docs/design/reachability.md.
package failover

import (
	"log/slog"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/dynamicconfig"
	"gullrudder/internal/controller/election/connectivity"
	"gullrudder/internal/controller/election/renewal"
	"gullrudder/internal/controller/fairshare"
	"gullrudder/internal/controller/heartbeat"
	"gullrudder/internal/controller/jobstore"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/storage"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/controller/worker/reachability"
	"gullrudder/internal/controller/zones"
	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/client"
)

// Reconciler carries out the failover of one leadership. It is made at the election, used by the event loop alone, and
// closed when the leadership ends.
type Reconciler struct {
	log          *slog.Logger
	fencingToken uint64
	electedAt    time.Time
	stores       Stores
	workers      *worker.Registry
	cloud        *cloud.Client
	placer       *placement.Placer
	renewalLimit *renewal.Limit

	progress     progress
	partialStart partialStart
	unreconciled []*worker.Machine // registered by an earlier leader and not reconciled yet
	prober       *prober
	sampler      *sampler
	unresponsive *unresponsiveMonitor
}

// progress is how far the failover has come.
type progress struct {
	stateLoaded    bool // jobs and registered machines are restored from persistent state
	isFirstLeader  bool // persistent state was empty: there was no earlier leader
	completed      bool // every machine that may hold tasks is reconciled
	renewalRefused bool // the refusal of heartbeats before the state is loaded was logged
}

// Components are the components that a Reconciler uses. All of them belong to the same leadership, except Connectivity and
// RenewalLimit, which belong to the election and outlive it.
type Components struct {
	Platform     *config.Platform
	FencingToken uint64
	ElectedAt    time.Time
	Stores       Stores
	Machines     Machines
	Heartbeats   *heartbeat.Handler
	Placer       *placement.Placer
	RenewalLimit *renewal.Limit // until when leases may be renewed before the state is loaded
	Outbox       *client.Outbox
	Log          *slog.Logger
}

// Stores are the components that are restored from persistent state.
type Stores struct {
	Storage       *storage.Store
	Jobs          *jobstore.Store
	DynamicConfig *dynamicconfig.Store
	FairShare     *fairshare.Allocator
}

// Machines are the components with the state of the machines, and of the links between them and this controller.
type Machines struct {
	Workers      *worker.Registry
	Cloud        *cloud.Client
	Zones        *zones.Tracker
	Reachability *reachability.Tracker
	Connectivity *connectivity.Monitor // whether this controller is partitioned from the workers
}

// New returns the Reconciler of a new leadership. The failover begins when LoadState finds the persistent state loaded.
func New(components Components) *Reconciler {
	machines := components.Machines
	prober := newProber(components)
	return &Reconciler{
		log:          components.Log,
		fencingToken: components.FencingToken,
		electedAt:    components.ElectedAt,
		stores:       components.Stores,
		workers:      machines.Workers,
		cloud:        machines.Cloud,
		placer:       components.Placer,
		renewalLimit: components.RenewalLimit,
		prober:       prober,
		sampler:      newSampler(machines, components.Platform.HeartbeatInterval, prober),
		unresponsive: newUnresponsiveMonitor(machines, components.Platform.HeartbeatInterval, prober),
	}
}

// Close ends the failover: later results of probes are ignored.
func (r *Reconciler) Close() { r.prober.closed = true }

// StateLoaded reports whether jobs and registered machines are restored from persistent state.
func (r *Reconciler) StateLoaded() bool { return r.progress.stateLoaded }

// Completed reports whether every machine that may hold tasks of an earlier leader is reconciled.
func (r *Reconciler) Completed() bool { return r.progress.completed }

// UnreconciledMachines returns the number of machines that are not reconciled yet.
func (r *Reconciler) UnreconciledMachines() int { return len(r.unreconciled) }

// ExpectedHeartbeats returns the number of machines that should send heartbeats: those whose lease has not expired.
func (r *Reconciler) ExpectedHeartbeats() int { return r.unresponsive.expectedHeartbeats }

// OverdueHeartbeats returns the number of expected heartbeats that are overdue.
func (r *Reconciler) OverdueHeartbeats() int { return r.unresponsive.overdueHeartbeats }

// IsFirstLeader reports whether there was no earlier leader: persistent state was empty.
func (r *Reconciler) IsFirstLeader() bool { return r.progress.isFirstLeader }

// CanRenewLeases reports whether a heartbeat may be answered with status 200 now, which renews the lease of its machine. Before the
// state is loaded this could keep tasks running whose cancellation this leader does not know. It is allowed only as long as the renewed
// lease still expires within the cancel timeout (package renewal).
func (r *Reconciler) CanRenewLeases(now time.Time) bool {
	if r.progress.stateLoaded || now.Before(r.renewalLimit.RenewUntil()) {
		return true
	}
	if !r.progress.renewalRefused {
		r.progress.renewalRefused = true
		r.log.Info("lease renewals refused before state load", logkeys.FencingToken, r.fencingToken)
	}
	return false
}

// Tick sends the probes that are due, reconciles machines until the failover is completed, and terminates unresponsive machines.
// elapsed is the time since the last tick, by which the budget of probes is refilled.
func (r *Reconciler) Tick(now time.Time, elapsed time.Duration) {
	r.prober.refillBudget(elapsed)
	r.prober.probeRequested(now)
	r.sampler.probeSample(now)
	if !r.progress.completed {
		r.reconcileMachines(now)
	}
	r.unresponsive.tick(now, r.progress.completed)
}

// reconcileMachines probes the unreconciled machines, and completes the failover once there are none.
func (r *Reconciler) reconcileMachines(now time.Time) {
	r.unreconciled = r.stillUnreconciled(now)
	for _, machine := range r.unreconciled {
		// A machine that has just received its first response sends its next heartbeat at once and needs no probe.
		if machine.LeaseRenewedAt.Equal(r.electedAt) || now.Sub(machine.LeaseRenewedAt) > probeTimeout {
			r.prober.probe(now, machine)
		}
	}
	r.updatePartialStart(now)
	if len(r.unreconciled) == 0 {
		r.progress.completed = true
		r.placer.InvalidateOrder()
		r.log.Info("failover completed", logkeys.FencingToken, r.fencingToken, logkeys.Duration, r.sinceElection(now))
	}
}

// stillUnreconciled filters the list of unreconciled machines in place. A machine is removed once its worker has answered under this
// leader's fencing token, or no task can run on it: its deletion is confirmed or its lease has expired.
func (r *Reconciler) stillUnreconciled(now time.Time) []*worker.Machine {
	remaining := r.unreconciled[:0]
	for _, machine := range r.unreconciled {
		if !machine.Registered || machine.Reconciled || r.cloud.IsDeleted(machine.ID) || r.workers.IsLeaseExpired(now, machine) {
			continue
		}
		remaining = append(remaining, machine)
	}
	return remaining
}

// sinceElection returns the age of the leadership, rounded for the log.
func (r *Reconciler) sinceElection(now time.Time) time.Duration {
	return now.Sub(r.electedAt).Round(time.Millisecond)
}

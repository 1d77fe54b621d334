// Package failover brings a new leader to the point where it may place tasks: it restores the jobs and the registered
// machines from persistent state, and reconciles every machine that may hold tasks of an earlier leader.
//
// Its Reconciler owns the list of machines that are not reconciled yet and the budget of direct probes. After the failover
// it goes on to probe machines whose heartbeats are overdue, and terminates those that do not answer. It never decides that
// a task is gone: it waits for a newer heartbeat without the task, for the cloud's confirmation of the deletion, or for the
// end of the machine's lease. The design is in docs/design/fault-combinations.md and docs/design/reachability.md.
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
	isFirstLeader  bool // persistent state was empty: nobody has led before
	completed      bool // every machine that may hold tasks is reconciled
	renewalRefused bool // a heartbeat was refused because the state is not loaded; logged once
}

// Components are what a Reconciler works with. All of them belong to the same leadership, apart from Connectivity and
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

// Stores are what is restored from persistent state.
type Stores struct {
	Storage       *storage.Store
	Jobs          *jobstore.Store
	DynamicConfig *dynamicconfig.Store
	FairShare     *fairshare.Allocator
}

// Machines are the views of the machines, and of the links between them and this controller.
type Machines struct {
	Workers      *worker.Registry
	Cloud        *cloud.Client
	Zones        *zones.Tracker
	Reachability *reachability.Tracker
	Connectivity *connectivity.Monitor // whether heartbeats reach this controller at all
}

// New begins the failover of a leadership. It does nothing before LoadState finds the persistent state loaded.
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

// Close ends the reconciler: results of probes that come later change nothing.
func (r *Reconciler) Close() { r.prober.closed = true }

// StateLoaded reports whether jobs and registered machines are restored from persistent state.
func (r *Reconciler) StateLoaded() bool { return r.progress.stateLoaded }

// Completed reports whether every machine that may hold tasks of an earlier leader is reconciled.
func (r *Reconciler) Completed() bool { return r.progress.completed }

// UnreconciledMachines is the number of machines that are not reconciled yet.
func (r *Reconciler) UnreconciledMachines() int { return len(r.unreconciled) }

// ExpectedHeartbeats is the number of machines that should send heartbeats to this leader: those whose lease has not expired.
func (r *Reconciler) ExpectedHeartbeats() int { return r.unresponsive.expectedHeartbeats }

// OverdueHeartbeats is the number of expected heartbeats that are overdue.
func (r *Reconciler) OverdueHeartbeats() int { return r.unresponsive.overdueHeartbeats }

// IsFirstLeader reports whether nobody has led before: persistent state was empty.
func (r *Reconciler) IsFirstLeader() bool { return r.progress.isFirstLeader }

// CanRenewLeases reports whether a heartbeat may be answered with 200 now, which renews the lease of its machine. Before the
// state is loaded this would keep tasks alive whose cancellation this leader does not know of. It is allowed only as long
// as such a lease still expires within the time that users are promised for a cancellation (package renewal).
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

// Tick sends the probes that are due, reconciles machines until the failover is completed, and terminates machines that do
// not respond. elapsed is the time since the last tick; it refills the budget of probes.
func (r *Reconciler) Tick(now time.Time, elapsed time.Duration) {
	r.prober.refillBudget(elapsed)
	r.prober.probeRequested(now)
	r.sampler.probeSample(now)
	if !r.progress.completed {
		r.reconcileMachines(now)
	}
	r.unresponsive.tick(now, r.progress.completed)
}

// reconcileMachines probes the machines that are not reconciled and completes the failover once there are none. The probe
// raises the worker's fencing token, so that commands of an earlier leader have no effect any more, and its answer says
// what runs on the machine.
func (r *Reconciler) reconcileMachines(now time.Time) {
	r.unreconciled = r.stillUnreconciled(now)
	for _, machine := range r.unreconciled {
		// A machine that has just got its first response sends its next heartbeat at once.
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

// stillUnreconciled filters the list of unreconciled machines in place. A machine leaves it once its worker has answered
// under this leader's fencing token, or nothing can run there any more: its deletion is confirmed or its lease expired.
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

// sinceElection is the age of the leadership, rounded for the log.
func (r *Reconciler) sinceElection(now time.Time) time.Duration {
	return now.Sub(r.electedAt).Round(time.Millisecond)
}

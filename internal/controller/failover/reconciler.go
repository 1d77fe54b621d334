// Package failover prepares a new leader to place tasks: it restores the jobs and the registered machines from persistent state, and
// reconciles every machine that may run tasks of an earlier leader.
//
// The Reconciler owns the list of unreconciled machines and the budget of probes. After the failover it continues to probe machines
// whose heartbeats are overdue, and terminates those that do not answer. It never assumes that a task has ended: it waits for a newer
// heartbeat without the task, for the cloud's confirmation that the machine is deleted, or for the expiry of the machine's lease.
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

// Reconciler performs the failover of one leadership. It is created at the election and closed when the leadership ends. It is not
// safe for concurrent use: only the event loop calls it.
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
	unreconciled []*worker.Machine // machines registered by an earlier leader and not reconciled yet
	prober       *prober
	sampler      *sampler
	unresponsive *unresponsiveMonitor
}

// progress records which stages of the failover are completed.
type progress struct {
	stateLoaded    bool // jobs and registered machines are restored from persistent state
	isFirstLeader  bool // persistent state was empty: there was no earlier leader
	completed      bool // every machine that may run tasks of an earlier leader is reconciled
	renewalRefused bool // the first refusal of a renewal before the state is loaded was logged
}

// Components are the components that a Reconciler uses. They belong to the same leadership, except Connectivity and RenewalLimit,
// which belong to the election and exist for the whole process.
type Components struct {
	Platform     *config.Platform
	FencingToken uint64
	ElectedAt    time.Time
	Stores       Stores
	Machines     Machines
	Heartbeats   *heartbeat.Handler
	Placer       *placement.Placer
	RenewalLimit *renewal.Limit // limits the renewal of leases before the state is loaded
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

// Machines are the components that hold the state of the machines, and of the links between them and this controller.
type Machines struct {
	Workers      *worker.Registry
	Cloud        *cloud.Client
	Zones        *zones.Tracker
	Reachability *reachability.Tracker
	Connectivity *connectivity.Monitor // detects whether this controller is partitioned from the workers
}

// New returns the Reconciler of a new leadership. The failover starts once LoadState has restored the state.
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

// Close ends the failover. Results of probes that arrive later are ignored.
func (r *Reconciler) Close() { r.prober.closed = true }

// StateLoaded reports whether jobs and registered machines are restored from persistent state.
func (r *Reconciler) StateLoaded() bool { return r.progress.stateLoaded }

// Completed reports whether every machine that may run tasks of an earlier leader is reconciled.
func (r *Reconciler) Completed() bool { return r.progress.completed }

// UnreconciledMachines returns the number of machines that are not reconciled yet. It is 0 before the state is loaded.
func (r *Reconciler) UnreconciledMachines() int { return len(r.unreconciled) }

// ExpectedHeartbeats returns the number of machines that should send heartbeats, which are those whose lease has not expired. It is
// updated at each check of the machines, every unresponsiveCheckInterval.
func (r *Reconciler) ExpectedHeartbeats() int { return r.unresponsive.expectedHeartbeats }

// OverdueHeartbeats returns how many of the ExpectedHeartbeats are overdue, or come from machines that do not receive this
// controller's responses.
func (r *Reconciler) OverdueHeartbeats() int { return r.unresponsive.overdueHeartbeats }

// IsFirstLeader reports whether the persistent state was empty when it was loaded, so that there was no earlier leader.
func (r *Reconciler) IsFirstLeader() bool { return r.progress.isFirstLeader }

// CanRenewLeases reports whether the response to a heartbeat may have status 200 at now, which renews the lease of the machine. Before
// the state is loaded, a renewal could keep tasks running whose cancellation this leader does not know. It is then allowed only while
// the renewed lease expires within the cancel timeout (package renewal). The first refusal is logged.
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
// The event loop calls it at every tick. elapsed is the time since the last tick, for which the budget of probes is refilled.
func (r *Reconciler) Tick(now time.Time, elapsed time.Duration) {
	r.prober.refillBudget(elapsed)
	r.prober.probeRequested(now)
	r.sampler.probeSample(now)
	if !r.progress.completed {
		r.reconcileMachines(now)
	}
	r.unresponsive.tick(now, r.progress.completed)
}

// reconcileMachines probes the unreconciled machines. It completes the failover once there are none.
func (r *Reconciler) reconcileMachines(now time.Time) {
	r.unreconciled = r.filterUnreconciled(now)
	for _, machine := range r.unreconciled {
		// A machine that has just received its first response from this leader sends its next heartbeat immediately and needs no probe.
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

// filterUnreconciled filters the list of unreconciled machines in place. A machine is removed once it is reconciled, which requires a
// heartbeat or a probe response with this leader's fencing token. It is also removed once no task can run on it, because its deletion
// is confirmed or its lease has expired.
func (r *Reconciler) filterUnreconciled(now time.Time) []*worker.Machine {
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

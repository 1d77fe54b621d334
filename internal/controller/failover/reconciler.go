// Package failover is what a new leader does before it places anything: the ledger is read into the
// book and the roster, and every machine that may hold tasks is accounted for. It owns the
// machines that are missing and the questions that are asked directly; these also find machines
// that fall silent later.
package failover

import (
	"log/slog"
	"strings"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/dynamicconfig"
	"gullrudder/internal/controller/election/connectivity"
	"gullrudder/internal/controller/election/renewal"
	"gullrudder/internal/controller/fairshare"
	"gullrudder/internal/controller/heartbeat"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/jobstore"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/storage"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/controller/worker/reachability"
	"gullrudder/internal/controller/zones"
	"gullrudder/internal/wire/client"
)

// Reconciler is a leader's account of the machines.
type Reconciler struct {
	platform      *config.Platform
	log           *slog.Logger
	outbox        *client.Outbox
	fencingToken  uint64
	electedAt     time.Time
	storage       *storage.Store
	jobStore      *jobstore.Store
	dynamicConfig *dynamicconfig.Store
	workers       *worker.Registry
	cloud         *cloud.Client
	heartbeats    *heartbeat.Handler
	placer        *placement.Placer
	fairShare     *fairshare.Allocator
	zones         *zones.Tracker
	reachability  *reachability.Tracker
	connectivity  *connectivity.Monitor
	renewalLimit  *renewal.Limit

	isFirstLeader      bool              // the ledger was empty: nobody has led before
	stateLoaded        bool              // the ledger has been taken over
	partialStart       bool              // machines are missing, and jobs of this leader start all the same
	nextUnseenUsage    time.Time         // when it is seen anew what may run out of sight
	completed          bool              // every machine that may hold tasks is accounted for
	unreconciled       []*worker.Machine // on the roster and not accounted for yet
	probeBudget        float64           // workers that may be asked directly now
	probesInFlight     int               // questions that are not answered yet
	nextSilenceCheck   time.Time
	sampleOffset       int // where the next sample begins
	nextProbeSample    time.Time
	expectedHeartbeats int  // machines whose reports should come, their leases not being over
	overdueHeartbeats  int  // of these, those whose reports should have come
	renewalRefused     bool // a report was, since the ledger is not read
	closed             bool // the leadership: answers that are still to come change nothing
}

// Components is what a takeover sees of its neighbours.
type Components struct {
	Platform      *config.Platform
	FencingToken  uint64
	ElectedAt     time.Time
	Storage       *storage.Store
	JobStore      *jobstore.Store
	DynamicConfig *dynamicconfig.Store
	Workers       *worker.Registry
	Cloud         *cloud.Client
	Heartbeats    *heartbeat.Handler
	Placer        *placement.Placer
	FairShare     *fairshare.Allocator
	Zones         *zones.Tracker
	Reachability  *reachability.Tracker
	Connectivity  *connectivity.Monitor // whether the workers reach this controller
	RenewalLimit  *renewal.Limit        // which cancellations can be open that an earlier leader has confirmed
	Outbox        *client.Outbox
	Log           *slog.Logger
}

// New begins a takeover with nothing but the ledger to come.
func New(components Components) *Reconciler {
	return &Reconciler{
		platform:      components.Platform,
		log:           components.Log,
		outbox:        components.Outbox,
		fencingToken:  components.FencingToken,
		electedAt:     components.ElectedAt,
		storage:       components.Storage,
		jobStore:      components.JobStore,
		dynamicConfig: components.DynamicConfig,
		workers:       components.Workers,
		cloud:         components.Cloud,
		heartbeats:    components.Heartbeats,
		placer:        components.Placer,
		fairShare:     components.FairShare,
		zones:         components.Zones,
		reachability:  components.Reachability,
		connectivity:  components.Connectivity,
		renewalLimit:  components.RenewalLimit,
	}
}

// Close makes answers that are still to come harmless.
func (t *Reconciler) Close() { t.closed = true }

// StateLoaded reports whether the ledger has been taken over.
func (t *Reconciler) StateLoaded() bool { return t.stateLoaded }

// Completed reports whether every machine that may hold tasks is accounted for.
func (t *Reconciler) Completed() bool { return t.completed }

// UnreconciledMachines is how many machines are not accounted for yet.
func (t *Reconciler) UnreconciledMachines() int { return len(t.unreconciled) }

// ExpectedHeartbeats is how many machines should report to this leader: their leases are not over.
func (t *Reconciler) ExpectedHeartbeats() int { return t.expectedHeartbeats }

// OverdueHeartbeats is how many of these should have reported by now.
func (t *Reconciler) OverdueHeartbeats() int { return t.overdueHeartbeats }

// IsFirstLeader reports whether nobody has led before: the ledger was empty.
func (t *Reconciler) IsFirstLeader() bool { return t.isFirstLeader }

// CanRenewLeases reports whether a report may be answered with 200 now. Before the ledger is read this keeps tasks alive whose
// cancellation this leader does not know of: only while their leases end in time all the same.
func (t *Reconciler) CanRenewLeases(now time.Time) bool {
	if t.stateLoaded || now.Before(t.renewalLimit.RenewUntil()) {
		return true
	}
	if !t.renewalRefused {
		t.renewalRefused = true
		t.log.Info("renews no leases before the ledger is read", "token", t.fencingToken)
	}
	return false
}

// LoadState takes the ledger over once it is loaded.
func (t *Reconciler) LoadState(now time.Time) {
	if !t.stateLoaded && t.storage.IsLoaded() {
		t.restoreState(now)
	}
}

// Tick asks what is to be asked; every is the time between two ticks.
func (t *Reconciler) Tick(now time.Time, elapsed time.Duration) {
	t.refillProbeBudget(elapsed)
	t.probeRequested(now)
	t.probeSample(now)
	if !t.completed {
		t.reconcileMachines(now)
	}
	if !now.Before(t.nextSilenceCheck) {
		t.nextSilenceCheck = now.Add(500 * time.Millisecond)
		t.terminateSilent(now)
	}
}

// restoreState makes the jobs and the roster from the ledger.
func (t *Reconciler) restoreState(now time.Time) {
	if t.jobStore.IsArchiveUnreadable() || !t.jobStore.OpenArchive() {
		return
	}
	type chunk struct {
		name, id string
		c        int
		v        jobs.Chunk
	}
	var chunks []chunk
	t.storage.ForEach(func(name string, decode func(any) error) {
		if id, ok := strings.CutPrefix(name, heartbeat.MachineKeyPrefix); ok {
			t.restoreRosterEntry(id, decode)
			return
		}
		if name == dynamicconfig.EntryKey {
			t.dynamicConfig.Restore(decode)
			return
		}
		if name == fairshare.EntryName {
			if err := t.fairShare.Restore(now, decode, t.storage); err != nil {
				t.log.Error("what was served cannot be read", "error", err)
			}
			return
		}
		if id, c, ok := jobs.ParseChunkName(name); ok {
			var v jobs.Chunk
			if err := decode(&v); err != nil {
				t.log.Error("task results cannot be read", "entry", name, "error", err)
				return
			}
			chunks = append(chunks, chunk{name, id, c, v})
			return
		}
		t.jobStore.RestoreJob(now, t.electedAt, t.renewalLimit.CompletedBefore(), name, decode)
	})
	for _, c := range chunks {
		t.jobStore.RestoreChunk(now, c.name, c.id, c.c, c.v)
	}
	t.jobStore.FinishRestore(now)
	for _, m := range t.workers.MachinesByName() {
		if m.Registered {
			t.unreconciled = append(t.unreconciled, m)
		}
	}
	t.stateLoaded = true
	t.placer.InvalidateOrder()
	t.isFirstLeader = len(t.jobStore.Unfinished)+t.jobStore.FinishedCount()+len(t.workers.Machines) == 0
	t.log.Info(
		"ledger taken over",
		"token",
		t.fencingToken,
		"jobs",
		len(t.jobStore.Unfinished),
		"finals",
		t.jobStore.FinishedCount()-t.jobStore.Archive().JobCount(),
		"sealed",
		t.jobStore.Archive().JobCount(),
		"runs",
		t.jobStore.Archive().SegmentCount(),
		"machines",
		len(t.workers.Machines),
		"after",
		now.Sub(t.electedAt).Round(time.Millisecond),
	)
	t.reconcileMachines(now)
}

// restoreRosterEntry takes in a machine of the roster.
func (t *Reconciler) restoreRosterEntry(id string, decode func(any) error) {
	var entry heartbeat.MachineRecord
	if err := decode(&entry); err != nil {
		t.log.Error("a roster entry cannot be read", "machine", id, "error", err)
	}
	machine := t.workers.GetOrAdd(id)
	machine.Registered, machine.Addr = true, entry.Addr
	if machine.LeaseRenewedAt.IsZero() {
		machine.LeaseRenewedAt = t.electedAt
	}
	if machine.LastContactAt.IsZero() {
		machine.LastContactAt = t.electedAt
	}
}

// reconcileMachines begins to place once every machine on the roster is accounted for. It asks
// the workers directly: the empty command raises their token, so that nothing of an
// earlier leader is executed any more, and its answer is their report.
func (t *Reconciler) reconcileMachines(now time.Time) {
	remaining := t.unreconciled[:0]
	for _, machine := range t.unreconciled {
		if !machine.Registered || machine.Reconciled || t.cloud.IsDeleted(machine.ID) || t.workers.IsLeaseExpired(now, machine) {
			continue
		}
		remaining = append(remaining, machine)
	}
	t.unreconciled = remaining
	for _, machine := range t.unreconciled {
		// A machine that has just got its first answer reports again at once.
		if machine.LeaseRenewedAt.Equal(t.electedAt) || now.Sub(machine.LeaseRenewedAt) > probeTimeout {
			t.probe(now, machine)
		}
	}
	t.updatePartialStart(now)
	if len(t.unreconciled) == 0 {
		t.completed = true
		t.placer.InvalidateOrder()
		t.log.Info("placing begins", "token", t.fencingToken, "after", now.Sub(t.electedAt).Round(time.Millisecond))
	}
}

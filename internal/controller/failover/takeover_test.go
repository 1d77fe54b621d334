package failover

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/accounting"
	"gullrudder/internal/controller/admission"
	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/dynamicconfig"
	"gullrudder/internal/controller/election/connectivity"
	"gullrudder/internal/controller/election/renewal"
	"gullrudder/internal/controller/failures"
	"gullrudder/internal/controller/heartbeat"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/jobstore"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/queue"
	"gullrudder/internal/controller/storage"
	"gullrudder/internal/controller/straggler"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/controller/worker/reachability"
	"gullrudder/internal/controller/zones"
	"gullrudder/internal/testseed"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/server"

	"github.com/prometheus/client_golang/prometheus"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// testReconciler is a takeover with its neighbours, after the ledger was read.
type testReconciler struct {
	*Reconciler
	responder    *server.Responder
	connectivity *connectivity.Monitor
	renewalLimit *renewal.Limit
}

func newTestReconciler(now time.Time, fencingToken uint64) *testReconciler {
	log := slog.New(slog.DiscardHandler)
	options := config.DefaultOptions()
	platform := &config.Platform{
		Name:                "n",
		HeartbeatInterval:   4 * time.Second,
		WorkerLeaseDuration: 20 * time.Second,
		CancelTimeout:       45 * time.Second,
		CPUQuota:            0.2,
		MaxConnections:      1000,
	}
	reconciler := &testReconciler{responder: &server.Responder{Log: log}, connectivity: connectivity.New(4 * time.Second)}
	reconciler.connectivity.StartLeadership(now)
	reconciler.renewalLimit = renewal.New(
		renewal.Window(platform.CancelTimeout, worker.LeaseExpiry(platform.WorkerLeaseDuration)),
		rand.New(rand.NewPCG(1, 1)),
	)
	machineLinks := reachability.NewTracker(fencingToken, platform.WorkerLeaseDuration, reachability.NewMetrics(prometheus.NewRegistry()), log)
	outbox := &client.Outbox{}
	store := storage.New(storage.Options{ValueBytes: 8192, TxnOps: 12, WriteRate: 15}, fencingToken, log)
	registry := worker.NewRegistry(worker.LeaseExpiry(platform.WorkerLeaseDuration), log)
	queueing := queue.NewComponents(options)
	cloudState := cloud.New(fencingToken, 2, time.Second, log)
	cloudState.MachineTypes = map[string]*cloud.MachineType{
		"small": {Name: "small", CPUs: 4, MemoryGB: 8, Zones: []string{"a"}, HourlyPrice: 1, SpotHourlyPrice: 0.3, BootSeconds: 40},
	}
	accountingLog := accounting.New(accounting.NewMetrics(prometheus.NewRegistry()), log)
	jobStore := jobstore.New(
		jobstore.Components{Platform: platform, Options: &options, Storage: store, Workers: registry, Accounting: accountingLog, Log: log},
	)
	placer := placement.New(placement.Components{
		Platform: platform, FencingToken: fencingToken, Jobs: jobStore.Unfinished, Workers: registry, Ranker: queue.NewRanker(options, platform, queueing),
		Capacity: func(time.Time) admission.Capacity { return admission.Capacity{} }, Outbox: outbox, Log: log,
	})
	heartbeats := heartbeat.NewHandler(heartbeat.Components{
		Platform:     platform,
		FencingToken: fencingToken,
		Storage:      store,
		JobStore:     jobStore,
		Workers:      registry,
		Cloud:        cloudState,
		Estimator:    queueing.Estimator,
		Placer:       placer,
		Accounting:   accountingLog,
		Stragglers:   straggler.NewDetector(platform.HeartbeatInterval),
		Failures:     failures.NewTracker(),
		Reachability: machineLinks,
		Responder:    reconciler.responder,
		Log:          log,
	})
	reconciler.Reconciler = New(Components{
		Platform:      platform,
		FencingToken:  fencingToken,
		ElectedAt:     now,
		Storage:       store,
		JobStore:      jobStore,
		DynamicConfig: dynamicconfig.New(options, store, reconciler.responder, log),
		Workers:       registry,
		Cloud:         cloudState,
		Heartbeats:    heartbeats,
		Placer:        placer,
		FairShare:     queueing.FairShare,
		Zones:         zones.New(platform.HeartbeatInterval, now, log),
		Reachability:  machineLinks,
		Connectivity:  reconciler.connectivity,
		RenewalLimit:  reconciler.renewalLimit,
		Outbox:        outbox,
		Log:           log,
	})
	reconciler.stateLoaded, reconciler.completed, reconciler.isFirstLeader = true, true, true
	return reconciler
}

func (k *testReconciler) exchangeHeartbeat(now time.Time, report []byte) []server.Response {
	k.heartbeats.HandleHeartbeat(now, &server.Request{Method: "POST", Target: "/v1/report", Body: report}, true)
	k.heartbeats.SendResponses(now, k.completed)
	return k.responder.TakeResponses()
}

// sendHeartbeat brings a report and gives back what the machine is told.
func (k *testReconciler) sendHeartbeat(t *testing.T, now time.Time, report worker.Heartbeat) worker.HeartbeatResponse {
	t.Helper()
	raw, err := codec.Marshal(report)
	if err != nil {
		t.Fatal(err)
	}
	replies := k.exchangeHeartbeat(now, raw)
	if len(replies) != 1 || replies[0].Status != 200 {
		t.Fatalf("%+v", replies)
	}
	var response worker.HeartbeatResponse
	if err := codec.Unmarshal(replies[0].Body, &response); err != nil {
		t.Fatal(err)
	}
	return response
}

// A report made under an older token may be older than starts that an earlier leader has
// sent since: a machine on the roster that it took over is believed only once its worker
// has seen the new token.
func TestHeartbeatUnderAnOlderFencingTokenIsNotBelieved(t *testing.T) {
	now := time.Unix(10_000, 0)
	reconciler := newTestReconciler(now, 9)
	machine := reconciler.workers.GetOrAdd("vm-1")
	machine.Registered, machine.LeaseRenewedAt, machine.LastContactAt = true, now, now
	reconciler.unreconciled, reconciler.completed = []*worker.Machine{machine}, false
	report := worker.Heartbeat{Machine: "vm-1", Type: "small", Zone: "a", Incarnation: 1, Sequence: 4, FencingToken: 8}
	if response := reconciler.sendHeartbeat(t, now, report); response.FencingToken != 9 || machine.Reconciled {
		t.Errorf("token %d, accounted for %v by a report under an older token", response.FencingToken, machine.Reconciled)
	}
	reconciler.reconcileMachines(now)
	if reconciler.completed {
		t.Error("places before the machine is accounted for")
	}
	report.Sequence, report.FencingToken = 5, 9
	if reconciler.sendHeartbeat(t, now, report); !machine.Reconciled {
		t.Error("not accounted for by a report under the token")
	}
	if reconciler.reconcileMachines(now); !reconciler.completed {
		t.Error("does not begin to place")
	}
}

// Of a zone that is cut a few of the machines are kept, silent or not, those on which the least runs; nothing
// is placed on these, and they are given up like others once the zone is not cut any more.
func TestSentinelsAreKeptInAnUnavailableZone(t *testing.T) {
	now := time.Unix(10_000, 0)
	reconciler := newTestReconciler(now, 1)
	const machines, silent = 90, 20
	for i := range machines {
		id, zone := fmt.Sprintf("vm-%06d", i), "a"
		if i < silent {
			zone = "b"
		}
		machine := reconciler.workers.GetOrAdd(id)
		reconciler.workers.Reconcile(
			now,
			machine,
			&worker.Heartbeat{Machine: id, Addr: id, Type: "small", Zone: zone, Incarnation: 1, Sequence: 1},
			true,
			reconciler.jobStore.Find,
		)
		machine.Reconciled, machine.Registered, machine.LeaseRenewedAt, machine.LastContactAt, machine.UsedCPUs = true, true, now, now, float64(
			i%4,
		)
		reconciler.workers.SetCapacity(machine, worker.Resources{CPUs: 4, MemoryGB: 8}, 1, 1)
	}
	step := func(unavailable bool) (sentinels, deleted int) {
		now = now.Add(500 * time.Millisecond)
		reconciler.refillProbeBudget(50 * time.Millisecond)
		reconciler.probeBudget = 100
		for _, machine := range reconciler.workers.MachinesByName() {
			if machine.Zone == "a" || !unavailable && machine.DrainReason == worker.NotDraining && !machine.IsSentinel {
				machine.LeaseRenewedAt, machine.LastContactAt = now, now
			}
		}
		reconciler.zones.Observe(now, false, func(visit func(zones.Machine)) {
			for _, machine := range reconciler.workers.MachinesByName() {
				visit(
					zones.Machine{
						Zone:          machine.Zone,
						HasReported:   true,
						LeaseValid:    !reconciler.workers.IsLeaseExpired(now, machine),
						LastHeartbeat: machine.LastContactAt,
						Deleting:      machine.DrainReason == worker.DrainUnresponsive,
						Sentinel:      machine.IsSentinel,
					},
				)
			}
		})
		reconciler.terminateSilent(now)
		for _, call := range reconciler.outbox.TakeCalls() {
			call.Done(now, client.Result{})
		}
		for _, machine := range reconciler.workers.MachinesByName() {
			if machine.IsSentinel {
				sentinels++
				if placement.IsEligible(jobs.New(jobs.Spec{ID: "job-1", Tasks: 1, CPUs: 1, AllowsSpot: true}, now), machine) {
					t.Errorf("a task may be placed on %s, which is away", machine.ID)
				}
			}
			if machine.DrainReason == worker.DrainUnresponsive {
				deleted++
			}
		}
		return sentinels, deleted
	}
	sentinels, deleted := 0, 0
	for range 30 {
		sentinels, deleted = step(true)
	}
	if sentinels != silent/10 || deleted != silent-silent/10 {
		t.Fatalf("%d of %d silent machines are kept, %d deleted", sentinels, silent, deleted)
	}
	for _, machine := range reconciler.workers.MachinesByName() { // one of them tells of the return, the other stays away
		if machine.IsSentinel {
			machine.LeaseRenewedAt, machine.LastContactAt = now, now
			break
		}
	}
	for range 30 {
		sentinels, deleted = step(false)
	}
	if sentinels != 0 {
		t.Errorf("%d machines are kept though their zone has returned", sentinels)
	}
}

// One machine that was taken back without notice held up a takeover of a thousand for 15 s.
// It is deleted after two questions without an answer, unless a third of all is silent, or no report
// comes through to this controller at all: on two recorded days a third went after the other.
func TestSilentMachinesAreTerminated(t *testing.T) {
	for _, test := range []struct {
		machines, silent, deleted int
		unheard                   bool
	}{{9, 1, 1, false}, {9, 3, 3, false}, {9, 4, 0, false}, {9, 3, 0, true}} {
		now := time.Unix(10_000, 0)
		reconciler := newTestReconciler(now, 1)
		for i := range test.machines {
			id := fmt.Sprintf("vm-%06d", i)
			machine := reconciler.workers.GetOrAdd(id)
			reconciler.workers.Reconcile(
				now,
				machine,
				&worker.Heartbeat{Machine: id, Addr: id, Type: "small", Zone: "a", Incarnation: 1, Sequence: 1},
				true,
				reconciler.jobStore.Find,
			)
			machine.Reconciled, machine.Registered, machine.LeaseRenewedAt, machine.LastContactAt = true, true, now, now
		}
		for range 40 {
			now = now.Add(500 * time.Millisecond)
			reconciler.refillProbeBudget(50 * time.Millisecond)
			reconciler.probeBudget = 100
			for i, machine := range reconciler.workers.MachinesByName() {
				if i >= test.silent {
					machine.LeaseRenewedAt, machine.LastContactAt = now, now
				}
			}
			if !test.unheard {
				reconciler.connectivity.RecordHeartbeat(now)
			}
			reconciler.connectivity.Tick(now.Add(-250*time.Millisecond), test.machines, 0) // more seldom it would be a pause of ours
			reconciler.connectivity.Tick(now, test.machines, 0)
			reconciler.terminateSilent(now)
			for _, call := range reconciler.outbox.TakeCalls() {
				call.Done(now, client.Result{})
			}
		}
		terminated := 0
		for i, machine := range reconciler.workers.MachinesByName() {
			if machine.DrainReason == worker.DrainUnresponsive {
				terminated++
				if i >= test.silent {
					t.Errorf("%s is deleted though it reports", machine.ID)
				}
			}
		}
		if terminated != test.deleted {
			t.Errorf("%d of %d silent: %d deleted, want %d", test.silent, test.machines, terminated, test.deleted)
		}
	}
}

// What the cloud lists as failed is deleted during a takeover at once, also if it is all there is; what it
// lists as running is not, as long as the leases may hold.
func TestFailedInstancesAreTerminatedDuringAFailover(t *testing.T) {
	now := time.Unix(10_000, 0)
	reconciler := newTestReconciler(now, 9)
	reconciler.completed = false
	for id, state := range map[string]string{"vm-1": cloud.StateFailed, "vm-2": cloud.StateRunning} {
		machine := reconciler.workers.GetOrAdd(id)
		machine.Registered, machine.LeaseRenewedAt, machine.LastContactAt = true, now, now
		reconciler.unreconciled = append(reconciler.unreconciled, machine)
		reconciler.cloud.Instances[id] = &cloud.Instance{ID: id, State: state, LastListed: now.Add(time.Hour)}
	}
	reconciler.terminateSilent(now)
	if !reconciler.cloud.Instances["vm-1"].Deleting || reconciler.cloud.Instances["vm-2"].Deleting {
		t.Error("not the one that failed is deleted")
	}
	if reconciler.reconcileMachines(now); reconciler.completed {
		t.Error("places before the deletion is confirmed")
	}
}

// A new leader whose roster is half of machines that are no more asks those again and again. That they do not answer
// is no sign that it is cut off: machines that have shown themselves answer. If none at all answers, it is.
func TestTerminatedMachinesAreNoSignOfLostInboundConnectivity(t *testing.T) {
	for name, alive := range map[string]int{"half of them are there": 20, "none answers": 0} {
		now := time.Unix(10_000, 0)
		reconciler := newTestReconciler(now, 9)
		reconciler.completed = false
		for i := range 40 {
			machine := reconciler.workers.GetOrAdd(fmt.Sprintf("vm-%06d", i))
			machine.Addr, machine.Registered, machine.LeaseRenewedAt, machine.LastContactAt = machine.ID, true, now, now
			reconciler.unreconciled = append(reconciler.unreconciled, machine)
		}
		inboundLost := false
		reconciler.connectivity.RecordPeerWorkers("b", 40) // who waited for the leader before calls there
		for range 80 {
			now = now.Add(50 * time.Millisecond)
			reconciler.Tick(now, 50*time.Millisecond)
			reconciler.connectivity.Tick(now, reconciler.ExpectedHeartbeats(), reconciler.OverdueHeartbeats())
			for _, call := range reconciler.outbox.TakeCalls() {
				var i int
				if _, err := fmt.Sscanf(call.Addr, "vm-%d", &i); err != nil || i >= alive {
					call.Done(now, client.Result{})
					continue
				}
				raw, err := codec.Marshal(
					worker.Heartbeat{
						Machine:      call.Addr,
						Addr:         call.Addr,
						Type:         "small",
						Zone:         "a",
						Incarnation:  1,
						Sequence:     uint64(now.UnixMilli()),
						FencingToken: 9,
					},
				)
				if err != nil {
					t.Fatal(err)
				}
				call.Done(now, client.Result{Status: 200, Body: raw})
			}
			inboundLost = inboundLost || reconciler.connectivity.IsPartitioned(now)
		}
		if inboundLost != (alive == 0) {
			t.Errorf("%s: deaf %v", name, inboundLost)
		}
	}
}

// newReconcilerWithCancelledJob is a takeover that knows a job with one task, cancelled a second ago.
func newReconcilerWithCancelledJob(t *testing.T, now time.Time) (reconciler *testReconciler, report worker.Heartbeat) {
	reconciler = newTestReconciler(now, 9)
	if !reconciler.jobStore.OpenArchive() {
		t.Fatal("no history")
	}
	job := jobs.New(jobs.Spec{ID: "job-1", Tasks: 1, CPUs: 1, MemoryGB: 1}, now)
	reconciler.jobStore.Unfinished["job-1"] = job
	reconciler.jobStore.ApplyCancellation(now.Add(-time.Second), job)
	reconciler.workers.GetOrAdd("vm-1").Registered = true
	return reconciler, worker.Heartbeat{
		Machine: "vm-1", Addr: "vm-1", Type: "small", Zone: "a", Incarnation: 1, Sequence: 4, FencingToken: 8,
		Tasks: []worker.TaskStatus{{Task: "job-1/0", Attempt: 5, State: worker.StateRunning}},
	}
}

func countKills(response worker.HeartbeatResponse) int {
	count := 0
	for _, command := range response.Commands {
		if command.Operation == "kill" && command.Task == "job-1/0" && command.Attempt == 5 && *command.GraceSeconds == 0 {
			count++
		}
	}
	return count
}

// A report that is answered and not believed, since its worker has not seen our token yet, is answered with the end of
// what is cancelled: a 200 without would keep it for another lease.
func TestUnprovenHeartbeatIsAnsweredWithKillsOfCancelledTasks(t *testing.T) {
	now := time.Unix(10_000, 0)
	reconciler, report := newReconcilerWithCancelledJob(t, now)
	if response := reconciler.sendHeartbeat(t, now, report); countKills(response) != 1 {
		t.Errorf("told %v", response.Commands)
	}
}

// A machine on which a cancelled task goes on though it was told twice to end it gets no lease that would keep it for
// longer than its user was told.
func TestMachineThatIgnoresKillsGetsNoLease(t *testing.T) {
	now := time.Unix(10_000, 0)
	reconciler, report := newReconcilerWithCancelledJob(t, now)
	renewalLimit := renewal.Window(45*time.Second, worker.LeaseExpiry(20*time.Second))
	report.FencingToken = 9
	for _, at := range []time.Duration{0, 5 * time.Second, renewalLimit - 3*time.Second} {
		report.Sequence++
		if response := reconciler.sendHeartbeat(t, now.Add(at), report); countKills(response) != 1 {
			t.Fatalf("after %v told %v", at, response.Commands)
		}
	}
	report.Sequence++
	raw, err := codec.Marshal(report)
	if err != nil {
		t.Fatal(err)
	}
	if replies := reconciler.exchangeHeartbeat(now.Add(renewalLimit-time.Second), raw); len(replies) != 1 || replies[0].Status != 503 {
		t.Errorf("%+v", replies)
	}
}

// Before the ledger is read a lease is renewed only if what the leader before has said tells that it ends in time.
func TestNoLeaseIsRenewedBeforeStateIsLoaded(t *testing.T) {
	now := time.Unix(10_000, 0)
	reconciler := newTestReconciler(now, 9)
	if reconciler.stateLoaded = false; reconciler.CanRenewLeases(now) {
		t.Error("renews though nothing is known")
	}
	reconciler.renewalLimit.RecordLeaderProgress(reconciler.renewalLimit.NewNonce(now), 3*time.Second)
	maxRenewal := renewal.Window(45*time.Second, worker.LeaseExpiry(20*time.Second))
	for after, want := range map[time.Duration]bool{0: true, maxRenewal - 3100*time.Millisecond: true, maxRenewal - 3*time.Second: false, time.Minute: false} {
		if got := reconciler.CanRenewLeases(now.Add(after)); got != want {
			t.Errorf("after %v: %v, want %v", after, got, want)
		}
	}
	if reconciler.stateLoaded = true; !reconciler.CanRenewLeases(now.Add(time.Minute)) {
		t.Error("does not renew though the ledger is read")
	}
}

package failover

import (
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
	"gullrudder/internal/controller/estimate"
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
	"gullrudder/internal/wire/workerapi"

	"github.com/prometheus/client_golang/prometheus"
)

func TestMain(m *testing.M) { testseed.Main(m) }

const (
	testHeartbeatInterval = 4 * time.Second
	testWorkerLease       = 20 * time.Second
	testCancelTimeout     = 45 * time.Second
)

// testRenewalWindow returns how long after the confirmation of a cancellation a lease may be renewed.
func testRenewalWindow() time.Duration {
	return renewal.Window(testCancelTimeout, worker.LeaseExpiry(testWorkerLease))
}

// testReconciler is a Reconciler with its components. Its state is loaded and its failover is completed.
type testReconciler struct {
	*Reconciler
	jobs         *jobstore.Store
	heartbeats   *heartbeat.Handler
	responder    *server.Responder
	outbox       *client.Outbox
	connectivity *connectivity.Monitor
	zones        *zones.Tracker
}

func newTestReconciler(now time.Time, fencingToken uint64) *testReconciler {
	log := slog.New(slog.DiscardHandler)
	options := config.DefaultOptions()
	platform := &config.Platform{
		Name: "n",
		WorkerTiming: config.WorkerTiming{
			HeartbeatInterval:   testHeartbeatInterval,
			WorkerLeaseDuration: testWorkerLease,
			CancelTimeout:       testCancelTimeout,
		},
		ProcessQuota: config.ProcessQuota{CPUQuota: 0.2, MaxConnections: 1000},
	}
	responder := &server.Responder{Log: log}
	store := storage.New(storage.Options{MaxValueBytes: 8192, MaxTransactionOps: 12, WriteRate: 15}, fencingToken, log)
	queueing := queue.NewComponents(options)
	components := Components{
		Platform:     platform,
		FencingToken: fencingToken,
		ElectedAt:    now,
		Stores: Stores{
			Storage:       store,
			DynamicConfig: dynamicconfig.New(options, store, responder, log),
			FairShare:     queueing.FairShare,
		},
		Machines:     newTestMachines(now, platform, fencingToken, log),
		RenewalLimit: renewal.New(testRenewalWindow(), rand.New(rand.NewPCG(1, 1))),
		Outbox:       &client.Outbox{},
		Log:          log,
	}
	tracker := accounting.New(accounting.NewMetrics(prometheus.NewRegistry()), log)
	components.Stores.Jobs = jobstore.New(jobstore.Components{
		Platform: platform, Options: &options, Storage: store, Workers: components.Machines.Workers, Accounting: tracker, Log: log,
	})
	components.Placer = newTestPlacer(components, queue.NewRanker(options, platform, queueing))
	components.Heartbeats = newTestHeartbeats(components, queueing.Estimator, tracker, responder)
	reconciler := &testReconciler{
		Reconciler:   New(components),
		jobs:         components.Stores.Jobs,
		heartbeats:   components.Heartbeats,
		responder:    responder,
		outbox:       components.Outbox,
		connectivity: components.Machines.Connectivity,
		zones:        components.Machines.Zones,
	}
	reconciler.progress = progress{stateLoaded: true, completed: true, isFirstLeader: true}
	return reconciler
}

func newTestMachines(now time.Time, platform *config.Platform, fencingToken uint64, log *slog.Logger) Machines {
	cloudClient := cloud.New(fencingToken, 2, time.Second, log)
	cloudClient.MachineTypes = map[string]*cloud.MachineType{
		"small": {Name: "small", CPUs: 4, MemoryGB: 8, Zones: []string{"a"}, HourlyPrice: 1, SpotHourlyPrice: 0.3, BootSeconds: 40},
	}
	monitor := connectivity.New(platform.HeartbeatInterval)
	monitor.StartLeadership(now)
	metrics := reachability.NewMetrics(prometheus.NewRegistry())
	return Machines{
		Workers:      worker.NewRegistry(worker.LeaseExpiry(platform.WorkerLeaseDuration), log),
		Cloud:        cloudClient,
		Zones:        zones.New(platform.HeartbeatInterval, now, log),
		Reachability: reachability.New(fencingToken, platform.WorkerLeaseDuration, metrics, log),
		Connectivity: monitor,
	}
}

func newTestPlacer(components Components, ranker *queue.Ranker) *placement.Placer {
	placer := placement.New(placement.Components{
		Platform: components.Platform, FencingToken: components.FencingToken, Jobs: components.Stores.Jobs.Unfinished,
		Workers: components.Machines.Workers, Ranker: ranker,
		Outbox: components.Outbox, Log: components.Log,
	})
	placer.SetCapacityForecaster(noCapacity{})
	return placer
}

// noCapacity forecasts a cluster without machines.
type noCapacity struct{}

func (noCapacity) ExpectedCapacity(time.Time) admission.Capacity { return admission.Capacity{} }

func newTestHeartbeats(
	components Components,
	estimator *estimate.Estimator,
	tracker *accounting.Tracker,
	responder *server.Responder,
) *heartbeat.Handler {
	return heartbeat.New(heartbeat.Components{
		Platform:     components.Platform,
		FencingToken: components.FencingToken,
		Storage:      components.Stores.Storage,
		JobStore:     components.Stores.Jobs,
		Workers:      components.Machines.Workers,
		Cloud:        components.Machines.Cloud,
		Estimator:    estimator,
		Placer:       components.Placer,
		Accounting:   tracker,
		Stragglers:   straggler.New(components.Platform.HeartbeatInterval),
		Failures:     failures.New(),
		Reachability: components.Machines.Reachability,
		Responder:    responder,
		Log:          components.Log,
	})
}

// addMachine adds a registered and reconciled machine whose last contact was at now.
func (reconciler *testReconciler) addMachine(now time.Time, id, zone string) *worker.Machine {
	machine := reconciler.workers.GetOrAdd(id)
	heartbeat := workerapi.Heartbeat{Machine: id, Addr: id, Type: "small", Zone: zone, Incarnation: 1, Sequence: 1}
	reconciler.workers.Reconcile(now, machine, &heartbeat, true, reconciler.jobs.Find)
	machine.Reconciled, machine.Registered, machine.LeaseRenewedAt, machine.LastContactAt = true, true, now, now
	return machine
}

// addUnreconciled adds an unreconciled machine that an earlier leader registered.
func (reconciler *testReconciler) addUnreconciled(now time.Time, id string) *worker.Machine {
	machine := reconciler.workers.GetOrAdd(id)
	machine.Registered, machine.LeaseRenewedAt, machine.LastContactAt = true, now, now
	reconciler.unreconciled = append(reconciler.unreconciled, machine)
	return machine
}

// checkUnresponsive checks all machines with a large probe budget. All probes fail.
func (reconciler *testReconciler) checkUnresponsive(now time.Time) {
	reconciler.prober.refillBudget(50 * time.Millisecond)
	reconciler.prober.budget = 100
	reconciler.unresponsive.check(now, reconciler.Completed())
	for _, call := range reconciler.outbox.TakeCalls() {
		call.Done(now, client.Result{})
	}
}

// exchangeHeartbeat delivers the body of a heartbeat and returns the responses.
func (reconciler *testReconciler) exchangeHeartbeat(now time.Time, body []byte) []server.Response {
	reconciler.heartbeats.HandleHeartbeat(now, &server.Request{Method: "POST", Target: "/v1/report", Body: body}, true)
	reconciler.heartbeats.SendResponses(now, reconciler.Completed())
	return reconciler.responder.TakeResponses()
}

// sendHeartbeat delivers a heartbeat and returns the response. It fails the test unless the status is 200.
func (reconciler *testReconciler) sendHeartbeat(t *testing.T, now time.Time, heartbeat workerapi.Heartbeat) workerapi.HeartbeatResponse {
	t.Helper()
	responses := reconciler.exchangeHeartbeat(now, marshal(t, heartbeat))
	if len(responses) != 1 || responses[0].Status != 200 {
		t.Fatalf("responses: got %+v, want one with status 200", responses)
	}
	var response workerapi.HeartbeatResponse
	if err := codec.Unmarshal(responses[0].Body, &response); err != nil {
		t.Fatal(err)
	}
	return response
}

func marshal(t *testing.T, message any) []byte {
	t.Helper()
	body, err := codec.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// newReconcilerWithCancelledJob returns a reconciler with a job of one task that was cancelled a second ago, and a heartbeat of
// the machine on which that task runs.
func newReconcilerWithCancelledJob(t *testing.T, now time.Time) (reconciler *testReconciler, heartbeat workerapi.Heartbeat) {
	t.Helper()
	reconciler = newTestReconciler(now, 9)
	if !reconciler.jobs.OpenArchive() {
		t.Fatal("open the archive: got false, want true")
	}
	job := jobs.New(jobs.Spec{ID: "job-1", Tasks: 1, CPUs: 1, MemoryGB: 1}, now)
	reconciler.jobs.Unfinished["job-1"] = job
	reconciler.jobs.ApplyCancellation(now.Add(-time.Second), job)
	reconciler.workers.GetOrAdd("vm-1").Registered = true
	return reconciler, workerapi.Heartbeat{
		Machine: "vm-1", Addr: "vm-1", Type: "small", Zone: "a", Incarnation: 1, Sequence: 4, FencingToken: 8,
		Tasks: []workerapi.TaskStatus{{Task: "job-1/0", Attempt: 5, State: workerapi.StateRunning}},
	}
}

// countKills counts the kill commands for attempt 5 of task job-1/0 without a grace period.
func countKills(response workerapi.HeartbeatResponse) int {
	count := 0
	for _, command := range response.Commands {
		if command.Operation == "kill" && command.Task == "job-1/0" && command.Attempt == 5 && *command.GraceSeconds == 0 {
			count++
		}
	}
	return count
}

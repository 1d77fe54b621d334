package failover

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/workerapi"
)

// TestHeartbeatUnderOlderFencingTokenIsNotReconciled checks that a registered machine is reconciled only once its worker has
// received the new fencing token. A heartbeat with an older token may have been sent before the worker executed the last
// start commands of an earlier leader.
func TestHeartbeatUnderOlderFencingTokenIsNotReconciled(t *testing.T) {
	now := time.Unix(10_000, 0)
	reconciler := newTestReconciler(now, 9)
	reconciler.progress.completed = false
	machine := reconciler.addUnreconciled(now, "vm-1")
	heartbeat := workerapi.Heartbeat{Machine: "vm-1", Type: "small", Zone: "a", Incarnation: 1, Sequence: 4, FencingToken: 8}
	if response := reconciler.sendHeartbeat(t, now, heartbeat); response.FencingToken != 9 || machine.Reconciled {
		t.Errorf("heartbeat with an older token: got response token %d, reconciled %v, want 9, false", response.FencingToken, machine.Reconciled)
	}
	reconciler.reconcileMachines(now)
	if reconciler.Completed() {
		t.Error("failover completed before the machine is reconciled, want not completed")
	}
	heartbeat.Sequence, heartbeat.FencingToken = 5, 9
	if reconciler.sendHeartbeat(t, now, heartbeat); !machine.Reconciled {
		t.Error("machine not reconciled by a heartbeat with the new token, want reconciled")
	}
	if reconciler.reconcileMachines(now); !reconciler.Completed() {
		t.Error("failover not completed after the machine is reconciled, want completed")
	}
}

// TestFailedInstancesAreTerminatedDuringFailover checks that during a failover an instance that the cloud lists as failed is
// terminated immediately, and that an instance listed as running is not terminated while its lease may be valid.
func TestFailedInstancesAreTerminatedDuringFailover(t *testing.T) {
	now := time.Unix(10_000, 0)
	reconciler := newTestReconciler(now, 9)
	reconciler.progress.completed = false
	for id, state := range map[string]cloud.InstanceState{"vm-1": cloud.StateFailed, "vm-2": cloud.StateRunning} {
		reconciler.addUnreconciled(now, id)
		reconciler.cloud.Instances[id] = &cloud.Instance{ID: id, State: state, LastSeenAt: now.Add(time.Hour)}
	}
	reconciler.unresponsive.check(now, reconciler.Completed())
	if !reconciler.cloud.Instances["vm-1"].Deleting || reconciler.cloud.Instances["vm-2"].Deleting {
		t.Errorf(
			"deleting: got vm-1 %v, vm-2 %v, want true for the failed vm-1, false for vm-2",
			reconciler.cloud.Instances["vm-1"].Deleting, reconciler.cloud.Instances["vm-2"].Deleting,
		)
	}
	if reconciler.reconcileMachines(now); reconciler.Completed() {
		t.Error("failover completed before the deletion is confirmed, want not completed")
	}
}

// TestTerminatedMachinesDoNotIndicatePartition checks that unanswered probes of registered machines that no longer exist do
// not count as evidence of a partition while other machines answer. If no machine answers, a partition is detected.
func TestTerminatedMachinesDoNotIndicatePartition(t *testing.T) {
	for name, alive := range map[string]int{"half of the machines answer": 20, "no machine answers": 0} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(10_000, 0)
			reconciler := newTestReconciler(now, 9)
			reconciler.progress.completed = false
			for i := range 40 {
				machine := reconciler.addUnreconciled(now, fmt.Sprintf("vm-%06d", i))
				machine.Addr = machine.ID
			}
			partitioned := false
			reconciler.connectivity.RecordPeerWorkers("b", 40) // workers that waited for the earlier leader contact b
			for range 80 {
				now = now.Add(50 * time.Millisecond)
				reconciler.Tick(now, 50*time.Millisecond)
				reconciler.connectivity.Tick(now, reconciler.ExpectedHeartbeats(), reconciler.OverdueHeartbeats())
				reconciler.respondToProbes(t, now, alive)
				partitioned = partitioned || reconciler.connectivity.IsPartitioned(now)
			}
			if partitioned != (alive == 0) {
				t.Errorf("partition detected: got %v, want %v", partitioned, alive == 0)
			}
		})
	}
}

// TestProbeResponseOfRemovedMachineIsIgnored checks that the response to a probe is ignored if the deletion of its machine was
// confirmed before it arrived. The tasks that it lists no longer run. If they were assigned to the machine again, no lease
// expiry and no deletion would end them, and their job would never complete.
func TestProbeResponseOfRemovedMachineIsIgnored(t *testing.T) {
	now := time.Unix(10_000, 0)
	reconciler := newTestReconciler(now, 9)
	reconciler.progress.completed = false
	job := jobs.New(jobs.Spec{ID: "job-1", Tasks: 1, CPUs: 1, MemoryGB: 1}, now)
	job.State = jobs.Accepted
	reconciler.jobs.Unfinished["job-1"] = job
	machine := reconciler.addUnreconciled(now, "vm-1")
	machine.Addr = machine.ID
	reconciler.prober.budget = 1
	if !reconciler.prober.probe(now, machine) {
		t.Fatal("probe of the machine not sent, want sent")
	}
	probes := reconciler.outbox.TakeCalls()
	if len(probes) != 1 {
		t.Fatalf("probes sent: got %d, want 1", len(probes))
	}

	reconciler.confirmDeletion(t, now, machine.ID)
	probes[0].Done(now, client.Result{Status: http.StatusOK, Body: marshal(t, workerapi.Heartbeat{
		Machine: machine.ID, Addr: machine.ID, Type: "small", Zone: "a", Incarnation: 1, Sequence: 4, FencingToken: 9,
		Tasks: []workerapi.TaskStatus{{Task: "job-1/0", Attempt: 5, State: workerapi.StateRunning}},
	})})

	if attempt := job.ActiveAttempts[0]; attempt != nil {
		t.Errorf("attempt %d is active on the deleted machine %s, want none", attempt.Number, attempt.MachineID)
	}
	if usage := reconciler.workers.TeamUsage(job.Team).CPUs; usage != 0 {
		t.Errorf("CPUs used by the team: got %v, want 0", usage)
	}
	if reconciler.prober.inFlight != 0 {
		t.Errorf("probes in flight: got %d, want 0", reconciler.prober.inFlight)
	}
}

// confirmDeletion terminates an instance, confirms the deletion on behalf of the cloud, and checks that the machine is removed.
func (reconciler *testReconciler) confirmDeletion(t *testing.T, now time.Time, machineID string) {
	t.Helper()
	reconciler.cloud.Terminate([]string{machineID}, string(worker.DrainUnresponsive))
	for range 2 { // the first call to a cloud lists its machine types
		now = now.Add(time.Second)
		reconciler.cloud.Tick(now, reconciler.outbox)
		for _, call := range reconciler.outbox.TakeCalls() {
			call.Done(now, client.Result{Status: http.StatusOK})
		}
	}
	reconciler.heartbeats.RemoveDeleted(now)
	if reconciler.workers.Machines[machineID] != nil {
		t.Fatalf("machine %s: still in the registry, want removed", machineID)
	}
}

// respondToProbes responds to the probes of the machines with numbers below alive. The other probes fail.
func (reconciler *testReconciler) respondToProbes(t *testing.T, now time.Time, alive int) {
	t.Helper()
	for _, call := range reconciler.outbox.TakeCalls() {
		var number int
		if _, err := fmt.Sscanf(call.Addr, "vm-%d", &number); err != nil || number >= alive {
			call.Done(now, client.Result{})
			continue
		}
		call.Done(now, client.Result{Status: 200, Body: marshal(t, workerapi.Heartbeat{
			Machine:      call.Addr,
			Addr:         call.Addr,
			Type:         "small",
			Zone:         "a",
			Incarnation:  1,
			Sequence:     uint64(now.UnixMilli()),
			FencingToken: 9,
		})})
	}
}

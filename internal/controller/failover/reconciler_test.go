package failover

import (
	"fmt"
	"testing"
	"time"

	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/workerapi"
)

// A heartbeat made under an older fencing token may be older than starts that an earlier leader has sent since: a
// registered machine is reconciled only once its worker has seen the new token.
func TestHeartbeatUnderOlderFencingTokenIsNotReconciled(t *testing.T) {
	now := time.Unix(10_000, 0)
	reconciler := newTestReconciler(now, 9)
	reconciler.progress.completed = false
	machine := reconciler.addUnreconciled(now, "vm-1")
	report := workerapi.Heartbeat{Machine: "vm-1", Type: "small", Zone: "a", Incarnation: 1, Sequence: 4, FencingToken: 8}
	if response := reconciler.sendHeartbeat(t, now, report); response.FencingToken != 9 || machine.Reconciled {
		t.Errorf("fencing token %d, reconciled %v by a heartbeat under an older token", response.FencingToken, machine.Reconciled)
	}
	reconciler.reconcileMachines(now)
	if reconciler.Completed() {
		t.Error("completed before the machine is reconciled")
	}
	report.Sequence, report.FencingToken = 5, 9
	if reconciler.sendHeartbeat(t, now, report); !machine.Reconciled {
		t.Error("not reconciled by a heartbeat under the token")
	}
	if reconciler.reconcileMachines(now); !reconciler.Completed() {
		t.Error("not completed")
	}
}

// An instance that the cloud lists as failed is terminated during a failover at once, also if it is the only one; one that
// is listed as running is not, as long as its lease may hold.
func TestFailedInstancesAreTerminatedDuringAFailover(t *testing.T) {
	now := time.Unix(10_000, 0)
	reconciler := newTestReconciler(now, 9)
	reconciler.progress.completed = false
	for id, state := range map[string]cloud.InstanceState{"vm-1": cloud.StateFailed, "vm-2": cloud.StateRunning} {
		reconciler.addUnreconciled(now, id)
		reconciler.cloud.Instances[id] = &cloud.Instance{ID: id, State: state, LastListed: now.Add(time.Hour)}
	}
	reconciler.unresponsive.check(now, reconciler.Completed())
	if !reconciler.cloud.Instances["vm-1"].Deleting || reconciler.cloud.Instances["vm-2"].Deleting {
		t.Error("not the failed instance is terminated")
	}
	if reconciler.reconcileMachines(now); reconciler.Completed() {
		t.Error("completed before the deletion is confirmed")
	}
}

// A new leader half of whose registered machines no longer exist probes those again and again. That they do not answer is no
// sign of a partition: machines that have reported answer. If none at all answers, it is one.
func TestTerminatedMachinesAreNoEvidenceOfPartition(t *testing.T) {
	for name, alive := range map[string]int{"half of them are there": 20, "none answers": 0} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(10_000, 0)
			reconciler := newTestReconciler(now, 9)
			reconciler.progress.completed = false
			for i := range 40 {
				machine := reconciler.addUnreconciled(now, fmt.Sprintf("vm-%06d", i))
				machine.Addr = machine.ID
			}
			inboundLost := false
			reconciler.connectivity.RecordPeerWorkers("b", 40) // workers that waited for the leader before contact b
			for range 80 {
				now = now.Add(50 * time.Millisecond)
				reconciler.Tick(now, 50*time.Millisecond)
				reconciler.connectivity.Tick(now, reconciler.ExpectedHeartbeats(), reconciler.OverdueHeartbeats())
				reconciler.answerProbes(t, now, alive)
				inboundLost = inboundLost || reconciler.connectivity.IsPartitioned(now)
			}
			if inboundLost != (alive == 0) {
				t.Errorf("inbound connectivity lost: %v", inboundLost)
			}
		})
	}
}

// answerProbes answers the probes of the machines with the first numbers; the others do not answer.
func (reconciler *testReconciler) answerProbes(t *testing.T, now time.Time, alive int) {
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

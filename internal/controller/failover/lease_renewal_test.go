package failover

import (
	"testing"
	"time"
)

// TestUnreconciledHeartbeatResponseKillsCancelledTasks checks the response to a heartbeat that is not reconciled because its
// worker has not received the fencing token yet. The response must contain kill commands for the tasks of cancelled jobs.
// Without them it would let these tasks run for another lease.
func TestUnreconciledHeartbeatResponseKillsCancelledTasks(t *testing.T) {
	now := time.Unix(10_000, 0)
	reconciler, heartbeat := newReconcilerWithCancelledJob(t, now)
	if response := reconciler.sendHeartbeat(t, now, heartbeat); countKills(response) != 1 {
		t.Errorf("commands: got %v, want one kill", response.Commands)
	}
}

// TestLeaseIsNotRenewedIfMachineIgnoresKills checks that the lease of a machine on which a cancelled task still runs despite
// kill commands is not renewed once the renewed lease would expire after the cancel timeout.
func TestLeaseIsNotRenewedIfMachineIgnoresKills(t *testing.T) {
	now := time.Unix(10_000, 0)
	reconciler, heartbeat := newReconcilerWithCancelledJob(t, now)
	heartbeat.FencingToken = 9
	for _, age := range []time.Duration{0, 5 * time.Second, testRenewalWindow() - 3*time.Second} {
		heartbeat.Sequence++
		if response := reconciler.sendHeartbeat(t, now.Add(age), heartbeat); countKills(response) != 1 {
			t.Fatalf("commands after %v: got %v, want one kill", age, response.Commands)
		}
	}
	heartbeat.Sequence++
	responses := reconciler.exchangeHeartbeat(now.Add(testRenewalWindow()-time.Second), marshal(t, heartbeat))
	if len(responses) != 1 || responses[0].Status != 503 {
		t.Errorf("responses: got %+v, want one with status 503", responses)
	}
}

// TestLeaseRenewalBeforeStateIsLoaded checks that before the state is loaded a lease is renewed only if the pings of the
// earlier leader prove that it expires within the cancel timeout.
func TestLeaseRenewalBeforeStateIsLoaded(t *testing.T) {
	now := time.Unix(10_000, 0)
	reconciler := newTestReconciler(now, 9)
	if reconciler.progress.stateLoaded = false; reconciler.CanRenewLeases(now) {
		t.Error("renewal allowed before a ping of the earlier leader, want not allowed")
	}
	reconciler.renewalLimit.RecordLeaderPing(reconciler.renewalLimit.NewNonce(now), 3*time.Second)
	for after, want := range map[time.Duration]bool{
		0: true,
		testRenewalWindow() - 3100*time.Millisecond: true,
		testRenewalWindow() - 3*time.Second:         false,
		time.Minute:                                 false,
	} {
		if got := reconciler.CanRenewLeases(now.Add(after)); got != want {
			t.Errorf("renewal allowed after %v: got %v, want %v", after, got, want)
		}
	}
	if reconciler.progress.stateLoaded = true; !reconciler.CanRenewLeases(now.Add(time.Minute)) {
		t.Error("renewal not allowed after the state is loaded, want allowed")
	}
}

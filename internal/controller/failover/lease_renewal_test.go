package failover

import (
	"testing"
	"time"
)

// TestUnverifiedHeartbeatIsAnsweredWithKillsOfCancelledTasks checks that a heartbeat that is answered but not
// reconciled, since its worker has not received the fencing token yet, is answered with kills of the tasks of cancelled
// jobs: a response without them would let these tasks run for another lease.
func TestUnverifiedHeartbeatIsAnsweredWithKillsOfCancelledTasks(t *testing.T) {
	now := time.Unix(10_000, 0)
	reconciler, report := newReconcilerWithCancelledJob(t, now)
	if response := reconciler.sendHeartbeat(t, now, report); countKills(response) != 1 {
		t.Errorf("commands: got %v, want one kill", response.Commands)
	}
}

// TestLeaseIsNotRenewedIfMachineIgnoresKills checks that the lease of a machine on which a cancelled task still runs
// after two kill commands is not renewed for longer than the cancel timeout allows.
func TestLeaseIsNotRenewedIfMachineIgnoresKills(t *testing.T) {
	now := time.Unix(10_000, 0)
	reconciler, report := newReconcilerWithCancelledJob(t, now)
	report.FencingToken = 9
	for _, age := range []time.Duration{0, 5 * time.Second, testRenewalWindow() - 3*time.Second} {
		report.Sequence++
		if response := reconciler.sendHeartbeat(t, now.Add(age), report); countKills(response) != 1 {
			t.Fatalf("commands after %v: got %v, want one kill", age, response.Commands)
		}
	}
	report.Sequence++
	replies := reconciler.exchangeHeartbeat(now.Add(testRenewalWindow()-time.Second), marshal(t, report))
	if len(replies) != 1 || replies[0].Status != 503 {
		t.Errorf("responses: got %+v, want one with status 503", replies)
	}
}

// TestNoLeaseIsRenewedBeforeStateIsLoaded checks that before the state is loaded a lease is renewed only if the reports
// of the earlier leader prove that it expires in time.
func TestNoLeaseIsRenewedBeforeStateIsLoaded(t *testing.T) {
	now := time.Unix(10_000, 0)
	reconciler := newTestReconciler(now, 9)
	if reconciler.progress.stateLoaded = false; reconciler.CanRenewLeases(now) {
		t.Error("leases renewed before anything is known, want no renewal")
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
		t.Error("leases not renewed after the state is loaded, want renewal")
	}
}

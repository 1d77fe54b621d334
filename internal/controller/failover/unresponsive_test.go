package failover

import (
	"fmt"
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/controller/zones"
)

// TestSentinelsAreKeptInUnavailableZone checks that a tenth of the machines of an unavailable zone are kept as sentinels and
// the others are terminated. No task is placed on sentinels. Once the zone is available again, no machine is a sentinel.
func TestSentinelsAreKeptInUnavailableZone(t *testing.T) {
	now := time.Unix(10_000, 0)
	reconciler := newTestReconciler(now, 1)
	const machines, silent = 90, 20
	for i := range machines {
		zone := "a"
		if i < silent {
			zone = "b"
		}
		machine := reconciler.addMachine(now, fmt.Sprintf("vm-%06d", i), zone)
		machine.UsedCPUs = float64(i % 4)
		reconciler.workers.SetCapacity(machine, worker.Resources{CPUs: 4, MemoryGB: 8}, 1, 1)
	}
	step := func(zoneUnavailable bool) (sentinels, terminated int) {
		now = now.Add(500 * time.Millisecond)
		for _, machine := range reconciler.workers.SortedMachines() {
			if machine.Zone == "a" || !zoneUnavailable && machine.DrainReason == worker.NotDraining && !machine.IsSentinel {
				machine.LeaseRenewedAt, machine.LastContactAt = now, now
			}
		}
		reconciler.observeZones(now)
		reconciler.checkUnresponsive(now)
		return reconciler.countSentinels(t, now)
	}
	sentinels, terminated := 0, 0
	for range 30 {
		sentinels, terminated = step(true)
	}
	if sentinels != silent/10 || terminated != silent-silent/10 {
		t.Fatalf(
			"of %d silent machines: got %d sentinels, %d terminated, want %d, %d",
			silent, sentinels, terminated, silent/10, silent-silent/10,
		)
	}
	for _, machine := range reconciler.workers.SortedMachines() { // one sentinel sends a heartbeat again, the other does not
		if machine.IsSentinel {
			machine.LeaseRenewedAt, machine.LastContactAt = now, now
			break
		}
	}
	for range 30 {
		sentinels, _ = step(false)
	}
	if sentinels != 0 {
		t.Errorf("sentinels after the zone recovered: got %d, want 0", sentinels)
	}
}

// observeZones passes the state of all machines to the zone tracker.
func (reconciler *testReconciler) observeZones(now time.Time) {
	reconciler.zones.Observe(now, false, func(visit func(zones.Machine)) {
		for _, machine := range reconciler.workers.SortedMachines() {
			visit(zones.Machine{
				Zone:             machine.Zone,
				HasSentHeartbeat: true,
				LeaseValid:       !reconciler.workers.IsLeaseExpired(now, machine),
				LastHeartbeat:    machine.LastContactAt,
				Deleting:         machine.DrainReason == worker.DrainUnresponsive,
				Sentinel:         machine.IsSentinel,
			})
		}
	})
}

// countSentinels counts the sentinels and the machines that are being terminated. It checks that no task may be placed on a
// sentinel.
func (reconciler *testReconciler) countSentinels(t *testing.T, now time.Time) (sentinels, terminated int) {
	t.Helper()
	for _, machine := range reconciler.workers.SortedMachines() {
		if machine.IsSentinel {
			sentinels++
			if placement.IsEligible(jobs.New(jobs.Spec{ID: "job-1", Tasks: 1, CPUs: 1, AllowsSpot: true}, now), machine) {
				t.Errorf("sentinel %s is eligible for a task, want not eligible", machine.ID)
			}
		}
		if machine.DrainReason == worker.DrainUnresponsive {
			terminated++
		}
	}
	return sentinels, terminated
}

// TestSilentMachinesAreTerminated checks that a machine is terminated after two unanswered probes, unless more than a third of
// all machines are unresponsive or this controller receives no heartbeats at all. It guards against a fault of two recorded
// days, on which healthy machines were terminated, a third at a time.
func TestSilentMachinesAreTerminated(t *testing.T) {
	for name, test := range map[string]struct {
		machines, silent, terminated int
		noHeartbeats                 bool
	}{
		"one of nine":                   {machines: 9, silent: 1, terminated: 1},
		"a third":                       {machines: 9, silent: 3, terminated: 3},
		"more than a third":             {machines: 9, silent: 4, terminated: 0},
		"a third, no heartbeats arrive": {machines: 9, silent: 3, terminated: 0, noHeartbeats: true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(10_000, 0)
			reconciler := newTestReconciler(now, 1)
			for i := range test.machines {
				reconciler.addMachine(now, fmt.Sprintf("vm-%06d", i), "a")
			}
			for range 40 {
				now = now.Add(500 * time.Millisecond)
				reconciler.renewMachines(now, test.silent)
				if !test.noHeartbeats {
					reconciler.connectivity.RecordHeartbeat(now)
				}
				reconciler.connectivity.Tick(now.Add(-250*time.Millisecond), test.machines, 0) // a longer interval would count as a pause
				reconciler.connectivity.Tick(now, test.machines, 0)
				reconciler.checkUnresponsive(now)
			}
			if terminated := reconciler.countTerminated(t, test.silent); terminated != test.terminated {
				t.Errorf("terminated with %d of %d machines silent: got %d, want %d", test.silent, test.machines, terminated, test.terminated)
			}
		})
	}
}

// countTerminated counts the machines that are being terminated. It checks that only silent machines are, which come first.
func (reconciler *testReconciler) countTerminated(t *testing.T, silent int) int {
	t.Helper()
	terminated := 0
	for i, machine := range reconciler.workers.SortedMachines() {
		if machine.DrainReason != worker.DrainUnresponsive {
			continue
		}
		terminated++
		if i >= silent {
			t.Errorf("%s terminated although it sends heartbeats, want not terminated", machine.ID)
		}
	}
	return terminated
}

// renewMachines renews the leases of all machines except the first ones, which are silent.
func (reconciler *testReconciler) renewMachines(now time.Time, silent int) {
	for i, machine := range reconciler.workers.SortedMachines() {
		if i >= silent {
			machine.LeaseRenewedAt, machine.LastContactAt = now, now
		}
	}
}

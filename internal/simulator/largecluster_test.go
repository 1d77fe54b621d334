package simulator

import (
	"testing"
	"time"

	"gullrudder/internal/config"
)

// largeOptions returns the options of a cluster of about a hundred machines.
func largeOptions() Options {
	options := testOptions()
	options.MachinesPerKind, options.MaxTasks = 25, 60
	options.Teams = []config.Team{{Name: "red", GuaranteedCPUs: 100, CPULimit: 400}, {Name: "blue", GuaranteedCPUs: 50, CPULimit: 500}}
	return options
}

// With a hundred machines and full pages, the rules must hold through a crash of all controllers, an outage and a partition of a quarter of
// the machines. All jobs must finish.
func TestInvariantsWithHundredMachines(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		t.Run(seedName(seed), func(t *testing.T) {
			runHundredMachines(t, seed)
		})
	}
}

// runHundredMachines runs TestInvariantsWithHundredMachines with one seed.
func runHundredMachines(t *testing.T, seed uint64) {
	t.Helper()
	sim := New(seed, largeOptions(), testLogger())
	for i := range 90 {
		sim.At(time.Duration(i)*700*time.Millisecond, sim.Users.SubmitRandom)
	}
	sim.At(25*time.Second, func() {
		for i := range sim.Options.Controllers {
			sim.Crash(i, 2*time.Second)
		}
	})
	sim.At(40*time.Second, func() { sim.State.Outage(8 * time.Second) })
	sim.At(55*time.Second, func() {
		for range len(sim.Cloud.runningMachines()) / 4 {
			sim.Cloud.CutMachine(12 * time.Second)
		}
		sim.Cloud.FailMachine()
		sim.Cloud.ReclaimMachine(0)
	})
	sim.Run(65 * time.Second)
	machines := len(sim.Cloud.runningMachines())
	sim.Run(200 * time.Second)
	expectNoViolations(t, sim)
	if n := sim.Users.UnfinishedCount(); n > 0 || sim.Users.AcceptedCount() < 80 {
		t.Errorf("jobs accepted and unfinished: got %d and %d, want at least 80 and 0", sim.Users.AcceptedCount(), n)
	}
	if pages := sim.State.pageCount(); machines < 60 || pages < 3 {
		t.Errorf("size of the cluster: got %d machines and %d pages, want at least 60 and 3", machines, pages)
	}
	if err := sim.State.CheckLimits(); err != nil {
		t.Errorf("stored values: got %v, want all within the limits", err)
	}
}

// A burst of ten times the usual submissions, then many cancellations. Submissions that exceed the limit must be rejected immediately, the
// leader must keep its lease, and all accepted jobs must finish afterwards.
func TestBurstOfSubmissionsAndCancellations(t *testing.T) {
	t.Parallel()
	options := largeOptions()
	options.LossShare = 0
	sim := New(3, options, testLogger())
	sim.Run(2 * time.Second)
	first, token := sim.State.leaderName(), sim.State.leaderRevision()
	for i := range 400 {
		sim.At(time.Duration(i)*3*time.Millisecond, sim.Users.SubmitRandom)
	}
	sim.At(12*time.Second, func() {
		for _, id := range sim.Users.jobIDs[:200] {
			sim.Users.cancel(id)
		}
	})
	sim.Run(30 * time.Second)
	if now := sim.State.leaderName(); now != first || sim.State.leaderRevision() != token || first == "" {
		t.Errorf("leader and fencing token: got %q and %d, want %q and %d as before the burst", now, sim.State.leaderRevision(), first, token)
	}
	sim.Run(4 * time.Minute)
	expectNoViolations(t, sim)
	if n := sim.Users.UnfinishedCount(); n > 0 || sim.Users.AcceptedCount() != 400 {
		t.Errorf("jobs accepted and unfinished: got %d and %d, want 400 and 0", sim.Users.AcceptedCount(), n)
	}
	if sim.Users.slowestResponse > 2500*time.Millisecond {
		t.Errorf("longest time to a response: got %v, want at most 2.5s", sim.Users.slowestResponse)
	}
}

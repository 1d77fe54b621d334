package simulator

import (
	"testing"
	"time"

	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/workerapi"
)

// A run without faults must complete all jobs. This guards against runs that break no rule only because they start no task.
func TestRunWithoutFaultsCompletesAllJobs(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		t.Run(seedName(seed), func(t *testing.T) {
			sim := New(seed, testOptions(), testLogger())
			for i := range 25 {
				sim.At(time.Duration(i)*2*time.Second, sim.Users.SubmitRandom)
			}
			sim.Run(4 * time.Minute)
			expectNoViolations(t, sim)
			if sim.Users.AcceptedCount() != 25 || sim.Users.UnfinishedCount() != 0 || sim.checker.TaskStarts < 25 {
				t.Errorf(
					"jobs: got %d accepted, %d unfinished, %d task starts, want 25, 0, at least 25",
					sim.Users.AcceptedCount(),
					sim.Users.UnfinishedCount(),
					sim.checker.TaskStarts,
				)
			}
			if segments, compacted := sim.State.archiveSegments(); segments == 0 || !compacted {
				t.Errorf("archive: got %d segments, compacted %v, want at least 1, compacted true", segments, compacted)
			}
			if err := sim.State.CheckLimits(); err != nil {
				t.Errorf("stored values: got %v, want all within the limits", err)
			}
		})
	}
}

// A delayed heartbeat does not list tasks that an earlier leader has started since. A new leader must not conclude that these tasks have
// ended: the worker had not seen the new fencing token when it sent the heartbeat.
func TestNewLeaderRejectsStaleHeartbeat(t *testing.T) {
	t.Parallel()
	sim := New(5, testOptions(), testLogger())
	for i := range 20 {
		sim.At(time.Duration(i)*500*time.Millisecond, func() {
			sim.Users.SubmitRandom()
			for _, j := range sim.checker.jobs {
				j.runTime = 30 * time.Second // many tasks must run when the leader crashes
			}
		})
	}
	sim.Run(20 * time.Second)
	firstLeader, remainingController := sim.State.leaderName(), ""
	for i := range sim.Options.Controllers {
		if controllerName(i) == firstLeader || remainingController != "" {
			sim.Crash(i, time.Minute)
		} else {
			remainingController = controllerName(i)
		}
	}
	// For a while the new leader receives only delayed heartbeats.
	for _, m := range sim.Cloud.runningMachines() {
		sim.CutLink(remainingController, m.id, 4500*time.Millisecond)
	}
	deliverStaleHeartbeats := func() {
		for _, m := range sim.Cloud.runningMachines() {
			raw, err := codec.Marshal(workerapi.Heartbeat{
				Machine: m.id, Addr: m.id, Type: m.machineType.Name, Zone: m.zone, Spot: m.spot,
				Incarnation: 1, Sequence: 1, Tasks: []workerapi.TaskStatus{},
			})
			if err != nil {
				t.Fatal(err)
			}
			sim.deliverHeartbeat(remainingController, raw, ignoreResponse)
		}
	}
	for i := range 2000 {
		sim.At(time.Duration(i)*5*time.Millisecond, deliverStaleHeartbeats)
	}
	sim.Run(9 * time.Minute)
	expectNoViolations(t, sim)
	if n := sim.Users.UnfinishedCount(); n > 0 {
		t.Errorf("unfinished jobs: got %d, want 0", n)
	}
	if now := sim.State.leaderName(); now == firstLeader || now == "" {
		t.Errorf("leader after the failover: got %q, want another than %q", now, firstLeader)
	}
}

package simulator

import (
	"fmt"
	"testing"
	"time"
)

// A leader that is cut off only from its workers must hand over to a controller that they reach, and running tasks must be kept. Machines
// fail at the same time. With odd seeds the next leader crashes soon after.
func TestLeaderCutFromWorkersHandsOver(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		t.Run(seedName(seed), func(t *testing.T) {
			t.Parallel()
			runLeaderCutFromWorkers(t, seed)
		})
	}
}

// runLeaderCutFromWorkers runs TestLeaderCutFromWorkersHandsOver with one seed.
func runLeaderCutFromWorkers(t *testing.T, seed uint64) {
	t.Helper()
	options := testOptions()
	options.LossShare, options.MachinesPerKind, options.Teams, options.WorkerLease = 0, 12, nil, 12*time.Second
	sim := New(seed, options, testLogger())
	for i := range 10 {
		sim.Users.SubmitJob(jobArray(fmt.Sprintf("job-%d", i), "c", noTeam, 8, 100*time.Second), 100*time.Second)
	}
	sim.Run(40 * time.Second)
	firstLeader := sim.State.leaderName()
	running, machines, starts := sim.runningTasks(), len(sim.Cloud.runningMachines()), sim.checker.TaskStarts
	if running < 60 {
		t.Fatalf("running tasks: got %d, want at least 60", running)
	}
	for i := range sim.controllers {
		if controllerName(i) == firstLeader {
			sim.leaderFailures()["cut from the workers"](i)
		}
	}
	sim.At(time.Second, sim.Cloud.FailMachine)
	sim.At(2*time.Second, sim.Cloud.FailMachine)
	if seed%2 == 1 {
		sim.At(15*time.Second, func() {
			sim.crashLeader(3 * time.Second)
		})
	}
	sim.Run(30 * time.Second)
	expectNoViolations(t, sim)
	if sim.State.leaderName() == firstLeader {
		t.Errorf("leader: got %s, which no worker reaches, want another", firstLeader)
	}
	// Two machines failed, with up to 16 tasks each, and some starts were refused and repeated.
	if restarts := sim.checker.TaskStarts - starts; restarts > 45 {
		t.Errorf("tasks started again: got %d of %d, want at most 45; %d machines before, %d now",
			restarts, running, machines, len(sim.Cloud.runningMachines()))
	}
}

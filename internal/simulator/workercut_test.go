package simulator

import (
	"fmt"
	"testing"
	"time"
)

// A leader that loses only its workers hands over to a controller that they reach, and running tasks are kept. Machines fail at the same
// time, and on half of the seeds the successor crashes soon after. Before, the leader terminated a third of the machines on each step.
func TestLeaderCutFromWorkersHandsOver(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		t.Run(seedName(seed), func(t *testing.T) {
			t.Parallel()
			runLeaderCutFromWorkers(t, seed)
		})
	}
}

// runLeaderCutFromWorkers is TestLeaderCutFromWorkersHandsOver with one seed.
func runLeaderCutFromWorkers(t *testing.T, seed uint64) {
	t.Helper()
	opt := testOptions()
	opt.LossShare, opt.MachinesPerKind, opt.Teams, opt.WorkerLease = 0, 12, nil, 12*time.Second
	sim := New(seed, opt, testLogger())
	for i := range 10 {
		sim.Users.SubmitJob(jobArray(fmt.Sprintf("job-%d", i), "c", noTeam, 8, 100*time.Second), 100*time.Second)
	}
	sim.Run(40 * time.Second)
	first := sim.State.leaderName()
	began, machines, ran := sim.runningTasks(), len(sim.Cloud.runningMachines()), sim.checker.TaskStarts
	if began < 60 {
		t.Fatalf("only %d tasks run", began)
	}
	for i := range sim.controllers {
		if controllerName(i) == first {
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
	if sim.State.leaderName() == first {
		t.Errorf("%s still leads, whom no worker reaches", first)
	}
	// Two machines failed, with up to 16 tasks each; some starts are refused.
	if again := sim.checker.TaskStarts - ran; again > 45 {
		t.Errorf(
			"%d of %d tasks were started again, %d machines before, %d now",
			again,
			began,
			machines,
			len(sim.Cloud.runningMachines()),
		)
	}
}

package simulator

import (
	"fmt"
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
)

// Each test in this file combines two faults. docs/design/fault-combinations.md names the code that was reviewed for each combination and
// the injected defect that makes the test fail.

// The leader confirms cancellations, but its commands reach no machine, and it crashes. The next leader writes the leader key but cannot
// load the state, because an outage longer than the cancellation timeout begins. This leader holds its lease by grants of the other
// controllers, and workers send it heartbeats. The cancelled tasks must stop in time.
func TestCancellationBeforeLeaderThatCannotRead(t *testing.T) {
	forEachSeed(t, 4, busyCluster, func(sim scenario) {
		for _, m := range sim.Cloud.runningMachines() {
			sim.CutLinkOneWay(controllerName(sim.leader), m.id, 3*time.Second)
		}
		sim.Run(500 * time.Millisecond)
		sim.Users.CancelRandom(10)
		sim.Run(1500 * time.Millisecond)
		if n := sim.Users.CancelledCount(); n < 5 {
			sim.t.Fatalf("cancelled jobs: got %d, want at least 5", n)
		}
		sim.OnElectionEvent(keyWritten, func(string) { sim.State.Outage(sim.Options.CancelTimeout + 15*time.Second) })
		sim.Crash(sim.leader, time.Duration(sim.seed)*400*time.Millisecond)
		sim.watchSingleLeader()
		sim.Run(40 * time.Second)
		if len(sim.electionTriggers) > 0 {
			sim.t.Errorf("controllers that wrote the leader key: got none, want 1")
		}
	})
}

// The next leader cannot load the state, because an outage of a few seconds begins when it is elected. Running tasks must be kept.
func TestLeaderThatCannotReadKeepsTasks(t *testing.T) {
	forEachSeed(t, 3, busyCluster, func(sim scenario) {
		startsBefore := sim.checker.TaskStarts
		sim.OnElectionEvent(keyWritten, func(string) { sim.State.Outage(5 * time.Second) })
		sim.Crash(sim.leader, 10*time.Second)
		sim.Run(15 * time.Second)
		if restarts := sim.checker.TaskStarts - startsBefore; restarts > 8 {
			sim.t.Errorf("tasks started again: got %d, want at most 8", restarts)
		}
	})
}

// The state service refuses only the leader, and the next leader confirms cancellations. An outage follows that is longer than the
// cancellation timeout. Workers send heartbeats to the old leader as long as it responds. The cancelled tasks must stop in time.
func TestLeaderRefusedThenOutage(t *testing.T) {
	forEachSeed(t, 6, busyCluster, func(sim scenario) {
		for round := range 2 {
			oldLeader := sim.LeaderIndex()
			sim.State.Refuse(controllerName(oldLeader), 14*time.Second)
			if sim.seed%2 == 0 {
				cutWorkersFromOthers(sim.Cluster, oldLeader, 6*time.Second)
			}
			sim.Run(1500*time.Millisecond + time.Duration(sim.seed)*100*time.Millisecond)
			expectNoViolations(sim.t, sim.Cluster)
			if sim.LeaderIndex() == oldLeader {
				sim.t.Errorf("leader: got %s, which the state service refuses, want another one or none", controllerName(oldLeader))
			}
			before := sim.Users.CancelledCount()
			sim.Users.CancelRandom(5)
			sim.Run(1500 * time.Millisecond)
			if sim.Users.CancelledCount() == before && round == 0 {
				sim.t.Errorf("jobs cancelled through the next leader: got none, want at least 1")
			}
			sim.State.Outage(sim.Options.CancelTimeout + 10*time.Second)
			sim.Run(sim.Options.CancelTimeout + 20*time.Second)
		}
	})
}

// cutWorkersFromOthers cuts all machines off from every controller but one.
func cutWorkersFromOthers(sim *Cluster, except int, span time.Duration) {
	for _, worker := range sim.Cloud.runningMachines() {
		for i := range sim.controllers {
			if i != except {
				sim.CutLink(controllerName(i), worker.id, span)
			}
		}
	}
}

// Job arrays of two and three tasks that end 20 s apart. Two failovers happen in between, one by a refusal of the state service and one by
// a crash. Completed tasks must stay completed, and no job may be reported as done before all of its tasks are completed.
func TestTasksEndingFarApart(t *testing.T) {
	forEachSeed(t, 4, busyCluster, func(sim scenario) {
		for i := range 12 {
			spec := jobArray(fmt.Sprintf("job-2%03d", i), "apart", noTeam, 2+i%2, 10*time.Second)
			spec.CPUs, spec.MemoryGB, spec.Priority = 0.5, 0.5, jobs.High
			sim.At(time.Duration(i)*300*time.Millisecond, func() {
				sim.Users.SubmitJob(spec, 5*time.Second)
				sim.checker.jobs[spec.ID].runTimeStep = 20 * time.Second
			})
		}
		sim.At(
			9*time.Second+time.Duration(sim.seed)*300*time.Millisecond,
			func() { sim.State.Refuse(controllerName(sim.leader), 6*time.Second) },
		)
		sim.At(30*time.Second, func() {
			if l := sim.LeaderIndex(); l >= 0 {
				sim.Crash(l, 300*time.Millisecond)
			}
		})
		sim.Cloud.DuplicateHeartbeats(40 * time.Second)
		sim.Run(100 * time.Second)
		for i := range 12 {
			job := sim.checker.jobs[fmt.Sprintf("job-2%03d", i)]
			if !job.acceptedAt.IsZero() && job.startCount > 3*job.spec.Tasks {
				sim.t.Errorf("%s, starts of %d tasks: got %d, want at most 3 each", job.spec.ID, job.spec.Tasks, job.startCount)
			}
		}
	})
}

// A leader is cut off from the state service and the other controllers, but not from workers and users. Jobs are cancelled through the next
// leader. This happens twice. With odd seeds the old leader is restarted in between.
func TestCancellationThroughNextLeader(t *testing.T) {
	forEachSeed(t, 4, busyCluster, func(sim scenario) {
		sim.watchSingleLeader()
		for range 2 {
			oldLeader := sim.LeaderIndex()
			sim.IsolateController(oldLeader, FromState|FromControllers, 25*time.Second)
			sim.Run(4 * time.Second)
			expectNoViolations(sim.t, sim.Cluster)
			if l := sim.LeaderIndex(); l == oldLeader || l < 0 {
				sim.t.Fatalf("index of the leader: got %d, want neither %d, which is isolated, nor -1, which is none", l, oldLeader)
			}
			sim.Users.CancelRandom(3)
			sim.Run(3 * time.Second)
			if sim.seed%2 == 1 {
				sim.Crash(oldLeader, 300*time.Millisecond)
			}
			sim.Run(30 * time.Second)
		}
	})
}

// Commands to a few machines are delayed for seconds, or the machines hang. Meanwhile the leader crashes, duplicate heartbeats arrive and
// jobs are cancelled.
func TestDelayedCommands(t *testing.T) {
	forEachSeed(t, 4, busyCluster, func(sim scenario) {
		sim.Cloud.DuplicateHeartbeats(30 * time.Second)
		for i := range 5 {
			sim.At(time.Duration(i)*6*time.Second, func() { sim.Cloud.DelayMachines(6, time.Duration(3+i)*time.Second) })
		}
		for i := range 40 {
			sim.At(time.Duration(i)*time.Second, func() {
				spec := jobArray(fmt.Sprintf("job-3%03d", i), "short", noTeam, 5, 4*time.Second)
				spec.Priority = jobs.High
				sim.Users.SubmitJob(spec, 4*time.Second)
			})
		}
		sim.At(8*time.Second, func() { sim.Crash(sim.leader, 200*time.Millisecond) })
		sim.At(12*time.Second, func() { sim.Users.CancelRandom(4) })
		sim.Run(50 * time.Second)
	})
}

// The leader crashes while some machines with long tasks are unreachable and others do not receive the next leader's responses. The next
// leader must not start their tasks twice, and must not delay placement until all of these machines are back.
func TestUnreachableLongTasksDuringFailover(t *testing.T) {
	forEachSeed(t, 4, busyCluster, func(sim scenario) {
		list := sim.Cloud.runningMachines()
		for k, m := range list {
			for i := range sim.controllers {
				switch {
				case k%4 == 0:
					sim.CutLink(controllerName(i), m.id, 20*time.Second)
				case k%4 == 1 && i != sim.leader:
					sim.CutLinkOneWay(controllerName(i), m.id, 20*time.Second)
				}
			}
		}
		sim.Crash(sim.leader, time.Second)
		began := sim.Now
		for !sim.isPlacing() && sim.Now.Sub(began) < time.Minute {
			sim.Run(100 * time.Millisecond)
		}
		if took := sim.Now.Sub(began); took > sim.Options.WorkerLease+8*time.Second {
			sim.t.Errorf("time until a controller places tasks: got %v, want at most %v", took, sim.Options.WorkerLease+8*time.Second)
		}
	})
}

// Users submit, cancel and poll jobs while the state service takes about as long to respond as its callers wait. Then it refuses only the
// leader, and an outage follows that is longer than the cancellation timeout. Users must get every response within 5 s.
func TestSlowStateServiceThenOutage(t *testing.T) {
	forEachSeed(t, 4, busyCluster, func(sim scenario) {
		sim.watchSingleLeader()
		sim.State.SlowDown(40 * time.Second)
		for i := range 20 {
			sim.At(time.Duration(i)*time.Second, sim.Users.SubmitRandom)
		}
		sim.At(5*time.Second, func() { sim.Users.CancelRandom(4) })
		sim.At(20*time.Second, func() { sim.State.Refuse(controllerName(sim.leader), 5*time.Second) })
		sim.At(22*time.Second, func() { sim.Users.CancelRandom(4) })
		sim.At(24*time.Second, func() { sim.State.Outage(sim.Options.CancelTimeout + 8*time.Second) })
		sim.Run(70 * time.Second)
		if sim.Users.slowestResponse > 5*time.Second {
			sim.t.Errorf("longest time to a response: got %v, want at most 5s", sim.Users.slowestResponse)
		}
	})
}

// The leadership changes six times at intervals of 900 ms. Then all controllers crash. One restarts after 100 ms, the others 3 s and 6 s
// later.
func TestLeadershipHandedBackAndForth(t *testing.T) {
	forEachSeed(t, 4, busyCluster, func(sim scenario) {
		sim.watchSingleLeader()
		before := sim.State.leaderRevision()
		sim.State.HandOverLeadership(6, 900*time.Millisecond)
		sim.At(2*time.Second, func() { sim.Users.CancelRandom(3) })
		sim.Run(8 * time.Second)
		if sim.State.leaderRevision() <= before {
			sim.t.Errorf("fencing token after six handovers: got %d, want more than %d", sim.State.leaderRevision(), before)
		}
		for i := range sim.controllers {
			sim.Crash(i, time.Duration(100+3000*((i+int(sim.seed))%3))*time.Millisecond)
		}
		sim.Run(20 * time.Second)
	})
}

// A share of the transactions, including those of elections, gets no response and is executed after newer ones. Meanwhile leaders crash or
// are refused by the state service, and short jobs are finished, archived and cancelled.
func TestLateTransactions(t *testing.T) {
	forEachSeed(t, 6, busyCluster, func(sim scenario) {
		sim.watchSingleLeader()
		sim.State.DelayTransactions(0.1+0.1*float64(sim.seed), 40*time.Second)
		for i := range 30 {
			sim.At(time.Duration(i)*1200*time.Millisecond, sim.Users.SubmitRandom)
		}
		sim.At(10*time.Second, func() { sim.Crash(sim.leader, 300*time.Millisecond) })
		sim.At(14*time.Second, func() { sim.Users.CancelRandom(5) })
		sim.At(20*time.Second, func() { sim.State.Refuse(sim.State.leaderName(), 4*time.Second) })
		sim.Run(70 * time.Second)
		if err := sim.State.CheckLimits(); err != nil {
			sim.t.Errorf("stored values: got %v, want all within the limits", err)
		}
	})
}

// Machines restart with new incarnations while duplicates of earlier heartbeats arrive at all controllers, including the next leader and
// followers.
func TestHeartbeatsOfEarlierIncarnations(t *testing.T) {
	forEachSeed(t, 4, busyCluster, func(sim scenario) {
		sim.Cloud.DuplicateHeartbeats(30 * time.Second)
		for i := range 6 {
			sim.At(time.Duration(i)*3*time.Second, func() { sim.Cloud.RestartMachine(300*time.Millisecond, i%2 == 0) })
		}
		sim.At(7*time.Second, func() { sim.Crash(sim.leader, 100*time.Millisecond) })
		sim.At(14*time.Second, func() { sim.State.Refuse(sim.State.leaderName(), 3*time.Second) })
		sim.Run(40 * time.Second)
	})
}

// If the worker lease is longer than the cancellation timeout, a job must not be reported as cancelled before its tasks have stopped.
// Machines receive no messages for a while, leaders crash, and there is an outage.
func TestCancelledOnlyAfterTasksStopped(t *testing.T) {
	shortCancelTimeout := func(t *testing.T, seed uint64) scenario {
		t.Helper()
		options := testOptions()
		options.CancelTimeout = 5 * time.Second
		return busyClusterWith(t, seed, options)
	}
	forEachSeed(t, 3, shortCancelTimeout, func(sim scenario) {
		sim.Cloud.CutInbound(1000, false, 7*time.Second)
		sim.Run(300 * time.Millisecond)
		sim.Users.CancelRandom(3)
		if sim.seed > 0 {
			sim.At(time.Second, func() { sim.Crash(sim.leader, 300*time.Millisecond) })
		}
		if sim.seed > 1 {
			sim.OnElectionEvent(keyWritten, func(string) { sim.State.Outage(12 * time.Second) })
		}
		sim.Run(40 * time.Second)
		if sim.Users.CancelledCount() == 0 && len(sim.Violations) == 0 {
			sim.t.Errorf("jobs whose users learned that they are cancelled: got none, want at least 1")
		}
	})
}

// The leader crashes eight times, each time while half of the machines hang for longer than their leases. Failover must wait only for these
// leases, so that the other machines complete at least half of a class of short jobs.
func TestOtherMachinesServeDuringRepeatedFailovers(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		t.Run(seedName(seed), func(t *testing.T) {
			runRepeatedFailovers(t, seed)
		})
	}
}

// runRepeatedFailovers runs TestOtherMachinesServeDuringRepeatedFailovers with one seed.
func runRepeatedFailovers(t *testing.T, seed uint64) {
	t.Helper()
	const interval, rounds = 16 * time.Second, 8
	sim := busyCluster(t, seed)
	for i := range int(interval.Seconds()) * rounds {
		sim.At(time.Duration(i)*time.Second, func() {
			spec := jobArray(fmt.Sprintf("job-4%03d", i), "short", noTeam, 2, 2*time.Second)
			spec.Priority = jobs.High
			sim.Users.SubmitJob(spec, 2*time.Second)
		})
	}
	placingSamples, totalSamples := 0, 0
	for range rounds {
		for _, m := range sim.Cloud.randomMachines(len(sim.Cloud.runningMachines()) / 2) {
			m.hangsUntil = sim.Now.Add(sim.Options.WorkerLease + 3*time.Second)
		}
		sim.crashLeader(3 * time.Second)
		for end := sim.Now.Add(interval); sim.Now.Before(end) && len(sim.Violations) == 0; totalSamples++ {
			sim.Run(100 * time.Millisecond)
			if sim.isPlacing() {
				placingSamples++
			}
		}
	}
	expectNoViolations(t, sim.Cluster)
	share := float64(placingSamples) / float64(totalSamples)
	if share < 0.36 { // in each 16 s, a lease with its margin, an election and a heartbeat pass without placement
		t.Errorf("share of the time with a controller that places tasks: got %.2f, want at least 0.36", share)
	}
	served := Served{}
	for _, id := range sim.Users.jobIDs {
		if j := sim.checker.jobs[id]; j.spec.Class == "short" {
			served = served.withJob(j)
		}
	}
	if served.Share() < 0.5 {
		t.Errorf("share of the short jobs that are done: got %.2f, want at least 0.5", served.Share())
	}
	t.Logf("tasks were placed for %.2f of the time, %.2f of the short jobs are done", share, served.Share())
}

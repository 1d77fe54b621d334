package simulator

import (
	"fmt"
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/workerapi"
)

// Three machines send heartbeats but receive no responses or commands. Meanwhile a machine fails, and with one seed the leader restarts.
// The leader must detect that the three machines are unreachable and terminate them. No task may run twice.
func TestInboundUnreachableMachines(t *testing.T) {
	forEachSeed(t, 3, busyClusterWithSlowHeartbeats, func(sim scenario) {
		before := len(sim.Cloud.runningMachines())
		sim.Cloud.CutInbound(3, sim.seed > 0, 3*time.Minute)
		sim.At(5*time.Second, sim.Cloud.FailMachine)
		if sim.seed == 2 {
			sim.At(2*time.Second, func() { sim.Crash(sim.leader, 100*time.Millisecond) })
		}
		sim.Run(25 * time.Second)
		unreachable := 0
		for _, m := range sim.Cloud.runningMachines() {
			if sim.Now.Before(sim.linkCutUntil(sim.State.leaderName(), m.id)) {
				unreachable++
			}
		}
		if unreachable > 0 {
			sim.t.Errorf("inbound unreachable machines not terminated: got %d of %d, want 0", unreachable, before)
		}
	})
}

// All heartbeats reach the leader, but its messages reach no machine. Another controller must become leader soon: the machines contact
// other controllers and do not respond to probes, which is evidence of two kinds.
func TestOutboundUnreachableLeader(t *testing.T) {
	forEachSeed(t, 3, busyClusterWithSlowHeartbeats, func(sim scenario) {
		sim.Cloud.CutInbound(1000, true, 2*time.Minute)
		sim.At(time.Second, sim.Cloud.FailMachine)
		sim.Run(15 * time.Second)
		if sim.State.leaderName() == controllerName(sim.leader) {
			sim.t.Errorf("leader: got %s, whose messages reach no machine, want another", controllerName(sim.leader))
		}
	})
}

// A leader is cut off from the state service and the other controllers, but not from its workers. It must stop when its leader lease
// expires. The workers must find the next leader before their leases expire, although with odd seeds that leader restarts meanwhile.
func TestLeaderThatReachesWorkersOnly(t *testing.T) {
	forEachSeed(t, 4, busyClusterWithLongLease, func(sim scenario) {
		sim.IsolateController(sim.leader, FromState|FromControllers, 40*time.Second)
		startsBefore, failedMachines := sim.checker.TaskStarts, 0
		sim.At(500*time.Millisecond, func() { sim.Cloud.FailMachine(); failedMachines++ })
		sim.At(3*time.Second, func() {
			for i := range sim.controllers {
				if holdsLease, _ := sim.leadershipOf(i); holdsLease && i != sim.leader && sim.seed%2 == 1 {
					sim.Crash(i, 300*time.Millisecond)
				}
			}
		})
		sim.Run(2 * time.Second)
		if holdsLease, _ := sim.leadershipOf(sim.leader); holdsLease {
			sim.t.Errorf("leader lease 2 s after the leader was isolated: got held, want expired")
		}
		sim.Run(18 * time.Second)
		if restarts := sim.checker.TaskStarts - startsBefore; restarts > 30 { // one machine failed, with up to 16 tasks
			sim.t.Errorf("tasks started again: got %d, want at most 30", restarts)
		}
	})
}

// Duplicates of half of the heartbeats arrive up to four leases late at any controller, while short tasks keep starting, machines fail and
// the leader crashes. A failed machine must not count as alive, and no task may run twice.
func TestDuplicateHeartbeats(t *testing.T) {
	forEachSeed(t, 3, busyClusterWithLongLease, func(sim scenario) {
		for i := range 90 {
			sim.At(time.Duration(i)*time.Second, func() {
				sim.Users.SubmitJob(jobArray(fmt.Sprintf("job-1%04d", i), "short", noTeam, 6, 20*time.Second), 20*time.Second)
			})
		}
		sim.Cloud.DuplicateHeartbeats(40 * time.Second)
		sim.At(6*time.Second, sim.Cloud.FailMachine)
		sim.At(8*time.Second, func() { sim.Cloud.RestartMachine(200*time.Millisecond, sim.seed == 0) })
		sim.At(20*time.Second, func() { sim.Crash(sim.leader, 50*time.Millisecond) })
		sim.At(25*time.Second, sim.Cloud.FailMachine)
	})
}

// A late duplicate of a terminated machine's heartbeat must not register the machine again.
func TestDuplicateHeartbeatOfTerminatedMachine(t *testing.T) {
	t.Parallel()
	sim := busyClusterWithLongLease(t, 1)
	raw, err := codec.Marshal(workerapi.Heartbeat{
		Machine: "vm-900000", Addr: "vm-900000", Type: "small", Zone: "a", Incarnation: 1, Sequence: 3,
		FencingToken: sim.State.leaderRevision(), Tasks: []workerapi.TaskStatus{},
	})
	if err != nil {
		t.Fatalf("encode a heartbeat: %v", err)
	}
	sim.Crash(sim.leader, time.Second)
	sim.Run(5 * time.Second)
	sim.deliverHeartbeat(sim.State.leaderName(), raw, ignoreResponse)
	sim.Run(5 * time.Second)
	if _, ok := sim.State.entry("m:vm-900000"); ok {
		t.Error("record of a terminated machine: got one, want none")
	}
	expectAllFinished(t, sim.Cluster)
}

// One or all controllers crash at an event of an election and restart within half a second. An outage and the restart of a machine happen
// at the same time.
func TestRestartsDuringElection(t *testing.T) {
	t.Parallel()
	events := [electionEventCount]string{
		campaignSent: "campaign sent", keyWritten: "key written", grantSent: "grant sent", leadershipReleased: "leadership released",
	}
	for i, name := range events {
		event := electionEvent(i)
		t.Run(name, func(t *testing.T) {
			forEachSeed(t, 2, busyClusterWithLongLease, func(sim scenario) {
				restartAfter := time.Duration(1+400*sim.seed) * time.Millisecond
				for range 3 {
					sim.CrashAtElectionEvent(event, 20*time.Second, restartAfter)
				}
				sim.Cloud.RestartMachine(restartAfter, false)
				sim.State.Refuse(controllerName(sim.leader), 3*time.Second)
				sim.At(4*time.Second, func() {
					for i := range sim.controllers {
						sim.Crash(i, restartAfter)
					}
				})
				sim.At(6*time.Second, func() { sim.State.Outage(5 * time.Second) })
				sim.At(7*time.Second, func() { sim.Crash(int(sim.seed), restartAfter) })
				sim.watchSingleLeader()
				sim.Run(30 * time.Second)
				if n := len(sim.electionTriggers); n == 3 && event != leadershipReleased {
					sim.t.Error("controllers that reached the event: got none, want at least 1")
				}
			})
		})
	}
}

// A job that is far larger than the others of its class must start within four minutes although smaller jobs keep the cluster full.
func TestLargestJobsStart(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		t.Run(seedName(seed), func(t *testing.T) {
			options := CapacityLossOptions(testOptions().Tuning)
			options.MachinesPerKind = 1
			sim := New(seed, options, testLogger())
			spec := jobs.Spec{
				Class:           "flood",
				Team:            "blue",
				Priority:        jobs.Normal,
				Tasks:           12,
				CPUs:            2,
				MemoryGB:        2,
				Image:           "f",
				AllowsSpot:      true,
				RunTimeEstimate: 15 * time.Second,
			}
			for i := range 420 {
				sim.At(time.Duration(i)*time.Second, func() {
					small := spec
					small.ID = fmt.Sprintf("job-%07d", i)
					sim.Users.SubmitJob(small, 15*time.Second)
				})
			}
			sim.At(20*time.Second, func() {
				large := spec
				large.ID, large.Tasks = "job-9", 600
				sim.Users.SubmitJob(large, 15*time.Second)
			})
			sim.Run(290 * time.Second)
			expectNoViolations(t, sim)
			job := sim.checker.jobs["job-9"]
			if job.firstStartedAt.IsZero() || job.firstStartedAt.Sub(job.submittedAt) > 4*time.Minute {
				t.Errorf("time from submission to first start: got %v (started: %v), want at most 4m0s",
					job.firstStartedAt.Sub(job.submittedAt), !job.firstStartedAt.IsZero())
			}
		})
	}
}

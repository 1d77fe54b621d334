package simulator

import (
	"fmt"
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/workerapi"
)

// busyClusterWithLongLease is a world of a dozen machines that are all at work, and the index of its leader.
func busyClusterWithLongLease(t *testing.T, seed uint64) (sim *Cluster, leader int) {
	return busyClusterReporting(t, seed, time.Second, 12*time.Second)
}

func busyClusterReporting(t *testing.T, seed uint64, every, lease time.Duration) (sim *Cluster, leader int) {
	opt := testOptions()
	opt.HeartbeatInterval, opt.WorkerLease = every, lease
	return busyClusterWith(t, seed, opt)
}

func busyClusterWith(t *testing.T, seed uint64, opt Options) (sim *Cluster, leader int) {
	opt.LossShare, opt.MachinesPerKind, opt.Teams = 0, 12, nil
	sim = New(seed, opt, testLogger())
	for i := range 10 {
		sim.Users.SubmitJob(jobs.Spec{
			ID: "job-" + string(rune('0'+i)), Class: "c", Team: "none", Tasks: 8, CPUs: 1, MemoryGB: 1, Image: "i", AllowsSpot: true,
			RunTimeEstimate: 60 * time.Second,
		}, 60*time.Second)
	}
	sim.Run(40 * time.Second)
	if n := sim.runningTasks(); n < 60 {
		t.Fatalf("seed %d: only %d tasks run", seed, n)
	}
	if leader = sim.LeaderIndex(); leader < 0 {
		t.Fatal("nobody leads")
	}
	return sim, leader
}

// expectAllFinished plays on until all that was accepted has to be done, with every rule kept.
func expectAllFinished(t *testing.T, sim *Cluster, seed uint64) {
	t.Helper()
	sim.Run(5 * time.Minute)
	if len(sim.Violations) > 0 {
		t.Fatalf("seed %d: %v", seed, sim.Violations)
	}
	if n := sim.Users.UnfinishedCount(); n > 0 {
		t.Errorf("seed %d: %d accepted jobs are not finished", seed, n)
	}
}

// Reports of three machines arrive, and nothing that they are told; meanwhile one machine dies and the leader ends and
// is back at once. They are found out and given back, and nothing runs twice.
func TestInboundUnreachableMachines(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		sim, leader := busyClusterReporting(t, seed, 4*time.Second, 20*time.Second)
		before := len(sim.Cloud.runningMachines())
		sim.Cloud.CutInbound(3, seed > 0, 3*time.Minute)
		sim.At(5*time.Second, sim.Cloud.FailMachine)
		if seed == 2 {
			sim.At(2*time.Second, func() { sim.Crash(leader, 100*time.Millisecond) })
		}
		sim.Run(25 * time.Second)
		deaf := 0
		for _, m := range sim.Cloud.runningMachines() {
			if sim.Now.Before(sim.linkCutUntil(sim.State.leaderName(), m.id)) {
				deaf++
			}
		}
		if deaf > 0 {
			t.Errorf("seed %d: %d of %d machines hear nothing, and are kept", seed, deaf, before)
		}
		expectAllFinished(t, sim, seed)
	}
}

// The leader's answers reach no machine, and all reports reach it: another one leads soon, since machines that call
// elsewhere and do not answer its questions are two kinds of evidence.
func TestOutboundUnreachableLeader(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		sim, leader := busyClusterReporting(t, seed, 4*time.Second, 20*time.Second)
		sim.Cloud.CutInbound(1000, true, 2*time.Minute)
		sim.At(time.Second, sim.Cloud.FailMachine)
		sim.Run(15 * time.Second)
		if sim.State.leaderName() == controllerName(leader) {
			t.Errorf("seed %d: %s still leads, whom nobody hears", seed, controllerName(leader))
		}
		expectAllFinished(t, sim, seed)
	}
}

// A leader that loses the state service and the other controllers, but not its workers, stops with its entitlement,
// and its workers find the next one before their leases end, though that one is itself back within 0.3 s meanwhile.
func TestLeaderThatReachesWorkersOnly(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		sim, leader := busyClusterWithLongLease(t, seed)
		sim.IsolateController(leader, FromState|FromControllers, 40*time.Second)
		ran, died := sim.checker.TaskStarts, 0
		sim.At(500*time.Millisecond, func() { sim.Cloud.FailMachine(); died++ })
		sim.At(3*time.Second, func() {
			for i := range sim.controllers {
				if acting, _ := sim.leadershipOf(i); acting && i != leader && seed%2 == 1 {
					sim.Crash(i, 300*time.Millisecond)
				}
			}
		})
		sim.Run(2 * time.Second)
		if acting, _ := sim.leadershipOf(leader); acting {
			t.Errorf("seed %d: acts 2 s after it has lost the state service and everybody", seed)
		}
		sim.Run(18 * time.Second)
		if again := sim.checker.TaskStarts - ran; again > 30 { // one machine died, with 16 tasks at most
			t.Errorf("seed %d: %d tasks were started again", seed, again)
		}
		expectAllFinished(t, sim, seed)
	}
}

// Copies of half of the reports come up to four leases late, to any controller, while short tasks start all the time,
// and machines and the leader end; a machine that died is not kept alive by them, and nothing runs twice.
func TestDuplicateHeartbeats(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		sim, leader := busyClusterWithLongLease(t, seed)
		for i := range 90 {
			sim.At(time.Duration(i)*time.Second, func() {
				sim.Users.SubmitJob(jobs.Spec{
					ID: fmt.Sprintf("job-1%04d", i), Class: "short", Team: "none", Tasks: 6, CPUs: 1, MemoryGB: 1, Image: "i", AllowsSpot: true,
					RunTimeEstimate: 20 * time.Second,
				}, 20*time.Second)
			})
		}
		sim.Cloud.DuplicateHeartbeats(40 * time.Second)
		sim.At(6*time.Second, sim.Cloud.FailMachine)
		sim.At(8*time.Second, func() { sim.Cloud.RestartMachine(200*time.Millisecond, seed == 0) })
		sim.At(20*time.Second, func() { sim.Crash(leader, 50*time.Millisecond) })
		sim.At(25*time.Second, sim.Cloud.FailMachine)
		expectAllFinished(t, sim, seed)
	}
}

// A machine that an earlier leader gave back is not made to be there by a late copy of its report: it is not enrolled,
// has no room, and is forgotten.
func TestDuplicateHeartbeatOfTerminatedMachine(t *testing.T) {
	t.Parallel()
	sim, leader := busyClusterWithLongLease(t, 1)
	raw, err := codec.Marshal(workerapi.Heartbeat{
		Machine: "vm-900000", Addr: "vm-900000", Type: "small", Zone: "a", Incarnation: 1, Sequence: 3,
		FencingToken: sim.State.leaderRevision(), Tasks: []workerapi.TaskStatus{},
	})
	if err != nil {
		t.Fatal(err)
	}
	sim.Crash(leader, time.Second)
	sim.Run(5 * time.Second)
	sim.deliverRequest(sim.State.leaderName(), false, "POST", "/v1/report", raw, func(int, any) {})
	sim.Run(5 * time.Second)
	if _, ok := sim.State.entry("m:vm-900000"); ok {
		t.Error("a machine that is no more is on the roster")
	}
	expectAllFinished(t, sim, 1)
}

// Controllers end at each moment of an election and are back within a fraction of a second, one or all of them, while
// the state service is away, and machines end too.
func TestRestartsDuringElection(t *testing.T) {
	t.Parallel()
	for moment := range electionEventCount {
		for seed := range uint64(2) {
			sim, leader := busyClusterWithLongLease(t, seed)
			back := time.Duration(1+400*seed) * time.Millisecond
			for range 3 {
				sim.CrashAtElectionEvent(moment, 20*time.Second, back)
			}
			sim.Cloud.RestartMachine(back, false)
			sim.State.Refuse(controllerName(leader), 3*time.Second)
			sim.At(4*time.Second, func() {
				for i := range sim.controllers {
					sim.Crash(i, back)
				}
			})
			sim.At(6*time.Second, func() { sim.State.Outage(5 * time.Second) })
			sim.At(7*time.Second, func() { sim.Crash(int(seed), back) })
			sim.watchSingleLeader()
			sim.Run(30 * time.Second)
			if n := len(sim.electionTriggers); n == 3 && moment != leadershipReleased {
				t.Errorf("moment %d, seed %d: nobody came to it", moment, seed)
			}
			expectAllFinished(t, sim, seed)
		}
	}
}

// One job that is far larger than the others of its class begins within four minutes although smaller ones keep all
// room all the time, and half of everything is served.
func TestLargestJobsStart(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		opt := CapacityLossOptions(testOptions().Tuning)
		opt.MachinesPerKind = 1
		sim := New(seed, opt, testLogger())
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
				s := spec
				s.ID = fmt.Sprintf("job-%07d", i)
				sim.Users.SubmitJob(s, 15*time.Second)
			})
		}
		sim.At(20*time.Second, func() {
			s := spec
			s.ID, s.Tasks = "job-9", 600
			sim.Users.SubmitJob(s, 15*time.Second)
		})
		sim.Run(290 * time.Second)
		if len(sim.Violations) > 0 {
			t.Fatal(sim.Violations)
		}
		j := sim.checker.jobs["job-9"]
		if j.firstStartedAt.IsZero() || j.firstStartedAt.Sub(j.submittedAt) > 4*time.Minute {
			t.Errorf("seed %d: began %v after it was sent", seed, j.firstStartedAt.Sub(j.submittedAt))
		}
	}
}

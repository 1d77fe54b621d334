package simulator

import (
	"fmt"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/jobs"
)

// clusterAtQuota is a site of two teams, one of them at its limit with long tasks, and the index of its leader.
func clusterAtQuota(t *testing.T, seed uint64) (sim *Cluster, leader int) {
	opt := testOptions()
	opt.LossShare, opt.NoTaskFailures = 0, true
	opt.Teams = []config.Team{{Name: "red", GuaranteedCPUs: 8, CPULimit: 30}, {Name: "blue"}}
	sim = New(seed, opt, testLogger())
	for i := range 6 {
		sim.Users.SubmitJob(jobs.Spec{
			ID: fmt.Sprintf("job-5%03d", i), Class: "long", Team: "red", Tasks: 6, CPUs: 1, MemoryGB: 1, Image: "i", AllowsSpot: true,
			SingleZone: i == 1, SpreadAcrossZones: i == 2, RunTimeEstimate: 60 * time.Second,
		}, 60*time.Second)
	}
	sim.Users.SubmitJob(
		jobs.Spec{
			ID:              "job-59",
			Class:           "room",
			Team:            "blue",
			Tasks:           30,
			CPUs:            1,
			MemoryGB:        1,
			Image:           "i",
			AllowsSpot:      true,
			RunTimeEstimate: 10 * time.Second,
		},
		10*time.Second,
	)
	sim.Run(30 * time.Second)
	if n := sim.runningTasks(); n < 28 {
		t.Fatalf("seed %d: only %d tasks run", seed, n)
	}
	if leader = sim.LeaderIndex(); leader < 0 {
		t.Fatal("nobody leads")
	}
	return sim, leader
}

// submitShortJobs submits jobs of a team, one a second, for a while.
func (sim *Cluster) submitShortJobs(team, first string, count, tasks int) {
	for i := range count {
		sim.At(time.Duration(i)*time.Second, func() {
			sim.Users.SubmitJob(jobs.Spec{
				ID: fmt.Sprintf("job-%s%03d", first, i), Class: "short", Team: team, Tasks: tasks, CPUs: 1, MemoryGB: 1, Image: "i", AllowsSpot: true,
				SingleZone: i%3 == 1, SpreadAcrossZones: i%3 == 2, Priority: jobs.High, RunTimeEstimate: 2 * time.Second,
			}, 2*time.Second)
		})
	}
}

// A leader ends while half of the machines are away for longer than their leases. Jobs that the next one accepts start on the others
// before those leases are over; nothing that may run out of sight starts again, and a team at its limit stays within it.
func TestAcceptedJobsStartDuringFailover(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		sim, leader := clusterAtQuota(t, seed)
		for _, m := range sim.Cloud.randomMachines(len(sim.Cloud.runningMachines()) / 2) {
			m.hangsUntil = sim.Now.Add(sim.Options.WorkerLease + 4*time.Second)
		}
		sim.Crash(leader, time.Duration(seed)*time.Second)
		sim.Run(1500 * time.Millisecond)
		sim.submitShortJobs("red", "61", 8, 3)
		sim.submitShortJobs("blue", "62", 8, 3)
		began := 0
		for end := sim.Now.Add(10 * time.Second); sim.Now.Before(end) && !sim.isPlacing() && len(sim.Violations) == 0; {
			sim.Run(100 * time.Millisecond)
			began = sim.Users.countJobs(func(j *observedJob) bool { return j.spec.Class == "short" && !j.firstStartedAt.IsZero() })
		}
		if began < 3 {
			t.Errorf("seed %d: only %d jobs of the new leader began before all machines were accounted for", seed, began)
		}
		expectAllFinished(t, sim, seed)
	}
}

// A team is at its limit when the leader changes, twice in a row, some of its machines cannot be asked, and jobs of it are cancelled
// in that spell: what may still run counts, also of the cancelled ones, until it is gone.
func TestQuotaDuringFailover(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		sim, leader := clusterAtQuota(t, seed)
		for _, m := range sim.Cloud.randomMachines(len(sim.Cloud.runningMachines()) / 2) {
			for i := range sim.controllers {
				sim.CutLink(controllerName(i), m.id, time.Duration(9+seed)*time.Second)
			}
		}
		sim.Users.CancelLongest(3, 0)
		sim.At(100*time.Millisecond*time.Duration(1+seed*2), func() { sim.Crash(leader, 500*time.Millisecond) })
		sim.At(4*time.Second, func() {
			if l := sim.LeaderIndex(); l >= 0 {
				sim.Crash(l, 500*time.Millisecond)
			}
		})
		sim.At(5*time.Second, func() { sim.Users.CancelLongest(2, 6*time.Second) })
		sim.submitShortJobs("red", "63", 10, 8)
		sim.Run(20 * time.Second)
		expectAllFinished(t, sim, seed)
	}
}

// Machines reach no controller, while commands reach them. The tasks of cancelled jobs there are gone in time, through a takeover, and
// when a machine is back within a second of its lease's end; nothing runs twice.
func TestOutboundUnreachableMachines(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		sim, leader := busyCluster(t, seed)
		sim.Cloud.CutOutbound(len(sim.Cloud.runningMachines())/2, sim.Options.WorkerLease+time.Duration(seed)*400*time.Millisecond-600*time.Millisecond)
		sim.Users.CancelLongest(4, 0)
		if seed%2 == 0 {
			sim.At(time.Second, func() { sim.Crash(leader, time.Second) })
		}
		sim.Run(15 * time.Second)
		sim.Cloud.CutOutbound(6, 20*time.Second)
		sim.At(time.Second, func() { sim.State.Outage(sim.Options.CancelTimeout + 3*time.Second) })
		sim.At(500*time.Millisecond, func() { sim.Users.CancelLongest(3, 0) })
		sim.Run(40 * time.Second)
		expectAllFinished(t, sim, seed)
	}
}

// All controllers are away for longer than a lease, just after cancellations: every session is a new one, results that came to
// an end meanwhile are lost with it and their tasks run again, and there is no flood of machines or starts.
func TestAllControllersDownPastLease(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		sim, _ := busyCluster(t, seed)
		sim.Cloud.DuplicateHeartbeats(30 * time.Second)
		sim.Users.CancelLongest(3, time.Duration(seed)*3*time.Second)
		sim.Run(400 * time.Millisecond)
		machines, ran := len(sim.Cloud.machineIDs), sim.checker.TaskStarts
		for i := range sim.controllers {
			sim.Crash(i, sim.Options.WorkerLease+time.Duration(1+int(seed)*i)*time.Second)
		}
		sim.Run(30 * time.Second)
		if more := len(sim.Cloud.machineIDs) - machines; more > machines/2 {
			t.Errorf("seed %d: %d machines more are rented, after %d", seed, more, machines)
		}
		if again := sim.checker.TaskStarts - ran; again > 160 {
			t.Errorf("seed %d: %d starts of some 80 tasks", seed, again)
		}
		expectAllFinished(t, sim, seed)
	}
}

// A report is held up until the next leader has acted, and then arrives there, with what that one has replaced or cancelled.
func TestHeartbeatDelayedPastFailover(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		sim, leader := busyCluster(t, seed)
		late := 0
		for _, m := range sim.Cloud.runningMachines() {
			old, err := encode(m.heartbeat())
			if err != nil {
				t.Fatal(err)
			}
			for i := range 12 {
				sim.At(time.Duration(2000+700*i)*time.Millisecond, func() {
					if l := sim.LeaderIndex(); l >= 0 {
						late++
						sim.deliverRequest(controllerName(l), false, "POST", "/v1/report", old, func(int, any) {})
					}
				})
			}
			if late%3 == 0 {
				m.hangsUntil = sim.Now.Add(3 * time.Second)
			}
		}
		sim.Crash(leader, time.Second)
		sim.At(1500*time.Millisecond, func() { sim.Users.CancelLongest(4, 0) })
		sim.At(3*time.Second, func() { sim.Cloud.RestartMachine(200*time.Millisecond, seed%2 == 0) })
		sim.Run(15 * time.Second)
		if late < 20 {
			t.Errorf("seed %d: %d late reports", seed, late)
		}
		expectAllFinished(t, sim, seed)
	}
}

// Cancellations, questions and repeated submissions meet the end of a job's last task: one final state in every answer, of every
// controller, also after the job is sealed; without other troubles, and with commits of unknown outcome.
func TestCancellationAsJobsEnd(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		sim, leader := busyCluster(t, seed)
		sim.Users.CancelAsJobsEnd(1, time.Minute)
		sim.submitShortJobs("none", "64", 40, 2)
		if seed%3 == 1 {
			sim.State.DelayTransactions(0.3, 40*time.Second)
		}
		if seed%3 == 2 {
			sim.At(12*time.Second, func() { sim.Crash(leader, time.Second) })
			sim.At(20*time.Second, func() { sim.State.Refuse(sim.State.leaderName(), 4*time.Second) })
		}
		for i := range 60 {
			sim.At(time.Duration(i)*time.Second, sim.Users.SendInvalidRequest)
		}
		sim.Run(70 * time.Second)
		both := [2]int{sim.Users.CancelledCount(), sim.Users.countJobs(func(j *observedJob) bool { return j.cancelRequested && !j.finishedAt.IsZero() })}
		if both[0]+both[1] < 20 || both[1] == 0 {
			t.Errorf("seed %d: %d cancelled, %d done though their users asked to cancel them", seed, both[0], both[1])
		}
		expectAllFinished(t, sim, seed)
	}
}

// Leaders change ten times in two minutes, some of it inside an outage; then all end, and one returns within a second.
func TestTenFailoversInTwoMinutes(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		sim, _ := busyCluster(t, seed)
		sim.watchSingleLeader()
		sim.submitShortJobs("none", "65", 100, 2)
		led := map[uint64]bool{}
		for i := range 10 {
			sim.At(time.Duration(i)*11*time.Second, func() {
				led[sim.State.leaderRevision()] = true
				if l := sim.LeaderIndex(); l >= 0 && i%3 != 2 {
					sim.Crash(l, time.Duration(300+500*i)*time.Millisecond)
				} else if l >= 0 {
					sim.State.Refuse(controllerName(l), 5*time.Second)
				}
			})
		}
		sim.At(43*time.Second, func() { sim.State.Outage(14 * time.Second) })
		sim.At(50*time.Second, func() { sim.Users.CancelLongest(3, 5*time.Second) })
		sim.Run(115 * time.Second)
		if len(led) < 7 {
			t.Errorf("seed %d: %d leaders", seed, len(led))
		}
		for i := range sim.controllers {
			sim.Crash(i, time.Duration(500+4000*((i+int(seed))%3))*time.Millisecond)
		}
		served := Served{}
		sim.Run(2 * time.Minute)
		for _, id := range sim.Users.jobIDs {
			if j := sim.checker.jobs[id]; j.spec.Class == "short" && !j.acceptedAt.IsZero() && !j.cancelRequested {
				served = served.with(j)
			}
		}
		if served.Share() < 0.9 {
			t.Errorf("seed %d: %.2f of the short jobs are done", seed, served.Share())
		}
		expectAllFinished(t, sim, seed)
	}
}

// Jobs bound to one zone, arrays too, lose machines, some of them out of sight and not gone, while the leader ends: no task starts in
// another zone while one may still be in the first, and all are done in the end.
func TestZoneBoundJobsLoseMachines(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		opt := testOptions()
		opt.NoTaskFailures = true
		sim := New(seed, opt, testLogger())
		for i := range 10 {
			s := jobs.Spec{
				ID:              fmt.Sprintf("job-7%03d", i),
				Class:           "bound",
				Team:            "blue",
				Tasks:           4,
				CPUs:            1,
				MemoryGB:        1,
				Image:           "i",
				AllowsSpot:      true,
				RunTimeEstimate: 25 * time.Second,
			}
			switch i % 3 {
			case 0:
				s.SingleZone = true
			case 1:
				s.SpreadAcrossZones = true
			default:
				s.Zone = "b"
			}
			sim.Users.SubmitJob(s, 25*time.Second)
		}
		for i := range 8 {
			sim.At(time.Duration(15+4*i)*time.Second, func() {
				sim.Cloud.FailMachine()
				sim.Cloud.HangMachine(5 * time.Second)
				sim.Cloud.CutMachine(12 * time.Second)
				sim.Cloud.ReclaimMachine(0)
			})
		}
		sim.At(22*time.Second, func() {
			if l := sim.LeaderIndex(); l >= 0 {
				sim.Crash(l, time.Second)
			}
		})
		sim.Run(50 * time.Second)
		expectAllFinished(t, sim, seed)
	}
}

// Jobs are cancelled at the very moment at which the state service refuses the leader alone; their machines hang, and a second later
// it is away for all for longer than users are told.
func TestCancellationAsLeaderIsRefused(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		sim, leader := busyCluster(t, seed)
		sim.Users.CancelLongest(5, time.Duration(seed)*3*time.Second)
		sim.At(time.Duration(seed)*40*time.Millisecond, func() { sim.State.Refuse(controllerName(leader), 12*time.Second) })
		sim.At(time.Second, func() { sim.State.Outage(sim.Options.CancelTimeout + 12*time.Second) })
		sim.Run(50 * time.Second)
		expectAllFinished(t, sim, seed)
	}
}

// A zone with workers and a controller is cut off for longer than a lease: the leader is in it, or it is not.
func TestPartitionedZoneWithController(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		sim, leader := busyCluster(t, seed)
		sim.watchSingleLeader()
		sim.Users.CancelLongest(2, 0)
		sim.At(300*time.Millisecond, func() {
			sim.CutZone([]string{"a", "b"}[seed%2], []int{(leader + int(seed/2)) % len(sim.controllers)}, sim.Options.WorkerLease+time.Duration(4+seed)*time.Second)
		})
		sim.At(4*time.Second, func() { sim.Users.CancelLongest(2, 0) })
		sim.Run(30 * time.Second)
		expectAllFinished(t, sim, seed)
	}
}

// More work than there is room for, urgent and not, over links that lose and hold up much: every rule, and an end.
func TestOverloadOverLossyLinks(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		opt := testOptions()
		opt.LossShare, opt.NoTaskFailures, opt.MachinesPerKind = 0.03, true, 2
		sim := New(seed, opt, testLogger())
		for i := range 60 {
			sim.At(time.Duration(i)*700*time.Millisecond, func() {
				sim.Users.SubmitJob(jobs.Spec{
					ID: fmt.Sprintf("job-66%02d", i), Class: "heap", Team: "blue", Tasks: 6, CPUs: 2, MemoryGB: 1, Image: "i", AllowsSpot: true,
					Priority: jobs.Priority(i % 4), RunTimeEstimate: 8 * time.Second, Deadline: time.Duration(i%2) * 40 * time.Second,
				}, 8*time.Second)
			})
		}
		sim.State.SlowDown(40 * time.Second)
		sim.At(20*time.Second, func() { sim.Users.CancelLongest(6, 5*time.Second) })
		sim.Run(8 * time.Minute)
		expectAllFinished(t, sim, seed)
	}
}

// The checker itself: jobs that wait while machines have room are told of, and what was accepted though it cannot run.
func TestCheckerReportsStartableJobsLeftWaiting(t *testing.T) {
	t.Parallel()
	sim, _ := busyCluster(t, 1)
	for _, c := range sim.controllers {
		c.controller = nil // they do nothing any more, and the world calls that no trouble
		c.generation++
	}
	var hear func() // what nobody answers is another condition
	hear = func() {
		for _, j := range sim.checker.jobs {
			j.lastAnsweredAt = sim.Now
		}
		sim.At(time.Second, hear)
	}
	hear()
	sim.Run(sim.Options.WorkerLease + maxStartableWait)
	if len(sim.Violations) > 0 {
		t.Fatalf("too early: %v", sim.Violations)
	}
	if sim.Run(20 * time.Second); len(sim.Violations) == 0 {
		t.Error("nobody tells of jobs that are left waiting")
	}
	sim = New(1, testOptions(), testLogger())
	sim.Run(8 * time.Second)
	s := jobs.Spec{
		ID:              "job-1",
		Class:           "c",
		Team:            "red",
		Tasks:           1,
		CPUs:            1,
		MemoryGB:        1,
		Image:           "i",
		AllowsSpot:      true,
		RunTimeEstimate: time.Second,
	}
	for range 5 { // one of them gets through
		sim.Users.mustReject(s.ID, SubmissionFields(s), 422)
	}
	sim.Run(3 * time.Second)
	if len(sim.Violations) == 0 {
		t.Error("nobody tells of a job that was accepted")
	}
}

package simulator

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
)

// A leader crashes while half of the machines hang for longer than their leases. Jobs that the next leader accepts must start on the other
// machines before those leases expire. No task that may still run elsewhere may start again, and a team at its quota must stay within it.
func TestAcceptedJobsStartDuringFailover(t *testing.T) {
	forEachSeed(t, 4, clusterAtQuota, func(sim scenario) {
		for _, m := range sim.Cloud.randomMachines(len(sim.Cloud.runningMachines()) / 2) {
			m.hangsUntil = sim.Now.Add(sim.Options.WorkerLease + 4*time.Second)
		}
		sim.Crash(sim.leader, time.Duration(sim.seed)*time.Second)
		sim.Run(1500 * time.Millisecond)
		sim.submitShortJobs("red", "61", 8, 3)
		sim.submitShortJobs("blue", "62", 8, 3)
		started := 0
		for end := sim.Now.Add(10 * time.Second); sim.Now.Before(end) && !sim.isPlacing() && len(sim.Violations) == 0; {
			sim.Run(100 * time.Millisecond)
			started = sim.Users.countJobs(func(j *observedJob) bool { return j.spec.Class == "short" && !j.firstStartedAt.IsZero() })
		}
		if started < 3 {
			sim.t.Errorf("jobs of the new leader that started before failover had completed: got %d, want at least 3", started)
		}
	})
}

// A team is at its quota during two failovers in a row. Some machines are unreachable, and jobs of the team are cancelled meanwhile. Tasks
// that may still run must count towards the quota, including those of cancelled jobs, until they are known to have stopped.
func TestQuotaDuringFailover(t *testing.T) {
	forEachSeed(t, 4, clusterAtQuota, func(sim scenario) {
		for _, m := range sim.Cloud.randomMachines(len(sim.Cloud.runningMachines()) / 2) {
			for i := range sim.controllers {
				sim.CutLink(controllerName(i), m.id, time.Duration(9+sim.seed)*time.Second)
			}
		}
		sim.Users.CancelLongest(3, 0)
		sim.At(100*time.Millisecond*time.Duration(1+sim.seed*2), func() { sim.Crash(sim.leader, 500*time.Millisecond) })
		sim.At(4*time.Second, func() {
			if l := sim.LeaderIndex(); l >= 0 {
				sim.Crash(l, 500*time.Millisecond)
			}
		})
		sim.At(5*time.Second, func() { sim.Users.CancelLongest(2, 6*time.Second) })
		sim.submitShortJobs("red", "63", 10, 8)
		sim.Run(20 * time.Second)
	})
}

// Commands reach the machines, but the heartbeats of the machines reach no controller. Tasks of cancelled jobs must stop in time, also
// during a failover and if a machine's heartbeats arrive again within a second of the end of its lease. No task may run twice.
func TestOutboundUnreachableMachines(t *testing.T) {
	forEachSeed(t, 4, busyCluster, func(sim scenario) {
		sim.Cloud.CutOutbound(
			len(sim.Cloud.runningMachines())/2,
			sim.Options.WorkerLease+time.Duration(sim.seed)*400*time.Millisecond-600*time.Millisecond,
		)
		sim.Users.CancelLongest(4, 0)
		if sim.seed%2 == 0 {
			sim.At(time.Second, func() { sim.Crash(sim.leader, time.Second) })
		}
		sim.Run(15 * time.Second)
		sim.Cloud.CutOutbound(6, 20*time.Second)
		sim.At(time.Second, func() { sim.State.Outage(sim.Options.CancelTimeout + 3*time.Second) })
		sim.At(500*time.Millisecond, func() { sim.Users.CancelLongest(3, 0) })
		sim.Run(40 * time.Second)
	})
}

// All controllers are down for longer than a lease just after cancellations. Every worker begins a new incarnation, and tasks whose results
// were lost with the old one run again. The controllers must not request too many instances or starts.
func TestAllControllersDownPastLease(t *testing.T) {
	forEachSeed(t, 4, busyCluster, func(sim scenario) {
		sim.Cloud.DuplicateHeartbeats(30 * time.Second)
		sim.Users.CancelLongest(3, time.Duration(sim.seed)*3*time.Second)
		sim.Run(400 * time.Millisecond)
		instancesBefore, startsBefore := len(sim.Cloud.machineIDs), sim.checker.TaskStarts
		for i := range sim.controllers {
			sim.Crash(i, sim.Options.WorkerLease+time.Duration(1+int(sim.seed)*i)*time.Second)
		}
		sim.Run(30 * time.Second)
		if furtherInstances := len(sim.Cloud.machineIDs) - instancesBefore; furtherInstances > instancesBefore/2 {
			sim.t.Errorf("further instances requested: got %d, want at most half of the %d before", furtherInstances, instancesBefore)
		}
		if restarts := sim.checker.TaskStarts - startsBefore; restarts > 160 {
			sim.t.Errorf("starts of about 80 tasks: got %d, want at most 160", restarts)
		}
	})
}

// Heartbeats arrive so late that the next leader has already replaced or cancelled the tasks that they list. No rule may be broken.
func TestHeartbeatDelayedPastFailover(t *testing.T) {
	forEachSeed(t, 4, busyCluster, func(sim scenario) {
		delivered := 0
		for _, m := range sim.Cloud.runningMachines() {
			heartbeat, err := encode(m.heartbeat())
			if err != nil {
				sim.t.Fatalf("encode a heartbeat: %v", err)
			}
			for i := range 12 {
				sim.At(time.Duration(2000+700*i)*time.Millisecond, func() {
					if l := sim.LeaderIndex(); l >= 0 {
						delivered++
						sim.deliverHeartbeat(controllerName(l), heartbeat, ignoreResponse)
					}
				})
			}
			if delivered%3 == 0 {
				m.hangsUntil = sim.Now.Add(3 * time.Second)
			}
		}
		sim.Crash(sim.leader, time.Second)
		sim.At(1500*time.Millisecond, func() { sim.Users.CancelLongest(4, 0) })
		sim.At(3*time.Second, func() { sim.Cloud.RestartMachine(200*time.Millisecond, sim.seed%2 == 0) })
		sim.Run(15 * time.Second)
		if delivered < 20 {
			sim.t.Errorf("delayed heartbeats delivered: got %d, want at least 20", delivered)
		}
	})
}

// Cancellations, polls and repeated submissions arrive when the last task of a job completes. All controllers must respond with the same
// final state, also after the job is archived. A third of the seeds has no other faults, a third has transactions of unknown outcome, and a
// third has failovers.
func TestCancellationAsJobsEnd(t *testing.T) {
	forEachSeed(t, 6, busyCluster, func(sim scenario) {
		sim.Users.CancelAsJobsEnd(1, time.Minute)
		sim.submitShortJobs(noTeam, "64", 40, 2)
		if sim.seed%3 == 1 {
			sim.State.DelayTransactions(0.3, 40*time.Second)
		}
		if sim.seed%3 == 2 {
			sim.At(12*time.Second, func() { sim.Crash(sim.leader, time.Second) })
			sim.At(20*time.Second, func() { sim.State.Refuse(sim.State.leaderName(), 4*time.Second) })
		}
		for i := range 60 {
			sim.At(time.Duration(i)*time.Second, sim.Users.SendInvalidRequest)
		}
		sim.Run(70 * time.Second)
		cancelled := sim.Users.CancelledCount()
		doneAnyway := sim.Users.countJobs(func(job *observedJob) bool { return job.cancelRequested && !job.finishedAt.IsZero() })
		if cancelled+doneAnyway < 20 || doneAnyway == 0 {
			sim.t.Errorf("jobs cancelled, and done despite a cancellation request: got %d and %d, want at least 20 together and 1 done",
				cancelled, doneAnyway)
		}
	})
}

// The leader changes ten times in two minutes, partly during an outage. Then all controllers crash, and one restarts within a second.
func TestTenFailoversInTwoMinutes(t *testing.T) {
	forEachSeed(t, 3, busyCluster, func(sim scenario) {
		sim.watchSingleLeader()
		sim.submitShortJobs(noTeam, "65", 100, 2)
		tokens := map[uint64]bool{}
		for i := range 10 {
			sim.At(time.Duration(i)*11*time.Second, func() {
				tokens[sim.State.leaderRevision()] = true
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
		if len(tokens) < 7 {
			sim.t.Errorf("different fencing tokens: got %d, want at least 7", len(tokens))
		}
		for i := range sim.controllers {
			sim.Crash(i, time.Duration(500+4000*((i+int(sim.seed))%3))*time.Millisecond)
		}
		sim.Run(2 * time.Minute)
		if served := sim.servedOf("short"); served.Share() < 0.9 {
			sim.t.Errorf("share of short jobs done: got %.2f, want at least 0.9", served.Share())
		}
	})
}

// Jobs that are bound to one zone, or spread across zones, lose machines while the leader crashes. Some of the machines are only
// unreachable and may still run tasks. No task of a bound job may start in another zone while one may still run in the first. All jobs
// must finish.
func TestZoneBoundJobsLoseMachines(t *testing.T) {
	forEachSeed(t, 4, clusterWithoutTaskFailures, func(sim scenario) {
		for i := range 10 {
			spec := jobArray(fmt.Sprintf("job-7%03d", i), "bound", "blue", 4, 25*time.Second)
			switch i % 3 {
			case 0:
				spec.SingleZone = true
			case 1:
				spec.SpreadAcrossZones = true
			default:
				spec.Zone = "b"
			}
			sim.Users.SubmitJob(spec, 25*time.Second)
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
	})
}

// Jobs are cancelled at about the time when the state service begins to refuse only the leader. The machines of these jobs hang. A second
// later the state service has an outage longer than the cancellation timeout.
func TestCancellationAsLeaderIsRefused(t *testing.T) {
	forEachSeed(t, 6, busyCluster, func(sim scenario) {
		sim.Users.CancelLongest(5, time.Duration(sim.seed)*3*time.Second)
		sim.At(time.Duration(sim.seed)*40*time.Millisecond, func() { sim.State.Refuse(controllerName(sim.leader), 12*time.Second) })
		sim.At(time.Second, func() { sim.State.Outage(sim.Options.CancelTimeout + 12*time.Second) })
		sim.Run(50 * time.Second)
	})
}

// A zone with workers and one controller is cut off for longer than a lease. Depending on the seed that controller is the leader.
func TestPartitionedZoneWithController(t *testing.T) {
	forEachSeed(t, 6, busyCluster, func(sim scenario) {
		sim.watchSingleLeader()
		sim.Users.CancelLongest(2, 0)
		sim.At(300*time.Millisecond, func() {
			sim.CutZone(
				[]string{"a", "b"}[sim.seed%2],
				[]int{(sim.leader + int(sim.seed/2)) % len(sim.controllers)},
				sim.Options.WorkerLease+time.Duration(4+sim.seed)*time.Second,
			)
		})
		sim.At(4*time.Second, func() { sim.Users.CancelLongest(2, 0) })
		sim.Run(30 * time.Second)
	})
}

// The cluster gets more jobs than it can run, of all priorities, while links lose messages and the state service is slow. No rule may be
// broken, and all jobs must finish.
func TestOverloadOverLossyLinks(t *testing.T) {
	forEachSeed(t, 3, overloadedLossyCluster, func(sim scenario) {
		for i := range 60 {
			sim.At(time.Duration(i)*700*time.Millisecond, func() {
				spec := jobArray(fmt.Sprintf("job-66%02d", i), "heap", "blue", 6, 8*time.Second)
				spec.CPUs, spec.Priority, spec.Deadline = 2, jobs.Priority(i%4), time.Duration(i%2)*40*time.Second
				sim.Users.SubmitJob(spec, 8*time.Second)
			})
		}
		sim.State.SlowDown(40 * time.Second)
		sim.At(20*time.Second, func() { sim.Users.CancelLongest(6, 5*time.Second) })
		sim.Run(8 * time.Minute)
	})
}

// Tests the checker itself: it must report jobs that wait although machines have capacity, and an invalid job that is accepted.
func TestCheckerReportsStartableJobsLeftWaiting(t *testing.T) {
	t.Parallel()
	sim := busyCluster(t, 1).Cluster
	for _, process := range sim.controllers {
		process.controller = nil // stopped without a restart, which the simulator does not count as a fault
		process.generation++
	}
	var recordResponses func() // polls without a response would break RuleForgotten first
	recordResponses = func() {
		for _, job := range sim.checker.jobs {
			job.lastResponseAt = sim.Now
		}
		sim.At(time.Second, recordResponses)
	}
	recordResponses()
	sim.Run(sim.Options.WorkerLease + maxStartableWait)
	if len(sim.Violations) > 0 {
		t.Fatalf("violations before maxStartableWait has passed: got %v, want none", sim.Violations)
	}
	if sim.Run(20 * time.Second); len(sim.Violations) == 0 {
		t.Errorf("violations for jobs that are left waiting: got none, want one of %s", RuleLeftWaiting)
	}
	sim = New(1, testOptions(), testLogger())
	sim.Run(8 * time.Second)
	spec := jobArray("job-1", "c", "red", 1, time.Second)
	for range 5 { // five attempts, because messages can be lost
		sim.Users.expectRejected(spec.ID, SubmissionFields(spec), http.StatusUnprocessableEntity)
	}
	sim.Run(3 * time.Second)
	if len(sim.Violations) == 0 {
		t.Errorf("violations for an invalid job that was accepted: got none, want one of %s", RuleInvalidAccepted)
	}
}

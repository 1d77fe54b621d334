package simulator

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// scheduledFault is a fault of a random schedule. Its severity is 0 to 2 and is also the index of the affected controller. rapid can shrink
// all fields.
type scheduledFault struct {
	Fault
	at   time.Duration
	kind int // index in randomScheduleKinds
}

// randomScheduleKinds are the kinds of faults in random schedules of a small cluster. rapid draws them by index, so new kinds must be
// appended.
var randomScheduleKinds = []FaultKind{
	{"controller crash", func(sim *Cluster, fault Fault) { sim.Crash(fault.Severity, 2*time.Second+fault.Span/4) }},
	{"crash of all controllers", func(sim *Cluster, _ Fault) { sim.crashAll(2 * time.Second) }},
	{"outage", func(sim *Cluster, fault Fault) { sim.State.Outage(fault.Span) }},
	{"controller refused by the state service", func(sim *Cluster, fault Fault) {
		sim.State.Refuse(controllerName(fault.Severity), fault.Span)
	}},
	{"controller paused", func(sim *Cluster, fault Fault) { sim.Pause(fault.Severity, fault.Span/3) }},
	{"cut between controllers", func(sim *Cluster, fault Fault) {
		sim.CutLink(controllerName(fault.Severity), controllerName((fault.Severity+1)%sim.Options.Controllers), fault.Span)
	}},
	{"cut from the state service", func(sim *Cluster, fault Fault) { sim.CutLink(controllerName(fault.Severity), stateHost, fault.Span) }},
	{"cut from the cloud", func(sim *Cluster, fault Fault) { sim.CutLink(controllerName(fault.Severity), cloudHost, fault.Span) }},
	{"machine cut off", func(sim *Cluster, fault Fault) { sim.Cloud.CutMachine(fault.Span) }},
	{"machine hangs", func(sim *Cluster, fault Fault) { sim.Cloud.HangMachine(fault.Span) }},
	{"machine reclaimed", func(sim *Cluster, fault Fault) {
		sim.Cloud.ReclaimMachine(time.Duration(fault.Severity) * 3 * time.Second)
	}},
	{"machine fails", func(sim *Cluster, _ Fault) { sim.Cloud.FailMachine() }},
	{"inbound unreachable machines", func(sim *Cluster, fault Fault) {
		sim.Cloud.CutInbound(1+fault.Severity*2, fault.Severity == 0, fault.Span)
	}},
	{"duplicate heartbeats", func(sim *Cluster, fault Fault) { sim.Cloud.DuplicateHeartbeats(fault.Span) }},
	{"controller isolated", func(sim *Cluster, fault Fault) { sim.IsolateController(fault.Severity, fault.HostGroups, fault.Span) }},
	{"controller with its workers only", func(sim *Cluster, fault Fault) {
		sim.IsolateController(fault.Severity, FromState|FromControllers, fault.Span)
	}},
	{"quick restart of a controller", func(sim *Cluster, fault Fault) { sim.Crash(fault.Severity, fault.RestartAfter) }},
	{"quick restart of all controllers", func(sim *Cluster, fault Fault) { sim.crashAll(fault.RestartAfter) }},
	{"machine restarts", func(sim *Cluster, fault Fault) { sim.Cloud.RestartMachine(fault.RestartAfter, fault.Severity > 0) }},
	{"crash during an election", func(sim *Cluster, fault Fault) {
		sim.CrashAtElectionEvent(electionEvent(fault.HostGroups%electionEventCount), fault.Span, fault.RestartAfter)
		if fault.Severity == 0 { // triggers an election
			sim.State.Refuse(sim.State.leaderName(), 3*time.Second)
		} else {
			sim.State.Outage(4 * time.Second)
		}
	}},
	{"leader refused, then outage", func(sim *Cluster, fault Fault) {
		sim.State.RefuseLeaderThenAll(time.Second+fault.RestartAfter, sim.Options.CancelTimeout+fault.Span)
		sim.At(time.Second, func() { sim.Users.CancelRandom(5) })
	}},
	{"late transactions", func(sim *Cluster, fault Fault) {
		sim.State.DelayTransactions(0.1+0.3*float64(fault.Severity), fault.Span)
	}},
	{"slow state service", func(sim *Cluster, fault Fault) { sim.State.SlowDown(fault.Span) }},
	{"delayed machines", func(sim *Cluster, fault Fault) {
		sim.Cloud.DelayMachines(1+2*fault.Severity, min(fault.Span, 6*time.Second))
	}},
	{"leadership handed over", func(sim *Cluster, fault Fault) {
		sim.State.HandOverLeadership(2+fault.Severity, time.Second+fault.RestartAfter)
	}},
	{"cancellations", func(sim *Cluster, fault Fault) { sim.Users.CancelRandom(2 + 3*fault.Severity) }},
	{"elected leader cannot read the state", func(sim *Cluster, fault Fault) {
		sim.Users.CancelRandom(3)
		sim.OnElectionEvent(keyWritten, func(string) { sim.State.Outage(fault.Span) })
		sim.crashLeader(fault.RestartAfter)
	}},
	{"controllers return one by one", func(sim *Cluster, fault Fault) {
		for i := range sim.Options.Controllers {
			sim.Crash(i, fault.RestartAfter+time.Duration((i+fault.Severity)%sim.Options.Controllers)*time.Second)
		}
	}},
	{"leadership handed back", func(sim *Cluster, fault Fault) {
		sim.State.Refuse(sim.State.leaderName(), time.Second+fault.RestartAfter)
		sim.At(2*time.Second, func() { sim.State.Refuse(sim.State.leaderName(), fault.Span) })
	}},
	{"outbound unreachable machines", func(sim *Cluster, fault Fault) { sim.Cloud.CutOutbound(1+3*fault.Severity, fault.Span) }},
	{"all controllers down past a lease", func(sim *Cluster, fault Fault) {
		for i := range sim.Options.Controllers {
			sim.Crash(i, sim.Options.WorkerLease+time.Second+fault.Span/2+time.Duration(i*fault.Severity)*time.Second)
		}
	}},
	{"cancellations as jobs end", func(sim *Cluster, fault Fault) {
		sim.Users.CancelAsJobsEnd(0.3+0.3*float64(fault.Severity), fault.Span)
	}},
	{"cancellations of the longest jobs", func(sim *Cluster, fault Fault) {
		sim.Users.CancelLongest(2+2*fault.Severity, time.Duration(fault.Severity)*4*time.Second)
	}},
	{"cancellations as the leader is refused, then outage", func(sim *Cluster, fault Fault) {
		sim.Users.CancelLongest(4, time.Duration(fault.Severity)*4*time.Second)
		sim.State.RefuseLeaderThenAll(time.Second, sim.Options.CancelTimeout+fault.Span)
	}},
	{"invalid requests", func(sim *Cluster, fault Fault) {
		for i := range 10 {
			sim.At(time.Duration(i)*fault.Span/10, sim.Users.SendInvalidRequest)
		}
	}},
	{"zone cut off", func(sim *Cluster, fault Fault) {
		sim.CutZone(zoneOf(fault), []int{fault.Severity}, sim.Options.WorkerLease+fault.Span)
	}},
	{"outbound unreachable machines and a leader's crash", func(sim *Cluster, fault Fault) {
		sim.Cloud.CutOutbound(1+3*fault.Severity, fault.Span)
		sim.crashLeader(fault.RestartAfter)
	}},
}

func drawFaults(t *rapid.T) []scheduledFault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) scheduledFault {
		at := time.Duration(rapid.IntRange(2000, 80_000).Draw(t, "at")) * time.Millisecond
		span := time.Duration(rapid.IntRange(500, 25_000).Draw(t, "span")) * time.Millisecond
		kind := rapid.IntRange(0, len(randomScheduleKinds)-1).Draw(t, "kind")
		return scheduledFault{at: at, kind: kind, Fault: Fault{
			Kind:         randomScheduleKinds[kind].Name,
			Span:         span,
			Severity:     rapid.IntRange(0, 2).Draw(t, "severity"),
			HostGroups:   rapid.IntRange(1, 1<<hostGroupCount-1).Draw(t, "host groups"),
			RestartAfter: time.Duration(rapid.IntRange(1, 900).Draw(t, "restart after")) * time.Millisecond,
		}}
	}), 1, 10).Draw(t, "faults")
}

func runWithFaults(seed uint64, faults []scheduledFault) *Cluster {
	sim := New(seed, testOptions(), testLogger())
	sim.watchSingleLeader()
	for i := range 30 {
		sim.At(time.Duration(i)*2500*time.Millisecond, sim.Users.SubmitRandom)
		sim.At(time.Duration(i)*3*time.Second, sim.Users.QueryUnknownJob)
	}
	for _, fault := range faults {
		sim.At(fault.at, func() { randomScheduleKinds[fault.kind].inject(sim, fault.Fault) })
	}
	sim.Run(100 * time.Second)
	return sim
}

// The rules must hold under any schedule of crashes, outages, cuts, pauses, and lost and late messages. All accepted jobs must finish
// afterwards.
func TestInvariantsUnderRandomFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		sim := runWithFaults(seed, drawFaults(t))
		sim.Run(150 * time.Second)
		expectNoViolations(t, sim)
		if n := sim.Users.UnfinishedCount(); n > 0 {
			t.Fatalf("accepted jobs not finished two and a half minutes after the faults: got %d, want 0", n)
		}
	})
}

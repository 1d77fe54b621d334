package simulator

import (
	"slices"
	"time"
)

// Fault is one injected fault. Each kind says which of the fields it reads.
type Fault struct {
	Kind         string
	Span         time.Duration // how long it lasts
	RestartAfter time.Duration // until a crashed controller or machine is back
	Severity     int           // how much is hit; each table says its range
	HostGroups   int           // set of far sides, at least one; also selects among variants
}

// FaultKind is a kind of fault by its name.
type FaultKind struct {
	Name   string
	inject func(sim *Cluster, fault Fault)
}

// controllerIndex is the controller that a fault hits.
func (sim *Cluster) controllerIndex(fault Fault) int { return fault.Severity % sim.Options.Controllers }

// zoneOf is the zone that a fault hits.
func zoneOf(fault Fault) string { return []string{"a", "b"}[fault.HostGroups%2] }

// crashAll crashes all controllers at once.
func (sim *Cluster) crashAll(restartAfter time.Duration) {
	for i := range sim.Options.Controllers {
		sim.Crash(i, restartAfter)
	}
}

// crashLeader crashes the controller that holds the leader's key, if any does.
func (sim *Cluster) crashLeader(restartAfter time.Duration) {
	if leader := sim.LeaderIndex(); leader >= 0 {
		sim.Crash(leader, restartAfter)
	}
}

// faultRunKinds are the kinds that RunFaultDay injects into a large cluster, sorted by name: the random choice goes by position. Severity
// is 1 to 3. Names are values of an option of cmd/faulttest and stand in recorded measurements, so they keep their words.
var faultRunKinds = []FaultKind{
	{"all away", func(sim *Cluster, fault Fault) { sim.crashAll(fault.Span) }},
	{"all back at once", func(sim *Cluster, fault Fault) { sim.crashAll(fault.RestartAfter) }},
	{"cancellations", func(sim *Cluster, fault Fault) { sim.Users.CancelRandom(10 * fault.Severity) }},
	{"cancelled at the end", func(sim *Cluster, fault Fault) { sim.Users.CancelAsJobsEnd(0.1*float64(fault.Severity), fault.Span) }},
	{"cancelled now", func(sim *Cluster, fault Fault) { sim.Users.CancelLongest(5*fault.Severity, fault.Span/2) }},
	{"copies", func(sim *Cluster, fault Fault) { sim.Cloud.DuplicateHeartbeats(fault.Span) }},
	{"cut", func(sim *Cluster, fault Fault) {
		sim.IsolateController(sim.controllerIndex(fault), fault.HostGroups, fault.Span)
	}},
	{"deaf machines", func(sim *Cluster, fault Fault) {
		sim.Cloud.CutInbound(8*fault.Severity, fault.Severity%2 == 0, fault.Span)
	}},
	{"deaths", func(sim *Cluster, fault Fault) {
		for range 6 * fault.Severity {
			sim.Cloud.FailMachine()
			sim.Cloud.HangMachine(fault.Span)
		}
	}},
	{"election", func(sim *Cluster, fault Fault) {
		sim.CrashAtElectionEvent(electionEvent(fault.HostGroups%electionEventCount), fault.Span, fault.RestartAfter)
		sim.State.Refuse(sim.State.leaderName(), 3*time.Second)
	}},
	{"gap", func(sim *Cluster, fault Fault) {
		sim.State.RefuseLeaderThenAll(time.Second+fault.RestartAfter, min(fault.Span, sim.Options.CancelTimeout)+5*time.Second)
		sim.At(time.Second, func() { sim.Users.CancelRandom(10) })
	}},
	{"handed on", func(sim *Cluster, fault Fault) {
		sim.State.HandOverLeadership(1+fault.Severity, time.Second+fault.RestartAfter)
	}},
	{"held up", func(sim *Cluster, fault Fault) {
		sim.Cloud.DelayMachines(8*fault.Severity, min(fault.Span, 8*time.Second))
	}},
	{"late writes", func(sim *Cluster, fault Fault) { sim.State.DelayTransactions(0.1*float64(fault.Severity), fault.Span) }},
	{"mute machines", func(sim *Cluster, fault Fault) { sim.Cloud.CutOutbound(8*fault.Severity, fault.Span) }},
	{"odd requests", func(sim *Cluster, fault Fault) {
		count := 5 * fault.Severity
		for i := range count {
			sim.At(time.Duration(i)*fault.Span/time.Duration(count), sim.Users.SendInvalidRequest)
		}
	}},
	{"short absence", func(sim *Cluster, fault Fault) {
		sim.Crash(sim.controllerIndex(fault), fault.RestartAfter)
		for range 4 * fault.Severity {
			sim.Cloud.RestartMachine(fault.RestartAfter, fault.Severity%2 == 0)
		}
	}},
	{"slow state", func(sim *Cluster, fault Fault) { sim.State.SlowDown(fault.Span) }},
	{"state away", func(sim *Cluster, fault Fault) { sim.State.Outage(fault.Span / 2) }},
	{"won, not read", func(sim *Cluster, fault Fault) {
		sim.Users.CancelRandom(5)
		sim.OnElectionEvent(keyWritten, func(string) { sim.State.Outage(fault.Span) })
		sim.crashLeader(fault.RestartAfter)
	}},
	{"workers only", func(sim *Cluster, fault Fault) {
		sim.IsolateController(sim.controllerIndex(fault), FromState|FromControllers, fault.Span)
	}},
	{"zone away", func(sim *Cluster, fault Fault) {
		sim.CutZone(zoneOf(fault), []int{sim.controllerIndex(fault)}, fault.Span)
	}},
}

// FaultKinds lists the names of the kinds that RunFaultDay knows, sorted.
func FaultKinds() []string {
	names := make([]string, len(faultRunKinds))
	for i, kind := range faultRunKinds {
		names[i] = kind.Name
	}
	return names
}

// findFaultKind returns the kind with a name.
func findFaultKind(table []FaultKind, name string) (FaultKind, bool) {
	i := slices.IndexFunc(table, func(kind FaultKind) bool { return kind.Name == name })
	if i < 0 {
		return FaultKind{}, false
	}
	return table[i], true
}

package simulator

import (
	"slices"
	"time"
)

// Fault describes one injected fault. Each kind of fault uses some of the fields.
type Fault struct {
	Kind         string
	Span         time.Duration // how long it lasts
	RestartAfter time.Duration // until a crashed controller or machine restarts
	Severity     int           // extent of the fault; each table of kinds states the range
	HostGroups   int           // set of host groups, at least one; also selects the zone or election event
}

// FaultKind is a named kind of fault.
type FaultKind struct {
	Name   string
	inject func(sim *Cluster, fault Fault)
}

// controllerIndex returns the index of the controller that a fault affects.
func (sim *Cluster) controllerIndex(fault Fault) int { return fault.Severity % sim.Options.Controllers }

// zoneOf returns the zone that a fault affects.
func zoneOf(fault Fault) string { return []string{"a", "b"}[fault.HostGroups%2] }

// crashAll crashes all controllers at the same time.
func (sim *Cluster) crashAll(restartAfter time.Duration) {
	for i := range sim.Options.Controllers {
		sim.Crash(i, restartAfter)
	}
}

// crashLeader crashes the controller that holds the leader key, if any does.
func (sim *Cluster) crashLeader(restartAfter time.Duration) {
	if leader := sim.LeaderIndex(); leader >= 0 {
		sim.Crash(leader, restartAfter)
	}
}

// faultRunKinds are the kinds of faults that RunWithFaults injects into a large cluster. Severity is 1 to 3. The kinds are sorted by name
// and must stay so, since random choices select them by index. Names must not change: cmd/faulttest takes them as values of --kinds, and
// recorded measurements contain them.
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

// FaultKinds returns the names of the kinds that RunWithFaults accepts, sorted.
func FaultKinds() []string {
	names := make([]string, len(faultRunKinds))
	for i, kind := range faultRunKinds {
		names[i] = kind.Name
	}
	return names
}

// findFaultKind returns the kind with a name, or false if the table has none.
func findFaultKind(table []FaultKind, name string) (FaultKind, bool) {
	i := slices.IndexFunc(table, func(kind FaultKind) bool { return kind.Name == name })
	if i < 0 {
		return FaultKind{}, false
	}
	return table[i], true
}

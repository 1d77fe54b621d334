package simulator

import (
	"net/http"
	"strings"
	"time"

	"gullrudder/internal/controller/election"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
)

// Groups of hosts that a controller can be cut off from, as bits of a set.
const (
	FromState = 1 << iota
	FromControllers
	FromWorkers
	FromUsers
	FromCloud
	farSideCount = iota
)

// isolation cuts a controller off from a set of far sides.
type isolation struct {
	farSides int
	until    time.Time
}

// farSideOf is the group to which a host belongs, as a controller sees it.
func farSideOf(host string) int {
	switch {
	case host == stateHost:
		return FromState
	case host == cloudHost:
		return FromCloud
	case host == userHost:
		return FromUsers
	case strings.HasPrefix(host, "vm-"):
		return FromWorkers
	}
	return FromControllers
}

// IsolateController cuts a controller off from a set of far sides in both directions.
func (sim *Cluster) IsolateController(i, from int, span time.Duration) {
	sim.isolations[controllerName(i)] = isolation{from, sim.Now.Add(span)}
	sim.extendFaults(span)
}

// linkCutUntil is until when messages from one host to another do not get through.
func (sim *Cluster) linkCutUntil(from, to string) time.Time {
	until := sim.linkCuts[from+"|"+to]
	for _, ends := range [...][2]string{{from, to}, {to, from}} {
		if a, ok := sim.isolations[ends[0]]; ok && a.farSides&farSideOf(ends[1]) != 0 && a.until.After(until) {
			until = a.until
		}
	}
	return until
}

// extendFaults records that a fault lasts for a span from now on. What the checker expects of a healthy cluster counts from its end.
func (sim *Cluster) extendFaults(span time.Duration) {
	if until := sim.Now.Add(span); until.After(sim.faultsUntil) {
		sim.faultsUntil = until
	}
}

// LeaderIndex is the index of the controller that holds the leader's key, -1 if none does.
func (sim *Cluster) LeaderIndex() int {
	for i := range sim.controllers {
		if controllerName(i) == sim.State.leaderName() {
			return i
		}
	}
	return -1
}

// CutLinkOneWay loses or delays all messages from one host to another, but not those in the other direction.
func (sim *Cluster) CutLinkOneWay(from, to string, span time.Duration) {
	sim.linkCuts[from+"|"+to] = sim.Now.Add(span)
	sim.extendFaults(span)
}

// Events of an election at which a fault can be injected.
const (
	campaignSent = iota
	keyWritten   // the response is lost
	grantSent
	leadershipReleased
	electionEventCount
)

// electionTrigger injects a fault once, at the next event of its kind.
type electionTrigger struct {
	event        int
	until        time.Time
	restartAfter time.Duration
	action       func(name string) // replaces the crash
}

// CrashAtElectionEvent crashes the first controller that comes to the event within a span and restarts it after a while.
func (sim *Cluster) CrashAtElectionEvent(moment int, within, back time.Duration) {
	sim.electionTriggers = append(sim.electionTriggers, electionTrigger{event: moment, until: sim.Now.Add(within), restartAfter: back})
	sim.extendFaults(within + back)
}

// OnElectionEvent calls action with the name of the next controller that comes to the event.
func (sim *Cluster) OnElectionEvent(moment int, do func(name string)) {
	sim.electionTriggers = append(sim.electionTriggers, electionTrigger{event: moment, until: sim.Now.Add(time.Hour), action: do})
}

// electionEventReached runs the first trigger that waits for the event.
func (sim *Cluster) electionEventReached(moment int, name string) {
	for k, t := range sim.electionTriggers {
		if t.event != moment || sim.Now.After(t.until) {
			continue
		}
		sim.electionTriggers = append(sim.electionTriggers[:k:k], sim.electionTriggers[k+1:]...)
		if t.action != nil {
			t.action(name)
			return
		}
		for i := range sim.controllers {
			if controllerName(i) == name {
				sim.Crash(i, t.restartAfter)
			}
		}
		return
	}
}

// electionEventOf classifies a call as an event of an election, -1 if it is none.
func electionEventOf(call client.Call, body []byte) int {
	switch {
	case call.Destination == client.StateService && call.Path == "/leases" && call.Method == http.MethodPost:
		return campaignSent
	case call.Destination == client.StateService && call.Path == "/commit":
		var t struct {
			Apply []struct {
				Write string `msgpack:"write"`
			} `msgpack:"apply"`
		}
		if codec.Unmarshal(body, &t) == nil && len(t.Apply) == 1 && t.Apply[0].Write == election.LeaderKey {
			return keyWritten
		}
	case call.Destination == client.PeerController && call.Path == "/peer/hello":
		var h election.PingRequest
		if codec.Unmarshal(body, &h) == nil && h.ReleasedLeaseID != 0 {
			return leadershipReleased
		}
		return grantSent
	}
	return -1
}

// watchSingleLeader checks from now on, a hundred times a second, that no two controllers hold the leader lease at once.
func (sim *Cluster) watchSingleLeader() {
	sim.At(10*time.Millisecond, func() {
		var list []string
		for i := range sim.controllers {
			if acting, _ := sim.leadershipOf(i); acting {
				list = append(list, controllerName(i))
			}
		}
		if len(list) > 1 {
			sim.reportViolation(RuleSingleLeader, "leaders at once: %v", list)
		}
		sim.watchSingleLeader()
	})
}

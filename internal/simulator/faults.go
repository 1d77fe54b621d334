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
	hostGroupCount = iota
)

// isolation cuts a controller off from a set of far sides.
type isolation struct {
	hostGroups int
	until      time.Time
}

// hostGroupOf is the group to which a host belongs, as a controller sees it.
func hostGroupOf(host string) int {
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
func (sim *Cluster) IsolateController(index, hostGroups int, span time.Duration) {
	sim.isolations[controllerName(index)] = isolation{hostGroups, sim.Now.Add(span)}
	sim.extendFaults(span)
}

// linkCutUntil is until when messages from one host to another do not get through.
func (sim *Cluster) linkCutUntil(from, to string) time.Time {
	until := sim.linkCuts[from+"|"+to]
	for _, link := range [...][2]string{{from, to}, {to, from}} {
		isolated, ok := sim.isolations[link[0]]
		if ok && isolated.hostGroups&hostGroupOf(link[1]) != 0 && isolated.until.After(until) {
			until = isolated.until
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

// electionEvent is a moment of an election at which a fault can be injected.
type electionEvent int

// Events of an election, in their order.
const (
	noElectionEvent    electionEvent = iota - 1
	campaignSent                     // a controller asks the state service for a lease
	keyWritten                       // the leader's key is written, and the response is lost
	grantSent                        // a controller grants the leader a lease
	leadershipReleased               // a leader tells the others that it gives up
)

// electionEventCount is the number of events.
const electionEventCount = int(leadershipReleased) + 1

// electionTrigger injects a fault once, at the next event of its kind.
type electionTrigger struct {
	event        electionEvent
	until        time.Time
	restartAfter time.Duration
	action       func(name string) // replaces the crash
}

// CrashAtElectionEvent crashes the first controller that comes to the event within a span and restarts it after a delay.
func (sim *Cluster) CrashAtElectionEvent(event electionEvent, within, restartAfter time.Duration) {
	trigger := electionTrigger{event: event, until: sim.Now.Add(within), restartAfter: restartAfter}
	sim.electionTriggers = append(sim.electionTriggers, trigger)
	sim.extendFaults(within + restartAfter)
}

// OnElectionEvent calls action with the name of the next controller that comes to the event.
func (sim *Cluster) OnElectionEvent(event electionEvent, action func(name string)) {
	trigger := electionTrigger{event: event, until: sim.Now.Add(time.Hour), action: action}
	sim.electionTriggers = append(sim.electionTriggers, trigger)
}

// electionEventReached runs the first trigger that waits for the event.
func (sim *Cluster) electionEventReached(event electionEvent, name string) {
	for k, trigger := range sim.electionTriggers {
		if trigger.event != event || sim.Now.After(trigger.until) {
			continue
		}
		sim.electionTriggers = append(sim.electionTriggers[:k:k], sim.electionTriggers[k+1:]...)
		if trigger.action != nil {
			trigger.action(name)
			return
		}
		for i := range sim.controllers {
			if controllerName(i) == name {
				sim.Crash(i, trigger.restartAfter)
			}
		}
		return
	}
}

// electionEventOf classifies a call as an event of an election.
func electionEventOf(call client.Call, body []byte) electionEvent {
	switch {
	case call.Destination == client.StateService && call.Path == "/leases" && call.Method == http.MethodPost:
		return campaignSent
	case call.Destination == client.StateService && call.Path == "/commit":
		var transaction struct {
			Apply []struct {
				Write string `msgpack:"write"`
			} `msgpack:"apply"`
		}
		if codec.Unmarshal(body, &transaction) == nil && len(transaction.Apply) == 1 && transaction.Apply[0].Write == election.LeaderKey {
			return keyWritten
		}
	case call.Destination == client.PeerController && call.Path == "/peer/hello":
		var ping election.PingRequest
		if codec.Unmarshal(body, &ping) == nil && ping.ReleasedLeaseID != 0 {
			return leadershipReleased
		}
		return grantSent
	}
	return noElectionEvent
}

// watchSingleLeader checks from now on, a hundred times a second, that no two controllers hold the leader lease at once.
func (sim *Cluster) watchSingleLeader() {
	sim.At(10*time.Millisecond, func() {
		var leaders []string
		for i := range sim.controllers {
			if acting, _ := sim.leadershipOf(i); acting {
				leaders = append(leaders, controllerName(i))
			}
		}
		if len(leaders) > 1 {
			sim.reportViolation(RuleSingleLeader, "leaders at the same time: %v", leaders)
		}
		sim.watchSingleLeader()
	})
}

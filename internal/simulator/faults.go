package simulator

import (
	"net/http"
	"strings"
	"time"

	"gullrudder/internal/controller/election"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
)

// Groups of hosts that a controller can be cut off from. They are bits and can be combined.
const (
	FromState = 1 << iota
	FromControllers
	FromWorkers
	FromUsers
	FromCloud
	hostGroupCount = iota
)

// isolation cuts a controller off from a set of host groups.
type isolation struct {
	hostGroups int
	until      time.Time
}

// hostGroupOf returns the group of a host as seen from a controller.
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

// IsolateController cuts a controller off from a set of host groups in both directions for a span.
func (sim *Cluster) IsolateController(index, hostGroups int, span time.Duration) {
	sim.isolations[controllerName(index)] = isolation{hostGroups, sim.Now.Add(span)}
	sim.extendFaults(span)
}

// linkCutUntil returns the time until which the link from one host to another is cut.
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

// extendFaults records that a fault lasts for a span from now on. The checker's time limits for a healthy cluster start at its end.
func (sim *Cluster) extendFaults(span time.Duration) {
	if until := sim.Now.Add(span); until.After(sim.faultsUntil) {
		sim.faultsUntil = until
	}
}

// LeaderIndex returns the index of the controller that holds the leader key, or -1 if none does.
func (sim *Cluster) LeaderIndex() int {
	for i := range sim.controllers {
		if controllerName(i) == sim.State.leaderName() {
			return i
		}
	}
	return -1
}

// CutLinkOneWay loses or delays all messages from one host to another for a span. The other direction is not affected.
func (sim *Cluster) CutLinkOneWay(from, to string, span time.Duration) {
	sim.linkCuts[from+"|"+to] = sim.Now.Add(span)
	sim.extendFaults(span)
}

// electionEvent is an event of an election at which a fault can be injected.
type electionEvent int

// Events of an election, in the order in which they occur.
const (
	noElectionEvent    electionEvent = iota - 1
	campaignSent                     // a controller requests a lease from the state service
	keyWritten                       // the leader key is written; the winner has not received the response
	grantSent                        // a controller responds to a ping and thereby grants the leader a lease
	leadershipReleased               // a leader sends the others the release of its leadership
)

// electionEventCount is the number of events.
const electionEventCount = int(leadershipReleased) + 1

// electionTrigger injects a fault once, at the next occurrence of its event.
type electionTrigger struct {
	event        electionEvent
	until        time.Time
	restartAfter time.Duration
	action       func(name string) // called instead of crashing the controller; nil: crash
}

// CrashAtElectionEvent crashes the first controller that reaches the event within a span and restarts it after a delay.
func (sim *Cluster) CrashAtElectionEvent(event electionEvent, within, restartAfter time.Duration) {
	trigger := electionTrigger{event: event, until: sim.Now.Add(within), restartAfter: restartAfter}
	sim.electionTriggers = append(sim.electionTriggers, trigger)
	sim.extendFaults(within + restartAfter)
}

// OnElectionEvent calls action with the name of the next controller that reaches the event within an hour.
func (sim *Cluster) OnElectionEvent(event electionEvent, action func(name string)) {
	trigger := electionTrigger{event: event, until: sim.Now.Add(time.Hour), action: action}
	sim.electionTriggers = append(sim.electionTriggers, trigger)
}

// electionEventReached runs and removes the first trigger for the event.
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

// electionEventOf returns the event of an election that a call belongs to, or noElectionEvent.
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

// watchSingleLeader checks every 10 ms from now on that at most one controller holds the leader lease.
func (sim *Cluster) watchSingleLeader() {
	sim.At(10*time.Millisecond, func() {
		var leaders []string
		for i := range sim.controllers {
			if holdsLease, _ := sim.leadershipOf(i); holdsLease {
				leaders = append(leaders, controllerName(i))
			}
		}
		if len(leaders) > 1 {
			sim.reportViolation(RuleSingleLeader, "several controllers hold the leader lease: %v", leaders)
		}
		sim.watchSingleLeader()
	})
}

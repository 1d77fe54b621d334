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

// randomMachines draws up to count of the running machines.
func (c *Cloud) randomMachines(count int) []*machine {
	list := c.runningMachines()
	c.sim.Rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(count, len(list))]
}

// CutInbound makes up to count machines inbound unreachable: their heartbeats arrive, responses and commands do not reach
// them. With leaderOnly only the leader's messages are lost.
func (c *Cloud) CutInbound(count int, leaderOnly bool, span time.Duration) {
	for _, m := range c.randomMachines(count) {
		for i := range c.sim.Options.Controllers {
			if name := controllerName(i); !leaderOnly || name == c.sim.State.leaderName() {
				c.sim.CutLinkOneWay(name, m.id, span)
			}
		}
	}
}

// DuplicateHeartbeats delivers half of the heartbeats that are sent during the span once more, up to four leases later, to a random
// controller.
func (c *Cloud) DuplicateHeartbeats(span time.Duration) {
	c.duplicatingUntil = c.sim.Now.Add(span)
	c.sim.extendFaults(span + 4*c.sim.Options.WorkerLease + time.Second)
}

// DelayMachines makes up to count machines hang, or cuts off their inbound messages, one after the other, for a span each.
func (c *Cloud) DelayMachines(count int, span time.Duration) {
	for k, m := range c.randomMachines(count) {
		c.sim.At(time.Duration(k)*200*time.Millisecond, func() {
			if k%2 == 0 {
				m.hangsUntil = c.sim.Now.Add(span)
				return
			}
			for i := range c.sim.Options.Controllers {
				c.sim.CutLinkOneWay(controllerName(i), m.id, span)
			}
		})
	}
	c.sim.extendFaults(span + time.Duration(count)*200*time.Millisecond)
}

// deliverDuplicate may deliver a heartbeat again while heartbeats are duplicated. The response is dropped.
func (c *Cloud) deliverDuplicate(raw []byte) {
	if !c.sim.Now.Before(c.duplicatingUntil) || c.sim.Rand.IntN(2) == 0 {
		return
	}
	late := time.Second + time.Duration(c.sim.Rand.Int64N(int64(4*c.sim.Options.WorkerLease)))
	host := controllerName(c.sim.Rand.IntN(c.sim.Options.Controllers))
	c.sim.At(late, func() { c.sim.deliverRequest(host, false, "POST", "/v1/report", raw, func(int, any) {}) })
}

// RestartMachine kills all tasks of a random machine and boots it again under the same name. Its incarnation goes on from
// the last one, or begins again at the first.
func (c *Cloud) RestartMachine(back time.Duration, counts bool) {
	if list := c.runningMachines(); len(list) > 0 {
		list[c.sim.Rand.IntN(len(list))].restart(back, counts)
	}
	c.sim.extendFaults(back)
}

func (m *machine) restart(back time.Duration, counts bool) {
	m.dropTasks()
	m.isUp, m.awaitsResponse, m.fencingToken, m.sequence = false, false, 0, 0
	m.bootCount++
	m.requestNumber++
	if counts {
		m.incarnation++
	} else {
		m.incarnation = 1
	}
	m.sim.At(back, m.start)
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

// watchSingleLeader looks from now on, a hundred times a second, that no two controllers are entitled at once.
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

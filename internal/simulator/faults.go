package simulator

import (
	"net/http"
	"strings"
	"time"

	"gullrudder/internal/controller/election"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
)

// Far sides that a controller can be cut off from, alone or together.
const (
	FromState = 1 << iota
	FromControllers
	FromWorkers
	FromUsers
	FromCloud
	farSideCount = iota
)

// isolation is a controller that is cut off from some far sides.
type isolation struct {
	farSides int
	until    time.Time
}

// farSideOf is which far side of a controller a host is.
func farSideOf(host string) int {
	switch {
	case host == "state":
		return FromState
	case host == "cloud":
		return FromCloud
	case host == "user":
		return FromUsers
	case strings.HasPrefix(host, "vm-"):
		return FromWorkers
	}
	return FromControllers
}

// IsolateController cuts a controller off from any set of far sides, both ways.
func (sim *Cluster) IsolateController(i, from int, span time.Duration) {
	sim.isolations[controllerName(i)] = isolation{from, sim.Now.Add(span)}
	sim.extendFaults(span)
}

// linkCutUntil is until when what goes from one host to the other does not get through.
func (sim *Cluster) linkCutUntil(from, to string) time.Time {
	until := sim.linkCuts[from+"|"+to]
	for _, ends := range [...][2]string{{from, to}, {to, from}} {
		if a, ok := sim.isolations[ends[0]]; ok && a.farSides&farSideOf(ends[1]) != 0 && a.until.After(until) {
			until = a.until
		}
	}
	return until
}

// extendFaults notes that something is wrong for so long.
func (sim *Cluster) extendFaults(span time.Duration) {
	if until := sim.Now.Add(span); until.After(sim.faultsUntil) {
		sim.faultsUntil = until
	}
}

// LeaderIndex is the index of the controller that holds the leader's key; -1: none does.
func (sim *Cluster) LeaderIndex() int {
	for i := range sim.controllers {
		if controllerName(i) == sim.State.leaderName() {
			return i
		}
	}
	return -1
}

// CutLinkOneWay cuts what goes from one host to another; the way back stays open.
func (sim *Cluster) CutLinkOneWay(from, to string, span time.Duration) {
	sim.linkCuts[from+"|"+to] = sim.Now.Add(span)
	sim.extendFaults(span)
}

// randomMachines draws up to so many of the machines whose workers are there.
func (c *Cloud) randomMachines(count int) []*machine {
	list := c.runningMachines()
	c.sim.Rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(count, len(list))]
}

// CutInbound lets up to so many machines hear nobody: their reports arrive, answers and commands do not reach
// them. leaderOnly: only what the leader sends is lost.
func (c *Cloud) CutInbound(count int, leaderOnly bool, span time.Duration) {
	for _, m := range c.randomMachines(count) {
		for i := range c.sim.Options.Controllers {
			if name := controllerName(i); !leaderOnly || name == c.sim.State.leaderName() {
				c.sim.CutLinkOneWay(name, m.id, span)
			}
		}
	}
}

// DuplicateHeartbeats delivers half of the reports that are sent from now on for a while once more, up to four leases later, to any
// controller.
func (c *Cloud) DuplicateHeartbeats(span time.Duration) {
	c.duplicatingUntil = c.sim.Now.Add(span)
	c.sim.extendFaults(span + 4*c.sim.Options.WorkerLease + time.Second)
}

// DelayMachines holds up what some machines are sent, or all that goes on there, for some seconds each, one after the other.
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

// deliverDuplicate delivers a report again, if reports are copied at present. Nobody hears the answer.
func (c *Cloud) deliverDuplicate(raw []byte) {
	if !c.sim.Now.Before(c.duplicatingUntil) || c.sim.Rand.IntN(2) == 0 {
		return
	}
	late := time.Second + time.Duration(c.sim.Rand.Int64N(int64(4*c.sim.Options.WorkerLease)))
	host := controllerName(c.sim.Rand.IntN(c.sim.Options.Controllers))
	c.sim.At(late, func() { c.sim.deliverRequest(host, false, "POST", "/v1/report", raw, func(int, any) {}) })
}

// RestartMachine ends a machine with all that is on it and starts it again soon, under its name. It goes on counting
// its sessions, or begins again at the first.
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

// Moments of an election at which a controller can end.
const (
	campaignSent = iota
	keyWritten   // and the answer is lost
	grantSent
	leadershipReleased
	electionEventCount
)

// electionTrigger ends a controller at a moment of an election, once.
type electionTrigger struct {
	event        int
	until        time.Time
	restartAfter time.Duration
	action       func(name string) // instead of ending it
}

// CrashAtElectionEvent ends the first controller that comes to the moment within a while; it is back soon.
func (sim *Cluster) CrashAtElectionEvent(moment int, within, back time.Duration) {
	sim.electionTriggers = append(sim.electionTriggers, electionTrigger{event: moment, until: sim.Now.Add(within), restartAfter: back})
	sim.extendFaults(within + back)
}

// OnElectionEvent does something when a controller comes to a moment of an election next.
func (sim *Cluster) OnElectionEvent(moment int, do func(name string)) {
	sim.electionTriggers = append(sim.electionTriggers, electionTrigger{event: moment, until: sim.Now.Add(time.Hour), action: do})
}

// electionEventReached is told of the moments; who comes to one with a trap ends.
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

// electionEventOf is the moment of an election that a call is, -1 for none.
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
			sim.reportViolation("entitled at once: %v", list)
		}
		sim.watchSingleLeader()
	})
}

package simulator

import (
	"slices"
	"time"
)

// ReclaimMachine makes the cloud reclaim a random machine after a notice period. 0 reclaims it immediately, without a notice.
func (c *Cloud) ReclaimMachine(notice time.Duration) {
	list := c.runningMachines()
	if len(list) == 0 {
		return
	}
	m := list[c.sim.Rand.IntN(len(list))]
	if notice == 0 {
		m.terminate()
		return
	}
	m.reclaimAt = c.sim.Now.Add(notice)
	c.sim.At(notice, m.terminate)
}

// FailMachine crashes a random machine with all tasks on it. The cloud continues to list it.
func (c *Cloud) FailMachine() {
	if list := c.runningMachines(); len(list) > 0 {
		m := list[c.sim.Rand.IntN(len(list))]
		m.hasFailed = true
		m.dropTasks()
	}
}

// HangMachine suspends a random machine for a span.
func (c *Cloud) HangMachine(span time.Duration) {
	if list := c.runningMachines(); len(list) > 0 {
		list[c.sim.Rand.IntN(len(list))].hangsUntil = c.sim.Now.Add(span)
	}
	c.sim.extendFaults(span)
}

// CutMachine cuts a random machine off from every controller for a span.
func (c *Cloud) CutMachine(span time.Duration) {
	if list := c.runningMachines(); len(list) > 0 {
		m := list[c.sim.Rand.IntN(len(list))]
		for i := range c.sim.Options.Controllers {
			c.sim.CutLink(m.id, controllerName(i), span)
		}
	}
}

// randomMachines returns up to count random running machines.
func (c *Cloud) randomMachines(count int) []*machine {
	list := c.runningMachines()
	c.sim.Rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(count, len(list))]
}

// CutInbound makes up to count machines inbound unreachable for a span: their heartbeats arrive at controllers, but responses and commands
// do not reach them. With leaderOnly, only the leader's messages are lost.
func (c *Cloud) CutInbound(count int, leaderOnly bool, span time.Duration) {
	for _, m := range c.randomMachines(count) {
		for i := range c.sim.Options.Controllers {
			if name := controllerName(i); !leaderOnly || name == c.sim.State.leaderName() {
				c.sim.CutLinkOneWay(name, m.id, span)
			}
		}
	}
}

// DuplicateHeartbeats delivers half of the heartbeats sent during the span a second time, to a random controller. The duplicate arrives 1 s
// to 1 s plus four lease durations later.
func (c *Cloud) DuplicateHeartbeats(span time.Duration) {
	c.duplicatingUntil = c.sim.Now.Add(span)
	c.sim.extendFaults(span + 4*c.sim.Options.WorkerLease + time.Second)
}

// DelayMachines delays up to count machines for a span each, one after the other at intervals of 200 ms. Alternately they hang or lose
// their inbound messages.
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

// maybeDuplicate delivers half of the heartbeats again while heartbeats are duplicated. The response to the duplicate is dropped.
func (c *Cloud) maybeDuplicate(raw []byte) {
	if !c.sim.Now.Before(c.duplicatingUntil) || c.sim.Rand.IntN(2) == 0 {
		return
	}
	delay := time.Second + time.Duration(c.sim.Rand.Int64N(int64(4*c.sim.Options.WorkerLease)))
	host := controllerName(c.sim.Rand.IntN(c.sim.Options.Controllers))
	c.sim.At(delay, func() { c.sim.deliverHeartbeat(host, raw, ignoreResponse) })
}

// RestartMachine kills all tasks of a random machine and boots it again under the same name. With keepsIncarnation its worker continues
// with the next incarnation, otherwise it starts again at 1.
func (c *Cloud) RestartMachine(restartAfter time.Duration, keepsIncarnation bool) {
	if list := c.runningMachines(); len(list) > 0 {
		list[c.sim.Rand.IntN(len(list))].restart(restartAfter, keepsIncarnation)
	}
	c.sim.extendFaults(restartAfter)
}

// CutOutbound makes up to count machines outbound unreachable for a span: their heartbeats are lost, but direct commands and the responses
// to these arrive.
func (c *Cloud) CutOutbound(count int, span time.Duration) {
	for _, m := range c.randomMachines(count) {
		m.outboundCutUntil = c.sim.Now.Add(span)
	}
	c.sim.extendFaults(span)
}

// CutZone cuts a zone off from everything outside for a span. The given controllers and the zone's machines are inside.
func (sim *Cluster) CutZone(zone string, insideControllers []int, span time.Duration) {
	for i := range sim.controllers {
		isInside := slices.Contains(insideControllers, i)
		if isInside {
			sim.IsolateController(i, FromState|FromUsers|FromCloud, span)
		}
		for j := range sim.controllers {
			if isInside != slices.Contains(insideControllers, j) {
				sim.CutLink(controllerName(i), controllerName(j), span)
			}
		}
		for _, m := range sim.Cloud.runningMachines() {
			if (m.zone == zone) != isInside {
				sim.CutLink(controllerName(i), m.id, span)
			}
		}
	}
}

package reachability

import (
	"time"

	"gullrudder/internal/controller/worker"
	"gullrudder/internal/wire/workerapi"
)

// Freshness is what a heartbeat proves about its machine.
type Freshness int

// The values of Freshness. Only Stale heartbeats are refused, and only Fresh ones are reconciled.
const (
	Stale      Freshness = iota // a duplicate, older than an accepted one, or of a worker process that has ended
	Superseded                  // older than the machine's response to a probe, which arrived before it
	Unverified                  // of unknown age; the next heartbeat must contain the fencing token of the response
	Fresh                       // newer than all accepted heartbeats and probe responses of the machine
)

// Classify returns the freshness of a heartbeat. It must be called once for each heartbeat, before any other processing of it.
func (t *Tracker) Classify(now time.Time, machine *worker.Machine, heartbeat *workerapi.Heartbeat) Freshness {
	freshness := t.classify(now, machine, heartbeat)
	t.metrics.countHeartbeat(freshness)
	return freshness
}

func (t *Tracker) classify(now time.Time, machine *worker.Machine, heartbeat *workerapi.Heartbeat) Freshness {
	link := t.linkOf(machine)
	switch {
	case !machine.HasSentHeartbeat && heartbeat.FencingToken != t.fencingToken:
		return link.classifyUnverified()
	case !machine.HasSentHeartbeat:
	case t.showsCountersReset(machine, link, heartbeat):
		t.recordCountersReset(now, machine, link)
		return Stale
	case !machine.IsNewer(heartbeat) && link.isSuperseded(now, machine, heartbeat):
		return Superseded
	case !machine.IsNewer(heartbeat):
		return Stale
	}
	t.recordFresh(now, machine, link, heartbeat)
	return Fresh
}

// showsCountersReset reports whether the heartbeat shows that the machine's worker has lost its counters. A worker process keeps the
// highest fencing token that it has received, so a worker that reports a lower one has restarted. Until its incarnation is higher, its
// heartbeats cannot be distinguished from delayed ones of the earlier process. They are refused, so that its lease expires and a new
// incarnation begins.
func (t *Tracker) showsCountersReset(machine *worker.Machine, link *linkState, heartbeat *workerapi.Heartbeat) bool {
	return link.countersReset && heartbeat.Incarnation <= machine.Incarnation ||
		machine.IsNewer(heartbeat) && heartbeat.FencingToken < t.fencingToken
}

// classifyUnverified classifies a heartbeat without the leader's fencing token. This leader has accepted no heartbeat of the machine yet.
// The heartbeat may have been sent before the election, and its machine may no longer exist. The response contains the token, and a
// live machine sends it in its next heartbeat. If neither responses nor probes reach the machine, its heartbeats are refused. Otherwise its
// lease would never expire, and the failover, which waits for that, would never be completed.
func (l *linkState) classifyUnverified() Freshness {
	if l.unansweredProbes >= maxUnansweredProbes && l.ineffectiveResponses >= maxIneffectiveResponses {
		return Stale
	}
	l.ineffectiveResponses++
	return Unverified
}

// isSuperseded reports whether a heartbeat that is not newer than the last accepted one arrived after the machine's response to a
// probe, which counted as a newer heartbeat. The worker still waits for the response to this heartbeat.
func (l *linkState) isSuperseded(now time.Time, machine *worker.Machine, heartbeat *workerapi.Heartbeat) bool {
	isNewerOnLink := heartbeat.Position().IsAfter(l.position)
	return heartbeat.Incarnation == machine.Incarnation && isNewerOnLink && now.Sub(l.lastProbeResponseAt) < workerResponseTimeout
}

// recordFresh updates the link from a fresh heartbeat, which may confirm that the machine is reachable or raise a suspicion.
func (t *Tracker) recordFresh(now time.Time, machine *worker.Machine, link *linkState, heartbeat *workerapi.Heartbeat) {
	isSameIncarnation := heartbeat.Incarnation == link.position.Incarnation
	switch {
	case !isSameIncarnation && t.lostLeaseDespiteResponses(now, machine, link):
		t.suspect(now, machine, link, incarnationEnded)
		t.RequestProbe(machine)
	case link.suspicion == unconfirmed && heartbeat.FencingToken == t.fencingToken:
		link.confirmReachable(machine)
	case link.suspicion != notSuspected && isSameIncarnation && link.isPrompt(now):
		link.confirmReachable(machine)
	case link.suspicion != notSuspected:
		t.RequestProbe(machine)
	}
	link.position = heartbeat.Position()
	link.lastHeartbeatAt, link.acknowledged = now, false
	link.countersReset = false
	machine.LastContactAt = now
	machine.IsUnreachable = link.suspicion != notSuspected && link.unansweredProbes > 0
}

// lostLeaseDespiteResponses reports whether the lease of the machine's last incarnation expired although a response with status 200
// should have renewed it.
func (t *Tracker) lostLeaseDespiteResponses(now time.Time, machine *worker.Machine, link *linkState) bool {
	hasHeartbeat := machine.HasSentHeartbeat && link.position.Incarnation != 0
	isLeaseRecent := now.Sub(machine.LeaseRenewedAt) < t.leaseDuration*4/5
	return hasHeartbeat && isLeaseRecent && !link.countersReset
}

// isPrompt reports whether a heartbeat that arrives now follows the last one so soon that the worker must have received the response
// to the last one. The last one must also have arrived after the suspicion arose.
func (l *linkState) isPrompt(now time.Time) bool {
	return l.acknowledged && now.Sub(l.lastHeartbeatAt) < promptInterval && l.lastHeartbeatAt.After(l.suspectSince)
}

// IsNewest reports whether this is the newest heartbeat of its machine. Only the response to the newest one may contain start commands.
func (t *Tracker) IsNewest(machine *worker.Machine, heartbeat *workerapi.Heartbeat) bool {
	return heartbeat.Position() == t.linkOf(machine).position
}

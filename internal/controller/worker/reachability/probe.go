package reachability

import (
	"time"

	"gullrudder/internal/controller/worker"
	"gullrudder/internal/wire/workerapi"
)

// Probe is a request that was sent to a machine's own address.
type Probe struct {
	position workerapi.Position // of the newest heartbeat that was known when the probe was sent
}

// TakeProbeRequests returns the machines that should be probed as soon as possible, and clears the list. A machine may be listed more
// than once.
func (t *Tracker) TakeProbeRequests() []*worker.Machine {
	machines := t.probeRequests
	t.probeRequests = nil
	return machines
}

// RequestProbe requests that a machine is probed as soon as possible.
func (t *Tracker) RequestProbe(machine *worker.Machine) {
	t.probeRequests = append(t.probeRequests, machine)
}

// IsProbeDue reports whether the machine may be probed now: at least probeInterval has passed since the last probe.
func (t *Tracker) IsProbeDue(now time.Time, machine *worker.Machine) bool {
	link := t.linkOf(machine)
	return link.lastProbeAt.IsZero() || now.Sub(link.lastProbeAt) >= probeInterval
}

// StartProbe records that a probe is sent to the machine. The caller passes the Probe to ProbeAnswered, or calls ProbeFailed.
func (t *Tracker) StartProbe(now time.Time, machine *worker.Machine) Probe {
	t.linkOf(machine).lastProbeAt = now
	return Probe{position: machine.Position}
}

// ProbeAnswered records a machine's response to a probe. It proves that the machine receives the leader's messages, and its heartbeat
// is certainly newer than those known when the probe was sent. If the position of the heartbeat is not newer, the worker has lost its
// counters: countersReset is true, and all earlier attempts on the machine have ended.
func (t *Tracker) ProbeAnswered(
	now time.Time, machine *worker.Machine, probe Probe, heartbeat *workerapi.Heartbeat,
) (countersReset bool) {
	link := t.linkOf(machine)
	machine.LastContactAt, link.lastProbeResponseAt = now, now
	t.metrics.probes.WithLabelValues(probeAnswered).Inc()
	link.unansweredProbes = 0
	if machine.HasSentHeartbeat && !probe.isOlderThan(heartbeat) {
		t.recordCountersReset(now, machine, link)
		return true
	}
	if heartbeat.FencingToken == t.fencingToken {
		link.confirmReachable(machine)
	}
	return false
}

// isOlderThan reports whether the heartbeat's position is newer than those known when the probe was sent.
func (p Probe) isOlderThan(heartbeat *workerapi.Heartbeat) bool {
	return heartbeat.Position().IsAfter(p.position)
}

// ProbeFailed records that a machine did not respond to a probe.
func (t *Tracker) ProbeFailed(now time.Time, machine *worker.Machine) {
	link := t.linkOf(machine)
	t.metrics.probes.WithLabelValues(probeNotAnswered).Inc()
	link.unansweredProbes++
	if link.suspicion != unconfirmed {
		t.suspect(now, machine, link, probeUnanswered)
	}
}

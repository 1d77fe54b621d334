package reachability

import (
	"time"

	"gullrudder/internal/controller/worker"
	"gullrudder/internal/logkeys"
)

// suspicionReason is why a machine is suspected of not receiving the leader's messages. A suspected machine is sent no start commands.
type suspicionReason int

// The reasons of suspicion.
const (
	notSuspected     suspicionReason = iota
	unconfirmed                      // there is no evidence yet that the machine receives messages
	startsLost                       // an attempt did not appear in the heartbeat after its start command
	incarnationEnded                 // the lease expired although heartbeats were answered with status 200
	probeUnanswered
)

// String returns the value of the metric label and the log attribute for the reason.
func (s suspicionReason) String() string {
	return [...]string{
		notSuspected:     "none",
		unconfirmed:      "not proven yet",
		startsLost:       "starts do not appear",
		incarnationEnded: "its session ended though it was answered",
		probeUnanswered:  "a question was not answered",
	}[s]
}

// RecordAcknowledged records that a response with status 200 is sent to the machine's newest heartbeat.
func (t *Tracker) RecordAcknowledged(machine *worker.Machine) { t.linkOf(machine).acknowledged = true }

// RecordEnded records the attempts that have ended according to a heartbeat of the machine. If the start command of one was sent and
// the attempt never appeared, the response with the command was lost.
func (t *Tracker) RecordEnded(now time.Time, machine *worker.Machine, endedAttempts []worker.EndedAttempt) {
	for _, ended := range endedAttempts {
		wasNeverSeen := ended.Attempt.LastSeenReconcile == 0 && !ended.Attempt.IsUnsent
		if ended.Reason == worker.ReasonLost && wasNeverSeen {
			t.suspect(now, machine, t.linkOf(machine), startsLost)
			t.RequestProbe(machine)
			return
		}
	}
}

func (t *Tracker) suspect(now time.Time, machine *worker.Machine, link *linkState, suspicion suspicionReason) {
	if link.suspicion == notSuspected || link.suspicion == unconfirmed {
		link.suspectSince = now
		t.metrics.suspicions.WithLabelValues(suspicion.String()).Inc()
		t.log.Debug("machine suspected unreachable", logkeys.Machine, machine.ID, logkeys.Reason, suspicion.String())
	}
	link.suspicion = suspicion
}

func (l *linkState) confirmReachable(machine *worker.Machine) {
	l.suspicion, l.unansweredProbes, l.ineffectiveResponses = notSuspected, 0, 0
	machine.IsUnreachable = l.countersReset
}

// recordCountersReset records that the machine's worker has lost its counters. Its earlier attempts count as ended once the response
// to a probe proves it, or the lease has expired.
func (t *Tracker) recordCountersReset(now time.Time, machine *worker.Machine, link *linkState) {
	if !link.countersReset {
		link.countersReset, link.suspectSince = true, now
		t.log.Info("worker counters reset", logkeys.Machine, machine.ID, logkeys.Incarnation, machine.Incarnation)
		t.RequestProbe(machine)
	}
	machine.IsUnreachable = true
}

// IsReachable reports whether there is evidence that the machine receives the leader's messages. An unreachable machine must not be
// sent start commands.
func (t *Tracker) IsReachable(machine *worker.Machine) bool {
	link := t.linkOf(machine)
	return link.suspicion == notSuspected && !link.countersReset
}

// IsSuspected reports whether there is evidence that the machine does not receive the leader's messages.
func (t *Tracker) IsSuspected(machine *worker.Machine) bool {
	link := t.links[machine.ID]
	return link != nil && (link.suspicion > unconfirmed || link.countersReset)
}

// IsUnresponsive reports whether the machine should be terminated. Either it does not respond to probes, or it lost its counters so
// long ago that its incarnation is not expected to exceed the earlier one soon.
func (t *Tracker) IsUnresponsive(now time.Time, machine *worker.Machine) bool {
	link := t.links[machine.ID]
	if link == nil {
		return false
	}
	lostCounters := link.countersReset && now.Sub(link.suspectSince) > 2*t.leaseDuration
	return link.unansweredProbes >= maxUnansweredProbes || lostCounters
}

// Package connectivity tells a leader whom no worker reaches from workers that are gone. Its Hearing owns
// when the last report came and who came to which controller; a process has one, whether it leads or
// not. It hands nothing over: the election asks it whether to, and to whom.
//
// A leader that is cut off from the workers alone keeps its key, and every worker that asks another
// controller is sent back to it. So all leases ended with all that ran, after a third of the machines
// a tick had been deleted as silent (docs/incidents: both recorded days of the operations sites).
// That the leader hears nobody is half of the evidence; that others hear the workers is the rest.
package connectivity

import "time"

const (
	// reports that are missing in a row, of all machines together, before silence is ours and not chance:
	// at the mean rate they come, none comes by chance in so long once in a hundred thousand times.
	missedHeartbeats = 12
	// minSilence is the shortest silence that counts: a burst of work or of the network may hold
	// everything up for that long.
	minSilence = time.Second
	// pauseThreshold is a gap between two ticks that shows that this process stood still.
	pauseThreshold = 300 * time.Millisecond
	// redirectSuspension is how long a follower believes that the leader hears nobody, from when it was told.
	redirectSuspension = 2 * time.Second
	// contactWindow is for how long a caller counts: a worker tries every controller within that.
	contactWindow = 10 * time.Second
	// sequenceRetention is for how long a caller's numbers are kept, to tell copies of its reports.
	sequenceRetention = 2 * time.Minute
	// maxContacts bounds what is kept of callers.
	maxContacts = 20_000
	// minPeerShare is which part of the machines that are expected has to call elsewhere, and fewCallers
	// how many at least. Of fewer machines nothing can be told.
	minPeerShare = 0.125
	minWorkers   = 3
	// overdueShare is which part of the machines may be overdue before the leader takes the silence for its own,
	// though some are heard: those that have booted since, say. Half of a site may be lost with a zone.
	overdueShare = 2.0 / 3
	// probeWindow is for how long an answer to a question, or the want of one, tells of the link; mostAsked bounds
	// what is kept of them.
	probeWindow = 3 * time.Second
	maxProbes   = 256
	// campaignDeferral is how long who was not heard leaves the next leadership to others.
	campaignDeferral = 30 * time.Second
)

// Monitor is what a controller knows of being reached by workers.
type Monitor struct {
	heartbeatInterval time.Duration // between two reports of a worker

	lastHeartbeatAt  time.Time // when a report came last
	lastTickAt       time.Time
	expectedMachines int            // machines whose reports should come
	overdueMachines  int            // of these, those whose reports are missing for longer than they ever take
	workersByPeer    map[string]int // by the other controllers, workers that came to them instead
	transferredAt    time.Time      // when a leadership of ours ended for that
	probes           []probe        // of late

	redirectsSuspendedUntil time.Time // as a follower: until when the leader is known to hear nobody
	contacts                map[string]contact
}

// contact is a worker that came to this controller though it does not lead.
type contact struct {
	at                    time.Time
	incarnation, sequence uint64
}

// probe is what became of one that was put to a machine directly.
type probe struct {
	at               time.Time
	heartbeatOverdue bool // its reports were missing
	answered         bool
}

// New makes the hearing of a process. every is how often a worker reports.
func New(heartbeatInterval time.Duration) *Monitor {
	return &Monitor{heartbeatInterval: heartbeatInterval, workersByPeer: map[string]int{}, contacts: map[string]contact{}}
}

// StartLeadership is a new leadership: nobody can have reported to it yet.
func (h *Monitor) StartLeadership(now time.Time) {
	h.lastHeartbeatAt, h.lastTickAt, h.expectedMachines, h.overdueMachines = now, now, 0, 0
	clear(h.workersByPeer)
	h.redirectsSuspendedUntil = time.Time{}
	clear(h.contacts)
	h.probes = nil
}

// RecordHeartbeat is a report that has come to the leader.
func (h *Monitor) RecordHeartbeat(now time.Time) { h.lastHeartbeatAt = now }

// Tick takes in how many machines the leader expects reports of, and how many of these are overdue. A time in which this process stood
// still is not a silence of others.
func (h *Monitor) Tick(now time.Time, expected, overdue int) {
	if gap := now.Sub(h.lastTickAt); gap > pauseThreshold {
		h.lastHeartbeatAt = h.lastHeartbeatAt.Add(gap)
	}
	h.lastTickAt, h.expectedMachines, h.overdueMachines = now, expected, overdue
}

// RecordProbe takes in whether a machine answered a question of ours. missed: its reports were missing then.
func (h *Monitor) RecordProbe(now time.Time, heartbeatOverdue, answered bool) {
	h.probes = append(h.probes, probe{now, heartbeatOverdue, answered})
	for len(h.probes) > maxProbes || now.Sub(h.probes[0].at) > probeWindow {
		h.probes = h.probes[1:]
	}
}

// SuspectsPartition reports whether the leader hears none of its machines, for so long that it is no chance, and at
// most for as long as every one of them should have reported; or so few that the others cannot all be lost.
func (h *Monitor) SuspectsPartition(now time.Time) bool {
	if h.expectedMachines < minWorkers {
		return false // one lost report, and the worker asks elsewhere: no reason to hand over
	}
	fullInterval := h.heartbeatInterval*5/4 + minSilence/2
	expectedSilence := missedHeartbeats * h.heartbeatInterval / time.Duration(h.expectedMachines)
	return now.Sub(h.lastHeartbeatAt) >= max(min(expectedSilence, fullInterval), minSilence) ||
		float64(h.overdueMachines) >= overdueShare*float64(h.expectedMachines)
}

// NeedsProbes reports whether some of the machines are to be asked directly: it may be we who are not reached. So many
// that call elsewhere do not hear what we answer.
func (h *Monitor) NeedsProbes(now time.Time) bool {
	return h.SuspectsPartition(now) || h.manyWorkersAtPeer()
}

// ShouldSuspendRedirects reports whether workers had better not be sent here for now: the silence is not explained yet.
func (h *Monitor) ShouldSuspendRedirects(now time.Time) bool {
	answered, unanswered := h.countProbes(now, func(probe) bool { return true })
	return h.SuspectsPartition(now) && 4*answered <= unanswered || h.IsPartitioned(now)
}

// IsPartitioned reports whether the leader is cut off from the workers, in one direction at least: machines that are asked
// directly do not answer, those whose reports are missing if it hears too little, those that do report if
// many call elsewhere. Without the questions a new leader took the time in which the workers waited for
// the one before for a failure of its own, and handed over a sound leadership (docs/incidents: inc-1518, inc-98a2).
func (h *Monitor) IsPartitioned(now time.Time) bool {
	return h.SuspectsPartition(now) && h.probesUnanswered(now, true) || h.manyWorkersAtPeer() && h.probesUnanswered(now, false)
}

// manyWorkersAtPeer reports whether many workers call another controller.
func (h *Monitor) manyWorkersAtPeer() bool {
	_, most := h.busiestPeer()
	return h.expectedMachines >= minWorkers && most >= h.requiredWorkers()
}

// probesUnanswered reports whether the questions of late to machines whose reports were missing, or were not, found no answers.
func (h *Monitor) probesUnanswered(now time.Time, heartbeatOverdue bool) bool {
	answered, unanswered := h.countProbes(now, func(q probe) bool { return q.heartbeatOverdue == heartbeatOverdue })
	return unanswered >= minWorkers && 4*answered <= unanswered
}

// countProbes counts the questions of late that were answered, and those that were not.
func (h *Monitor) countProbes(now time.Time, matches func(probe) bool) (answered, unanswered int) {
	for _, q := range h.probes {
		switch {
		case now.Sub(q.at) > probeWindow || !matches(q):
		case q.answered:
			answered++
		default:
			unanswered++
		}
	}
	return answered, unanswered
}

// RecordPeerWorkers takes in how many workers came to another controller of late.
func (h *Monitor) RecordPeerWorkers(peer string, workers int) { h.workersByPeer[peer] = workers }

// Successor is the controller that the workers reach while the leader hears nobody; empty: there is no
// such controller, or nothing to hand over.
func (h *Monitor) Successor(now time.Time) string {
	if !h.IsPartitioned(now) {
		return ""
	}
	best, most := h.busiestPeer()
	if most < h.requiredWorkers() {
		return ""
	}
	return best
}

// requiredWorkers is how many workers have to call elsewhere.
func (h *Monitor) requiredWorkers() int {
	return max(minWorkers, int(minPeerShare*float64(h.expectedMachines)))
}

// busiestPeer is the controller to which the most workers came of late, and how many.
func (h *Monitor) busiestPeer() (best string, most int) {
	for peer, n := range h.workersByPeer {
		if n > most || n == most && peer < best {
			best, most = peer, n
		}
	}
	return best, most
}

// RecordTransfer records that a leadership was handed over for want of hearing.
func (h *Monitor) RecordTransfer(now time.Time) { h.transferredAt = now }

// ShouldDeferCampaign reports whether this controller was not heard lately and had better leave the leadership to others.
func (h *Monitor) ShouldDeferCampaign(now time.Time) bool {
	return !h.transferredAt.IsZero() && now.Sub(h.transferredAt) < campaignDeferral
}

// RecordLeaderStatus takes in what the leader says of itself. A leader that hears again is named again.
func (h *Monitor) RecordLeaderStatus(now time.Time, suspendRedirects bool) {
	if !suspendRedirects {
		h.redirectsSuspendedUntil = time.Time{}
		return
	}
	h.redirectsSuspendedUntil = now.Add(redirectSuspension)
}

// RedirectsSuspended reports whether workers are not to be sent to the leader: it would not hear them.
func (h *Monitor) RedirectsSuspended(now time.Time) bool {
	return now.Before(h.redirectsSuspendedUntil)
}

// RecordWorkerContact is a worker's report to a controller that does not lead. One that is not newer than those that came before
// is a copy: its machine may be no more.
func (h *Monitor) RecordWorkerContact(now time.Time, machine string, incarnation, sequence uint64) {
	previous, known := h.contacts[machine]
	if known && (incarnation < previous.incarnation || incarnation == previous.incarnation && sequence <= previous.sequence) ||
		!known && len(h.contacts) >= maxContacts {
		return
	}
	h.contacts[machine] = contact{now, incarnation, sequence}
}

// RecentWorkers is how many workers have called here of late.
func (h *Monitor) RecentWorkers(now time.Time) int {
	count := 0
	for machine, c := range h.contacts {
		switch since := now.Sub(c.at); {
		case since > sequenceRetention:
			delete(h.contacts, machine)
		case since <= contactWindow:
			count++
		}
	}
	return count
}

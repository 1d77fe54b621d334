// Package connectivity tells a leader that workers cannot reach from workers that are gone.
//
// A leader that is cut off from the workers alone keeps its key, and every worker that contacts another controller is
// redirected to it. All their leases then expire with all that runs on them, after a third of the machines at a time
// were deleted as unresponsive (docs/incidents: both recorded days of the operations sites). That the leader receives
// no heartbeats is half of the evidence; that the workers contact other controllers is the other half.
//
// The package owns one Monitor for each process, which belongs to the election whether the controller leads or not:
// when the last heartbeat came, which machines answered probes, and which workers contacted which controller. It
// never sends anything and never transfers a leadership: the election asks whether to, and to whom.
// Design note: docs/design/connectivity.md.
package connectivity

import (
	"time"

	"gullrudder/internal/wire/workerapi"
)

const (
	// missedHeartbeats is how many mean intervals between the heartbeats of all machines together have to pass before
	// silence is taken for a partition: by chance, that happens once in a hundred thousand times.
	missedHeartbeats = 12
	// minSilence is the shortest silence that counts: a burst of work or of the network may delay everything as long.
	minSilence = time.Second
	// pauseThreshold is the time between two calls of Tick that shows that this process was paused.
	pauseThreshold = 300 * time.Millisecond
	// minPeerShare is the share of the expected machines that has to contact another controller, and minWorkers the
	// least number. Fewer machines than that are no evidence.
	minPeerShare = 0.125
	minWorkers   = 3
	// overdueShare is the share of the machines whose heartbeats may be overdue before the leader suspects a
	// partition though it receives some: of machines that have booted since, say. A zone may take half of a site along.
	overdueShare = 2.0 / 3
	// redirectSuspension is how long a follower keeps workers from a leader after its last ping that asked for it.
	redirectSuspension = 2 * time.Second
	// campaignDeferral is how long a controller that workers did not reach leaves the next leadership to others.
	campaignDeferral = 30 * time.Second
)

// Monitor is what a controller knows of the connections between workers and controllers. It is not safe for
// concurrent use.
type Monitor struct {
	heartbeatInterval time.Duration // of a worker

	// As leader.
	lastHeartbeatAt  time.Time
	lastTickAt       time.Time
	expectedMachines int            // machines whose heartbeats should come
	overdueMachines  int            // of these, those whose heartbeats are overdue
	workersByPeer    map[string]int // recent workers of the other controllers, by their names
	probes           probeHistory
	transferredAt    time.Time // when a leadership was last transferred because of a partition

	// As follower.
	redirectsSuspendedUntil time.Time
	contacts                contactTable
}

// New returns the monitor of a process. Every worker sends a heartbeat each heartbeatInterval.
func New(heartbeatInterval time.Duration) *Monitor {
	return &Monitor{heartbeatInterval: heartbeatInterval, workersByPeer: map[string]int{}, contacts: contactTable{}}
}

// StartLeadership forgets what was known of an earlier leadership: nobody can have contacted this one yet.
func (m *Monitor) StartLeadership(now time.Time) {
	m.lastHeartbeatAt, m.lastTickAt = now, now
	m.expectedMachines, m.overdueMachines = 0, 0
	clear(m.workersByPeer)
	m.probes = nil
	m.redirectsSuspendedUntil = time.Time{}
	clear(m.contacts)
}

// RecordHeartbeat records that a new heartbeat has reached this leader.
func (m *Monitor) RecordHeartbeat(now time.Time) { m.lastHeartbeatAt = now }

// Tick records how many machines the leader expects heartbeats of, and how many of these are overdue. A time in which
// this process was paused does not count as silence.
func (m *Monitor) Tick(now time.Time, expectedMachines, overdueMachines int) {
	if gap := now.Sub(m.lastTickAt); gap > pauseThreshold {
		m.lastHeartbeatAt = m.lastHeartbeatAt.Add(gap)
	}
	m.lastTickAt, m.expectedMachines, m.overdueMachines = now, expectedMachines, overdueMachines
}

// RecordProbe records whether a machine answered a probe, and whether its heartbeat was overdue at that time.
func (m *Monitor) RecordProbe(now time.Time, heartbeatOverdue, answered bool) {
	m.probes.add(probeResult{now, heartbeatOverdue, answered})
}

// SuspectsPartition reports whether the leader receives no heartbeats for longer than by chance, at most for as long
// as every machine should have sent one; or from so few machines that the others cannot all be lost.
func (m *Monitor) SuspectsPartition(now time.Time) bool {
	if m.expectedMachines < minWorkers {
		return false // after one lost heartbeat a worker contacts another controller: no reason to transfer
	}
	overdue := float64(m.overdueMachines) >= overdueShare*float64(m.expectedMachines)
	return now.Sub(m.lastHeartbeatAt) >= m.suspiciousSilence() || overdue
}

// suspiciousSilence returns for how long no heartbeat may come before a partition is suspected. The more machines
// there are, the shorter it is.
func (m *Monitor) suspiciousSilence() time.Duration {
	fullRound := m.heartbeatInterval*5/4 + minSilence/2
	improbableGap := missedHeartbeats * m.heartbeatInterval / time.Duration(m.expectedMachines)
	return max(min(improbableGap, fullRound), minSilence)
}

// NeedsProbes reports whether some machines should be probed directly, since this leader may be the one that is not
// reached. Workers that contact another controller do not receive this leader's responses.
func (m *Monitor) NeedsProbes(now time.Time) bool {
	return m.SuspectsPartition(now) || m.manyWorkersAtPeer()
}

// ShouldSuspendRedirects reports whether workers should not be redirected to this leader for now: the silence is not
// explained yet.
func (m *Monitor) ShouldSuspendRedirects(now time.Time) bool {
	anyProbe := func(probeResult) bool { return true }
	return m.SuspectsPartition(now) && m.probes.mostlyUnanswered(now, anyProbe) || m.IsPartitioned(now)
}

// IsPartitioned reports whether this leader is cut off from the workers in one direction at least: machines that are
// probed do not answer. Those with overdue heartbeats count if it receives too few, the others if many workers
// contact a peer. Without probes a new leader took the time in which the workers waited for the one before for a
// failure of its own, and transferred a sound leadership (docs/incidents: inc-1518, inc-98a2).
func (m *Monitor) IsPartitioned(now time.Time) bool {
	return m.SuspectsPartition(now) && m.probes.provePartition(now, true) || m.manyWorkersAtPeer() && m.probes.provePartition(now, false)
}

// RecordPeerWorkers records how many workers contacted a peer recently.
func (m *Monitor) RecordPeerWorkers(peer string, workers int) { m.workersByPeer[peer] = workers }

// Successor returns the controller that most workers reach while this leader is partitioned from them. It is empty if
// there is none, or if this leader is not partitioned.
func (m *Monitor) Successor(now time.Time) string {
	if !m.IsPartitioned(now) {
		return ""
	}
	peer, workers := m.busiestPeer()
	if workers < m.requiredWorkers() {
		return ""
	}
	return peer
}

// manyWorkersAtPeer reports whether many workers contact another controller.
func (m *Monitor) manyWorkersAtPeer() bool {
	_, workers := m.busiestPeer()
	return m.expectedMachines >= minWorkers && workers >= m.requiredWorkers()
}

// requiredWorkers returns how many workers have to contact a peer before that is evidence.
func (m *Monitor) requiredWorkers() int {
	return max(minWorkers, int(minPeerShare*float64(m.expectedMachines)))
}

// busiestPeer returns the peer that most workers contacted recently, the first by name of several, and their number.
func (m *Monitor) busiestPeer() (busiest string, most int) {
	for peer, workers := range m.workersByPeer {
		if workers > most || workers == most && peer < busiest {
			busiest, most = peer, workers
		}
	}
	return busiest, most
}

// RecordTransfer records that a leadership was transferred because of a partition.
func (m *Monitor) RecordTransfer(now time.Time) { m.transferredAt = now }

// ShouldDeferCampaign reports whether workers did not reach this controller recently, so that it should leave the
// leadership to others.
func (m *Monitor) ShouldDeferCampaign(now time.Time) bool {
	return !m.transferredAt.IsZero() && now.Sub(m.transferredAt) < campaignDeferral
}

// RecordLeaderStatus records whether the leader asked in its last ping not to redirect workers to it.
func (m *Monitor) RecordLeaderStatus(now time.Time, suspendRedirects bool) {
	if !suspendRedirects {
		m.redirectsSuspendedUntil = time.Time{}
		return
	}
	m.redirectsSuspendedUntil = now.Add(redirectSuspension)
}

// RedirectsSuspended reports whether workers are not to be redirected to the leader: their heartbeats would not reach
// it.
func (m *Monitor) RedirectsSuspended(now time.Time) bool {
	return now.Before(m.redirectsSuspendedUntil)
}

// RecordWorkerContact records a heartbeat that came to this controller though it does not lead. One that is not newer
// than those before is a duplicate: its machine may be gone.
func (m *Monitor) RecordWorkerContact(now time.Time, machine string, incarnation, sequence uint64) {
	m.contacts.record(machine, contact{now, workerapi.Position{Incarnation: incarnation, Sequence: sequence}})
}

// RecentWorkers returns how many workers contacted this controller recently.
func (m *Monitor) RecentWorkers(now time.Time) int { return m.contacts.countRecent(now) }

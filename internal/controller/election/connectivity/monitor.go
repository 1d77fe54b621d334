// Package connectivity detects asymmetric partitions: it distinguishes a leader that workers cannot reach from workers
// that are gone.
//
// A leader that is partitioned from the workers alone keeps its key, and every worker that contacts another controller
// is redirected to it. Then the leader deletes the machines as unresponsive, a third at a time, and the leases of the
// others expire with their tasks (docs/incidents: both recorded days of the operations sites). The evidence of a
// partition is that the leader receives no heartbeats, and that the workers contact other controllers.
//
// The package owns one Monitor for each process, which belongs to the election whether the controller leads or not:
// the time of the last heartbeat, which machines answered probes, and which workers contacted which controller. It
// never sends anything and never transfers a leadership: the election does, to the successor that the Monitor returns.
// Design note: docs/design/connectivity.md.
package connectivity

import (
	"time"

	"gullrudder/internal/wire/workerapi"
)

const (
	// missedHeartbeats is after how many mean intervals between two heartbeats of any machines a partition is suspected.
	// By chance, such a silence happens once in a hundred thousand times.
	missedHeartbeats = 12
	// minSilence is the shortest silence that counts, since high load may delay all heartbeats for as long.
	minSilence = time.Second
	// pauseThreshold is the time between two calls of Tick after which this process counts as paused.
	pauseThreshold = 300 * time.Millisecond
	// minPeerShare is the least share, and minWorkers the least number, of the expected machines that have to contact
	// another controller for evidence of a partition.
	minPeerShare = 0.125
	minWorkers   = 3
	// overdueShare is the share of machines with overdue heartbeats from which the leader suspects a partition although
	// it receives some heartbeats, for example of newly booted machines. An unavailable zone may be half of a site.
	overdueShare = 2.0 / 3
	// redirectSuspension is how long a follower suspends redirects after the last ping that asked for it.
	redirectSuspension = 2 * time.Second
	// campaignDeferral is how long a controller defers its campaigns after a transfer because of a partition.
	campaignDeferral = 30 * time.Second
)

// Monitor observes the connections between workers and controllers. It is not safe for concurrent use.
type Monitor struct {
	heartbeatInterval time.Duration // of a worker

	// As leader.
	lastHeartbeatAt  time.Time
	lastTickAt       time.Time
	expectedMachines int            // machines that should send heartbeats
	overdueMachines  int            // of these, those whose heartbeats are overdue
	workersByPeer    map[string]int // number of workers that contacted a peer recently, by its name
	probes           probeHistory
	transferredAt    time.Time // when a leadership was last transferred because of a partition

	// As follower.
	redirectsSuspendedUntil time.Time
	contacts                contactTable
}

// New returns the monitor of a process. heartbeatInterval is the interval of each worker.
func New(heartbeatInterval time.Duration) *Monitor {
	return &Monitor{heartbeatInterval: heartbeatInterval, workersByPeer: map[string]int{}, contacts: contactTable{}}
}

// StartLeadership drops the evidence of an earlier leadership.
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

// Tick records how many machines the leader expects heartbeats from, and how many of these are overdue. A pause of this
// process does not count as silence.
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

// SuspectsPartition reports whether the leader has received no heartbeats for longer than is probable by chance, or
// whether the heartbeats of so many machines are overdue that these cannot all be lost.
func (m *Monitor) SuspectsPartition(now time.Time) bool {
	if m.expectedMachines < minWorkers {
		return false // a worker contacts another controller after one lost heartbeat, which is no partition
	}
	overdue := float64(m.overdueMachines) >= overdueShare*float64(m.expectedMachines)
	return now.Sub(m.lastHeartbeatAt) >= m.suspiciousSilence() || overdue
}

// suspiciousSilence returns the time without heartbeats after which a partition is suspected. It gets shorter with the
// number of machines, and is at most the time in which every machine should have sent a heartbeat.
func (m *Monitor) suspiciousSilence() time.Duration {
	fullRound := m.heartbeatInterval*5/4 + minSilence/2
	improbableGap := missedHeartbeats * m.heartbeatInterval / time.Duration(m.expectedMachines)
	return max(min(improbableGap, fullRound), minSilence)
}

// NeedsProbes reports whether a sample of machines should be probed, since this leader may be partitioned from them:
// heartbeats are missing, or workers contact another controller since they do not receive this leader's responses.
func (m *Monitor) NeedsProbes(now time.Time) bool {
	return m.SuspectsPartition(now) || m.manyWorkersAtPeer()
}

// ShouldSuspendRedirects reports whether peers should not redirect workers to this leader for now, since it is, or may
// be, partitioned from them.
func (m *Monitor) ShouldSuspendRedirects(now time.Time) bool {
	anyProbe := func(probeResult) bool { return true }
	return m.SuspectsPartition(now) && m.probes.mostlyUnanswered(now, anyProbe) || m.IsPartitioned(now)
}

// IsPartitioned reports whether this leader is partitioned from the workers in at least one direction: probed machines
// do not answer. If heartbeats are missing, the probes of machines with overdue heartbeats count; if many workers
// contact a peer, the other probes count. Without the probes a new leader took the time in which the workers still
// waited for the previous leader for a partition, and transferred its leadership (docs/incidents: inc-1518, inc-98a2).
func (m *Monitor) IsPartitioned(now time.Time) bool {
	return m.SuspectsPartition(now) && m.probes.provePartition(now, true) || m.manyWorkersAtPeer() && m.probes.provePartition(now, false)
}

// RecordPeerWorkers records how many workers contacted a peer recently.
func (m *Monitor) RecordPeerWorkers(peer string, workers int) { m.workersByPeer[peer] = workers }

// Successor returns the peer that most workers contact, if this leader is partitioned from the workers and enough of
// them contact that peer; otherwise "".
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

// busiestPeer returns the peer that most workers contacted recently, and their number. Of equal peers it is the first by name.
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

// ShouldDeferCampaign reports whether this controller transferred its leadership recently because of a partition, and
// should let another controller be elected.
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

// RedirectsSuspended reports whether workers must not be redirected to the leader, as the leader has requested.
func (m *Monitor) RedirectsSuspended(now time.Time) bool {
	return now.Before(m.redirectsSuspendedUntil)
}

// RecordWorkerContact records a heartbeat that this controller received as a follower. Duplicates and older heartbeats do
// not count: their machine may be gone.
func (m *Monitor) RecordWorkerContact(now time.Time, machine string, incarnation, sequence uint64) {
	m.contacts.record(machine, contact{now, workerapi.Position{Incarnation: incarnation, Sequence: sequence}})
}

// RecentWorkers returns how many workers contacted this controller recently.
func (m *Monitor) RecentWorkers(now time.Time) int { return m.contacts.countRecent(now) }

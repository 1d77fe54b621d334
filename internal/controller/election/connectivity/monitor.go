// Package connectivity detects asymmetric partitions: it distinguishes a leader that workers cannot reach from workers
// that have failed.
//
// A leader that is partitioned from the workers, but not from the state service, keeps the leader's key. Every worker that
// contacts another controller is redirected to this leader. Without this package the leader would delete the machines as
// unresponsive, a third at a time, and the leases of the others would expire and their tasks end (docs/incidents: both
// recorded days of the operations sites). Evidence of a partition is that the leader receives no heartbeats, and that the
// workers contact other controllers.
//
// Each process has one Monitor, which the election uses in every role. It holds the time of the last heartbeat, the
// results of probes, and the workers that contacted each controller. It never sends anything and never transfers the
// leadership: the election does that, to the successor that the Monitor returns.
// Design note: docs/design/connectivity.md.
package connectivity

import (
	"time"

	"gullrudder/internal/wire/workerapi"
)

const (
	// missedHeartbeats determines the silence after which a partition is suspected: the time in which all machines together
	// should send this number of heartbeats. The probability of such a silence by chance is about 1 in 100 000.
	missedHeartbeats = 12
	// minSilence is the shortest silence that makes a partition suspected. High load may delay all heartbeats by up to this time.
	minSilence = time.Second
	// pauseThreshold is the time between two calls of Tick above which this process counts as paused.
	pauseThreshold = 300 * time.Millisecond
	// Workers that contact another controller are evidence of a partition only if their share of the expected machines is at
	// least minPeerShare and their number is at least minWorkers.
	minPeerShare = 0.125
	minWorkers   = 3
	// overdueShare is the share of machines with overdue heartbeats at which the leader suspects a partition although it
	// receives some heartbeats, for example from newly booted machines. It exceeds one half, since an unavailable zone may
	// contain half of the machines of a site.
	overdueShare = 2.0 / 3
	// redirectSuspension is how long a follower suspends redirects after the last ping that requested it.
	redirectSuspension = 2 * time.Second
	// campaignDeferral is how long a controller defers its campaigns after it transferred its leadership because of a
	// partition.
	campaignDeferral = 30 * time.Second
)

// Monitor observes the connections between workers and controllers. It is not safe for concurrent use.
type Monitor struct {
	heartbeatInterval time.Duration // time between two heartbeats of a worker

	// State of a leader.
	lastHeartbeatAt  time.Time
	lastTickAt       time.Time
	expectedMachines int            // machines that should send heartbeats
	overdueMachines  int            // expected machines whose heartbeats are overdue
	workersByPeer    map[string]int // number of workers that contacted a peer recently, by the peer's name
	probes           probeHistory
	transferredAt    time.Time // when this controller last transferred its leadership because of a partition; zero if never

	// State of a follower.
	redirectsSuspendedUntil time.Time
	contacts                contactTable
}

// New returns the monitor of a process. heartbeatInterval is the time between two heartbeats of a worker.
func New(heartbeatInterval time.Duration) *Monitor {
	return &Monitor{heartbeatInterval: heartbeatInterval, workersByPeer: map[string]int{}, contacts: contactTable{}}
}

// StartLeadership resets the evidence when this controller is elected. The silence counts from now.
func (m *Monitor) StartLeadership(now time.Time) {
	m.lastHeartbeatAt, m.lastTickAt = now, now
	m.expectedMachines, m.overdueMachines = 0, 0
	clear(m.workersByPeer)
	m.probes = nil
	m.redirectsSuspendedUntil = time.Time{}
	clear(m.contacts)
}

// RecordHeartbeat records that the leader received a heartbeat that is not a duplicate.
func (m *Monitor) RecordHeartbeat(now time.Time) { m.lastHeartbeatAt = now }

// Tick records how many machines should send heartbeats, and how many of these are overdue. The leader calls it at every
// tick of the event loop. The time in which this process was paused does not count as silence.
func (m *Monitor) Tick(now time.Time, expectedMachines, overdueMachines int) {
	if gap := now.Sub(m.lastTickAt); gap > pauseThreshold {
		m.lastHeartbeatAt = m.lastHeartbeatAt.Add(gap)
	}
	m.lastTickAt, m.expectedMachines, m.overdueMachines = now, expectedMachines, overdueMachines
}

// RecordProbe records whether a machine answered a probe. partitionSuspected states whether SuspectsPartition was true when the
// probe was sent. If it was not, the machine had no overdue heartbeat.
func (m *Monitor) RecordProbe(now time.Time, partitionSuspected, answered bool) {
	m.probes.add(probeResult{now, partitionSuspected, answered})
}

// SuspectsPartition reports whether the leader has received no heartbeats for so long that chance is improbable, or the
// heartbeats of so many machines are overdue that it is improbable that all of them failed. It is false with fewer than
// minWorkers expected machines.
func (m *Monitor) SuspectsPartition(now time.Time) bool {
	if m.expectedMachines < minWorkers {
		return false // one lost heartbeat, after which a worker contacts another controller, does not indicate a partition
	}
	manyOverdue := float64(m.overdueMachines) >= overdueShare*float64(m.expectedMachines)
	return now.Sub(m.lastHeartbeatAt) >= m.suspiciousSilence() || manyOverdue
}

// suspiciousSilence returns the time without heartbeats after which a partition is suspected. The more machines there are,
// the shorter it is. It is at least minSilence and at most the time in which every machine should have sent a heartbeat.
func (m *Monitor) suspiciousSilence() time.Duration {
	fullRound := m.heartbeatInterval*5/4 + minSilence/2
	improbableGap := missedHeartbeats * m.heartbeatInterval / time.Duration(m.expectedMachines)
	return max(min(improbableGap, fullRound), minSilence)
}

// NeedsProbes reports whether a sample of machines should be probed because this leader may be partitioned from them. That
// is the case if heartbeats are missing, or if many workers contact another controller, as they do when they do not
// receive this leader's responses.
func (m *Monitor) NeedsProbes(now time.Time) bool {
	return m.SuspectsPartition(now) || m.manyWorkersAtPeer()
}

// ShouldSuspendRedirects reports whether peers should not redirect workers to this leader, since it is or may be
// partitioned from the workers.
func (m *Monitor) ShouldSuspendRedirects(now time.Time) bool {
	anyProbe := func(probeResult) bool { return true }
	return m.SuspectsPartition(now) && m.probes.mostlyUnanswered(now, anyProbe) || m.IsPartitioned(now)
}

// IsPartitioned reports whether this leader is partitioned from the workers in at least one direction, so that machines do
// not answer its probes. If a partition is suspected, the probes that were sent under suspicion count. If many workers
// contact a peer, the other probes count. After an election the workers first wait for the previous leader. Without probes
// a new leader mistook this time for a partition and transferred its leadership (docs/incidents: inc-1518, inc-98a2).
func (m *Monitor) IsPartitioned(now time.Time) bool {
	return m.SuspectsPartition(now) && m.probes.provePartition(now, true) || m.manyWorkersAtPeer() && m.probes.provePartition(now, false)
}

// RecordPeerWorkers records how many workers contacted a peer recently. It replaces the peer's earlier number.
func (m *Monitor) RecordPeerWorkers(peer string, workers int) { m.workersByPeer[peer] = workers }

// Successor returns the name of the peer to which the leadership should be transferred: the one that most workers contact.
// It is "" unless this leader is partitioned from the workers and enough workers contact that peer.
func (m *Monitor) Successor(now time.Time) string {
	if !m.IsPartitioned(now) {
		return ""
	}
	peer, workers := m.mostContactedPeer()
	if workers < m.requiredWorkers() {
		return ""
	}
	return peer
}

// manyWorkersAtPeer reports whether the workers that contact one of the other controllers are enough for evidence.
func (m *Monitor) manyWorkersAtPeer() bool {
	_, workers := m.mostContactedPeer()
	return m.expectedMachines >= minWorkers && workers >= m.requiredWorkers()
}

// requiredWorkers returns the number of workers at one peer that is evidence of a partition.
func (m *Monitor) requiredWorkers() int {
	return max(minWorkers, int(minPeerShare*float64(m.expectedMachines)))
}

// mostContactedPeer returns the peer that most workers contacted recently, and their number. Among equal peers it returns
// the first by name.
func (m *Monitor) mostContactedPeer() (mostContacted string, most int) {
	for peer, workers := range m.workersByPeer {
		if workers > most || workers == most && peer < mostContacted {
			mostContacted, most = peer, workers
		}
	}
	return mostContacted, most
}

// RecordTransfer records that this controller transferred its leadership because of a partition.
func (m *Monitor) RecordTransfer(now time.Time) { m.transferredAt = now }

// ShouldDeferCampaign reports whether this controller should let another controller be elected, since it recently
// transferred its leadership because of a partition.
func (m *Monitor) ShouldDeferCampaign(now time.Time) bool {
	return !m.transferredAt.IsZero() && now.Sub(m.transferredAt) < campaignDeferral
}

// RecordSuspendRedirects records whether the leader's last ping requested that workers are not redirected to the leader.
func (m *Monitor) RecordSuspendRedirects(now time.Time, suspendRedirects bool) {
	if !suspendRedirects {
		m.redirectsSuspendedUntil = time.Time{}
		return
	}
	m.redirectsSuspendedUntil = now.Add(redirectSuspension)
}

// RedirectsSuspended reports whether the leader has requested, within redirectSuspension, that workers are not redirected
// to it.
func (m *Monitor) RedirectsSuspended(now time.Time) bool {
	return now.Before(m.redirectsSuspendedUntil)
}

// RecordWorkerContact records a heartbeat that this controller received as a follower. Duplicates and heartbeats older than
// the last one are ignored, since their machine may no longer exist.
func (m *Monitor) RecordWorkerContact(now time.Time, machine string, incarnation, sequence uint64) {
	m.contacts.record(machine, contact{now, workerapi.Position{Incarnation: incarnation, Sequence: sequence}})
}

// RecentWorkers returns how many workers contacted this controller within contactWindow. It deletes outdated contacts.
func (m *Monitor) RecentWorkers(now time.Time) int { return m.contacts.countRecent(now) }

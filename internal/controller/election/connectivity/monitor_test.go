package connectivity

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const heartbeatInterval = 4 * time.Second

// newLeaderMonitor returns the monitor of a leader that expects heartbeats from a number of machines, some of them overdue.
func newLeaderMonitor(now time.Time, machines, overdue int) *Monitor {
	m := New(heartbeatInterval)
	m.StartLeadership(now)
	m.Tick(now, machines, overdue)
	return m
}

// TestPartitionDetection checks the time until a leader that machines no longer reach suspects a partition. With a thousand
// machines it is about a second. With three it is about the time in which all of them should have sent a heartbeat. A
// leader that receives heartbeats with jitter does not suspect a partition.
func TestPartitionDetection(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, test := range []struct {
		machines int
		limit    time.Duration
	}{
		{3, heartbeatInterval*5/4 + time.Second},
		{40, heartbeatInterval*5/4 + time.Second},
		{1000, 1200 * time.Millisecond},
	} {
		t.Run(fmt.Sprint(test.machines, " machines"), func(t *testing.T) {
			m := New(heartbeatInterval)
			startedAt := time.Unix(1000, 0)
			partitionedAt := startedAt.Add(10 * time.Minute)
			suspectedAt, ok := simulatePartition(m, test.machines, startedAt, partitionedAt, rng)
			if took := suspectedAt.Sub(partitionedAt); !ok || took < 0 || took > test.limit {
				t.Errorf("partition suspected: got %v, %v after it began, want within %v", ok, took, test.limit)
			}
			if m.IsPartitioned(suspectedAt) {
				t.Error("got partitioned before any machine was probed, want connected")
			}
			for range 3 {
				m.RecordProbe(suspectedAt, true, false)
			}
			if !m.IsPartitioned(suspectedAt) || m.IsPartitioned(suspectedAt.Add(probeWindow+1)) {
				t.Errorf(
					"three unanswered probes: got partitioned %v, after the window %v, want true, false",
					m.IsPartitioned(suspectedAt), m.IsPartitioned(suspectedAt.Add(probeWindow+1)),
				)
			}
			if m.RecordProbe(suspectedAt, true, true); m.IsPartitioned(suspectedAt) {
				t.Error("got partitioned after an answered probe, want connected")
			}
		})
	}
}

// simulatePartition simulates machines that send heartbeats with jitter, which reach the leader until partitionedAt. It
// returns when the leader first suspects a partition. ok is false if it does not within a minute of partitionedAt.
func simulatePartition(
	monitor *Monitor,
	machines int,
	startedAt, partitionedAt time.Time,
	rng *rand.Rand,
) (suspectedAt time.Time, ok bool) {
	monitor.StartLeadership(startedAt)
	next := make([]time.Time, machines)
	for i := range next {
		next[i] = startedAt.Add(time.Duration(rng.Int64N(int64(heartbeatInterval))))
	}
	for now := startedAt; now.Before(partitionedAt.Add(time.Minute)); now = now.Add(50 * time.Millisecond) {
		for i, at := range next {
			if !at.Before(now) {
				continue
			}
			next[i] = at.Add(heartbeatInterval*3/4 + time.Duration(rng.Int64N(int64(heartbeatInterval/2))))
			if now.Before(partitionedAt) {
				monitor.RecordHeartbeat(now)
			}
		}
		if monitor.Tick(now, machines, 0); monitor.SuspectsPartition(now) {
			return now, true
		}
	}
	return time.Time{}, false
}

// TestOverdueShare checks that a leader suspects a partition if at least two thirds of the machines are overdue, although
// it receives heartbeats. If only half are overdue, it does not: they may be in an unavailable zone.
func TestOverdueShare(t *testing.T) {
	for _, test := range []struct {
		name              string
		machines, overdue int
		want              bool
	}{
		{"two thirds of a site", 30, 20, true},
		{"just under two thirds", 30, 19, false},
		{"half of a site", 30, 15, false},
		{"two thirds of three", 3, 2, true},
		{"too few machines", 2, 2, false},
		{"half of four", 4, 2, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			m := newLeaderMonitor(now, test.machines, test.overdue)
			m.RecordHeartbeat(now)
			if got := m.SuspectsPartition(now); got != test.want {
				t.Errorf("partition suspected: got %v, want %v", got, test.want)
			}
		})
	}
}

// TestAsymmetricPartition checks the detection of a partition in which the leader receives heartbeats but its responses are
// lost. Machines then do not answer probes, and many workers contact another controller. Only both together prove it.
func TestAsymmetricPartition(t *testing.T) {
	for _, test := range []struct {
		name                          string
		workers, answered, unanswered int // workers that contact the peer, probes
		want                          bool
	}{
		{"no probe answered", 60, 0, 8, true},
		{"a fifth of the probes answered", 60, 2, 8, true},
		{"more probes answered", 60, 3, 8, false},
		{"few workers at the peer", 40, 0, 8, false},
		{"too few probes", 60, 0, 2, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			m := newLeaderMonitor(now, 400, 0)
			m.RecordHeartbeat(now)
			m.RecordPeerWorkers("b", test.workers)
			for range test.answered {
				m.RecordProbe(now, false, true)
			}
			for range test.unanswered {
				m.RecordProbe(now, false, false)
				m.RecordProbe(now, true, false) // probes sent under suspicion do not count here
			}
			if got := m.IsPartitioned(now); got != test.want {
				t.Errorf("partitioned: got %v, want %v", got, test.want)
			}
		})
	}
}

// TestPauseIsNotSilence checks that a process does not suspect a partition after it was paused.
func TestPauseIsNotSilence(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newLeaderMonitor(now, 100, 0)
	now = now.Add(20 * time.Second)
	m.Tick(now, 100, 0)
	if m.SuspectsPartition(now) {
		t.Error("partition suspected after a pause of the process, want not suspected")
	}
}

// TestSuccessor checks to which peer a leader that is partitioned from the workers transfers its leadership.
func TestSuccessor(t *testing.T) {
	for _, test := range []struct {
		name                         string
		machines, workersA, workersB int
		want                         string
	}{
		{"less than an eighth at a peer", 400, 49, 10, ""},
		{"an eighth at peer a", 400, 50, 10, "a"},
		{"more workers at peer b", 400, 10, 90, "b"},
		{"two of four", 4, 2, 0, ""},
		{"three of four", 4, 3, 0, "a"},
		{"one lost heartbeat from each of two machines", 2, 0, 2, ""},
		{"no machine expected", 0, 9, 9, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			m := newLeaderMonitor(now, test.machines, 0)
			m.RecordPeerWorkers("a", test.workersA)
			m.RecordPeerWorkers("b", test.workersB)
			if got := m.Successor(now); got != "" {
				t.Errorf("successor after a short silence: got %q, want none", got)
			}
			for range 200 {
				now = now.Add(50 * time.Millisecond)
				m.Tick(now, test.machines, 0)
				m.RecordProbe(now, true, false)
			}
			if got := m.Successor(now); got != test.want {
				t.Errorf("successor: got %q, want %q", got, test.want)
			}
		})
	}
}

// TestRecentWorkers checks that a follower counts each worker that contacted it recently once.
func TestRecentWorkers(t *testing.T) {
	m, now := New(heartbeatInterval), time.Unix(1000, 0)
	for i := range 7 {
		machine := fmt.Sprint("vm-", i)
		m.RecordWorkerContact(now, machine, 1, 1)
		m.RecordWorkerContact(now.Add(time.Second), machine, 1, 2)
	}
	if n := m.RecentWorkers(now.Add(time.Second)); n != 7 || m.RedirectsSuspended(now) {
		t.Errorf("got recent workers %d, redirects suspended %v, want 7, false", n, m.RedirectsSuspended(now))
	}
	if n := m.RecentWorkers(now.Add(time.Second + contactWindow + 1)); n != 0 {
		t.Errorf("recent workers after the contact window: got %d, want 0", n)
	}
}

// TestRedirectsSuspended checks that redirects are suspended after a ping that requests it, until redirectSuspension has
// passed or a ping does not request it.
func TestRedirectsSuspended(t *testing.T) {
	m, now := New(heartbeatInterval), time.Unix(1000, 0)
	m.RecordSuspendRedirects(now, true)
	if !m.RedirectsSuspended(now) || m.RedirectsSuspended(now.Add(redirectSuspension)) {
		t.Errorf(
			"redirects suspended: got %v, later %v, want true, false",
			m.RedirectsSuspended(now), m.RedirectsSuspended(now.Add(redirectSuspension)),
		)
	}
	m.RecordSuspendRedirects(now, false)
	if m.RedirectsSuspended(now) {
		t.Error("redirects suspended although the last ping does not request it, want allowed")
	}
}

// TestDuplicateHeartbeatsNotCounted checks that late duplicates and heartbeats of an earlier incarnation do not count as
// contacts.
func TestDuplicateHeartbeatsNotCounted(t *testing.T) {
	m, now := New(time.Second), time.Unix(1000, 0)
	for i := range 5 {
		m.RecordWorkerContact(now, fmt.Sprint("vm-", i), 2, 7)
	}
	if n := m.RecentWorkers(now); n != 5 {
		t.Fatalf("recent workers: got %d, want 5", n)
	}
	now = now.Add(time.Minute)
	m.RecordWorkerContact(now, "vm-0", 2, 7)  // duplicate
	m.RecordWorkerContact(now, "vm-1", 1, 90) // earlier incarnation
	m.RecordWorkerContact(now, "vm-2", 2, 8)
	m.RecordWorkerContact(now, "vm-3", 3, 1)
	if n := m.RecentWorkers(now); n != 2 {
		t.Errorf("recent workers: got %d, want 2", n)
	}
}

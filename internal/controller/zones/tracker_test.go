package zones

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gullrudder/internal/testseed"
)

// rememberedOutages returns the number of remembered outages of all zones.
func (t *Tracker) rememberedOutages() int {
	count := 0
	for _, z := range t.zones {
		count += len(z.outages)
	}
	return count
}

func TestMain(m *testing.M) { testseed.Main(m) }

const (
	heartbeatInterval = 4 * time.Second
	leaseDuration     = 20 * time.Second
	modelTick         = 50 * time.Millisecond
)

var modelZones = []string{"a", "b", "c"}

// model is a simple cluster: machines that send heartbeats, zones that become unavailable, and a leader that may be paused or receive
// nothing. It records which zones are unavailable.
type model struct {
	rng              *rand.Rand
	now              time.Time
	tracker          *Tracker
	machines         []*modelMachine
	unavailableSince map[string]time.Time // start of the outage, by zone; only zones that are unavailable
	recoveredAt      map[string]time.Time // end of the last outage, by zone
	pausedUntil      time.Time            // the leader is paused until then
	lastPaused       time.Time            // the last time at which the leader was paused
	inboundLost      bool                 // no heartbeats reach the leader
	lastInboundLost  time.Time            // the last time at which inboundLost was true
}

type modelMachine struct {
	zone          string
	lastHeartbeat time.Time
	nextHeartbeat time.Time
}

func newModel(seed uint64, zones map[string]int) *model {
	m := &model{
		rng:              rand.New(rand.NewPCG(seed, 1)),
		now:              time.Unix(10_000, 0),
		unavailableSince: map[string]time.Time{},
		recoveredAt:      map[string]time.Time{},
	}
	m.tracker = New(heartbeatInterval, m.now, slog.New(slog.DiscardHandler))
	for _, name := range modelZones {
		for range zones[name] {
			next := m.now.Add(time.Duration(m.rng.Int64N(int64(heartbeatInterval))))
			m.machines = append(m.machines, &modelMachine{zone: name, lastHeartbeat: m.now, nextHeartbeat: next})
		}
	}
	return m
}

// observed returns what the tracker observes of a machine.
func (m *model) observed(machine *modelMachine) Machine {
	return Machine{
		Zone:             machine.zone,
		HasSentHeartbeat: true,
		LeaseValid:       m.now.Sub(machine.lastHeartbeat) <= leaseDuration,
		LastHeartbeat:    machine.lastHeartbeat,
	}
}

// run simulates a time span and calls check after each observation of the tracker.
func (m *model) run(span time.Duration, check func()) {
	for end := m.now.Add(span); m.now.Before(end); {
		m.now = m.now.Add(modelTick)
		if m.now.Before(m.pausedUntil) {
			m.lastPaused = m.now
			continue
		}
		if m.inboundLost {
			m.lastInboundLost = m.now
		}
		for _, machine := range m.machines {
			if m.now.Before(machine.nextHeartbeat) {
				continue
			}
			machine.nextHeartbeat = m.now.Add(heartbeatInterval*3/4 + time.Duration(m.rng.Int64N(int64(heartbeatInterval/2))))
			if _, unavailable := m.unavailableSince[machine.zone]; !unavailable && !m.inboundLost {
				machine.lastHeartbeat = m.now
			}
		}
		// Package election/connectivity detects lost inbound connections within a second.
		inboundUnreachable := m.inboundLost && m.now.Sub(m.lastInboundLost) == 0
		m.tracker.Observe(m.now, inboundUnreachable, func(visit func(Machine)) {
			for _, machine := range m.machines {
				visit(m.observed(machine))
			}
		})
		check()
	}
}

// detectionBound is the time within which an outage must be detected. recoveryBound is the time within which its end must be
// detected.
const (
	detectionBound = heartbeatInterval*5/4 + time.Second + 2*observeInterval
	recoveryBound  = heartbeatInterval*5/4 + minSilence + 2*observeInterval
)

// reachableZones returns the number of zones that have machines and have been reachable for longer than recoveryBound.
func (m *model) reachableZones() int {
	count := 0
	for _, name := range modelZones {
		if _, unavailable := m.unavailableSince[name]; unavailable || m.now.Sub(m.recoveredAt[name]) <= recoveryBound {
			continue
		}
		// Zone c may have no machines.
		if z := m.tracker.zones[name]; name != "c" || z != nil && z.machines.expected > 0 {
			count++
		}
	}
	return count
}

// checkZone compares the state of a zone in the tracker with the model.
func (m *model) checkZone(t *rapid.T, name string, reachableZones int) {
	z := m.tracker.zones[name]
	if z == nil {
		return
	}
	leaderFailed := m.now.Sub(m.lastPaused) <= leaseDuration || m.now.Sub(m.lastInboundLost) <= leaseDuration
	elapsed := m.now.Sub(time.Unix(10_000, 0))
	since, unavailable := m.unavailableSince[name]
	outage := m.now.Sub(since)
	isDetectable := outage > detectionBound && outage < leaseDuration && reachableZones > 0 && !leaderFailed &&
		z.machinesBeforeOutage >= 2*minSilentMachines
	switch state := m.tracker.stateOf(name); {
	case !unavailable && state == Unavailable && m.now.Sub(m.recoveredAt[name]) > recoveryBound && !leaderFailed:
		t.Fatalf("%v: reachable zone %s: state Unavailable, want recovered within %v", elapsed, name, recoveryBound)
	case !unavailable && state == Unavailable && m.recoveredAt[name].IsZero() && m.now.Sub(m.lastInboundLost) > recoveryBound:
		t.Fatalf("%v: zone %s without an outage: state Unavailable, want another", elapsed, name)
	case unavailable && state != Unavailable && isDetectable:
		t.Fatalf("%v: zone %s unavailable for %v: state %v, want Unavailable", elapsed, name, outage, state)
	}
}

// injectFault injects a random fault and runs until it is over.
func (m *model) injectFault(t *rapid.T, check func()) {
	name := rapid.SampledFrom(modelZones).Draw(t, "zone")
	span := time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second
	switch rapid.IntRange(0, 3).Draw(t, "fault") {
	case 0, 1:
		m.unavailableSince[name] = m.now
		m.run(span, check)
		delete(m.unavailableSince, name)
		m.recoveredAt[name] = m.now
	case 2:
		m.pausedUntil = m.now.Add(span / 4)
	case 3:
		m.inboundLost = true
		m.run(span/4, check)
		m.inboundLost = false
		// Checks begin again once each machine has sent a heartbeat.
		m.run(heartbeatInterval*5/4+time.Second, func() {})
	}
}

// TestTrackerMatchesModel runs random outages, recoveries, pauses of the leader and losses of its inbound connections. An
// outage must be detected within detectionBound and its end within recoveryBound. A zone without an outage must never be
// Unavailable.
func TestTrackerMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.Uint64().Draw(t, "seed"), map[string]int{
			"a": rapid.IntRange(3, 60).Draw(t, "a"), "b": rapid.IntRange(3, 60).Draw(t, "b"),
			"c": rapid.IntRange(0, 12).Draw(t, "c"),
		})
		check := func() {
			reachable := m.reachableZones()
			for _, name := range modelZones {
				m.checkZone(t, name, reachable)
			}
		}
		m.run(10*time.Second, check)
		for range rapid.IntRange(1, 6).Draw(t, "faults") {
			m.injectFault(t, check)
			m.run(time.Duration(rapid.IntRange(0, 90).Draw(t, "quiet"))*time.Second, check)
		}
	})
}

// TestDetectionTimeBySize checks that the outage of a large zone is detected sooner than that of a small one, and that
// jitter alone is not classified as an outage.
func TestDetectionTimeBySize(t *testing.T) {
	for _, machines := range []int{6, 60, 600} {
		m := newModel(uint64(machines), map[string]int{"a": machines, "b": machines})
		m.run(time.Hour/6, func() {
			if m.tracker.rememberedOutages() > 0 {
				t.Fatalf("%d machines with jitter only: got %d outages, want 0", machines, m.tracker.rememberedOutages())
			}
		})
		m.unavailableSince["b"] = m.now
		outageStart := m.now
		var took time.Duration
		m.run(10*time.Second, func() {
			if took == 0 && m.tracker.stateOf("b") == Unavailable {
				took = m.now.Sub(outageStart)
			}
		})
		if took == 0 || took > detectionBound || machines >= 60 && took > 3*time.Second {
			t.Errorf("%d machines: outage detected after %v, want within %v, with 60 machines or more within 3s", machines, took, detectionBound)
		}
		t.Logf("%d machines a zone: detected after %v", machines, took)
	}
}

// recoverByRequests ends the outage of zone b, and requests as many instances as possible until it is Healthy. It returns the limit of
// the first step and the duration of the recovery.
func (m *model) recoverByRequests(t *testing.T) (firstLimit int, took time.Duration) {
	t.Helper()
	delete(m.unavailableSince, "b")
	start := m.now
	for m.tracker.stateOf("b") != Healthy && m.now.Sub(start) < 5*time.Minute {
		m.run(modelTick, func() {})
		count := m.tracker.MaxRequestable(m.now, "b", 1<<20)
		if m.tracker.stateOf("b") != Recovering {
			continue
		}
		if firstLimit == 0 {
			firstLimit = count
		}
		m.tracker.RecordRequest(m.now, "b", count)
		if m.tracker.MaxRequestable(m.now, "b", 1<<20) > 0 && m.tracker.stateOf("b") == Recovering {
			t.Fatalf("instances requestable after a whole recovery step: got %d, want 0", m.tracker.MaxRequestable(m.now, "b", 1<<20))
		}
	}
	return firstLimit, m.now.Sub(start)
}

// TestRecoveryStepsAndFlapping checks that instances in a recovering zone are limited by steps. After repeated outages each
// recovery must take longer. Outages are forgotten after ten minutes.
func TestRecoveryStepsAndFlapping(t *testing.T) {
	m := newModel(1, map[string]int{"a": 40, "b": 40})
	m.run(20*time.Second, func() {})
	if n := m.tracker.MaxRequestable(m.now, "b", 500); n != 500 {
		t.Fatalf("instances requestable in a healthy zone: got %d, want 500", n)
	}
	var recoveries []time.Duration
	for round := range 3 {
		m.unavailableSince["b"] = m.now
		m.run(30*time.Second, func() {})
		if m.tracker.stateOf("b") != Unavailable || m.tracker.MaxRequestable(m.now, "b", 500) != 1 {
			t.Fatalf(
				"round %d: got state %v, %d instances requestable, want Unavailable, 1",
				round, m.tracker.stateOf("b"), m.tracker.MaxRequestable(m.now, "b", 500),
			)
		}
		firstLimit, took := m.recoverByRequests(t)
		if firstLimit != firstRecoveryStep {
			t.Errorf("round %d: limit of the first recovery step: got %d, want %d", round, firstLimit, firstRecoveryStep)
		}
		recoveries = append(recoveries, took)
	}
	if recoveries[1] < recoveries[0]*3/2 || recoveries[2] < recoveries[1]*3/2 {
		t.Errorf("recovery times: got %v, want each at least 1.5 times the one before", recoveries)
	}
	m.run(outageMemory, func() {})
	if v := m.tracker.Views(); v[1].Name != "b" || v[1].Outages != 0 || v[1].State != Healthy {
		t.Errorf("zone after ten minutes without an outage: got %+v, want healthy zone b without outages", v[1])
	}
}

// TestIncompleteEvidenceIsNoOutage checks three cases that must not be classified as an outage: a third of a zone's machines
// is silent, a zone of two machines is silent, or the only zone is silent.
func TestIncompleteEvidenceIsNoOutage(t *testing.T) {
	m := newModel(2, map[string]int{"a": 30, "b": 30, "c": 2})
	for i, machine := range m.machines {
		if machine.zone == "b" && i%3 == 0 {
			machine.nextHeartbeat = m.now.Add(time.Hour) // silent from now on
		}
	}
	m.unavailableSince["c"] = m.now
	seen := map[State]bool{}
	m.run(15*time.Second, func() { seen[m.tracker.stateOf("b")] = true })
	if seen[Unavailable] || !seen[Degraded] || m.tracker.stateOf("c") == Unavailable {
		t.Errorf("states of b: got %v, state of c %v, want b degraded and neither unavailable", seen, m.tracker.stateOf("c"))
	}
	onlyZone := newModel(3, map[string]int{"a": 30})
	onlyZone.unavailableSince["a"] = onlyZone.now
	onlyZone.run(30*time.Second, func() {})
	if onlyZone.tracker.rememberedOutages() > 0 {
		t.Errorf("outages of the only zone: got %d, want 0", onlyZone.tracker.rememberedOutages())
	}
}

// TestSentinelsReplaceProbes checks that some machines of an unavailable zone are kept as sentinels, and that no instances may
// be requested as probes while there are any.
func TestSentinelsReplaceProbes(t *testing.T) {
	m := newModel(4, map[string]int{"a": 50, "b": 50})
	m.run(10*time.Second, func() {})
	if m.tracker.SentinelCount("b") != 0 {
		t.Errorf("sentinels in a healthy zone: got %d, want 0", m.tracker.SentinelCount("b"))
	}
	m.unavailableSince["b"] = m.now
	m.run(10*time.Second, func() {})
	if n := m.tracker.SentinelCount("b"); n != minSentinels {
		t.Errorf("sentinels of 50 machines: got %d, want %d", n, minSentinels)
	}
	inZoneB := 0
	m.machines = slices.DeleteFunc(m.machines, func(machine *modelMachine) bool { // the other machines are terminated
		if machine.zone != "b" {
			return false
		}
		inZoneB++
		return inZoneB > minSentinels
	})
	m.run(probeInterval+time.Second, func() {})
	m.now = m.now.Add(observeInterval)
	m.tracker.Observe(m.now, false, func(visit func(Machine)) {
		for _, machine := range m.machines {
			observed := m.observed(machine)
			observed.Sentinel = machine.zone == "b"
			visit(observed)
		}
	})
	if n := m.tracker.MaxRequestable(m.now, "b", 500); n != 0 {
		t.Errorf("instances requestable in a zone with two sentinels: got %d, want 0", n)
	}
}

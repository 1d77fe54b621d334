package zones

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"gullrudder/internal/testseed"

	"pgregory.net/rapid"
)

// rememberedOutages is how many cuts of any zone are remembered.
func (b *Tracker) rememberedOutages() int {
	n := 0
	for _, z := range b.zones {
		n += len(z.outages)
	}
	return n
}

func TestMain(m *testing.M) { testseed.Main(m) }

const (
	heartbeatInterval = 4 * time.Second
	leaseDuration     = 20 * time.Second
	modelTick         = 50 * time.Millisecond
)

// model is the plain model: machines that report, zones that are away, a leader that stands still.
type model struct {
	rng              *rand.Rand
	now              time.Time
	tracker          *Tracker
	machines         []*modelMachine
	unavailableSince map[string]time.Time // since when; absent: not
	recoveredAt      map[string]time.Time // when it came back last
	pausedUntil      time.Time            // the leader stands still until then
	lastPaused       time.Time            // when it last did
	inboundLost      bool                 // no report comes through to the leader
	lastInboundLost  time.Time            // when that was so last
}

type modelMachine struct {
	zone          string
	lastHeartbeat time.Time
	nextHeartbeat time.Time
}

func newModel(seed uint64, zones map[string]int) *model {
	s := &model{
		rng:              rand.New(rand.NewPCG(seed, 1)),
		now:              time.Unix(10_000, 0),
		unavailableSince: map[string]time.Time{},
		recoveredAt:      map[string]time.Time{},
	}
	s.tracker = New(heartbeatInterval, s.now, slog.New(slog.DiscardHandler))
	for _, name := range []string{"a", "b", "c"} {
		for range zones[name] {
			s.machines = append(
				s.machines,
				&modelMachine{zone: name, lastHeartbeat: s.now, nextHeartbeat: s.now.Add(time.Duration(s.rng.Int64N(int64(heartbeatInterval))))},
			)
		}
	}
	return s
}

// run plays for a span; after each look the model's word is compared.
func (s *model) run(span time.Duration, check func()) {
	for end := s.now.Add(span); s.now.Before(end); {
		s.now = s.now.Add(modelTick)
		if s.now.Before(s.pausedUntil) {
			s.lastPaused = s.now
			continue
		}
		if s.inboundLost {
			s.lastInboundLost = s.now
		}
		for _, m := range s.machines {
			if s.now.Before(m.nextHeartbeat) {
				continue
			}
			m.nextHeartbeat = s.now.Add(heartbeatInterval*3/4 + time.Duration(s.rng.Int64N(int64(heartbeatInterval/2))))
			if _, away := s.unavailableSince[m.zone]; !away && !s.inboundLost {
				m.lastHeartbeat = s.now
			}
		}
		// A leader that is mute knows it after a second, as leader/hearing has it.
		inboundUnreachable := s.inboundLost && s.now.Sub(s.lastInboundLost) == 0
		s.tracker.Observe(s.now, inboundUnreachable, func(take func(Machine)) {
			for _, m := range s.machines {
				take(Machine{Zone: m.zone, HasReported: true, LeaseValid: s.now.Sub(m.lastHeartbeat) <= leaseDuration, LastHeartbeat: m.lastHeartbeat})
			}
		})
		check()
	}
}

// found is within which time a zone that is away must be found, known within which time one that is back
// must not be taken for cut any more.
const (
	detectionBound = heartbeatInterval*5/4 + time.Second + 2*observeInterval
	recoveryBound  = heartbeatInterval*5/4 + minSilence + 2*observeInterval
)

// Over random cuts, returns, pauses and silences of our own: a zone that is away is found within the stated
// time, one that is back is known to be, and nothing is called cut that was heard all the time, whatever
// happens to the leader.
func TestTrackerMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newModel(rapid.Uint64().Draw(t, "seed"), map[string]int{
			"a": rapid.IntRange(3, 60).Draw(t, "a"), "b": rapid.IntRange(3, 60).Draw(t, "b"),
			"c": rapid.IntRange(0, 12).Draw(t, "c"),
		})
		check := func() {
			heard := 0 // zones that have machines and have not been away of late
			for _, name := range []string{"a", "b", "c"} {
				if _, away := s.unavailableSince[name]; !away && s.now.Sub(s.recoveredAt[name]) > recoveryBound &&
					(name != "c" || s.tracker.zones["c"] != nil && s.tracker.zones["c"].expected > 0) {
					heard++
				}
			}
			ours := s.now.Sub(s.lastPaused) <= leaseDuration || s.now.Sub(s.lastInboundLost) <= leaseDuration
			for _, name := range []string{"a", "b", "c"} {
				z := s.tracker.zones[name]
				if z == nil {
					continue
				}
				since, away := s.unavailableSince[name]
				switch state := s.tracker.State(name); {
				case !away && state == Unavailable && s.now.Sub(s.recoveredAt[name]) > recoveryBound && !ours:
					t.Fatalf("%v: %s is heard and is called cut", s.now.Sub(time.Unix(10_000, 0)), name)
				case !away && state == Unavailable && s.recoveredAt[name].IsZero() && s.now.Sub(s.lastInboundLost) > recoveryBound:
					t.Fatalf("%v: %s has never been away and is called cut", s.now.Sub(time.Unix(10_000, 0)), name)
				case away && state != Unavailable && s.now.Sub(since) > detectionBound && s.now.Sub(since) < leaseDuration && heard > 0 && !ours && z.lastKnownMachines >= 2*minSilentMachines:
					t.Fatalf("%v: %s has been away for %v and is called %v", s.now.Sub(time.Unix(10_000, 0)), name, s.now.Sub(since), state)
				}
			}
		}
		s.run(10*time.Second, check)
		for range rapid.IntRange(1, 6).Draw(t, "troubles") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
			span := time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second
			switch rapid.IntRange(0, 3).Draw(t, "trouble") {
			case 0, 1:
				s.unavailableSince[name] = s.now
				s.run(span, check)
				delete(s.unavailableSince, name)
				s.recoveredAt[name] = s.now
			case 2:
				s.pausedUntil = s.now.Add(span / 4)
			case 3:
				s.inboundLost = true
				s.run(span/4, check)
				s.inboundLost = false
				// Every machine reports once more; until then nothing is known of any.
				s.run(heartbeatInterval*5/4+time.Second, func() {})
			}
			s.run(time.Duration(rapid.IntRange(0, 90).Draw(t, "quiet"))*time.Second, check)
		}
	})
}

// A large zone is found cut sooner than a small one, and no zone of any size is called cut in an hour of jitter.
func TestDetectionTimeBySize(t *testing.T) {
	for _, machines := range []int{6, 60, 600} {
		s := newModel(uint64(machines), map[string]int{"a": machines, "b": machines})
		s.run(time.Hour/6, func() {
			if s.tracker.rememberedOutages() > 0 {
				t.Fatalf("%d machines: called cut by chance", machines)
			}
		})
		s.unavailableSince["b"] = s.now
		cut := s.now
		var took time.Duration
		s.run(10*time.Second, func() {
			if took == 0 && s.tracker.State("b") == Unavailable {
				took = s.now.Sub(cut)
			}
		})
		if took == 0 || took > detectionBound || machines >= 60 && took > 3*time.Second {
			t.Errorf("%d machines: found after %v", machines, took)
		}
		t.Logf("%d machines a zone: found after %v", machines, took)
	}
}

// A zone that returns gets machines by steps that double; one that flaps is trusted later each time, and
// again after quiet.
func TestRecoveryStepsAndFlapping(t *testing.T) {
	s := newModel(1, map[string]int{"a": 40, "b": 40})
	s.run(20*time.Second, func() {})
	if n := s.tracker.MaxRequestable(s.now, "b", 500); n != 500 {
		t.Fatalf("%d may be rented in a bright zone", n)
	}
	var trusted []time.Duration
	for round := range 3 {
		s.unavailableSince["b"] = s.now
		s.run(30*time.Second, func() {})
		if s.tracker.State("b") != Unavailable || s.tracker.MaxRequestable(s.now, "b", 500) != 1 {
			t.Fatalf("round %d: %v, %d may be rented", round, s.tracker.State("b"), s.tracker.MaxRequestable(s.now, "b", 500))
		}
		delete(s.unavailableSince, "b")
		back, first := s.now, 0
		for s.tracker.State("b") != Healthy && s.now.Sub(back) < 5*time.Minute {
			s.run(modelTick, func() {})
			n := s.tracker.MaxRequestable(s.now, "b", 1<<20)
			if s.tracker.State("b") == Recovering {
				if first == 0 {
					first = n
				}
				s.tracker.RecordRequest(s.now, "b", n)
				if s.tracker.MaxRequestable(s.now, "b", 1<<20) > 0 && s.tracker.State("b") == Recovering {
					t.Fatal("more than a step's machines may be rented")
				}
			}
		}
		if first != firstRecoveryStep {
			t.Errorf("round %d: %d may be rented in the first step", round, first)
		}
		trusted = append(trusted, s.now.Sub(back))
	}
	if trusted[1] < trusted[0]*3/2 || trusted[2] < trusted[1]*3/2 {
		t.Errorf("trusted after %v: no later each time", trusted)
	}
	s.run(outageMemory, func() {})
	if v := s.tracker.Views(); v[1].Name != "b" || v[1].Outages != 0 || v[1].State != Healthy {
		t.Errorf("after ten quiet minutes: %+v", v[1])
	}
}

// A third of a zone's machines that are away is no cut; nor is a zone of two machines, nor the only zone.
func TestIncompleteEvidenceIsNoOutage(t *testing.T) {
	s := newModel(2, map[string]int{"a": 30, "b": 30, "c": 2})
	for i, m := range s.machines {
		if m.zone == "b" && i%3 == 0 {
			m.nextHeartbeat = s.now.Add(time.Hour) // it says nothing any more
		}
	}
	s.unavailableSince["c"] = s.now
	seen := map[State]bool{}
	s.run(15*time.Second, func() { seen[s.tracker.State("b")] = true })
	if seen[Unavailable] || !seen[Degraded] || s.tracker.State("c") == Unavailable {
		t.Errorf("b was %v, c is %v", fmt.Sprint(seen), s.tracker.State("c"))
	}
	one := newModel(3, map[string]int{"a": 30})
	one.unavailableSince["a"] = one.now
	one.run(30*time.Second, func() {})
	if one.tracker.rememberedOutages() > 0 {
		t.Error("the only zone is called cut: nothing else is heard that speaks for us")
	}
}

// Some machines of a cut zone are kept to tell of its return, and as long as they are there none is rented for that.
func TestSentinelsReplaceProbes(t *testing.T) {
	s := newModel(4, map[string]int{"a": 50, "b": 50})
	s.run(10*time.Second, func() {})
	if s.tracker.SentinelCount("b") != 0 {
		t.Error("silent machines of a bright zone are kept")
	}
	s.unavailableSince["b"] = s.now
	s.run(10*time.Second, func() {})
	if n := s.tracker.SentinelCount("b"); n != minSentinels {
		t.Errorf("%d of 50 are kept", n)
	}
	left := 0
	kept := s.machines[:0]
	for _, m := range s.machines { // the others are given up
		if m.zone == "b" {
			if left++; left > minSentinels {
				continue
			}
		}
		kept = append(kept, m)
	}
	s.machines = kept
	s.run(probeInterval+time.Second, func() {})
	s.now = s.now.Add(observeInterval)
	s.tracker.Observe(s.now, false, func(take func(Machine)) {
		for _, m := range s.machines {
			take(
				Machine{
					Zone:          m.zone,
					HasReported:   true,
					LeaseValid:    s.now.Sub(m.lastHeartbeat) <= leaseDuration,
					LastHeartbeat: m.lastHeartbeat,
					Sentinel:      m.zone == "b",
				},
			)
		}
	})
	if n := s.tracker.MaxRequestable(s.now, "b", 500); n != 0 {
		t.Errorf("%d machines may be rented to learn of a return that two listen for", n)
	}
}

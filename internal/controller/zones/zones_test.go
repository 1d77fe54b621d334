package zones

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gullrudder/internal/steady"
)

// cuts is how many cuts of any zone are remembered.
func (b *Book) cuts() int {
	n := 0
	for _, z := range b.zones {
		n += len(z.cuts)
	}
	return n
}

func TestMain(m *testing.M) { steady.Main(m) }

const (
	every = 4 * time.Second
	lease = 20 * time.Second
	tick  = 50 * time.Millisecond
)

// site is the plain model: machines that report, zones that are away, a leader that stands still.
type site struct {
	rng      *rand.Rand
	now      time.Time
	book     *Book
	machines []*machine
	away     map[string]time.Time // since when; absent: not
	back     map[string]time.Time // when it came back last
	stuck    time.Time            // the leader stands still until then
	stood    time.Time            // when it last did
	mute     bool                 // no report comes through to the leader
	muted    time.Time            // when that was so last
}

type machine struct {
	zone     string
	answered time.Time
	next     time.Time
}

func newSite(seed uint64, zones map[string]int) *site {
	s := &site{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(10_000, 0), away: map[string]time.Time{}, back: map[string]time.Time{}}
	s.book = New(every, s.now, slog.New(slog.DiscardHandler))
	for _, name := range []string{"a", "b", "c"} {
		for range zones[name] {
			s.machines = append(s.machines, &machine{zone: name, answered: s.now, next: s.now.Add(time.Duration(s.rng.Int64N(int64(every))))})
		}
	}
	return s
}

// run plays for a span; after each look the model's word is compared.
func (s *site) run(span time.Duration, check func()) {
	for end := s.now.Add(span); s.now.Before(end); {
		s.now = s.now.Add(tick)
		if s.now.Before(s.stuck) {
			s.stood = s.now
			continue
		}
		if s.mute {
			s.muted = s.now
		}
		for _, m := range s.machines {
			if s.now.Before(m.next) {
				continue
			}
			m.next = s.now.Add(every*3/4 + time.Duration(s.rng.Int64N(int64(every/2))))
			if _, away := s.away[m.zone]; !away && !s.mute {
				m.answered = s.now
			}
		}
		// A leader that is mute knows it after a second, as leader/hearing has it.
		deaf := s.mute && s.now.Sub(s.muted) == 0
		s.book.Look(s.now, deaf, func(take func(Machine)) {
			for _, m := range s.machines {
				take(Machine{Zone: m.zone, Up: true, Live: s.now.Sub(m.answered) <= lease, Heard: m.answered})
			}
		})
		check()
	}
}

// found is within which time a zone that is away must be found, known within which time one that is back
// must not be taken for cut any more.
const (
	found = every*5/4 + time.Second + 2*lookEvery
	known = every*5/4 + leastGap + 2*lookEvery
)

// Over random cuts, returns, pauses and silences of our own: a zone that is away is found within the stated
// time, one that is back is known to be, and nothing is called cut that was heard all the time, whatever
// happens to the leader.
func TestAgainstWhatIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite(rapid.Uint64().Draw(t, "seed"), map[string]int{"a": rapid.IntRange(3, 60).Draw(t, "a"), "b": rapid.IntRange(3, 60).Draw(t, "b"),
			"c": rapid.IntRange(0, 12).Draw(t, "c")})
		check := func() {
			heard := 0 // zones that have machines and have not been away of late
			for _, name := range []string{"a", "b", "c"} {
				if _, away := s.away[name]; !away && s.now.Sub(s.back[name]) > known && (name != "c" || s.book.zones["c"] != nil && s.book.zones["c"].known > 0) {
					heard++
				}
			}
			ours := s.now.Sub(s.stood) <= lease || s.now.Sub(s.muted) <= lease
			for _, name := range []string{"a", "b", "c"} {
				z := s.book.zones[name]
				if z == nil {
					continue
				}
				since, away := s.away[name]
				switch state := s.book.State(name); {
				case !away && state == Cut && s.now.Sub(s.back[name]) > known && !ours:
					t.Fatalf("%v: %s is heard and is called cut", s.now.Sub(time.Unix(10_000, 0)), name)
				case !away && state == Cut && s.back[name].IsZero() && s.now.Sub(s.muted) > known:
					t.Fatalf("%v: %s has never been away and is called cut", s.now.Sub(time.Unix(10_000, 0)), name)
				case away && state != Cut && s.now.Sub(since) > found && s.now.Sub(since) < lease && heard > 0 && !ours && z.had >= 2*fewest:
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
				s.away[name] = s.now
				s.run(span, check)
				delete(s.away, name)
				s.back[name] = s.now
			case 2:
				s.stuck = s.now.Add(span / 4)
			case 3:
				s.mute = true
				s.run(span/4, check)
				s.mute = false
				// Every machine reports once more; until then nothing is known of any.
				s.run(every*5/4+time.Second, func() {})
			}
			s.run(time.Duration(rapid.IntRange(0, 90).Draw(t, "quiet"))*time.Second, check)
		}
	})
}

// A large zone is found cut sooner than a small one, and no zone of any size is called cut in an hour of jitter.
func TestHowSoonACutIsFound(t *testing.T) {
	for _, machines := range []int{6, 60, 600} {
		s := newSite(uint64(machines), map[string]int{"a": machines, "b": machines})
		s.run(time.Hour/6, func() {
			if s.book.cuts() > 0 {
				t.Fatalf("%d machines: called cut by chance", machines)
			}
		})
		s.away["b"] = s.now
		cut := s.now
		var took time.Duration
		s.run(10*time.Second, func() {
			if took == 0 && s.book.State("b") == Cut {
				took = s.now.Sub(cut)
			}
		})
		if took == 0 || took > found || machines >= 60 && took > 3*time.Second {
			t.Errorf("%d machines: found after %v", machines, took)
		}
		t.Logf("%d machines a zone: found after %v", machines, took)
	}
}

// A zone that returns gets machines by steps that double; one that flaps is trusted later each time, and
// again after quiet.
func TestReturnByStepsAndFlapping(t *testing.T) {
	s := newSite(1, map[string]int{"a": 40, "b": 40})
	s.run(20*time.Second, func() {})
	if n := s.book.May(s.now, "b", 500); n != 500 {
		t.Fatalf("%d may be rented in a bright zone", n)
	}
	var trusted []time.Duration
	for round := range 3 {
		s.away["b"] = s.now
		s.run(30*time.Second, func() {})
		if s.book.State("b") != Cut || s.book.May(s.now, "b", 500) != 1 {
			t.Fatalf("round %d: %v, %d may be rented", round, s.book.State("b"), s.book.May(s.now, "b", 500))
		}
		delete(s.away, "b")
		back, first := s.now, 0
		for s.book.State("b") != Bright && s.now.Sub(back) < 5*time.Minute {
			s.run(tick, func() {})
			n := s.book.May(s.now, "b", 1<<20)
			if s.book.State("b") == Returning {
				if first == 0 {
					first = n
				}
				s.book.Asked(s.now, "b", n)
				if s.book.May(s.now, "b", 1<<20) > 0 && s.book.State("b") == Returning {
					t.Fatal("more than a step's machines may be rented")
				}
			}
		}
		if first != firstStep {
			t.Errorf("round %d: %d may be rented in the first step", round, first)
		}
		trusted = append(trusted, s.now.Sub(back))
	}
	if trusted[1] < trusted[0]*3/2 || trusted[2] < trusted[1]*3/2 {
		t.Errorf("trusted after %v: no later each time", trusted)
	}
	s.run(remembered, func() {})
	if v := s.book.Views(); v[1].Name != "b" || v[1].Cuts != 0 || v[1].State != Bright {
		t.Errorf("after ten quiet minutes: %+v", v[1])
	}
}

// A third of a zone's machines that are away is no cut; nor is a zone of two machines, nor the only zone.
func TestWhatIsNoCut(t *testing.T) {
	s := newSite(2, map[string]int{"a": 30, "b": 30, "c": 2})
	for i, m := range s.machines {
		if m.zone == "b" && i%3 == 0 {
			m.next = s.now.Add(time.Hour) // it says nothing any more
		}
	}
	s.away["c"] = s.now
	seen := map[State]bool{}
	s.run(15*time.Second, func() { seen[s.book.State("b")] = true })
	if seen[Cut] || !seen[Partly] || s.book.State("c") == Cut {
		t.Errorf("b was %v, c is %v", fmt.Sprint(seen), s.book.State("c"))
	}
	one := newSite(3, map[string]int{"a": 30})
	one.away["a"] = one.now
	one.run(30*time.Second, func() {})
	if one.book.cuts() > 0 {
		t.Error("the only zone is called cut: nothing else is heard that speaks for us")
	}
}

// Some machines of a cut zone are kept to tell of its return, and as long as they are there none is rented for that.
func TestEars(t *testing.T) {
	s := newSite(4, map[string]int{"a": 50, "b": 50})
	s.run(10*time.Second, func() {})
	if s.book.Keep("b") != 0 {
		t.Error("silent machines of a bright zone are kept")
	}
	s.away["b"] = s.now
	s.run(10*time.Second, func() {})
	if n := s.book.Keep("b"); n != fewestEars {
		t.Errorf("%d of 50 are kept", n)
	}
	left := 0
	kept := s.machines[:0]
	for _, m := range s.machines { // the others are given up
		if m.zone == "b" {
			if left++; left > fewestEars {
				continue
			}
		}
		kept = append(kept, m)
	}
	s.machines = kept
	s.run(probeEvery+time.Second, func() {})
	s.now = s.now.Add(lookEvery)
	s.book.Look(s.now, false, func(take func(Machine)) {
		for _, m := range s.machines {
			take(Machine{Zone: m.zone, Up: true, Live: s.now.Sub(m.answered) <= lease, Heard: m.answered, Ear: m.zone == "b"})
		}
	})
	if n := s.book.May(s.now, "b", 500); n != 0 {
		t.Errorf("%d machines may be rented to learn of a return that two listen for", n)
	}
}

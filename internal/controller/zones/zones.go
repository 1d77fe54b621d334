// Package zones is what is known of each zone's connection to the leader, from which evidence, and what
// follows for what is counted on, rented and given up there. Its Book owns the zones' states; it looks at
// the machines now and then, and rents, returns and places nothing.
//
// A zone is cut when nothing is heard of it, by more than chance, while other zones are heard. That no
// zone is heard is our own failure (leader/hearing), and no evidence against any. docs/design/zones.md has
// the ways that were weighed, and what breaks it.
package zones

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"
)

// State of a zone.
type State int

// The states.
const (
	Bright    State = iota // it is heard
	Doubtful               // reports of many machines are missing, and it is not certain yet
	Partly                 // reports of many machines are missing, and others of the zone come
	Cut                    // nothing is heard of it
	Returning              // it is heard again, and trusted step by step
)

func (s State) String() string {
	return [...]string{"bright", "doubtful", "partly away", "cut", "returning"}[s]
}

const (
	// fewest machines of a zone that have to be silent for it to count as cut off.
	fewest = 3
	// missing reports in a row, of all the zone's machines together, that are no chance.
	missing = 12
	// leastGap is the shortest silence that counts: the network alone may hold everything up for that long.
	leastGap = 1500 * time.Millisecond
	// many is the part of a zone's machines whose reports have to be missing for a doubt, few the part
	// elsewhere above which it is rather we who miss them.
	many, few = 0.25, 0.25
	// paused is a gap between two looks that shows that this process stood still.
	paused = time.Second
	// lookEvery is how often the machines are looked at.
	lookEvery = 250 * time.Millisecond

	// probeEvery is how often a machine is rented in a zone that is cut off, to learn of its return, if no
	// machine was left there to tell.
	probeEvery = 20 * time.Second
	// ears is the part of a cut zone's machines that are not given up for their silence: they tell of its
	// return at once. A machine rented to learn of it comes a boot and up to twenty seconds later.
	ears       = 0.03
	fewestEars = 2
	// firstStep machines may be rented in a zone that returns, twice as many every stepEvery.
	firstStep = 8
	stepEvery = 2 * time.Second
	// remembered is how long a cut counts against a zone.
	remembered = 10 * time.Minute
	mostCuts   = 5
)

// Machine is what a look sees of a machine.
type Machine struct {
	Zone    string
	Up      bool      // it has reported to this leader
	Live    bool      // its lease is not over
	Heard   time.Time // when it last lived for certain, or the leadership began
	Leaving bool      // it is deleted, or being deleted: its silence says nothing
	Ear     bool      // it is kept to tell of its zone's return
}

type zone struct {
	state   State
	since   time.Time
	heard   time.Time   // a machine of the zone has reported, or the leadership began
	known   int         // machines that should report: their leases are not over
	overdue int         // of these, those whose reports are missing
	ears    int         // machines that are kept to tell of its return
	had     int         // the most of these since it was heard last: the silent ones are given up soon
	cuts    []time.Time // when it was found cut, of late
	probe   time.Time   // when a machine was last rented there to learn of its return
	rented  int         // in the present step of its return
	step    time.Time   // when that began
	allowed int         // in the step
}

// Book keeps the zones.
type Book struct {
	every  time.Duration // between two reports of a machine
	since  time.Time
	log    *slog.Logger
	zones  map[string]*zone
	looked time.Time
}

// New makes the book of a new leadership, which begins now.
func New(every time.Duration, now time.Time, log *slog.Logger) *Book {
	return &Book{every: every, since: now, log: log, zones: map[string]*zone{}, looked: now}
}

func (b *Book) of(name string) *zone {
	z := b.zones[name]
	if z == nil {
		z = &zone{heard: b.since, since: b.since}
		b.zones[name] = z
	}
	return z
}

// overdueAfter is how long a report may take at most: a quarter more than usual, and the way.
func (b *Book) overdueAfter() time.Duration { return b.every*5/4 + time.Second/2 }

// Look takes in the machines, if it is time. deaf: no machine at all is heard, which is our own failure.
func (b *Book) Look(now time.Time, deaf bool, each func(func(Machine))) {
	gap := now.Sub(b.looked)
	if gap < lookEvery {
		return
	}
	b.looked = now
	for _, z := range b.zones {
		z.known, z.overdue, z.ears = 0, 0, 0
		if gap > paused {
			z.heard = z.heard.Add(gap) // this process stood still: nobody else was silent for that
		}
	}
	each(func(m Machine) {
		z := b.of(m.Zone)
		if m.Up && m.Heard.After(z.heard) {
			z.heard = m.Heard
		}
		if m.Leaving {
			return
		}
		if m.Ear {
			z.ears++
		}
		if !m.Live {
			return
		}
		z.known++
		if now.Sub(m.Heard) > b.overdueAfter()+max(gap-paused, 0) {
			z.overdue++
		}
	})
	if deaf {
		return
	}
	for name, z := range b.zones {
		b.judge(now, name, z)
	}
}

// elsewhere is what the other zones show: whether any is heard, and which part of their machines is overdue.
func (b *Book) elsewhere(now time.Time, but *zone) (heard bool, overdue float64) {
	known, late := 0, 0
	for _, z := range b.zones {
		if z == but || z.state == Cut {
			continue
		}
		known += z.known
		late += z.overdue
		heard = heard || z.known > 0 && now.Sub(z.heard) <= b.overdueAfter()
	}
	if known == 0 {
		return heard, 0
	}
	return heard, float64(late) / float64(known)
}

// silent reports whether the zone's silence is no chance.
func (b *Book) silent(now time.Time, z *zone) bool {
	all := b.overdueAfter() + time.Second/2
	some := missing * b.every / time.Duration(max(z.known, 1))
	return now.Sub(z.heard) >= max(min(some, all), leastGap)
}

// judge moves a zone to the state that the evidence asks for.
func (b *Book) judge(now time.Time, name string, z *zone) {
	if z.state != Cut {
		z.had = z.known
	}
	heard, others := b.elsewhere(now, z)
	z.cuts = slices.DeleteFunc(z.cuts, func(at time.Time) bool { return now.Sub(at) > remembered })
	missed := float64(z.overdue) >= many*float64(z.known) && z.overdue >= fewest
	switch {
	case z.state == Cut:
		if now.Sub(z.heard) < leastGap {
			b.become(now, name, z, Returning)
			z.step, z.rented, z.allowed = now, 0, firstStep
		}
	case heard && others < few && missed && b.silent(now, z) && z.had >= fewest:
		z.cuts = append(z.cuts, now)
		z.cuts = z.cuts[max(len(z.cuts)-mostCuts, 0):]
		z.probe = now
		b.become(now, name, z, Cut)
	case heard && others < few && missed && now.Sub(z.heard) > leastGap/2:
		b.become(now, name, z, Doubtful)
	case missed && float64(z.overdue) < float64(z.known):
		b.become(now, name, z, Partly)
	case z.state == Returning || len(z.cuts) > 0 && z.state != Bright:
		if now.Sub(z.since) >= b.quiet(z) {
			b.become(now, name, z, Bright)
		} else if z.state != Returning {
			b.become(now, name, z, Returning)
		}
	default:
		b.become(now, name, z, Bright)
	}
	b.advance(now, z)
}

// quiet is how long a zone must be heard until it is trusted as before: longer with each cut of late.
func (b *Book) quiet(z *zone) time.Duration {
	return 4 * b.every << max(len(z.cuts)-1, 0)
}

// advance lets more be rented in a zone that returns.
func (b *Book) advance(now time.Time, z *zone) {
	if z.state != Returning {
		return
	}
	for every := stepEvery << max(len(z.cuts)-1, 0); now.Sub(z.step) >= every; {
		z.step = z.step.Add(every)
		z.rented = 0
		z.allowed = min(2*z.allowed, 1<<16)
	}
}

func (b *Book) become(now time.Time, name string, z *zone, s State) {
	if z.state == s {
		return
	}
	b.log.Info("a zone's connection", "zone", name, "was", z.state.String(), "is", s.String(), "machines", z.had, "overdue", z.overdue,
		"silent", now.Sub(z.heard).Round(time.Millisecond), "cuts", len(z.cuts))
	z.state, z.since = s, now
}

// State is what a zone is taken for.
func (b *Book) State(name string) State {
	if z := b.zones[name]; z != nil {
		return z.state
	}
	return Bright
}

// Away reports whether what is in the zone is not to be counted on.
func (b *Book) Away(name string) bool { return b.State(name) == Cut }

// May is how many machines may be asked for in the zone now, of most that the cloud takes: in a zone that
// is cut one at a time, and only if none is left there to tell of its return; in one that returns by steps.
func (b *Book) May(now time.Time, name string, most int) int {
	z := b.zones[name]
	if z == nil {
		return most
	}
	switch z.state {
	case Cut:
		if z.known+z.ears > 0 || now.Sub(z.probe) < probeEvery {
			return 0
		}
		return min(most, 1)
	case Doubtful:
		return 0
	case Returning:
		return max(min(most, z.allowed-z.rented), 0)
	}
	return most
}

// Asked takes in that machines are asked for in the zone.
func (b *Book) Asked(now time.Time, name string, count int) {
	z := b.zones[name]
	switch {
	case z == nil:
	case z.state == Cut:
		z.probe = now
	case z.state == Returning:
		z.rented += count
	}
}

// Keep is how many of the silent machines of a zone are to be kept though they do not answer: the ears of
// one that is cut. Of any other zone none.
func (b *Book) Keep(name string) int {
	z := b.zones[name]
	if z == nil || z.state != Cut {
		return 0
	}
	return max(int(ears*float64(z.had)), fewestEars)
}

// View is a zone as it is shown.
type View struct {
	Name     string
	State    State
	Since    time.Time
	Heard    time.Time
	Machines int // that should report
	Overdue  int
	Cuts     int // of late
}

// Views lists the zones by name.
func (b *Book) Views() []View {
	var list []View
	for _, name := range slices.SortedFunc(maps.Keys(b.zones), cmp.Compare[string]) {
		z := b.zones[name]
		list = append(list, View{name, z.state, z.since, z.heard, z.known, z.overdue, len(z.cuts)})
	}
	return list
}

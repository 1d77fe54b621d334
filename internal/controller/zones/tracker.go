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
	Healthy     State = iota // it is heard
	Suspected                // reports of many machines are missing, and it is not certain yet
	Degraded                 // reports of many machines are missing, and others of the zone come
	Unavailable              // nothing is heard of it
	Recovering               // it is heard again, and trusted step by step
)

func (s State) String() string {
	return [...]string{"bright", "doubtful", "partly away", "cut", "returning"}[s]
}

const (
	// minSilentMachines machines of a zone that have to be silent for it to count as cut off.
	minSilentMachines = 3
	// minMissedHeartbeats reports in a row, of all the zone's machines together, that are no chance.
	minMissedHeartbeats = 12
	// minSilence is the shortest silence that counts: the network alone may hold everything up for that long.
	minSilence = 1500 * time.Millisecond
	// overdueShare is the part of a zone's machines whose reports have to be missing for a doubt, few the part
	// elsewhere above which it is rather we who miss them.
	overdueShare, maxOverdueInOtherZones = 0.25, 0.25
	// pauseThreshold is a gap between two looks that shows that this process stood still.
	pauseThreshold = time.Second
	// observeInterval is how often the machines are looked at.
	observeInterval = 250 * time.Millisecond

	// probeInterval is how often a machine is rented in a zone that is cut off, to learn of its return, if no
	// machine was left there to tell.
	probeInterval = 20 * time.Second
	// sentinelShare is the part of a cut zone's machines that are not given up for their silence: they tell of its
	// return at once. A machine rented to learn of it comes a boot and up to twenty seconds later.
	sentinelShare = 0.03
	minSentinels  = 2
	// firstRecoveryStep machines may be rented in a zone that returns, twice as many every stepEvery.
	firstRecoveryStep    = 8
	recoveryStepInterval = 2 * time.Second
	// outageMemory is how long a cut counts against a zone.
	outageMemory         = 10 * time.Minute
	maxRememberedOutages = 5
)

// Machine is what a look sees of a machine.
type Machine struct {
	Zone          string
	HasReported   bool      // it has reported to this leader
	LeaseValid    bool      // its lease is not over
	LastHeartbeat time.Time // when it last lived for certain, or the leadership began
	Deleting      bool      // it is deleted, or being deleted: its silence says nothing
	Sentinel      bool      // it is kept to tell of its zone's return
}

type zone struct {
	state             State
	stateSince        time.Time
	lastHeartbeat     time.Time   // a machine of the zone has reported, or the leadership began
	expected          int         // machines that should report: their leases are not over
	overdue           int         // of these, those whose reports are missing
	sentinels         int         // machines that are kept to tell of its return
	lastKnownMachines int         // the most of these since it was heard last: the silent ones are given up soon
	outages           []time.Time // when it was found cut, of late
	lastProbe         time.Time   // when a machine was last rented there to learn of its return
	requestedInStep   int         // in the present step of its return
	stepStart         time.Time   // when that began
	stepLimit         int         // in the step
}

// Tracker keeps the zones.
type Tracker struct {
	heartbeatInterval time.Duration // between two reports of a machine
	startedAt         time.Time
	log               *slog.Logger
	zones             map[string]*zone
	lastObserved      time.Time
}

// New makes the book of a new leadership, which begins now.
func New(heartbeatInterval time.Duration, now time.Time, log *slog.Logger) *Tracker {
	return &Tracker{heartbeatInterval: heartbeatInterval, startedAt: now, log: log, zones: map[string]*zone{}, lastObserved: now}
}

func (b *Tracker) zoneNamed(name string) *zone {
	z := b.zones[name]
	if z == nil {
		z = &zone{lastHeartbeat: b.startedAt, stateSince: b.startedAt}
		b.zones[name] = z
	}
	return z
}

// overdueAfter is how long a report may take at most: a quarter more than usual, and the way.
func (b *Tracker) overdueAfter() time.Duration { return b.heartbeatInterval*5/4 + time.Second/2 }

// Observe takes in the machines, if it is time. deaf: no machine at all is heard, which is our own failure.
func (b *Tracker) Observe(now time.Time, inboundUnreachable bool, forEachMachine func(func(Machine))) {
	gap := now.Sub(b.lastObserved)
	if gap < observeInterval {
		return
	}
	b.lastObserved = now
	for _, z := range b.zones {
		z.expected, z.overdue, z.sentinels = 0, 0, 0
		if gap > pauseThreshold {
			z.lastHeartbeat = z.lastHeartbeat.Add(gap) // this process stood still: nobody else was silent for that
		}
	}
	forEachMachine(func(m Machine) {
		z := b.zoneNamed(m.Zone)
		if m.HasReported && m.LastHeartbeat.After(z.lastHeartbeat) {
			z.lastHeartbeat = m.LastHeartbeat
		}
		if m.Deleting {
			return
		}
		if m.Sentinel {
			z.sentinels++
		}
		if !m.LeaseValid {
			return
		}
		z.expected++
		if now.Sub(m.LastHeartbeat) > b.overdueAfter()+max(gap-pauseThreshold, 0) {
			z.overdue++
		}
	})
	if inboundUnreachable {
		return
	}
	for name, z := range b.zones {
		b.evaluate(now, name, z)
	}
}

// otherZones is what the other zones show: whether any is heard, and which part of their machines is overdue.
func (b *Tracker) otherZones(now time.Time, excluded *zone) (anyReachable bool, overdueShare float64) {
	known, late := 0, 0
	for _, z := range b.zones {
		if z == excluded || z.state == Unavailable {
			continue
		}
		known += z.expected
		late += z.overdue
		anyReachable = anyReachable || z.expected > 0 && now.Sub(z.lastHeartbeat) <= b.overdueAfter()
	}
	if known == 0 {
		return anyReachable, 0
	}
	return anyReachable, float64(late) / float64(known)
}

// isSilent reports whether the zone's silence is no chance.
func (b *Tracker) isSilent(now time.Time, z *zone) bool {
	all := b.overdueAfter() + time.Second/2
	some := minMissedHeartbeats * b.heartbeatInterval / time.Duration(max(z.expected, 1))
	return now.Sub(z.lastHeartbeat) >= max(min(some, all), minSilence)
}

// evaluate moves a zone to the state that the evidence asks for.
func (b *Tracker) evaluate(now time.Time, name string, z *zone) {
	if z.state != Unavailable {
		z.lastKnownMachines = z.expected
	}
	heard, others := b.otherZones(now, z)
	z.outages = slices.DeleteFunc(z.outages, func(at time.Time) bool { return now.Sub(at) > outageMemory })
	missed := float64(z.overdue) >= overdueShare*float64(z.expected) && z.overdue >= minSilentMachines
	switch {
	case z.state == Unavailable:
		if now.Sub(z.lastHeartbeat) < minSilence {
			b.setState(now, name, z, Recovering)
			z.stepStart, z.requestedInStep, z.stepLimit = now, 0, firstRecoveryStep
		}
	case heard && others < maxOverdueInOtherZones && missed && b.isSilent(now, z) && z.lastKnownMachines >= minSilentMachines:
		z.outages = append(z.outages, now)
		z.outages = z.outages[max(len(z.outages)-maxRememberedOutages, 0):]
		z.lastProbe = now
		b.setState(now, name, z, Unavailable)
	case heard && others < maxOverdueInOtherZones && missed && now.Sub(z.lastHeartbeat) > minSilence/2:
		b.setState(now, name, z, Suspected)
	case missed && float64(z.overdue) < float64(z.expected):
		b.setState(now, name, z, Degraded)
	case z.state == Recovering || len(z.outages) > 0 && z.state != Healthy:
		if now.Sub(z.stateSince) >= b.recoveryPeriod(z) {
			b.setState(now, name, z, Healthy)
		} else if z.state != Recovering {
			b.setState(now, name, z, Recovering)
		}
	default:
		b.setState(now, name, z, Healthy)
	}
	b.advanceRecovery(now, z)
}

// recoveryPeriod is how long a zone must be heard until it is trusted as before: longer with each cut of late.
func (b *Tracker) recoveryPeriod(z *zone) time.Duration {
	return 4 * b.heartbeatInterval << max(len(z.outages)-1, 0)
}

// advanceRecovery lets more be rented in a zone that returns.
func (b *Tracker) advanceRecovery(now time.Time, z *zone) {
	if z.state != Recovering {
		return
	}
	for every := recoveryStepInterval << max(len(z.outages)-1, 0); now.Sub(z.stepStart) >= every; {
		z.stepStart = z.stepStart.Add(every)
		z.requestedInStep = 0
		z.stepLimit = min(2*z.stepLimit, 1<<16)
	}
}

func (b *Tracker) setState(now time.Time, name string, z *zone, s State) {
	if z.state == s {
		return
	}
	b.log.Info(
		"a zone's connection",
		"zone",
		name,
		"was",
		z.state.String(),
		"is",
		s.String(),
		"machines",
		z.lastKnownMachines,
		"overdue",
		z.overdue,
		"silent",
		now.Sub(z.lastHeartbeat).Round(time.Millisecond),
		"cuts",
		len(z.outages),
	)
	z.state, z.stateSince = s, now
}

// State is what a zone is taken for.
func (b *Tracker) State(name string) State {
	if z := b.zones[name]; z != nil {
		return z.state
	}
	return Healthy
}

// IsUnavailable reports whether what is in the zone is not to be counted on.
func (b *Tracker) IsUnavailable(name string) bool { return b.State(name) == Unavailable }

// MaxRequestable is how many machines may be asked for in the zone now, of most that the cloud takes: in a zone that
// is cut one at a time, and only if none is left there to tell of its return; in one that returns by steps.
func (b *Tracker) MaxRequestable(now time.Time, name string, most int) int {
	z := b.zones[name]
	if z == nil {
		return most
	}
	switch z.state {
	case Unavailable:
		if z.expected+z.sentinels > 0 || now.Sub(z.lastProbe) < probeInterval {
			return 0
		}
		return min(most, 1)
	case Suspected:
		return 0
	case Recovering:
		return max(min(most, z.stepLimit-z.requestedInStep), 0)
	}
	return most
}

// RecordRequest takes in that machines are asked for in the zone.
func (b *Tracker) RecordRequest(now time.Time, name string, count int) {
	z := b.zones[name]
	switch {
	case z == nil:
	case z.state == Unavailable:
		z.lastProbe = now
	case z.state == Recovering:
		z.requestedInStep += count
	}
}

// SentinelCount is how many of the silent machines of a zone are to be kept though they do not answer: the ears of
// one that is cut. Of any other zone none.
func (b *Tracker) SentinelCount(name string) int {
	z := b.zones[name]
	if z == nil || z.state != Unavailable {
		return 0
	}
	return max(int(sentinelShare*float64(z.lastKnownMachines)), minSentinels)
}

// View is a zone as it is shown.
type View struct {
	Name          string
	State         State
	Since         time.Time
	LastHeartbeat time.Time
	Machines      int // that should report
	Overdue       int
	Outages       int // of late
}

// Views lists the zones by name.
func (b *Tracker) Views() []View {
	var list []View
	for _, name := range slices.SortedFunc(maps.Keys(b.zones), cmp.Compare[string]) {
		z := b.zones[name]
		list = append(list, View{name, z.state, z.stateSince, z.lastHeartbeat, z.expected, z.overdue, len(z.outages)})
	}
	return list
}

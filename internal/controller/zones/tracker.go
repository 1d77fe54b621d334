// Package zones detects unavailable zones. For these it limits the requests for instances and the number of silent machines that are
// kept. A Tracker owns the state of each zone. It does not request or terminate instances, or place tasks.
//
// A zone is Unavailable when none of its heartbeats have arrived for longer than chance explains, while those of other zones arrive.
// If no heartbeats arrive from any zone, this controller's own network has failed (package election/connectivity). That is not
// evidence of a zone's outage. Design note, with alternatives and limits: docs/design/zones.md.
package zones

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"gullrudder/internal/logkeys"
)

const (
	// minSilentMachines is the number of machines whose heartbeats must be overdue for a zone to be suspected.
	minSilentMachines = 3
	// minMissedHeartbeats is the number of consecutive heartbeats, over all machines of a zone, that must be missing for an outage.
	// Chance alone does not explain that many.
	minMissedHeartbeats = 12
	// minSilence is the shortest silence that counts as evidence. The network alone may delay all heartbeats by this time.
	minSilence = 1500 * time.Millisecond
	// overdueShare is the share of a zone's machines whose heartbeats must be overdue for the zone to be suspected.
	overdueShare = 0.25
	// maxOverdueShareInOtherZones bounds the share of machines with overdue heartbeats in the other zones. From this share on, a failure of
	// this controller is more likely than an outage of the zone.
	maxOverdueShareInOtherZones = 0.25
	// maxDelay is the time by which the network may delay a heartbeat.
	maxDelay = 500 * time.Millisecond
	// pauseThreshold is the time between two observations above which this process counts as paused.
	pauseThreshold = time.Second
	// observeInterval is the minimum time between two observations.
	observeInterval = 250 * time.Millisecond
	// outageMemory is how long an outage delays the recovery from later ones. maxRememberedOutages bounds the number that count.
	outageMemory         = 10 * time.Minute
	maxRememberedOutages = 5
)

// Tracker tracks the state of the zones. Only the event loop may call it.
type Tracker struct {
	heartbeatInterval time.Duration // of each machine
	startedAt         time.Time
	log               *slog.Logger
	zones             map[string]*zone
	lastObserved      time.Time
}

// New returns the Tracker of a leadership that begins now. heartbeatInterval is that of each machine.
func New(heartbeatInterval time.Duration, now time.Time, log *slog.Logger) *Tracker {
	return &Tracker{heartbeatInterval: heartbeatInterval, startedAt: now, log: log, zones: map[string]*zone{}, lastObserved: now}
}

func (t *Tracker) getOrAddZone(name string) *zone {
	z := t.zones[name]
	if z == nil {
		z = &zone{lastHeartbeat: t.startedAt, stateSince: t.startedAt}
		t.zones[name] = z
	}
	return z
}

// overdueAfter returns the age of a machine's last heartbeat above which the next one is overdue. Workers add up to a quarter of the
// interval as jitter.
func (t *Tracker) overdueAfter() time.Duration { return t.heartbeatInterval*5/4 + maxDelay }

// Observe updates the states of the zones from all machines. It does nothing if the last observation was less than observeInterval
// ago. If inboundUnreachable is true, no heartbeats arrive from any machine, and the zones keep their states.
func (t *Tracker) Observe(now time.Time, inboundUnreachable bool, forEachMachine func(func(Machine))) {
	gap := now.Sub(t.lastObserved)
	if gap < observeInterval {
		return
	}
	t.lastObserved = now
	for _, z := range t.zones {
		z.machines = machineCounts{}
		if gap > pauseThreshold {
			z.lastHeartbeat = z.lastHeartbeat.Add(gap) // a pause of this process is not silence of the machines
		}
	}
	overdueAfter := t.overdueAfter() + max(gap-pauseThreshold, 0)
	forEachMachine(func(machine Machine) { t.count(now, machine, overdueAfter) })
	if inboundUnreachable {
		return
	}
	for name, z := range t.zones {
		t.evaluate(now, name, z)
	}
}

// count adds a machine to the counts of its zone.
func (t *Tracker) count(now time.Time, machine Machine, overdueAfter time.Duration) {
	z := t.getOrAddZone(machine.Zone)
	if machine.HasSentHeartbeat && machine.LastHeartbeat.After(z.lastHeartbeat) {
		z.lastHeartbeat = machine.LastHeartbeat
	}
	if machine.Deleting {
		return
	}
	if machine.Sentinel {
		z.machines.sentinels++
	}
	if !machine.LeaseValid {
		return
	}
	z.machines.expected++
	if now.Sub(machine.LastHeartbeat) > overdueAfter {
		z.machines.overdue++
	}
}

// othersReachable reports whether the other zones prove that this controller receives heartbeats: at least one is reachable, and few
// of their machines are overdue. Unavailable zones do not count.
func (t *Tracker) othersReachable(now time.Time, excluded *zone) bool {
	expected, overdue, anyReachable := 0, 0, false
	for _, z := range t.zones {
		if z == excluded || z.state == Unavailable {
			continue
		}
		expected += z.machines.expected
		overdue += z.machines.overdue
		anyReachable = anyReachable || z.machines.expected > 0 && now.Sub(z.lastHeartbeat) <= t.overdueAfter()
	}
	if expected == 0 {
		return anyReachable
	}
	return anyReachable && float64(overdue)/float64(expected) < maxOverdueShareInOtherZones
}

// isSilent reports whether the zone has been silent for longer than chance explains. This is the time of minMissedHeartbeats, but not
// longer than the time until the heartbeats of all machines are overdue.
func (t *Tracker) isSilent(now time.Time, z *zone) bool {
	untilAllOverdue := t.overdueAfter() + maxDelay
	untilEnoughMissed := minMissedHeartbeats * t.heartbeatInterval / time.Duration(max(z.machines.expected, 1))
	return now.Sub(z.lastHeartbeat) >= max(min(untilEnoughMissed, untilAllOverdue), minSilence)
}

// evaluate sets the state of a zone according to its overdue heartbeats and those of the other zones.
func (t *Tracker) evaluate(now time.Time, name string, current *zone) {
	if current.state != Unavailable {
		current.machinesBeforeOutage = current.machines.expected
	}
	current.outages = slices.DeleteFunc(current.outages, func(at time.Time) bool { return now.Sub(at) > outageMemory })
	silence := now.Sub(current.lastHeartbeat)
	manyOverdue := current.manyOverdue()
	isSuspect := manyOverdue && t.othersReachable(now, current)
	switch {
	case current.state == Unavailable:
		if silence < minSilence {
			t.setState(now, name, current, Recovering)
			current.recovery.start(now)
		}
	case isSuspect && t.isSilent(now, current) && current.machinesBeforeOutage >= minSilentMachines:
		current.outages = append(current.outages, now)
		current.outages = current.outages[max(len(current.outages)-maxRememberedOutages, 0):]
		current.recovery.lastProbe = now
		t.setState(now, name, current, Unavailable)
	case isSuspect && silence > minSilence/2:
		t.setState(now, name, current, Suspected)
	case manyOverdue && current.machines.overdue < current.machines.expected:
		t.setState(now, name, current, Degraded)
	case current.state == Recovering || len(current.outages) > 0 && current.state != Healthy:
		t.evaluateRecovery(now, name, current)
	default:
		t.setState(now, name, current, Healthy)
	}
	current.advanceRecovery(now)
}

// evaluateRecovery sets a reachable zone to Recovering, and to Healthy once it has been reachable for long enough.
func (t *Tracker) evaluateRecovery(now time.Time, name string, z *zone) {
	if now.Sub(z.stateSince) >= t.recoveryPeriod(z) {
		t.setState(now, name, z, Healthy)
	} else if z.state != Recovering {
		t.setState(now, name, z, Recovering)
	}
}

func (t *Tracker) setState(now time.Time, name string, z *zone, state State) {
	if z.state == state {
		return
	}
	t.log.Info("zone state changed", logkeys.Zone, name, logkeys.State, state.String(), logkeys.PreviousState, z.state.String(),
		logkeys.Machines, z.machinesBeforeOutage, logkeys.Overdue, z.machines.overdue,
		logkeys.Duration, now.Sub(z.lastHeartbeat).Round(time.Millisecond), logkeys.Outages, len(z.outages))
	z.state, z.stateSince = state, now
}

// stateOf returns the state of a zone. A zone without machines is Healthy.
func (t *Tracker) stateOf(name string) State {
	if z := t.zones[name]; z != nil {
		return z.state
	}
	return Healthy
}

// IsUnavailable reports whether the zone is Unavailable, so that its machines must not be relied on. It is false for unknown zones.
func (t *Tracker) IsUnavailable(name string) bool { return t.stateOf(name) == Unavailable }

// Views returns all zones, sorted by name.
func (t *Tracker) Views() []View {
	var views []View
	for _, name := range slices.SortedFunc(maps.Keys(t.zones), cmp.Compare[string]) {
		z := t.zones[name]
		views = append(views, View{
			Name: name, State: z.state, Since: z.stateSince, LastHeartbeat: z.lastHeartbeat,
			Machines: z.machines.expected, Overdue: z.machines.overdue, Outages: len(z.outages),
		})
	}
	return views
}

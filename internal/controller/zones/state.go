package zones

import "time"

// State is the state of a zone's connection with the leader, derived from the heartbeats of its machines.
type State int

// The states of a zone.
const (
	Healthy     State = iota // heartbeats arrive
	Suspected                // heartbeats of many machines are overdue; the zone may become Unavailable
	Degraded                 // heartbeats of many machines are overdue, those of others arrive
	Unavailable              // no heartbeat arrives
	Recovering               // heartbeats arrive again; the limit of requested instances grows in steps
)

// String returns the name of the state in responses to users and in the log.
func (s State) String() string {
	return [...]string{"bright", "doubtful", "partly away", "cut", "returning"}[s]
}

// Machine is what a Tracker needs to know about a machine.
type Machine struct {
	Zone             string
	HasSentHeartbeat bool      // to this leader
	LeaseValid       bool      // heartbeats are expected
	LastHeartbeat    time.Time // or the election, if there was none since then
	Deleting         bool      // its silence is not evidence
	Sentinel         bool      // kept although it is silent, to detect the recovery of its zone
}

// View is the state of a zone as users see it.
type View struct {
	Name          string
	State         State
	Since         time.Time // when the state began
	LastHeartbeat time.Time // of any machine of the zone
	Machines      int       // with valid leases
	Overdue       int       // machines among these whose heartbeats are overdue
	Outages       int       // in the last ten minutes, at most maxRememberedOutages
}

// zone is the state of one zone.
type zone struct {
	state         State
	stateSince    time.Time
	lastHeartbeat time.Time   // of any machine, or the election
	outages       []time.Time // start times of the latest outages, at most maxRememberedOutages
	machines      machineCounts
	// machinesBeforeOutage is the number of machines with valid leases when the zone was last in a state other than Unavailable.
	// Silent machines are given up soon after an outage begins.
	machinesBeforeOutage int
	recovery             recovery
}

// machineCounts are the zone's machines at the last observation.
type machineCounts struct {
	expected  int // with valid leases
	overdue   int // machines among these whose heartbeats are overdue
	sentinels int
}

// recovery limits the requests for instances in a zone that is Unavailable or Recovering.
type recovery struct {
	lastProbe time.Time // when an instance was last requested as a probe, or the outage began
	stepStart time.Time
	limit     int // instances that may be requested in the present step
	requested int // in the present step
}

// manyOverdue reports whether enough heartbeats are overdue for the zone to be suspected.
func (z *zone) manyOverdue() bool {
	overdue, expected := float64(z.machines.overdue), float64(z.machines.expected)
	return overdue >= overdueShare*expected && z.machines.overdue >= minSilentMachines
}

// repeatedOutages returns the number of remembered outages after the first. Each doubles the times of the recovery.
func (z *zone) repeatedOutages() int { return max(len(z.outages)-1, 0) }

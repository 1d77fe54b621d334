package zones

import "time"

// State is the state of a zone's connection with the leader, judged by the heartbeats from its machines.
type State int

// States of a zone.
const (
	Healthy     State = iota // heartbeats arrive
	Suspected                // heartbeats of many machines are overdue; not certain yet
	Degraded                 // heartbeats of many machines are overdue, those of others arrive
	Unavailable              // no heartbeat arrives
	Recovering               // heartbeats arrive again; the number of instances requested there grows in steps
)

// String returns the state's name in responses to users.
func (s State) String() string {
	return [...]string{"bright", "doubtful", "partly away", "cut", "returning"}[s]
}

// Machine is what the tracker observes of a machine.
type Machine struct {
	Zone          string
	HasReported   bool      // to this leader
	LeaseValid    bool      // a heartbeat is expected
	LastHeartbeat time.Time // or the election, if there was none since
	Deleting      bool      // its silence is no evidence
	Sentinel      bool      // it is kept although it is silent, to show that its zone is back
}

// View is a zone as it is shown to users.
type View struct {
	Name          string
	State         State
	Since         time.Time // when the state began
	LastHeartbeat time.Time // of any machine
	Machines      int       // with valid leases
	Overdue       int       // of these, those whose heartbeats are overdue
	Outages       int       // in the last ten minutes
}

// zone is the state of one zone.
type zone struct {
	state         State
	stateSince    time.Time
	lastHeartbeat time.Time   // of any machine, or the election
	outages       []time.Time // the last ones, at most maxRememberedOutages
	machines      machineCounts
	// machinesBeforeOutage is the number of machines with valid leases when the zone was last not Unavailable. The silent ones
	// are given up soon after.
	machinesBeforeOutage int
	recovery             recovery
}

// machineCounts are the zone's machines at the last observation.
type machineCounts struct {
	expected  int // with valid leases
	overdue   int // of these, those whose heartbeats are overdue
	sentinels int
}

// recovery limits the requests for instances in a zone that is Unavailable or Recovering.
type recovery struct {
	lastProbe time.Time // when an instance was last requested to find out whether the zone is back
	stepStart time.Time
	limit     int // instances that may be requested in the present step
	requested int // in the present step
}

// manyOverdue reports whether enough heartbeats are overdue for the zone to be suspected.
func (z *zone) manyOverdue() bool {
	overdue, expected := float64(z.machines.overdue), float64(z.machines.expected)
	return overdue >= overdueShare*expected && z.machines.overdue >= minSilentMachines
}

// repeatedOutages is the number of the remembered outages beyond the first. Each doubles the time until the zone is trusted.
func (z *zone) repeatedOutages() int { return max(len(z.outages)-1, 0) }

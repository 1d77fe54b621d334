package cloud

import (
	"time"

	"gullrudder/internal/units"
)

// MachineType is a type of machine that the cloud offers. Prices are per hour.
type MachineType struct {
	Name             string   `msgpack:"name"`
	CPUs             float64  `msgpack:"cpus"`
	GPUs             float64  `msgpack:"cards"`
	MemoryGB         float64  `msgpack:"mem_gb"`
	HourlyPrice      float64  `msgpack:"hourly"`
	SpotHourlyPrice  float64  `msgpack:"low_price"`
	BootSeconds      float64  `msgpack:"ready_s"`        // nominal time from the request to the first heartbeat
	ImageCacheGB     float64  `msgpack:"local_gb"`       // disk space for container images
	FetchGBPerSecond float64  `msgpack:"fetch_gb_per_s"` // rate at which images are fetched
	Zones            []string `msgpack:"harbours"`       // zones in which the type is offered
}

// nominalBootTime returns the usual time from the request to the first heartbeat, according to the cloud.
func (t *MachineType) nominalBootTime() time.Duration {
	return units.DurationFromSeconds(t.BootSeconds)
}

// HourlyPriceFor returns the hourly price of a spot instance if spot is set, and of an on-demand instance otherwise.
func (t *MachineType) HourlyPriceFor(spot bool) float64 {
	if spot {
		return t.SpotHourlyPrice
	}
	return t.HourlyPrice
}

// InstanceKind identifies the instances of one request: a machine type in a zone, on demand or spot.
type InstanceKind struct {
	Type string // name of the machine type
	Zone string
	Spot bool
}

// InstanceKindOf returns the kind of a machine type in a zone, spot or on demand.
func InstanceKindOf(machineType *MachineType, zone string, spot bool) InstanceKind {
	return InstanceKind{Type: machineType.Name, Zone: zone, Spot: spot}
}

// InstanceState is the state of an instance as the cloud lists it.
type InstanceState string

// States of an instance in the cloud's protocol.
const (
	StateStarting InstanceState = "starting"
	StateRunning  InstanceState = "running"
	StateFailed   InstanceState = "failed"
)

// Instance is a machine in the cloud. It is known from its request until its deletion is confirmed or the cloud no longer lists
// it.
type Instance struct {
	ID                    string
	Addr                  string
	Kind                  InstanceKind
	State                 InstanceState // as last listed
	RequestedAt           time.Time     // exact if RequestedByThisLeader, otherwise derived from the listed age or the first heartbeat
	RequestedByThisLeader bool
	LastSeenAt            time.Time // last time that a list or a heartbeat showed it; zero if none did
	Deleting              bool      // its deletion was requested
	HasSentHeartbeat      bool      // its worker has sent a heartbeat to this leader
}

// updateFromList updates the instance from a list. Lists may arrive out of order, so a state never goes back to an earlier one.
func (i *Instance) updateFromList(now time.Time, listed *listedInstance) {
	i.Addr, i.Kind, i.LastSeenAt = listed.Addr, listed.kind(), now
	if i.State != StateFailed && (i.State != StateRunning || listed.State != StateStarting) {
		i.State = listed.State
	}
}

// unseenFor returns how long neither a list nor a heartbeat has shown the instance.
func (i *Instance) unseenFor(now time.Time) time.Duration {
	if i.LastSeenAt.IsZero() {
		return now.Sub(i.RequestedAt)
	}
	return now.Sub(i.LastSeenAt)
}

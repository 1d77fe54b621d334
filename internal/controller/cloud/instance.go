package cloud

import (
	"time"

	"gullrudder/internal/units"
)

// MachineType is a type of machine that the cloud offers, as it describes it.
type MachineType struct {
	Name             string   `msgpack:"name"`
	CPUs             float64  `msgpack:"cpus"`
	GPUs             float64  `msgpack:"cards"`
	MemoryGB         float64  `msgpack:"mem_gb"`
	HourlyPrice      float64  `msgpack:"hourly"`
	SpotHourlyPrice  float64  `msgpack:"low_price"`
	BootSeconds      float64  `msgpack:"ready_s"`        // the usual time from the request to the first heartbeat
	ImageCacheGB     float64  `msgpack:"local_gb"`       // disk for container images
	FetchGBPerSecond float64  `msgpack:"fetch_gb_per_s"` // rate at which images are fetched
	Zones            []string `msgpack:"harbours"`       // zones in which the type is offered
}

// statedBootTime returns the usual time from the request to the first heartbeat, as the cloud states it.
func (t *MachineType) statedBootTime() time.Duration {
	return units.DurationFromSeconds(t.BootSeconds)
}

// HourlyPriceFor returns the price of an hour of an instance, spot or on demand.
func (t *MachineType) HourlyPriceFor(spot bool) float64 {
	if spot {
		return t.SpotHourlyPrice
	}
	return t.HourlyPrice
}

// InstanceKind is the kind of instances of one request: a machine type in a zone, on demand or spot.
type InstanceKind struct {
	Type string // name of the machine type
	Zone string
	Spot bool
}

// InstanceKindOf returns the kind of instances of a machine type in a zone.
func InstanceKindOf(machineType *MachineType, zone string, spot bool) InstanceKind {
	return InstanceKind{Type: machineType.Name, Zone: zone, Spot: spot}
}

// InstanceState is the state of an instance in the cloud's list.
type InstanceState string

// States of an instance, as the cloud's protocol names them.
const (
	StateStarting InstanceState = "starting"
	StateRunning  InstanceState = "running"
	StateFailed   InstanceState = "failed"
)

// Instance is a machine as the cloud lists it.
type Instance struct {
	ID                    string
	Addr                  string
	Kind                  InstanceKind
	State                 InstanceState // as last listed
	RequestedAt           time.Time     // exact if RequestedByThisLeader, else derived from the listed age
	RequestedByThisLeader bool
	LastListed            time.Time // last time that a list or a heartbeat showed it
	Deleting              bool      // a deletion was sent
	HasReported           bool      // its worker sent a heartbeat to this leader
}

// updateFromList updates the instance from a list. Lists may come out of order: a state never goes back.
func (i *Instance) updateFromList(now time.Time, listed *listedInstance) {
	i.Addr, i.Kind, i.LastListed = listed.Addr, listed.kind(), now
	if i.State != StateFailed && (i.State != StateRunning || listed.State != StateStarting) {
		i.State = listed.State
	}
}

// unseenFor returns how long no list and no heartbeat showed the instance.
func (i *Instance) unseenFor(now time.Time) time.Duration {
	if i.LastListed.IsZero() {
		return now.Sub(i.RequestedAt)
	}
	return now.Sub(i.LastListed)
}

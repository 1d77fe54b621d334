package autoscaler

import (
	"cmp"
	"slices"
	"time"

	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/worker"
)

// minBilledTime is the least time that the cloud charges for an instance.
const minBilledTime = time.Minute

// trackedInstance is an instance with its machine type and its machine.
type trackedInstance struct {
	*cloud.Instance
	machineType  *cloud.MachineType // nil if the cloud does not list the type
	machine      *worker.Machine    // nil before its first heartbeat, unless an earlier leader has registered it
	leaseExpired bool               // no task runs on it
}

// isCounted reports whether the instance is part of the cluster: it neither failed nor is it being deleted.
func (t *trackedInstance) isCounted() bool {
	return t.machineType != nil && !t.Deleting && t.State != cloud.StateFailed
}

// refreshInstances looks up each instance's machine and type once for all parts of a decision, and passes the ages of the booting
// instances to the cloud client.
func (s *Scaler) refreshInstances(now time.Time) {
	s.instances = s.instances[:0]
	bootingAges := map[string][]time.Duration{}
	for id, instance := range s.cloud.Instances {
		machine := s.workers.Machines[id]
		if machine == nil && !instance.Deleting && instance.State != cloud.StateFailed && !s.zones.IsUnavailable(instance.Kind.Zone) {
			bootingAges[instance.Kind.Type] = append(bootingAges[instance.Kind.Type], now.Sub(instance.RequestedAt))
		}
		s.instances = append(s.instances, trackedInstance{
			Instance:     instance,
			machineType:  s.cloud.MachineTypes[instance.Kind.Type],
			machine:      machine,
			leaseExpired: machine != nil && s.workers.IsLeaseExpired(now, machine),
		})
	}
	for _, ages := range bootingAges {
		slices.SortFunc(ages, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	}
	s.cloud.ObserveBooting(bootingAges)
}

// prepaidTime returns how long an instance has been paid for beyond now, because of minBilledTime.
func (s *Scaler) prepaidTime(now time.Time, id string) time.Duration {
	instance := s.cloud.Instances[id]
	if instance == nil {
		return 0
	}
	return max(minBilledTime-now.Sub(instance.RequestedAt), 0)
}

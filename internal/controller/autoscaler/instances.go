package autoscaler

import (
	"cmp"
	"slices"
	"time"

	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/worker"
)

// minBilledTime is the minimum time for which the cloud bills an instance.
const minBilledTime = time.Minute

// trackedInstance joins an instance with its machine type and its machine.
type trackedInstance struct {
	*cloud.Instance
	machineType  *cloud.MachineType // nil if the cloud does not list the type
	machine      *worker.Machine    // nil before the first heartbeat, unless an earlier leader registered the machine
	leaseExpired bool               // the lease of the machine has expired, so no task runs on it
}

// isActive reports whether the instance counts as part of the cluster: its type is known, it has not failed, and it is not being
// deleted.
func (t *trackedInstance) isActive() bool {
	return t.machineType != nil && !t.Deleting && t.State != cloud.StateFailed
}

// refreshInstances looks up the machine and the type of each instance once per decision. It also passes the ages of the booting
// instances to the cloud client, which estimates boot times from them.
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

// prepaidTime returns how much of minBilledTime is left for an instance: terminating it earlier saves nothing. It is 0 for an
// unknown instance.
func (s *Scaler) prepaidTime(now time.Time, id string) time.Duration {
	instance := s.cloud.Instances[id]
	if instance == nil {
		return 0
	}
	return max(minBilledTime-now.Sub(instance.RequestedAt), 0)
}

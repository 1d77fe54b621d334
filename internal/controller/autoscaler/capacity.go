package autoscaler

import (
	"time"

	"gullrudder/internal/controller/admission"
	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/placement"
)

// AssumedGrowth is the minimum number of additional instances of a requestable kind that the admission of jobs counts on.
const AssumedGrowth = 4

// ExpectedCapacity returns the capacity for the admission of jobs. It covers the instances that are running or booting, and the
// growth by instances that can still be requested.
func (s *Scaler) ExpectedCapacity(now time.Time) admission.Capacity {
	capacity := admission.Capacity{TasksAllowedByQuota: func(job *jobs.Job) int {
		return placement.TasksAllowedByQuota(job, s.teams[job.Team], s.workers.TeamUsage(job.Team))
	}}
	countByKind := map[cloud.InstanceKind]int{}
	for id, instance := range s.cloud.Instances {
		if machineType := s.cloud.MachineTypes[instance.Kind.Type]; machineType != nil && s.isExpected(now, id, instance) {
			capacity.CPUs += machineType.CPUs
			countByKind[instance.Kind]++
		}
	}
	for _, machineType := range s.cloud.MachineTypes {
		capacity.MachineCPUs = max(capacity.MachineCPUs, machineType.CPUs)
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{false, true} {
				kind := cloud.InstanceKindOf(machineType, zone, spot)
				if !s.cloud.CanRequest(now, kind) || s.zones.IsUnavailable(zone) {
					continue
				}
				// The cloud does not publish its capacity. The number of instances of a requestable kind is assumed to double, and to
				// grow by at least AssumedGrowth.
				capacity.GrowthCPUs += float64(max(AssumedGrowth, countByKind[kind])) * machineType.CPUs
				capacity.BootTime = max(capacity.BootTime, s.cloud.ExpectedBootTime(machineType))
			}
		}
	}
	return capacity
}

// isExpected reports whether an instance is running or booting and counts for admission.
func (s *Scaler) isExpected(now time.Time, id string, instance *cloud.Instance) bool {
	if instance.Deleting || s.zones.IsUnavailable(instance.Kind.Zone) {
		return false
	}
	machine := s.workers.Machines[id]
	return machine == nil || !s.workers.IsLeaseExpired(now, machine)
}

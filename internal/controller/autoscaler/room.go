package autoscaler

import (
	"time"

	"gullrudder/internal/controller/admission"
	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/placement"
)

// AssumedGrowth is how many machines of a kind a plan counts on beyond those that are there, if that is
// more than are there already.
const AssumedGrowth = 4

// ExpectedCapacity is the fleet that a plan counts on: what is there or booting, and what can still be rented.
func (d *Scaler) ExpectedCapacity(now time.Time) admission.Capacity {
	r := admission.Capacity{TasksAllowedByQuota: func(j *jobs.Job) int {
		return placement.TasksAllowedByQuota(j, d.teams[j.Team], d.workers.TeamUsage(j.Team))
	}}
	held := map[cloud.InstanceKind]int{}
	for id, h := range d.cloud.Instances {
		m := d.workers.Machines[id]
		if t := d.cloud.MachineTypes[h.Kind.Type]; t != nil && !h.Deleting && !d.zones.IsUnavailable(h.Kind.Zone) &&
			(m == nil || !d.workers.IsLeaseExpired(now, m)) {
			r.CPUs += t.CPUs
			held[h.Kind]++
		}
	}
	for _, t := range d.cloud.MachineTypes {
		r.MachineCPUs = max(r.MachineCPUs, t.CPUs)
		for _, z := range t.Zones {
			for _, spot := range []bool{false, true} {
				// Capacity is not published: a kind that was not refused lately is
				// taken to have as many again, or a few.
				if k := cloud.InstanceKindOf(t, z, spot); d.cloud.CanRequest(now, k) && !d.zones.IsUnavailable(z) {
					r.GrowthCPUs += float64(max(AssumedGrowth, held[k])) * t.CPUs
					r.BootTime = max(r.BootTime, d.cloud.ExpectedBootTime(t))
				}
			}
		}
	}
	return r
}

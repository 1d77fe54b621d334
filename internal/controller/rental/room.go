package rental

import (
	"time"

	"gullrudder/internal/controller/fleet"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/place"
	"gullrudder/internal/controller/plan"
)

// Growth is how many machines of a kind a plan counts on beyond those that are there, if that is
// more than are there already.
const Growth = 4

// Room is the fleet that a plan counts on: what is there or booting, and what can still be rented.
func (d *Desk) Room(now time.Time) plan.Capacity {
	r := plan.Capacity{StartableTasks: func(j *jobs.Job) int { return place.TasksAllowedByQuota(j, d.teams[j.Team], d.fleet.TeamUsage(j.Team)) }}
	held := map[fleet.Kind]int{}
	for id, h := range d.cloud.Hosts {
		m := d.fleet.Machines[id]
		if t := d.cloud.Types[h.Kind.Type]; t != nil && !h.Deleting && !d.zones.Away(h.Kind.Zone) && (m == nil || !d.fleet.IsLeaseExpired(now, m)) {
			r.CPUs += t.CPUs
			held[h.Kind]++
		}
	}
	for _, t := range d.cloud.Types {
		r.MachineCPUs = max(r.MachineCPUs, t.CPUs)
		for _, z := range t.Zones {
			for _, spot := range []bool{false, true} {
				// Capacity is not published: a kind that was not refused lately is
				// taken to have as many again, or a few.
				if k := fleet.KindOf(t, z, spot); d.cloud.Askable(now, k) && !d.zones.Away(z) {
					r.GrowthCPUs += float64(max(Growth, held[k])) * t.CPUs
					r.BootTime = max(r.BootTime, d.cloud.Boot(t))
				}
			}
		}
	}
	return r
}

package autoscaler

import (
	"time"

	"gullrudder/internal/controller/worker"
)

// maxCordonedShare is how much of the fleet may be set aside at a time for being slow: more says something of
// the work, or of the cloud, and not of the machines.
const maxCordonedShare = 0.05

// cordonStragglers has nothing more start on machines that are slow but report: they cost what others do.
// What runs there goes on; then they are returned, and the work at hand rents others. What costs
// nothing is kept, however slow: it would be rented again.
func (d *Scaler) cordonStragglers(now time.Time) {
	up, aside := 0, 0
	var slow []*worker.Machine
	for _, m := range d.workers.MachinesByName() {
		if !m.HasReported || d.workers.IsLeaseExpired(now, m) {
			continue
		}
		up++
		t := d.cloud.MachineTypes[m.Type]
		switch {
		case m.DrainReason == worker.DrainSlow:
			aside++
		case m.DrainReason == worker.NotDraining && t != nil && t.HourlyPrice > 0 && d.cloud.Instances[m.ID] != nil && d.stragglers.IsSlow(m.ID):
			slow = append(slow, m)
		}
	}
	for _, m := range slow {
		if float64(aside) >= maxCordonedShare*float64(up) {
			return
		}
		aside++
		m.DrainReason = worker.DrainSlow
		d.log.Info("a machine is slow", "machine", m.ID, "times", d.stragglers.Slowdown(m.ID), "tasks", len(m.Attempts))
	}
}

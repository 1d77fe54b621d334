package rental

import (
	"time"

	"gullrudder/internal/controller/workers"
)

// slowShare is how much of the fleet may be set aside at a time for being slow: more says something of
// the work, or of the cloud, and not of the machines.
const slowShare = 0.05

// setSlowAside has nothing more start on machines that are slow but report: they cost what others do.
// What runs there goes on; then they are returned, and the work at hand rents others. What costs
// nothing is kept, however slow: it would be rented again.
func (d *Desk) setSlowAside(now time.Time) {
	up, aside := 0, 0
	var slow []*workers.Machine
	for _, m := range d.fleet.MachinesByName() {
		if !m.HasReported || d.fleet.IsLeaseExpired(now, m) {
			continue
		}
		up++
		t := d.cloud.Types[m.Type]
		switch {
		case m.DrainReason == workers.DrainSlow:
			aside++
		case m.DrainReason == workers.NotDraining && t != nil && t.Price > 0 && d.cloud.Hosts[m.ID] != nil && d.pace.IsSlow(m.ID):
			slow = append(slow, m)
		}
	}
	for _, m := range slow {
		if float64(aside) >= slowShare*float64(up) {
			return
		}
		aside++
		m.DrainReason = workers.DrainSlow
		d.log.Info("a machine is slow", "machine", m.ID, "times", d.pace.Slowdown(m.ID), "tasks", len(m.Attempts))
	}
}

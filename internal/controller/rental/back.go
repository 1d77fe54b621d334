package rental

import (
	"time"

	"gullrudder/internal/controller/fleet"
	"gullrudder/internal/controller/place"
	"gullrudder/internal/controller/workers"
)

// patience is how long after the end of its lease a silent machine is waited for.
const patience = 15 * time.Second

// minCharge is what the cloud charges at least for a machine that is deleted.
const minCharge = time.Minute

// paidFor is how long a machine has been paid for already beyond now.
func (d *Desk) paidFor(now time.Time, id string) time.Duration {
	h := d.cloud.Hosts[id]
	if h == nil {
		return 0
	}
	return max(minCharge-now.Sub(h.Born), 0)
}

// shed stops to use the dearer kinds once the cheaper machines that are up would get
// through the work well before the dearer ones were worth renting.
func (d *Desk) shed(now time.Time, opts []option, work ahead) {
	up := map[fleet.Kind][]*workers.Machine{}
	for _, m := range d.fleet.Machines {
		if m.HasReported && (m.DrainReason == workers.NotDraining || m.DrainReason == workers.DrainExpensive) {
			up[place.MachineKind(m)] = append(up[place.MachineKind(m)], m)
		}
	}
	cheaper := 0.0
	for _, o := range opts {
		worth := d.worth(o.price, opts[0].price)
		spare := o.price > 1.5*opts[0].price && work.within(worth) < cheaper*worth/2
		for _, m := range up[o.kind] {
			cheaper += m.CPUs
			switch {
			case spare && m.DrainReason == workers.NotDraining && d.paidFor(now, m.ID) == 0:
				m.DrainReason = workers.DrainExpensive
			case !spare && m.DrainReason == workers.DrainExpensive:
				m.DrainReason = workers.NotDraining
			}
		}
	}
}

// giveBack returns machines that are idle, faulty, failed, never up or lost.
func (d *Desk) giveBack(now time.Time, wants []int) {
	why := map[string][]string{}
	waiting := 0
	for _, n := range wants {
		waiting += n
	}
	for i := range d.held {
		id, h, t, m := d.held[i].id, d.held[i].host, d.held[i].typ, d.held[i].m
		if h.Deleting {
			continue
		}
		reason := ""
		switch {
		case h.State == fleet.Failed:
			reason = "failed"
		case m == nil:
			if t != nil && now.Sub(h.Born) > d.cloud.GiveUp(t) && now.Sub(d.since) > d.fleet.Lease() {
				reason = "never up"
			}
		case d.held[i].expired:
			if now.Sub(m.LeaseRenewedAt) > d.fleet.Lease()+patience && !(m.IsSentinel && d.zones.Away(h.Kind.Zone)) {
				reason = "lost"
			}
		case !m.HasReported: // on the roster of an earlier leader: its tasks are not known yet
		case m.DrainReason.LeadsToTermination() && len(m.Attempts) == 0:
			reason = string(m.DrainReason)
		case m.DrainReason != workers.NotDraining || len(m.Attempts) > 0 || d.paidFor(now, id) > 0:
		case waiting == 0 && now.Sub(m.IdleSince) > d.opt.IdleAfter, now.Sub(m.IdleSince) > 3*d.opt.IdleAfter:
			reason = "idle"
		}
		if reason == "" {
			continue
		}
		if m != nil && (m.DrainReason == workers.NotDraining || m.DrainReason.LeadsToTermination()) {
			m.DrainReason = workers.DrainTerminating
		}
		why[reason] = append(why[reason], id)
	}
	for reason, ids := range why {
		d.cloud.Return(now, ids, reason)
	}
}

package autoscaler

import (
	"time"

	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/worker"
)

// silenceGrace is how long after the end of its lease a silent machine is waited for.
const silenceGrace = 15 * time.Second

// minBilledTime is what the cloud charges at least for a machine that is deleted.
const minBilledTime = time.Minute

// prepaidTime is how long a machine has been paid for already beyond now.
func (d *Scaler) prepaidTime(now time.Time, id string) time.Duration {
	h := d.cloud.Instances[id]
	if h == nil {
		return 0
	}
	return max(minBilledTime-now.Sub(h.RequestedAt), 0)
}

// cordonExpensive stops to use the dearer kinds once the cheaper machines that are up would get
// through the work well before the dearer ones were worth renting.
func (d *Scaler) cordonExpensive(now time.Time, opts []offering, work teamBacklogs) {
	up := map[cloud.InstanceKind][]*worker.Machine{}
	for _, m := range d.workers.Machines {
		if m.HasReported && (m.DrainReason == worker.NotDraining || m.DrainReason == worker.DrainExpensive) {
			up[placement.MachineKind(m)] = append(up[placement.MachineKind(m)], m)
		}
	}
	cheaper := 0.0
	for _, o := range opts {
		worth := d.requiredBacklog(o.price, opts[0].price)
		spare := o.price > 1.5*opts[0].price && work.completableWithin(worth) < cheaper*worth/2
		for _, m := range up[o.kind] {
			cheaper += m.CPUs
			switch {
			case spare && m.DrainReason == worker.NotDraining && d.prepaidTime(now, m.ID) == 0:
				m.DrainReason = worker.DrainExpensive
			case !spare && m.DrainReason == worker.DrainExpensive:
				m.DrainReason = worker.NotDraining
			}
		}
	}
}

// terminateUnneeded returns machines that are idle, faulty, failed, never up or lost.
func (d *Scaler) terminateUnneeded(now time.Time, wants []int) {
	why := map[string][]string{}
	waiting := 0
	for _, n := range wants {
		waiting += n
	}
	for i := range d.instances {
		id, h, t, m := d.instances[i].id, d.instances[i].instance, d.instances[i].machineType, d.instances[i].machine
		if h.Deleting {
			continue
		}
		reason := ""
		switch {
		case h.State == cloud.StateFailed:
			reason = "failed"
		case m == nil:
			if t != nil && now.Sub(h.RequestedAt) > d.cloud.BootTimeout(t) && now.Sub(d.electedAt) > d.workers.Lease() {
				reason = "never up"
			}
		case d.instances[i].leaseExpired:
			if now.Sub(m.LeaseRenewedAt) > d.workers.Lease()+silenceGrace && !(m.IsSentinel && d.zones.IsUnavailable(h.Kind.Zone)) {
				reason = "lost"
			}
		case !m.HasReported: // on the roster of an earlier leader: its tasks are not known yet
		case m.DrainReason.LeadsToTermination() && len(m.Attempts) == 0:
			reason = string(m.DrainReason)
		case m.DrainReason != worker.NotDraining || len(m.Attempts) > 0 || d.prepaidTime(now, id) > 0:
		case waiting == 0 && now.Sub(m.IdleSince) > d.options.IdleTimeout, now.Sub(m.IdleSince) > 3*d.options.IdleTimeout:
			reason = "idle"
		}
		if reason == "" {
			continue
		}
		if m != nil && (m.DrainReason == worker.NotDraining || m.DrainReason.LeadsToTermination()) {
			m.DrainReason = worker.DrainTerminating
		}
		why[reason] = append(why[reason], id)
	}
	for reason, ids := range why {
		d.cloud.Terminate(ids, reason)
	}
}

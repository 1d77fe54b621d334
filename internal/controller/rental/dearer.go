package rental

import (
	"cmp"
	"slices"
	"time"

	"gullrudder/internal/controller/fleet"
	"gullrudder/internal/controller/place"
	"gullrudder/internal/controller/plan"
	"gullrudder/internal/controller/workers"
)

const (
	// dear is from how many times the cheapest price on a kind has to be worth it by the aims.
	dear = 1.5
	// dearShare is how many CPUs of dear kinds there may be for each cheap one, by their worth. A short
	// queue on a small fleet looked worth ten times the fleet's money: what is to come later, and would
	// have to be paid then, is not known at a start. Work that lasts long enough is not bound by it.
	dearShare = 0.5
	// mostWeighed bounds the jobs of a forecast: of more, every so many stands for its neighbours.
	mostWeighed = 300
	// grid is to how many seconds the time is rounded at which booting machines begin to serve.
	grid = 5
)

// dearer weighs the kinds that are dearer than the cheapest by what they save: how many of each are
// worth renting now. Machines of such kinds that are there and not worth their price any more are
// emptied, and used again before others are rented. A kind that is not in the answer is not weighed:
// it is cheap, or the platform states no aims.
func (d *Desk) dearer(now time.Time, opts []option, order []plan.Entry, work ahead) map[fleet.Kind]int {
	if len(d.steps) == 0 {
		d.shed(now, opts, work)
		return nil
	}
	pays := map[fleet.Kind]int{}
	o := d.outlook(now, order)
	serving, resting := d.dearMachines(now, opts)
	isDear := dearKinds(opts)
	left := d.dearRoom(opts)
	for i := len(opts) - 1; i >= 0 && isDear[opts[i].kind]; i-- {
		list := serving[opts[i].kind]
		if n := o.spares(d.offerOf(opts[i], len(list))); n > 0 {
			for _, m := range list[:n] {
				m.DrainReason = workers.DrainExpensive
			}
			o.add(part{0, -float64(n) * opts[i].typ.CPUs})
		}
	}
	for _, opt := range opts {
		if !isDear[opt.kind] {
			continue
		}
		pays[opt.kind] = 0
		if len(o.queue) == 0 || opt.typ.CPUs <= 0 {
			continue // what has no CPUs is rented for lack of its kind only
		}
		again := resting[opt.kind]
		may := 0
		if d.mayAsk(now, opt.kind) > 0 && !d.zones.Away(opt.kind.Zone) {
			may = d.cloud.MostAsked()
		}
		f := d.offerOf(opt, len(again))
		if len(again) > 0 {
			f.boot = 0
		} else {
			f.most = min(may, int(max(left, 0)/f.cpus))
		}
		if f.most == 0 {
			continue
		}
		n, _ := o.mostPays(f)
		o.add(part{f.boot, float64(n) * f.cpus})
		if len(again) > 0 {
			for _, m := range again[:n] {
				m.DrainReason = workers.NotDraining
			}
			continue
		}
		left -= float64(n) * f.cpus
		pays[opt.kind] = n
	}
	return pays
}

// dearKinds marks the kinds that are dear.
func dearKinds(opts []option) map[fleet.Kind]bool {
	marked := map[fleet.Kind]bool{}
	for _, o := range opts {
		if ratio(o.price, opts[0].price) > dear {
			marked[o.kind] = true
		}
	}
	return marked
}

// dearRoom is how many CPUs of dear kinds there may be more.
func (d *Desk) dearRoom(opts []option) float64 {
	isDear := dearKinds(opts)
	for k := range isDear {
		if d.cloud.Asking(k) {
			return 0 // how many come of it is not known yet
		}
	}
	room := 0.0
	for i := range d.held {
		h, t := d.held[i].host, d.held[i].typ
		switch {
		case t == nil || h.Deleting || h.State == fleet.Failed || d.held[i].expired:
		case isDear[h.Kind]:
			room -= t.CPUs
		default:
			room += dearShare * t.CPUs
		}
	}
	return room
}

// offerOf is so many machines of an option.
func (d *Desk) offerOf(o option, most int) offer {
	price := o.typ.Price
	if o.kind.Spot {
		price = o.typ.SpotPrice
	}
	return offer{cpus: o.typ.CPUs, money: price / 3600, boot: d.cloud.Boot(o.typ).Seconds(), most: most}
}

// dearMachines lists the machines of dear kinds that are up, the emptiest first: those in use that
// have been paid for their first minute, and those that are being emptied as surplus.
func (d *Desk) dearMachines(now time.Time, opts []option) (serving, resting map[fleet.Kind][]*workers.Machine) {
	serving, resting = map[fleet.Kind][]*workers.Machine{}, map[fleet.Kind][]*workers.Machine{}
	isDear := dearKinds(opts)
	for _, m := range d.fleet.ReportingMachines() {
		k := place.MachineKind(m)
		switch {
		case !isDear[k] || d.fleet.IsLeaseExpired(now, m):
		case m.DrainReason == workers.DrainExpensive:
			resting[k] = append(resting[k], m)
		case m.DrainReason == workers.NotDraining && d.paidFor(now, m.ID) == 0:
			serving[k] = append(serving[k], m)
		}
	}
	for k := range resting { // those with the most on them are used again first
		slices.Reverse(resting[k])
	}
	return serving, resting
}

// add takes a part into the fleet as it is and is coming.
func (o *outlook) add(p part) {
	if p.cpus == 0 {
		return
	}
	o.known = false
	i, _ := slices.BinarySearchFunc(o.parts, p, func(a, b part) int { return cmp.Compare(a.at, b.at) })
	o.parts = slices.Insert(o.parts, i, p)
}

// outlook gathers what a forecast needs.
func (d *Desk) outlook(now time.Time, order []plan.Entry) *outlook {
	o := &outlook{steps: d.steps, records: d.records, thrift: d.opt.Thrift}
	byTime := map[int]float64{}
	for i := range d.held {
		h, t, m := d.held[i].host, d.held[i].typ, d.held[i].m
		if t == nil || h.Deleting || h.State == fleet.Failed {
			continue
		}
		switch {
		case d.zones.Away(h.Kind.Zone), d.held[i].expired:
			continue
		case m == nil:
			wait := d.cloud.BootLeft(t, now.Sub(h.Born))
			byTime[int(wait.Seconds())/grid+1] += t.CPUs
		case m.DrainReason == workers.NotDraining:
			byTime[0] += t.CPUs
		}
		price := t.Price
		if h.Kind.Spot {
			price = t.SpotPrice
		}
		o.spend += price / 3600
	}
	for at, cpus := range byTime {
		o.parts = append(o.parts, part{float64(at * grid), cpus})
	}
	slices.SortFunc(o.parts, func(a, b part) int { return cmp.Compare(a.at, b.at) })
	d.weigh(now, order, o)
	return o
}

// weigh fills in the queue and what arrives. A task that waits starts when what waits before it has
// had its room: what runs already only hands that on.
func (d *Desk) weigh(now time.Time, order []plan.Entry, o *outlook) {
	count, total := 0, 0.0
	waits := func(e *plan.Entry) float64 {
		if e.Job.IsService {
			return 0
		}
		return min(float64(e.Job.WaitingTasks())*e.TaskRunTime.Seconds()*max(e.Job.CPUs, 0.1), e.RemainingCPUSeconds)
	}
	needs := make([]float64, len(order))
	for i := range order {
		if w := waits(&order[i]); w > 0 {
			needs[i] = w
			count++
			total += w
		}
	}
	every := 1 + count/mostWeighed
	ahead, seen := 0.0, 0
	teams, latest := map[string]float64{}, map[string]*standpoint{}
	for i := range order {
		e, w := &order[i], needs[i]
		if w == 0 {
			continue
		}
		ahead += w
		teams[e.Job.Team] += w
		l := latest[e.Job.Class]
		if l == nil {
			l = &standpoint{}
			latest[e.Job.Class] = l
		}
		l.see(now.Sub(e.Job.EligibleSince()), ahead/total)
		if seen++; seen%every != 0 {
			continue
		}
		q := waiting{class: e.Job.Class, age: now.Sub(e.Job.EligibleSince()), perTask: e.TaskRunTime, deadline: e.Job.TimeToDeadline(), ahead: ahead, weight: float64(every)}
		if limit := d.teams[e.Job.Team].CPULimit; limit > 0 {
			q.bound = teams[e.Job.Team] / limit
		}
		o.queue = append(o.queue, q)
	}
	for team, w := range teams {
		if limit := d.teams[team].CPULimit; limit > 0 {
			w = min(w, limit*lookAhead.Seconds()/2)
		}
		o.backlog += w
	}
	for _, f := range d.flows {
		rate := f.rate(now)
		load, bound := rate.work, 0.0
		if limit := d.teams[f.team].CPULimit; limit > 0 {
			load, bound = min(load, limit), teams[f.team]/limit
		}
		o.load += load
		a := arrival{class: f.class, rate: rate.jobs, perTask: f.perTask, deadline: f.deadline, bound: bound}
		if l := latest[f.class]; l != nil {
			a.place = l.sum / l.weight
		}
		o.to = append(o.to, a)
	}
}

// standpoint is where in the queue a new job of a class would stand: where those stand that came last.
type standpoint struct{ sum, weight float64 }

func (p *standpoint) see(age time.Duration, at float64) {
	w := 1 / (age.Seconds() + 5)
	p.sum += w * at
	p.weight += w
}

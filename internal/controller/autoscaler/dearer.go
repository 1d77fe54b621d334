package autoscaler

import (
	"cmp"
	"slices"
	"time"

	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/queue"
	"gullrudder/internal/controller/worker"
)

const (
	// expensiveRatio is from how many times the cheapest price on a kind has to be worth it by the aims.
	expensiveRatio = 1.5
	// expensiveCPUShare is how many CPUs of dear kinds there may be for each cheap one, by their worth. A short
	// queue on a small fleet looked worth ten times the fleet's money: what is to come later, and would
	// have to be paid then, is not known at a start. Work that lasts long enough is not bound by it.
	expensiveCPUShare = 0.5
	// maxForecastJobs bounds the jobs of a forecast: of more, every so many stands for its neighbours.
	maxForecastJobs = 300
	// bootGridSeconds is to how many seconds the time is rounded at which booting machines begin to serve.
	bootGridSeconds = 5
)

// weighExpensive weighs the kinds that are dearer than the cheapest by what they save: how many of each are
// worth renting now. Machines of such kinds that are there and not worth their price any more are
// emptied, and used again before others are rented. A kind that is not in the answer is not weighed:
// it is cheap, or the platform states no aims.
func (d *Scaler) weighExpensive(now time.Time, opts []offering, order []queue.Entry, work teamBacklogs) map[cloud.InstanceKind]int {
	if len(d.objectives) == 0 {
		d.cordonExpensive(now, opts, work)
		return nil
	}
	pays := map[cloud.InstanceKind]int{}
	o := d.newObjectiveForecast(now, order)
	inUse, cordoned := d.expensiveMachines(now, opts)
	isDear := expensiveKinds(opts)
	left := d.expensiveCPUHeadroom(opts)
	for i := len(opts) - 1; i >= 0 && isDear[opts[i].kind]; i-- {
		list := inUse[opts[i].kind]
		if n := o.surplusCount(d.candidateOf(opts[i], len(list))); n > 0 {
			for _, m := range list[:n] {
				m.DrainReason = worker.DrainExpensive
			}
			o.addCapacity(capacityStep{0, -float64(n) * opts[i].machineType.CPUs})
		}
	}
	for _, opt := range opts {
		if !isDear[opt.kind] {
			continue
		}
		pays[opt.kind] = 0
		if len(o.queue) == 0 || opt.machineType.CPUs <= 0 {
			continue // what has no CPUs is rented for lack of its kind only
		}
		again := cordoned[opt.kind]
		may := 0
		if d.maxRequestable(now, opt.kind) > 0 && !d.zones.IsUnavailable(opt.kind.Zone) {
			may = d.cloud.MaxRequestable()
		}
		f := d.candidateOf(opt, len(again))
		if len(again) > 0 {
			f.bootSeconds = 0
		} else {
			f.maxCount = min(may, int(max(left, 0)/f.cpus))
		}
		if f.maxCount == 0 {
			continue
		}
		n, _ := o.bestCount(f)
		o.addCapacity(capacityStep{f.bootSeconds, float64(n) * f.cpus})
		if len(again) > 0 {
			for _, m := range again[:n] {
				m.DrainReason = worker.NotDraining
			}
			continue
		}
		left -= float64(n) * f.cpus
		pays[opt.kind] = n
	}
	return pays
}

// expensiveKinds marks the kinds that are dear.
func expensiveKinds(opts []offering) map[cloud.InstanceKind]bool {
	marked := map[cloud.InstanceKind]bool{}
	for _, o := range opts {
		if priceRatio(o.price, opts[0].price) > expensiveRatio {
			marked[o.kind] = true
		}
	}
	return marked
}

// expensiveCPUHeadroom is how many CPUs of dear kinds there may be more.
func (d *Scaler) expensiveCPUHeadroom(opts []offering) float64 {
	isDear := expensiveKinds(opts)
	for k := range isDear {
		if d.cloud.HasPendingRequest(k) {
			return 0 // how many come of it is not known yet
		}
	}
	room := 0.0
	for i := range d.instances {
		h, t := d.instances[i].instance, d.instances[i].machineType
		switch {
		case t == nil || h.Deleting || h.State == cloud.StateFailed || d.instances[i].leaseExpired:
		case isDear[h.Kind]:
			room -= t.CPUs
		default:
			room += expensiveCPUShare * t.CPUs
		}
	}
	return room
}

// candidateOf is so many machines of an option.
func (d *Scaler) candidateOf(o offering, most int) candidateKind {
	price := o.machineType.HourlyPrice
	if o.kind.Spot {
		price = o.machineType.SpotHourlyPrice
	}
	return candidateKind{
		cpus:          o.machineType.CPUs,
		costPerSecond: price / 3600,
		bootSeconds:   d.cloud.ExpectedBootTime(o.machineType).Seconds(),
		maxCount:      most,
	}
}

// expensiveMachines lists the machines of dear kinds that are up, the emptiest first: those in use that
// have been paid for their first minute, and those that are being emptied as surplus.
func (d *Scaler) expensiveMachines(now time.Time, opts []offering) (inUse, cordoned map[cloud.InstanceKind][]*worker.Machine) {
	inUse, cordoned = map[cloud.InstanceKind][]*worker.Machine{}, map[cloud.InstanceKind][]*worker.Machine{}
	isDear := expensiveKinds(opts)
	for _, m := range d.workers.ReportingMachines() {
		k := placement.MachineKind(m)
		switch {
		case !isDear[k] || d.workers.IsLeaseExpired(now, m):
		case m.DrainReason == worker.DrainExpensive:
			cordoned[k] = append(cordoned[k], m)
		case m.DrainReason == worker.NotDraining && d.prepaidTime(now, m.ID) == 0:
			inUse[k] = append(inUse[k], m)
		}
	}
	for k := range cordoned { // those with the most on them are used again first
		slices.Reverse(cordoned[k])
	}
	return inUse, cordoned
}

// addCapacity takes a part into the fleet as it is and is coming.
func (o *objectiveForecast) addCapacity(p capacityStep) {
	if p.cpus == 0 {
		return
	}
	o.hasBaseline = false
	i, _ := slices.BinarySearchFunc(o.capacitySteps, p, func(a, b capacityStep) int { return cmp.Compare(a.at, b.at) })
	o.capacitySteps = slices.Insert(o.capacitySteps, i, p)
}

// newObjectiveForecast gathers what a forecast needs.
func (d *Scaler) newObjectiveForecast(now time.Time, order []queue.Entry) *objectiveForecast {
	o := &objectiveForecast{objectives: d.objectives, history: d.history, costWeight: d.options.CostWeight}
	byTime := map[int]float64{}
	for i := range d.instances {
		h, t, m := d.instances[i].instance, d.instances[i].machineType, d.instances[i].machine
		if t == nil || h.Deleting || h.State == cloud.StateFailed {
			continue
		}
		switch {
		case d.zones.IsUnavailable(h.Kind.Zone), d.instances[i].leaseExpired:
			continue
		case m == nil:
			wait := d.cloud.RemainingBootTime(t, now.Sub(h.RequestedAt))
			byTime[int(wait.Seconds())/bootGridSeconds+1] += t.CPUs
		case m.DrainReason == worker.NotDraining:
			byTime[0] += t.CPUs
		}
		price := t.HourlyPrice
		if h.Kind.Spot {
			price = t.SpotHourlyPrice
		}
		o.spendRate += price / 3600
	}
	for at, cpus := range byTime {
		o.capacitySteps = append(o.capacitySteps, capacityStep{float64(at * bootGridSeconds), cpus})
	}
	slices.SortFunc(o.capacitySteps, func(a, b capacityStep) int { return cmp.Compare(a.at, b.at) })
	d.addDemand(now, order, o)
	return o
}

// addDemand fills in the queue and what arrives. A task that waits starts when what waits before it has
// had its room: what runs already only hands that on.
func (d *Scaler) addDemand(now time.Time, order []queue.Entry, forecast *objectiveForecast) {
	count, total := 0, 0.0
	waits := func(e *queue.Entry) float64 {
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
	every := 1 + count/maxForecastJobs
	ahead, seen := 0.0, 0
	teams, latest := map[string]float64{}, map[string]*queuePosition{}
	for i := range order {
		e, w := &order[i], needs[i]
		if w == 0 {
			continue
		}
		ahead += w
		teams[e.Job.Team] += w
		l := latest[e.Job.Class]
		if l == nil {
			l = &queuePosition{}
			latest[e.Job.Class] = l
		}
		l.observe(now.Sub(e.Job.EligibleSince()), ahead/total)
		if seen++; seen%every != 0 {
			continue
		}
		q := queuedJob{
			class:        e.Job.Class,
			age:          now.Sub(e.Job.EligibleSince()),
			taskDuration: e.TaskRunTime,
			deadline:     e.Job.TimeToDeadline(),
			workAhead:    ahead,
			weight:       float64(every),
		}
		if limit := d.teams[e.Job.Team].CPULimit; limit > 0 {
			q.quotaDelay = teams[e.Job.Team] / limit
		}
		forecast.queue = append(forecast.queue, q)
	}
	for team, w := range teams {
		if limit := d.teams[team].CPULimit; limit > 0 {
			w = min(w, limit*forecastSpan.Seconds()/2)
		}
		forecast.backlog += w
	}
	for _, f := range d.arrivals {
		rate := f.rate(now)
		load, bound := rate.work, 0.0
		if limit := d.teams[f.team].CPULimit; limit > 0 {
			load, bound = min(load, limit), teams[f.team]/limit
		}
		forecast.arrivingWork += load
		a := expectedArrival{class: f.class, rate: rate.jobs, taskDuration: f.taskDuration, deadline: f.deadline, quotaDelay: bound}
		if l := latest[f.class]; l != nil {
			a.position = l.sum / l.weight
		}
		forecast.arrivals = append(forecast.arrivals, a)
	}
}

// queuePosition is where in the queue a new job of a class would stand: where those stand that came last.
type queuePosition struct{ sum, weight float64 }

func (p *queuePosition) observe(age time.Duration, at float64) {
	w := 1 / (age.Seconds() + 5)
	p.sum += w * at
	p.weight += w
}

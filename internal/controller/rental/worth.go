package rental

import (
	"math"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/jobs"
)

// step is one aim of a class: a share of its jobs is to be started, or done, within a span.
type step struct {
	class  string
	start  bool          // started, not done
	within time.Duration // 0: by the deadline
	times  float64       // so many times the deadline
	spare  float64       // the share that may miss it
}

const (
	// leastSpare stands for aims that all jobs are to keep.
	leastSpare = 0.001
	// enough is the part of what an aim allows to miss below which there is nothing to gain.
	enough = 0.3
	// spread is how far forecasts are off: the standard deviation of the logarithm of a wait. Owners'
	// estimates are wrong by half, and jobs of one class do not wait alike.
	spread = 0.6
	// lookAhead is the span over which what is spent and what is missed are weighed.
	lookAhead = 5 * time.Minute
	// stretch is how the queue of what is still to come is followed through that span.
	stretch = 10 * time.Second
)

// stepsOf are the aims of the platform's settings that more machines can help to keep.
func stepsOf(objectives []config.Objective) []step {
	var list []step
	for _, o := range objectives {
		s := step{class: o.Class, within: o.Within, spare: max(1-o.Share, leastSpare)}
		switch o.Kind {
		case "wait":
			s.start = true
		case "finished":
		case "deadline":
			s.times = max(o.Times, 1)
		default:
			continue
		}
		list = append(list, s)
	}
	return list
}

// slack is how long a job of some age may still wait for room without missing the step.
func (s *step) slack(age, perTask, deadline time.Duration) (time.Duration, bool) {
	limit := s.within
	if s.times > 0 {
		if deadline <= 0 {
			return 0, false
		}
		limit = time.Duration(s.times * float64(deadline))
	}
	if !s.start {
		limit -= perTask
	}
	return limit - age, true
}

// record is how a step was kept of late; what is older than lookAhead counts ever less.
type record struct{ jobs, missed float64 }

// flow is what arrives of a class of a team: the last few spans, the present one first.
type flow struct {
	class, team string
	spans       [keptSpans + 1]arrived
	at          time.Time // when the present span began
	whole       int       // how many of the others are known
	perTask     time.Duration
	deadline    time.Duration
}

type arrived struct{ jobs, work float64 }

const (
	// arrivalSpan is over how long arrivals are gathered, keptSpans how many such spans count.
	arrivalSpan = 10 * time.Second
	keptSpans   = 6
)

// follow moves the spans on.
func (f *flow) follow(now time.Time) {
	for n := 0; now.Sub(f.at) >= arrivalSpan; n++ {
		if n > keptSpans {
			f.at = now
			break
		}
		copy(f.spans[1:], f.spans[:])
		f.spans[0] = arrived{}
		f.at = f.at.Add(arrivalSpan)
		f.whole = min(f.whole+1, keptSpans)
	}
}

// rate is what arrives a second of late, the span with the most left out: what waits at a start, or
// comes at once, is in the queue, and not what goes on to come.
func (f *flow) rate(now time.Time) arrived {
	f.follow(now)
	if f.whole < 2 {
		return arrived{}
	}
	var sum, most arrived
	for _, s := range f.spans[1 : f.whole+1] {
		sum.jobs += s.jobs
		sum.work += s.work
		if s.work > most.work {
			most = s
		}
	}
	k := 1 / (float64(f.whole-1) * arrivalSpan.Seconds())
	return arrived{(sum.jobs - most.jobs) * k, (sum.work - most.work) * k}
}

// waiting is a job of the queue, as far as the forecast goes.
type waiting struct {
	class    string
	age      time.Duration
	perTask  time.Duration
	deadline time.Duration
	ahead    float64 // CPU seconds that wait and go before its last task, its own included
	bound    float64 // seconds that its team's limit makes it wait in any case
	weight   float64 // how many jobs it stands for
}

// arrival is what is still to come of a class.
type arrival struct {
	class    string
	rate     float64 // jobs a second
	perTask  time.Duration
	deadline time.Duration
	bound    float64
	place    float64 // where in the queue it goes: 0 the first, 1 the last
}

// part is a part of the fleet and when it begins to serve.
type part struct{ at, cpus float64 }

// outlook is all that a forecast needs. Times are in seconds from now.
type outlook struct {
	steps   []step
	records []record // by step
	queue   []waiting
	to      []arrival
	parts   []part  // of the fleet as it is and is coming, by time
	backlog float64 // CPU seconds that wait, as far as teams' limits let them run
	load    float64 // CPU seconds that arrive a second
	spend   float64 // money a second, of the fleet as it is and is coming
	free    float64 // money over lookAhead that may be spent without weighing it
	thrift  float64 // how much a part more money weighs against a part fewer misses
	before  float64 // the loss with the parts as they are, if it is known
	known   bool
}

// capacity is the fleet with so many CPUs more (or fewer) from a time on.
type capacity struct {
	parts []part
	extra part
}

func (c capacity) cpus(t float64) float64 {
	sum := 0.0
	for _, p := range c.parts {
		if p.at <= t {
			sum += p.cpus
		}
	}
	if c.extra.at <= t {
		sum += c.extra.cpus
	}
	return max(sum, 0)
}

// sweep finds when ever more CPU seconds are done.
type sweep struct {
	c       capacity
	next    int
	t, cpus float64
	done    float64 // by t
}

// reach is when so many CPU seconds are done, which are no fewer than at the call before.
func (s *sweep) reach(work float64) float64 {
	for {
		at := math.Inf(1)
		if s.next < len(s.c.parts) {
			at = s.c.parts[s.next].at
		}
		extra := s.c.extra.cpus != 0 && s.c.extra.at <= at
		if extra {
			at = s.c.extra.at
		}
		cpus := max(s.cpus, 0)
		if cpus > 0 && work-s.done <= cpus*(at-s.t) {
			return s.t + (work-s.done)/cpus
		}
		if math.IsInf(at, 1) {
			return at
		}
		s.done += cpus * (at - s.t)
		s.t = at
		if extra {
			s.cpus += s.c.extra.cpus
			s.c.extra.cpus = 0
		} else {
			s.cpus += s.c.parts[s.next].cpus
			s.next++
		}
	}
}

// chance is how likely a wait that is forecast becomes longer than the slack.
func chance(wait, slack float64) float64 {
	if slack <= 0 {
		return 1
	}
	if wait <= 0 {
		return 0
	}
	return 0.5 * math.Erfc(math.Log(slack/wait)/(spread*math.Sqrt2))
}

// forecast is, by step, how many of the jobs that wait or come within lookAhead will miss it and how
// many there are, and how long it takes until nothing waits.
func (o *outlook) forecast(extra part) (missed, all []float64, drained float64) {
	c := capacity{o.parts, extra}
	missed, all = make([]float64, len(o.steps)), make([]float64, len(o.steps))
	s := sweep{c: c}
	for i := range o.queue {
		w := &o.queue[i]
		wait := max(s.reach(w.ahead), w.bound)
		for k := range o.steps {
			aim := &o.steps[k]
			if aim.class != w.class {
				continue
			}
			if slack, ok := aim.slack(w.age, w.perTask, w.deadline); ok {
				missed[k] += w.weight * chance(wait, slack.Seconds())
				all[k] += w.weight
			}
		}
	}
	span := lookAhead.Seconds()
	left, drained := o.backlog, span
	for t := 0.0; t < span; t += stretch.Seconds() {
		cpus := c.cpus(t)
		left += (o.load - cpus) * stretch.Seconds()
		if left <= 0 {
			left = 0
			drained = min(drained, t)
		} else if drained < t {
			drained = span // it grew again
		}
		delay := math.Inf(1)
		if cpus > 0 {
			delay = left / cpus
		}
		for i := range o.to {
			a := &o.to[i]
			wait := a.bound
			if a.place > 0 { // without any machine the delay has no end
				wait = max(delay*a.place, wait)
			}
			for k := range o.steps {
				s := &o.steps[k]
				if s.class != a.class {
					continue
				}
				if slack, ok := s.slack(0, a.perTask, a.deadline); ok {
					missed[k] += a.rate * stretch.Seconds() * chance(wait, slack.Seconds())
					all[k] += a.rate * stretch.Seconds()
				}
			}
		}
	}
	return missed, all, drained
}

// loss is what misses cost: each halving of a share that is missed is worth the same, down to a part
// of what the aim allows.
func (o *outlook) loss(missed, all []float64) float64 {
	sum := 0.0
	for k := range o.steps {
		n := all[k] + o.records[k].jobs
		if n <= 0 {
			continue
		}
		floor := enough * o.steps[k].spare
		sum += math.Log(max((missed[k]+o.records[k].missed)/n, floor)/floor) / math.Log(1/floor)
	}
	return sum
}

// asItIs is the loss if nothing is rented or given back. It is the same for each kind that is weighed.
func (o *outlook) asItIs() float64 {
	if !o.known {
		missed, all, _ := o.forecast(part{})
		o.before, o.known = o.loss(missed, all), true
	}
	return o.before
}

// price is what so much more (or less) money costs, against what is spent in any case.
func (o *outlook) price(money float64) float64 {
	base := max(o.spend*lookAhead.Seconds(), 1e-9)
	if money > 0 {
		money = max(money-o.free, 0)
	}
	return o.thrift * math.Log(max(1+money/base, 0.05))
}

// offer is one kind of machine that could be rented, or given back.
type offer struct {
	cpus  float64
	money float64 // a second
	boot  float64 // seconds until it serves
	most  int
}

// mostPays is how many machines of an offer are worth renting: the number, of 1, 2, 4 and so on, with
// the most gain, and what that is.
func (o *outlook) mostPays(f offer) (count int, gain float64) {
	before := o.asItIs()
	for n := 1; ; n = min(2*n, f.most) {
		if n > f.most {
			break
		}
		missed, all, drained := o.forecast(part{f.boot, float64(n) * f.cpus})
		serves := max(drained-f.boot, 0)
		// While it boots, and from the end of the work until it is returned, it is of no use.
		idle := f.boot + unused.Seconds()
		money := float64(n) * f.money * max(serves+idleWeighs*idle, minCharge.Seconds())
		if g := before - o.loss(missed, all) - o.price(money); g > gain {
			count, gain = n, g
		}
		if n == f.most {
			break
		}
	}
	return count, gain
}

// spares is how many of the machines of an offer, which serve already, are not worth their price any
// more: the most of all, half of them, and so on.
func (o *outlook) spares(f offer) int {
	before := o.asItIs()
	for n := f.most; n > 0; n /= 2 {
		missed, all, drained := o.forecast(part{0, -float64(n) * f.cpus})
		saved := float64(n) * f.money * max(drained, minCharge.Seconds())
		if o.loss(missed, all)-before < keepOn*-o.price(-saved) {
			return n
		}
	}
	return 0
}

// unused is about how long a machine is kept on after the work is over.
const unused = 30 * time.Second

// idleWeighs is how many times money counts that is spent on idle machines: about a quarter of all is,
// and of that share an increase is as bad as one of the whole.
const idleWeighs = 4.0

// keepOn: a machine that is there is kept on even if it is worth somewhat less than its price, since
// another would have to boot.
const keepOn = 0.2

// took learns of a job that was accepted.
func (d *Desk) took(now time.Time, j *jobs.Job) {
	k := [2]string{j.Class, j.Team}
	f := d.flows[k]
	if f == nil {
		f = &flow{class: j.Class, team: j.Team, at: now}
		d.flows[k] = f
	}
	f.follow(now)
	perTask := d.planner.TaskRunTime(j)
	f.spans[0].jobs++
	f.spans[0].work += d.planner.RemainingCPUSeconds(j, now)
	if f.perTask == 0 {
		f.perTask, f.deadline = perTask, j.TimeToDeadline()
	}
	f.perTask += (perTask - f.perTask) / 8
	f.deadline += (j.TimeToDeadline() - f.deadline) / 8
}

// Ended learns how the steps of a job were kept that is done.
func (d *Desk) Ended(now time.Time, j *jobs.Job) {
	k := math.Exp(-now.Sub(d.recorded).Seconds() / lookAhead.Seconds())
	d.recorded = now
	after := now.Sub(j.EligibleSince())
	for i := range d.steps {
		r, s := &d.records[i], &d.steps[i]
		r.jobs, r.missed = r.jobs*k, r.missed*k
		if s.class != j.Class {
			continue
		}
		// Of a start only the wait of the whole job is known here: its last task ran to the end.
		slack, ok := s.slack(after, 0, j.TimeToDeadline())
		if s.start {
			slack += d.planner.TaskRunTime(j)
		}
		if !ok {
			continue
		}
		r.jobs++
		if slack < 0 {
			r.missed++
		}
	}
}

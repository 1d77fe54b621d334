package autoscaler

import (
	"math"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/jobs"
)

// objective is one aim of a class: a share of its jobs is to be started, or done, within a span.
type objective struct {
	class            string
	isStart          bool          // started, not done
	within           time.Duration // 0: by the deadline
	deadlineFactor   float64       // so many times the deadline
	allowedMissShare float64       // the share that may miss it
}

const (
	// minAllowedMissShare stands for aims that all jobs are to keep.
	minAllowedMissShare = 0.001
	// negligibleMissShare is the part of what an aim allows to miss below which there is nothing to gain.
	negligibleMissShare = 0.3
	// waitLogDeviation is how far forecasts are off: the standard deviation of the logarithm of a wait. Owners'
	// estimates are wrong by half, and jobs of one class do not wait alike.
	waitLogDeviation = 0.6
	// forecastSpan is the span over which what is spent and what is missed are weighed.
	forecastSpan = 5 * time.Minute
	// forecastStep is how the queue of what is still to come is followed through that span.
	forecastStep = 10 * time.Second
)

// objectivesOf are the aims of the platform's settings that more machines can help to keep.
func objectivesOf(objectives []config.Objective) []objective {
	var list []objective
	for _, o := range objectives {
		s := objective{class: o.Class, within: o.TimeLimit, allowedMissShare: max(1-o.TargetShare, minAllowedMissShare)}
		switch o.Kind {
		case "wait":
			s.isStart = true
		case "finished":
		case "deadline":
			s.deadlineFactor = max(o.DeadlineFactor, 1)
		default:
			continue
		}
		list = append(list, s)
	}
	return list
}

// slack is how long a job of some age may still wait for room without missing the step.
func (s *objective) slack(age, perTask, deadline time.Duration) (time.Duration, bool) {
	limit := s.within
	if s.deadlineFactor > 0 {
		if deadline <= 0 {
			return 0, false
		}
		limit = time.Duration(s.deadlineFactor * float64(deadline))
	}
	if !s.isStart {
		limit -= perTask
	}
	return limit - age, true
}

// objectiveRecord is how a step was kept of late; what is older than lookAhead counts ever less.
type objectiveRecord struct{ jobs, missed float64 }

// arrivalFlow is what arrives of a class of a team: the last few spans, the present one first.
type arrivalFlow struct {
	class, team     string
	windows         [keptWindows + 1]arrivalSum
	windowStart     time.Time // when the present span began
	completeWindows int       // how many of the others are known
	taskDuration    time.Duration
	deadline        time.Duration
}

type arrivalSum struct{ jobs, work float64 }

const (
	// arrivalWindow is over how long arrivals are gathered, keptSpans how many such spans count.
	arrivalWindow = 10 * time.Second
	keptWindows   = 6
)

// advance moves the spans on.
func (f *arrivalFlow) advance(now time.Time) {
	for n := 0; now.Sub(f.windowStart) >= arrivalWindow; n++ {
		if n > keptWindows {
			f.windowStart = now
			break
		}
		copy(f.windows[1:], f.windows[:])
		f.windows[0] = arrivalSum{}
		f.windowStart = f.windowStart.Add(arrivalWindow)
		f.completeWindows = min(f.completeWindows+1, keptWindows)
	}
}

// rate is what arrives a second of late, the span with the most left out: what waits at a start, or
// comes at once, is in the queue, and not what goes on to come.
func (f *arrivalFlow) rate(now time.Time) arrivalSum {
	f.advance(now)
	if f.completeWindows < 2 {
		return arrivalSum{}
	}
	var sum, most arrivalSum
	for _, s := range f.windows[1 : f.completeWindows+1] {
		sum.jobs += s.jobs
		sum.work += s.work
		if s.work > most.work {
			most = s
		}
	}
	k := 1 / (float64(f.completeWindows-1) * arrivalWindow.Seconds())
	return arrivalSum{(sum.jobs - most.jobs) * k, (sum.work - most.work) * k}
}

// queuedJob is a job of the queue, as far as the forecast goes.
type queuedJob struct {
	class        string
	age          time.Duration
	taskDuration time.Duration
	deadline     time.Duration
	workAhead    float64 // CPU seconds that wait and go before its last task, its own included
	quotaDelay   float64 // seconds that its team's limit makes it wait in any case
	weight       float64 // how many jobs it stands for
}

// expectedArrival is what is still to come of a class.
type expectedArrival struct {
	class        string
	rate         float64 // jobs a second
	taskDuration time.Duration
	deadline     time.Duration
	quotaDelay   float64
	position     float64 // where in the queue it goes: 0 the first, 1 the last
}

// capacityStep is a part of the fleet and when it begins to serve.
type capacityStep struct{ at, cpus float64 }

// objectiveForecast is all that a forecast needs. Times are in seconds from now.
type objectiveForecast struct {
	objectives    []objective
	history       []objectiveRecord // by step
	queue         []queuedJob
	arrivals      []expectedArrival
	capacitySteps []capacityStep // of the fleet as it is and is coming, by time
	backlog       float64        // CPU seconds that wait, as far as teams' limits let them run
	arrivingWork  float64        // CPU seconds that arrive a second
	spendRate     float64        // money a second, of the fleet as it is and is coming
	freeSpend     float64        // money over lookAhead that may be spent without weighing it
	costWeight    float64        // how much a part more money weighs against a part fewer misses
	baseline      float64        // the loss with the parts as they are, if it is known
	hasBaseline   bool
}

// capacityTimeline is the fleet with so many CPUs more (or fewer) from a time on.
type capacityTimeline struct {
	steps []capacityStep
	extra capacityStep
}

func (c capacityTimeline) cpusAt(t float64) float64 {
	sum := 0.0
	for _, p := range c.steps {
		if p.at <= t {
			sum += p.cpus
		}
	}
	if c.extra.at <= t {
		sum += c.extra.cpus
	}
	return max(sum, 0)
}

// workSweep finds when ever more CPU seconds are done.
type workSweep struct {
	capacity      capacityTimeline
	next          int
	elapsed, cpus float64
	done          float64 // by t
}

// finishTime is when so many CPU seconds are done, which are no fewer than at the call before.
func (s *workSweep) finishTime(work float64) float64 {
	for {
		at := math.Inf(1)
		if s.next < len(s.capacity.steps) {
			at = s.capacity.steps[s.next].at
		}
		extra := s.capacity.extra.cpus != 0 && s.capacity.extra.at <= at
		if extra {
			at = s.capacity.extra.at
		}
		cpus := max(s.cpus, 0)
		if cpus > 0 && work-s.done <= cpus*(at-s.elapsed) {
			return s.elapsed + (work-s.done)/cpus
		}
		if math.IsInf(at, 1) {
			return at
		}
		s.done += cpus * (at - s.elapsed)
		s.elapsed = at
		if extra {
			s.cpus += s.capacity.extra.cpus
			s.capacity.extra.cpus = 0
		} else {
			s.cpus += s.capacity.steps[s.next].cpus
			s.next++
		}
	}
}

// missProbability is how likely a wait that is forecast becomes longer than the slack.
func missProbability(wait, slack float64) float64 {
	if slack <= 0 {
		return 1
	}
	if wait <= 0 {
		return 0
	}
	return 0.5 * math.Erfc(math.Log(slack/wait)/(waitLogDeviation*math.Sqrt2))
}

// predictMisses is, by step, how many of the jobs that wait or come within lookAhead will miss it and how
// many there are, and how long it takes until nothing waits.
func (o *objectiveForecast) predictMisses(extra capacityStep) (missed, all []float64, drained float64) {
	c := capacityTimeline{o.capacitySteps, extra}
	missed, all = make([]float64, len(o.objectives)), make([]float64, len(o.objectives))
	s := workSweep{capacity: c}
	for i := range o.queue {
		w := &o.queue[i]
		wait := max(s.finishTime(w.workAhead), w.quotaDelay)
		for k := range o.objectives {
			objective := &o.objectives[k]
			if objective.class != w.class {
				continue
			}
			if slack, ok := objective.slack(w.age, w.taskDuration, w.deadline); ok {
				missed[k] += w.weight * missProbability(wait, slack.Seconds())
				all[k] += w.weight
			}
		}
	}
	span := forecastSpan.Seconds()
	left, drained := o.backlog, span
	for t := 0.0; t < span; t += forecastStep.Seconds() {
		cpus := c.cpusAt(t)
		left += (o.arrivingWork - cpus) * forecastStep.Seconds()
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
		for i := range o.arrivals {
			a := &o.arrivals[i]
			wait := a.quotaDelay
			if a.position > 0 { // without any machine the delay has no end
				wait = max(delay*a.position, wait)
			}
			for k := range o.objectives {
				s := &o.objectives[k]
				if s.class != a.class {
					continue
				}
				if slack, ok := s.slack(0, a.taskDuration, a.deadline); ok {
					missed[k] += a.rate * forecastStep.Seconds() * missProbability(wait, slack.Seconds())
					all[k] += a.rate * forecastStep.Seconds()
				}
			}
		}
	}
	return missed, all, drained
}

// loss is what misses cost: each halving of a share that is missed is worth the same, down to a part
// of what the aim allows.
func (o *objectiveForecast) loss(missed, all []float64) float64 {
	sum := 0.0
	for k := range o.objectives {
		n := all[k] + o.history[k].jobs
		if n <= 0 {
			continue
		}
		negligible := negligibleMissShare * o.objectives[k].allowedMissShare
		sum += math.Log(max((missed[k]+o.history[k].missed)/n, negligible)/negligible) / math.Log(1/negligible)
	}
	return sum
}

// baselineLoss is the loss if nothing is rented or given back. It is the same for each kind that is weighed.
func (o *objectiveForecast) baselineLoss() float64 {
	if !o.hasBaseline {
		missed, all, _ := o.predictMisses(capacityStep{})
		o.baseline, o.hasBaseline = o.loss(missed, all), true
	}
	return o.baseline
}

// costOf is what so much more (or less) money costs, against what is spent in any case.
func (o *objectiveForecast) costOf(money float64) float64 {
	base := max(o.spendRate*forecastSpan.Seconds(), 1e-9)
	if money > 0 {
		money = max(money-o.freeSpend, 0)
	}
	return o.costWeight * math.Log(max(1+money/base, 0.05))
}

// candidateKind is one kind of machine that could be rented, or given back.
type candidateKind struct {
	cpus          float64
	costPerSecond float64 // a second
	bootSeconds   float64 // seconds until it serves
	maxCount      int
}

// bestCount is how many machines of an offer are worth renting: the number, of 1, 2, 4 and so on, with
// the most gain, and what that is.
func (o *objectiveForecast) bestCount(candidate candidateKind) (count int, gain float64) {
	before := o.baselineLoss()
	for n := 1; ; n = min(2*n, candidate.maxCount) {
		if n > candidate.maxCount {
			break
		}
		missed, all, drained := o.predictMisses(capacityStep{candidate.bootSeconds, float64(n) * candidate.cpus})
		serves := max(drained-candidate.bootSeconds, 0)
		// While it boots, and from the end of the work until it is returned, it is of no use.
		idle := candidate.bootSeconds + idleTail.Seconds()
		money := float64(n) * candidate.costPerSecond * max(serves+idleCostWeight*idle, minBilledTime.Seconds())
		if g := before - o.loss(missed, all) - o.costOf(money); g > gain {
			count, gain = n, g
		}
		if n == candidate.maxCount {
			break
		}
	}
	return count, gain
}

// surplusCount is how many of the machines of an offer, which serve already, are not worth their price any
// more: the most of all, half of them, and so on.
func (o *objectiveForecast) surplusCount(f candidateKind) int {
	before := o.baselineLoss()
	for n := f.maxCount; n > 0; n /= 2 {
		missed, all, drained := o.predictMisses(capacityStep{0, -float64(n) * f.cpus})
		saved := float64(n) * f.costPerSecond * max(drained, minBilledTime.Seconds())
		if o.loss(missed, all)-before < retentionFactor*-o.costOf(-saved) {
			return n
		}
	}
	return 0
}

// idleTail is about how long a machine is kept on after the work is over.
const idleTail = 30 * time.Second

// idleCostWeight is how many times money counts that is spent on idle machines: about a quarter of all is,
// and of that share an increase is as bad as one of the whole.
const idleCostWeight = 4.0

// retentionFactor: a machine that is there is kept on even if it is worth somewhat less than its price, since
// another would have to boot.
const retentionFactor = 0.2

// recordArrival learns of a job that was accepted.
func (d *Scaler) recordArrival(now time.Time, job *jobs.Job) {
	k := [2]string{job.Class, job.Team}
	f := d.arrivals[k]
	if f == nil {
		f = &arrivalFlow{class: job.Class, team: job.Team, windowStart: now}
		d.arrivals[k] = f
	}
	f.advance(now)
	perTask := d.estimator.TaskRunTime(job)
	f.windows[0].jobs++
	f.windows[0].work += d.estimator.RemainingCPUSeconds(job, now)
	if f.taskDuration == 0 {
		f.taskDuration, f.deadline = perTask, job.TimeToDeadline()
	}
	f.taskDuration += (perTask - f.taskDuration) / 8
	f.deadline += (job.TimeToDeadline() - f.deadline) / 8
}

// JobEnded learns how the steps of a job were kept that is done.
func (d *Scaler) JobEnded(now time.Time, job *jobs.Job) {
	k := math.Exp(-now.Sub(d.historyUpdated).Seconds() / forecastSpan.Seconds())
	d.historyUpdated = now
	after := now.Sub(job.EligibleSince())
	for i := range d.objectives {
		r, s := &d.history[i], &d.objectives[i]
		r.jobs, r.missed = r.jobs*k, r.missed*k
		if s.class != job.Class {
			continue
		}
		// Of a start only the wait of the whole job is known here: its last task ran to the end.
		slack, ok := s.slack(after, 0, job.TimeToDeadline())
		if s.isStart {
			slack += d.estimator.TaskRunTime(job)
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

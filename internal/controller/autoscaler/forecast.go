package autoscaler

import (
	"math"
	"time"
)

const (
	// waitLogDeviation is the standard deviation of the logarithm of a wait around its forecast. Owners' estimates are wrong by
	// half, and the jobs of a class do not wait alike.
	waitLogDeviation = 0.6
	// forecastSpan is the time over which costs and misses are weighed.
	forecastSpan = 5 * time.Minute
	// forecastStep is the resolution at which the queue is followed through that span.
	forecastStep = 10 * time.Second
	// idleTail is about how long an instance is kept after the work is over.
	idleTail = 30 * time.Second
	// idleCostWeight is how many times the cost of idle instances counts. They are about a quarter of all costs, and a relative
	// increase of that quarter is as bad as the same one of the whole.
	idleCostWeight = 4.0
	// retentionFactor is the part of its price that a running machine must be worth to be kept: a replacement would have to boot.
	retentionFactor = 0.2
	// minRelativeCost bounds how much a saving can be worth.
	minRelativeCost = 0.05
	// minSpend, in money, stands for the cost of a cluster that costs nothing.
	minSpend = 1e-9
)

// queuedJob is a waiting job in the forecast.
type queuedJob struct {
	jobProfile
	age        time.Duration
	workAhead  float64 // CPU seconds that wait and go before its last task, its own included
	quotaDelay float64 // seconds that its team's quota delays it in any case
	weight     float64 // number of jobs that it stands for
}

// expectedArrival is the jobs of a class of a team that are still to arrive.
type expectedArrival struct {
	jobProfile
	rate       float64 // jobs a second
	quotaDelay float64 // seconds that the team's quota delays them in any case
	position   float64 // place in the queue that they take, from 0, the front, to 1, the end
}

// objectiveForecast predicts how many jobs will miss the objectives with the present and the booting instances, and with more or
// fewer of them. Times are in seconds from now.
type objectiveForecast struct {
	objectives []objective
	records    []objectiveRecord // by objective

	queue         []queuedJob
	arrivals      []expectedArrival
	backlog       float64 // CPU seconds that wait, as far as quotas let them run
	arrivingWork  float64 // CPU seconds that arrive in a second
	capacitySteps []capacityStep
	spendRate     float64 // cost of a second of the cluster
	freeSpend     float64 // cost over forecastSpan that is not weighed
	costWeight    float64 // weight of a relative increase of the cost against a relative decrease of the misses
	baseline      float64 // the loss without a change, if hasBaseline
	hasBaseline   bool
}

// addCapacity adds a step to the expected capacity.
func (f *objectiveForecast) addCapacity(step capacityStep) {
	if step.cpus == 0 {
		return
	}
	f.hasBaseline = false
	f.capacitySteps = insertStep(f.capacitySteps, step)
}

// prediction is the forecast for the jobs that wait or arrive within forecastSpan.
type prediction struct {
	missed       []float64 // jobs that miss the objective, by objective
	jobs         []float64 // all jobs that it applies to, by objective
	drainedAfter float64   // seconds until no job waits, forecastSpan if some do until then
}

// predictMisses predicts the misses with a change of the capacity.
func (f *objectiveForecast) predictMisses(change capacityStep) prediction {
	capacity := capacityTimeline{steps: f.capacitySteps, extra: change}
	p := prediction{missed: make([]float64, len(f.objectives)), jobs: make([]float64, len(f.objectives))}
	sweep := workSweep{capacity: capacity}
	for i := range f.queue {
		job := &f.queue[i]
		wait := max(sweep.finishTime(job.workAhead), job.quotaDelay)
		p.add(f.objectives, job.jobProfile, job.age, wait, job.weight)
	}
	f.predictArrivals(&p, capacity)
	return p
}

// predictArrivals follows the backlog through the span and adds the jobs that arrive.
func (f *objectiveForecast) predictArrivals(predicted *prediction, capacity capacityTimeline) {
	span, step := forecastSpan.Seconds(), forecastStep.Seconds()
	backlog := f.backlog
	predicted.drainedAfter = span
	for at := 0.0; at < span; at += step {
		cpus := capacity.cpusAt(at)
		backlog += (f.arrivingWork - cpus) * step
		if backlog <= 0 {
			backlog = 0
			predicted.drainedAfter = min(predicted.drainedAfter, at)
		} else if predicted.drainedAfter < at {
			predicted.drainedAfter = span // it has grown again
		}
		queueDelay := math.Inf(1)
		if cpus > 0 {
			queueDelay = backlog / cpus
		}
		for i := range f.arrivals {
			arrival := &f.arrivals[i]
			predicted.add(f.objectives, arrival.jobProfile, 0, arrival.wait(queueDelay), arrival.rate*step)
		}
	}
}

// wait returns how long jobs that arrive wait if the whole queue takes queueDelay, which is infinite without machines.
func (a *expectedArrival) wait(queueDelay float64) float64 {
	if a.position <= 0 {
		return a.quotaDelay
	}
	return max(queueDelay*a.position, a.quotaDelay)
}

// add counts a number of jobs of one profile and age whose wait is forecast, in seconds.
func (p *prediction) add(objectives []objective, profile jobProfile, age time.Duration, wait, jobs float64) {
	for i := range objectives {
		if objectives[i].class != profile.class {
			continue
		}
		if slack, applies := objectives[i].slack(age, profile); applies {
			p.missed[i] += jobs * missProbability(wait, slack.Seconds())
			p.jobs[i] += jobs
		}
	}
}

// missProbability returns the probability that a wait becomes longer than the slack, given its forecast.
func missProbability(forecastWait, slack float64) float64 {
	if slack <= 0 {
		return 1
	}
	if forecastWait <= 0 {
		return 0
	}
	return 0.5 * math.Erfc(math.Log(slack/forecastWait)/(waitLogDeviation*math.Sqrt2))
}

// loss returns the sum of the miss scores of the objectives, for the predicted and the recorded misses together.
func (f *objectiveForecast) loss(p prediction) float64 {
	sum := 0.0
	for i := range f.objectives {
		jobs := p.jobs[i] + f.records[i].jobs
		if jobs <= 0 {
			continue
		}
		sum += f.objectives[i].missScore((p.missed[i] + f.records[i].missed) / jobs)
	}
	return sum
}

// baselineLoss returns the loss without a change. It is kept for all kinds that are weighed, until the capacity changes.
func (f *objectiveForecast) baselineLoss() float64 {
	if !f.hasBaseline {
		f.baseline, f.hasBaseline = f.loss(f.predictMisses(capacityStep{})), true
	}
	return f.baseline
}

// costOf returns the loss of spending more money than at present, negative if it is less.
func (f *objectiveForecast) costOf(money float64) float64 {
	base := max(f.spendRate*forecastSpan.Seconds(), minSpend)
	if money > 0 {
		money = max(money-f.freeSpend, 0)
	}
	return f.costWeight * math.Log(max(1+money/base, minRelativeCost))
}

// candidateKind is a kind of instances that could be requested or terminated.
type candidateKind struct {
	cpus          float64
	costPerSecond float64
	bootSeconds   float64
	maxCount      int
}

// capacityOf returns the capacity that so many instances add.
func (c *candidateKind) capacityOf(count int) capacityStep {
	return capacityStep{at: c.bootSeconds, cpus: float64(count) * c.cpus}
}

// bestCount returns how many instances of a candidate are worth their price: the number with the largest gain out of 1, 2, 4 and so
// on, 0 if none has any.
func (f *objectiveForecast) bestCount(candidate candidateKind) int {
	baseline := f.baselineLoss()
	bestCount, bestGain := 0, 0.0
	for count := 1; count <= candidate.maxCount; count = min(2*count, candidate.maxCount) {
		p := f.predictMisses(candidate.capacityOf(count))
		gain := baseline - f.loss(p) - f.costOf(candidate.costUntil(p.drainedAfter, count))
		if gain > bestGain {
			bestCount, bestGain = count, gain
		}
		if count == candidate.maxCount {
			break
		}
	}
	return bestCount
}

// costUntil returns the cost of new instances that are terminated after the work is drained. While they boot, and from then on
// until they are terminated, they are idle.
func (c *candidateKind) costUntil(drainedAfter float64, count int) float64 {
	serving := max(drainedAfter-c.bootSeconds, 0)
	idle := c.bootSeconds + idleTail.Seconds()
	return float64(count) * c.costPerSecond * max(serving+idleCostWeight*idle, minBilledTime.Seconds())
}

// surplusCount returns how many running instances of a candidate are not worth their price any more: the most out of all, half of
// them, and so on.
func (f *objectiveForecast) surplusCount(candidate candidateKind) int {
	baseline := f.baselineLoss()
	for count := candidate.maxCount; count > 0; count /= 2 {
		p := f.predictMisses(capacityStep{at: 0, cpus: -float64(count) * candidate.cpus})
		saved := float64(count) * candidate.costPerSecond * max(p.drainedAfter, minBilledTime.Seconds())
		if f.loss(p)-baseline < retentionFactor*-f.costOf(-saved) {
			return count
		}
	}
	return 0
}

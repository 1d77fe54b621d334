package autoscaler

import (
	"math"
	"time"
)

const (
	// waitLogDeviation is the standard deviation of the logarithm of a wait around its forecast. The run time estimates of job
	// owners are off by half, and jobs of the same class wait for different times.
	waitLogDeviation = 0.6
	// forecastSpan is the time over which costs and misses are compared.
	forecastSpan = 5 * time.Minute
	// forecastStep is the resolution at which the queue is simulated through that span.
	forecastStep = 10 * time.Second
	// idleBeforeTermination is about how long an instance is kept after its work is done.
	idleBeforeTermination = 30 * time.Second
	// idleCostWeight multiplies the cost of idle instances. They cause about a quarter of all costs. A relative increase of that
	// quarter is as bad as the same relative increase of the whole.
	idleCostWeight = 4.0
	// retentionFactor is the fraction of its price that a running machine must be worth to be kept. It is less than 1 because a
	// replacement would have to boot.
	retentionFactor = 0.2
	// minRelativeCost is the lower bound of the cost relative to the present one. It limits how much a saving can be worth.
	minRelativeCost = 0.05
	// minSpend, in money, replaces the cost of a cluster that costs nothing.
	minSpend = 1e-9
)

type queuedJob struct {
	jobProfile
	age        time.Duration
	workAhead  float64 // CPU seconds of its own waiting tasks and of the waiting tasks ahead of them
	quotaDelay float64 // minimum wait because of its team's quota, in seconds
	weight     float64 // number of jobs that it represents
}

// expectedArrival describes the jobs of one class and team that are expected to arrive.
type expectedArrival struct {
	jobProfile
	rate       float64 // jobs per second
	quotaDelay float64 // minimum wait because of the team's quota, in seconds
	position   float64 // position in the queue, from 0 (front) to 1 (end)
}

// objectiveForecast predicts how many jobs will miss the objectives with the running and booting instances, and with more or
// fewer of them. Times are in seconds from now.
type objectiveForecast struct {
	objectives []objective
	records    []objectiveRecord // by objective

	queue         []queuedJob
	arrivals      []expectedArrival
	backlog       float64 // waiting CPU seconds, as far as the team quotas let them run
	arrivingWork  float64 // CPU seconds that arrive per second
	capacitySteps []capacityStep
	spendRate     float64 // cost of the cluster per second
	costAllowance float64 // additional cost over forecastSpan that adds no loss
	costWeight    float64 // weight of a relative increase of the cost against a relative decrease of the misses
	baseline      float64 // loss without a change, valid if hasBaseline
	hasBaseline   bool
}

// addCapacity adds a step to the expected capacity and invalidates the baseline.
func (f *objectiveForecast) addCapacity(step capacityStep) {
	if step.cpus == 0 {
		return
	}
	f.hasBaseline = false
	f.capacitySteps = insertStep(f.capacitySteps, step)
}

// prediction is the forecast for the jobs that wait or arrive within forecastSpan.
type prediction struct {
	missed          []float64 // number of jobs that miss the objective, by objective
	jobs            []float64 // number of all jobs to which the objective applies, by objective
	queueEmptyAfter float64   // seconds until no job waits; forecastSpan if some still wait at its end
}

// predictMisses predicts the misses if the capacity changes by one step.
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

// predictArrivals simulates the backlog through forecastSpan and adds the arriving jobs to the prediction.
func (f *objectiveForecast) predictArrivals(predicted *prediction, capacity capacityTimeline) {
	span, step := forecastSpan.Seconds(), forecastStep.Seconds()
	backlog := f.backlog
	predicted.queueEmptyAfter = span
	for at := 0.0; at < span; at += step {
		cpus := capacity.cpusAt(at)
		backlog += (f.arrivingWork - cpus) * step
		if backlog <= 0 {
			backlog = 0
			predicted.queueEmptyAfter = min(predicted.queueEmptyAfter, at)
		} else if predicted.queueEmptyAfter < at {
			predicted.queueEmptyAfter = span // the queue has grown again
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

// wait returns how many seconds arriving jobs wait. queueDelay is the time that the whole queue takes, which is infinite without
// machines.
func (a *expectedArrival) wait(queueDelay float64) float64 {
	if a.position <= 0 {
		return a.quotaDelay
	}
	return max(queueDelay*a.position, a.quotaDelay)
}

// add counts jobs of one profile and age in the prediction. Their forecast wait is in seconds.
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

// missProbability returns the probability that a wait exceeds the slack. Both are in seconds. The wait is assumed to be
// log-normally distributed around its forecast.
func missProbability(forecastWait, slack float64) float64 {
	if slack <= 0 {
		return 1
	}
	if forecastWait <= 0 {
		return 0
	}
	return 0.5 * math.Erfc(math.Log(slack/forecastWait)/(waitLogDeviation*math.Sqrt2))
}

// loss returns the sum of the miss scores of the objectives, over the predicted and the recorded misses together.
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

// baselineLoss returns the loss without a change. All kinds are compared with it, so it is cached until the capacity changes.
func (f *objectiveForecast) baselineLoss() float64 {
	if !f.hasBaseline {
		f.baseline, f.hasBaseline = f.loss(f.predictMisses(capacityStep{})), true
	}
	return f.baseline
}

// lossFromSpending returns the loss that results from spending more money over forecastSpan. It is negative if less is spent.
func (f *objectiveForecast) lossFromSpending(money float64) float64 {
	base := max(f.spendRate*forecastSpan.Seconds(), minSpend)
	if money > 0 {
		money = max(money-f.costAllowance, 0)
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

// capacityOf returns the capacity that the given number of instances adds.
func (c *candidateKind) capacityOf(count int) capacityStep {
	return capacityStep{at: c.bootSeconds, cpus: float64(count) * c.cpus}
}

// bestCount returns how many instances of a candidate are worth their price. It tries 1, 2, 4 and so on up to maxCount, and
// returns the number with the largest gain, or 0 if none has a gain.
func (f *objectiveForecast) bestCount(candidate candidateKind) int {
	baseline := f.baselineLoss()
	bestCount, bestGain := 0, 0.0
	for count := 1; count <= candidate.maxCount; count = min(2*count, candidate.maxCount) {
		p := f.predictMisses(candidate.capacityOf(count))
		gain := baseline - f.loss(p) - f.lossFromSpending(candidate.costUntil(p.queueEmptyAfter, count))
		if gain > bestGain {
			bestCount, bestGain = count, gain
		}
		if count == candidate.maxCount {
			break
		}
	}
	return bestCount
}

// costUntil returns the cost of new instances that are terminated after the queue is empty. They are idle while they boot, and
// again between the end of the work and their termination.
func (c *candidateKind) costUntil(queueEmptyAfter float64, count int) float64 {
	serving := max(queueEmptyAfter-c.bootSeconds, 0)
	idle := c.bootSeconds + idleBeforeTermination.Seconds()
	return float64(count) * c.costPerSecond * max(serving+idleCostWeight*idle, minBilledTime.Seconds())
}

// surplusCount returns how many running instances of a candidate are no longer worth their price. It tries all of them, then half
// of them, and so on. It returns the first of these numbers that is not worth its price, or 0.
func (f *objectiveForecast) surplusCount(candidate candidateKind) int {
	baseline := f.baselineLoss()
	for count := candidate.maxCount; count > 0; count /= 2 {
		p := f.predictMisses(capacityStep{at: 0, cpus: -float64(count) * candidate.cpus})
		saved := float64(count) * candidate.costPerSecond * max(p.queueEmptyAfter, minBilledTime.Seconds())
		if f.loss(p)-baseline < retentionFactor*-f.lossFromSpending(-saved) {
			return count
		}
	}
	return 0
}

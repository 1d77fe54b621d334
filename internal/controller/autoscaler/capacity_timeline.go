package autoscaler

import (
	"cmp"
	"math"
	"slices"
)

// capacityStep adds CPUs to the capacity at a time in seconds from now. A negative number removes CPUs.
type capacityStep struct{ at, cpus float64 }

// capacityTimeline holds the changes of the cluster's CPUs over time, and one extra step whose effect is to be predicted.
type capacityTimeline struct {
	steps []capacityStep // sorted by time
	extra capacityStep
}

// insertStep inserts a step into steps that are sorted by time.
func insertStep(steps []capacityStep, step capacityStep) []capacityStep {
	i, _ := slices.BinarySearchFunc(steps, step, compareSteps)
	return slices.Insert(steps, i, step)
}

func compareSteps(a, b capacityStep) int { return cmp.Compare(a.at, b.at) }

// cpusAt returns the CPUs that are available at a time in seconds from now.
func (c capacityTimeline) cpusAt(at float64) float64 {
	sum := 0.0
	for _, step := range c.steps {
		if step.at <= at {
			sum += step.cpus
		}
	}
	if c.extra.at <= at {
		sum += c.extra.cpus
	}
	return max(sum, 0)
}

// workSweep moves forward along a timeline and finds when increasing amounts of work are done.
type workSweep struct {
	capacity capacityTimeline
	next     int     // index of the first step that is not applied yet
	elapsed  float64 // time of the last applied step, in seconds from now
	cpus     float64 // available from then on
	done     float64 // CPU seconds done by then
}

// finishTime returns when the given work is done, in seconds from now, or infinity if it never is. cpuSeconds must not be less
// than in the previous call.
func (s *workSweep) finishTime(cpuSeconds float64) float64 {
	for {
		nextStep, isExtra := s.nextStep()
		cpus := max(s.cpus, 0)
		if cpus > 0 && cpuSeconds-s.done <= cpus*(nextStep.at-s.elapsed) {
			return s.elapsed + (cpuSeconds-s.done)/cpus
		}
		if math.IsInf(nextStep.at, 1) {
			return nextStep.at
		}
		s.done += cpus * (nextStep.at - s.elapsed)
		s.elapsed = nextStep.at
		s.cpus += nextStep.cpus
		if isExtra {
			s.capacity.extra.cpus = 0
		} else {
			s.next++
		}
	}
}

// nextStep returns the next step to apply and whether it is the extra one. If there is no further step, its time is infinite.
func (s *workSweep) nextStep() (step capacityStep, isExtra bool) {
	step = capacityStep{at: math.Inf(1)}
	if s.next < len(s.capacity.steps) {
		step = s.capacity.steps[s.next]
	}
	if s.capacity.extra.cpus != 0 && s.capacity.extra.at <= step.at {
		return s.capacity.extra, true
	}
	return step, false
}

// Package boottime estimates how long instances of each machine type take from their request to their first heartbeat. Its
// Estimator owns the last boot times of each type and the ages of the instances that have not reported yet. It never requests or
// terminates an instance.
//
// The cloud states a usual time. At times all instances take a multiple or a small part of it, and some never report. With a
// constant timeout, instances that are late together would all be replaced, and the replacements would be later still.
// Design note: docs/design/autoscaler.md.
package boottime

import (
	"slices"
	"time"
)

const (
	// maxSamples is the number of boots of a type that count, the last ones.
	maxSamples = 32
	// statedWeight is the number of boots that the cloud's stated time weighs.
	statedWeight = 4
	// maxFactor bounds a boot time as a multiple of the stated one: a longer one only says that it is long.
	maxFactor = 8
	// timeoutRank, timeoutFactor and timeoutGrace make the timeout: that quantile of the boot times, times the factor, and
	// the grace for the list and the first heartbeat.
	timeoutRank   = 0.9
	timeoutFactor = 2.5
	timeoutGrace  = 30 * time.Second
	medianRank    = 0.5
	// maxBooting is the number of booting instances of a type that count.
	maxBooting = 64
	// overdueAgeDivisor and overdueStatedDivisor estimate the rest of a boot that takes longer than expected: that part of its
	// age, and at least that part of the stated time.
	overdueAgeDivisor    = 4
	overdueStatedDivisor = 8
)

// samples are the observations of one machine type, as multiples of its stated boot time.
type samples struct {
	factors        []float64 // a ring buffer of completed boots
	nextSlot       int       // in factors, once it is full
	bootingFactors []float64 // ages of the instances that have not reported, as last observed
}

// Estimator holds the samples of each machine type.
type Estimator struct{ types map[string]*samples }

// New returns the estimator of a new leadership, without samples.
func New() *Estimator { return &Estimator{types: map[string]*samples{}} }

func (e *Estimator) samplesOf(machineType string) *samples {
	s := e.types[machineType]
	if s == nil {
		s = &samples{}
		e.types[machineType] = s
	}
	return s
}

// ObserveBoot records an instance that has reported, so long after its request. stated is the boot time that the cloud states for
// its type.
func (e *Estimator) ObserveBoot(machineType string, took, stated time.Duration) {
	if stated <= 0 || took < 0 {
		return
	}
	s := e.samplesOf(machineType)
	factor := min(took.Seconds()/stated.Seconds(), maxFactor)
	if len(s.factors) < maxSamples {
		s.factors = append(s.factors, factor)
		return
	}
	s.factors[s.nextSlot] = factor
	s.nextSlot = (s.nextSlot + 1) % maxSamples
}

// ObserveBooting records the ages of all instances that have not reported, by type; of many the first ones count. Instances that
// are late together raise the estimate before any of them reports.
func (e *Estimator) ObserveBooting(agesByType map[string][]time.Duration, statedTimeOf func(machineType string) time.Duration) {
	for _, s := range e.types {
		s.bootingFactors = s.bootingFactors[:0]
	}
	for machineType, ages := range agesByType {
		stated := statedTimeOf(machineType)
		if stated <= 0 {
			continue
		}
		s := e.samplesOf(machineType)
		for _, age := range ages[:min(len(ages), maxBooting)] {
			s.bootingFactors = append(s.bootingFactors, min(age.Seconds()/stated.Seconds(), maxFactor))
		}
	}
}

// quantile returns a quantile of the boot times with the stated time among them. Booting instances that are older than the
// median count as if they reported now.
func (s *samples) quantile(rank float64) float64 {
	all := slices.Clone(s.factors)
	for range statedWeight {
		all = append(all, 1)
	}
	slices.Sort(all)
	median := all[len(all)/2]
	for _, factor := range s.bootingFactors {
		if factor > median {
			all = append(all, factor)
		}
	}
	slices.Sort(all)
	return all[min(int(rank*float64(len(all))), len(all)-1)]
}

// Expected returns the expected time from the request of an instance of the type to its first heartbeat.
func (e *Estimator) Expected(machineType string, stated time.Duration) time.Duration {
	s := e.types[machineType]
	if s == nil {
		return stated
	}
	return time.Duration(s.quantile(medianRank) * float64(stated))
}

// Timeout returns the age from which an instance that has not reported counts as failed. It is never shorter than
// the stated time makes it: a few quick boots do not make the next one quick.
func (e *Estimator) Timeout(machineType string, stated time.Duration) time.Duration {
	factor := 1.0
	if s := e.types[machineType]; s != nil {
		factor = max(s.quantile(timeoutRank), 1)
	}
	return time.Duration(timeoutFactor*factor*float64(stated)) + timeoutGrace
}

// Remaining returns how much longer an instance of that age is expected to take: what is left of the expected time or, once that
// is over, a share of its age.
func (e *Estimator) Remaining(machineType string, age, stated time.Duration) time.Duration {
	if left := e.Expected(machineType, stated) - age; left > 0 {
		return left
	}
	return max(age/overdueAgeDivisor, stated/overdueStatedDivisor)
}

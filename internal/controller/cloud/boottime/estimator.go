// Package boottime estimates how long instances of each machine type take from their request to their first heartbeat. Its
// Estimator owns the last boot times of each type and the ages of the instances that have not sent a heartbeat yet. It never
// requests or terminates an instance.
//
// The cloud publishes a nominal boot time. At times all instances take a multiple or a small part of it, and some never send a
// heartbeat. With a constant timeout, instances that are late together would all be replaced, and the replacements would be later
// still. Design note: docs/design/autoscaler.md.
package boottime

import (
	"slices"
	"time"
)

const (
	// maxSamples is the number of most recent boots of a type that are kept.
	maxSamples = 32
	// nominalWeight is the number of boots that the nominal time counts as.
	nominalWeight = 4
	// maxFactor bounds a boot time as a multiple of the nominal one. Longer boots are all counted alike.
	maxFactor = 8
	// timeoutQuantile, timeoutFactor and timeoutGrace determine the timeout. It is that quantile of the boot times, times the
	// factor, plus the grace for the list and the first heartbeat.
	timeoutQuantile = 0.9
	timeoutFactor   = 2.5
	timeoutGrace    = 30 * time.Second
	medianQuantile  = 0.5
	// maxBooting is the number of booting instances of a type that are recorded.
	maxBooting = 64
	// overdueAgeDivisor and overdueNominalDivisor determine the estimated rest of a boot that takes longer than expected. It is the
	// age divided by the first, and at least the nominal time divided by the second.
	overdueAgeDivisor     = 4
	overdueNominalDivisor = 8
)

// samples holds the observations of one machine type, as multiples of its nominal boot time.
type samples struct {
	factors        []float64 // ring buffer of completed boots
	nextSlot       int       // index in factors that is overwritten next, once the buffer is full
	bootingFactors []float64 // ages of the instances that have sent no heartbeat, as last observed
}

// Estimator estimates boot times by machine type. It is not safe for concurrent use.
type Estimator struct{ types map[string]*samples }

// New returns an estimator without samples.
func New() *Estimator { return &Estimator{types: map[string]*samples{}} }

func (e *Estimator) samplesOf(machineType string) *samples {
	s := e.types[machineType]
	if s == nil {
		s = &samples{}
		e.types[machineType] = s
	}
	return s
}

// ObserveBoot records the time from the request of an instance to its first heartbeat. nominal is the boot time that the cloud
// publishes for the type. A negative boot time is ignored, and so is a nominal time that is not positive.
func (e *Estimator) ObserveBoot(machineType string, bootTime, nominal time.Duration) {
	if nominal <= 0 || bootTime < 0 {
		return
	}
	s := e.samplesOf(machineType)
	factor := min(bootTime.Seconds()/nominal.Seconds(), maxFactor)
	if len(s.factors) < maxSamples {
		s.factors = append(s.factors, factor)
		return
	}
	s.factors[s.nextSlot] = factor
	s.nextSlot = (s.nextSlot + 1) % maxSamples
}

// ObserveBooting replaces the ages of the instances that have sent no heartbeat, by type. Of each type only the first maxBooting
// ages are recorded. Instances that are late together raise the estimate before any of them sends a heartbeat. A type is ignored
// if nominalTimeOf is not positive for it.
func (e *Estimator) ObserveBooting(agesByType map[string][]time.Duration, nominalTimeOf func(machineType string) time.Duration) {
	for _, s := range e.types {
		s.bootingFactors = s.bootingFactors[:0]
	}
	for machineType, ages := range agesByType {
		nominal := nominalTimeOf(machineType)
		if nominal <= 0 {
			continue
		}
		s := e.samplesOf(machineType)
		for _, age := range ages[:min(len(ages), maxBooting)] {
			s.bootingFactors = append(s.bootingFactors, min(age.Seconds()/nominal.Seconds(), maxFactor))
		}
	}
}

// quantile returns a quantile of the boot times, with the nominal time among them. Booting instances that are older than the
// median count as if they had booted now.
func (s *samples) quantile(fraction float64) float64 {
	all := slices.Clone(s.factors)
	for range nominalWeight {
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
	return all[min(int(fraction*float64(len(all))), len(all)-1)]
}

// Expected returns the expected time from the request of an instance of the type to its first heartbeat. Without samples it is
// the nominal time.
func (e *Estimator) Expected(machineType string, nominal time.Duration) time.Duration {
	s := e.types[machineType]
	if s == nil {
		return nominal
	}
	return time.Duration(s.quantile(medianQuantile) * float64(nominal))
}

// Timeout returns the age from which an instance that has sent no heartbeat counts as failed. It is never shorter than the
// timeout for the nominal time, since a few fast boots do not make the next one fast.
func (e *Estimator) Timeout(machineType string, nominal time.Duration) time.Duration {
	factor := 1.0
	if s := e.types[machineType]; s != nil {
		factor = max(s.quantile(timeoutQuantile), 1)
	}
	return time.Duration(timeoutFactor*factor*float64(nominal)) + timeoutGrace
}

// Remaining returns how much longer an instance of the given age is expected to boot. After the expected time it is a fraction of
// the age.
func (e *Estimator) Remaining(machineType string, age, nominal time.Duration) time.Duration {
	if left := e.Expected(machineType, nominal) - age; left > 0 {
		return left
	}
	return max(age/overdueAgeDivisor, nominal/overdueNominalDivisor)
}

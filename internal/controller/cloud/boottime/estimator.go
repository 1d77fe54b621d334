// Package boottime learns how long machines of each type take to come up, from those that did and from those
// that are still awaited. Its Book owns the last of these; it rents and returns nothing.
//
// The cloud names a usual time. At times all machines take a multiple of it, or a twentieth, and some
// never come up: a constant gives up on all of them when they are late, and rents them anew, later still.
package boottime

import (
	"slices"
	"time"
)

const (
	// maxSamples boots of a type count, the last ones.
	maxSamples = 32
	// statedWeight is how many boots the cloud's own word weighs.
	statedWeight = 4
	// maxFactor is how many times the usual a machine may be expected to take at most: of one that takes
	// longer nothing is known but that.
	maxFactor = 8
	// timeoutFactor is how many times the time that nine in ten take is waited for a machine, and grace what
	// is added, for the list and the first report.
	timeoutFactor = 2.5
	timeoutGrace  = 30 * time.Second
	// maxAwaited machines that are still awaited count for a type.
	maxAwaited = 64
)

type samples struct {
	factors        []float64 // times the usual, a ring
	nextSlot       int
	awaitedFactors []float64 // ages of those that are awaited, times the usual, as of the last look
}

// Estimator keeps what was seen of each type.
type Estimator struct{ types map[string]*samples }

// New makes the book of a new leadership.
func New() *Estimator { return &Estimator{types: map[string]*samples{}} }

func (b *Estimator) samplesOf(name string) *samples {
	r := b.types[name]
	if r == nil {
		r = &samples{}
		b.types[name] = r
	}
	return r
}

// ObserveBoot takes in a machine that has come up, so long after its rental. What the cloud calls the usual time of
// its type is usually.
func (b *Estimator) ObserveBoot(name string, after, stated time.Duration) {
	if stated <= 0 || after < 0 {
		return
	}
	r := b.samplesOf(name)
	x := min(after.Seconds()/stated.Seconds(), maxFactor)
	if len(r.factors) < maxSamples {
		r.factors = append(r.factors, x)
		return
	}
	r.factors[r.nextSlot] = x
	r.nextSlot = (r.nextSlot + 1) % maxSamples
}

// ObserveAwaited takes in the ages of the machines that have not come up, by type: what is awaited longer than
// others took says that it takes longer now, before any of them has come.
func (b *Estimator) ObserveAwaited(ages map[string][]time.Duration, statedTimeOf func(name string) time.Duration) {
	for _, r := range b.types {
		r.awaitedFactors = r.awaitedFactors[:0]
	}
	for name, list := range ages {
		u := statedTimeOf(name)
		if u <= 0 {
			continue
		}
		r := b.samplesOf(name)
		for _, age := range list[:min(len(list), maxAwaited)] {
			r.awaitedFactors = append(r.awaitedFactors, min(age.Seconds()/u.Seconds(), maxFactor))
		}
	}
}

// quantile of what was seen, the cloud's word among it; awaited machines count where they are past the
// middle of it, as if they came now.
func (r *samples) quantile(rank float64) float64 {
	all := slices.Clone(r.factors)
	for range statedWeight {
		all = append(all, 1)
	}
	slices.Sort(all)
	middle := all[len(all)/2]
	for _, x := range r.awaitedFactors {
		if x > middle {
			all = append(all, x)
		}
	}
	slices.Sort(all)
	return all[min(int(rank*float64(len(all))), len(all)-1)]
}

// Expected is how long a machine of the type may be expected to take, from its rental until it reports.
func (b *Estimator) Expected(name string, stated time.Duration) time.Duration {
	r := b.types[name]
	if r == nil {
		return stated
	}
	return time.Duration(r.quantile(0.5) * float64(stated))
}

// Timeout is after how long a machine that has not reported is taken for one that never will. It is not
// shorter than the usual time makes it: of a few machines that were quick nothing follows for the next.
func (b *Estimator) Timeout(name string, stated time.Duration) time.Duration {
	x := 1.0
	if r := b.types[name]; r != nil {
		x = max(r.quantile(0.9), 1)
	}
	return time.Duration(timeoutFactor*x*float64(stated)) + timeoutGrace
}

// Remaining is how long a machine of that age may still be expected to take: what is left of the time that
// is expected, or, once that is over, a part of the time that it has taken.
func (b *Estimator) Remaining(name string, age, stated time.Duration) time.Duration {
	if left := b.Expected(name, stated) - age; left > 0 {
		return left
	}
	return max(age/4, stated/8)
}

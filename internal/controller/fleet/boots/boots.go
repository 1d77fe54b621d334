// Package boots learns how long machines of each type take to come up, from those that did and from those
// that are still awaited. Its Book owns the last of these; it rents and returns nothing.
//
// The cloud names a usual time. At times all machines take a multiple of it, or a twentieth, and some
// never come up: a constant gives up on all of them when they are late, and rents them anew, later still.
package boots

import (
	"slices"
	"time"
)

const (
	// kept boots of a type count, the last ones.
	kept = 32
	// usual is how many boots the cloud's own word weighs.
	usual = 4
	// lateBy is how many times the usual a machine may be expected to take at most: of one that takes
	// longer nothing is known but that.
	lateBy = 8
	// patience is how many times the time that nine in ten take is waited for a machine, and grace what
	// is added, for the list and the first report.
	patience = 2.5
	grace    = 30 * time.Second
	// most machines that are still awaited count for a type.
	most = 64
)

type record struct {
	took    []float64 // times the usual, a ring
	next    int
	waiting []float64 // ages of those that are awaited, times the usual, as of the last look
}

// Book keeps what was seen of each type.
type Book struct{ types map[string]*record }

// New makes the book of a new leadership.
func New() *Book { return &Book{types: map[string]*record{}} }

func (b *Book) of(name string) *record {
	r := b.types[name]
	if r == nil {
		r = &record{}
		b.types[name] = r
	}
	return r
}

// Came takes in a machine that has come up, so long after its rental. What the cloud calls the usual time of
// its type is usually.
func (b *Book) Came(name string, after, usually time.Duration) {
	if usually <= 0 || after < 0 {
		return
	}
	r := b.of(name)
	x := min(after.Seconds()/usually.Seconds(), lateBy)
	if len(r.took) < kept {
		r.took = append(r.took, x)
		return
	}
	r.took[r.next] = x
	r.next = (r.next + 1) % kept
}

// Awaited takes in the ages of the machines that have not come up, by type: what is awaited longer than
// others took says that it takes longer now, before any of them has come.
func (b *Book) Awaited(ages map[string][]time.Duration, usually func(name string) time.Duration) {
	for _, r := range b.types {
		r.waiting = r.waiting[:0]
	}
	for name, list := range ages {
		u := usually(name)
		if u <= 0 {
			continue
		}
		r := b.of(name)
		for _, age := range list[:min(len(list), most)] {
			r.waiting = append(r.waiting, min(age.Seconds()/u.Seconds(), lateBy))
		}
	}
}

// quantile of what was seen, the cloud's word among it; awaited machines count where they are past the
// middle of it, as if they came now.
func (r *record) quantile(q float64) float64 {
	all := slices.Clone(r.took)
	for range usual {
		all = append(all, 1)
	}
	slices.Sort(all)
	middle := all[len(all)/2]
	for _, x := range r.waiting {
		if x > middle {
			all = append(all, x)
		}
	}
	slices.Sort(all)
	return all[min(int(q*float64(len(all))), len(all)-1)]
}

// Expect is how long a machine of the type may be expected to take, from its rental until it reports.
func (b *Book) Expect(name string, usually time.Duration) time.Duration {
	r := b.types[name]
	if r == nil {
		return usually
	}
	return time.Duration(r.quantile(0.5) * float64(usually))
}

// GiveUp is after how long a machine that has not reported is taken for one that never will. It is not
// shorter than the usual time makes it: of a few machines that were quick nothing follows for the next.
func (b *Book) GiveUp(name string, usually time.Duration) time.Duration {
	x := 1.0
	if r := b.types[name]; r != nil {
		x = max(r.quantile(0.9), 1)
	}
	return time.Duration(patience*x*float64(usually)) + grace
}

// Remaining is how long a machine of that age may still be expected to take: what is left of the time that
// is expected, or, once that is over, a part of the time that it has taken.
func (b *Book) Remaining(name string, age, usually time.Duration) time.Duration {
	if left := b.Expect(name, usually) - age; left > 0 {
		return left
	}
	return max(age/4, usually/8)
}

// Package pace recognises machines that are slow but report. Its Book owns, by machine, how the tasks
// that ended there compare with those of the same job elsewhere, and how far such tasks differ by
// nature. It never drains or returns a machine: it answers whether one is slow.
package pace

import (
	"math"
	"time"
)

const (
	// fewest tasks of a job must have ended before one is compared with their mean.
	fewest = 4
	// enough tasks of a machine must have been compared before it is called slow.
	enough = 8
	// remembered is for how many tasks a machine is remembered: one that recovers is not slow for ever.
	remembered = 32
	// slower is how many times longer tasks take on a slow machine at least.
	slower = 1.4
	// sure is how many standard errors its mean has to be beyond that.
	sure = 3
	// most is how far one task may count: a hundred times longer says no more than eight times.
	most = 2.1 // ln 8
)

// Book is what is known of the machines' pace.
type Book struct {
	resolution time.Duration // how exactly run times are known: what machines report, and how often
	mean       float64       // of all tasks' logarithms
	spread     float64       // their variance
	seen       float64
	machines   map[string]*record
}

type record struct{ mean, count float64 }

// New makes an empty one. Run times are known to the resolution.
func New(resolution time.Duration) *Book {
	return &Book{resolution: resolution, spread: 0.25, machines: map[string]*record{}}
}

// Ran takes in how long a task has run on a machine, and the mean of so many tasks of the same job
// that ended before. Owners' estimates are not used: they are wrong for a whole job at once, and
// machines that happened to run it would all look slow.
func (b *Book) Ran(machine string, ran, mean time.Duration, others int) {
	if others < fewest || mean < 2*b.resolution || ran <= 0 {
		return
	}
	x := max(min(math.Log(ran.Seconds()/mean.Seconds()), most), -most)
	b.seen = min(b.seen+1, 4096)
	weight := 1 / (b.seen + 16)
	off := x - b.mean
	b.mean += weight * off
	b.spread += weight * (off*off - b.spread)
	r := b.machines[machine]
	if r == nil {
		r = &record{}
		b.machines[machine] = r
	}
	r.count = min(r.count+1, remembered)
	r.mean += (x - r.mean) / r.count
}

// Slow reports whether tasks take longer on the machine for certain.
func (b *Book) Slow(machine string) bool {
	r := b.machines[machine]
	if r == nil || r.count < enough {
		return false
	}
	return r.mean-b.mean > math.Log(slower)+sure*math.Sqrt(b.spread/r.count)
}

// Times is how many times longer tasks take on the machine, as far as is known: 1 if nothing is.
func (b *Book) Times(machine string) float64 {
	r := b.machines[machine]
	if r == nil || r.count < enough {
		return 1
	}
	return math.Exp(r.mean - b.mean)
}

// Gone forgets a machine.
func (b *Book) Gone(machine string) { delete(b.machines, machine) }

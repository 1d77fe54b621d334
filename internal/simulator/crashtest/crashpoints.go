package crashtest

import (
	"fmt"
	"math/rand/v2"

	"gullrudder/internal/simulator/faultydisk"
)

// Result counts what was tried.
type Result struct {
	Points int // operations of the run, at each of which it was ended
	Runs   int
}

// Points plays a short run, and again for every operation that it has, ended there: with all
// that was not synced lost, kept, kept in part, or still with the system. Then with a fault at
// every operation, for a while, and soon after it the end. Each time the store is opened again, goes on, and is opened once more;
// opening is ended at every operation too. The error says what was not as it was answered.
func Points(seed uint64, steps int) (Result, error) {
	count, err := play(seed, steps, func(*faultydisk.Disk) {}, faultydisk.All, 0)
	if err != nil {
		return Result{}, err
	}
	r := Result{Points: count, Runs: 1}
	try := func(what string, set func(*faultydisk.Disk), loss faultydisk.Loss, reopen int) error {
		r.Runs++
		if _, err := play(seed, steps, set, loss, reopen); err != nil {
			return fmt.Errorf("seed %d, %s, loss %d: %w", seed, what, loss, err)
		}
		return nil
	}
	for at := 1; at <= count; at++ {
		for _, loss := range []faultydisk.Loss{faultydisk.All, faultydisk.Kept, faultydisk.Random, faultydisk.Random, faultydisk.Random, faultydisk.Process} {
			if err := try(fmt.Sprintf("ended at operation %d", at), func(d *faultydisk.Disk) { d.CrashAt = at }, loss, at%7); err != nil {
				return r, err
			}
		}
		for _, fault := range []faultydisk.Fault{faultydisk.Short, faultydisk.Failed, faultydisk.Whole, faultydisk.NotKept} {
			for _, span := range []int{1, 9} {
				set := func(d *faultydisk.Disk) { d.FailAt, d.FailFor, d.Fault = at, span, fault }
				if err := try(fmt.Sprintf("fault %d at operation %d for %d", fault, at, span), set, faultydisk.Random, 0); err != nil {
					return r, err
				}
				end := at + 1 + (at*7+span)%20
				both := func(d *faultydisk.Disk) { set(d); d.CrashAt = end }
				for _, loss := range []faultydisk.Loss{faultydisk.Kept, faultydisk.Random} {
					if err := try(fmt.Sprintf("fault %d at operation %d for %d, ended at %d", fault, at, span, end), both, loss, 0); err != nil {
						return r, err
					}
				}
			}
		}
	}
	return r, nil
}

// play plays one run, ends it, and looks at what comes back. reopen is the operation at which
// the first opening is ended too, 0 for none.
func play(seed uint64, steps int, set func(*faultydisk.Disk), loss faultydisk.Loss, reopen int) (ops int, err error) {
	disk := faultydisk.New(rand.New(rand.NewPCG(seed, 1)))
	set(disk)
	p := NewPlayer(disk, rand.New(rand.NewPCG(seed, 2)))
	if p.Open(nil) {
		for range steps {
			if !p.Step() {
				break
			}
		}
	}
	ops = disk.Ops
	if p.Broken != "" {
		return ops, fmt.Errorf("while it ran: %s", p.Broken)
	}
	next := p.disk.After(loss)
	if reopen > 0 {
		next.CrashAt = reopen
		p.Open(next)
		if next.CrashAt = 0; next.Crashed() {
			next = next.After(loss)
		}
	}
	for range 2 {
		if p.Broken == "" {
			p.Open(next)
		}
		for range 4 {
			if p.Broken == "" {
				p.Step()
			}
		}
		if p.Broken != "" {
			return ops, fmt.Errorf("afterwards: %s", p.Broken)
		}
		next = p.disk.After(faultydisk.All)
	}
	return ops, nil
}

package crashtest

import (
	"fmt"
	"math/rand/v2"

	"gullrudder/internal/simulator/faultydisk"
)

// Result counts what RunCrashPoints tried.
type Result struct {
	CrashPoints int // disk operations of the run without faults; there is a crash at each
	Runs        int
}

// RunCrashPoints runs a number of steps, and repeats them with a crash at each disk operation: with all
// unsynced data lost, kept, kept in part, or still held by the operating system. Then it repeats them with a fault at
// each operation, alone and followed by a crash. Each time the store is recovered, goes on, and is recovered once more;
// recovery is crashed too. The error describes the first guarantee that was broken.
func RunCrashPoints(seed uint64, steps int) (Result, error) {
	count, err := runOnce(seed, steps, func(*faultydisk.Disk) {}, faultydisk.LoseAll, 0)
	if err != nil {
		return Result{}, err
	}
	r := Result{CrashPoints: count, Runs: 1}
	try := func(what string, set func(*faultydisk.Disk), loss faultydisk.Loss, reopen int) error {
		r.Runs++
		if _, err := runOnce(seed, steps, set, loss, reopen); err != nil {
			return fmt.Errorf("seed %d, %s, loss %d: %w", seed, what, loss, err)
		}
		return nil
	}
	for at := 1; at <= count; at++ {
		for _, loss := range []faultydisk.Loss{faultydisk.LoseAll, faultydisk.LoseNothing, faultydisk.LoseRandomSectors, faultydisk.LoseRandomSectors, faultydisk.LoseRandomSectors, faultydisk.ProcessCrash} {
			if err := try(fmt.Sprintf("ended at operation %d", at), func(d *faultydisk.Disk) { d.CrashAt = at }, loss, at%7); err != nil {
				return r, err
			}
		}
		for _, fault := range []faultydisk.Fault{faultydisk.ShortWrite, faultydisk.FailedOperation, faultydisk.ErrorAfterWrite, faultydisk.FailedSync} {
			for _, span := range []int{1, 9} {
				set := func(d *faultydisk.Disk) { d.FailAt, d.FailFor, d.Fault = at, span, fault }
				if err := try(fmt.Sprintf("fault %d at operation %d for %d", fault, at, span), set, faultydisk.LoseRandomSectors, 0); err != nil {
					return r, err
				}
				end := at + 1 + (at*7+span)%20
				both := func(d *faultydisk.Disk) { set(d); d.CrashAt = end }
				for _, loss := range []faultydisk.Loss{faultydisk.LoseNothing, faultydisk.LoseRandomSectors} {
					if err := try(fmt.Sprintf("fault %d at operation %d for %d, ended at %d", fault, at, span, end), both, loss, 0); err != nil {
						return r, err
					}
				}
			}
		}
	}
	return r, nil
}

// runOnce runs the steps, crashes the store, and checks what it recovers. reopen is the operation at which
// the first recovery is crashed too, 0 for none.
func runOnce(seed uint64, steps int, set func(*faultydisk.Disk), loss faultydisk.Loss, reopen int) (ops int, err error) {
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
	ops = disk.Operations
	if p.Violation != "" {
		return ops, fmt.Errorf("while it ran: %s", p.Violation)
	}
	next := p.disk.AfterCrash(loss)
	if reopen > 0 {
		next.CrashAt = reopen
		p.Open(next)
		if next.CrashAt = 0; next.Crashed() {
			next = next.AfterCrash(loss)
		}
	}
	for range 2 {
		if p.Violation == "" {
			p.Open(next)
		}
		for range 4 {
			if p.Violation == "" {
				p.Step()
			}
		}
		if p.Violation != "" {
			return ops, fmt.Errorf("afterwards: %s", p.Violation)
		}
		next = p.disk.AfterCrash(faultydisk.LoseAll)
	}
	return ops, nil
}

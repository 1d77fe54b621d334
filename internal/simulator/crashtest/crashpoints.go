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

// What a crash can do to unsynced data; random sectors are drawn three times.
var losses = []faultydisk.Loss{
	faultydisk.LoseAll, faultydisk.LoseNothing,
	faultydisk.LoseRandomSectors, faultydisk.LoseRandomSectors, faultydisk.LoseRandomSectors,
	faultydisk.ProcessCrash,
}

// faults are the kinds of faults that are injected at each operation.
var faults = []faultydisk.Fault{
	faultydisk.ShortWrite, faultydisk.FailedOperation, faultydisk.ErrorAfterWrite, faultydisk.FailedSync,
}

// faultSpans are for how many operations in a row a fault lasts.
var faultSpans = []int{1, 9}

// crashPoints tries variants of one run.
type crashPoints struct {
	seed   uint64
	steps  int
	result Result
}

// try repeats the run with a change to the disk.
func (c *crashPoints) try(what string, set func(*faultydisk.Disk), loss faultydisk.Loss, recoveryCrash int) error {
	c.result.Runs++
	if _, err := runOnce(c.seed, c.steps, set, loss, recoveryCrash); err != nil {
		return fmt.Errorf("seed %d, %s, loss %d: %w", c.seed, what, loss, err)
	}
	return nil
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
	points := &crashPoints{seed: seed, steps: steps, result: Result{CrashPoints: count, Runs: 1}}
	for at := 1; at <= count; at++ {
		if err := points.tryCrashes(at); err != nil {
			return points.result, err
		}
		for _, fault := range faults {
			for _, span := range faultSpans {
				if err := points.tryFault(at, fault, span); err != nil {
					return points.result, err
				}
			}
		}
	}
	return points.result, nil
}

// tryCrashes crashes at an operation, and recovery at one of its first operations.
func (c *crashPoints) tryCrashes(operation int) error {
	for _, loss := range losses {
		what := fmt.Sprintf("ended at operation %d", operation)
		if err := c.try(what, func(d *faultydisk.Disk) { d.CrashAt = operation }, loss, operation%7); err != nil {
			return err
		}
	}
	return nil
}

// tryFault fails operations, alone and followed by a crash up to 20 operations later.
func (c *crashPoints) tryFault(operation int, fault faultydisk.Fault, span int) error {
	set := func(d *faultydisk.Disk) { d.FailAt, d.FailFor, d.Fault = operation, span, fault }
	what := fmt.Sprintf("fault %d at operation %d for %d", fault, operation, span)
	if err := c.try(what, set, faultydisk.LoseRandomSectors, 0); err != nil {
		return err
	}
	end := operation + 1 + (operation*7+span)%20
	both := func(d *faultydisk.Disk) { set(d); d.CrashAt = end }
	for _, loss := range []faultydisk.Loss{faultydisk.LoseNothing, faultydisk.LoseRandomSectors} {
		if err := c.try(fmt.Sprintf("%s, ended at %d", what, end), both, loss, 0); err != nil {
			return err
		}
	}
	return nil
}

// runOnce runs the steps, crashes the store, and checks what it recovers. recoveryCrash is the operation at which
// the first recovery is crashed too, 0 for none.
func runOnce(seed uint64, steps int, set func(*faultydisk.Disk), loss faultydisk.Loss, recoveryCrash int) (ops int, err error) {
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
		return ops, fmt.Errorf("before the crash: %s", p.Violation)
	}
	next := p.disk.AfterCrash(loss)
	if recoveryCrash > 0 {
		next.CrashAt = recoveryCrash
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
			return ops, fmt.Errorf("after recovery: %s", p.Violation)
		}
		next = p.disk.AfterCrash(faultydisk.LoseAll)
	}
	return ops, nil
}

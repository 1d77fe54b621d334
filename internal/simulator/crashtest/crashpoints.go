package crashtest

import (
	"fmt"
	"math/rand/v2"

	"gullrudder/internal/simulator/faultydisk"
)

// Result counts the crash points and runs of RunCrashPoints.
type Result struct {
	CrashPoints int // disk operations of the run without faults; other runs crash at each of them
	Runs        int // all runs, the one without faults included
}

// losses are the effects of a crash on unsynced data. Each crash point is run once with each of them. Random sectors occur
// three times, with a different choice of sectors each time.
var losses = []faultydisk.Loss{
	faultydisk.LoseAll, faultydisk.LoseNothing,
	faultydisk.LoseRandomSectors, faultydisk.LoseRandomSectors, faultydisk.LoseRandomSectors,
	faultydisk.ProcessCrash,
}

// faults are the kinds of faults injected at each operation.
var faults = []faultydisk.Fault{
	faultydisk.ShortWrite, faultydisk.FailedOperation, faultydisk.ErrorAfterWrite, faultydisk.FailedSync,
}

// consecutiveFailures are the numbers of operations in a row that an injected fault affects.
var consecutiveFailures = []int{1, 9}

// variantRunner repeats one run with different crashes and faults, and counts the runs.
type variantRunner struct {
	seed   uint64
	steps  int
	result Result
}

// run repeats the run on a disk that configure prepares. The description goes into the error.
func (r *variantRunner) run(description string, configure func(*faultydisk.Disk), loss faultydisk.Loss, recoveryCrashAt int) error {
	r.result.Runs++
	if _, err := runOnce(r.seed, r.steps, configure, loss, recoveryCrashAt); err != nil {
		return fmt.Errorf("seed %d, %s, loss %d: %w", r.seed, description, loss, err)
	}
	return nil
}

// RunCrashPoints runs a number of steps once without faults, and then tries two kinds of faults at each disk operation of
// that run:
//   - A crash, after which the unsynced data is lost, kept, kept in part, or still held by the operating system. Most of
//     these runs also crash during the recovery.
//   - A disk fault, alone and followed by a crash.
//
// After each run the store is recovered, executes more steps, and is recovered a second time. The same seed gives the
// same runs. The error describes the first violated guarantee; the result then counts the runs so far.
func RunCrashPoints(seed uint64, steps int) (Result, error) {
	operationCount, err := runOnce(seed, steps, func(*faultydisk.Disk) {}, faultydisk.LoseAll, 0)
	if err != nil {
		return Result{}, err
	}
	runner := &variantRunner{seed: seed, steps: steps, result: Result{CrashPoints: operationCount, Runs: 1}}
	for operation := 1; operation <= operationCount; operation++ {
		if err := runner.tryCrashes(operation); err != nil {
			return runner.result, err
		}
		for _, fault := range faults {
			for _, failures := range consecutiveFailures {
				if err := runner.tryFault(operation, fault, failures); err != nil {
					return runner.result, err
				}
			}
		}
	}
	return runner.result, nil
}

// tryCrashes crashes the store at an operation. The recovery crashes at one of its first six operations, or not at all.
func (r *variantRunner) tryCrashes(operation int) error {
	for _, loss := range losses {
		description := fmt.Sprintf("crash at operation %d", operation)
		if err := r.run(description, func(d *faultydisk.Disk) { d.CrashAt = operation }, loss, operation%7); err != nil {
			return err
		}
	}
	return nil
}

// tryFault injects a fault at an operation, alone and followed by a crash 1 to 20 operations later.
func (r *variantRunner) tryFault(operation int, fault faultydisk.Fault, failures int) error {
	injectFault := func(d *faultydisk.Disk) { d.FailAt, d.FailCount, d.Fault = operation, failures, fault }
	description := fmt.Sprintf("fault %d from operation %d for %d operations", fault, operation, failures)
	if err := r.run(description, injectFault, faultydisk.LoseRandomSectors, 0); err != nil {
		return err
	}
	crashAt := operation + 1 + (operation*7+failures)%20
	injectFaultAndCrash := func(d *faultydisk.Disk) { injectFault(d); d.CrashAt = crashAt }
	for _, loss := range []faultydisk.Loss{faultydisk.LoseNothing, faultydisk.LoseRandomSectors} {
		if err := r.run(fmt.Sprintf("%s, crash at operation %d", description, crashAt), injectFaultAndCrash, loss, 0); err != nil {
			return err
		}
	}
	return nil
}

// runOnce runs the steps, crashes the store, and checks the recovered state. The first recovery crashes at its operation
// recoveryCrashAt, unless that is 0. It returns the number of disk operations up to the first crash.
func runOnce(seed uint64, steps int, configure func(*faultydisk.Disk), loss faultydisk.Loss, recoveryCrashAt int) (count int, err error) {
	disk := faultydisk.New(rand.New(rand.NewPCG(seed, 1)))
	configure(disk)
	driver := NewDriver(disk, rand.New(rand.NewPCG(seed, 2)))
	if driver.Open(nil) {
		for range steps {
			if !driver.Step() {
				break
			}
		}
	}
	count = disk.Operations
	if driver.Violation != "" {
		return count, fmt.Errorf("before the crash: %s", driver.Violation)
	}
	nextDisk := driver.disk.AfterCrash(loss)
	if recoveryCrashAt > 0 {
		nextDisk.CrashAt = recoveryCrashAt
		driver.Open(nextDisk)
		if nextDisk.CrashAt = 0; nextDisk.Crashed() {
			nextDisk = nextDisk.AfterCrash(loss)
		}
	}
	for range 2 {
		if driver.Violation == "" {
			driver.Open(nextDisk)
		}
		for range 4 {
			if driver.Violation == "" {
				driver.Step()
			}
		}
		if driver.Violation != "" {
			return count, fmt.Errorf("after recovery: %s", driver.Violation)
		}
		nextDisk = driver.disk.AfterCrash(faultydisk.LoseAll)
	}
	return count, nil
}

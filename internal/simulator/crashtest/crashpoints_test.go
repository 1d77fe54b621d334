package crashtest

import "testing"

// minCrashPoints is the minimum number of disk operations of the run. A shorter run would test too little.
const minCrashPoints = 40

// Repeats a short run with a crash and with faults at every disk operation. The store must recover every acknowledged
// transaction and no rejected one.
func TestCrashAndFaultAtEveryOperation(t *testing.T) {
	for seed := range uint64(1) {
		result, err := RunCrashPoints(seed, 24)
		if err != nil {
			t.Fatalf("seed %d: violated guarantee: got %v, want none", seed, err)
		}
		if result.CrashPoints < minCrashPoints {
			t.Errorf("seed %d: number of crash points: got %d, want at least %d", seed, result.CrashPoints, minCrashPoints)
		}
	}
}

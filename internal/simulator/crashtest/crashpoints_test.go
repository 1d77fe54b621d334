package crashtest

import "testing"

// minCrashPoints is how many disk operations a run needs to try what it is meant to.
const minCrashPoints = 40

// A short run with a crash and with a fault at every disk operation:
// what was acknowledged is recovered, and what was refused is not.
func TestEveryPointOfAShortRun(t *testing.T) {
	for seed := range uint64(1) {
		result, err := RunCrashPoints(seed, 24)
		if err != nil {
			t.Fatalf("a guarantee is broken: %v", err)
		}
		if result.CrashPoints < minCrashPoints {
			t.Errorf("seed %d: crash points: got %d, want at least %d", seed, result.CrashPoints, minCrashPoints)
		}
	}
}

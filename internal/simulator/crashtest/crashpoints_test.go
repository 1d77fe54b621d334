package crashtest

import "testing"

// A short run with a crash and with a fault at every disk operation:
// what was acknowledged is recovered, and what was refused is not.
func TestEveryPointOfAShortRun(t *testing.T) {
	for seed := range uint64(1) {
		r, err := RunCrashPoints(seed, 24)
		if err != nil {
			t.Fatal(err)
		}
		if r.CrashPoints < 40 {
			t.Errorf("seed %d: only %d operations", seed, r.CrashPoints)
		}
	}
}

package crashtest

import "testing"

// Every operation of a short run is one at which the machine may end, and one that may fail.
// What was answered is there afterwards, and what was refused is not.
func TestEveryPointOfAShortRun(t *testing.T) {
	for seed := range uint64(1) {
		r, err := Points(seed, 24)
		if err != nil {
			t.Fatal(err)
		}
		if r.Points < 40 {
			t.Errorf("seed %d: only %d operations", seed, r.Points)
		}
	}
}

package standin

import (
	"testing"

	"gullrudder/internal/config"
)

// A famine of minutes with machines that die and three leaders that end: at least half of the jobs of each
// class and team are done by the end. gullbench famine plays it with many seeds, and with the shares at 0.
func TestFamine(t *testing.T) {
	t.Parallel()
	for seed := range uint64(1) {
		w := New(seed, FamineOptions(config.DefaultOptions()), quiet())
		f := w.Famine()
		if len(w.Broken) > 0 {
			t.Fatalf("seed %d: %v", seed, w.Broken)
		}
		for _, served := range []map[string]Portion{f.Classes, f.Teams} {
			if name, share := Least(served); share < 0.5 {
				t.Errorf("seed %d: of %s only %.2f is done: %v", seed, name, share, served)
			}
		}
		if f.Left*3 > f.Seats*2 || f.Seats < 40 {
			t.Errorf("seed %d: %d machines before, %d in the famine: it is none", seed, f.Seats, f.Left)
		}
	}
}

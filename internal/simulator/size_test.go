package simulator

import (
	"testing"
	"time"

	"gullrudder/internal/config"
)

// large is a world of about a hundred machines.
func large() Options {
	o := options()
	o.Capacity, o.Arrays = 25, 60
	o.Teams = []config.Team{{Name: "red", GuaranteedCPUs: 100, CPULimit: 400}, {Name: "blue", GuaranteedCPUs: 50, CPULimit: 500}}
	return o
}

// At a hundred machines and with pages that fill up, the rules hold through the end of every
// controller, an outage, and a cut of a quarter of the machines, and all work gets done.
func TestRulesAtSize(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		w := New(seed, large(), quiet())
		for i := range 90 {
			w.At(time.Duration(i)*700*time.Millisecond, w.Users.Submit)
		}
		w.At(25*time.Second, func() {
			for i := range w.Opt.Nodes {
				w.Crash(i, 2*time.Second)
			}
		})
		w.At(40*time.Second, func() { w.State.Outage(8 * time.Second) })
		w.At(55*time.Second, func() {
			for range len(w.Cloud.running()) / 4 {
				w.Cloud.CutMachine(12 * time.Second)
			}
			w.Cloud.Die()
			w.Cloud.Take(0)
		})
		w.Run(65 * time.Second)
		most := len(w.Cloud.running())
		w.Run(200 * time.Second)
		if len(w.Broken) > 0 {
			t.Fatalf("seed %d: %v", seed, w.Broken)
		}
		if n := w.Users.Unfinished(); n > 0 || w.Users.Accepted() < 80 {
			t.Errorf("seed %d: %d accepted, %d unfinished", seed, w.Users.Accepted(), n)
		}
		if pages := w.State.pages(); most < 60 || pages < 3 {
			t.Errorf("seed %d: %d machines and %d pages are not what the test is about", seed, most, pages)
		}
		if err := w.State.Check(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// Ten times the submissions at once, and many cancellations: what cannot be taken is refused
// at once, the leadership holds, and afterwards everything accepted is done or cancelled.
func TestBurstOfSubmissionsAndCancellations(t *testing.T) {
	t.Parallel()
	opt := large()
	opt.Loss = 0
	w := New(3, opt, quiet())
	w.Run(2 * time.Second)
	first, token := w.State.leader(), w.State.mark()
	for i := range 400 {
		w.At(time.Duration(i)*3*time.Millisecond, w.Users.Submit)
	}
	w.At(12*time.Second, func() {
		for _, id := range w.Users.ids[:200] {
			w.Users.cancel(id)
		}
	})
	w.Run(30 * time.Second)
	if now := w.State.leader(); now != first || w.State.mark() != token || first == "" {
		t.Errorf("%q led by %d, %q leads by %d", first, token, now, w.State.mark())
	}
	w.Run(4 * time.Minute)
	if len(w.Broken) > 0 {
		t.Fatal(w.Broken)
	}
	if n := w.Users.Unfinished(); n > 0 || w.Users.Accepted() != 400 {
		t.Errorf("%d of 400 accepted, %d unfinished", w.Users.Accepted(), n)
	}
	if w.Users.slowest > 2500*time.Millisecond {
		t.Errorf("an answer took %v", w.Users.slowest)
	}
}

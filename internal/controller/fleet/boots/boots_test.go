package boots

import (
	"math/rand/v2"
	"testing"
	"time"
)

const usually = 40 * time.Second

func within(t *testing.T, what string, got, low, high time.Duration) {
	t.Helper()
	if got < low || got > high {
		t.Errorf("%s: %v, not between %v and %v", what, got, low, high)
	}
}

// Nothing seen: the cloud's word. Then what is seen counts, and a time in which all are late is over soon
// after it ends.
func TestWhatIsSeenCounts(t *testing.T) {
	b := New()
	within(t, "nothing seen", b.Expect("small", usually), usually, usually)
	within(t, "nothing seen, given up", b.GiveUp("small", usually), 130*time.Second, 130*time.Second)
	rng := rand.New(rand.NewPCG(1, 1))
	come := func(times float64, n int) {
		for range n {
			b.Came("small", time.Duration(times*(0.6+0.9*rng.Float64())*float64(usually)), usually)
		}
	}
	come(1, 100)
	within(t, "as usual", b.Expect("small", usually), 34*time.Second, 46*time.Second)
	within(t, "as usual, given up", b.GiveUp("small", usually), 140*time.Second, 190*time.Second)
	come(4, kept)
	within(t, "four times as long", b.Expect("small", usually), 130*time.Second, 190*time.Second)
	within(t, "four times as long, given up", b.GiveUp("small", usually), 500*time.Second, 700*time.Second)
	come(0.05, kept)
	within(t, "a twentieth", b.Expect("small", usually), time.Second, 4*time.Second)
	within(t, "quick ones do not shorten it", b.GiveUp("small", usually), 130*time.Second, 130*time.Second)
	come(1, kept)
	within(t, "as usual again", b.Expect("small", usually), 34*time.Second, 46*time.Second)
}

// Machines that are late all together are expected later before any has come, and are not given up at
// the usual time; one that never comes among many that did is.
func TestThoseThatAreAwaited(t *testing.T) {
	b := New()
	for range kept {
		b.Came("small", usually, usually)
	}
	await := func(n int, age time.Duration) {
		list := make([]time.Duration, n)
		for i := range list {
			list[i] = age
		}
		b.Awaited(map[string][]time.Duration{"small": list}, func(string) time.Duration { return usually })
	}
	await(1, 131*time.Second)
	if late := b.GiveUp("small", usually); late > 131*time.Second {
		t.Errorf("one that never comes is waited for %v", late)
	}
	await(40, 131*time.Second)
	if late := b.GiveUp("small", usually); late <= 200*time.Second {
		t.Errorf("forty that are late together are given up after %v", late)
	}
	if left := b.Remaining("small", 131*time.Second, usually); left < 20*time.Second || left > time.Minute {
		t.Errorf("one of them is expected in %v", left)
	}
	await(0, 0)
	within(t, "once none is awaited", b.Expect("small", usually), usually, usually)
}

// Whatever comes in, what is told stays within bounds.
func TestBounds(t *testing.T) {
	b := New()
	for i := range 1000 {
		b.Came("small", time.Duration(i)*time.Hour, usually)
	}
	b.Came("small", -time.Second, usually)
	b.Came("other", time.Second, 0)
	b.Awaited(map[string][]time.Duration{"small": make([]time.Duration, 5000), "other": {time.Hour}}, func(name string) time.Duration {
		if name == "small" {
			return usually
		}
		return 0
	})
	within(t, "expected", b.Expect("small", usually), usually, lateBy*usually)
	within(t, "given up", b.GiveUp("small", usually), usually, lateBy*5*usually/2+grace)
	if n := len(b.types["small"].took) + len(b.types["small"].waiting); n > kept+most {
		t.Errorf("%d are kept", n)
	}
}

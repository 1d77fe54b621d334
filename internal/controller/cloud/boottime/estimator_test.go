package boottime

import (
	"math/rand/v2"
	"testing"
	"time"
)

const statedTime = 40 * time.Second

func assertBetween(t *testing.T, what string, got, low, high time.Duration) {
	t.Helper()
	if got < low || got > high {
		t.Errorf("%s: %v, not between %v and %v", what, got, low, high)
	}
}

// Nothing seen: the cloud's word. Then what is seen counts, and a time in which all are late is over soon
// after it ends.
func TestObservedBootTimesAdjustEstimate(t *testing.T) {
	b := New()
	assertBetween(t, "nothing seen", b.Expected("small", statedTime), statedTime, statedTime)
	assertBetween(t, "nothing seen, given up", b.Timeout("small", statedTime), 130*time.Second, 130*time.Second)
	rng := rand.New(rand.NewPCG(1, 1))
	come := func(times float64, n int) {
		for range n {
			b.ObserveBoot("small", time.Duration(times*(0.6+0.9*rng.Float64())*float64(statedTime)), statedTime)
		}
	}
	come(1, 100)
	assertBetween(t, "as usual", b.Expected("small", statedTime), 34*time.Second, 46*time.Second)
	assertBetween(t, "as usual, given up", b.Timeout("small", statedTime), 140*time.Second, 190*time.Second)
	come(4, maxSamples)
	assertBetween(t, "four times as long", b.Expected("small", statedTime), 130*time.Second, 190*time.Second)
	assertBetween(t, "four times as long, given up", b.Timeout("small", statedTime), 500*time.Second, 700*time.Second)
	come(0.05, maxSamples)
	assertBetween(t, "a twentieth", b.Expected("small", statedTime), time.Second, 4*time.Second)
	assertBetween(t, "quick ones do not shorten it", b.Timeout("small", statedTime), 130*time.Second, 130*time.Second)
	come(1, maxSamples)
	assertBetween(t, "as usual again", b.Expected("small", statedTime), 34*time.Second, 46*time.Second)
}

// Machines that are late all together are expected later before any has come, and are not given up at
// the usual time; one that never comes among many that did is.
func TestAwaitedMachinesRaiseEstimate(t *testing.T) {
	b := New()
	for range maxSamples {
		b.ObserveBoot("small", statedTime, statedTime)
	}
	await := func(n int, age time.Duration) {
		list := make([]time.Duration, n)
		for i := range list {
			list[i] = age
		}
		b.ObserveAwaited(map[string][]time.Duration{"small": list}, func(string) time.Duration { return statedTime })
	}
	await(1, 131*time.Second)
	if late := b.Timeout("small", statedTime); late > 131*time.Second {
		t.Errorf("one that never comes is waited for %v", late)
	}
	await(40, 131*time.Second)
	if late := b.Timeout("small", statedTime); late <= 200*time.Second {
		t.Errorf("forty that are late together are given up after %v", late)
	}
	if left := b.Remaining("small", 131*time.Second, statedTime); left < 20*time.Second || left > time.Minute {
		t.Errorf("one of them is expected in %v", left)
	}
	await(0, 0)
	assertBetween(t, "once none is awaited", b.Expected("small", statedTime), statedTime, statedTime)
}

// Whatever comes in, what is told stays within bounds.
func TestEstimateStaysBounded(t *testing.T) {
	b := New()
	for i := range 1000 {
		b.ObserveBoot("small", time.Duration(i)*time.Hour, statedTime)
	}
	b.ObserveBoot("small", -time.Second, statedTime)
	b.ObserveBoot("other", time.Second, 0)
	b.ObserveAwaited(map[string][]time.Duration{"small": make([]time.Duration, 5000), "other": {time.Hour}}, func(name string) time.Duration {
		if name == "small" {
			return statedTime
		}
		return 0
	})
	assertBetween(t, "expected", b.Expected("small", statedTime), statedTime, maxFactor*statedTime)
	assertBetween(t, "given up", b.Timeout("small", statedTime), statedTime, maxFactor*5*statedTime/2+timeoutGrace)
	if n := len(b.types["small"].factors) + len(b.types["small"].awaitedFactors); n > maxSamples+maxAwaited {
		t.Errorf("%d are kept", n)
	}
}

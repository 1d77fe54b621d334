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
		t.Errorf("%s: got %v, want between %v and %v", what, got, low, high)
	}
}

// TestObservedBootTimesAdjustEstimate checks that the stated time holds without samples, that samples count then, and
// that a period in which all boots are slow is forgotten soon after it ends.
func TestObservedBootTimesAdjustEstimate(t *testing.T) {
	estimator := New()
	assertBetween(t, "no samples", estimator.Expected("small", statedTime), statedTime, statedTime)
	assertBetween(t, "no samples, timeout", estimator.Timeout("small", statedTime), 130*time.Second, 130*time.Second)
	rng := rand.New(rand.NewPCG(1, 1))
	addSamples := func(times float64, count int) {
		for range count {
			estimator.ObserveBoot("small", time.Duration(times*(0.6+0.9*rng.Float64())*float64(statedTime)), statedTime)
		}
	}
	addSamples(1, 100)
	assertBetween(t, "as usual", estimator.Expected("small", statedTime), 34*time.Second, 46*time.Second)
	assertBetween(t, "as usual, timeout", estimator.Timeout("small", statedTime), 140*time.Second, 190*time.Second)
	addSamples(4, maxSamples)
	assertBetween(t, "four times as long", estimator.Expected("small", statedTime), 130*time.Second, 190*time.Second)
	assertBetween(t, "four times as long, timeout", estimator.Timeout("small", statedTime), 500*time.Second, 700*time.Second)
	addSamples(0.05, maxSamples)
	assertBetween(t, "a twentieth of it", estimator.Expected("small", statedTime), time.Second, 4*time.Second)
	assertBetween(t, "quick boots do not shorten the timeout", estimator.Timeout("small", statedTime), 130*time.Second, 130*time.Second)
	addSamples(1, maxSamples)
	assertBetween(t, "as usual again", estimator.Expected("small", statedTime), 34*time.Second, 46*time.Second)
}

// TestBootingInstancesRaiseEstimate checks that instances that are late together raise the estimate before any of them
// reports and are not given up after the usual time, and that a single late one among many that reported is.
func TestBootingInstancesRaiseEstimate(t *testing.T) {
	estimator := New()
	for range maxSamples {
		estimator.ObserveBoot("small", statedTime, statedTime)
	}
	await := func(count int, age time.Duration) {
		ages := make([]time.Duration, count)
		for i := range ages {
			ages[i] = age
		}
		estimator.ObserveBooting(map[string][]time.Duration{"small": ages}, func(string) time.Duration { return statedTime })
	}
	await(1, 131*time.Second)
	if timeout := estimator.Timeout("small", statedTime); timeout > 131*time.Second {
		t.Errorf("timeout of a single late instance: got %v, want at most 131s", timeout)
	}
	await(40, 131*time.Second)
	if timeout := estimator.Timeout("small", statedTime); timeout <= 200*time.Second {
		t.Errorf("timeout of forty instances that are late together: got %v, want above 200s", timeout)
	}
	if left := estimator.Remaining("small", 131*time.Second, statedTime); left < 20*time.Second || left > time.Minute {
		t.Errorf("remaining time of a late instance: got %v, want 20s to 1m", left)
	}
	await(0, 0)
	assertBetween(t, "no instance awaited", estimator.Expected("small", statedTime), statedTime, statedTime)
}

// TestEstimateStaysBounded checks that the estimates stay within bounds, whatever is observed.
func TestEstimateStaysBounded(t *testing.T) {
	estimator := New()
	for i := range 1000 {
		estimator.ObserveBoot("small", time.Duration(i)*time.Hour, statedTime)
	}
	estimator.ObserveBoot("small", -time.Second, statedTime)
	estimator.ObserveBoot("other", time.Second, 0)
	ages := map[string][]time.Duration{"small": make([]time.Duration, 5000), "other": {time.Hour}}
	estimator.ObserveBooting(ages, func(name string) time.Duration {
		if name == "small" {
			return statedTime
		}
		return 0
	})
	assertBetween(t, "expected", estimator.Expected("small", statedTime), statedTime, maxFactor*statedTime)
	assertBetween(t, "timeout", estimator.Timeout("small", statedTime), statedTime, maxFactor*5*statedTime/2+timeoutGrace)
	if n := len(estimator.types["small"].factors) + len(estimator.types["small"].bootingFactors); n > maxSamples+maxBooting {
		t.Errorf("samples kept: got %d, want at most %d", n, maxSamples+maxBooting)
	}
}

package boottime

import (
	"math/rand/v2"
	"testing"
	"time"
)

const nominalTime = 40 * time.Second

func assertBetween(t *testing.T, what string, got, low, high time.Duration) {
	t.Helper()
	if got < low || got > high {
		t.Errorf("%s: got %v, want between %v and %v", what, got, low, high)
	}
}

// TestObservedBootTimesAdjustEstimate checks that the nominal time is the estimate without samples, and that samples change it. A
// period in which all boots are slow is forgotten soon after it ends.
func TestObservedBootTimesAdjustEstimate(t *testing.T) {
	estimator := New()
	assertBetween(t, "no samples", estimator.Expected("small", nominalTime), nominalTime, nominalTime)
	assertBetween(t, "no samples, timeout", estimator.Timeout("small", nominalTime), 130*time.Second, 130*time.Second)
	rng := rand.New(rand.NewPCG(1, 1))
	addSamples := func(times float64, count int) {
		for range count {
			estimator.ObserveBoot("small", time.Duration(times*(0.6+0.9*rng.Float64())*float64(nominalTime)), nominalTime)
		}
	}
	addSamples(1, 100)
	assertBetween(t, "usual times", estimator.Expected("small", nominalTime), 34*time.Second, 46*time.Second)
	assertBetween(t, "usual times, timeout", estimator.Timeout("small", nominalTime), 140*time.Second, 190*time.Second)
	addSamples(4, maxSamples)
	assertBetween(t, "four times the usual time", estimator.Expected("small", nominalTime), 130*time.Second, 190*time.Second)
	assertBetween(t, "four times the usual time, timeout", estimator.Timeout("small", nominalTime), 500*time.Second, 700*time.Second)
	addSamples(0.05, maxSamples)
	assertBetween(t, "a twentieth of the usual time", estimator.Expected("small", nominalTime), time.Second, 4*time.Second)
	assertBetween(t, "a twentieth, timeout not shortened", estimator.Timeout("small", nominalTime), 130*time.Second, 130*time.Second)
	addSamples(1, maxSamples)
	assertBetween(t, "usual times again", estimator.Expected("small", nominalTime), 34*time.Second, 46*time.Second)
}

// TestBootingInstancesRaiseEstimate checks that instances that are late together raise the estimate before any of them sends a
// heartbeat, so that they do not time out after the usual time. A single late instance among many that booted does time out.
func TestBootingInstancesRaiseEstimate(t *testing.T) {
	estimator := New()
	for range maxSamples {
		estimator.ObserveBoot("small", nominalTime, nominalTime)
	}
	observeBooting := func(count int, age time.Duration) {
		ages := make([]time.Duration, count)
		for i := range ages {
			ages[i] = age
		}
		estimator.ObserveBooting(map[string][]time.Duration{"small": ages}, func(string) time.Duration { return nominalTime })
	}
	observeBooting(1, 131*time.Second)
	if timeout := estimator.Timeout("small", nominalTime); timeout > 131*time.Second {
		t.Errorf("timeout of a single late instance: got %v, want at most 131s", timeout)
	}
	observeBooting(40, 131*time.Second)
	if timeout := estimator.Timeout("small", nominalTime); timeout <= 200*time.Second {
		t.Errorf("timeout of 40 instances that are late together: got %v, want more than 200s", timeout)
	}
	if left := estimator.Remaining("small", 131*time.Second, nominalTime); left < 20*time.Second || left > time.Minute {
		t.Errorf("remaining time of a late instance: got %v, want 20s to 1m", left)
	}
	observeBooting(0, 0)
	assertBetween(t, "no booting instance", estimator.Expected("small", nominalTime), nominalTime, nominalTime)
}

// TestEstimateStaysBounded checks that neither extreme observations nor many of them move the estimates or the number of samples
// out of bounds.
func TestEstimateStaysBounded(t *testing.T) {
	estimator := New()
	for i := range 1000 {
		estimator.ObserveBoot("small", time.Duration(i)*time.Hour, nominalTime)
	}
	estimator.ObserveBoot("small", -time.Second, nominalTime)
	estimator.ObserveBoot("other", time.Second, 0)
	ages := map[string][]time.Duration{"small": make([]time.Duration, 5000), "other": {time.Hour}}
	estimator.ObserveBooting(ages, func(name string) time.Duration {
		if name == "small" {
			return nominalTime
		}
		return 0
	})
	assertBetween(t, "expected", estimator.Expected("small", nominalTime), nominalTime, maxFactor*nominalTime)
	assertBetween(t, "timeout", estimator.Timeout("small", nominalTime), nominalTime, maxFactor*5*nominalTime/2+timeoutGrace)
	if n := len(estimator.types["small"].factors) + len(estimator.types["small"].bootingFactors); n > maxSamples+maxBooting {
		t.Errorf("samples kept: got %d, want at most %d", n, maxSamples+maxBooting)
	}
}

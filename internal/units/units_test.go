package units

import (
	"math"
	"testing"
	"time"
)

// TestDurationsSurviveRoundTrip guards against durations that become shorter each time they are written as seconds and read again.
func TestDurationsSurviveRoundTrip(t *testing.T) {
	for hundredths := range 100_000 {
		decimal, irregular := time.Duration(hundredths)*10*time.Millisecond, time.Duration(hundredths)*86_400_001
		for _, duration := range []time.Duration{decimal, decimal + 1, irregular} {
			if got := DurationFromSeconds(duration.Seconds()); got != duration {
				t.Fatalf("%d ns: came back as %d ns", duration, got)
			}
		}
	}
}

// TestDurationOfAtLeastIsNeverShorter checks that a duration stays long enough, also after a version has read it by rounding down.
func TestDurationOfAtLeastIsNeverShorter(t *testing.T) {
	check := func(seconds float64) {
		duration := DurationOfAtLeast(seconds)
		readByRoundingDown := time.Duration(duration.Seconds() * float64(time.Second))
		if duration.Seconds() < seconds || readByRoundingDown.Seconds() < seconds {
			t.Fatalf("%v s: got %d ns, %d ns after rounding down", seconds, duration, readByRoundingDown)
		}
		if excess := duration - DurationFromSeconds(seconds); excess > time.Microsecond {
			t.Fatalf("%v s: got %v more", seconds, excess)
		}
	}
	for hundredths := range 100_000 {
		check(float64(hundredths) / 100)
		check(math.Nextafter(float64(hundredths)/100, math.Inf(1)))
	}
	for _, seconds := range []float64{1e-60, 1e-9, 1.5e-9, 86_400.123456789, 365 * 24 * 3600 * 0.999999} {
		check(seconds)
	}
}

// TestDurationsDoNotOverflow checks the conversion of numbers that no duration holds, and sums and products beyond MaxDuration.
func TestDurationsDoNotOverflow(t *testing.T) {
	for seconds, want := range map[float64]time.Duration{
		math.MaxFloat64: MaxDuration, math.Inf(1): MaxDuration, 1e12: MaxDuration, -1e300: -MaxDuration, math.Inf(-1): -MaxDuration,
		math.SmallestNonzeroFloat64: 0, 0: 0, -1.5: -1500 * time.Millisecond,
	} {
		if got := DurationFromSeconds(seconds); got != want {
			t.Errorf("%v s: got %v, want %v", seconds, got, want)
		}
	}
	if got := DurationFromSeconds(math.NaN()); got != 0 {
		t.Errorf("NaN: got %v, want 0", got)
	}
	if got := DurationOfAtLeast(1e300); got != MaxDuration {
		t.Errorf("at least 1e300 s: got %v, want %v", got, MaxDuration)
	}
	if got := Add(MaxDuration, MaxDuration); got != MaxDuration {
		t.Errorf("sum: got %v, want %v", got, MaxDuration)
	}
	if got := Add(time.Second, time.Minute); got != 61*time.Second {
		t.Errorf("sum: got %v, want 61 s", got)
	}
	if got := Multiply(365*24*time.Hour, 100_000); got != MaxDuration {
		t.Errorf("product: got %v, want %v", got, MaxDuration)
	}
	if got := Multiply(time.Hour, 30); got != 30*time.Hour {
		t.Errorf("product: got %v, want 30 h", got)
	}
}

// TestCountThatFits checks quotients that no int holds. Their conversion gives another result on each kind of processor.
func TestCountThatFits(t *testing.T) {
	for _, test := range []struct {
		count              int
		perItem, available float64
		want               int
	}{
		{100, 1e-60, 16, 100},
		{100, math.SmallestNonzeroFloat64, math.MaxFloat64, 100},
		{100, 1e-60, -16, 0},
		{100, 1e300, 16, 0},
		{100, 3, 16, 5},
		{2, 3, 16, 2},
		{100, 1, 0, 0},
		{math.MaxInt, 0.5, 2, 4},
	} {
		if got := CountThatFits(test.count, test.perItem, test.available); got != test.want {
			t.Errorf("%d items of %g into %g: got %d, want %d", test.count, test.perItem, test.available, got, test.want)
		}
	}
}

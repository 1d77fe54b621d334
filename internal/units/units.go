// Package units defines conversions, sums and tolerances that several packages share, for durations in seconds, megabytes and resources. It
// holds no state and imports no other package of the module.
package units

import (
	"math"
	"time"
)

// ResourceTolerance absorbs rounding errors when amounts of resources are compared. The leader and the workers must use the same value, so
// that a worker accepts the tasks that the leader places on it.
const ResourceTolerance = 1e-6

// BytesPerMB is the number of bytes in a megabyte of settings and views.
const BytesPerMB = 1 << 20

// MaxDuration is the longest duration that the functions of this package return. Five of them can be added without an overflow.
const MaxDuration = 50 * 365 * 24 * time.Hour

// DurationFromSeconds converts a number of seconds, the unit of settings and messages, to the nearest duration. A number beyond MaxDuration
// in either direction becomes MaxDuration or its negative; NaN becomes 0.
func DurationFromSeconds(seconds float64) time.Duration {
	switch {
	case math.IsNaN(seconds):
		return 0
	case seconds >= MaxDuration.Seconds():
		return MaxDuration
	case seconds <= -MaxDuration.Seconds():
		return -MaxDuration
	}
	return time.Duration(math.Round(seconds * float64(time.Second)))
}

// DurationOfAtLeast returns the shortest duration up to MaxDuration that is not shorter than a number of seconds, neither as the result of
// Seconds nor when that result was converted back by rounding down.
func DurationOfAtLeast(seconds float64) time.Duration {
	duration := DurationFromSeconds(seconds)
	for duration < MaxDuration && roundedDown(duration).Seconds() < seconds {
		duration += max(time.Nanosecond, duration>>52) // the next number that a float64 of seconds can distinguish
	}
	return min(duration, MaxDuration)
}

// roundedDown returns a duration after it was written as seconds and read by a version that rounds down.
func roundedDown(duration time.Duration) time.Duration {
	return min(duration, time.Duration(duration.Seconds()*float64(time.Second)))
}

// Add returns the sum of two durations that are not negative, at most MaxDuration.
func Add(a, b time.Duration) time.Duration {
	if a >= MaxDuration-b {
		return MaxDuration
	}
	return a + b
}

// Multiply returns the duration times a count, at most MaxDuration. Neither may be negative.
func Multiply(duration time.Duration, count int) time.Duration {
	if count > 0 && duration > MaxDuration/time.Duration(count) {
		return MaxDuration
	}
	return duration * time.Duration(count)
}

// CountThatFits returns how many of count items fit into the available amount if each takes perItem, which must be above 0. A quotient that
// an int does not hold is no special case.
func CountThatFits(count int, perItem, available float64) int {
	quotient := available / perItem
	switch {
	case quotient >= float64(count):
		return count
	case quotient <= 0:
		return 0
	}
	return int(quotient)
}

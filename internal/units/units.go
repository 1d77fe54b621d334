// Package units has the conversions and tolerances of amounts that several packages share: durations in seconds, megabytes, resources. It
// holds no state and imports no other package of the module.
package units

import "time"

// ResourceTolerance absorbs rounding errors where amounts of resources are compared. The leader and the workers need the same, so
// that a worker accepts what the leader has placed on it.
const ResourceTolerance = 1e-6

// BytesPerMB is the factor from the megabytes of settings and views to bytes.
const BytesPerMB = 1 << 20

// DurationFromSeconds converts a number of seconds, as settings and messages have it, to a duration.
func DurationFromSeconds(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// Package units defines conversions and tolerances that several packages share, for durations in seconds, megabytes and resources. It holds
// no state and imports no other package of the module.
package units

import "time"

// ResourceTolerance absorbs rounding errors when amounts of resources are compared. The leader and the workers must use the same value, so
// that a worker accepts the tasks that the leader places on it.
const ResourceTolerance = 1e-6

// BytesPerMB is the number of bytes in a megabyte of settings and views.
const BytesPerMB = 1 << 20

// DurationFromSeconds converts a number of seconds, the unit of settings and messages, to a duration.
func DurationFromSeconds(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

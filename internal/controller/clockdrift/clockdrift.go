// Package clockdrift bounds how far two clocks may drift apart while both count the same duration. Leases and grants rely on this
// bound: the holder ends one earlier by its own clock, and the granter ends it later. The package holds no state and reads no clock.
// Design note: docs/design/election.md.
package clockdrift

import "time"

// driftDivisor sets the bound to 1/500 (0.2 %) of a duration. Each clock may be off by 0.05 %; the rest is a margin.
const driftDivisor = 500

// Bound returns the largest difference that two clocks may show after both have counted d.
func Bound(d time.Duration) time.Duration { return d / driftDivisor }

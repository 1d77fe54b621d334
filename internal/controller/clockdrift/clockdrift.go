// Package clockdrift bounds how far two clocks may drift apart while both count the same duration. Leases and grants rely on this
// bound: the side that relies on one ends it earlier, and the side that is bound by it ends it later. The package holds no state and
// reads no clock. Design note: docs/design/election.md.
package clockdrift

import "time"

// divisor makes the bound a 500th (0.2 %) of a duration. Each clock may be off by 0.05 %; the rest is a margin.
const divisor = 500

// Bound returns the largest difference that two clocks may show after both have counted d.
func Bound(d time.Duration) time.Duration { return d / divisor }

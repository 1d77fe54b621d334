package fairshare

import (
	"math"
	"time"
)

// minListedCount is the count of done jobs below which a group is neither listed nor saved.
const minListedCount = 0.01

// decayingCount is a number of jobs that decays exponentially with time.
type decayingCount struct {
	count     float64
	updatedAt time.Time
}

// decayTo decays the count up to now and returns it. window is the time constant.
func (c *decayingCount) decayTo(now time.Time, window time.Duration) float64 {
	if elapsed := now.Sub(c.updatedAt); elapsed > 0 && window > 0 {
		c.count *= math.Exp(-elapsed.Seconds() / window.Seconds())
		c.updatedAt = now
	}
	return c.count
}

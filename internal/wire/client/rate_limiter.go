package client

import "time"

// RateLimiter is a token bucket. It reads no clock; its caller passes the time.
type RateLimiter struct {
	rate      float64 // tokens a second
	capacity  float64
	tokens    float64 // negative if more was taken than available
	updatedAt time.Time
}

// NewRateLimiter allows rate units a second on average, and at once as many as accumulate in the burst. It starts full.
func NewRateLimiter(rate float64, burst time.Duration) *RateLimiter {
	capacity := rate * burst.Seconds()
	return &RateLimiter{rate: rate, capacity: capacity, tokens: capacity}
}

// Available is the number of whole units that may be taken now. A clock that is set back adds nothing.
func (l *RateLimiter) Available(now time.Time) int {
	if !l.updatedAt.IsZero() && now.After(l.updatedAt) {
		l.tokens = min(l.capacity, l.tokens+now.Sub(l.updatedAt).Seconds()*l.rate)
	}
	l.updatedAt = now
	return int(max(l.tokens, 0))
}

// Take uses n units. The caller checks Available first.
func (l *RateLimiter) Take(n int) { l.tokens -= float64(n) }

package client

import "time"

// RateLimiter is a token bucket. The caller passes the time. It is not safe for concurrent use.
type RateLimiter struct {
	rate      float64 // tokens a second
	capacity  float64
	tokens    float64 // negative if more were taken than available
	updatedAt time.Time
}

// NewRateLimiter returns a limiter that allows rate tokens a second on average. Its capacity is the number of tokens that accumulate during
// burst. It starts full.
func NewRateLimiter(rate float64, burst time.Duration) *RateLimiter {
	capacity := rate * burst.Seconds()
	return &RateLimiter{rate: rate, capacity: capacity, tokens: capacity}
}

// Available returns the number of whole tokens that may be taken now. If now is earlier than in the last call, no tokens are added.
func (l *RateLimiter) Available(now time.Time) int {
	if !l.updatedAt.IsZero() && now.After(l.updatedAt) {
		l.tokens = min(l.capacity, l.tokens+now.Sub(l.updatedAt).Seconds()*l.rate)
	}
	l.updatedAt = now
	return int(max(l.tokens, 0))
}

// Take takes count tokens. The caller checks Available first.
func (l *RateLimiter) Take(count int) { l.tokens -= float64(count) }

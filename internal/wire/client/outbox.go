// Package client carries what the owner loop wants done outside of it: the slices
// add calls, the runtime (or the stand-in world of the tests) carries them out and
// hands each result back to the owner, which then runs the call's Done.
package client

import "time"

// Destination names the far side of a call.
type Destination int

// The far sides that a controller speaks to.
const (
	StateService Destination = iota
	CloudAPI
	PeerController
	WorkerAgent
)

// Result is what came of a call. Status is 0 if no answer came, and then nobody
// knows whether the request was, or will yet be, executed.
type Result struct {
	Status     int
	Body       []byte
	RetryAfter time.Duration
	Err        error
}

// IsUncertain reports whether the outcome of the call is unknown.
func (r Result) IsUncertain() bool { return r.Status == 0 }

// Call is one request. Done runs on the owner loop, exactly once.
type Call struct {
	Destination Destination
	Addr        string
	Method      string
	Path        string
	Body        any
	Delay       time.Duration // wait this long before sending
	Timeout     time.Duration
	Done        func(now time.Time, r Result)
}

// Outbox collects the calls of one step.
type Outbox struct{ calls []Call }

// Add puts a call into the box.
func (b *Outbox) Add(c Call) { b.calls = append(b.calls, c) }

// TakeCalls empties the box.
func (b *Outbox) TakeCalls() []Call {
	calls := b.calls
	b.calls = nil
	return calls
}

// RateLimiter is a token bucket.
type RateLimiter struct {
	rate, burst, tokens float64
	updatedAt           time.Time
}

// NewRateLimiter allows rate units a second, and bursts of that much for so long.
func NewRateLimiter(rate float64, burst time.Duration) *RateLimiter {
	capacity := rate * burst.Seconds()
	return &RateLimiter{rate: rate, burst: capacity, tokens: capacity}
}

// Available is the number of whole units that may be taken now.
func (l *RateLimiter) Available(now time.Time) int {
	if !l.updatedAt.IsZero() && now.After(l.updatedAt) {
		l.tokens = min(l.burst, l.tokens+now.Sub(l.updatedAt).Seconds()*l.rate)
	}
	l.updatedAt = now
	return int(max(l.tokens, 0))
}

// Take uses n units; the caller has asked Available before.
func (l *RateLimiter) Take(n int) { l.tokens -= float64(n) }

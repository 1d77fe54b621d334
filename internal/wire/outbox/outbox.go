// Package outbox carries what the owner loop wants done outside of it: the slices
// add calls, the runtime (or the stand-in world of the tests) carries them out and
// hands each result back to the owner, which then runs the call's Done.
package outbox

import "time"

// Service names the far side of a call.
type Service int

// The far sides that a controller speaks to.
const (
	State Service = iota
	Cloud
	Peer
	Worker
)

// Result is what came of a call. Status is 0 if no answer came, and then nobody
// knows whether the request was, or will yet be, executed.
type Result struct {
	Status     int
	Body       []byte
	RetryAfter time.Duration
	Err        error
}

// Unknown reports whether the outcome of the call is unknown.
func (r Result) Unknown() bool { return r.Status == 0 }

// Call is one request. Done runs on the owner loop, exactly once.
type Call struct {
	Service Service
	Addr    string
	Method  string
	Path    string
	Body    any
	After   time.Duration // wait this long before sending
	Timeout time.Duration
	Done    func(now time.Time, r Result)
}

// Box collects the calls of one step.
type Box struct{ calls []Call }

// Add puts a call into the box.
func (b *Box) Add(c Call) { b.calls = append(b.calls, c) }

// Take empties the box.
func (b *Box) Take() []Call {
	calls := b.calls
	b.calls = nil
	return calls
}

// Limiter is a token bucket.
type Limiter struct {
	rate, burst, level float64
	last               time.Time
}

// NewLimiter allows rate units a second, and bursts of that much for so long.
func NewLimiter(rate float64, burst time.Duration) *Limiter {
	most := rate * burst.Seconds()
	return &Limiter{rate: rate, burst: most, level: most}
}

// Available is the number of whole units that may be taken now.
func (l *Limiter) Available(now time.Time) int {
	if !l.last.IsZero() && now.After(l.last) {
		l.level = min(l.burst, l.level+now.Sub(l.last).Seconds()*l.rate)
	}
	l.last = now
	return int(max(l.level, 0))
}

// Take uses n units; the caller has asked Available before.
func (l *Limiter) Take(n int) { l.level -= float64(n) }

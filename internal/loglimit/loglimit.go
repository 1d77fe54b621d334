// Package loglimit bounds how often an event is logged, so that a faulty client cannot flood the log. Events that are not logged are
// counted. Each Limiter belongs to one goroutine; the package holds no other state.
package loglimit

import "time"

// Limiter allows one log line per interval. Its zero value allows every line.
type Limiter struct {
	interval time.Duration
	loggedAt time.Time
	events   int // events since loggedAt
}

// New returns a Limiter that allows one line per interval.
func New(interval time.Duration) Limiter { return Limiter{interval: interval} }

// Allow records an event and reports whether it may be logged. If it may, count is the number of events since the last line, including
// this one.
func (l *Limiter) Allow(now time.Time) (count int, ok bool) {
	l.events++
	if !l.loggedAt.IsZero() && now.Sub(l.loggedAt) < l.interval {
		return 0, false
	}
	count = l.events
	l.loggedAt, l.events = now, 0
	return count, true
}

// Package renewal decides until when a leader that has not loaded its state may renew the leases of workers.
//
// A heartbeat response with status 200 renews the lease of the worker and keeps its tasks running. A leader that lost the
// state service before it loaded its state does not know the confirmed cancellations. Grants of its peers may extend its
// leader lease until the outage ends. If it renewed worker leases all that time, cancelled tasks would run for longer than
// the cancel timeout (docs/design/fault-combinations.md). So it renews a lease only if the renewed lease still expires
// within the cancel timeout of the earliest confirmation that it may not know.
//
// The pings of the previous leader bound the time of that confirmation. Every ping of a leader that has loaded its state
// contains the age of the oldest cancellation whose tasks may still run. A ping may be delayed by minutes. So the age
// counts from when this controller issued the nonce that the ping echoes, not from when the ping arrived.
//
// Each process has one Limit, which the election uses in every role. The Limit never sends anything: the election's pings
// contain the nonces and ages. Design note: docs/design/election.md.
package renewal

import (
	"math/rand/v2"
	"time"

	"gullrudder/internal/controller/clockdrift"
)

// maxNonces limits the number of nonces that are kept. These suffice for the pings of a few seconds.
const maxNonces = 16

// nonce is a nonce that was issued to a leader.
type nonce struct {
	value    uint64
	issuedAt time.Time
}

// Limit holds the earliest time at which a cancellation that is not completed may have been confirmed. From this time it
// derives until when leases may be renewed. It is not safe for concurrent use.
type Limit struct {
	window          time.Duration // result of Window
	lastNonce       uint64
	issued          []nonce   // the last maxNonces nonces, in order of issue
	completedBefore time.Time // result of CompletedBefore
}

// Window returns how long after the confirmation of a cancellation a controller that does not know of it may still renew
// a lease. A cancelled task has to end within cancelTimeout, and runs at most maxLeaseAge after the renewal of its lease.
// So the window is cancelTimeout less maxLeaseAge and less the clock drift. It is zero or negative if the settings leave
// no time for renewals.
func Window(cancelTimeout, maxLeaseAge time.Duration) time.Duration {
	return cancelTimeout - clockdrift.Bound(cancelTimeout) - maxLeaseAge
}

// New returns the limit of a process that has just started: no lease may be renewed. Its nonces start at a random value, so
// that they differ from those of an earlier process of this controller.
func New(window time.Duration, rng *rand.Rand) *Limit {
	return &Limit{window: window, lastNonce: rng.Uint64() | 1}
}

// NewNonce issues a nonce for a response to a leader, whose next ping echoes it. The nonce is never 0.
func (l *Limit) NewNonce(now time.Time) uint64 {
	l.lastNonce++
	if l.lastNonce == 0 {
		l.lastNonce++
	}
	l.issued = append(l.issued, nonce{l.lastNonce, now})
	if len(l.issued) > maxNonces {
		l.issued = l.issued[1:]
	}
	return l.lastNonce
}

// RecordLeaderPing processes the ping of a leader that has loaded its state and holds its lease. When the ping was
// sent, every cancellation confirmed longer than oldestCancellationAge ago was completed. The ping was sent after
// echoedNonce was issued. A ping that echoes no nonce of this process is ignored, since it may be of any age. So is a
// negative age.
func (l *Limit) RecordLeaderPing(echoedNonce uint64, oldestCancellationAge time.Duration) {
	if echoedNonce == 0 || oldestCancellationAge < 0 {
		return
	}
	for _, issued := range l.issued {
		if issued.value == echoedNonce {
			l.advance(issued.issuedAt.Add(-oldestCancellationAge - clockdrift.Bound(oldestCancellationAge)))
		}
	}
}

// RecordLoaded records that every cancellation confirmed before oldestCancellation is completed. A leader that has loaded
// its state calls it.
func (l *Limit) RecordLoaded(oldestCancellation time.Time) { l.advance(oldestCancellation) }

func (l *Limit) advance(completedBefore time.Time) {
	if completedBefore.After(l.completedBefore) {
		l.completedBefore = completedBefore
	}
}

// CompletedBefore returns the earliest time at which a cancellation that is not completed may have been confirmed: all
// earlier ones are completed. It never decreases, and is the zero time if nothing is known.
func (l *Limit) CompletedBefore() time.Time { return l.completedBefore }

// RenewUntil returns until when a leader may renew leases before its state is loaded. It is the zero time, so that no lease
// may be renewed, if CompletedBefore is zero or the window is not positive.
func (l *Limit) RenewUntil() time.Time {
	if l.completedBefore.IsZero() || l.window <= 0 {
		return time.Time{}
	}
	return l.completedBefore.Add(l.window)
}

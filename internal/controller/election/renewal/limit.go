// Package renewal decides until when a leader that has not loaded its state may renew the leases of workers.
//
// Answering a heartbeat with status 200 keeps alive what runs on the worker. A leader that has won the key and lost
// the state service before it loaded the state knows of no cancellation, and may live on grants of its peers for as
// long as the outage lasts. It would keep tasks alive whose cancellation an earlier leader has confirmed, for longer
// than users are told (docs/design/fault-combinations.md). So it renews leases only as long as they still expire in time for
// the earliest confirmation that it may have missed.
//
// How early that can be it knows from the leader before: every ping of a leader that has loaded its state tells the
// age of the oldest cancellation whose tasks may still run. A ping may be delayed by minutes, so that age counts from
// when this controller issued the nonce that the ping brings back, not from when the ping arrived.
//
// The package owns one Limit for each process, which belongs to the election whether the controller leads or not. It
// never sends anything: nonces and ages travel with the election's pings. Design note: docs/design/election.md.
package renewal

import (
	"math/rand/v2"
	"time"

	"gullrudder/internal/controller/clockdrift"
)

// maxNonces bounds the nonces that are kept: those of the pings of a few seconds.
const maxNonces = 16

// nonce is one that was issued to a leader, and when.
type nonce struct {
	value    uint64
	issuedAt time.Time
}

// Limit is what a controller knows of the cancellations that other controllers may have confirmed. It is not safe for
// concurrent use.
type Limit struct {
	window          time.Duration // see Window
	lastNonce       uint64
	issued          []nonce   // the oldest first
	completedBefore time.Time // see CompletedBefore
}

// Window returns for how long after the confirmation of a cancellation a controller that does not know of it may
// still renew a lease: the time in which a cancelled task has to end, less maxLeaseAge, the longest that a task
// outlives the renewal of its lease. It allows for the drift of both clocks. It is negative if the settings leave no
// such time.
func Window(cancelTimeout, maxLeaseAge time.Duration) time.Duration {
	return cancelTimeout - clockdrift.Bound(cancelTimeout) - maxLeaseAge
}

// New returns the limit of a process that has just started and knows nothing. Its nonces begin at a random value, so
// that those of an earlier process of this controller are not taken for its own.
func New(window time.Duration, rng *rand.Rand) *Limit {
	return &Limit{window: window, lastNonce: rng.Uint64() | 1}
}

// NewNonce issues a nonce for a response to a leader, whose next ping brings it back. It is never 0.
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

// RecordLeaderProgress takes what a leader that has loaded its state, and held its lease, said in a ping: every
// cancellation confirmed longer than oldestCancellationAge before is completed. The ping was made after the nonce was
// issued that it brings back. One without a nonce of this process may be of any age and says nothing.
func (l *Limit) RecordLeaderProgress(echoedNonce uint64, oldestCancellationAge time.Duration) {
	if echoedNonce == 0 || oldestCancellationAge < 0 {
		return
	}
	for _, issued := range l.issued {
		if issued.value == echoedNonce {
			l.advance(issued.issuedAt.Add(-oldestCancellationAge - clockdrift.Bound(oldestCancellationAge)))
		}
	}
}

// RecordLoaded records that this controller leads and has loaded its state: it knows of every confirmation, and all
// before oldestCancellation are completed.
func (l *Limit) RecordLoaded(oldestCancellation time.Time) { l.advance(oldestCancellation) }

func (l *Limit) advance(completedBefore time.Time) {
	if completedBefore.After(l.completedBefore) {
		l.completedBefore = completedBefore
	}
}

// CompletedBefore returns the time before which every confirmed cancellation is certainly completed everywhere. It is
// zero if nothing is known.
func (l *Limit) CompletedBefore() time.Time { return l.completedBefore }

// RenewUntil returns until when leases may be renewed before the state is loaded. It is zero if nothing is known, or
// if the settings leave no time: then no lease may be renewed.
func (l *Limit) RenewUntil() time.Time {
	if l.completedBefore.IsZero() || l.window <= 0 {
		return time.Time{}
	}
	return l.completedBefore.Add(l.window)
}

// Package renewal decides until when a leader that has not loaded its state may renew the leases of workers.
//
// A heartbeat response with status 200 renews the lease of the worker and keeps its tasks running. A leader that was
// elected and lost the state service before it loaded its state does not know the confirmed cancellations, and may keep
// its leader lease on grants of its peers for as long as the outage lasts. It would keep cancelled tasks running for
// longer than the cancel timeout (docs/design/fault-combinations.md). So it renews leases only as long as they still
// expire within the cancel timeout of the earliest confirmation that it may not know.
//
// The previous leader's pings bound that confirmation: every ping of a leader that has loaded its state contains the
// age of the oldest cancellation whose tasks may still run. A ping may be delayed by minutes, so the age counts from
// when this controller issued the nonce that the ping echoes, not from when the ping arrived.
//
// The package owns one Limit for each process, which belongs to the election whether the controller leads or not. It
// never sends anything: the election's pings contain the nonces and ages. Design note: docs/design/election.md.
package renewal

import (
	"math/rand/v2"
	"time"

	"gullrudder/internal/controller/clockdrift"
)

// maxNonces bounds the number of nonces that are kept: those of the pings of a few seconds.
const maxNonces = 16

// nonce is a nonce that was issued to a leader.
type nonce struct {
	value    uint64
	issuedAt time.Time
}

// Limit keeps a bound of the cancellations that other controllers may have confirmed, and derives from it until when
// leases may be renewed. It is not safe for concurrent use.
type Limit struct {
	window          time.Duration // see Window
	lastNonce       uint64
	issued          []nonce   // the oldest first
	completedBefore time.Time // see CompletedBefore
}

// Window returns how long after the confirmation of a cancellation a controller that does not know it may still renew a
// lease: cancelTimeout, in which a cancelled task has to end, less maxLeaseAge, the longest time that a task outlives
// the renewal of its lease, and less the clock drift. It is negative if the settings leave no such time.
func Window(cancelTimeout, maxLeaseAge time.Duration) time.Duration {
	return cancelTimeout - clockdrift.Bound(cancelTimeout) - maxLeaseAge
}

// New returns the limit of a process that has just started, which has no bound yet. Its nonces begin at a random value,
// so that they differ from those of an earlier process of this controller.
func New(window time.Duration, rng *rand.Rand) *Limit {
	return &Limit{window: window, lastNonce: rng.Uint64() | 1}
}

// NewNonce issues a nonce for a response to a leader, whose next ping echoes it. It is never 0.
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

// RecordLeaderProgress records, from the ping of a leader that has loaded its state and holds its lease, that every
// cancellation confirmed longer than oldestCancellationAge before the ping is completed. The ping was sent after
// echoedNonce was issued. A ping without a nonce of this process may be of any age and is ignored.
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

// RecordLoaded records that this controller leads and has loaded its state, and that every cancellation confirmed before
// oldestCancellation is completed.
func (l *Limit) RecordLoaded(oldestCancellation time.Time) { l.advance(oldestCancellation) }

func (l *Limit) advance(completedBefore time.Time) {
	if completedBefore.After(l.completedBefore) {
		l.completedBefore = completedBefore
	}
}

// CompletedBefore returns the time before which every confirmed cancellation is certainly completed. It is zero if no
// bound is known.
func (l *Limit) CompletedBefore() time.Time { return l.completedBefore }

// RenewUntil returns until when leases may be renewed before the state is loaded. It is zero, so that no lease may be
// renewed, if no bound is known or the settings leave no time.
func (l *Limit) RenewUntil() time.Time {
	if l.completedBefore.IsZero() || l.window <= 0 {
		return time.Time{}
	}
	return l.completedBefore.Add(l.window)
}

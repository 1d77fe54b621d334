// Package renewal says until when a controller that leads and has not read its ledger may renew workers' leases.
// Its Horizon belongs to the election, one for a process, whether it leads or not. It sends nothing: what it tells
// and what it hears goes with the election's greetings.
//
// Whoever answers a report with 200 keeps alive what runs there. A leader that has won the key and could not read
// the ledger before the state service went away knows of no cancellation, and may live on promises for as long as
// the outage lasts: it kept tasks alive whose cancellation the leader before it had confirmed, for longer than
// users are told (docs/design/meetings.md). So it renews only while the leases still end in time for the earliest
// confirmation that it may have missed. How early that can be it has from the leader before: every greeting of one that has
// read its ledger says how old the oldest cancellation is whose tasks may still be there. A greeting may come minutes
// late, so it counts from when we made the stamp that it brings back, and not from when it came.
package renewal

import (
	"math/rand/v2"
	"time"
)

// maxNonces is how many stamps are kept: those of the greetings of some seconds.
const maxNonces = 16

type nonce struct {
	value    uint64
	issuedAt time.Time
}

// Limit is what a controller knows of cancellations that others may have confirmed.
type Limit struct {
	window          time.Duration // how long after a confirmation a lease may still be renewed that does not know of it
	lastNonce       uint64
	issued          []nonce
	completedBefore time.Time // what was confirmed before this is carried out everywhere, for certain; zero: nothing is known
}

// Window is how long after a cancellation was confirmed a lease may be renewed by who does not know of it: within the
// time that users are told, less the longest that a worker's tasks outlive a 200. Both clocks may drift. It is
// negative if the settings leave no such time.
func Window(cancelTimeout, maxLeaseAge time.Duration) time.Duration {
	return cancelTimeout - cancelTimeout/500 - maxLeaseAge
}

// New makes the horizon of a process that has just started: it knows nothing. Stamps begin anywhere, so that those of an earlier life
// of this process are not taken for its own.
func New(window time.Duration, rng *rand.Rand) *Limit {
	return &Limit{window: window, lastNonce: rng.Uint64() | 1}
}

// NewNonce makes a number that goes with an answer to a leader; its next greeting brings it back.
func (h *Limit) NewNonce(now time.Time) uint64 {
	h.lastNonce++
	if h.lastNonce == 0 {
		h.lastNonce++
	}
	h.issued = append(h.issued, nonce{h.lastNonce, now})
	if len(h.issued) > maxNonces {
		h.issued = h.issued[1:]
	}
	return h.lastNonce
}

// RecordLeaderProgress takes in the word of a leader that has read its ledger and was entitled when it said so: what was confirmed longer
// than age before that is carried out. The word was given after the stamp was made that it brings back; one
// without a stamp of ours may be as old as any and tells nothing.
func (h *Limit) RecordLeaderProgress(echoedNonce uint64, oldestCancellationAge time.Duration) {
	if echoedNonce == 0 || oldestCancellationAge < 0 {
		return
	}
	for _, issued := range h.issued {
		if issued.value == echoedNonce {
			h.advance(issued.issuedAt.Add(-oldestCancellationAge - oldestCancellationAge/500))
		}
	}
}

// RecordLoaded takes in that this controller leads and has read its ledger: it knows of every confirmation, and all before
// oldest are carried out.
func (h *Limit) RecordLoaded(oldestCancellation time.Time) { h.advance(oldestCancellation) }

func (h *Limit) advance(completedBefore time.Time) {
	if completedBefore.After(h.completedBefore) {
		h.completedBefore = completedBefore
	}
}

// CompletedBefore is the time before which everything that was confirmed is carried out; zero: nothing is known.
func (h *Limit) CompletedBefore() time.Time { return h.completedBefore }

// RenewUntil is until when leases may be renewed without the ledger: not at all if nothing is known.
func (h *Limit) RenewUntil() time.Time {
	if h.completedBefore.IsZero() || h.window <= 0 {
		return time.Time{}
	}
	return h.completedBefore.Add(h.window)
}

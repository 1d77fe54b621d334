// Package horizon says until when a controller that leads and has not read its ledger may renew workers' leases.
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
package horizon

import (
	"math/rand/v2"
	"time"
)

// remembered is how many stamps are kept: those of the greetings of some seconds.
const remembered = 16

type stamp struct {
	number uint64
	at     time.Time
}

// Horizon is what a controller knows of cancellations that others may have confirmed.
type Horizon struct {
	reach  time.Duration // how long after a confirmation a lease may still be renewed that does not know of it
	next   uint64
	stamps []stamp
	since  time.Time // what was confirmed before this is carried out everywhere, for certain; zero: nothing is known
}

// Reach is how long after a cancellation was confirmed a lease may be renewed by who does not know of it: within the
// time that users are told, less the longest that a worker's tasks outlive a 200. Both clocks may drift. It is
// negative if the settings leave no such time.
func Reach(cancelWithin, leaseEnd time.Duration) time.Duration {
	return cancelWithin - cancelWithin/500 - leaseEnd
}

// New makes the horizon of a process that has just started: it knows nothing. Stamps begin anywhere, so that those of an earlier life
// of this process are not taken for its own.
func New(reach time.Duration, rng *rand.Rand) *Horizon {
	return &Horizon{reach: reach, next: rng.Uint64() | 1}
}

// Stamp makes a number that goes with an answer to a leader; its next greeting brings it back.
func (h *Horizon) Stamp(now time.Time) uint64 {
	h.next++
	if h.next == 0 {
		h.next++
	}
	h.stamps = append(h.stamps, stamp{h.next, now})
	if len(h.stamps) > remembered {
		h.stamps = h.stamps[1:]
	}
	return h.next
}

// Heard takes in the word of a leader that has read its ledger and was entitled when it said so: what was confirmed longer
// than age before that is carried out. The word was given after the stamp was made that it brings back; one
// without a stamp of ours may be as old as any and tells nothing.
func (h *Horizon) Heard(echo uint64, age time.Duration) {
	if echo == 0 || age < 0 {
		return
	}
	for _, s := range h.stamps {
		if s.number == echo {
			h.know(s.at.Add(-age - age/500))
		}
	}
}

// Read takes in that this controller leads and has read its ledger: it knows of every confirmation, and all before
// oldest are carried out.
func (h *Horizon) Read(oldest time.Time) { h.know(oldest) }

func (h *Horizon) know(since time.Time) {
	if since.After(h.since) {
		h.since = since
	}
}

// Since is the time before which everything that was confirmed is carried out; zero: nothing is known.
func (h *Horizon) Since() time.Time { return h.since }

// Until is until when leases may be renewed without the ledger: not at all if nothing is known.
func (h *Horizon) Until() time.Time {
	if h.since.IsZero() || h.reach <= 0 {
		return time.Time{}
	}
	return h.since.Add(h.reach)
}

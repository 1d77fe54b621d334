package election

import (
	"time"

	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/client"
)

// role is the role of a controller in the election.
type role int

const (
	roleFollower role = iota
	roleCandidate
	roleLeader
)

// leaderState is the state of a leader. becomeFollower clears it, except for the fencing token
// and the time of election, which stay until the next one.
type leaderState struct {
	fencingToken uint64
	electedAt    time.Time
	grants       map[string]*heldGrant // by the name of the peer that gave it

	// peerServedSince is when a peer first responded that the state service answers it while this leader's renewals
	// fail; zero: no peer has.
	peerServedSince time.Time

	// stateLoaded is set if oldestCancellation is known.
	stateLoaded bool
	// oldestCancellation is the earliest confirmation of a cancellation whose tasks may still run. If there is no such
	// cancellation it is the time of the check.
	oldestCancellation time.Time
}

// followerState is the state of a controller that does not lead.
type followerState struct {
	grant      givenGrant
	restart    restartGuard
	key        keyState
	candidacy  candidacy
	stateProbe stateProbe

	// releasedLeaseID is the lease of a transferred leadership, which this controller is to revoke; 0: none.
	releasedLeaseID uint64
}

// becomeFollower makes this controller a follower, which reads the leader's key at nextReadAt.
func (e *Election) becomeFollower(nextReadAt time.Time) {
	e.role = roleFollower
	e.epoch++
	e.lease.resetRenewal()
	e.leader.grants = map[string]*heldGrant{}
	e.leader.peerServedSince = time.Time{}
	e.leader.stateLoaded = false
	e.follower.key.readPending = false
	e.follower.key.absent = false
	e.follower.key.nextReadAt = nextReadAt
}

// becomeCandidate makes this controller a candidate, which does not watch the leader's key.
func (e *Election) becomeCandidate() {
	e.role = roleCandidate
	e.epoch++
	e.follower.key.readPending = false
}

// becomeLeader starts a leadership, unless a grant was given or the lease expired in the meantime. The duration of the
// lease counts from leaseSentAt, when it was requested.
func (e *Election) becomeLeader(now time.Time, outbox *client.Outbox, fencingToken uint64, leaseSentAt time.Time) {
	validUntil := leaseSentAt.Add(e.options.reliedDuration(e.options.LeaseDuration))
	if e.isBoundByGrant(now) || !now.Before(validUntil) {
		e.revokeLease(outbox)
		e.becomeFollower(now.Add(e.options.readRetryInterval()))
		return
	}
	e.role = roleLeader
	e.epoch++
	e.follower.key.absent = false
	e.lease.resetRenewal()
	e.lease.validUntil = validUntil
	e.lease.nextRenewalAt = leaseSentAt.Add(e.options.renewalInterval())
	e.leader.stateLoaded = false
	e.leader.fencingToken = fencingToken
	e.leader.electedAt = now
	e.leader.grants = map[string]*heldGrant{}
	e.connectivity.StartLeadership(now)
	e.log.Info("leader elected", logkeys.FencingToken, fencingToken)
}

// StepDown ends the leadership, if there is one, and revokes its lease. The reason is logged.
func (e *Election) StepDown(now time.Time, outbox *client.Outbox, reason string) {
	if e.role != roleLeader {
		return
	}
	e.log.Info("leader lease lost", logkeys.FencingToken, e.leader.fencingToken, logkeys.Reason, reason,
		logkeys.Duration, now.Sub(e.leader.electedAt).Round(time.Millisecond))
	e.revokeLease(outbox)
	e.becomeFollower(now)
}

// inEpoch returns a Done function that calls done unless the role has changed since.
func (e *Election) inEpoch(done func(now time.Time, result client.Result)) func(time.Time, client.Result) {
	epoch := e.epoch
	return func(now time.Time, result client.Result) {
		if e.epoch == epoch {
			done(now, result)
		}
	}
}

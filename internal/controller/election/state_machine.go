package election

import (
	"time"

	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/client"
)

// role is what a controller is in the election.
type role int

const (
	roleFollower role = iota
	roleCandidate
	roleLeader
)

// leaderState is what a controller keeps of its own leadership. becomeFollower clears it, except for the fencing token
// and the time of election, which stay until the next one.
type leaderState struct {
	fencingToken uint64
	electedAt    time.Time
	grants       map[string]*heldGrant // by the name of the peer that gave it

	// peerServedSince is since when the state service has been known to answer a peer while our renewals fail;
	// zero: it is not known to.
	peerServedSince time.Time

	// stateLoaded says that oldestCancellation is known.
	stateLoaded bool
	// oldestCancellation is when the earliest of the confirmed cancellations whose tasks may still run was
	// confirmed; without any, the time at which that was found.
	oldestCancellation time.Time
}

// followerState is what a controller keeps while it follows another, or until another leads.
type followerState struct {
	grant      givenGrant
	restart    restartGuard
	key        keyState
	candidacy  candidacy
	stateProbe stateProbe

	// releasedLeaseID is the lease of a leadership that was transferred, which is still to be revoked; 0: none.
	releasedLeaseID uint64
}

// becomeFollower starts to follow, and reads the leader's key at nextReadAt.
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

// becomeCandidate ends the watch of the leader's key.
func (e *Election) becomeCandidate() {
	e.role = roleCandidate
	e.epoch++
	e.follower.key.readPending = false
}

// becomeLeader starts a leadership, unless a grant was given or the lease expired in the meantime. The lease counts
// from leaseSentAt, when it was requested.
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

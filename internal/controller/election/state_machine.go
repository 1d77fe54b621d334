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

// leaderState is the state of a leader. becomeFollower clears it, except for fencingToken and electedAt, which keep their
// values until the next election.
type leaderState struct {
	fencingToken uint64
	electedAt    time.Time
	grants       map[string]*heldGrant // by the name of the peer that gave it

	// peerReachesStateSince is when a peer first responded that it reaches the state service, while this leader's
	// renewals fail. It is zero if no peer has.
	peerReachesStateSince time.Time

	// stateLoaded is set if oldestCancellation is valid.
	stateLoaded bool
	// oldestCancellation is when the oldest cancellation whose tasks may still run was confirmed. If there is no such
	// cancellation, it is the time of the check.
	oldestCancellation time.Time
}

// followerState is the state of a controller that does not lead.
type followerState struct {
	grant      givenGrant
	restart    restartGuard
	key        keyState
	candidacy  candidacy
	stateProbe stateProbe

	// releasedLeaseID is the lease of a transferred leadership that this controller has to revoke; 0 if there is none.
	releasedLeaseID uint64
}

// becomeFollower makes this controller a follower that reads the leader's key at nextReadAt.
func (e *Election) becomeFollower(nextReadAt time.Time) {
	e.role = roleFollower
	e.epoch++
	e.lease.resetRenewal()
	e.leader.grants = map[string]*heldGrant{}
	e.leader.peerReachesStateSince = time.Time{}
	e.leader.stateLoaded = false
	e.follower.key.readPending = false
	e.follower.key.absent = false
	e.follower.key.nextReadAt = nextReadAt
}

// becomeCandidate makes this controller a candidate. A candidate does not watch the leader's key.
func (e *Election) becomeCandidate() {
	e.role = roleCandidate
	e.epoch++
	e.follower.key.readPending = false
}

// becomeLeader starts a leadership. If a grant was given or the lease expired in the meantime, this controller revokes the
// lease and becomes a follower instead. The duration of the lease counts from leaseSentAt, when the lease was requested.
func (e *Election) becomeLeader(now time.Time, outbox *client.Outbox, fencingToken uint64, leaseSentAt time.Time) {
	validUntil := leaseSentAt.Add(e.options.shortenForDrift(e.options.LeaseDuration))
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

// StepDown ends the leadership, revokes its lease and logs the reason. It has no effect unless this controller leads.
func (e *Election) StepDown(now time.Time, outbox *client.Outbox, reason string) {
	if e.role != roleLeader {
		return
	}
	e.log.Info("leader lease lost", logkeys.FencingToken, e.leader.fencingToken, logkeys.Reason, reason,
		logkeys.Duration, now.Sub(e.leader.electedAt).Round(time.Millisecond))
	e.revokeLease(outbox)
	e.becomeFollower(now)
}

// inEpoch returns a Done function that calls done only if the role has not changed in the meantime.
func (e *Election) inEpoch(done func(now time.Time, result client.Result)) func(time.Time, client.Result) {
	epoch := e.epoch
	return func(now time.Time, result client.Result) {
		if e.epoch == epoch {
			done(now, result)
		}
	}
}

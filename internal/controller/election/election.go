// Package election elects the one controller that may act.
//
// The leader holds a key of the state service that is bound to a short lease; the revision at which the key was
// created is the leader's fencing token. This package determines how long the leader may act: until its lease expires.
// Leader-lease grants extend this time while the state service is unreachable. A grant is the promise of another controller
// not to campaign for a given time. If every other controller has given one, the leader may act until the first of them
// expires. The package also decides when leadership is transferred to a controller with better connectivity.
//
// Each process has one Election. It holds the role, the lease, the grants held and given, and the state of the
// connections to the state service, the other controllers and the workers. An Election never blocks and never sends
// anything itself: it adds calls to a client.Outbox, and their Done functions run on the event loop that calls Tick.
// Nothing is stored on disk. A restarted process does not know the grants that it gave before the restart, and does not
// campaign until they have expired.
//
// Design note: docs/design/election.md.
package election

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"gullrudder/internal/controller/election/connectivity"
	"gullrudder/internal/controller/election/renewal"
	"gullrudder/internal/wire/client"
)

// LeaderKey is the key of the state service that the leader holds.
const LeaderKey = "leader"

// Peer is another controller. Addr is its peer address, on which it serves PingPath and LeaderQueryPath.
type Peer struct{ Name, Addr string }

// Options are the parameters of an election, which do not change after New.
type Options struct {
	Name  string // name of this controller
	Peers []Peer // the other controllers; empty if there is only one controller

	LeaseDuration time.Duration // duration of the lease that the leader's key is bound to
	GrantDuration time.Duration // duration of a leader-lease grant
	// SafetyMargin is subtracted from the time that this controller may lead, and added to the time that it must not campaign.
	SafetyMargin time.Duration

	HeartbeatInterval time.Duration // time between two heartbeats of a worker
	RenewalWindow     time.Duration // result of renewal.Window
}

// Election is one controller's view of the election. It is not safe for concurrent use: the event loop calls its
// methods and the Done functions of its calls.
type Election struct {
	options Options
	log     *slog.Logger
	rng     *rand.Rand

	role  role
	epoch int // incremented at each change of role; responses to calls of an earlier epoch are ignored
	lease stateLease

	leader   leaderState
	follower followerState
	contact  contactTimes

	connectivity    *connectivity.Monitor
	renewalLimit    *renewal.Limit
	loggedMalformed map[string]bool // paths of the state service for which a malformed response was logged
}

// New returns the election of a process that started at now. Its initial role is follower.
func New(options Options, now time.Time, rng *rand.Rand, log *slog.Logger) *Election {
	return &Election{
		options:         options,
		log:             log,
		rng:             rng,
		leader:          leaderState{grants: map[string]*heldGrant{}},
		follower:        followerState{restart: restartGuard{startedAt: now, notLeading: map[string]bool{}}},
		contact:         contactTimes{peerAt: now, stateServiceAt: now},
		connectivity:    connectivity.New(options.HeartbeatInterval),
		renewalLimit:    renewal.New(options.RenewalWindow, rng),
		loggedMalformed: map[string]bool{},
	}
}

// Tick adds the calls that are due to outbox. The event loop calls it at every tick, in every role.
func (e *Election) Tick(now time.Time, outbox *client.Outbox) {
	// A late renewal may still succeed. Success proves that there was no other leader, so that the state of this one is
	// still valid. Therefore it stays leader for one more lease duration, but does not act.
	if e.role == roleLeader && now.Sub(e.leaseValidUntil()) > e.options.LeaseDuration {
		e.StepDown(now, outbox, "leader lease expired")
	}
	switch e.role {
	case roleLeader:
		e.renewLease(now, outbox)
		e.requestGrants(now, outbox)
	case roleFollower:
		e.revokeReleasedLease(outbox)
		e.probeStateService(outbox)
		e.stepFollower(now, outbox)
		e.probePeers(now, outbox)
	}
}

// stepFollower watches the leader's key. It campaigns once the key is absent, no grant forbids it and the campaign delay is over.
func (e *Election) stepFollower(now time.Time, outbox *client.Outbox) {
	e.queryPeersForLeader(now, outbox)
	key := &e.follower.key
	if !key.readPending && !now.Before(key.nextReadAt) {
		e.readLeaderKey(outbox)
	}
	if key.absent && !e.isBoundByGrant(now) && !now.Before(e.follower.candidacy.campaignAt) {
		e.campaign(now, outbox)
	}
}

// HoldsLease reports whether this controller may act as the leader at now.
func (e *Election) HoldsLease(now time.Time) bool {
	return e.role == roleLeader && now.Before(e.leaseValidUntil())
}

// leaseValidUntil returns when the leader lease expires unless it is renewed. This is the later of two times: the expiry
// of the lease in the state service and, if every peer has given a grant, the first expiry of these grants. It is the
// zero time unless IsLeader.
func (e *Election) leaseValidUntil() time.Time {
	if e.role != roleLeader {
		return time.Time{}
	}
	if grantedUntil, ok := e.grantsValidUntil(); ok && grantedUntil.After(e.lease.validUntil) {
		return grantedUntil
	}
	return e.lease.validUntil
}

// IsLeader reports whether this controller was elected and has not stepped down. It may act only while HoldsLease is
// also true. While a renewal is late, IsLeader is true and HoldsLease is false.
func (e *Election) IsLeader() bool { return e.role == roleLeader }

// FencingToken returns the fencing token of this controller's current leadership, or of its last one. It is 0 if this
// process has never led.
func (e *Election) FencingToken() uint64 { return e.leader.fencingToken }

// FollowedToken returns the highest fencing token of the leaders to which this controller has given a grant; 0 if none.
func (e *Election) FollowedToken() uint64 { return e.follower.grant.fencingToken }

// Leader returns the name of the current leader, which may be this controller. It is "" if no leader has sent a ping
// recently.
func (e *Election) Leader(now time.Time) string {
	if e.HoldsLease(now) {
		return e.options.Name
	}
	grant := &e.follower.grant
	if grant.leaderName != "" && now.Sub(grant.pingedAt) < e.options.leaderFreshness() {
		return grant.leaderName
	}
	return ""
}

// ElectionDelay returns the minimum time until this controller can be elected, which is the remaining time of the grant
// that it has given. It is never negative.
func (e *Election) ElectionDelay(now time.Time) time.Duration {
	return max(e.follower.grant.until.Sub(now), 0)
}

// Connectivity returns the monitor of the connections between workers and controllers. It exists for the whole process,
// in every role.
func (e *Election) Connectivity() *connectivity.Monitor { return e.connectivity }

// RenewalLimit returns the limit on renewing worker leases before the state is loaded. It exists for the whole process,
// in every role.
func (e *Election) RenewalLimit() *renewal.Limit { return e.renewalLimit }

// SetOldestCancellation records that every cancellation that was confirmed before oldest is completed. A leader that has
// loaded its state calls it, and its next pings contain the age of oldest. known is false if the confirmation time of
// some cancellation is unknown: then oldest is ignored, and the pings contain no age.
func (e *Election) SetOldestCancellation(now, oldest time.Time, known bool) {
	e.leader.stateLoaded = known && e.HoldsLease(now)
	if e.leader.stateLoaded {
		e.leader.oldestCancellation = oldest
		e.renewalLimit.RecordLoaded(oldest)
	}
}

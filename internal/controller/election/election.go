// Package election elects the one controller that may act.
//
// The leader holds a key of the state service that is bound to a short lease; the revision at which the key was
// created is the leader's fencing token. This package counts how long the leader may act: until its lease expires,
// or, while the state service is unreachable, for as long as every other controller has granted it leader-lease time.
// It also decides when leadership is transferred to a controller that is better connected.
//
// It owns one Election for each process: the role, the lease, the grants held and given, and the state of the
// connections to the state service, the other controllers and the workers. It never waits and never sends anything
// itself: calls are added to a client.Outbox, and their Done functions run on the event loop that calls Tick. It keeps
// nothing on disk: a restarted process does not know its earlier grants, and does not campaign until they have expired.
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

// Peer is another controller and the address of its peer link.
type Peer struct{ Name, Addr string }

// Options are the fixed parameters of an election.
type Options struct {
	Name  string // of this controller
	Peers []Peer // the other controllers

	LeaseDuration time.Duration // of the lease that the leader's key is bound to
	GrantDuration time.Duration // of a leader-lease grant
	SafetyMargin  time.Duration // taken off a duration that this controller relies on, added to one that binds it

	HeartbeatInterval time.Duration // between two heartbeats of a worker
	RenewalWindow     time.Duration // see renewal.Window
}

// Election is the election as one controller sees it. It is not safe for concurrent use: the event loop calls it,
// and runs the Done functions of its calls.
type Election struct {
	options Options
	log     *slog.Logger
	rng     *rand.Rand

	role  role
	epoch int // counts changes of role; responses to calls of an earlier epoch are ignored
	lease stateLease

	leader   leaderState
	follower followerState
	contact  contactTimes

	connectivity    *connectivity.Monitor
	renewalLimit    *renewal.Limit
	loggedMalformed map[string]bool // paths of the state service whose malformed responses were logged
}

// New returns the election of a process that started at now. It begins as a follower.
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

// Tick makes the calls that are due. It has to be called at every tick of the event loop, whatever the role.
func (e *Election) Tick(now time.Time, outbox *client.Outbox) {
	// A late renewal may still succeed. Then there was no other leader, and the state of this one is still valid. So
	// it keeps its leadership for one more lease duration, without acting.
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

// stepFollower watches the leader's key and campaigns once it is absent and no grant forbids it.
func (e *Election) stepFollower(now time.Time, outbox *client.Outbox) {
	e.queryVotes(now, outbox)
	key := &e.follower.key
	if !key.readPending && !now.Before(key.nextReadAt) {
		e.readLeaderKey(outbox)
	}
	if key.absent && !e.isBoundByGrant(now) && !now.Before(e.follower.candidacy.campaignAt) {
		e.campaign(now, outbox)
	}
}

// HoldsLease reports whether this controller may act at now as the leader.
func (e *Election) HoldsLease(now time.Time) bool {
	return e.role == roleLeader && now.Before(e.leaseValidUntil())
}

// leaseValidUntil returns when the leader lease expires unless it is renewed: when the lease of the state service
// expires or, if every peer has given a grant and that is later, when the first of these grants expires. It is zero
// unless IsLeader.
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
// true as well: the two differ while a renewal is late.
func (e *Election) IsLeader() bool { return e.role == roleLeader }

// FencingToken returns the token of this controller's present leadership, or of its last one.
func (e *Election) FencingToken() uint64 { return e.leader.fencingToken }

// FollowedToken returns the highest fencing token that this controller has given a grant to.
func (e *Election) FollowedToken() uint64 { return e.follower.grant.fencingToken }

// Leader returns the name of the leader, or "" if no leader has sent a ping recently.
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

// ElectionDelay returns the least time until this controller can be elected: the remaining time of the grant that it
// has given.
func (e *Election) ElectionDelay(now time.Time) time.Duration {
	return max(e.follower.grant.until.Sub(now), 0)
}

// Connectivity returns the monitor of the connections between workers and controllers.
func (e *Election) Connectivity() *connectivity.Monitor { return e.connectivity }

// RenewalLimit returns the limit until which leases may be renewed before the state is loaded.
func (e *Election) RenewalLimit() *renewal.Limit { return e.renewalLimit }

// SetOldestCancellation records, for a leader that has loaded its state, that every cancellation confirmed before
// oldest is completed. known is false if the time of confirmation of some cancellation is unknown. The next pings
// contain it.
func (e *Election) SetOldestCancellation(now, oldest time.Time, known bool) {
	e.leader.stateLoaded = known && e.HoldsLease(now)
	if e.leader.stateLoaded {
		e.leader.oldestCancellation = oldest
		e.renewalLimit.RecordLoaded(oldest)
	}
}

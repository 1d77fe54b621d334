// Package election elects the one controller that decides. The leader holds a key on a
// short lease of the state service; the key's mark is its token. What entitles it to
// act is counted here, and nowhere else.
package election

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/url"
	"strconv"
	"time"

	"gullrudder/internal/controller/election/connectivity"
	"gullrudder/internal/controller/election/renewal"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
)

// LeaderKey is where the leader's name is kept.
const LeaderKey = "leader"

// Peer is another controller, reached over the peer link.
type Peer struct{ Name, Addr string }

// Options of the election. Drift and Slack make every span that another host counts
// shorter for the one that relies on it and longer for the one that promised it.
type Options struct {
	Name              string
	Peers             []Peer
	LeaseDuration     time.Duration
	GrantDuration     time.Duration
	SafetyMargin      time.Duration
	HeartbeatInterval time.Duration // how often a worker reports
	RenewalWindow     time.Duration // how long after a confirmed cancellation a lease may be renewed by who does not know of it
}

type role int

const (
	roleFollower role = iota
	roleCandidate
	roleLeader
)

// Election is the election as one controller sees it.
type Election struct {
	options Options
	log     *slog.Logger
	rng     *rand.Rand

	role         role
	startedAt    time.Time
	electedAt    time.Time // when the present leadership began
	fencingToken uint64
	leaseID      uint64

	// as leader
	stateLeaseValidUntil time.Time
	nextRenewalAt        time.Time
	renewalPending       bool
	grants               map[string]*peerGrant
	failedRenewals       int       // renewals in a row that failed
	firstFailureSentAt   time.Time // when the first of them was sent
	lastRenewalSentAt    time.Time // when the last was sent
	peerServedSince      time.Time // since when others are known to be answered while we are not

	// as follower
	grantedUntil          time.Time // we neither campaign nor act before this
	grantedToken          uint64    // the highest token that was promised to
	stateServiceOKAt      time.Time // when the state service last answered us
	probeRequested        bool      // the leader asks whether it does
	probePending          bool
	releasedLeaseID       uint64 // the lease of a leadership that was handed over, to be ended
	notLeadingPeers       map[string]bool
	nextVoteQueryAt       time.Time
	readPending           bool
	nextReadAt            time.Time
	keyAbsent             bool // the state service told us that there is no leader
	revision              uint64
	campaignAt            time.Time
	leaderName            string
	leaderPingedAt        time.Time
	epoch                 int // outdates answers to calls of an earlier mode
	connectivity          *connectivity.Monitor
	renewalLimit          *renewal.Limit
	stateLoaded           bool            // as leader: the ledger is read, and oldest is known
	oldestCancellation    time.Time       // of the confirmed cancellations whose tasks may still be there; the time of asking if there are none
	peerContactAt         time.Time       // when another controller last spoke to us, or answered
	stateServiceContactAt time.Time       // when the state service last answered, whatever it said
	nextPeerProbeAt       time.Time       // no other controller is called before this, only to hear whether it is there
	loggedMalformed       map[string]bool // kinds of malformed answers that were told of
	preferredSuccessor    string          // who is to lead next, as the last leader said; empty: whoever is first
}

type peerGrant struct {
	requestPending bool
	nextRequestAt  time.Time
	sentAt         time.Time // when the request was sent whose promise we hold
	granted        bool
	nonce          uint64 // of its last answer
}

// New makes the election of a process that has just started.
func New(options Options, now time.Time, rng *rand.Rand, log *slog.Logger) *Election {
	return &Election{
		options:               options,
		log:                   log,
		rng:                   rng,
		startedAt:             now,
		peerContactAt:         now,
		stateServiceContactAt: now,
		notLeadingPeers:       map[string]bool{},
		loggedMalformed:       map[string]bool{},
		grants:                map[string]*peerGrant{},
		connectivity:          connectivity.New(options.HeartbeatInterval),
		renewalLimit:          renewal.New(options.RenewalWindow, rng),
	}
}

// Connectivity is what is known of whether the workers reach this controller.
func (e *Election) Connectivity() *connectivity.Monitor { return e.connectivity }

// RenewalLimit is what is known of the cancellations that other controllers may have confirmed.
func (e *Election) RenewalLimit() *renewal.Limit { return e.renewalLimit }

// SetOldestCancellation takes in from a leader that has read its ledger that all cancellations which were confirmed before oldest are carried
// out; not known: there are some of which nobody can tell when they were confirmed. It goes with the next greetings.
func (e *Election) SetOldestCancellation(now, oldestCancellation time.Time, known bool) {
	e.stateLoaded = known && e.HoldsLease(now)
	if e.stateLoaded {
		e.oldestCancellation = oldestCancellation
		e.renewalLimit.RecordLoaded(oldestCancellation)
	}
}

// minusDrift is a span counted by the side that relies on it: less the drift of two
// clocks (each up to 0.05 %) and a slack.
func (e *Election) minusDrift(d time.Duration) time.Duration {
	return d - d/500 - e.options.SafetyMargin
}

// plusDrift is a span counted by the side that is bound by it.
func (e *Election) plusDrift(d time.Duration) time.Duration {
	return d + d/500 + e.options.SafetyMargin
}

// LeaseValidUntil is when the right to act ends unless it is renewed before.
func (e *Election) LeaseValidUntil() time.Time {
	if e.role != roleLeader {
		return time.Time{}
	}
	until := e.stateLeaseValidUntil
	if len(e.options.Peers) == 0 {
		return until
	}
	var earliest time.Time
	for _, peer := range e.options.Peers {
		grant := e.grants[peer.Name]
		if grant == nil || !grant.granted {
			return until
		}
		end := grant.sentAt.Add(e.minusDrift(e.options.GrantDuration))
		if earliest.IsZero() || end.Before(earliest) {
			earliest = end
		}
	}
	if earliest.After(until) {
		return earliest
	}
	return until
}

// HoldsLease reports whether this controller may act now.
func (e *Election) HoldsLease(now time.Time) bool {
	return e.role == roleLeader && now.Before(e.LeaseValidUntil())
}

// IsLeader reports whether this controller holds the leader's key as far as it knows. It may
// act only while it is Entitled too: in between lies a renewal that is late.
func (e *Election) IsLeader() bool { return e.role == roleLeader }

// FencingToken is the token of the present leadership.
func (e *Election) FencingToken() uint64 { return e.fencingToken }

// FollowedToken is the token of the newest leadership that this controller has followed.
func (e *Election) FollowedToken() uint64 { return e.grantedToken }

// Leader names the controller that leads, as far as is known: empty if not freshly heard of.
func (e *Election) Leader(now time.Time) string {
	if e.HoldsLease(now) {
		return e.options.Name
	}
	if e.leaderName != "" && now.Sub(e.leaderPingedAt) < e.options.GrantDuration*2/3 {
		return e.leaderName
	}
	return ""
}

type leaderRecord struct {
	Name    string `msgpack:"name"`
	LeaseID uint64 `msgpack:"permit"`
}

// Tick does what is due.
func (e *Election) Tick(now time.Time, box *client.Outbox) {
	// A renewal that is only late finds the lease alive: then nobody else has led, and what
	// this leader knows still holds. So the leadership is kept a lease longer, without acting.
	if e.role == roleLeader && now.Sub(e.LeaseValidUntil()) > e.options.LeaseDuration {
		e.StepDown(now, box, "entitlement ended")
	}
	switch e.role {
	case roleLeader:
		e.renewLease(now, box)
		e.requestGrants(now, box)
	case roleFollower:
		e.probeStateService(now, box)
		e.stepFollower(now, box)
		e.probePeers(now, box)
	}
}

const (
	// isolationTimeout is after how long without a word of the others and of the state service this controller is cut off from both.
	isolationTimeout = 5 * time.Second
	// peerProbeInterval is how often the others are called when nobody has spoken for as long.
	peerProbeInterval = time.Second
)

// IsIsolated reports whether neither the state service nor any other controller has said a word for a while. While only
// the state service is away, for everybody, the others are there: then it is false, and users may stay here.
func (e *Election) IsIsolated(now time.Time) bool {
	return len(e.options.Peers) > 0 && now.Sub(e.peerContactAt) >= isolationTimeout && now.Sub(e.stateServiceContactAt) >= isolationTimeout
}

// probePeers asks the others for a word if none has come of late: between two leaders nobody greets anybody.
func (e *Election) probePeers(now time.Time, box *client.Outbox) {
	if now.Sub(e.peerContactAt) < peerProbeInterval || now.Before(e.nextPeerProbeAt) {
		return
	}
	e.nextPeerProbeAt = now.Add(peerProbeInterval)
	for _, peer := range e.options.Peers {
		box.Add(client.Call{
			Destination: client.PeerController, Addr: peer.Addr, Method: "POST", Path: "/peer/inquiry", Timeout: e.options.GrantDuration / 3,
			Done: func(now time.Time, r client.Result) { e.recordPeerContact(now, r) },
		})
	}
}

func (e *Election) recordPeerContact(now time.Time, r client.Result) {
	if r.Status != 0 {
		e.peerContactAt = now
	}
}

func (e *Election) recordStateServiceContact(now time.Time, r client.Result) {
	if r.Status != 0 {
		e.stateServiceContactAt = now
	}
}

func (e *Election) revokeLease(box *client.Outbox) {
	if e.leaseID != 0 {
		box.Add(client.Call{
			Destination: client.StateService, Method: "DELETE", Path: fmt.Sprintf("/leases/%d", e.leaseID),
			Timeout: time.Second, Done: func(time.Time, client.Result) {},
		})
	}
	e.leaseID = 0
}

// becomeFollower goes (back) to following; the leader key is read anew at readAt.
func (e *Election) becomeFollower(now, nextReadAt time.Time) {
	e.role = roleFollower
	e.epoch++
	e.renewalPending, e.readPending, e.keyAbsent, e.failedRenewals, e.peerServedSince, e.stateLoaded = false, false, false, 0, time.Time{}, false
	e.grants = map[string]*peerGrant{}
	e.nextReadAt = nextReadAt
}

func (e *Election) renewLease(now time.Time, box *client.Outbox) {
	if e.renewalPending || now.Before(e.nextRenewalAt) {
		return
	}
	e.renewalPending, e.lastRenewalSentAt = true, now
	epoch, sent := e.epoch, now
	box.Add(client.Call{
		Destination: client.StateService, Method: "POST", Path: fmt.Sprintf("/leases/%d/touch", e.leaseID),
		Timeout: e.options.LeaseDuration / 3,
		Done: func(now time.Time, r client.Result) {
			if e.epoch != epoch {
				return
			}
			e.renewalPending = false
			e.recordStateServiceContact(now, r)
			if r.Status == 200 {
				e.failedRenewals = 0
				e.peerServedSince = time.Time{}
			} else if e.failedRenewals++; e.failedRenewals == 1 {
				e.firstFailureSentAt = sent
			}
			switch r.Status {
			case 200:
				e.stateLeaseValidUntil = sent.Add(e.minusDrift(e.options.LeaseDuration))
				e.nextRenewalAt = sent.Add(e.options.LeaseDuration / 4)
			case 404:
				e.leaseID = 0
				e.StepDown(now, box, "the state service ended the lease")
			default:
				e.nextRenewalAt = now.Add(e.options.LeaseDuration / 12)
			}
		},
	})
}

func (e *Election) stepFollower(now time.Time, box *client.Outbox) {
	e.queryVotes(now, box)
	if !e.readPending && !now.Before(e.nextReadAt) {
		e.readLeaderKey(now, box)
	}
	if e.keyAbsent && !e.isBoundByGrant(now) && !now.Before(e.campaignAt) {
		e.campaign(now, box)
	}
}

// isBoundByGrant reports whether a promise forbids to campaign: one that we gave, or one that an
// earlier process of this controller may have given shortly before we started.
func (e *Election) isBoundByGrant(now time.Time) bool {
	if now.Before(e.grantedUntil) {
		return true
	}
	return !e.allPeersNotLeading() && now.Before(e.startedAt.Add(e.plusDrift(e.options.GrantDuration)))
}

// allPeersNotLeading: every other controller has told this process that it does not lead,
// so nobody relies on what an earlier process promised.
func (e *Election) allPeersNotLeading() bool { return len(e.notLeadingPeers) == len(e.options.Peers) }

func (e *Election) queryVotes(now time.Time, box *client.Outbox) {
	if e.allPeersNotLeading() || now.Before(e.nextVoteQueryAt) || !now.Before(e.startedAt.Add(e.plusDrift(e.options.GrantDuration))) {
		return
	}
	e.nextVoteQueryAt = now.Add(e.options.GrantDuration / 10)
	for _, peer := range e.options.Peers {
		if e.notLeadingPeers[peer.Name] {
			continue
		}
		box.Add(client.Call{
			Destination: client.PeerController, Addr: peer.Addr, Method: "POST", Path: "/peer/inquiry",
			Timeout: e.options.GrantDuration / 3,
			Done: func(now time.Time, r client.Result) {
				e.recordPeerContact(now, r)
				var response VoteQueryResponse
				if r.Status == 200 && codec.Unmarshal(r.Body, &response) == nil && !response.IsLeader {
					e.notLeadingPeers[peer.Name] = true
				}
			},
		})
	}
}

func (e *Election) readLeaderKey(now time.Time, box *client.Outbox) {
	e.readPending = true
	epoch := e.epoch
	box.Add(client.Call{
		Destination: client.StateService, Method: "GET", Path: "/keys/" + LeaderKey, Timeout: time.Second,
		Done: func(now time.Time, r client.Result) {
			if e.epoch != epoch {
				return
			}
			e.readPending = false
			e.recordStateServiceContact(now, r)
			var response struct {
				Value leaderRecord `msgpack:"value"`
				Mark  uint64       `msgpack:"mark"`
				Tide  uint64       `msgpack:"tide"`
			}
			switch {
			case r.Status == 200 && codec.Unmarshal(r.Body, &response) == nil && response.Mark > 0:
				e.keyAbsent, e.revision = false, response.Mark
				e.watchLeaderKey(now, box)
			case r.Status == 404 && codec.Unmarshal(r.Body, &response) == nil:
				e.recordKeyAbsent(now)
				e.nextReadAt = now.Add(e.options.LeaseDuration / 6)
			default:
				if r.Status == 200 || r.Status == 404 {
					e.logMalformedOnce("the leader's key")
				}
				e.keyAbsent = false
				e.nextReadAt = now.Add(e.options.LeaseDuration / 8)
			}
		},
	})
}

// logMalformedOnce tells once of each kind of answer that makes no sense. It is taken as none.
func (e *Election) logMalformedOnce(subject string) {
	if !e.loggedMalformed[subject] {
		e.loggedMalformed[subject] = true
		e.log.Error("an answer of the state service makes no sense and is taken as none", "about", subject)
	}
}

func (e *Election) recordKeyAbsent(now time.Time) {
	if !e.keyAbsent {
		e.keyAbsent = true
		e.campaignAt = now.Add(time.Duration(e.rng.Int64N(int64(60 * time.Millisecond))))
		// Whom the workers do not reach waits longest, so that a leadership does not come back to it.
		switch {
		case e.connectivity.ShouldDeferCampaign(now):
			e.campaignAt = e.campaignAt.Add(3 * e.options.LeaseDuration)
		case e.preferredSuccessor != "" && e.preferredSuccessor != e.options.Name:
			e.campaignAt = e.campaignAt.Add(e.options.LeaseDuration / 2)
		}
		e.preferredSuccessor = ""
	}
}

func (e *Election) watchLeaderKey(now time.Time, box *client.Outbox) {
	e.readPending = true
	epoch := e.epoch
	wait := e.options.LeaseDuration * 2
	query := url.Values{
		"starts":  {LeaderKey},
		"from":    {strconv.FormatUint(e.revision, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	box.Add(client.Call{
		Destination: client.StateService, Method: "GET", Path: "/watch?" + query.Encode(), Timeout: wait + time.Second,
		Done: func(now time.Time, r client.Result) {
			if e.epoch != epoch {
				return
			}
			e.readPending = false
			e.recordStateServiceContact(now, r)
			var response struct {
				Tide uint64 `msgpack:"tide"`
				Log  []struct {
					Write string `msgpack:"write"`
					Drop  string `msgpack:"drop"`
				} `msgpack:"log"`
			}
			if r.Status != 200 || codec.Unmarshal(r.Body, &response) != nil || response.Tide < e.revision {
				// A tide that falls would show that the key went, which is long over.
				if r.Status == 200 {
					e.logMalformedOnce("changes of the leader's key")
				}
				e.nextReadAt = now.Add(e.options.LeaseDuration / 8)
				return
			}
			deleted := false
			for _, change := range response.Log {
				if change.Drop == LeaderKey {
					deleted = true
				}
				if change.Write == LeaderKey {
					deleted = false
				}
			}
			if deleted {
				e.recordKeyAbsent(now)
				e.nextReadAt = now.Add(e.options.LeaseDuration / 6)
				return
			}
			e.revision = response.Tide
			e.watchLeaderKey(now, box)
		},
	})
}

func (e *Election) campaign(now time.Time, box *client.Outbox) {
	e.role = roleCandidate
	e.epoch++
	e.readPending = false
	epoch, sent := e.epoch, now
	box.Add(client.Call{
		Destination: client.StateService, Method: "POST", Path: "/leases", Timeout: time.Second,
		Body: map[string]any{"ttl_ms": e.options.LeaseDuration.Milliseconds()},
		Done: func(now time.Time, r client.Result) {
			if e.epoch != epoch {
				return
			}
			var response struct {
				Permit uint64 `msgpack:"permit"`
			}
			if r.Status != 200 || codec.Unmarshal(r.Body, &response) != nil || response.Permit == 0 {
				e.becomeFollower(now, now.Add(e.options.LeaseDuration/8))
				return
			}
			e.leaseID = response.Permit
			e.claimLeaderKey(now, box, sent)
		},
	})
}

func (e *Election) claimLeaderKey(now time.Time, box *client.Outbox, leased time.Time) {
	epoch := e.epoch
	box.Add(client.Call{
		Destination: client.StateService, Method: "POST", Path: "/commit", Timeout: time.Second,
		Body: map[string]any{
			"guards": []any{map[string]any{"path": LeaderKey, "mark": 0}},
			"apply":  []any{map[string]any{"write": LeaderKey, "value": leaderRecord{e.options.Name, e.leaseID}, "permit": e.leaseID}},
		},
		Done: func(now time.Time, r client.Result) {
			if e.epoch != epoch {
				return
			}
			var response struct {
				Tide uint64 `msgpack:"tide"`
			}
			switch {
			case r.Status == 200 && codec.Unmarshal(r.Body, &response) == nil && response.Tide > 0:
				e.becomeLeader(now, box, response.Tide, leased)
			case r.IsUncertain():
				e.verifyClaim(now, box, leased)
			default:
				e.revokeLease(box)
				e.becomeFollower(now, now.Add(e.options.LeaseDuration/30))
			}
		},
	})
}

// verifyClaim: no answer came to our claim. If the key is not ours now, our lease is
// ended, so that a claim that is executed later is refused.
func (e *Election) verifyClaim(now time.Time, box *client.Outbox, leased time.Time) {
	epoch := e.epoch
	box.Add(client.Call{
		Destination: client.StateService, Method: "GET", Path: "/keys/" + LeaderKey, Timeout: time.Second,
		Done: func(now time.Time, r client.Result) {
			if e.epoch != epoch {
				return
			}
			var response struct {
				Value leaderRecord `msgpack:"value"`
				Mark  uint64       `msgpack:"mark"`
			}
			if r.Status == 200 && codec.Unmarshal(r.Body, &response) == nil && response.Mark > 0 && response.Value.Name == e.options.Name &&
				response.Value.LeaseID == e.leaseID {
				e.becomeLeader(now, box, response.Mark, leased)
				return
			}
			e.revokeLease(box)
			e.becomeFollower(now, now.Add(e.options.LeaseDuration/8))
		},
	})
}

func (e *Election) becomeLeader(now time.Time, box *client.Outbox, fencingToken uint64, leased time.Time) {
	until := leased.Add(e.minusDrift(e.options.LeaseDuration))
	if e.isBoundByGrant(now) || !now.Before(until) {
		e.revokeLease(box)
		e.becomeFollower(now, now.Add(e.options.LeaseDuration/8))
		return
	}
	e.role = roleLeader
	e.epoch++
	e.keyAbsent, e.renewalPending, e.failedRenewals, e.stateLoaded = false, false, 0, false
	e.fencingToken, e.electedAt, e.stateLeaseValidUntil = fencingToken, now, until
	e.nextRenewalAt = leased.Add(e.options.LeaseDuration / 4)
	e.grants = map[string]*peerGrant{}
	e.connectivity.StartLeadership(now)
	e.log.Info("leadership won", "token", fencingToken)
}

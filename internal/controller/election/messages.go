package election

import (
	"fmt"
	"time"

	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
)

// PingRequest is what the leader sends to each other controller; it asks for a promise. With Doubt it
// asks too whether the state service answers the other. With Yield the leadership is over: nobody
// relies on a promise to it any more, and whoever can is to end its lease; To is who had better lead
// next. Deaf says that no worker reaches the leader. With Read the leader has read its ledger, and all cancellations that
// were confirmed longer than Age ago are carried out; Echo is the stamp of the other's last answer.
type PingRequest struct {
	Name              string `msgpack:"name"`
	FencingToken      uint64 `msgpack:"token"`
	ProbeStateService bool   `msgpack:"doubt,omitempty"`
	ReleasedLeaseID   uint64 `msgpack:"yield,omitempty"`
	Successor         string `msgpack:"to,omitempty"`
	SuspendRedirects  bool   `msgpack:"deaf,omitempty"`

	StateLoaded           bool          `msgpack:"read,omitempty"`
	OldestCancellationAge time.Duration `msgpack:"age,omitempty"`
	EchoedNonce           uint64        `msgpack:"echo,omitempty"`
}

// PingResponse says whether the promise is given, whether the state service has answered of late, and how
// many workers came to the other controller since it knows that they do not reach the leader. Stamp tells when it
// was given, to the one who gave it.
type PingResponse struct {
	Granted        bool `msgpack:"promised"`
	StateServiceOK bool `msgpack:"sees,omitempty"`
	RecentWorkers  int  `msgpack:"callers,omitempty"`

	Nonce uint64 `msgpack:"stamp,omitempty"`
}

// VoteQueryResponse tells a newly started controller whether it may have been promised to.
type VoteQueryResponse struct {
	IsLeader bool `msgpack:"leading"`
}

// HandlePing answers the leader's request for a promise.
func (e *Election) HandlePing(now time.Time, request PingRequest) PingResponse {
	e.peerContactAt = now
	if request.ReleasedLeaseID != 0 {
		e.acceptTransfer(now, request)
		return PingResponse{}
	}
	if request.FencingToken < e.grantedToken {
		return PingResponse{} // of a leadership that is over: it came late, and nobody waits for the answer
	}
	if e.role != roleFollower || e.keyAbsent {
		// We campaign or lead, or know that the key is gone while the state service
		// works: the sender has lost its lease and must not be carried on.
		return PingResponse{StateServiceOK: e.role == roleFollower}
	}
	e.leaderName, e.leaderPingedAt = request.Name, now
	if until := now.Add(e.plusDrift(e.options.GrantDuration)); until.After(e.grantedUntil) {
		e.grantedUntil = until
	}
	e.grantedToken = max(e.grantedToken, request.FencingToken)
	e.probeRequested = e.probeRequested || request.ProbeStateService
	e.connectivity.RecordLeaderStatus(now, request.SuspendRedirects)
	if request.StateLoaded {
		e.renewalLimit.RecordLeaderProgress(request.EchoedNonce, request.OldestCancellationAge)
	}
	return PingResponse{
		Granted:        true,
		StateServiceOK: now.Sub(e.stateServiceOKAt) < e.options.GrantDuration/4,
		RecentWorkers:  e.connectivity.RecentWorkers(now),
		Nonce:          e.renewalLimit.NewNonce(now),
	}
}

// HandleVoteQuery answers a newly started controller. A leader whose renewal is late is not entitled, and may be so
// again by the renewal; the answer to a promise of that controller's earlier life may still be on its way to it and
// counts then. Told that nobody leads, the new process would not be bound by it.
func (e *Election) HandleVoteQuery(now time.Time) VoteQueryResponse {
	e.peerContactAt = now
	return VoteQueryResponse{IsLeader: e.role == roleLeader}
}

// acceptTransfer takes in that a leadership was handed over. A promise that was given to it binds no
// more, unless a later leader relies on one: a message like this may come minutes late.
func (e *Election) acceptTransfer(now time.Time, request PingRequest) {
	e.releasedLeaseID = request.ReleasedLeaseID
	if request.FencingToken < e.grantedToken {
		return // another leads since, and who is to follow it nobody has said
	}
	e.preferredSuccessor = request.Successor
	if e.role == roleFollower && request.FencingToken == e.grantedToken {
		e.grantedUntil = now
		e.leaderName = ""
	}
}

func (e *Election) requestGrants(now time.Time, box *client.Outbox) {
	for _, peer := range e.options.Peers {
		grant := e.grants[peer.Name]
		if grant == nil {
			grant = &peerGrant{}
			e.grants[peer.Name] = grant
		}
		if grant.requestPending || now.Before(grant.nextRequestAt) {
			continue
		}
		grant.requestPending = true
		epoch, sent := e.epoch, now
		request := PingRequest{
			Name:              e.options.Name,
			FencingToken:      e.fencingToken,
			ProbeStateService: e.suspectsStateService(now),
			SuspendRedirects:  e.connectivity.ShouldSuspendRedirects(now),
		}
		if e.stateLoaded && e.HoldsLease(now) {
			request.StateLoaded, request.OldestCancellationAge, request.EchoedNonce = true, now.Sub(e.oldestCancellation), grant.nonce
		}
		box.Add(client.Call{
			Destination: client.PeerController, Addr: peer.Addr, Method: "POST", Path: "/peer/hello",
			Body: request, Timeout: e.options.GrantDuration / 3,
			Done: func(now time.Time, r client.Result) {
				if e.epoch != epoch {
					return
				}
				grant.requestPending = false
				e.recordPeerContact(now, r)
				grant.nextRequestAt = sent.Add(e.options.GrantDuration / 5)
				if e.suspectsStateService(now) {
					grant.nextRequestAt = sent.Add(e.options.GrantDuration / 10)
				}
				var response PingResponse
				if r.Status != 200 || codec.Unmarshal(r.Body, &response) != nil {
					// A peer that does not answer may still be bound by its last
					// promise, and we by its end.
					return
				}
				// Once the entitlement has lapsed only the state service can tell that
				// nobody has led since: the peers may promise after a leadership of theirs.
				if response.Granted && e.HoldsLease(now) {
					grant.sentAt, grant.granted = sent, true
				}
				grant.nonce = response.Nonce
				if response.StateServiceOK {
					e.recordPeerServed(now, box, peer.Name)
				}
				e.connectivity.RecordPeerWorkers(peer.Name, response.RecentWorkers)
				e.transferIfPartitioned(now, box)
			},
		})
	}
}

// suspectsStateService reports that renewals fail, or that one is long without an answer.
func (e *Election) suspectsStateService(now time.Time) bool {
	return e.failedRenewals > 0 || e.renewalPending && now.Sub(e.lastRenewalSentAt) > e.options.LeaseDuration/6
}

// recordPeerServed takes in that the state service answers another controller. If two renewals of ours
// have failed by then, or one has and the next is without an answer, and that goes on for as long as a
// renewal needs after an outage that has just ended, the leadership is handed over.
func (e *Election) recordPeerServed(now time.Time, box *client.Outbox, peerName string) {
	if e.role != roleLeader || e.failedRenewals == 0 ||
		e.failedRenewals == 1 && !(e.renewalPending && now.Sub(e.lastRenewalSentAt) > e.options.LeaseDuration/6) {
		return
	}
	if e.peerServedSince.IsZero() {
		e.peerServedSince = now
	}
	if now.Sub(e.peerServedSince) >= e.options.LeaseDuration/5 && now.Sub(e.firstFailureSentAt) >= e.options.LeaseDuration/3 {
		e.transferLeadership(now, box, "the state service answers "+peerName+" and not this controller", "")
	}
}

// transferIfPartitioned ends a leadership that no worker reaches while they reach another controller: their leases
// run, and each of them is lost with all that runs there unless somebody leads whom they do reach.
func (e *Election) transferIfPartitioned(now time.Time, box *client.Outbox) {
	if e.role != roleLeader {
		return
	}
	if successor := e.connectivity.Successor(now); successor != "" {
		e.transferLeadership(now, box, "the workers reach "+successor+" and not this controller", successor)
		e.connectivity.RecordTransfer(now)
	}
}

// transferLeadership hands the leadership over at once, to anybody or to a controller that is named. The others are
// told that nobody relies on their promises any more, and which lease to end. Waiting for its end and for theirs took three times as long.
func (e *Election) transferLeadership(now time.Time, box *client.Outbox, reason, successor string) {
	leaseID, fencingToken := e.leaseID, e.fencingToken
	e.StepDown(now, box, reason)
	for _, peer := range e.options.Peers {
		box.Add(client.Call{
			Destination: client.PeerController,
			Addr:        peer.Addr,
			Method:      "POST",
			Path:        "/peer/hello",
			Body: PingRequest{
				Name:            e.options.Name,
				FencingToken:    fencingToken,
				ReleasedLeaseID: leaseID,
				Successor:       successor,
			},
			Timeout: e.options.GrantDuration / 3,
			Done:    func(time.Time, client.Result) {},
		})
	}
}

// probeStateService asks the state service whether it answers, if the leader wants to know, and ends the lease of a
// leadership that was handed over.
func (e *Election) probeStateService(now time.Time, box *client.Outbox) {
	if e.releasedLeaseID != 0 {
		box.Add(client.Call{
			Destination: client.StateService, Method: "DELETE", Path: fmt.Sprintf("/leases/%d", e.releasedLeaseID),
			Timeout: time.Second, Done: func(time.Time, client.Result) {},
		})
		e.releasedLeaseID = 0
	}
	if !e.probeRequested || e.probePending {
		return
	}
	e.probeRequested, e.probePending = false, true
	box.Add(client.Call{
		Destination: client.StateService, Method: "GET", Path: "/keys/" + LeaderKey, Timeout: e.options.GrantDuration / 4,
		Done: func(now time.Time, r client.Result) {
			e.probePending = false
			e.recordStateServiceContact(now, r)
			if r.Status == 200 || r.Status == 404 {
				e.stateServiceOKAt = now
			}
		},
	})
}

// ElectionDelay is how long it takes at least until another leader can be there: what is left of a promise.
func (e *Election) ElectionDelay(now time.Time) time.Duration { return max(e.grantedUntil.Sub(now), 0) }

// StepDown gives the leadership up.
func (e *Election) StepDown(now time.Time, box *client.Outbox, reason string) {
	if e.role != roleLeader {
		return
	}
	e.log.Info("leadership ended", "token", e.fencingToken, "why", reason, "led", now.Sub(e.electedAt).Round(time.Millisecond))
	e.revokeLease(box)
	e.becomeFollower(now, now)
}

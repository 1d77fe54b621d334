package election

import (
	"net/http"
	"time"

	"gullrudder/internal/wire/client"
)

// considerTransfer transfers the leadership if the peer's response shows that a peer is better connected.
func (e *Election) considerTransfer(now time.Time, outbox *client.Outbox, peerName string, response PingResponse) {
	if response.StateServiceOK {
		e.recordPeerServed(now, outbox, peerName)
	}
	e.connectivity.RecordPeerWorkers(peerName, response.RecentWorkers)
	e.transferIfPartitioned(now, outbox)
}

// recordPeerServed records that the state service answers a peer. If by then two renewals of this leader have
// failed, or one has failed and the next one is slow, for long enough, its leadership is transferred.
func (e *Election) recordPeerServed(now time.Time, outbox *client.Outbox, peerName string) {
	failed := e.lease.failedRenewals
	if e.role != roleLeader || failed == 0 || failed == 1 && !e.isRenewalSlow(now) {
		return
	}
	if e.leader.peerServedSince.IsZero() {
		e.leader.peerServedSince = now
	}
	if now.Sub(e.leader.peerServedSince) >= e.options.servedPeerThreshold() &&
		now.Sub(e.lease.firstFailureSentAt) >= e.options.failedRenewalThreshold() {
		e.transferLeadership(now, outbox, "state service answers "+peerName+" and not this controller", "")
	}
}

// transferIfPartitioned transfers the leadership if the workers reach a peer and not this leader. Otherwise their
// leases would expire, and their tasks would be lost.
func (e *Election) transferIfPartitioned(now time.Time, outbox *client.Outbox) {
	if e.role != roleLeader {
		return
	}
	successor := e.connectivity.Successor(now)
	if successor == "" {
		return
	}
	e.transferLeadership(now, outbox, "workers reach "+successor+" and not this controller", successor)
	e.connectivity.RecordTransfer(now)
}

// transferLeadership steps down at once in favor of the successor, or of any peer if that is empty. The notice to the
// peers releases their grants and names the lease to revoke: waiting for the lease and the grants to expire took three
// times as long.
func (e *Election) transferLeadership(now time.Time, outbox *client.Outbox, reason, successor string) {
	request := PingRequest{
		Name:            e.options.Name,
		FencingToken:    e.leader.fencingToken,
		ReleasedLeaseID: e.lease.id,
		Successor:       successor,
	}
	e.StepDown(now, outbox, reason)
	for _, peer := range e.options.Peers {
		outbox.Add(client.Call{
			Destination: client.PeerController, Addr: peer.Addr, Method: http.MethodPost, Path: PingPath,
			Body: request, Timeout: e.options.peerTimeout(), Done: ignoreResult,
		})
	}
}

// acceptTransfer records that a leadership was transferred. Its grant no longer binds this controller, unless a later
// leader has been given one since: the notice may be delayed by minutes.
func (e *Election) acceptTransfer(now time.Time, request PingRequest) {
	e.follower.releasedLeaseID = request.ReleasedLeaseID
	grant := &e.follower.grant
	if request.FencingToken < grant.fencingToken {
		return // another controller has led since: the notice says nothing about its successor
	}
	e.follower.candidacy.preferredSuccessor = request.Successor
	if e.role == roleFollower && request.FencingToken == grant.fencingToken {
		grant.until = now
		grant.leaderName = ""
	}
}

// revokeReleasedLease revokes the lease of a leadership that was transferred.
func (e *Election) revokeReleasedLease(outbox *client.Outbox) {
	if e.follower.releasedLeaseID == 0 {
		return
	}
	outbox.Add(revocation(e.follower.releasedLeaseID))
	e.follower.releasedLeaseID = 0
}

package election

import (
	"net/http"
	"time"

	"gullrudder/internal/wire/client"
)

// considerTransfer records a peer's view of its connections. It transfers the leadership if a peer is better connected
// than this leader.
func (e *Election) considerTransfer(now time.Time, outbox *client.Outbox, peerName string, response PingResponse) {
	if response.StateServiceOK {
		e.recordPeerReachesState(now, outbox, peerName)
	}
	e.connectivity.RecordPeerWorkers(peerName, response.RecentWorkers)
	e.transferIfPartitioned(now, outbox)
}

// recordPeerReachesState records that a peer reaches the state service. It has no effect until two renewals of this leader
// have failed, or one has failed and the next one is slow. The leadership is transferred once a peer has reached the state
// service for peerReachesStateThreshold and the renewals have failed for failedRenewalThreshold.
func (e *Election) recordPeerReachesState(now time.Time, outbox *client.Outbox, peerName string) {
	failed := e.lease.failedRenewals
	if e.role != roleLeader || failed == 0 || failed == 1 && !e.isRenewalSlow(now) {
		return
	}
	if e.leader.peerReachesStateSince.IsZero() {
		e.leader.peerReachesStateSince = now
	}
	if now.Sub(e.leader.peerReachesStateSince) >= e.options.peerReachesStateThreshold() &&
		now.Sub(e.lease.firstFailureSentAt) >= e.options.failedRenewalThreshold() {
		e.transferLeadership(now, outbox, "state service answers "+peerName+" and not this controller", "")
	}
}

// transferIfPartitioned transfers the leadership if the workers reach a peer and not this leader. Without the transfer the
// worker leases would expire, and the tasks of the workers would be lost.
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

// transferLeadership steps down immediately in favor of the successor, or of any peer if successor is empty. A ping to the
// peers releases their grants and names the lease to revoke. Without it, the next election would wait until the lease and
// the grants expire, which took three times as long.
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

// acceptTransfer records that a leadership was transferred and releases the grant to it. A grant to a later leader stays in
// force, since the request may be delayed by minutes.
func (e *Election) acceptTransfer(now time.Time, request PingRequest) {
	e.follower.releasedLeaseID = request.ReleasedLeaseID
	grant := &e.follower.grant
	if request.FencingToken < grant.fencingToken {
		return // another controller has led in the meantime, so the named successor is outdated
	}
	e.follower.candidacy.preferredSuccessor = request.Successor
	if e.role == roleFollower && request.FencingToken == grant.fencingToken {
		grant.until = now
		grant.leaderName = ""
	}
}

// revokeReleasedLease revokes the lease of a transferred leadership, if there is one to revoke.
func (e *Election) revokeReleasedLease(outbox *client.Outbox) {
	if e.follower.releasedLeaseID == 0 {
		return
	}
	outbox.Add(revocation(e.follower.releasedLeaseID))
	e.follower.releasedLeaseID = 0
}

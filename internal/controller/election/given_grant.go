package election

import "time"

// givenGrant is the leader-lease grant that a follower has given, which is its promise not to campaign, and the leader
// that requested it.
type givenGrant struct {
	until        time.Time // this controller does not campaign or become leader before this time
	fencingToken uint64    // highest fencing token of the leaders that received a grant
	leaderName   string
	pingedAt     time.Time // when the leader's last ping arrived
}

// give extends the grant until the given time for the sender of a ping that arrived at now.
func (g *givenGrant) give(now, until time.Time, request PingRequest) {
	g.leaderName, g.pingedAt = request.Name, now
	if until.After(g.until) {
		g.until = until
	}
	g.fencingToken = max(g.fencingToken, request.FencingToken)
}

// HandlePing returns the response to the ping of a peer that leads, or that has transferred its leadership, and records
// the grant or the transfer. Pings may be delayed and duplicated.
func (e *Election) HandlePing(now time.Time, request PingRequest) PingResponse {
	e.contact.peerAt = now
	if request.ReleasedLeaseID != 0 {
		e.acceptTransfer(now, request)
		return PingResponse{}
	}
	if request.FencingToken < e.follower.grant.fencingToken {
		return PingResponse{} // a delayed ping of an earlier leadership, which ignores the response
	}
	if e.role != roleFollower || e.follower.key.absent {
		// This controller campaigns, leads, or has read that the leader's key is absent. So the sender has lost its lease,
		// and a grant must not extend its leadership.
		return PingResponse{StateServiceOK: e.role == roleFollower}
	}
	e.follower.grant.give(now, now.Add(e.options.extendForDrift(e.options.GrantDuration)), request)
	e.follower.stateProbe.requested = e.follower.stateProbe.requested || request.ProbeStateService
	e.connectivity.RecordSuspendRedirects(now, request.SuspendRedirects)
	if request.StateLoaded {
		e.renewalLimit.RecordLeaderPing(request.EchoedNonce, request.OldestCancellationAge)
	}
	return PingResponse{
		Granted:        true,
		StateServiceOK: now.Sub(e.follower.stateProbe.succeededAt) < e.options.stateProbeTimeout(),
		RecentWorkers:  e.connectivity.RecentWorkers(now),
		Nonce:          e.renewalLimit.NewNonce(now),
	}
}

// isBoundByGrant reports whether a grant forbids this controller to campaign. The grant is one that it has given, or one
// that its previous process may have given before the restart.
func (e *Election) isBoundByGrant(now time.Time) bool {
	return now.Before(e.follower.grant.until) || e.isRestartGuardActive(now)
}

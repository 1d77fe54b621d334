package election

import (
	"net/http"
	"time"

	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
)

// restartGuard prevents a restarted process from campaigning while a peer may rely on a grant of the previous process. It
// ends when such a grant has expired, or once every peer has responded that it does not lead.
type restartGuard struct {
	startedAt         time.Time
	notLeading        map[string]bool // peers that have responded that they do not lead
	nextLeaderQueryAt time.Time
}

// isRestartGuardActive reports whether a peer may still rely on a grant of the previous process.
func (e *Election) isRestartGuardActive(now time.Time) bool {
	guard := &e.follower.restart
	if len(guard.notLeading) == len(e.options.Peers) {
		return false
	}
	return now.Before(guard.startedAt.Add(e.options.extendForDrift(e.options.GrantDuration)))
}

// queryPeersForLeader sends leader queries to the peers that have not responded yet while the restart guard is active.
func (e *Election) queryPeersForLeader(now time.Time, outbox *client.Outbox) {
	guard := &e.follower.restart
	if !e.isRestartGuardActive(now) || now.Before(guard.nextLeaderQueryAt) {
		return
	}
	guard.nextLeaderQueryAt = now.Add(e.options.leaderQueryInterval())
	for _, peer := range e.options.Peers {
		if guard.notLeading[peer.Name] {
			continue
		}
		outbox.Add(e.leaderQuery(peer, func(now time.Time, result client.Result) {
			e.contact.recordPeer(now, result)
			var response LeaderQueryResponse
			if result.Status == http.StatusOK && codec.Unmarshal(result.Body, &response) == nil && !response.IsLeader {
				guard.notLeading[peer.Name] = true
			}
		}))
	}
}

// leaderQuery returns the call that asks a peer whether it is the leader.
func (e *Election) leaderQuery(peer Peer, done func(time.Time, client.Result)) client.Call {
	return client.Call{
		Destination: client.PeerController, Addr: peer.Addr, Method: http.MethodPost, Path: LeaderQueryPath,
		Timeout: e.options.peerTimeout(), Done: done,
	}
}

// HandleLeaderQuery returns the response to a peer that asks whether this controller leads. A leader whose renewal is late
// still responds that it leads. If the renewal succeeds, a grant of the peer's previous process that is still in transit
// becomes valid, and the new process must be bound by that grant.
func (e *Election) HandleLeaderQuery(now time.Time) LeaderQueryResponse {
	e.contact.peerAt = now
	return LeaderQueryResponse{IsLeader: e.role == roleLeader}
}

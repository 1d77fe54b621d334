package election

import (
	"net/http"
	"time"

	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
)

// restartGuard keeps a restarted process from campaigning while a peer may rely on a grant that its earlier process
// gave. The guard ends a GrantDuration after the start, or once every peer has responded that it does not lead.
type restartGuard struct {
	startedAt       time.Time
	notLeading      map[string]bool // peers that have responded that they do not lead
	nextVoteQueryAt time.Time
}

// isBoundByRestart reports whether a grant of an earlier process may still be relied on.
func (e *Election) isBoundByRestart(now time.Time) bool {
	guard := &e.follower.restart
	if len(guard.notLeading) == len(e.options.Peers) {
		return false
	}
	return now.Before(guard.startedAt.Add(e.options.boundDuration(e.options.GrantDuration)))
}

// queryVotes asks the peers, while the restart guard lasts, whether they lead.
func (e *Election) queryVotes(now time.Time, outbox *client.Outbox) {
	guard := &e.follower.restart
	if !e.isBoundByRestart(now) || now.Before(guard.nextVoteQueryAt) {
		return
	}
	guard.nextVoteQueryAt = now.Add(e.options.voteQueryInterval())
	for _, peer := range e.options.Peers {
		if guard.notLeading[peer.Name] {
			continue
		}
		outbox.Add(e.voteQuery(peer, func(now time.Time, result client.Result) {
			e.contact.recordPeer(now, result)
			var response VoteQueryResponse
			if result.Status == http.StatusOK && codec.Unmarshal(result.Body, &response) == nil && !response.IsLeader {
				guard.notLeading[peer.Name] = true
			}
		}))
	}
}

// voteQuery returns the call that asks a peer whether it leads.
func (e *Election) voteQuery(peer Peer, done func(time.Time, client.Result)) client.Call {
	return client.Call{
		Destination: client.PeerController, Addr: peer.Addr, Method: http.MethodPost, Path: VoteQueryPath,
		Timeout: e.options.peerTimeout(), Done: done,
	}
}

// HandleVoteQuery returns the response to a restarted peer. A leader whose renewal is late still responds that it
// leads: the renewal may succeed, and then a grant of the peer's earlier process that is still in transit counts. The
// new process has to be bound by that grant.
func (e *Election) HandleVoteQuery(now time.Time) VoteQueryResponse {
	e.contact.peerAt = now
	return VoteQueryResponse{IsLeader: e.role == roleLeader}
}

package election

import (
	"net/http"
	"time"

	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
)

// heldGrant is the leader's record of the leader-lease grant of one peer, which is the peer's promise not to campaign.
type heldGrant struct {
	requestPending bool
	nextRequestAt  time.Time
	granted        bool
	sentAt         time.Time // when the granted ping was sent; the duration of the grant counts from then
	nonce          uint64    // nonce of the peer's last response
}

// grantsValidUntil returns when the first of the peers' grants expires. ok is false unless there are peers and every peer
// has given a grant.
func (e *Election) grantsValidUntil() (earliest time.Time, ok bool) {
	for _, peer := range e.options.Peers {
		grant := e.leader.grants[peer.Name]
		if grant == nil || !grant.granted {
			return time.Time{}, false
		}
		end := grant.sentAt.Add(e.options.shortenForDrift(e.options.GrantDuration))
		if earliest.IsZero() || end.Before(earliest) {
			earliest = end
		}
	}
	return earliest, len(e.options.Peers) > 0
}

// requestGrants sends a ping to each peer whose grant is due for renewal.
func (e *Election) requestGrants(now time.Time, outbox *client.Outbox) {
	for _, peer := range e.options.Peers {
		grant := e.leader.grants[peer.Name]
		if grant == nil {
			grant = &heldGrant{}
			e.leader.grants[peer.Name] = grant
		}
		if grant.requestPending || now.Before(grant.nextRequestAt) {
			continue
		}
		sentAt := now
		grant.requestPending = true
		outbox.Add(client.Call{
			Destination: client.PeerController, Addr: peer.Addr, Method: http.MethodPost, Path: PingPath,
			Body: e.pingRequest(now, grant), Timeout: e.options.peerTimeout(),
			Done: e.inEpoch(func(now time.Time, result client.Result) {
				grant.requestPending = false
				e.contact.recordPeer(now, result)
				grant.nextRequestAt = sentAt.Add(e.pingInterval(now))
				var response PingResponse
				if result.Status != http.StatusOK || codec.Unmarshal(result.Body, &response) != nil {
					// The last grant of the peer stays valid until it expires.
					return
				}
				e.recordPingResponse(now, grant, sentAt, response)
				e.considerTransfer(now, outbox, peer.Name, response)
			}),
		})
	}
}

// pingInterval returns the time between two pings of a peer.
func (e *Election) pingInterval(now time.Time) time.Duration {
	if e.suspectsStateService(now) {
		return e.options.suspectPingInterval()
	}
	return e.options.pingInterval()
}

// pingRequest returns the ping to the peer with this grant.
func (e *Election) pingRequest(now time.Time, grant *heldGrant) PingRequest {
	request := PingRequest{
		Name:              e.options.Name,
		FencingToken:      e.leader.fencingToken,
		ProbeStateService: e.suspectsStateService(now),
		SuspendRedirects:  e.connectivity.ShouldSuspendRedirects(now),
	}
	if e.leader.stateLoaded && e.HoldsLease(now) {
		request.StateLoaded = true
		request.OldestCancellationAge = now.Sub(e.leader.oldestCancellation)
		request.EchoedNonce = grant.nonce
	}
	return request
}

// recordPingResponse records the grant in the response to a ping that was sent at sentAt.
func (e *Election) recordPingResponse(now time.Time, grant *heldGrant, sentAt time.Time, response PingResponse) {
	// Once the leader lease has expired, the peers may have given grants to a later leader. Only a renewal at the state
	// service proves that there was none.
	if response.Granted && e.HoldsLease(now) {
		grant.granted, grant.sentAt = true, sentAt
	}
	grant.nonce = response.Nonce
}

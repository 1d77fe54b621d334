package election

import (
	"net/http"
	"time"

	"gullrudder/internal/wire/client"
)

const (
	// isolationTimeout is the time without contact to any peer and to the state service after which this controller counts
	// as isolated.
	isolationTimeout = 5 * time.Second
	// peerProbeInterval is the time without contact to a peer after which all peers are probed, and between two such probes.
	peerProbeInterval = time.Second
)

// contactTimes are the times of the last contacts of this controller with the peers and the state service.
type contactTimes struct {
	peerAt          time.Time // a request or a response of another controller
	stateServiceAt  time.Time // a response of the state service, whatever its status
	nextPeerProbeAt time.Time
}

// recordPeer records the result of a call to a peer.
func (c *contactTimes) recordPeer(now time.Time, result client.Result) {
	if !result.IsUncertain() {
		c.peerAt = now
	}
}

// recordStateService records the result of a call to the state service.
func (c *contactTimes) recordStateService(now time.Time, result client.Result) {
	if !result.IsUncertain() {
		c.stateServiceAt = now
	}
}

// IsIsolated reports whether this controller has had no contact to the state service or to any peer for isolationTimeout. It is
// false in an outage of the state service alone: the other controllers could not serve users any better then.
func (e *Election) IsIsolated(now time.Time) bool {
	return len(e.options.Peers) > 0 &&
		now.Sub(e.contact.peerAt) >= isolationTimeout && now.Sub(e.contact.stateServiceAt) >= isolationTimeout
}

// probePeers sends vote queries to the peers after peerProbeInterval without contact: without a leader there are no pings.
func (e *Election) probePeers(now time.Time, outbox *client.Outbox) {
	if now.Sub(e.contact.peerAt) < peerProbeInterval || now.Before(e.contact.nextPeerProbeAt) {
		return
	}
	e.contact.nextPeerProbeAt = now.Add(peerProbeInterval)
	for _, peer := range e.options.Peers {
		outbox.Add(e.voteQuery(peer, e.contact.recordPeer))
	}
}

// stateProbe is a follower's check, on request of the leader, whether the state service answers it.
type stateProbe struct {
	requested   bool
	pending     bool
	succeededAt time.Time
}

// probeStateService reads the leader's key if the leader has asked whether the state service answers.
func (e *Election) probeStateService(outbox *client.Outbox) {
	probe := &e.follower.stateProbe
	if !probe.requested || probe.pending {
		return
	}
	probe.requested, probe.pending = false, true
	outbox.Add(client.Call{
		Destination: client.StateService, Method: http.MethodGet, Path: leaderKeyPath,
		Timeout: e.options.stateProbeTimeout(),
		Done: func(now time.Time, result client.Result) {
			probe.pending = false
			e.contact.recordStateService(now, result)
			if result.Status == http.StatusOK || result.Status == http.StatusNotFound {
				probe.succeededAt = now
			}
		},
	})
}

package election

import (
	"net/http"
	"time"

	"gullrudder/internal/wire/client"
)

const (
	// isolationTimeout is how long neither the peers nor the state service have been heard from before this
	// controller counts as isolated.
	isolationTimeout = 5 * time.Second
	// peerProbeInterval is how often the peers are probed after that long without contact.
	peerProbeInterval = time.Second
)

// contactTimes is when this controller last heard from others.
type contactTimes struct {
	peerAt          time.Time // a request or a response of another controller
	stateServiceAt  time.Time // a response of the state service, whatever its status
	nextPeerProbeAt time.Time
}

// recordPeer takes the result of a call to a peer.
func (c *contactTimes) recordPeer(now time.Time, result client.Result) {
	if !result.IsUncertain() {
		c.peerAt = now
	}
}

// recordStateService takes the result of a call to the state service.
func (c *contactTimes) recordStateService(now time.Time, result client.Result) {
	if !result.IsUncertain() {
		c.stateServiceAt = now
	}
}

// IsIsolated reports whether neither the state service nor any peer has been heard from for a while. It is false
// while only the state service is unreachable, for everybody: users may stay with this controller then.
func (e *Election) IsIsolated(now time.Time) bool {
	return len(e.options.Peers) > 0 &&
		now.Sub(e.contact.peerAt) >= isolationTimeout && now.Sub(e.contact.stateServiceAt) >= isolationTimeout
}

// probePeers calls the peers after a while without contact: between two leaders nobody sends pings.
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

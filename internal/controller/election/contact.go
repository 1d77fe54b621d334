package election

import (
	"net/http"
	"time"

	"gullrudder/internal/wire/client"
)

const (
	// isolationTimeout is the time without contact with the state service or any peer after which this controller counts
	// as isolated.
	isolationTimeout = 5 * time.Second
	// peerProbeInterval is the time without contact with any peer after which all peers are probed. It is also the time between
	// two such rounds of probes.
	peerProbeInterval = time.Second
)

// contactTimes are the times of the last contacts of this controller with the peers and the state service.
type contactTimes struct {
	peerAt          time.Time // last request or response of another controller
	stateServiceAt  time.Time // last response of the state service, of any status
	nextPeerProbeAt time.Time
}

// recordPeer records a contact if the result of a call to a peer shows that the peer responded.
func (c *contactTimes) recordPeer(now time.Time, result client.Result) {
	if !result.IsUncertain() {
		c.peerAt = now
	}
}

// recordStateService records a contact if the result of a call shows that the state service responded.
func (c *contactTimes) recordStateService(now time.Time, result client.Result) {
	if !result.IsUncertain() {
		c.stateServiceAt = now
	}
}

// IsIsolated reports whether this controller has had no contact with the state service or any peer for isolationTimeout.
// It is false if there are no peers. It is also false in an outage of the state service alone: the other controllers could
// not serve users better in that case.
func (e *Election) IsIsolated(now time.Time) bool {
	return len(e.options.Peers) > 0 &&
		now.Sub(e.contact.peerAt) >= isolationTimeout && now.Sub(e.contact.stateServiceAt) >= isolationTimeout
}

// probePeers sends leader queries to the peers after peerProbeInterval without contact with any of them. Without a leader
// there are no pings that would show whether the peers are reachable.
func (e *Election) probePeers(now time.Time, outbox *client.Outbox) {
	if now.Sub(e.contact.peerAt) < peerProbeInterval || now.Before(e.contact.nextPeerProbeAt) {
		return
	}
	e.contact.nextPeerProbeAt = now.Add(peerProbeInterval)
	for _, peer := range e.options.Peers {
		outbox.Add(e.leaderQuery(peer, e.contact.recordPeer))
	}
}

// stateProbe is a follower's check, requested by the leader, whether the follower reaches the state service.
type stateProbe struct {
	requested   bool
	pending     bool
	succeededAt time.Time
}

// probeStateService reads the leader's key if the leader has requested a probe of the state service.
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

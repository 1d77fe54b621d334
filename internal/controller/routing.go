package controller

import (
	"net/http"
	"strings"
	"time"

	"gullrudder/internal/controller/api"
	"gullrudder/internal/controller/election"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/server"
	"gullrudder/internal/wire/workerapi"
)

// endpoint is the HTTP method of a path and the function that serves it.
type endpoint struct {
	method string
	handle func(now time.Time, request *server.Request)
}

// route dispatches a request to the endpoint of its path.
func (c *Controller) route(now time.Time, request *server.Request) {
	path, _, _ := strings.Cut(request.Target, "?")
	endpoint, ok := c.endpointFor(path, request)
	switch {
	case !ok:
		c.responder.RespondError(request, http.StatusNotFound, "no such path", 0)
	case request.Method != endpoint.method:
		c.responder.RespondError(request, http.StatusMethodNotAllowed, "wrong method", 0)
	default:
		endpoint.handle(now, request)
	}
}

// endpointFor returns the endpoint of a path. Heartbeats are served on the public address only, and the messages of the election on
// the peer address only.
func (c *Controller) endpointFor(path string, request *server.Request) (endpoint, bool) {
	segments := strings.Split(strings.TrimPrefix(path, "/"), "/")
	apiMethod := api.MethodFor(segments)
	switch {
	case path == "/ready":
		return endpoint{http.MethodGet, c.handleReady}, true
	case path == "/status":
		return endpoint{http.MethodGet, c.handleStatus}, true
	case path == "/v1/report" && !request.FromPeer:
		return endpoint{http.MethodPost, c.handleHeartbeat}, true
	case path == "/settings" && request.Method == http.MethodGet:
		return endpoint{http.MethodGet, c.handleConfigView}, true
	case path == "/settings":
		return endpoint{http.MethodPost, c.handleConfigChange}, true
	case apiMethod != "":
		handle := func(now time.Time, request *server.Request) {
			c.serveOrForward(now, request, func() { c.leadership.api.Serve(now, request, segments) })
		}
		return endpoint{apiMethod, handle}, true
	case path == election.PingPath && request.FromPeer:
		return endpoint{http.MethodPost, c.handlePing}, true
	case path == election.LeaderQueryPath && request.FromPeer:
		return endpoint{http.MethodPost, c.handleLeaderQuery}, true
	}
	return endpoint{}, false
}

// handleHeartbeat passes a worker's heartbeat to the leadership. Without the leader lease the worker is redirected to the
// leader, if one is known.
func (c *Controller) handleHeartbeat(now time.Time, request *server.Request) {
	if !c.holdsLease {
		c.redirectHeartbeat(now, request)
		return
	}
	leader := c.leadership
	if !leader.failover.CanRenewLeases(now) {
		c.responder.RespondError(request, http.StatusServiceUnavailable, "the ledger is not read", 0)
		return
	}
	if leader.heartbeats.HandleHeartbeat(now, request, leader.failover.StateLoaded()) {
		c.election.Connectivity().RecordHeartbeat(now)
	}
}

// redirectHeartbeat redirects a worker to the leader. It also records the contact, since a worker that contacts a follower is evidence
// that workers may be unable to reach the leader. While redirects are suspended, the response contains no leader.
func (c *Controller) redirectHeartbeat(now time.Time, request *server.Request) {
	connectivity := c.election.Connectivity()
	if id, ok := workerapi.DecodeHeartbeatID(request.Body); ok {
		connectivity.RecordWorkerContact(now, id.Machine, id.Incarnation, id.Sequence)
	}
	leader := c.election.Leader(now)
	if connectivity.RedirectsSuspended(now) {
		leader = ""
	}
	c.responder.Respond(request, http.StatusMisdirectedRequest, workerapi.Redirect{Leader: leader}, 0)
}

// handleConfigView responds with the effective options and the history of their changes.
func (c *Controller) handleConfigView(now time.Time, request *server.Request) {
	c.serveOrForward(now, request, func() { c.leadership.dynamicConfig.ServeView(now, request) })
}

// handleConfigChange applies a change of the options.
func (c *Controller) handleConfigChange(now time.Time, request *server.Request) {
	c.serveOrForward(now, request, func() { c.leadership.dynamicConfig.ServeChange(now, request) })
}

// handlePing responds to the ping of a leader.
func (c *Controller) handlePing(now time.Time, request *server.Request) {
	var ping election.PingRequest
	if err := codec.Unmarshal(request.Body, &ping); err != nil || c.peers[ping.Name] == "" {
		c.responder.RespondError(request, http.StatusBadRequest, "no greeting of a known controller", 0)
		return
	}
	c.leaderSeen = true
	c.responder.Respond(request, http.StatusOK, c.election.HandlePing(now, ping), 0)
}

// handleLeaderQuery tells a restarted controller whether this one leads.
func (c *Controller) handleLeaderQuery(now time.Time, request *server.Request) {
	c.responder.Respond(request, http.StatusOK, c.election.HandleLeaderQuery(now), 0)
}

// handleReady reports whether this controller can serve users. It is not ready until it knows a leader for the first time. While it
// is isolated it is not ready either: it would refuse requests that the other controllers can serve.
func (c *Controller) handleReady(now time.Time, request *server.Request) {
	if c.holdsLease {
		c.leaderSeen = true
	}
	switch {
	case !c.leaderSeen:
		c.responder.RespondError(request, http.StatusServiceUnavailable, "no leader known yet", 0)
	case c.election.IsIsolated(now):
		c.responder.RespondError(request, http.StatusServiceUnavailable, "cut off from the state service and the other controllers", 0)
	default:
		c.responder.Respond(request, http.StatusOK, map[string]bool{"ready": true}, 0)
	}
}

package controller

import (
	"net/http"
	"time"

	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/server"
)

const (
	// noLeaderRetryAfter is the Retry-After of a request that is refused because no leader is available.
	noLeaderRetryAfter = time.Second
	// forwardReadTimeout and forwardWriteTimeout limit the wait for the leader's response to a forwarded request. The leader
	// responds to a request that changes state only after a commit.
	forwardReadTimeout  = 1800 * time.Millisecond
	forwardWriteTimeout = 4 * time.Second
)

// serveOrForward serves a user's request if this controller leads and its state is loaded. A follower forwards it to the
// leader, unless another controller has already forwarded it.
func (c *Controller) serveOrForward(now time.Time, request *server.Request, serve func()) {
	if c.holdsLease {
		if !c.leadership.failover.StateLoaded() {
			c.responder.RespondError(request, http.StatusServiceUnavailable, "the ledger is being read", noLeaderRetryAfter)
			return
		}
		serve()
		return
	}
	leaderAddr := c.peers[c.election.Leader(now)]
	if request.FromPeer || leaderAddr == "" {
		// No leader can be elected before the grant to the last one expires. The wait is never less than noLeaderRetryAfter.
		retryAfter := max(noLeaderRetryAfter, c.election.ElectionDelay(now)+noLeaderRetryAfter/10)
		c.responder.RespondError(request, http.StatusServiceUnavailable, "no leader at present", retryAfter)
		return
	}
	c.forward(request, leaderAddr)
}

// forward sends a user's request to the leader and returns the leader's response to the user.
func (c *Controller) forward(request *server.Request, leaderAddr string) {
	timeout := forwardReadTimeout
	if request.Method == http.MethodPost {
		timeout = forwardWriteTimeout
	}
	followedToken := c.election.FollowedToken()
	c.outbox.Add(client.Call{
		Destination: client.PeerController,
		Addr:        leaderAddr,
		Method:      request.Method,
		Path:        request.Target,
		Body:        forwardedBody(request.Body),
		Timeout:     timeout,
		Done: func(_ time.Time, result client.Result) {
			c.passResponse(request, result, followedToken)
		},
	})
}

// passResponse returns the leader's response to the user, unless another controller has become leader since the request was
// forwarded. The user may already have a newer response from the new leader.
func (c *Controller) passResponse(request *server.Request, result client.Result, followedToken uint64) {
	switch {
	case c.holdsLease || c.election.FollowedToken() != followedToken:
		c.responder.RespondError(request, http.StatusServiceUnavailable, "another controller leads since", noLeaderRetryAfter)
	case result.IsUncertain():
		c.responder.RespondError(request, http.StatusServiceUnavailable, "the leader does not answer", noLeaderRetryAfter)
	default:
		c.responder.RespondRaw(request, result.Status, result.Body, result.RetryAfter)
	}
}

// forwardedBody is the body of a forwarded request, which is sent unchanged.
type forwardedBody []byte

// ForwardedBody returns the bytes of the body of a forwarded request, and false for any other body, which has to be encoded.
func ForwardedBody(body any) ([]byte, bool) {
	forwarded, ok := body.(forwardedBody)
	return forwarded, ok
}

package controller

import (
	"net/http"
	"time"

	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/server"
)

const (
	// noLeaderRetryAfter is when a user who was refused for want of a leader is told to try again.
	noLeaderRetryAfter = time.Second
	// forwardReadTimeout and forwardWriteTimeout are how long the leader has to answer a forwarded request. What changes
	// state has to wait for a commit.
	forwardReadTimeout  = 1800 * time.Millisecond
	forwardWriteTimeout = 4 * time.Second
)

// serveOrForward serves a user's request if this controller leads and its state is loaded. A follower forwards it to the
// leader; a request that was forwarded once is not forwarded again.
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
		// No leader can be elected before the grant to the last one is over. Users count from a second on.
		retryAfter := max(noLeaderRetryAfter, c.election.ElectionDelay(now)+noLeaderRetryAfter/10)
		c.responder.RespondError(request, http.StatusServiceUnavailable, "no leader at present", retryAfter)
		return
	}
	c.forward(request, leaderAddr)
}

// forward sends a user's request to the leader and passes the response on.
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

// passResponse passes the leader's response on, unless another controller leads since the request was forwarded: that one
// may have told the user something newer meanwhile.
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

// forwardedBody is the body of a call that is sent as it came, without encoding.
type forwardedBody []byte

// ForwardedBody returns the bytes of a body that is sent without encoding; false if the body has to be encoded.
func ForwardedBody(body any) ([]byte, bool) {
	forwarded, ok := body.(forwardedBody)
	return forwarded, ok
}

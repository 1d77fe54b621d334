package controller

import (
	"net/http"
	"time"

	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/server"
)

// noLeaderRetryAfter is when a user is told to try again after a refusal for want of a leader.
const noLeaderRetryAfter = time.Second

// serveOrForward serves a user's request if this node leads, else hands it on to the leader once.
func (n *Controller) serveOrForward(now time.Time, request *server.Request, serve func()) {
	if n.holdsLease {
		if !n.leadership.failover.StateLoaded() {
			n.responder.RespondError(request, 503, "the ledger is being read", noLeaderRetryAfter)
			return
		}
		serve()
		return
	}
	leaderAddress := n.peers[n.election.Leader(now)]
	if request.FromPeer || leaderAddress == "" {
		// What is known of when there can be one: a promise has to be over, and users count from a second.
		n.responder.RespondError(
			request,
			503,
			"no leader at present",
			max(noLeaderRetryAfter, n.election.ElectionDelay(now)+noLeaderRetryAfter/10),
		)
		return
	}
	timeout := 1800 * time.Millisecond
	if request.Method == http.MethodPost {
		timeout = 4 * time.Second
	}
	followedToken := n.election.FollowedToken()
	n.outbox.Add(client.Call{
		Destination: client.PeerController,
		Addr:        leaderAddress,
		Method:      request.Method,
		Path:        request.Target,
		Body:        forwardedBody(request.Body),
		Timeout:     timeout,
		Done: func(now time.Time, result client.Result) {
			if n.holdsLease || n.election.FollowedToken() != followedToken {
				// It was held up, and another leads since, who may have told the user something newer.
				n.responder.RespondError(request, 503, "another controller leads since", noLeaderRetryAfter)
				return
			}
			if result.IsUncertain() {
				n.responder.RespondError(request, 503, "the leader does not answer", noLeaderRetryAfter)
				return
			}
			n.responder.RespondRaw(request, result.Status, result.Body, result.RetryAfter)
		},
	})
}

// forwardedBody is a body that is handed on as it came.
type forwardedBody []byte

// ForwardedBody gives the runtime the bytes of such a body.
func ForwardedBody(body any) ([]byte, bool) {
	forwarded, ok := body.(forwardedBody)
	return forwarded, ok
}

package node

import (
	"time"

	"gullrudder/internal/wire/inbox"
	"gullrudder/internal/wire/outbox"
)

// comeBack is when a user is told to try again after a refusal for want of a leader.
const comeBack = time.Second

// user serves a user's request if this node leads, else hands it on to the leader once.
func (n *Node) user(now time.Time, r *inbox.Request, serve func()) {
	if n.acting {
		if !n.lead.takeover.Built() {
			n.out.Refuse(r, 503, "the ledger is being read", comeBack)
			return
		}
		serve()
		return
	}
	addr := n.peers[n.election.Leader(now)]
	if r.Peer || addr == "" {
		// What is known of when there can be one: a promise has to be over, and users count from a second.
		n.out.Refuse(r, 503, "no leader at present", max(comeBack, n.election.ElectionDelay(now)+comeBack/10))
		return
	}
	timeout := 1800 * time.Millisecond
	if r.Method == "POST" {
		timeout = 4 * time.Second
	}
	led := n.election.FollowedToken()
	n.box.Add(outbox.Call{Service: outbox.Peer, Addr: addr, Method: r.Method, Path: r.Target, Body: raw(r.Body), Timeout: timeout,
		Done: func(now time.Time, res outbox.Result) {
			if n.acting || n.election.FollowedToken() != led {
				// It was held up, and another leads since, who may have told the user something newer.
				n.out.Refuse(r, 503, "another controller leads since", comeBack)
				return
			}
			if res.Unknown() {
				n.out.Refuse(r, 503, "the leader does not answer", comeBack)
				return
			}
			n.out.Pass(r, res.Status, res.Body, res.RetryAfter)
		}})
}

// raw is a body that is handed on as it came.
type raw []byte

// Raw gives the runtime the bytes of such a body.
func Raw(body any) ([]byte, bool) {
	b, ok := body.(raw)
	return b, ok
}

package election

import "time"

// Paths of the peer link, which a controller serves on its peer address.
const (
	PingPath      = "/peer/hello"
	VoteQueryPath = "/peer/inquiry"
)

// PingRequest is what the leader sends to each peer: it asks for a leader-lease grant. A former leader sends it to
// tell that its leadership was transferred.
type PingRequest struct {
	Name         string `msgpack:"name"`
	FencingToken uint64 `msgpack:"token"`

	// ProbeStateService asks the peer to find out whether the state service answers it.
	ProbeStateService bool `msgpack:"doubt,omitempty"`

	// ReleasedLeaseID is set once the leadership is over: nobody relies on a grant to it any more, and whoever
	// can is to revoke this lease.
	ReleasedLeaseID uint64 `msgpack:"yield,omitempty"`
	// Successor names the controller that should lead next; empty: whichever campaigns first.
	Successor string `msgpack:"to,omitempty"`

	// SuspendRedirects says that heartbeats may not reach the leader: no worker is to be redirected to it.
	SuspendRedirects bool `msgpack:"deaf,omitempty"`

	// StateLoaded says that the leader has loaded its state, and that every cancellation confirmed longer than
	// OldestCancellationAge ago is completed.
	StateLoaded           bool          `msgpack:"read,omitempty"`
	OldestCancellationAge time.Duration `msgpack:"age,omitempty"`
	// EchoedNonce is the nonce of the peer's last response.
	EchoedNonce uint64 `msgpack:"echo,omitempty"`
}

// PingResponse is a peer's response to a PingRequest.
type PingResponse struct {
	// Granted says that the peer does not campaign for a GrantDuration.
	Granted bool `msgpack:"promised"`
	// StateServiceOK says that the state service has answered the peer recently.
	StateServiceOK bool `msgpack:"sees,omitempty"`
	// RecentWorkers counts the workers that contacted the peer recently, though it does not lead.
	RecentWorkers int `msgpack:"callers,omitempty"`
	// Nonce tells the peer, when it comes back, when this response was made.
	Nonce uint64 `msgpack:"stamp,omitempty"`
}

// VoteQueryResponse tells a restarted controller whether an earlier grant of it may still be relied on.
type VoteQueryResponse struct {
	IsLeader bool `msgpack:"leading"`
}

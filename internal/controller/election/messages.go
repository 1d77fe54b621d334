package election

import "time"

// Paths of the peer link, which a controller serves on its peer address.
const (
	PingPath      = "/peer/hello"
	VoteQueryPath = "/peer/inquiry"
)

// PingRequest is the ping of a leader to each peer, which requests a leader-lease grant. A former leader sends it as
// the notice that its leadership was transferred.
type PingRequest struct {
	Name         string `msgpack:"name"`
	FencingToken uint64 `msgpack:"token"`

	// ProbeStateService asks the peer to check whether the state service answers it.
	ProbeStateService bool `msgpack:"doubt,omitempty"`

	// ReleasedLeaseID is set once the leadership was transferred: grants to it no longer bind, and the peers are to
	// revoke this lease.
	ReleasedLeaseID uint64 `msgpack:"yield,omitempty"`
	// Successor is the name of the controller that should lead next; empty: the one that campaigns first.
	Successor string `msgpack:"to,omitempty"`

	// SuspendRedirects asks not to redirect workers to the leader, since their heartbeats may not reach it.
	SuspendRedirects bool `msgpack:"deaf,omitempty"`

	// StateLoaded is set if the leader has loaded its state. Then every cancellation confirmed longer than
	// OldestCancellationAge ago is completed.
	StateLoaded           bool          `msgpack:"read,omitempty"`
	OldestCancellationAge time.Duration `msgpack:"age,omitempty"`
	// EchoedNonce is the nonce of the peer's last response.
	EchoedNonce uint64 `msgpack:"echo,omitempty"`
}

// PingResponse is a peer's response to a PingRequest.
type PingResponse struct {
	// Granted is set if the peer undertakes not to campaign for a GrantDuration.
	Granted bool `msgpack:"promised"`
	// StateServiceOK is set if the state service has answered the peer recently.
	StateServiceOK bool `msgpack:"sees,omitempty"`
	// RecentWorkers counts the workers that contacted the peer recently, though it does not lead.
	RecentWorkers int `msgpack:"callers,omitempty"`
	// Nonce identifies this response: the ping that echoes it was sent after the response was made.
	Nonce uint64 `msgpack:"stamp,omitempty"`
}

// VoteQueryResponse is the response to a restarted controller, whose earlier grant a leader may still rely on.
type VoteQueryResponse struct {
	IsLeader bool `msgpack:"leading"`
}

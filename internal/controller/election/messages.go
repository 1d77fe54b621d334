package election

import "time"

// Paths that a controller serves on its peer address.
const (
	PingPath        = "/peer/hello"
	LeaderQueryPath = "/peer/inquiry"
)

// PingRequest is the ping that a leader sends to each peer to request a leader-lease grant. A former leader also sends
// it, with ReleasedLeaseID set, to announce that its leadership was transferred.
type PingRequest struct {
	Name         string `msgpack:"name"`
	FencingToken uint64 `msgpack:"token"`

	// ProbeStateService requests that the peer checks whether it can reach the state service.
	ProbeStateService bool `msgpack:"doubt,omitempty"`

	// ReleasedLeaseID is the lease of a leadership that was transferred; 0 if it was not. Grants to that leadership no
	// longer bind the peers, and the peers revoke this lease.
	ReleasedLeaseID uint64 `msgpack:"yield,omitempty"`
	// Successor is the name of the controller that should lead next. If it is empty, any controller may.
	Successor string `msgpack:"to,omitempty"`

	// SuspendRedirects requests that the peer does not redirect workers to the leader, since their heartbeats may not
	// reach it.
	SuspendRedirects bool `msgpack:"deaf,omitempty"`

	// StateLoaded is set if the leader has loaded its state and OldestCancellationAge is valid.
	StateLoaded bool `msgpack:"read,omitempty"`
	// OldestCancellationAge is the age of the oldest cancellation whose tasks may still run. Every cancellation that was
	// confirmed longer ago is completed.
	OldestCancellationAge time.Duration `msgpack:"age,omitempty"`
	// EchoedNonce is the nonce of the peer's last response to this leader.
	EchoedNonce uint64 `msgpack:"echo,omitempty"`
}

// PingResponse is a peer's response to a PingRequest.
type PingResponse struct {
	// Granted is set if the peer promises not to campaign for Options.GrantDuration.
	Granted bool `msgpack:"promised"`
	// StateServiceOK is set if the peer has probed the state service successfully a short time ago.
	StateServiceOK bool `msgpack:"sees,omitempty"`
	// RecentWorkers is the number of workers that contacted the peer recently although it is not the leader.
	RecentWorkers int `msgpack:"callers,omitempty"`
	// Nonce identifies this response. A ping that echoes it was sent after the response was created.
	Nonce uint64 `msgpack:"stamp,omitempty"`
}

// LeaderQueryResponse is the response to a controller that asks whether its peer leads. A restarted controller asks
// because a leader may still rely on a grant that it gave before the restart.
type LeaderQueryResponse struct {
	IsLeader bool `msgpack:"leading"`
}

package election

import (
	"testing"
	"time"

	"gullrudder/internal/goldenbytes"
)

// TestGoldenBytes checks that the encoding of the messages between controllers and of the leader's key does not change.
func TestGoldenBytes(t *testing.T) {
	goldenbytes.Check(t,
		goldenbytes.MessagePack("peer hello", PingRequest{
			Name: "node-a", FencingToken: 1 << 33, ProbeStateService: true, ReleasedLeaseID: 17, Successor: "node-b", SuspendRedirects: true,
			StateLoaded: true, OldestCancellationAge: 1500 * time.Millisecond, EchoedNonce: 1 << 40,
		}),
		goldenbytes.MessagePack("peer hello answer", PingResponse{Granted: true, StateServiceOK: true, RecentWorkers: 12, Nonce: 1 << 40}),
		goldenbytes.MessagePack("peer inquiry answer", LeaderQueryResponse{IsLeader: true}),
		goldenbytes.MessagePack("leader key", leaderRecord{Name: "node-a", LeaseID: 17}),
	)
}

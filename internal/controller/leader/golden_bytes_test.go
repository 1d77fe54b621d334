package leader

import (
	"testing"
	"time"

	"gullrudder/internal/goldenbytes"
)

func TestGoldenBytes(t *testing.T) {
	goldenbytes.Check(t,
		goldenbytes.MessagePack("peer hello", Hello{Name: "node-a", Token: 1 << 33, Doubt: true, Yield: 17, To: "node-b", Deaf: true,
			Read: true, Age: 1500 * time.Millisecond, Echo: 1 << 40}),
		goldenbytes.MessagePack("peer hello answer", HelloAnswer{Promised: true, Sees: true, Callers: 12, Stamp: 1 << 40}),
		goldenbytes.MessagePack("peer inquiry answer", InquiryAnswer{Leading: true}),
		goldenbytes.MessagePack("leader key", leaderValue{Name: "node-a", Permit: 17}),
	)
}

package fairshare

import (
	"testing"

	"gullrudder/internal/goldenbytes"
)

func TestGoldenBytes(t *testing.T) {
	value := savedState{SavedAt: 1_700_000_000_123, Groups: []savedGroup{{IsTeam: true, Name: "vision", Done: 12.25, IsLargest: true}}}
	goldenbytes.Check(t, goldenbytes.MessagePack("served", value), goldenbytes.JSON("served", value))
}

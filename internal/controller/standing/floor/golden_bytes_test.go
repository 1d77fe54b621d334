package floor

import (
	"testing"

	"gullrudder/internal/goldenbytes"
)

func TestGoldenBytes(t *testing.T) {
	value := record{At: 1_700_000_000_123, Groups: []row{{Team: true, Name: "vision", Done: 12.25, Largest: true}}}
	goldenbytes.Check(t, goldenbytes.MessagePack("served", value), goldenbytes.JSON("served", value))
}

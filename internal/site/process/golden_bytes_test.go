package process

import (
	"testing"

	"gullrudder/internal/goldenbytes"
)

func TestGoldenBytes(t *testing.T) {
	goldenbytes.Check(t, goldenbytes.JSON("identity", Identity{PID: 4711, StartTicks: 70_000, BootID: "0f0e"}))
}

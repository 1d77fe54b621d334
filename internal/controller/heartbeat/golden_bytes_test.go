package heartbeat

import (
	"testing"

	"gullrudder/internal/goldenbytes"
)

func TestGoldenBytes(t *testing.T) {
	goldenbytes.Check(t,
		goldenbytes.MessagePack("machine", MachineRecord{Addr: "10.0.0.1:7000"}),
		goldenbytes.JSON("machine", MachineRecord{Addr: "10.0.0.1:7000"}),
	)
}

package node

import (
	"testing"

	"gullrudder/internal/goldenbytes"
)

func TestGoldenBytes(t *testing.T) {
	status := Status{Node: "node-a", Leader: "node-b", Token: 70_000, Placing: true, Healthy: true, Jobs: 10, Finished: 300, Runs: 4, Waiting: 11,
		Running: 12, Budgets: Budgets{StateRate: 20.5, StateWrites: 10.5, CloudRate: 4.5, Connections: 100, MemoryMB: 512.5},
		Machines: []HostStatus{{ID: "vm-1", Type: "small", Zone: "a", Spot: true, State: "ok", Tasks: 3, CPUs: 2.5}},
		Took:     []Latency{{Kind: "submit", Count: 1000, P50: 3, P99: 40, Max: 500}}}
	goldenbytes.Check(t, goldenbytes.MessagePack("status", status), goldenbytes.JSON("status", status))
}

package controller

import (
	"testing"

	"gullrudder/internal/goldenbytes"
)

func TestGoldenBytes(t *testing.T) {
	status := Status{
		Controller:          "node-a",
		Leader:              "node-b",
		FencingToken:        70_000,
		Placing:             true,
		StateServiceHealthy: true,
		Jobs:                10,
		FinishedJobs:        300,
		ArchiveSegments:     4,
		WaitingTasks:        11,
		PlacedTasks:         12,
		Budgets:             Budgets{StateRequestRate: 20.5, StateWriteRate: 10.5, CloudRequestRate: 4.5, Connections: 100, MemoryMB: 512.5},
		Machines:            []MachineStatus{{ID: "vm-1", Type: "small", Zone: "a", Spot: true, State: "ok", Tasks: 3, UsedCPUs: 2.5}},
		Latencies:           []Latency{{Kind: "submit", Count: 1000, P50: 3, P99: 40, Max: 500}},
	}
	goldenbytes.Check(t, goldenbytes.MessagePack("status", status), goldenbytes.JSON("status", status))
}

package jobs

import (
	"testing"

	"gullrudder/internal/goldenbytes"
)

func TestGoldenBytes(t *testing.T) {
	record := Record{State: recAccepted, Tasks: 16, Label: true, Submitted: 1_700_000_000_123, Class: "train", Team: "vision", Service: true,
		Gang: true, Priority: 3, CPUs: 1.5, Cards: 2, Mem: 12.25, Image: "image:7", ImageGB: 9.5, Types: []string{"small", "large"}, Zone: "a",
		OneZone: true, Spread: true, Spot: true, Estimate: 61.5, Checkpoint: 30, Save: 2.5, Deadline: 3600, StartBy: 90, EndBy: 700,
		Spent: "AQI", Mistaken: true, Needs: []string{"job-000001"}, Ready: 1_700_000_001_000, Bits: "AAE"}
	goldenbytes.Check(t,
		goldenbytes.MessagePack("job", record),
		goldenbytes.JSON("job", record),
		goldenbytes.MessagePack("chunk", Chunk{Bits: "AAE"}),
		goldenbytes.JSON("chunk", Chunk{Bits: "AAE"}),
		goldenbytes.MessagePack("job done", FinalRecord(Done, 16)).Partial(),
		goldenbytes.MessagePack("job cancelled", FinalRecord(Cancelled, 16)).Partial(),
	)
}

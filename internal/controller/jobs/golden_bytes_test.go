package jobs

import (
	"testing"

	"gullrudder/internal/goldenbytes"
)

// TestGoldenBytes checks the encoding of records and chunks byte by byte, since older versions read them too.
func TestGoldenBytes(t *testing.T) {
	record := Record{
		State:                     recordAccepted,
		Tasks:                     16,
		Guaranteed:                true,
		SubmittedMs:               1_700_000_000_123,
		Class:                     "train",
		Team:                      "vision",
		IsService:                 true,
		IsGang:                    true,
		Priority:                  3,
		CPUs:                      1.5,
		GPUs:                      2,
		MemoryGB:                  12.25,
		Image:                     "image:7",
		ImageGB:                   9.5,
		MachineTypes:              []string{"small", "large"},
		Zone:                      "a",
		SingleZone:                true,
		SpreadAcrossZones:         true,
		AllowsSpot:                true,
		EstimateSeconds:           61.5,
		CheckpointSeconds:         30,
		CheckpointDurationSeconds: 2.5,
		DeadlineSeconds:           3600,
		FirstStartBoundSeconds:    90,
		LastStartBoundSeconds:     700,
		TimeAccount:               "AQI",
		CrashLooping:              true,
		Dependencies:              []string{"job-000001"},
		ReadyMs:                   1_700_000_001_000,
		DoneBits:                  "AAE",
	}
	goldenbytes.Check(t,
		goldenbytes.MessagePack("job", record),
		goldenbytes.JSON("job", record),
		goldenbytes.MessagePack("chunk", Chunk{DoneBits: "AAE"}),
		goldenbytes.JSON("chunk", Chunk{DoneBits: "AAE"}),
		goldenbytes.MessagePack("job done", NewFinalRecord(Done, 16)).AllowUnsetFields(),
		goldenbytes.MessagePack("job cancelled", NewFinalRecord(Cancelled, 16)).AllowUnsetFields(),
	)
}

package api

import (
	"testing"

	"gullrudder/internal/goldenbytes"
)

// TestGoldenBytes checks the encoded messages against testdata/golden-bytes.txt.
func TestGoldenBytes(t *testing.T) {
	count := 3
	waiting := QueuedJob{
		ID: "job-000412", Team: "vision", Class: "train",
		Rank:                   "high",
		WaitingTasks:           4,
		RunningTasks:           5,
		DoneTasks:              6,
		AgeSeconds:             7.5,
		FirstStartBoundSeconds: 8.5,
		LastStartBoundSeconds:  9.5,
		MissedStartBound:       true,
	}
	queue := Queue{Jobs: []QueuedJob{waiting}, Total: 70, MissedStartBounds: 2}
	shares := []TimeShare{{Reason: "queue", Milliseconds: 70_000}}
	explanation := Explanation{
		QueuedJob: waiting, State: "running", Position: 2, JobsAhead: []QueuedJob{waiting}, CPUSecondsAhead: 12.5,
		Reasons: []string{"no room"}, Remedies: []string{"more room"}, TimeShares: shares,
	}
	accounts := Accounts{
		Accounts: []ClassAccount{{Team: "vision", Class: "train", JobCount: 3, Milliseconds: 70_000, Shares: shares}},
		OpenJobs: 9,
	}
	served := ServedShares{
		Groups: []ServedShare{
			{IsTeam: true, Name: "vision", DoneJobs: 12.5, StarvedJobs: 2, AllocatedJobs: 1, Share: 0.75, IsLargestJobs: true},
		},
		MinShare: 0.25,
	}
	zones := Zones{
		Zones: []ZoneStatus{{Name: "a", State: "cut", StateSeconds: 12.5, LastHeartbeatSeconds: 3.5, Machines: 40, Overdue: 30, Outages: 2}},
	}
	goldenbytes.Check(
		t,
		goldenbytes.MessagePack(
			"job",
			jobResponse{ID: "job-000412", State: "running", Label: "guaranteed", Done: &count, Running: &count, WaitReason: "no room"},
		),
		goldenbytes.MessagePack("queue", queue),
		goldenbytes.JSON("queue", queue),
		goldenbytes.MessagePack("explanation", explanation),
		goldenbytes.JSON("explanation", explanation),
		goldenbytes.MessagePack("accounts", accounts),
		goldenbytes.JSON("accounts", accounts),
		goldenbytes.MessagePack("served", served),
		goldenbytes.JSON("served", served),
		goldenbytes.MessagePack("zones", zones),
		goldenbytes.JSON("zones", zones),
	)
}

package workerapi

import (
	"testing"

	"gullrudder/internal/goldenbytes"
)

func TestGoldenBytes(t *testing.T) {
	seconds := 29.5
	commands := []Command{{Operation: "stop", Task: "job-000412/3", Attempt: 1 << 33, GraceSeconds: &seconds}}
	goldenbytes.Check(
		t,
		goldenbytes.MessagePack("report", Heartbeat{
			Machine: "vm-1", Addr: "10.0.0.1:7000", Type: "small", Zone: "a", Spot: true, Incarnation: 1 << 40,
			Sequence: 300, FencingToken: 70_000, ReclaimInSeconds: &seconds,
			Tasks: []TaskStatus{{Task: "job-000412/3", Attempt: 1 << 33, State: "exited", Reason: "done", CheckpointSaved: true}},
		}),
		goldenbytes.MessagePack("answer", HeartbeatResponse{FencingToken: 70_000, Commands: commands}),
		goldenbytes.MessagePack("commands", DirectCommands{FencingToken: 70_000, Incarnation: 1 << 40, Commands: commands}),
		goldenbytes.MessagePack(
			"command without grace",
			[]Command{
				{Operation: "start", Task: "job-000412/3", Attempt: 7, GraceSeconds: &seconds},
				{Operation: "start", Task: "job-000412/4", Attempt: 8},
			},
		),
		goldenbytes.MessagePack("elsewhere", Redirect{Leader: "10.0.0.2:80"}),
		goldenbytes.MessagePack("caller", HeartbeatID{Machine: "vm-1", Incarnation: 1 << 40, Sequence: 300}),
	)
}

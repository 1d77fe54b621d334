package workers

import (
	"testing"

	"gullrudder/internal/goldenbytes"
)

func TestGoldenBytes(t *testing.T) {
	seconds := 29.5
	commands := []Command{{Op: "stop", Task: "job-000412/3", Attempt: 1 << 33, Grace: &seconds}}
	goldenbytes.Check(t,
		goldenbytes.MessagePack("report", Report{Machine: "vm-1", Addr: "10.0.0.1:7000", Type: "small", Zone: "a", Spot: true, Session: 1 << 40,
			Seq: 300, Token: 70_000, Notice: &seconds,
			Tasks: []TaskReport{{Task: "job-000412/3", Attempt: 1 << 33, State: "exited", Why: "done", Saved: true}}}),
		goldenbytes.MessagePack("answer", Answer{Token: 70_000, Commands: commands}),
		goldenbytes.MessagePack("commands", Direct{Token: 70_000, Session: 1 << 40, Commands: commands}),
		goldenbytes.MessagePack("command without grace", []Command{{Op: "start", Task: "job-000412/3", Attempt: 7, Grace: &seconds}, {Op: "start", Task: "job-000412/4", Attempt: 8}}),
		goldenbytes.MessagePack("elsewhere", Elsewhere{Leader: "10.0.0.2:80"}),
		goldenbytes.MessagePack("caller", Caller{Machine: "vm-1", Session: 1 << 40, Seq: 300}),
	)
}

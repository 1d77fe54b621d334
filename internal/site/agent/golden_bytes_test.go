package agent

import (
	"testing"
	"time"

	"gullrudder/internal/goldenbytes"
	"gullrudder/internal/wire/poolapi"
	"gullrudder/internal/wire/workerapi"
)

func TestGoldenBytes(t *testing.T) {
	seconds, token, incarnation := 29.5, uint64(70_000), uint64(1<<40)
	spec := Spec{
		JobID: "job-000412", Tasks: 4, CPUs: 1.5, MemoryGB: 2.5, Command: []string{"/bin/run", "{task}"},
		Env: map[string]string{"KEY": "value"}, WorkingDir: "/work", Retries: 2, CheckpointSeconds: 30,
	}
	goldenbytes.Check(t,
		goldenbytes.MessagePack("report", workerapi.Heartbeat{
			Machine: "vm-1", Addr: "10.0.0.1:7000", Type: "small", Zone: "a", Spot: true, Incarnation: incarnation,
			Sequence: 300, FencingToken: token, ReclaimInSeconds: &seconds,
			Tasks: []workerapi.TaskStatus{{
				Task: "job-000412/3", Attempt: 1 << 33, State: workerapi.StateExited, Reason: workerapi.ReasonDone, CheckpointSaved: true,
			}},
		}),
		goldenbytes.MessagePack("answer", controllerMessage{
			FencingToken: &token, Incarnation: &incarnation,
			Commands: []workerapi.Command{{Operation: "stop", Task: "job-000412/3", Attempt: 1 << 33, GraceSeconds: &seconds}},
			Leader:   "10.0.0.2:80",
		}),
		goldenbytes.MessagePack("description", spec), goldenbytes.JSON("description", spec),
		goldenbytes.MessagePack("greeting", poolapi.WorkerReport{
			Name: "worker-1", Addr: "10.0.0.1:7000", Type: "small", Zone: "a", CPUs: 8, MemoryGB: 31.5,
			Epoch: incarnation, Machine: "vm-1", AppliedSerial: 7, RunningTasks: 3, FreeDiskBytes: 1 << 40, Failures: []string{"{}"},
		}),
		goldenbytes.MessagePack("charge", poolapi.MachineAssignment{Machine: "vm-1", HasDrainNotice: true, Serial: 7}),
		goldenbytes.JSON("result", Result{
			Task: "job-000412/3", Attempt: 1 << 33, Exit: 137, Reason: "killed", ErrorTail: "out of memory",
			StartedAt: time.Unix(1_700_000_000, 123_000_000).UTC(), FinishedAt: time.Unix(1_700_000_100, 0).UTC(),
		}),
	)
}

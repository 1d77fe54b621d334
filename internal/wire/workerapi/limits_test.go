package workerapi

import (
	"encoding/json"
	"math"
	"strings"
	"testing"

	"gullrudder/internal/wire/codec"
)

// maxBodyBytes is the limit of the protocol on a request body. It counts the body as JSON.
const maxBodyBytes = 64 << 10

// TestLargestHeartbeatFitsIntoBody guards against a machine with so many tasks that its heartbeats are refused: its lease would expire, and
// all of its tasks would end, again and again.
func TestLargestHeartbeatFitsIntoBody(t *testing.T) {
	const longestTask = "job-99999999999999999999999999999999/99999"
	reclaim := 3599.123456789
	heartbeat := Heartbeat{
		Machine: strings.Repeat("m", MaxMachineIDBytes), Addr: strings.Repeat("a", 64),
		Type: strings.Repeat("t", 64), Zone: strings.Repeat("z", 64),
		Incarnation: math.MaxUint64, Sequence: math.MaxUint64, FencingToken: math.MaxUint64, ReclaimInSeconds: &reclaim,
	}
	for range MaxTasksPerMachine {
		heartbeat.Tasks = append(heartbeat.Tasks, TaskStatus{
			Task: longestTask, Attempt: math.MaxUint64, State: StateExited, Reason: ReasonNoCapacity, CheckpointSaved: true,
		})
	}
	packed, err := codec.Marshal(&heartbeat)
	if err != nil {
		t.Fatal(err)
	}
	var fields map[string]any
	if err := codec.Unmarshal(packed, &fields); err != nil {
		t.Fatal(err)
	}
	asJSON, err := json.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	if len(packed) > maxBodyBytes || len(asJSON) > maxBodyBytes {
		t.Errorf("largest heartbeat: got %d bytes, %d as JSON, want at most %d", len(packed), len(asJSON), maxBodyBytes)
	}
}

package workerapi

import (
	"maps"
	"slices"
	"testing"

	"gullrudder/internal/wire/codec"
)

// TestTaskStatusWithoutReason checks that the encoded status of an attempt that has not exited contains neither a reason nor a checkpoint
// flag, and that a body with both fields empty decodes to the same status.
func TestTaskStatusWithoutReason(t *testing.T) {
	want := TaskStatus{Task: "job-1/0", Attempt: 3, State: StateRunning}
	raw, err := codec.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var fields map[string]any
	if err := codec.Unmarshal(raw, &fields); err != nil {
		t.Fatal(err)
	}
	if got := slices.Sorted(maps.Keys(fields)); !slices.Equal(got, []string{"launch", "stroke", "trim"}) {
		t.Errorf("fields: got %v, want [launch stroke trim]", got)
	}
	fields["wake"], fields["saved"] = "", false
	complete, err := codec.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	for name, body := range map[string][]byte{"left out": raw, "sent": complete} {
		var got TaskStatus
		if err := codec.Unmarshal(body, &got); err != nil || got != want {
			t.Errorf("decode %s: got %+v, error %v, want %+v", name, got, err, want)
		}
	}
}

// TestDecodeHeartbeatID checks from which bodies a heartbeat ID is decoded.
func TestDecodeHeartbeatID(t *testing.T) {
	long := make([]byte, MaxMachineIDBytes+1)
	for name, c := range map[string]struct {
		machine string
		ok      bool
	}{
		"named":    {"vm-1", true},
		"unnamed":  {"", false},
		"too long": {string(long), false},
	} {
		t.Run(name, func(t *testing.T) {
			raw, err := codec.Marshal(Heartbeat{Machine: c.machine, Incarnation: 7, Sequence: 9, Tasks: []TaskStatus{{Task: "job-1/0"}}})
			if err != nil {
				t.Fatal(err)
			}
			var want HeartbeatID
			if c.ok {
				want = HeartbeatID{c.machine, 7, 9}
			}
			if id, ok := DecodeHeartbeatID(raw); ok != c.ok || id != want {
				t.Errorf("heartbeat ID: got %+v (ok %v), want %+v (ok %v)", id, ok, want, c.ok)
			}
		})
	}
	if _, ok := DecodeHeartbeatID([]byte("no heartbeat")); ok {
		t.Error("body that is not MessagePack: ID decoded, want none")
	}
}

package jobs

import (
	"encoding/json"
	"errors"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/wire/codec"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func submission() map[string]any {
	return map[string]any{
		"id": "job-000412", "berth": "train", "crew": "vision", "rig": "array", "heading": "high", "strokes": 16,
		"cpus": 8.0, "cards": 1.0, "mem_gb": 64.0, "hull": "img-07", "image_gb": 6.2, "keels": []string{"g8"}, "harbour": nil,
		"one_zone": true, "spread": false, "driftwood": true, "voyage_s": 240.0, "mooring_s": 30.0, "tieup_s": 4.0, "landfall_s": 900.0,
	}
}

func parse(t *testing.T, m any) (Spec, error) {
	raw, err := codec.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return ParseSpec(raw)
}

func TestSubmissionIsRead(t *testing.T) {
	m := submission()
	m["cpus"], m["strokes"] = 8, 16.0 // a whole number for an amount, and the reverse
	got, err := parse(t, m)
	want := Spec{
		ID: "job-000412", Class: "train", Team: "vision", Priority: High, Tasks: 16, CPUs: 8, GPUs: 1, MemoryGB: 64,
		Image: "img-07", ImageGB: 6.2, MachineTypes: []string{"g8"}, SingleZone: true, AllowsSpot: true, RunTimeEstimate: 4 * time.Minute,
		CheckpointInterval: 30 * time.Second, CheckpointDuration: 4 * time.Second, Deadline: 15 * time.Minute,
	}
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Errorf("%v\n%s", err, diff)
	}
}

func TestMalformedSubmissions(t *testing.T) {
	m := submission()
	m["tows"] = []string{"job-2", "job-1", "job-2"}
	if s, err := parse(t, m); err != nil || !slices.Equal(s.Dependencies, []string{"job-2", "job-1"}) {
		t.Fatalf("needs %v, %v", s.Dependencies, err)
	}
	nan := 0.0
	nan /= nan
	bad := map[string][]any{
		"id": {nil, "", "job-", "job-12x", "Job-1", 7}, "berth": {nil, 3, ""}, "crew": {nil}, "rig": {"raft", nil},
		"heading": {"urgent", nil}, "strokes": {0, -1, 100_001, 1.5, "4", nil}, "cpus": {-1, nan, "8", nil}, "cards": {-1, nil},
		"mem_gb": {-0.5, nil}, "hull": {nil, 1}, "image_gb": {-1, nil}, "keels": {[]string{}, "g8", []any{1}}, "harbour": {5},
		"one_zone": {nil, 1}, "spread": {nil}, "driftwood": {"yes"}, "voyage_s": {-1, 0, nan, nil}, "mooring_s": {-1, nil},
		"tieup_s": {-2, nil}, "landfall_s": {0, -5, "x"}, "tows": {"job-1", []string{"1"}, []any{3}, 7, map[string]any{}, make([]string, 65)},
	}
	for name, values := range bad {
		for _, v := range values {
			m := submission()
			m[name] = v
			var r *ValidationError
			if _, err := parse(t, m); !errors.As(err, &r) || r.Status != 400 {
				t.Errorf("%s = %v: %v", name, v, err)
			}
		}
	}
	// Of every field that has to be there: missing, of no type that it may have, beyond all bounds.
	for name := range submission() {
		values := []any{map[string]any{}, []any{}, math.Inf(1), math.Inf(-1), strings.Repeat("x", 201), 1e300}
		if name != "keels" && name != "harbour" && name != "landfall_s" {
			m := submission()
			delete(m, name)
			if _, err := parse(t, m); err == nil {
				t.Errorf("taken without %s", name)
			}
		}
		for _, v := range values {
			m := submission()
			m[name] = v
			if _, err := parse(t, m); err == nil {
				t.Errorf("%s = %v is taken", name, v)
			}
		}
	}
	for _, v := range []any{nil, 3, "x", []int{1}} {
		if _, err := parse(t, v); err == nil {
			t.Errorf("%v is taken for a submission", v)
		}
	}
}

// What the ledger keeps is enough to rebuild a job, for arrays of one entry and of many
// chunks, and never outgrows what was reserved.
func TestRecordRebuildsTheJob(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Spec{
			ID: "job-1", Class: "c", Team: "t", Tasks: rapid.SampledFrom([]int{1, 63, 64, 65, 352, 2048, 2049, 9000}).Draw(t, "tasks"),
			CPUs: 1, MemoryGB: 2, Image: "i", RunTimeEstimate: time.Second, Zone: "a", MachineTypes: []string{"x"}, Deadline: time.Minute,
			Dependencies: rapid.SampledFrom([][]string{nil, {"job-7"}, {"job-8", "job-20260000000009"}}).Draw(t, "needs"),
		}
		j := New(s, time.UnixMilli(123456))
		j.State, j.Guaranteed = Accepted, rapid.Bool().Draw(t, "label")
		chunks := map[string]Chunk{}
		reserve := j.MaxRecordBytes()
		if len(s.Dependencies) > 0 && rapid.Bool().Draw(t, "met") {
			j.ReadyAt = time.UnixMilli(223456)
		}
		for range rapid.IntRange(0, 60).Draw(t, "count") {
			j.MarkTaskDone(rapid.IntRange(0, s.Tasks-1).Draw(t, "task"))
			if rapid.Bool().Draw(t, "save") {
				_, some := j.TakeUnsaved()
				for k, v := range some {
					chunks[k] = v
				}
			}
		}
		_, some := j.TakeUnsaved()
		for k, v := range some {
			chunks[k] = v
		}
		got, err := FromRecord("job-1", j.Record())
		if err != nil {
			t.Fatal(err)
		}
		if text, err := json.Marshal(j.Record()); err != nil || len(text) > reserve {
			t.Fatalf("%d bytes where %d are reserved, %v", len(text), reserve, err)
		}
		for name, c := range chunks {
			_, n, ok := ParseChunkName(name)
			if !ok {
				t.Fatalf("chunk %q", name)
			}
			if err := got.RestoreChunk(n, c); err != nil {
				t.Fatal(err)
			}
		}
		if diff := cmp.Diff(
			j.Spec,
			got.Spec,
		); diff != "" || got.Guaranteed != j.Guaranteed || !got.SubmittedAt.Equal(j.SubmittedAt) ||
			!got.ReadyAt.Equal(j.ReadyAt) {
			t.Fatalf("%s", diff)
		}
		for i := range s.Tasks {
			if got.IsTaskDone(i) != j.IsTaskDone(i) || got.IsTaskDone(i) != got.IsTaskDurable(i) {
				t.Fatalf("task %d: done %v, rebuilt %v, durable %v", i, j.IsTaskDone(i), got.IsTaskDone(i), got.IsTaskDurable(i))
			}
		}
		if got.DoneTasks != j.DoneTasks {
			t.Fatalf("%d done, rebuilt %d", j.DoneTasks, got.DoneTasks)
		}
	})
}

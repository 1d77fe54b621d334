package jobs

import (
	"encoding/json"
	"maps"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestRecordRoundTrip checks that a job is restored from its record, with its results in the record or in chunks. It also
// checks that the record never exceeds the space reserved for it.
func TestRecordRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		job := drawJob(t)
		reserved := job.MaxRecordBytes()
		chunks := drawProgress(t, job)
		if text, err := json.Marshal(job.Record()); err != nil || len(text) > reserved {
			t.Fatalf("record as JSON: got %d bytes, error %v, want at most %d bytes", len(text), err, reserved)
		}
		rebuilt, err := FromRecord(job.ID, job.Record())
		if err != nil {
			t.Fatal(err)
		}
		restoreChunks(t, rebuilt, chunks)
		compareJobs(t, job, rebuilt)
	})
}

func drawJob(t *rapid.T) *Job {
	spec := Spec{
		ID: "job-1", Class: "c", Team: "t",
		Tasks: rapid.SampledFrom([]int{1, 63, 64, 65, 352, 2048, 2049, 9000}).Draw(t, "tasks"),
		CPUs:  1, MemoryGB: 2, Image: "i", RunTimeEstimate: time.Second, Zone: "a", MachineTypes: []string{"x"}, Deadline: time.Minute,
		Dependencies: rapid.SampledFrom([][]string{nil, {"job-7"}, {"job-8", "job-20260000000009"}}).Draw(t, "needs"),
	}
	job := New(spec, time.UnixMilli(123456))
	job.State, job.Guaranteed = Accepted, rapid.Bool().Draw(t, "label")
	return job
}

// drawProgress completes some tasks and returns the chunks that TakeUnsaved returned for them, by entry name.
func drawProgress(t *rapid.T, job *Job) map[string]Chunk {
	if len(job.Dependencies) > 0 && rapid.Bool().Draw(t, "met") {
		job.ReadyAt = time.UnixMilli(223456)
	}
	stored := map[string]Chunk{}
	save := func() {
		_, chunks := job.TakeUnsaved()
		maps.Copy(stored, chunks)
	}
	for range rapid.IntRange(0, 60).Draw(t, "count") {
		job.RecordTaskDone(rapid.IntRange(0, job.Tasks-1).Draw(t, "task"))
		if rapid.Bool().Draw(t, "save") {
			save()
		}
	}
	save()
	return stored
}

func restoreChunks(t *rapid.T, job *Job, chunks map[string]Chunk) {
	for name, chunk := range chunks {
		_, index, ok := ParseChunkName(name)
		if !ok {
			t.Fatalf("chunk name %q: not recognized, want recognized", name)
		}
		if err := job.RestoreChunk(index, chunk); err != nil {
			t.Fatal(err)
		}
	}
}

func compareJobs(t *rapid.T, want, got *Job) {
	diff := cmp.Diff(want.Spec, got.Spec)
	if diff != "" || got.Guaranteed != want.Guaranteed || !got.SubmittedAt.Equal(want.SubmittedAt) || !got.ReadyAt.Equal(want.ReadyAt) {
		t.Fatalf(
			"restored job: guaranteed %v, submitted %v, ready %v, want %v, %v, %v; spec (-want +got):\n%s",
			got.Guaranteed, got.SubmittedAt, got.ReadyAt, want.Guaranteed, want.SubmittedAt, want.ReadyAt, diff,
		)
	}
	for i := range want.Tasks {
		if got.IsTaskDone(i) != want.IsTaskDone(i) || got.IsTaskDone(i) != got.IsTaskDurable(i) {
			t.Fatalf("task %d: got done %v, durable %v, want both %v", i, got.IsTaskDone(i), got.IsTaskDurable(i), want.IsTaskDone(i))
		}
	}
	if got.DoneTasks != want.DoneTasks {
		t.Fatalf("done tasks: got %d, want %d", got.DoneTasks, want.DoneTasks)
	}
}

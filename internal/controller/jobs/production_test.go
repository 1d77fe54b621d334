package jobs

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"gullrudder/internal/wire/codec"

	"github.com/google/go-cmp/cmp"
)

// productionRecord is the record as the version in production reads and writes it. The field names are those of that version.
type productionRecord struct {
	State      string   `msgpack:"s"`
	Tasks      int      `msgpack:"n"`
	Label      bool     `msgpack:"g,omitempty"`
	Submitted  int64    `msgpack:"t,omitempty"`
	Class      string   `msgpack:"cl,omitempty"`
	Team       string   `msgpack:"tm,omitempty"`
	Service    bool     `msgpack:"sv,omitempty"`
	Gang       bool     `msgpack:"ga,omitempty"`
	Priority   int      `msgpack:"p,omitempty"`
	CPUs       float64  `msgpack:"c,omitempty"`
	Cards      float64  `msgpack:"x,omitempty"`
	Mem        float64  `msgpack:"m,omitempty"`
	Image      string   `msgpack:"i,omitempty"`
	ImageGB    float64  `msgpack:"ig,omitempty"`
	Types      []string `msgpack:"ty,omitempty"`
	Zone       string   `msgpack:"z,omitempty"`
	OneZone    bool     `msgpack:"oz,omitempty"`
	Spread     bool     `msgpack:"sp,omitempty"`
	Spot       bool     `msgpack:"d,omitempty"`
	Estimate   float64  `msgpack:"e,omitempty"`
	Checkpoint float64  `msgpack:"k,omitempty"`
	Save       float64  `msgpack:"sa,omitempty"`
	Deadline   float64  `msgpack:"dl,omitempty"`
	StartBy    int64    `msgpack:"bf,omitempty"`
	EndBy      int64    `msgpack:"bl,omitempty"`
	Spent      string   `msgpack:"ac,omitempty"`
	CrashLoop  bool     `msgpack:"mk,omitempty"`
	Bits       string   `msgpack:"b,omitempty"`
}

func loadFixture(t *testing.T, name string, v any) {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", "production", name+".msgpack"))
	if err != nil {
		t.Fatal(err)
	}
	if err := codec.Unmarshal(raw, v); err != nil {
		t.Fatal(err)
	}
}

// TestProductionRecordsAreRead checks that a record stored by the version in production is read with all its fields.
func TestProductionRecordsAreRead(t *testing.T) {
	want := Spec{
		ID: "job-000412", Class: "train", Team: "vision", Priority: High, Tasks: 70, CPUs: 8, GPUs: 1, MemoryGB: 64,
		Image: "img-07", ImageGB: 6.2, MachineTypes: []string{"g8"}, Zone: "a", SingleZone: true, AllowsSpot: true,
		RunTimeEstimate: 4 * time.Minute, CheckpointInterval: 30 * time.Second, CheckpointDuration: 4 * time.Second,
		Deadline: 15 * time.Minute,
	}
	for name, state := range map[string]State{"accepted": Accepted, "cancelling": Cancelled} {
		t.Run(name, func(t *testing.T) {
			var record Record
			loadFixture(t, name, &record)
			job, err := FromRecord("job-000412", record)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want, job.Spec); diff != "" {
				t.Errorf("spec (-want +got):\n%s", diff)
			}
			if job.State != state || job.DoneTasks != 2 || !job.IsTaskDurable(69) || !job.Guaranteed || !job.CrashLooping ||
				job.FirstStartBound != 40*time.Second || job.LastStartBound != 90*time.Second ||
				job.SubmittedAt.UnixMilli() != 1_700_000_000_123 {
				t.Errorf("job: got %+v, want the fields of the production record in state %v", job, state)
			}
		})
	}
}

// TestProductionRecordIsRewrittenUnchanged checks that a record of the version in production is written back with the
// same fields, since that version may lead again.
func TestProductionRecordIsRewrittenUnchanged(t *testing.T) {
	var record Record
	loadFixture(t, "accepted", &record)
	job, err := FromRecord("job-000412", record)
	if err != nil {
		t.Fatal(err)
	}
	rewritten := job.Record()
	rewritten.TimeAccount = record.TimeAccount
	got, err := codec.MarshalSorted(rewritten)
	if err != nil {
		t.Fatal(err)
	}
	var old productionRecord
	loadFixture(t, "accepted", &old)
	want, err := codec.MarshalSorted(old)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != string(want) {
		t.Errorf("rewritten record: got %x, want %x", got, want)
	}
}

// TestProductionFinalRecordsAreRead checks that final records of the version in production are read.
func TestProductionFinalRecordsAreRead(t *testing.T) {
	for name, state := range map[string]State{"done": Done, "cancelled": Cancelled} {
		var record Record
		loadFixture(t, name, &record)
		if job, err := FromRecord("job-1", record); err != nil || job.State != state || job.Tasks != 70 {
			t.Errorf("%s: got %+v, error %v, want state %v with 70 tasks", name, job, err, state)
		}
	}
}

// TestProductionChunkIsRead checks that a chunk of results of the version in production is read.
func TestProductionChunkIsRead(t *testing.T) {
	var chunk Chunk
	if loadFixture(t, "chunk", &chunk); chunk.DoneBits != "AQI" {
		t.Errorf("chunk: got %+v, want done bits AQI", chunk)
	}
}

// TestRecordHasProductionFieldsOnly checks that records have only the fields of the version in production, with the same tags
// and types. The fields for dependencies are the only exception.
func TestRecordHasProductionFieldsOnly(t *testing.T) {
	known := map[string]reflect.Type{}
	for _, field := range reflect.VisibleFields(reflect.TypeFor[productionRecord]()) {
		known[field.Tag.Get("msgpack")] = field.Type
	}
	for _, field := range reflect.VisibleFields(reflect.TypeFor[Record]()) {
		tag := field.Tag.Get("msgpack")
		isDependencyField := tag == "nd,omitempty" || tag == "rd,omitempty"
		if known[tag] != field.Type && !isDependencyField {
			t.Errorf("field %s (%s): got type %v, want %v as in production", field.Name, tag, field.Type, known[tag])
		}
	}
}

// TestProductionReadsNewRecords checks that the version in production can read the record of any job. The fields for
// dependencies are written only for jobs with dependencies. Such jobs are submitted only after that version is out of use.
func TestProductionReadsNewRecords(t *testing.T) {
	for _, dependencies := range [][]string{nil, {"job-1", "job-2"}} {
		spec := Spec{
			ID: "job-3", Class: "c", Team: "t", Tasks: 9, CPUs: 1, Image: "i", RunTimeEstimate: time.Second, Dependencies: dependencies,
		}
		job := New(spec, time.UnixMilli(5000))
		job.State = Accepted
		raw, err := codec.Marshal(job.Record())
		if err != nil {
			t.Fatal(err)
		}
		var fields map[string]any
		if err := codec.Unmarshal(raw, &fields); err != nil {
			t.Fatal(err)
		}
		if _, written := fields["nd"]; written != (dependencies != nil) {
			t.Errorf("dependencies %v: fields %v, want nd written %v", dependencies, fields, dependencies != nil)
		}
		var old productionRecord
		if err := codec.Unmarshal(raw, &old); err != nil || old.Tasks != 9 || old.Class != "c" {
			t.Errorf("record read by the production version: got %+v, error %v, want 9 tasks of class c", old, err)
		}
	}
}

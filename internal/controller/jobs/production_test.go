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

// productionRecord is the form of a record that the version in production decodes and writes.
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
	Mistaken   bool     `msgpack:"mk,omitempty"`
	Bits       string   `msgpack:"b,omitempty"`
}

func fixture(t *testing.T, name string, v any) {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", "production", name+".msgpack"))
	if err != nil {
		t.Fatal(err)
	}
	if err := codec.Unmarshal(raw, v); err != nil {
		t.Fatal(err)
	}
}

// What the version in production has stored is read, and rewritten without a field that it does not know: it may lead again.
func TestRecordsOfProduction(t *testing.T) {
	want := Spec{
		ID:                 "job-000412",
		Class:              "train",
		Team:               "vision",
		Priority:           High,
		Tasks:              70,
		CPUs:               8,
		GPUs:               1,
		MemoryGB:           64,
		Image:              "img-07",
		ImageGB:            6.2,
		MachineTypes:       []string{"g8"},
		Zone:               "a",
		SingleZone:         true,
		AllowsSpot:         true,
		RunTimeEstimate:    4 * time.Minute,
		CheckpointInterval: 30 * time.Second,
		CheckpointDuration: 4 * time.Second,
		Deadline:           15 * time.Minute,
	}
	for name, state := range map[string]State{"accepted": Accepted, "cancelling": Cancelled} {
		var rec Record
		fixture(t, name, &rec)
		j, err := FromRecord("job-000412", rec)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(
			want,
			j.Spec,
		); diff != "" || j.State != state || j.DoneTasks != 2 || !j.IsTaskDurable(69) || !j.Guaranteed || !j.CrashLooping ||
			j.FirstStartBound != 40*time.Second || j.LastStartBound != 90*time.Second ||
			j.SubmittedAt.UnixMilli() != 1_700_000_000_123 {
			t.Errorf("%s: %s\n%+v", name, diff, j)
		}
		if state != Accepted {
			continue
		}
		again := j.Record()
		again.TimeAccount = rec.TimeAccount
		var old productionRecord
		fixture(t, name, &old)
		raw, err := codec.MarshalSorted(again)
		if err != nil {
			t.Fatal(err)
		}
		before, err := codec.MarshalSorted(old)
		if err != nil {
			t.Fatal(err)
		}
		if string(raw) != string(before) {
			t.Errorf("%s is rewritten in another form:\n%x\n%x", name, before, raw)
		}
	}
	for name, state := range map[string]State{"done": Done, "cancelled": Cancelled} {
		var rec Record
		fixture(t, name, &rec)
		if j, err := FromRecord("job-1", rec); err != nil || j.State != state || j.Tasks != 70 {
			t.Errorf("%s: %+v, %v", name, j, err)
		}
	}
	var c Chunk
	if fixture(t, "chunk", &c); c.DoneBits != "AQI" {
		t.Errorf("%+v", c)
	}
}

// What is written of a job without needs has only fields that the version in production knows, by the same names and types. A
// job with needs it can read all the same; such come only when it is nowhere any more.
func TestRecordsForProduction(t *testing.T) {
	known := map[string]reflect.Type{}
	for _, f := range reflect.VisibleFields(reflect.TypeFor[productionRecord]()) {
		known[f.Tag.Get("msgpack")] = f.Type
	}
	for _, f := range reflect.VisibleFields(reflect.TypeFor[Record]()) {
		if tag := f.Tag.Get("msgpack"); known[tag] != f.Type && f.Name != "Needs" && f.Name != "Ready" {
			t.Errorf("field %s (%s) is not known to production", f.Name, tag)
		}
	}
	for _, needs := range [][]string{nil, {"job-1", "job-2"}} {
		s := Spec{ID: "job-3", Class: "c", Team: "t", Tasks: 9, CPUs: 1, Image: "i", RunTimeEstimate: time.Second, Dependencies: needs}
		j := New(s, time.UnixMilli(5000))
		j.State = Accepted
		raw, err := codec.Marshal(j.Record())
		if err != nil {
			t.Fatal(err)
		}
		var fields map[string]any
		if err := codec.Unmarshal(raw, &fields); err != nil {
			t.Fatal(err)
		}
		if _, is := fields["nd"]; is != (needs != nil) {
			t.Errorf("needs %v: %v", needs, fields)
		}
		var old productionRecord
		if err := codec.Unmarshal(raw, &old); err != nil || old.Tasks != 9 || old.Class != "c" {
			t.Errorf("%+v, %v", old, err)
		}
	}
}

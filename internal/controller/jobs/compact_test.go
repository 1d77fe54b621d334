package jobs

import (
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestCompactRecordFitsIntoSmallPage guards against a job that cannot be stored because of its long names or its list of types. The
// smallest value limit of the known deployments is 2 KiB.
func TestCompactRecordFitsIntoSmallPage(t *testing.T) {
	const smallestPage = 1900
	types := make([]string, 5000)
	for i := range types {
		types[i] = "type-" + strconv.Itoa(i)
	}
	spec := Spec{
		ID: "job-1", Class: strings.Repeat("\x01", 10_000), Team: "t", Tasks: MaxTasks, CPUs: 1, Image: strings.Repeat("i", 10_000),
		MachineTypes: types, RunTimeEstimate: time.Second,
	}
	compact := spec.Compact(func(machineType string) bool { return machineType == "type-7" })
	if got := New(compact, time.Unix(1000, 0)).MaxRecordBytes(); got > smallestPage {
		t.Errorf("record: got %d bytes, want at most %d", got, smallestPage)
	}
	if len(compact.MachineTypes) != 1 || compact.MachineTypes[0] != "type-7" {
		t.Errorf("machine types: got %v, want the offered one", compact.MachineTypes)
	}
	if again := spec.Compact(func(string) bool { return true }); again.Class != compact.Class || again.Class == again.Image {
		t.Errorf("names: got class %q, then %q, image %q, want the same class and another image", compact.Class, again.Class, again.Image)
	}
	usual := Spec{Class: "train", Image: "img-07", MachineTypes: []string{"g8"}}
	if got := usual.Compact(func(string) bool { return false }); got.Class != "train" || got.Image != "img-07" || len(got.MachineTypes) != 1 {
		t.Errorf("usual names: got %+v, want them unchanged", got)
	}
}

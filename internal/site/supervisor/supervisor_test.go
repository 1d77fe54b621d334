package supervisor

import (
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/site/process"
	"gullrudder/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// TestRestartAndStop checks that a process that exits is restarted, that Stop stops all processes, and that a new
// supervisor ends the processes of one that was killed.
func TestRestartAndStop(t *testing.T) {
	dir := t.TempDir()
	specs := []ProcessSpec{
		{"first", []string{"-c", "echo run >> " + dir + "/first; exit 3"}},
		{"last", []string{"-c", "echo run >> " + dir + "/last; exec sleep 300"}},
	}
	s, err := New("/bin/sh", dir, "test-"+t.Name(), specs, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	stopped := make(chan struct{})
	go func() { s.Run(); close(stopped) }()
	runs := func(name string) int {
		raw, err := os.ReadFile(dir + "/" + name)
		if err != nil {
			return 0
		}
		return strings.Count(string(raw), "run")
	}
	for runs("first") < 3 || runs("last") < 1 {
		time.Sleep(10 * time.Millisecond) // if the runs never start, the test times out
	}
	tags := map[string]bool{s.tag: true}
	if len(process.Find(tags, nil)) == 0 {
		t.Error("processes with the tag of the site: got none, want those of the supervisor")
	}
	// A new supervisor of the site first ends the processes of the earlier one.
	if _, err := New("/bin/sh", dir, "test-"+t.Name(), nil, slog.New(slog.DiscardHandler)); err != nil {
		t.Errorf("second supervisor: %v", err)
	}
	for runs("last") < 2 {
		time.Sleep(10 * time.Millisecond) // the first supervisor still runs and restarts it
	}
	s.Stop()
	<-stopped
	if left := process.Find(tags, nil); len(left) > 0 {
		t.Errorf("processes after Stop: got %v, want none", left)
	}
}

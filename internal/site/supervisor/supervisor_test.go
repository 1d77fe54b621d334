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

// A part that ends is started again; all are ended, the last first, also one that ignores what it is
// told; and a supervisor that comes after one that was killed ends what is left of it.
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
		time.Sleep(10 * time.Millisecond) // the test's own limit ends it otherwise
	}
	tags := map[string]bool{s.tag: true}
	if len(process.Find(tags, nil)) == 0 {
		t.Error("the parts are not marked")
	}
	// Another supervisor of the site, as after a kill of this one, ends them first.
	if _, err := New("/bin/sh", dir, "test-"+t.Name(), nil, slog.New(slog.DiscardHandler)); err != nil {
		t.Error(err)
	}
	for runs("last") < 2 {
		time.Sleep(10 * time.Millisecond) // the first supervisor is there still, and starts it again
	}
	s.Stop()
	<-stopped
	if list := process.Find(tags, nil); len(list) > 0 {
		t.Errorf("%v are left", list)
	}
}

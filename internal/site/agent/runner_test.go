package agent

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gullrudder/internal/site/process"
)

type shop struct {
	*testing.T
	r    *Runner
	ends chan Ended
}

func newShop(t *testing.T, dir string) *shop {
	s := &shop{T: t, ends: make(chan Ended, 16)}
	var err error
	s.r, err = newRunner(dir, nil, slog.New(slog.DiscardHandler), func(e Ended, _ bool) { s.ends <- e })
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *shop) launch(task, script string, d Spec) {
	d.Command = []string{"sh", "-c", script}
	s.r.Launch(Launch{task, 1, &d})
}

// running waits until a file is there.
func (s *shop) running(path string) {
	for {
		if _, err := os.Stat(path); err == nil {
			return
		}
		time.Sleep(5 * time.Millisecond) // the test's own limit ends it otherwise
	}
}

// How tasks end, and what is kept of it.
func TestHowTasksEnd(t *testing.T) {
	dir := t.TempDir()
	s := newShop(t, dir+"/worker")
	defer s.r.results.db.Close()
	number := 0
	for name, c := range map[string]struct {
		script string
		desc   Spec
		stop   func(task, ready string)
		want   Ended
		kept   int // the exit that is kept; -1: none
		reason string
	}{
		"done":     {"exit 0", Spec{}, nil, Ended{}, 0, ""},
		"fails":    {"echo {task} oops >&2; exit 3", Spec{Retries: 2}, nil, Ended{}, 3, "exit status 3"},
		"signal":   {"kill -SEGV $$", Spec{}, nil, Ended{}, 128 + int(syscall.SIGSEGV), "segmentation fault"},
		"no place": {"exit 0", Spec{WorkingDir: dir + "/none"}, nil, Ended{}, 127, "no such file"},
		"killed": {": > READY; sleep 300", Spec{}, func(task, ready string) {
			s.running(ready)
			s.r.Stop(Stop{task, 1, 0})
		}, Ended{Stopped: true}, -1, ""},
		"saves": {"trap 'exit 0' TERM; : > READY; while :; do sleep 0.02; done", Spec{CheckpointSeconds: 1}, func(task, ready string) {
			s.running(ready)
			s.r.Stop(Stop{task, 1, time.Hour})
		}, Ended{Stopped: true, CheckpointSaved: true}, -1, ""},
		"does not save in time": {"trap '' TERM; : > READY; while :; do sleep 0.02; done", Spec{CheckpointSeconds: 1}, func(task, ready string) {
			s.running(ready)
			s.r.Stop(Stop{task, 1, 50 * time.Millisecond})
		}, Ended{Stopped: true}, -1, ""},
	} {
		number++
		task := fmt.Sprintf("job-%d/7", number)
		ready := filepath.Join(dir, strings.ReplaceAll(name, " ", "-"))
		s.launch(task, strings.ReplaceAll(c.script, "READY", ready), c.desc)
		if c.stop != nil {
			c.stop(task, ready)
		}
		c.want.Task, c.want.Attempt = task, 1
		if got := <-s.ends; got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
		res, err := s.r.results.get(task)
		if c.kept < 0 {
			if err == nil {
				t.Errorf("%s: a result is kept: %+v", name, res)
			}
			continue
		}
		if err != nil || res.Exit != c.kept || !strings.Contains(res.Reason, c.reason) {
			t.Errorf("%s: %+v %v", name, res, err)
		}
		if name == "fails" && res.Tail != "7 oops\n" {
			t.Errorf("its error output ends with %q", res.Tail)
		}
	}
	if n := len(s.r.results.untold(99)); n != 3 {
		t.Errorf("%d failures are to be told", n)
	}
}

// A worker that comes after one that was killed ends what that has left, also a task that has cleared its
// environment, before anything else; and does not while the other is there still.
func TestWhatAnEarlierWorkerLeft(t *testing.T) {
	dir := t.TempDir()
	first := newShop(t, dir+"/worker")
	first.launch("job-1/0", "exec env -i sh -c ': > "+dir+"/a; sleep 300'", Spec{})
	first.launch("job-1/1", "(setsid sleep 300 &); : > "+dir+"/b; sleep 300", Spec{})
	first.running(dir + "/a")
	first.running(dir + "/b")
	if _, err := newRunner(dir+"/worker", nil, slog.New(slog.DiscardHandler), func(Ended, bool) {}); err == nil {
		t.Fatal("two workers have one directory")
	}
	records, err := filepath.Glob(dir + "/worker/running/*")
	if err != nil || len(records) != 2 {
		t.Fatal(records, err)
	}
	if err := first.r.results.db.Close(); err != nil { // as the end of its process does
		t.Fatal(err)
	}
	groups := map[int]bool{}
	first.r.mu.Lock()
	for _, p := range first.r.procs {
		groups[p.group] = true
	}
	first.r.mu.Unlock()
	second := newShop(t, dir+"/worker")
	defer second.r.results.db.Close()
	if left := process.Find(map[string]bool{second.r.mark: true}, groups); len(left) > 0 {
		t.Errorf("%v are left", left)
	}
}

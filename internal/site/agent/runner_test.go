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

// runnerFixture is a Runner with the attempts that have ended.
type runnerFixture struct {
	*testing.T
	runner *Runner
	ended  chan Ended
}

func newRunnerFixture(t *testing.T, dir string) *runnerFixture {
	t.Helper()
	fixture := &runnerFixture{T: t, ended: make(chan Ended, 16)}
	var err error
	fixture.runner, err = newRunner(dir, nil, slog.New(slog.DiscardHandler), func(ended Ended, _ bool) { fixture.ended <- ended })
	if err != nil {
		t.Fatal(err)
	}
	return fixture
}

// close closes the results database, as the exit of the worker's process does.
func (tb *runnerFixture) close() {
	tb.Helper()
	if err := tb.runner.results.db.Close(); err != nil {
		tb.Fatal(err)
	}
}

func (tb *runnerFixture) launch(task, script string, spec Spec) {
	spec.Command = []string{"sh", "-c", script}
	tb.runner.Launch(Launch{task, 1, &spec})
}

// waitForFile waits until a file exists. If it never does, the test times out.
func (tb *runnerFixture) waitForFile(path string) {
	for {
		if _, err := os.Stat(path); err == nil {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// runnerCase is a task, the stop request sent while it runs, and the expected end.
type runnerCase struct {
	script     string // READY is replaced by the path of a file that the script creates once it runs
	spec       Spec
	stop       *Stop // sent once READY exists; nil: none
	want       Ended
	wantExit   int // exit status of the stored result; -1: no result is stored
	wantReason string
}

func runnerCases(dir string) map[string]runnerCase {
	const saveOnTerm = "trap 'exit 0' TERM; : > READY; while :; do sleep 0.02; done"
	const ignoreTerm = "trap '' TERM; : > READY; while :; do sleep 0.02; done"
	return map[string]runnerCase{
		"succeeds":            {script: "exit 0"},
		"exits with an error": {script: "echo {task} oops >&2; exit 3", spec: Spec{Retries: 2}, wantExit: 3, wantReason: "exit status 3"},
		"ended by a signal":   {script: "kill -SEGV $$", wantExit: 128 + int(syscall.SIGSEGV), wantReason: "segmentation fault"},
		"missing working directory": {
			script: "exit 0", spec: Spec{WorkingDir: dir + "/none"}, wantExit: 127, wantReason: "no such file",
		},
		"killed": {
			script: ": > READY; sleep 300", stop: &Stop{Grace: 0}, want: Ended{Stopped: true}, wantExit: -1,
		},
		"saves a checkpoint": {
			script: saveOnTerm, spec: Spec{CheckpointSeconds: 1}, stop: &Stop{Grace: time.Hour},
			want: Ended{Stopped: true, CheckpointSaved: true}, wantExit: -1,
		},
		"checkpoint times out": {
			script: ignoreTerm, spec: Spec{CheckpointSeconds: 1}, stop: &Stop{Grace: 50 * time.Millisecond},
			want: Ended{Stopped: true}, wantExit: -1,
		},
	}
}

// check runs the task of a case and compares its end and the stored result with the expected ones.
func (c runnerCase) check(t *testing.T, fixture *runnerFixture, task, ready string) {
	t.Helper()
	fixture.launch(task, strings.ReplaceAll(c.script, "READY", ready), c.spec)
	if c.stop != nil {
		fixture.waitForFile(ready)
		fixture.runner.Stop(Stop{task, 1, c.stop.Grace})
	}
	c.want.Task, c.want.Attempt = task, 1
	if got := <-fixture.ended; got != c.want {
		t.Errorf("end of the task: got %+v, want %+v", got, c.want)
	}
	result, err := fixture.runner.results.get(task)
	if c.wantExit < 0 {
		if err == nil {
			t.Errorf("stored result: got %+v, want none", result)
		}
		return
	}
	if err != nil || result.Exit != c.wantExit || !strings.Contains(result.Reason, c.wantReason) {
		t.Errorf("stored result: got %+v, error %v, want exit %d, reason %q", result, err, c.wantExit, c.wantReason)
	}
	if c.spec.Retries > 0 && result.ErrorTail != "7 oops\n" {
		t.Errorf("end of the error output: got %q, want %q", result.ErrorTail, "7 oops\n")
	}
}

// TestRunnerReportsHowTasksEnd checks which end is reported and which result is stored for tasks that exit, fail or are stopped.
func TestRunnerReportsHowTasksEnd(t *testing.T) {
	dir := t.TempDir()
	fixture := newRunnerFixture(t, dir+"/worker")
	defer fixture.close()
	number := 0
	for name, c := range runnerCases(dir) {
		number++
		task := fmt.Sprintf("job-%d/7", number)
		ready := filepath.Join(dir, strings.ReplaceAll(name, " ", "-"))
		t.Run(name, func(t *testing.T) { c.check(t, fixture, task, ready) })
	}
	if n := len(fixture.runner.results.unreported(99)); n != 3 {
		t.Errorf("unreported failures: got %d, want 3", n)
	}
}

// TestNewWorkerEndsTasksOfItsPredecessor checks that a new worker process first ends the tasks that a killed one left running, including
// a task that has cleared its environment. It also checks that a worker does not start while another process uses its directory.
func TestNewWorkerEndsTasksOfItsPredecessor(t *testing.T) {
	dir := t.TempDir()
	first := newRunnerFixture(t, dir+"/worker")
	first.launch("job-1/0", "exec env -i sh -c ': > "+dir+"/a; sleep 300'", Spec{})
	first.launch("job-1/1", "(setsid sleep 300 &); : > "+dir+"/b; sleep 300", Spec{})
	first.waitForFile(dir + "/a")
	first.waitForFile(dir + "/b")
	if _, err := newRunner(dir+"/worker", nil, slog.New(slog.DiscardHandler), func(Ended, bool) {}); err == nil {
		t.Fatal("second runner of one directory: no error, want one")
	}
	records, err := filepath.Glob(dir + "/worker/running/*")
	if err != nil || len(records) != 2 {
		t.Fatalf("records of running tasks: got %v, error %v, want 2", records, err)
	}
	first.close()
	groups := map[int]bool{}
	first.runner.mu.Lock()
	for _, child := range first.runner.processes {
		groups[child.processGroup] = true
	}
	first.runner.mu.Unlock()
	second := newRunnerFixture(t, dir+"/worker")
	defer second.close()
	if left := process.Find(map[string]bool{second.runner.workerTag: true}, groups); len(left) > 0 {
		t.Errorf("processes of the former worker: got %v, want none", left)
	}
	// The first runner kills processes with the tags of these attempts until onEnded was called. Without this wait it could kill the
	// attempts of a later run of this test, which have the same tags.
	for range 2 {
		<-first.ended
	}
}

package console

import (
	"errors"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"gullrudder/internal/controller"
	"gullrudder/internal/controller/api"
	"gullrudder/internal/site/machinepool"
	"gullrudder/internal/testseed"

	tea "github.com/charmbracelet/bubbletea"
	"github.com/google/go-cmp/cmp"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// fakeSite records which actions are requested.
type fakeSite struct {
	snapshot  Snapshot
	requested []string
	err       error
}

func (f *fakeSite) Snapshot() Snapshot { return f.snapshot }

func (f *fakeSite) Cancel(job string) error {
	f.requested = append(f.requested, "cancel "+job)
	return f.err
}

func (f *fakeSite) Drain(isDraining bool) error {
	f.requested = append(f.requested, map[bool]string{true: "drain", false: "undrain"}[isDraining])
	f.snapshot.MachinePool.IsDraining = isDraining
	return f.err
}

func newFakeSite() *fakeSite {
	at := time.Date(2026, 12, 1, 20, 30, 0, 0, time.UTC)
	return &fakeSite{snapshot: Snapshot{
		TakenAt: at,
		Status:  controller.Status{Leader: "controller-1", StateServiceHealthy: true, Jobs: 2, WaitingTasks: 38, PlacedTasks: 4},
		Queue: api.Queue{Total: 2, Jobs: []api.QueuedJob{
			{ID: "job-17", Class: "ledger", WaitingTasks: 36, RunningTasks: 4, DoneTasks: 2, AgeSeconds: 65, FirstStartBoundSeconds: 559},
			{ID: "job-18", Class: "tender", WaitingTasks: 2, AgeSeconds: 3, FirstStartBoundSeconds: 600},
		}},
		MachinePool: machinepool.Overview{
			MachineCount: 1,
			RunningTasks: 4,
			Workers: []machinepool.WorkerView{{
				Name: "worker", Machine: "vm-000001", CPUs: 8, MemoryGB: 22, RunningTasks: 4, FreeDiskMB: 80606,
			}},
		},
		Failures: []machinepool.Failure{
			{Task: "job-16/3", ExitCode: 3, Reason: "exit status 3", ErrorOutput: "line one\n\x1b[2Joops\n", FinishedAt: at.Add(-time.Minute)},
		},
	}}
}

// press reads a snapshot, then handles the keys and all resulting messages, except the next refresh.
func press(model *Model, keys ...string) {
	run := func(command tea.Cmd) {
		for command != nil {
			msg := command()
			if _, ok := msg.(tea.QuitMsg); ok || msg == nil {
				return
			}
			var next tea.Model
			if next, command = model.Update(msg); next != model {
				return
			}
			if _, ok := msg.(snapshotLoaded); ok {
				return // the next snapshot comes with the refresh
			}
		}
	}
	run(model.load())
	for _, key := range keys {
		_, command := model.Update(tea.KeyMsg{Type: tea.KeyRunes, Runes: []rune(key)})
		run(command)
	}
}

// TestScreens checks the screens on a terminal of 80 by 24.
func TestScreens(t *testing.T) {
	for key, want := range map[string][]string{
		"1": {
			"gullrudder  leader controller-1, state service ok   2 jobs, 38 tasks wait, 4 run",
			"1 [jobs]  2 workers  3 failures  ? help  q quit", "",
			"  JOB                        CLASS        WAIT    RUN   DONE      AGE  START WIT",
			"> job-17                     ledger         36      4      2     1m5s  9m19s",
			"  job-18                     tender          2      0      0       3s  10m0s",
		},
		"2": {
			"gullrudder  leader controller-1, state service ok   2 jobs, 38 tasks wait, 4 run",
			"1 jobs  2 [workers]  3 failures  ? help  q quit", "",
			"  WORKER               MACHINE          CPUS       GB  TASKS    FREE MB  HEARD",
			"> worker               vm-000001           8       22      4      80606  now",
		},
		"3": {
			"gullrudder  leader controller-1, state service ok   2 jobs, 38 tasks wait, 4 run",
			"1 jobs  2 workers  3 [failures]  ? help  q quit", "",
			"  TASK                              EXIT  WHEN                 REASON",
			"> job-16/3                             3  2026-12-01 20:29:00  exit status 3", "",
			"end of the error output of job-16/3:", "line one", "?[2Joops",
		},
	} {
		m := New(newFakeSite(), time.Hour)
		press(m, key)
		lines := strings.Split(m.View(), "\n")
		if len(lines) != 24 {
			t.Errorf("lines of screen %s: got %d, want 24", key, len(lines))
		}
		for i, l := range lines {
			lines[i] = strings.TrimRight(l, " ")
			if utf8.RuneCountInString(l) > 80 {
				t.Errorf("width of line %[2]d of screen %[1]s: got %[3]d, want at most 80", key, i, utf8.RuneCountInString(l))
			}
		}
		if d := cmp.Diff(want, lines[:len(want)]); d != "" {
			t.Errorf("screen %s (-want +got):\n%s", key, d)
		}
	}
}

// TestActionsAskForConfirmation checks that an action is carried out only after it was confirmed with y, and that its
// outcome is shown.
func TestActionsAskForConfirmation(t *testing.T) {
	site := newFakeSite()
	m := New(site, time.Hour)
	press(m, "w", "n", "d", "q", "u", "x")
	if len(site.requested) != 0 {
		t.Fatalf("actions before they are confirmed: got %v, want none", site.requested)
	}
	press(m, "j", "c", "y", "d", "y")
	if diff := cmp.Diff([]string{"cancel job-18", "drain"}, site.requested); diff != "" {
		t.Errorf("confirmed actions (-want +got):\n%s", diff)
	}
	if !strings.Contains(m.View(), "DRAINING: 4 tasks still running") {
		t.Errorf("screen after the drain: got\n%s\nwant the number of running tasks", m.View())
	}
	// Another console shows the same state.
	secondConsole := New(site, time.Hour)
	press(secondConsole)
	if !strings.Contains(secondConsole.View(), "DRAINING: 4 tasks still running") {
		t.Errorf("screen of another console: got\n%s\nwant the drain with the number of running tasks", secondConsole.View())
	}
	site.err = errors.New("refused with 503")
	press(secondConsole, "u", "y")
	if !strings.Contains(secondConsole.View(), "undrain the site: refused with 503") {
		t.Errorf("screen after a refused request: got\n%s\nwant its status 503", secondConsole.View())
	}
}

// TestProblemsLongListsAndSmallTerminals checks that problems are shown as text, that a table longer than the terminal
// scrolls to the selected row, and that a small terminal is filled exactly.
func TestProblemsLongListsAndSmallTerminals(t *testing.T) {
	site := newFakeSite()
	site.snapshot.Status.Leader, site.snapshot.FreeDiskMB, site.snapshot.MinFreeDiskMB = "", 100, 256
	site.snapshot.Problems = []string{"pool: no connection"}
	for range 100 {
		site.snapshot.Queue.Jobs = append(site.snapshot.Queue.Jobs, api.QueuedJob{ID: "job-9"})
	}
	m := New(site, time.Hour)
	press(m)
	for range 60 {
		press(m, "j")
	}
	for _, want := range []string{"NO LEADER", "DISK: 100 MB free", "PROBLEM: pool: no connection", "> job-9"} {
		if !strings.Contains(m.View(), want) {
			t.Errorf("screen: got\n%s\nwant a line with %q", m.View(), want)
		}
	}
	m.Update(tea.WindowSizeMsg{Width: 20, Height: 5})
	if n := len(strings.Split(m.View(), "\n")); n != 5 {
		t.Errorf("lines on a terminal of 5 lines: got %d, want 5", n)
	}
}

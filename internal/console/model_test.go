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

// fakeSite is a site that notes what is asked of it.
type fakeSite struct {
	snapshot  Snapshot
	requested []string
	err       error
}

func (d *fakeSite) Snapshot() Snapshot { return d.snapshot }

func (d *fakeSite) Cancel(job string) error {
	d.requested = append(d.requested, "cancel "+job)
	return d.err
}

func (d *fakeSite) Drain(on bool) error {
	d.requested = append(d.requested, map[bool]string{true: "drain", false: "undrain"}[on])
	d.snapshot.MachinePool.IsDraining = on
	return d.err
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
			Workers:      []machinepool.WorkerView{{Name: "worker", Machine: "vm-000001", CPUs: 8, MemoryGB: 22, RunningTasks: 4, FreeDiskMB: 80606}},
		},
		Failures: []machinepool.Failure{
			{Task: "job-16/3", ExitCode: 3, Reason: "exit status 3", ErrorOutput: "line one\n\x1b[2Joops\n", FinishedAt: at.Add(-time.Minute)},
		},
	}}
}

// press works through keys, and everything that comes of them but the passing of time.
func press(m *Model, keys ...string) {
	run := func(c tea.Cmd) {
		for c != nil {
			msg := c()
			if _, ok := msg.(tea.QuitMsg); ok || msg == nil {
				return
			}
			var model tea.Model
			if model, c = m.Update(msg); model != m {
				return
			}
			if _, ok := msg.(snapshotLoaded); ok {
				return // the next look is later
			}
		}
	}
	run(m.load())
	for _, k := range keys {
		_, c := m.Update(tea.KeyMsg{Type: tea.KeyRunes, Runes: []rune(k)})
		run(c)
	}
}

// The screens as text, as a terminal of 80 by 24 shows them.
func TestScreens(t *testing.T) {
	for key, want := range map[string][]string{
		"1": {
			"gullrudder  leader controller-1, state service ok   2 jobs, 38 tasks wait, 4 run",
			"1 [jobs]  2 workers  3 failures  ? help  q leave", "",
			"  JOB                        CLASS        WAIT    RUN   DONE      AGE  FIRST STA",
			"> job-17                     ledger         36      4      2     1m5s  9m19s",
			"  job-18                     tender          2      0      0       3s  10m0s",
		},
		"2": {
			"gullrudder  leader controller-1, state service ok   2 jobs, 38 tasks wait, 4 run",
			"1 jobs  2 [workers]  3 failures  ? help  q leave", "",
			"  WORKER               MACHINE          CPUS       GB  TASKS    FREE MB  HEARD",
			"> worker               vm-000001           8       22      4      80606  now",
		},
		"3": {
			"gullrudder  leader controller-1, state service ok   2 jobs, 38 tasks wait, 4 run",
			"1 jobs  2 workers  3 [failures]  ? help  q leave", "",
			"  TASK                              EXIT  WHEN                 REASON",
			"> job-16/3                             3  2026-12-01 20:29:00  exit status 3", "",
			"end of the error output of job-16/3:", "line one", "?[2Joops",
		},
	} {
		m := New(newFakeSite(), time.Hour)
		press(m, key)
		lines := strings.Split(m.View(), "\n")
		if len(lines) != 24 {
			t.Errorf("screen %s has %d lines", key, len(lines))
		}
		for i, l := range lines {
			lines[i] = strings.TrimRight(l, " ")
			if utf8.RuneCountInString(l) > 80 {
				t.Errorf("screen %s: line %d is %d wide", key, i, utf8.RuneCountInString(l))
			}
		}
		if d := cmp.Diff(want, lines[:len(want)]); d != "" {
			t.Errorf("screen %s:\n%s", key, d)
		}
	}
}

// What changes something asks first; only a yes does it, and what came of it is said.
func TestActionsAskForConfirmation(t *testing.T) {
	d := newFakeSite()
	m := New(d, time.Hour)
	press(m, "w", "n", "d", "q", "u", "x")
	if len(d.requested) != 0 {
		t.Fatalf("without a yes: %v", d.requested)
	}
	press(m, "j", "c", "y", "d", "y")
	if diff := cmp.Diff([]string{"cancel job-18", "drain"}, d.requested); diff != "" {
		t.Error(diff)
	}
	if !strings.Contains(m.View(), "DRAINING: 4 tasks run still") {
		t.Errorf("the drain is not shown:\n%s", m.View())
	}
	// Another console, after the first was lost, shows the same.
	again := New(d, time.Hour)
	press(again)
	if !strings.Contains(again.View(), "DRAINING: 4 tasks run still") {
		t.Error("the next console does not show the drain")
	}
	d.err = errors.New("refused with 503")
	press(again, "u", "y")
	if !strings.Contains(again.View(), "use the site again: refused with 503") {
		t.Errorf("the failure is not shown:\n%s", again.View())
	}
}

// Trouble is told in words; a list longer than the terminal follows the chosen row; a small terminal is drawn.
func TestProblemsLongListsAndSmallTerminals(t *testing.T) {
	d := newFakeSite()
	d.snapshot.Status.Leader, d.snapshot.FreeDiskMB, d.snapshot.MinFreeDiskMB = "", 100, 256
	d.snapshot.Problems = []string{"pool: no connection"}
	for range 100 {
		d.snapshot.Queue.Jobs = append(d.snapshot.Queue.Jobs, api.QueuedJob{ID: "job-9"})
	}
	m := New(d, time.Hour)
	press(m)
	for range 60 {
		press(m, "j")
	}
	for _, want := range []string{"NO LEADER", "DISK: 100 MB free", "PROBLEM: pool: no connection", "> job-9"} {
		if !strings.Contains(m.View(), want) {
			t.Errorf("%q is missing:\n%s", want, m.View())
		}
	}
	m.Update(tea.WindowSizeMsg{Width: 20, Height: 5})
	if n := len(strings.Split(m.View(), "\n")); n != 5 {
		t.Errorf("%d lines on a terminal of 5", n)
	}
}

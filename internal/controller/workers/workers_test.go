package workers

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
)

func setup() (*Fleet, *Machine, *jobs.Job, time.Time) {
	f := NewFleet(10*time.Second, slog.New(slog.NewTextHandler(io.Discard, nil)))
	j := jobs.NewJob(jobs.Spec{ID: "job-1", Team: "t", Tasks: 4, CPUs: 1, Mem: 1}, time.Unix(0, 0))
	j.State = jobs.Accepted
	m := f.Machine("vm-1")
	m.CPUs, m.Mem = 8, 8
	return f, m, j, time.Unix(100, 0)
}

func (f *Fleet) see(m *Machine, j *jobs.Job, now time.Time, whole bool, session, seq uint64, tasks ...TaskReport) []Ended {
	r := &Report{Machine: m.ID, Session: session, Seq: seq, Tasks: tasks}
	if !m.Newer(r) {
		return nil
	}
	return f.Observe(now, m, r, whole, func(string) *jobs.Job { return j })
}

// A task is gone only when a newer report lacks it: not by an older report, one from an
// earlier session, or the answer to a direct command, which may have been made before the
// start that is still on its way.
func TestGoneOnlyByANewerWholeReport(t *testing.T) {
	f, m, j, now := setup()
	f.see(m, j, now, true, 2, 5)
	a := &jobs.Attempt{Key: jobs.Key{Job: "job-1", Task: 0}, Number: 9, Machine: m.ID, Job: j}
	f.Place(m, a)
	for _, c := range []struct {
		name         string
		whole        bool
		session, seq uint64
		gone         int
	}{
		{"same report again", true, 2, 5, 0}, {"older report", true, 2, 4, 0}, {"earlier session", true, 1, 99, 0},
		{"answer to a direct command", false, 2, 6, 0}, {"newer report", true, 2, 7, 1},
	} {
		if ended := f.see(m, j, now, c.whole, c.session, c.seq); len(ended) != c.gone {
			t.Errorf("%s: %d gone, want %d", c.name, len(ended), c.gone)
		}
		if held := f.Team("t").CPUs == 1; held != (c.gone == 0) {
			t.Errorf("%s: quota held %v", c.name, held)
		}
	}
}

// Whatever a worker reports that is not ours to run holds its place until it is gone.
func TestStraysHoldTheirPlace(t *testing.T) {
	f, m, j, now := setup()
	f.see(m, j, now, true, 1, 1, TaskReport{Task: "job-1/2", Attempt: 3, State: StateRunning})
	if f.Team("t").CPUs != 1 || j.Active[2] == nil {
		t.Fatal("a running task was not adopted")
	}
	other := f.Machine("vm-2")
	other.CPUs, other.Mem = 8, 8
	f.see(other, j, now, true, 1, 1, TaskReport{Task: "job-1/2", Attempt: 4, State: StateRunning},
		TaskReport{Task: "job-1/77", Attempt: 4, State: StateRunning}, TaskReport{Task: "nonsense", Attempt: 1, State: StateRunning})
	for _, a := range other.Attempts {
		if !a.Stray {
			t.Errorf("%v is not a stray", a.Key)
		}
	}
	if f.Team("t").CPUs != 2 {
		t.Errorf("the team is counted with %g CPUs, want 2", f.Team("t").CPUs)
	}
}

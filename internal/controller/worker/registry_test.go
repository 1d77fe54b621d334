package worker

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
)

func newTestRegistry() (*Registry, *Machine, *jobs.Job, time.Time) {
	f := NewRegistry(10*time.Second, slog.New(slog.NewTextHandler(io.Discard, nil)))
	j := jobs.New(jobs.Spec{ID: "job-1", Team: "t", Tasks: 4, CPUs: 1, MemoryGB: 1}, time.Unix(0, 0))
	j.State = jobs.Accepted
	m := f.GetOrAdd("vm-1")
	m.CPUs, m.MemoryGB = 8, 8
	return f, m, j, time.Unix(100, 0)
}

func (r *Registry) reconcile(
	machine *Machine,
	job *jobs.Job,
	now time.Time,
	complete bool,
	incarnation, sequence uint64,
	tasks ...TaskStatus,
) []EndedAttempt {
	heartbeat := &Heartbeat{Machine: machine.ID, Incarnation: incarnation, Sequence: sequence, Tasks: tasks}
	if !machine.IsNewer(heartbeat) {
		return nil
	}
	return r.Reconcile(now, machine, heartbeat, complete, func(string) *jobs.Job { return job })
}

// A task is gone only when a newer report lacks it: not by an older report, one from an
// earlier session, or the answer to a direct command, which may have been made before the
// start that is still on its way.
func TestAttemptIsLostOnlyByNewerCompleteHeartbeat(t *testing.T) {
	f, m, j, now := newTestRegistry()
	f.reconcile(m, j, now, true, 2, 5)
	a := &jobs.Attempt{Task: jobs.TaskID{JobID: "job-1", Index: 0}, Number: 9, MachineID: m.ID, Job: j}
	f.Assign(m, a)
	for _, c := range []struct {
		name         string
		whole        bool
		session, seq uint64
		gone         int
	}{
		{"same report again", true, 2, 5, 0},
		{"older report", true, 2, 4, 0},
		{"earlier session", true, 1, 99, 0},
		{"answer to a direct command", false, 2, 6, 0},
		{"newer report", true, 2, 7, 1},
	} {
		if ended := f.reconcile(m, j, now, c.whole, c.session, c.seq); len(ended) != c.gone {
			t.Errorf("%s: %d gone, want %d", c.name, len(ended), c.gone)
		}
		if held := f.TeamUsage("t").CPUs == 1; held != (c.gone == 0) {
			t.Errorf("%s: quota held %v", c.name, held)
		}
	}
}

// Whatever a worker reports that is not ours to run holds its place until it is gone.
func TestStrayAttemptsHoldResources(t *testing.T) {
	f, m, j, now := newTestRegistry()
	f.reconcile(m, j, now, true, 1, 1, TaskStatus{Task: "job-1/2", Attempt: 3, State: StateRunning})
	if f.TeamUsage("t").CPUs != 1 || j.ActiveAttempts[2] == nil {
		t.Fatal("a running task was not adopted")
	}
	other := f.GetOrAdd("vm-2")
	other.CPUs, other.MemoryGB = 8, 8
	f.reconcile(other, j, now, true, 1, 1, TaskStatus{Task: "job-1/2", Attempt: 4, State: StateRunning},
		TaskStatus{Task: "job-1/77", Attempt: 4, State: StateRunning}, TaskStatus{Task: "nonsense", Attempt: 1, State: StateRunning})
	for _, a := range other.Attempts {
		if !a.IsOrphan {
			t.Errorf("%v is not a stray", a.Task)
		}
	}
	if f.TeamUsage("t").CPUs != 2 {
		t.Errorf("the team is counted with %g CPUs, want 2", f.TeamUsage("t").CPUs)
	}
}

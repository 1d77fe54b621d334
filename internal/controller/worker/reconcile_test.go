package worker

import (
	"log/slog"
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/wire/workerapi"
)

// reconcileTest is a registry with one machine and one job of four tasks.
type reconcileTest struct {
	registry *Registry
	machine  *Machine
	job      *jobs.Job
	now      time.Time
}

func newReconcileTest() *reconcileTest {
	registry := NewRegistry(10*time.Second, slog.New(slog.DiscardHandler))
	job := jobs.New(jobs.Spec{ID: "job-1", Team: "t", Tasks: 4, CPUs: 1, MemoryGB: 1}, time.Unix(0, 0))
	job.State = jobs.Accepted
	machine := registry.GetOrAdd("vm-1")
	machine.CPUs, machine.MemoryGB = 8, 8
	return &reconcileTest{registry, machine, job, time.Unix(100, 0)}
}

// reconcile passes a heartbeat to the registry if it is newer than the earlier ones.
func (c *reconcileTest) reconcile(machine *Machine, complete bool, heartbeat workerapi.Heartbeat) []EndedAttempt {
	heartbeat.Machine = machine.ID
	if !machine.IsNewer(&heartbeat) {
		return nil
	}
	return c.registry.Reconcile(c.now, machine, &heartbeat, complete, func(string) *jobs.Job { return c.job })
}

// TestAttemptIsLostOnlyByNewerCompleteHeartbeat checks that an attempt is lost only if it is missing in a newer heartbeat.
// It must not be lost by an older heartbeat, by one of an earlier incarnation, or by the response to direct commands. The
// latter may precede a start command that is still in transit.
func TestAttemptIsLostOnlyByNewerCompleteHeartbeat(t *testing.T) {
	c := newReconcileTest()
	c.reconcile(c.machine, true, workerapi.Heartbeat{Incarnation: 2, Sequence: 5})
	attempt := &jobs.Attempt{Task: jobs.TaskID{JobID: "job-1", Index: 0}, Number: 9, MachineID: c.machine.ID, Job: c.job}
	c.registry.Assign(c.machine, attempt)
	for _, step := range []struct {
		name                  string
		complete              bool
		incarnation, sequence uint64
		lost                  int
	}{
		{"same heartbeat again", true, 2, 5, 0},
		{"older heartbeat", true, 2, 4, 0},
		{"earlier incarnation", true, 1, 99, 0},
		{"response to direct commands", false, 2, 6, 0},
		{"newer heartbeat", true, 2, 7, 1},
	} {
		heartbeat := workerapi.Heartbeat{Incarnation: step.incarnation, Sequence: step.sequence}
		if ended := c.reconcile(c.machine, step.complete, heartbeat); len(ended) != step.lost {
			t.Errorf("%s: lost attempts: got %d, want %d", step.name, len(ended), step.lost)
		}
		if counted := c.registry.TeamUsage("t").CPUs == 1; counted != (step.lost == 0) {
			t.Errorf("%s: attempt counted for its team: got %v, want %v", step.name, counted, step.lost == 0)
		}
	}
}

// TestOrphansUseResources checks that a reported attempt that must not run on its machine uses resources until it has
// ended. An attempt whose task may run is adopted.
func TestOrphansUseResources(t *testing.T) {
	c := newReconcileTest()
	c.reconcile(c.machine, true, workerapi.Heartbeat{
		Incarnation: 1, Sequence: 1, Tasks: []workerapi.TaskStatus{{Task: "job-1/2", Attempt: 3, State: workerapi.StateRunning}},
	})
	if c.registry.TeamUsage("t").CPUs != 1 || c.job.ActiveAttempts[2] == nil {
		t.Fatalf(
			"running task: got team usage %v CPUs, attempt %v, want 1 CPU and an adopted attempt",
			c.registry.TeamUsage("t").CPUs, c.job.ActiveAttempts[2],
		)
	}
	other := c.registry.GetOrAdd("vm-2")
	other.CPUs, other.MemoryGB = 8, 8
	c.reconcile(other, true, workerapi.Heartbeat{Incarnation: 1, Sequence: 1, Tasks: []workerapi.TaskStatus{
		{Task: "job-1/2", Attempt: 4, State: workerapi.StateRunning},
		{Task: "job-1/77", Attempt: 4, State: workerapi.StateRunning},
		{Task: "nonsense", Attempt: 1, State: workerapi.StateRunning},
	}})
	for _, attempt := range other.Attempts {
		if !attempt.IsOrphan {
			t.Errorf("attempt of %v: got no orphan, want an orphan", attempt.Task)
		}
	}
	if c.registry.TeamUsage("t").CPUs != 2 {
		t.Errorf("CPUs used by the team: got %g, want 2", c.registry.TeamUsage("t").CPUs)
	}
}

// TestExitedTasksCountUntilForgotten guards against a machine that is sent more tasks than its heartbeat can list, because exited tasks
// whose results are not durable yet are still listed.
func TestExitedTasksCountUntilForgotten(t *testing.T) {
	c := newReconcileTest()
	c.job.Tasks, c.job.CPUs, c.job.MemoryGB = jobs.MaxTasks, 0, 0
	const running, exited = 3, 5
	var tasks []workerapi.TaskStatus
	for i := range running + exited {
		status := workerapi.TaskStatus{Task: jobs.TaskID{JobID: "job-1", Index: i}.String(), Attempt: 1, State: workerapi.StateRunning}
		if i < exited {
			status.State, status.Reason = workerapi.StateExited, workerapi.ReasonDone
		}
		tasks = append(tasks, status)
	}
	for _, step := range []struct {
		tasks []workerapi.TaskStatus
		want  int
	}{
		{tasks, workerapi.MaxTasksPerMachine - running - exited},
		{tasks[exited:], workerapi.MaxTasksPerMachine - running},
		{nil, workerapi.MaxTasksPerMachine},
	} {
		c.reconcile(c.machine, true, workerapi.Heartbeat{Incarnation: 1, Sequence: c.machine.Sequence + 1, Tasks: step.tasks})
		if got := c.machine.TasksThatFit(c.job); got != step.want {
			t.Errorf("tasks that fit with %d listed: got %d, want %d", len(step.tasks), got, step.want)
		}
	}
}

package placement

import (
	"slices"
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
)

// addGang adds a gang whose tasks need the given CPUs each.
func (f *fixture) addGang(tasks int, cpus float64) *jobs.Job {
	job := f.addJob(0, tasks, cpus)
	job.IsGang, job.AllowsSpot = true, true
	return job
}

// startGangs sends a heartbeat of each machine, and returns the starts by machine and the set of their attempt numbers.
func (f *fixture) startGangs() (starts []int, numbers map[uint64]bool) {
	numbers = map[uint64]bool{}
	for _, machine := range f.workers.SortedMachines() {
		commands := f.StartTasks(f.Now, machine, 300)
		starts = append(starts, len(commands))
		for _, command := range commands {
			numbers[command.Attempt] = true
		}
	}
	return starts, numbers
}

// TestGangIsPlacedAllOrNothing checks that a gang is placed with all its tasks on the fewest machines, or not at all. Its
// starts must have one attempt number and be sent with the responses to the machines' heartbeats.
func TestGangIsPlacedAllOrNothing(t *testing.T) {
	for _, c := range []struct {
		name     string
		tasks    int
		machines []string // types
		want     []int    // tasks by machine
	}{
		{"on the largest machine", 4, []string{"small", "large", "small"}, []int{0, 4, 0}},
		{"on two machines", 5, []string{"small", "large", "small"}, []int{1, 4, 0}},
		{"on all machines", 6, []string{"small", "large", "small"}, []int{1, 4, 1}},
		{"not enough machines", 7, []string{"small", "large", "small"}, []int{0, 0, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			for i, machineType := range c.machines {
				f.AddMachine(i, machineType, "a", false)
			}
			f.addGang(c.tasks, 4)
			f.Tick(f.Now, true)
			starts, numbers := f.startGangs()
			if !slices.Equal(starts, c.want) {
				t.Errorf("starts by machine: got %v, want %v", starts, c.want)
			}
			if len(numbers) > 1 {
				t.Errorf("attempt numbers in one gang: got %d, want at most 1", len(numbers))
			}
			if len(f.pendingGangStarts) != 0 {
				t.Errorf("pending gang starts: got %d, want 0", len(f.pendingGangStarts))
			}
		})
	}
}

// TestGangStartsAreWithdrawn checks that the starts on a silent machine are withdrawn, and that all tasks of the gang wait
// again.
func TestGangStartsAreWithdrawn(t *testing.T) {
	f := newFixture()
	machine := f.AddMachine(0, "large", "a", false)
	job := f.addGang(4, 4)
	f.Tick(f.Now, true)
	if len(machine.Attempts) != 4 || job.WaitingTasks() != 0 {
		t.Fatalf("placed gang: got %d tasks placed, %d waiting, want 4, 0", len(machine.Attempts), job.WaitingTasks())
	}
	f.Now = f.Now.Add(2*f.platform.HeartbeatInterval + gangStartSlack + time.Millisecond)
	f.Tick(f.Now, true)
	if len(machine.Attempts) != 0 || job.WaitingTasks() != 4 {
		t.Errorf("withdrawn gang: got %d tasks placed, %d waiting, want 0, 4", len(machine.Attempts), job.WaitingTasks())
	}
	if len(f.pendingGangStarts) != 0 {
		t.Errorf("pending gang starts: got %d, want 0", len(f.pendingGangStarts))
	}
}

// TestPartialGangIsStopped checks that a gang that has run in part for too long is stopped.
func TestPartialGangIsStopped(t *testing.T) {
	f := newFixture()
	machine := f.AddMachine(0, "large", "a", false)
	job := f.addGang(4, 4)
	f.Tick(f.Now, true)
	f.StartTasks(f.Now, machine, 300)
	for _, attempt := range job.ActiveAttempts {
		f.workers.Unassign(machine, attempt)
		job.Requeue(attempt.Task.Index)
		break
	}
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{gangCompletionTimeout, 0}, {gangCompletionTimeout + time.Millisecond, 3}} {
		stopped := 0
		stopPartialGang(f.Now.Add(c.after), job)
		for _, attempt := range job.ActiveAttempts {
			if !attempt.StopRequestedAt.IsZero() {
				stopped++
			}
		}
		if stopped != c.want {
			t.Errorf("tasks stopped after %v: got %d, want %d", c.after, stopped, c.want)
		}
	}
}

package placement

import (
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/worker"
)

// preemptionFixture returns a machine full of best-effort tasks that have run for a minute, and a guaranteed job of two
// tasks that is due after the given time.
func preemptionFixture(checkpointInterval, deadline time.Duration) (*fixture, *worker.Machine, *jobs.Job) {
	f := newFixture()
	machine := f.AddMachine(0, "large", "a", false)
	bestEffort := f.addJob(0, 16, 1)
	bestEffort.CheckpointInterval, bestEffort.ImageGB = checkpointInterval, 1
	f.StartTasks(f.Now, machine, 300)
	for range 16 {
		f.Now = f.Now.Add(f.platform.HeartbeatInterval)
		f.SendHeartbeat(machine)
	}
	guaranteed := f.addJob(1, 2, 1)
	guaranteed.Priority, guaranteed.Deadline, guaranteed.SpreadAcrossZones = jobs.High, deadline, false
	return f, machine, guaranteed
}

func countStopped(machine *worker.Machine) int {
	stopped := 0
	for _, attempt := range machine.Attempts {
		if !attempt.StopRequestedAt.IsZero() {
			stopped++
		}
	}
	return stopped
}

// TestPreemption checks that tasks with checkpoints are preempted for a guaranteed job that would otherwise miss its
// deadline. No more tasks are stopped than the job needs, and their machine is reserved for it.
func TestPreemption(t *testing.T) {
	for _, c := range []struct {
		name       string
		checkpoint time.Duration
		deadline   time.Duration
		want       int
	}{
		{"urgent", 10 * time.Second, 40 * time.Second, 2},
		{"not urgent yet", 10 * time.Second, 50 * time.Second, 0},
		{"no checkpoints", 0, 40 * time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, machine, guaranteed := preemptionFixture(c.checkpoint, c.deadline)
			f.preempt(f.Now)
			stopped := countStopped(machine)
			if stopped != c.want {
				t.Errorf("stopped tasks: got %d, want %d", stopped, c.want)
			}
			if c.want > 0 && machine.ReservedFor != guaranteed {
				t.Errorf("machine not reserved for %s, want reserved", guaranteed.ID)
			}
			f.preempt(f.Now)
			if got := countStopped(machine); got != stopped {
				t.Errorf("stopped tasks while the first are stopping: got %d, want %d", got, stopped)
			}
		})
	}
}

// TestRoomInForbiddenZoneDoesNotPreventPreemption guards against a guaranteed job that misses its deadline, because room in a zone where it
// may have no further task counts as room for it.
func TestRoomInForbiddenZoneDoesNotPreventPreemption(t *testing.T) {
	f, machine, guaranteed := preemptionFixture(10*time.Second, 40*time.Second)
	guaranteed.SpreadAcrossZones = true
	other := f.AddMachine(1, "large", "b", false)
	f.assign(other, guaranteed)
	f.Now = f.Now.Add(time.Second)
	f.preempt(f.Now)
	if stopped := countStopped(machine); stopped != 1 {
		t.Errorf("stopped tasks in the zone that the job may use: got %d, want 1", stopped)
	}
}

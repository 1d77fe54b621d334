package autoscaler

import (
	"testing"
	"time"

	"gullrudder/internal/controller/clustertest"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/wire/workerapi"
)

// TestUnderusedMachinesAreDrained checks that a machine with low utilization is drained if its tasks have checkpoints and other
// machines have capacity for them. Its tasks must start again on those machines.
func TestUnderusedMachinesAreDrained(t *testing.T) {
	t.Run("tasks with checkpoints", func(t *testing.T) {
		f, job, machines := newUnderusedFixture(15 * time.Second)
		drained := f.consolidateAndCheck(t, machines, 1)
		if len(drained) == 1 {
			f.checkTasksMove(t, job, drained[0], machines)
		}
	})
	t.Run("tasks without checkpoints", func(t *testing.T) {
		f, _, machines := newUnderusedFixture(0)
		f.consolidateAndCheck(t, machines, 0)
	})
}

// newUnderusedFixture returns a cluster with one machine that runs one task of a job and one that runs two. The tasks have run
// for two minutes.
func newUnderusedFixture(checkpointInterval time.Duration) (*fixture, *jobs.Job, []*worker.Machine) {
	f := newFixture()
	job := f.addJob(2, 3, 4)
	job.RunTimeEstimate, job.CheckpointDuration, job.CheckpointInterval = 5*time.Minute, 4*time.Second, checkpointInterval
	var machines []*worker.Machine
	for i, tasks := range []int{1, 2} {
		machine := f.addMachine(i, "large", "a", true)
		f.assignTasks(machine, job, tasks)
		machines = append(machines, machine)
	}
	for _, machine := range machines {
		f.SendHeartbeat(machine)
	}
	f.Now = f.Now.Add(2 * time.Minute)
	for _, machine := range machines {
		f.SendHeartbeat(machine)
	}
	return f, job, machines
}

// consolidateAndCheck runs consolidate and returns the drained machines that have tasks. It checks their number, and that each
// was drained by one call.
func (f *fixture) consolidateAndCheck(t *testing.T, machines []*worker.Machine, want int) []*worker.Machine {
	t.Helper()
	f.consolidate(f.Now)
	var drained []*worker.Machine
	for _, machine := range machines {
		if machine.DrainReason == worker.DrainConsolidated && len(machine.Attempts) > 0 {
			drained = append(drained, machine)
		}
	}
	if calls := f.Outbox.TakeCalls(); len(drained) != want || len(calls) != len(drained) {
		t.Errorf("drained machines: got %d by %d calls, want %d, one call each", len(drained), len(calls), want)
		return nil
	}
	return drained
}

// checkTasksMove lets the tasks of a drained machine exit. It checks that the machine is terminated and that the tasks start on
// other machines.
func (f *fixture) checkTasksMove(t *testing.T, job *jobs.Job, drained *worker.Machine, machines []*worker.Machine) {
	t.Helper()
	exited := f.sendExits(drained)
	f.placer.InvalidateOrder()
	if len(f.placer.StartTasks(f.Now, drained, 9)) > 0 {
		t.Error("task started on the drained machine, want none")
	}
	f.refreshInstances(f.Now)
	f.terminateUnneeded(f.Now, f.placer.StartableTasks(f.placer.Order(f.Now)))
	if !f.cloud.Instances[drained.ID].Deleting {
		t.Error("empty drained machine: not deleting, want deleting")
	}
	started := 0
	f.Now = f.Now.Add(time.Second)
	for _, machine := range machines {
		for _, command := range f.placer.StartTasks(f.Now, machine, 9) {
			if task, err := jobs.ParseTaskID(command.Task); err == nil && task.JobID == job.ID && machine.ID != drained.ID {
				started++
			}
		}
	}
	if started != exited {
		t.Errorf("tasks started on other machines: got %d, want %d", started, exited)
	}
}

// sendExits processes a heartbeat in which all tasks of the machine have exited with a checkpoint. It returns their number.
func (f *fixture) sendExits(machine *worker.Machine) int {
	heartbeat := clustertest.NextHeartbeat(machine)
	heartbeat.FencingToken = 1
	for _, attempt := range machine.Attempts {
		heartbeat.Tasks = append(heartbeat.Tasks, workerapi.TaskStatus{
			Task: attempt.Task.String(), Attempt: attempt.Number, State: workerapi.StateExited, Reason: "halted", CheckpointSaved: true,
		})
	}
	for _, ended := range f.workers.Reconcile(f.Now, machine, heartbeat, true, f.FindJob) {
		ended.Attempt.Job.Requeue(ended.Attempt.Task.Index)
	}
	return len(heartbeat.Tasks)
}

// TestTaskStaysInItsZone guards against a task that waits after a consolidation, because it was moved for a machine in a zone where its job
// may have no further task.
func TestTaskStaysInItsZone(t *testing.T) {
	for _, hasZoneRules := range []bool{false, true} {
		f, job, machines := newUnderusedFixture(15 * time.Second)
		job.SpreadAcrossZones = hasZoneRules
		for _, attempt := range machines[0].Attempts {
			attempt.Zone, machines[0].Zone = "b", "b"
		}
		want := 1
		if hasZoneRules {
			want = 0
		}
		f.consolidateAndCheck(t, machines, want)
	}
}

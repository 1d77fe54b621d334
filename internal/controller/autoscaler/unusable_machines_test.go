package autoscaler

import (
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/worker"
)

// avoid makes the job avoid the machine, as after a failed attempt.
func (f *fixture) avoid(job *jobs.Job, machine *worker.Machine) {
	machine.FailedJobs[job.ID] = true
	job.AvoidedMachines = map[string]time.Time{machine.ID: f.Now.Add(jobs.MachineAvoidance)}
	job.FailureCount = 1
}

// requestedInstances takes a scaling decision and returns the number of instances that it requests.
func (f *fixture) requestedInstances() int {
	f.scale(f.Now)
	count := 0
	for _, call := range f.requestCalls() {
		count += requestedCount(call)
	}
	return count
}

// TestUnusableMachinesAreNotCapacity guards against a job that waits although the cloud has machines, because the autoscaler counts the
// free resources of a machine on which placement does not start its tasks.
func TestUnusableMachinesAreNotCapacity(t *testing.T) {
	tests := []struct {
		name   string
		adjust func(f *fixture, machine *worker.Machine, job *jobs.Job)
		want   int
	}{
		{"usable machine", func(*fixture, *worker.Machine, *jobs.Job) {}, 0},
		{"machine that the job avoids", func(f *fixture, machine *worker.Machine, job *jobs.Job) { f.avoid(job, machine) }, 1},
		{"unreachable machine", func(_ *fixture, machine *worker.Machine, _ *jobs.Job) { machine.IsUnreachable = true }, 1},
		{"another job avoids the machine", func(f *fixture, machine *worker.Machine, _ *jobs.Job) {
			other := f.addJob(6, 1, 2)
			f.avoid(other, machine)
			other.IsFinishing = true
		}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			machine := f.addMachine(1, "large", "a", true)
			job := f.addJob(2, 1, 2)
			test.adjust(f, machine, job)
			if got := f.requestedInstances(); got != test.want {
				t.Errorf("instances requested: got %d, want %d", got, test.want)
			}
		})
	}
}

// TestAvoidingJobIsPlannedApartFromItsShape guards against a job that avoids a machine and justifies a request, but is skipped because an
// earlier job of its shape justifies none.
func TestAvoidingJobIsPlannedApartFromItsShape(t *testing.T) {
	f := newFixture()
	machine := f.addMachine(1, "large", "a", true)
	running, waiting, avoiding := f.addJob(2, 1, 1), f.addJob(10, 1, 1), f.addJob(14, 1, 1)
	for _, job := range []*jobs.Job{running, waiting, avoiding} {
		job.MemoryGB = 60 // a machine holds one task
	}
	f.assignTasks(machine, running, 1)
	if got := f.requestedInstances(); got != 0 {
		t.Fatalf("instances requested before the failure: got %d, want 0", got)
	}
	f.avoid(avoiding, machine)
	if got := f.requestedInstances(); got != 1 {
		t.Errorf("instances requested after the failure: got %d, want 1", got)
	}
}

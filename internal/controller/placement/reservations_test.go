package placement

import (
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/worker"
)

// TestReservedMachineIsKeptForJob checks that a machine that is too full for a guaranteed job is reserved for it. Resources
// that become available go to that job and not to smaller tasks of best-effort jobs.
func TestReservedMachineIsKeptForJob(t *testing.T) {
	f := newFixture()
	machine := f.AddMachine(0, "small", "a", false)
	small := f.addJob(0, 100, 1)
	small.Team, small.ImageGB = "without quota", 1 // a job of this team may not reserve machines
	if commands := f.StartTasks(f.Now, machine, 3); len(commands) != 3 {
		t.Fatalf("starts on an empty machine: got %d, want 3", len(commands))
	}
	large := f.addJob(3, 1, 4) // guaranteed
	large.ImageGB = 1
	f.Now = f.Now.Add(time.Second)
	f.SendHeartbeat(machine)
	if commands := f.StartTasks(f.Now, machine, 300); len(commands) != 0 {
		t.Fatalf("starts on a reserved machine: got %d, want 0", len(commands))
	}
	if machine.ReservedFor != large {
		t.Fatalf("machine not reserved for %s, want reserved", large.ID)
	}
	f.clearMachine(machine)
	commands := f.StartTasks(f.Now, machine, 300)
	if len(commands) != 1 || len(large.ActiveAttempts) != 1 {
		t.Errorf("starts: got %d, with %d attempts of the large job, want 1, 1", len(commands), len(large.ActiveAttempts))
	}
}

// newPartialService returns a service that is spread across zones and may have no further replica in zone a, and the machine of zone a on
// which two of its four replicas run.
func newPartialService(f *fixture, cpus float64) (*jobs.Job, *worker.Machine) {
	machine := f.AddMachine(0, "large", "a", true)
	service := f.addJob(2, 4, cpus)
	service.IsService, service.SpreadAcrossZones, service.ImageGB = true, true, 1
	f.StartTasks(f.Now, machine, 300)
	f.Now = f.Now.Add(time.Second)
	f.SendHeartbeat(machine)
	f.InvalidateOrder()
	return service, machine
}

// TestNoReservationInForbiddenZone guards against a machine with room on which nothing starts, because it is reserved for a job that may
// have no further task in its zone.
func TestNoReservationInForbiddenZone(t *testing.T) {
	f := newFixture()
	service, machine := newPartialService(f, 6)
	small := f.addJob(0, 2, 1)
	small.Team, small.AllowsSpot, small.ImageGB = "without quota", true, 1
	commands := f.StartTasks(f.Now, machine, 300)
	if len(commands) != 2 || machine.ReservedFor == service {
		t.Errorf("starts of another job: got %d, machine reserved %v, want 2, false", len(commands), machine.ReservedFor == service)
	}
}

// TestRoomInForbiddenZoneDoesNotPreventReservation guards against a service whose missing replica gets no machine of the other zone:
// the room in its first zone counts, and smaller tasks keep taking what becomes available in the other.
func TestRoomInForbiddenZoneDoesNotPreventReservation(t *testing.T) {
	f := newFixture()
	service, _ := newPartialService(f, 2)
	other := f.AddMachine(1, "large", "b", true)
	small := f.addJob(0, 100, 15)
	small.Zone, small.AllowsSpot, small.ImageGB = "b", true, 1
	f.assign(other, small)
	f.Now = f.Now.Add(time.Second)
	f.refreshOrder(f.Now)
	if other.ReservedFor != service {
		t.Error("machine in the other zone: got not reserved for the service, want reserved")
	}
}

// assign starts a task of the job on the machine.
func (f *fixture) assign(machine *worker.Machine, job *jobs.Job) {
	f.newAttempt(f.Now, machine, job, job.TakeNextTask(), f.nextAttemptNumber())
	f.InvalidateOrder()
}

// TestNoReservationForRoomOfServices guards against a machine with room on which nothing starts, because it is reserved for a job that will
// never fit: the replicas on the machine do not end.
func TestNoReservationForRoomOfServices(t *testing.T) {
	f := newFixture()
	machine := f.AddMachine(0, "large", "a", true)
	service := f.addJob(2, 11, 1)
	service.IsService, service.ImageGB = true, 1
	f.StartTasks(f.Now, machine, 300)
	large := f.addJob(7, 1, 8) // guaranteed
	large.SpreadAcrossZones, large.ImageGB = false, 1
	small := f.addJob(0, 2, 1)
	small.Team, small.AllowsSpot, small.ImageGB = "without quota", true, 1
	f.Now = f.Now.Add(time.Second)
	f.SendHeartbeat(machine)
	f.InvalidateOrder()
	commands := f.StartTasks(f.Now, machine, 300)
	if len(commands) != 2 || machine.ReservedFor == large {
		t.Errorf("starts of the small job: got %d, machine reserved %v, want 2, false", len(commands), machine.ReservedFor == large)
	}
}

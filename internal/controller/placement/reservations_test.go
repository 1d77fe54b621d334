package placement

import (
	"testing"
	"time"
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

package simulator

import (
	"fmt"
	"testing"
	"time"
)

// TestManySmallTasksComplete guards against a machine with so many small tasks that its heartbeats are refused, after which its lease
// expires again and again and no task on it completes.
func TestManySmallTasksComplete(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		t.Run(seedName(seed), func(t *testing.T) {
			options := testOptions()
			options.LossShare, options.NoTaskFailures, options.Teams, options.MachinesPerKind = 0, true, nil, 1
			sim := New(seed, options, testLogger())
			sim.Run(8 * time.Second)
			const runTime = 20 * time.Second
			for i := range 4 {
				spec := jobArray(fmt.Sprintf("job-%06d", i), "c", noTeam, 400, runTime)
				spec.CPUs, spec.MemoryGB, spec.MachineTypes, spec.AllowsSpot = 0.005, 0.01, []string{"large"}, false
				sim.Users.SubmitJob(spec, runTime)
			}
			sim.Run(4 * time.Minute)
			expectNoViolations(t, sim)
			if n := sim.Users.UnfinishedCount(); n > 0 {
				t.Errorf("unfinished arrays of small tasks: got %d of 4, want 0", n)
			}
		})
	}
}

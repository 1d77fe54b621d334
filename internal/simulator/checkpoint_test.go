package simulator

import (
	"fmt"
	"testing"
	"time"
)

// Tasks whose time to save is no whole number of nanoseconds as a float64 are stopped before the cloud reclaims their machines. They must
// save their work, since users submit 1.36 s and workers compare the number of the kill command with it.
func TestStoppedTasksSaveTheirWork(t *testing.T) {
	for _, checkpointDuration := range []time.Duration{1360 * time.Millisecond, 2050 * time.Millisecond, 4110 * time.Millisecond} {
		t.Run(checkpointDuration.String(), func(t *testing.T) {
			forEachSeed(t, 2, clusterWithoutTaskFailures, func(sim scenario) {
				for i := range 6 {
					spec := jobArray(fmt.Sprintf("job-%d", i), "c", "red", 2, 40*time.Second)
					spec.CheckpointInterval, spec.CheckpointDuration = 5*time.Second, checkpointDuration
					sim.Users.SubmitJob(spec, 40*time.Second)
				}
				sim.Run(30 * time.Second)
				for range 4 {
					sim.Cloud.ReclaimMachine(8 * time.Second)
				}
				sim.Crash(max(sim.LeaderIndex(), 0), time.Second)
				sim.Run(15 * time.Second)
			})
		})
	}
}

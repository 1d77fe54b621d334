package simulator

import (
	"fmt"
	"testing"
	"time"
)

// A rolling upgrade replaces controllers that use the old limits by controllers that use lower ones. One controller crashes before its turn
// and restarts with the old limits. Then the state service lowers its limits, while the leader changes and jobs run, end, are archived and
// cancelled. Nothing may be lost, and at the end all values must be within the new limits.
func TestLimitsLoweredAfterRollingUpgrade(t *testing.T) {
	refusedTransactions, oversizedValues := 0, 0
	forEachSeed(t, 5, clusterWithoutTaskFailures, func(sim scenario) {
		for i := range 60 {
			sim.At(time.Duration(i)*time.Second, sim.Users.SubmitRandom)
			sim.At(4*time.Second+time.Duration(i)*100*time.Millisecond, func() {
				spec := jobArray(fmt.Sprintf("job-90%02d", i), "long", "blue", 12, 30*time.Second)
				spec.CPUs, spec.MemoryGB = 0.1, 0.1
				sim.Users.SubmitJob(spec, 30*time.Second)
			})
		}
		sim.Run(18 * time.Second)
		leader := sim.LeaderIndex()
		order := []int{(leader + 1) % 3, (leader + 2) % 3, leader} // upgrade order: the leader last
		for k, i := range order {
			sim.At(time.Duration(3*k)*time.Second, func() {
				sim.controllers[i].platform.MaxValueBytes, sim.controllers[i].platform.MaxTransactionOps = 1536, 4
				sim.Crash(i, time.Second)
			})
		}
		sim.At(2*time.Second, func() { sim.Crash(order[1], 500*time.Millisecond) })
		loweredAfter := time.Duration(7000+120*sim.seed*sim.seed) * time.Millisecond
		sim.At(loweredAfter, func() {
			for _, v := range sim.State.keys {
				if len(v.value) > 1536 {
					oversizedValues++
				}
			}
			sim.State.LowerLimits(1536, 4)
		})
		sim.At(loweredAfter+3*time.Second, func() {
			if l := sim.LeaderIndex(); l >= 0 {
				sim.Crash(l, time.Second)
			}
		})
		sim.At(loweredAfter+6*time.Second, func() { sim.State.Outage(3 * time.Second) })
		sim.Run(3 * time.Minute)
		for k, v := range sim.State.keys {
			if len(v.value) > 1536 {
				sim.t.Errorf("size of key %s: got %d bytes, want at most 1536", k, len(v.value))
			}
		}
		refusedTransactions += sim.State.oversizedTransactions
	})
	if oversizedValues == 0 {
		t.Error("values over the new limits at the time of the change: got none, want at least 1")
	}
	t.Logf("%d transactions were refused for their size, %d values were too large when the limits were lowered",
		refusedTransactions, oversizedValues)
}

package simulator

import (
	"fmt"
	"testing"
	"time"

	"gullrudder/internal/config"
)

// BenchmarkLargeCluster simulates a minute of a large cluster without faults. In a profile made with -cpuprofile, Controller.Step and the
// functions that it calls are the cost of the controllers, mostly of the leader.
func BenchmarkLargeCluster(b *testing.B) {
	for _, machines := range []int{100, 1000, 5000} {
		b.Run(fmt.Sprintf("%d machines", machines), func(b *testing.B) {
			for range b.N {
				options := testOptions()
				options.Tuning = config.DefaultOptions()
				options.LossShare, options.Teams, options.HeartbeatInterval = 0, nil, 4*time.Second
				options.MachinesPerKind, options.MaxTasks = machines/6, machines/5
				sim := New(1, options, testLogger())
				for i := range 120 {
					sim.At(time.Duration(i)*500*time.Millisecond, sim.Users.SubmitRandom)
				}
				start := sim.totalStepTime
				sim.Run(time.Minute)
				b.ReportMetric(float64(sim.totalStepTime-start)/float64(b.N)/1e6, "step-ms/day-minute")
				b.ReportMetric(float64(len(sim.Cloud.runningMachines())), "machines")
			}
		})
	}
}

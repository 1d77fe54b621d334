package placement

import (
	"fmt"
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
)

// newLoadedFixture returns a cluster under load: seven of eight machines are full, and jobs wait.
func newLoadedFixture(machines, waitingJobs int) *fixture {
	f := newFixture()
	for i := range waitingJobs {
		f.addJob(i, 100+i%50, 1)
	}
	f.addJob(waitingJobs, jobs.MaxTasks, 2)
	for i := range machines {
		machine := f.AddMachine(i, map[bool]string{false: "small", true: "large"}[i%4 == 0], "a", i%2 == 0)
		if i%8 > 0 {
			f.StartTasks(f.Now, machine, 300)
		}
	}
	return f
}

var benchmarkSizes = [...]int{250, 1000, 5000}

// BenchmarkStartTasks measures one heartbeat of a machine with available resources, including its starts. The machine is
// cleared after each iteration, so that all iterations do the same work.
func BenchmarkStartTasks(b *testing.B) {
	for _, size := range benchmarkSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f := newLoadedFixture(size, size)
			machine := f.workers.Machines["vm-000000"]
			for b.Loop() {
				f.StartTasks(f.Now, machine, 300)
				f.clearMachine(machine)
			}
		})
	}
}

// BenchmarkRefreshOrder measures one computation of the order with its reservations.
func BenchmarkRefreshOrder(b *testing.B) {
	for _, size := range benchmarkSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f := newLoadedFixture(size, size)
			for b.Loop() {
				f.order.isStale, f.order.computedAt = true, time.Time{}
				f.refreshOrder(f.Now)
			}
		})
	}
}

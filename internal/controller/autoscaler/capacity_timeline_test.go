package autoscaler

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// simulatedFinishTime returns when the given work is done, computed in small steps of time.
func simulatedFinishTime(capacity capacityTimeline, cpuSeconds float64) float64 {
	const tick = 0.01
	for at := 0.0; at < 3000; at += tick {
		if cpuSeconds -= capacity.cpusAt(at) * tick; cpuSeconds <= 0 {
			return at + tick
		}
	}
	return math.Inf(1)
}

// TestWorkSweepMatchesSimulation compares the finish times of the sweep with a simulation in small steps of time. It covers
// capacity that is removed.
func TestWorkSweepMatchesSimulation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := capacityTimeline{extra: capacityStep{
			at: float64(rapid.IntRange(0, 40).Draw(t, "from")), cpus: rapid.Float64Range(-40, 40).Draw(t, "extra"),
		}}
		for range rapid.IntRange(1, 4).Draw(t, "steps") {
			capacity.steps = insertStep(capacity.steps, capacityStep{
				at: float64(rapid.IntRange(0, 60).Draw(t, "at")), cpus: rapid.Float64Range(1, 50).Draw(t, "cpus"),
			})
		}
		sweep := workSweep{capacity: capacity}
		work := 0.0
		for range 3 {
			work += rapid.Float64Range(1, 2000).Draw(t, "work")
			got, want := sweep.finishTime(work), simulatedFinishTime(capacity, work)
			if math.Abs(got-want) > 0.05+want*0.001 && !(got > 2990 && want > 2990) {
				t.Fatalf("time to do %g CPU s: got %g s, want %g s as in the simulation: %+v", work, got, want, capacity)
			}
		}
	})
}

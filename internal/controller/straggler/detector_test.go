package straggler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gullrudder/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// TestFindsSlowMachines checks that 10 slow machines among 400 are found within 40 tasks each, with at most two false
// positives. Tasks take twice as long on slow machines. The run times of a job's tasks vary by about half, and users'
// estimates are not used.
func TestFindsSlowMachines(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	detector := New(time.Second)
	const machines, slow = 400, 10
	found, falsePositives := map[int]int{}, map[int]bool{}
	for round := range 40 {
		mean := time.Duration(20+rng.IntN(200)) * time.Second
		for machine := range machines {
			runTime := time.Duration(float64(mean) * math.Exp(rng.NormFloat64()*0.4))
			if machine < slow {
				runTime *= 2
			}
			name := fmt.Sprint(machine)
			detector.RecordRun(name, runTime, mean, 50)
			switch {
			case !detector.IsSlow(name):
			case machine < slow && found[machine] == 0:
				found[machine] = round + 1
			case machine >= slow:
				falsePositives[machine] = true
			}
		}
	}
	if len(found) != slow || len(falsePositives) > 2 {
		t.Errorf("slow machines found: got %d, false positives %d, want %d, at most 2", len(found), len(falsePositives), slow)
	}
}

// recordRuns records a number of tasks on each of 20 machines. On the first machine they take slowdown times as long.
func recordRuns(detector *Detector, rng *rand.Rand, tasks int, slowdown float64) {
	for range tasks {
		for machine := range 20 {
			factor := 1.0
			if machine == 0 {
				factor = slowdown
			}
			runTime := time.Duration(factor * float64(time.Minute) * math.Exp(rng.NormFloat64()*0.2))
			detector.RecordRun(fmt.Sprint(machine), runTime, time.Minute, 10)
		}
	}
}

// TestMachineRecovers checks that a slow machine that recovers no longer counts as slow.
func TestMachineRecovers(t *testing.T) {
	detector := New(time.Second)
	rng := rand.New(rand.NewPCG(3, 4))
	recordRuns(detector, rng, 20, 3)
	if !detector.IsSlow("0") || detector.Slowdown("0") < 2 {
		t.Fatalf("threefold run times: got slow %v, slowdown %.2f, want true, at least 2", detector.IsSlow("0"), detector.Slowdown("0"))
	}
	recordRuns(detector, rng, 200, 1)
	if detector.IsSlow("0") {
		t.Error("recovered machine: got slow, want not slow")
	}
}

// TestNoMachineIsSlowIfAllAre checks that no machine is slow if tasks take longer on all of them.
func TestNoMachineIsSlowIfAllAre(t *testing.T) {
	detector := New(time.Second)
	for range 30 {
		for machine := range 10 {
			detector.RecordRun(fmt.Sprint(machine), 5*time.Minute, time.Minute, 10)
		}
	}
	for machine := range 10 {
		if detector.IsSlow(fmt.Sprint(machine)) {
			t.Errorf("machine %d: got slow though all machines are equally slow, want not slow", machine)
		}
	}
}

// TestNoMachineIsSlowWithoutEvidence checks that run times of about the resolution and jobs with too few completed tasks do
// not count as evidence.
func TestNoMachineIsSlowWithoutEvidence(t *testing.T) {
	detector := New(10 * time.Second)
	for range 50 {
		detector.RecordRun("below resolution", time.Minute, 15*time.Second, 10)
		detector.RecordRun("too few tasks", time.Hour, time.Minute, 2)
	}
	for _, machine := range []string{"below resolution", "too few tasks"} {
		if detector.IsSlow(machine) {
			t.Errorf("machine %s: got slow without evidence, want not slow", machine)
		}
	}
}

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

// Of 400 machines ten take twice as long. Tasks of a job differ by half, and owners' estimates do not
// count. The slow ones are found within forty tasks each, and hardly any other is taken for one.
func TestFindsSlowMachines(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	detector := NewDetector(time.Second)
	const machines, slow = 400, 10
	found, falsePositives := map[int]int{}, map[int]bool{}
	for round := range 40 {
		mean := time.Duration(20+rng.IntN(200)) * time.Second
		for m := range machines {
			ran := time.Duration(float64(mean) * math.Exp(rng.NormFloat64()*0.4))
			if m < slow {
				ran *= 2
			}
			name := fmt.Sprint(m)
			detector.RecordRun(name, ran, mean, 50)
			switch {
			case !detector.IsSlow(name):
			case m < slow && found[m] == 0:
				found[m] = round + 1
			case m >= slow:
				falsePositives[m] = true
			}
		}
	}
	if len(found) != slow || len(falsePositives) > 2 {
		t.Errorf("%d of %d slow machines found, %d others", len(found), slow, len(falsePositives))
	}
}

// A machine that was slow and is not any more is used again; and what is slow everywhere is no
// machine's fault.
func TestMachineRecovers(t *testing.T) {
	detector := NewDetector(time.Second)
	rng := rand.New(rand.NewPCG(3, 4))
	run := func(tasks int, times float64) {
		for range tasks {
			for m := range 20 {
				k := 1.0
				if m == 0 {
					k = times
				}
				detector.RecordRun(fmt.Sprint(m), time.Duration(k*float64(time.Minute)*math.Exp(rng.NormFloat64()*0.2)), time.Minute, 10)
			}
		}
	}
	run(20, 3)
	if !detector.IsSlow("0") || detector.Slowdown("0") < 2 {
		t.Fatalf("a machine that takes three times as long is not found: %.2f times", detector.Slowdown("0"))
	}
	run(200, 1)
	if detector.IsSlow("0") {
		t.Error("slow for ever")
	}
	all := NewDetector(time.Second)
	for range 30 {
		for m := range 10 {
			all.RecordRun(fmt.Sprint(m), 5*time.Minute, time.Minute, 10)
		}
	}
	for m := range 10 {
		if all.IsSlow(fmt.Sprint(m)) {
			t.Error("all are slow, so none is")
		}
	}
	few := NewDetector(10 * time.Second)
	for range 50 {
		few.RecordRun("m", time.Minute, 15*time.Second, 10) // no longer than what reports tell apart
		few.RecordRun("n", time.Hour, time.Minute, 2)       // nothing to compare with
	}
	if few.IsSlow("m") || few.IsSlow("n") {
		t.Error("called slow without evidence")
	}
}

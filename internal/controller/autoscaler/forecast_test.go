package autoscaler

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// randomForecast returns a forecast of a queue with two classes on a cluster that may be too small.
func randomForecast(t *rapid.T) *objectiveForecast {
	forecast := &objectiveForecast{
		costWeight:   rapid.Float64Range(0, 2).Draw(t, "cost weight"),
		spendRate:    rapid.Float64Range(0, 0.1).Draw(t, "spend rate"),
		arrivingWork: rapid.Float64Range(0, 200).Draw(t, "arriving work"),
	}
	classes := []string{"a", "b"}
	for i := range rapid.IntRange(1, 4).Draw(t, "objectives") {
		forecast.objectives = append(forecast.objectives, objective{
			class:            classes[i%2],
			isStart:          i%3 == 0,
			timeLimit:        time.Duration(rapid.IntRange(20, 300).Draw(t, "time limit")) * time.Second,
			allowedMissShare: rapid.Float64Range(0.001, 0.3).Draw(t, "allowed misses"),
		})
		jobs := rapid.Float64Range(0, 50).Draw(t, "recorded jobs")
		forecast.records = append(forecast.records, objectiveRecord{jobs, jobs * rapid.Float64Range(0, 1).Draw(t, "recorded misses")})
	}
	for range rapid.IntRange(0, 2).Draw(t, "capacity steps") {
		forecast.addCapacity(capacityStep{float64(rapid.IntRange(0, 60).Draw(t, "at")), rapid.Float64Range(0, 150).Draw(t, "cpus")})
	}
	for i := range rapid.IntRange(0, 15).Draw(t, "jobs") {
		forecast.backlog += rapid.Float64Range(1, 3000).Draw(t, "work")
		forecast.queue = append(forecast.queue, queuedJob{
			jobProfile: jobProfile{class: classes[i%2], taskDuration: 20 * time.Second},
			age:        time.Duration(rapid.IntRange(0, 100).Draw(t, "age")) * time.Second,
			workAhead:  forecast.backlog,
			weight:     1,
			quotaDelay: rapid.Float64Range(0, 100).Draw(t, "quota delay"),
		})
	}
	forecast.arrivals = append(forecast.arrivals, expectedArrival{
		jobProfile: jobProfile{class: "a", taskDuration: 20 * time.Second},
		rate:       rapid.Float64Range(0, 1).Draw(t, "rate"),
		position:   rapid.Float64Range(0, 1).Draw(t, "position"),
	})
	return forecast
}

// withOwnSteps returns a copy of the forecast whose capacity steps can be changed independently.
func (f *objectiveForecast) withOwnSteps() *objectiveForecast {
	c := *f
	c.capacitySteps = slices.Clone(f.capacitySteps)
	return &c
}

// combinedGain returns the gain of requesting the given counts of all candidates together.
func (f *objectiveForecast) combinedGain(candidates []candidateKind, counts []int) float64 {
	sum := f.loss(f.predictMisses(capacityStep{}))
	changed := f.withOwnSteps()
	for i, candidate := range candidates {
		if counts[i] == 0 {
			continue
		}
		added := candidate.capacityOf(counts[i])
		p := changed.predictMisses(added)
		sum -= changed.lossFromSpending(candidate.costUntil(p.queueEmptyAfter, counts[i]))
		changed.addCapacity(added)
	}
	return sum - changed.loss(changed.predictMisses(capacityStep{}))
}

// TestGreedyChoiceIsNearOptimal checks the greedy choice, which selects a count out of 1, 2, 4 and so on kind by kind. It must
// never be worse than requesting nothing. Over all small cases it must be close to the best combination of counts.
func TestGreedyChoiceIsNearOptimal(t *testing.T) {
	chosen, possible, worst := 0.0, 0.0, 0.0
	rapid.Check(t, func(t *rapid.T) {
		forecast := randomForecast(t)
		candidates := []candidateKind{
			{cpus: 8, costPerSecond: 0.0002, bootSeconds: 40, maxCount: 5},
			{cpus: 32, costPerSecond: 0.0007, bootSeconds: 35, maxCount: 3},
		}
		counts := make([]int, len(candidates))
		changed := forecast.withOwnSteps()
		for i, candidate := range candidates {
			counts[i] = changed.bestCount(candidate)
			changed.addCapacity(candidate.capacityOf(counts[i]))
		}
		greedy, best := forecast.combinedGain(candidates, counts), 0.0
		for a := range candidates[0].maxCount + 1 {
			for b := range candidates[1].maxCount + 1 {
				best = max(best, forecast.combinedGain(candidates, []int{a, b}))
			}
		}
		if greedy < -1e-9 {
			t.Fatalf("gain of the chosen counts %v: got %g, want at least 0, the gain of requesting nothing", counts, greedy)
		}
		chosen, possible, worst = chosen+greedy, possible+best, max(worst, best-greedy)
	})
	t.Logf("the greedy choice has %.1f %% of the best gain; the largest difference is %.2f objectives", 100*chosen/max(possible, 1e-9), worst)
	if chosen < 0.9*possible {
		t.Errorf("gain of the greedy choice: got %g, want at least 0.9 of the best, %g", chosen, possible)
	}
}

// TestMoreMachinesNeverRaisePredictedMisses checks that more machines never raise the predicted misses, and that they do not
// lower the misses caused by a team's quota.
func TestMoreMachinesNeverRaisePredictedMisses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		forecast := randomForecast(t)
		more := forecast.predictMisses(capacityStep{5, 20})
		before := forecast.predictMisses(capacityStep{})
		for i, missed := range more.missed {
			if missed > before.missed[i]+1e-9 || missed > more.jobs[i]+1e-9 {
				t.Fatalf("objective %d: got %g misses with more machines, want at most %g before, %g jobs", i, missed, before.missed[i], more.jobs[i])
			}
		}
		for i := range forecast.queue {
			forecast.queue[i].quotaDelay = 1e6
		}
		forecast.arrivals = nil
		more = forecast.predictMisses(capacityStep{0, 1000})
		before = forecast.predictMisses(capacityStep{})
		if !slices.Equal(more.missed, before.missed) {
			t.Fatalf("misses caused by a team's quota, with more machines: got %v, want %v", more.missed, before.missed)
		}
	})
}

// TestForecastEdgeCases checks that no instance is worth its price if no job waits, and that an instance without a price is worth
// requesting if jobs wait.
func TestForecastEdgeCases(t *testing.T) {
	forecast := &objectiveForecast{objectives: objectivesOf(edgeCaseObjectives), records: make([]objectiveRecord, 2), costWeight: 1}
	if n := forecast.bestCount(candidateKind{cpus: 8, costPerSecond: 1, bootSeconds: 40, maxCount: 64}); n != 0 {
		t.Errorf("best count without waiting jobs: got %d, want 0", n)
	}
	forecast.addCapacity(capacityStep{0, 10})
	forecast.backlog = 3000
	forecast.queue = []queuedJob{{
		jobProfile: jobProfile{class: "c", taskDuration: 10 * time.Second, deadline: time.Minute}, workAhead: 3000, weight: 1,
	}}
	if n := forecast.bestCount(candidateKind{cpus: 8, costPerSecond: 0, bootSeconds: 10, maxCount: 64}); n == 0 {
		t.Error("best count of instances without a price: got 0, want at least 1")
	}
}

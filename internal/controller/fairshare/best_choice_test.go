package fairshare

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gullrudder/internal/controller/estimate"
	"gullrudder/internal/controller/jobs"
)

// servedCounts holds the number of done jobs and of all jobs, by class and team.
type servedCounts struct{ done, all map[Group]float64 }

func newServedCounts(done map[Group]float64) servedCounts {
	return servedCounts{maps.Clone(done), maps.Clone(done)}
}

func (c servedCounts) add(job *jobs.Job, isDone bool) {
	for _, group := range classAndTeam(job) {
		c.all[group]++
		if isDone {
			c.done[group]++
		}
	}
}

// leastServedShare returns the served share of the least served group.
func (c servedCounts) leastServedShare() float64 {
	least := 1.0
	for group, all := range c.all {
		least = min(least, c.done[group]/all)
	}
	return least
}

// classAndTeam returns the groups of a job that is not one of the largest of its class.
func classAndTeam(job *jobs.Job) []Group {
	return []Group{{Name: job.Class}, {IsTeam: true, Name: job.Team}}
}

func neededCPUs(candidate OverdueJob) float64 {
	return float64(candidate.StartableTasks) * estimate.CountedCPUs(candidate.Job)
}

// bestLeastServedShare is the reference: it tries every set of jobs that fits, and returns the highest possible served share
// of the least served group.
func bestLeastServedShare(done map[Group]float64, overdue []OverdueJob, availableCPUs float64) float64 {
	best := 0.0
	for subset := range 1 << len(overdue) {
		usedCPUs := 0.0
		counts := newServedCounts(done)
		for i, candidate := range overdue {
			isChosen := subset>>i&1 == 1
			if isChosen {
				usedCPUs += neededCPUs(candidate)
			}
			counts.add(candidate.Job, isChosen)
		}
		if usedCPUs <= availableCPUs+1e-9 {
			best = max(best, counts.leastServedShare())
		}
	}
	return best
}

// drawDone records random numbers of done jobs in three classes and two teams, and returns them by group.
func drawDone(t *rapid.T, now time.Time, allocator *Allocator) map[Group]float64 {
	done := map[Group]float64{}
	for class := range 3 {
		for range rapid.IntRange(0, 6).Draw(t, "done") {
			job := newJob(99, fmt.Sprint("c", class), fmt.Sprint("t", class%2), 1, 1)
			allocator.RecordDone(now, job)
			for _, group := range classAndTeam(job) {
				done[group]++
			}
		}
	}
	return done
}

func drawOverdue(t *rapid.T) []OverdueJob {
	var overdue []OverdueJob
	for i := range rapid.IntRange(1, 9).Draw(t, "jobs") {
		class := fmt.Sprint("c", rapid.IntRange(0, 2).Draw(t, "class"))
		team := fmt.Sprint("t", rapid.IntRange(0, 1).Draw(t, "team"))
		tasks, cpus := rapid.IntRange(1, 6).Draw(t, "tasks"), rapid.IntRange(1, 2).Draw(t, "cpus")
		overdue = append(overdue, starvedJob(newJob(i, class, team, tasks, float64(cpus))))
	}
	return overdue
}

// TestLeastServedNearBestChoice checks on small cases that the least served group gets nearly as much as with the best
// choice of jobs. Only the last allocated job may exceed the share.
func TestLeastServedNearBestChoice(t *testing.T) {
	const totalCPUs = 60
	sum, sumOfBest, worst := 0.0, 0.0, 0.0
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(5000, 0)
		allocator := New(Policy{Window: time.Hour, MinServedShare: 1, CapacityShare: rapid.Float64Range(0.1, 0.6).Draw(t, "share")})
		done := drawDone(t, now, allocator)
		overdue := drawOverdue(t)
		allocations := allocator.Allocate(now, overdue, nil, totalCPUs)
		usedCPUs, largest := 0.0, 0.0
		counts := newServedCounts(done)
		for _, candidate := range overdue {
			isAllocated := allocations[candidate.Job] != 0
			counts.add(candidate.Job, isAllocated)
			if isAllocated {
				usedCPUs += neededCPUs(candidate)
				largest = max(largest, neededCPUs(candidate))
			}
		}
		shareCPUs := allocator.policy.CapacityShare * totalCPUs
		if len(allocations) > 1 && usedCPUs-largest >= shareCPUs {
			t.Errorf("allocated CPUs: got %g, want at most the share of %g and one job", usedCPUs, shareCPUs)
		}
		// Since the last job may exceed the share, the best choice may use as many CPUs.
		best := bestLeastServedShare(done, overdue, max(usedCPUs, shareCPUs))
		sum, sumOfBest = sum+counts.leastServedShare(), sumOfBest+best
		worst = max(worst, best-counts.leastServedShare())
	})
	t.Logf("served share of the least served group: %.3f of the best choice, at worst %.2f less", sum/max(sumOfBest, 1e-9), worst)
	if sum < 0.85*sumOfBest {
		t.Errorf("served share of the least served group, relative to the best choice: got %.3f, want at least 0.85", sum/sumOfBest)
	}
}

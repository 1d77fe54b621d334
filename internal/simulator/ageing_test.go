package simulator

import (
	"fmt"
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
)

// overloadedCluster is a cluster that urgent jobs with deadlines keep full all the time, after a few tasks of low priority were queued
// that need four times the resources.
func overloadedCluster(seed uint64, share float64) *Cluster {
	options := testOptions()
	options.Teams, options.LossShare, options.MachinesPerKind = nil, 0, 1
	options.Tuning.AgeBound, options.Tuning.AgedShare = time.Minute, share
	options.Tuning.PlanningInterval, options.Tuning.SubmissionShare = 5*time.Second, 1000
	// The minimum served share and the start bound would serve the same jobs.
	options.Tuning.FairShareCapacity, options.Tuning.OverdueShare, options.Tuning.StartBound = 0, 0, 0
	sim := New(seed, options, testLogger())
	submitUrgent := func(i int) {
		sim.Users.SubmitJob(jobs.Spec{
			ID: fmt.Sprintf("job-1%05d", i), Class: "urgent", Team: "desk", Priority: jobs.Critical, Tasks: 9, CPUs: 1, MemoryGB: 1,
			Image: "u", ImageGB: 1, AllowsSpot: true, RunTimeEstimate: 12 * time.Second, Deadline: 40 * time.Second,
		}, 12*time.Second)
	}
	for i := range 500 {
		sim.At(time.Duration(i)*time.Second, func() { submitUrgent(i) })
	}
	for i := range 6 {
		sim.At(time.Duration(20+i)*time.Second, func() {
			sim.Users.SubmitJob(jobs.Spec{
				ID: fmt.Sprintf("job-%06d", i), Class: "ledger", Team: "harvest", Priority: jobs.Low, Tasks: 2, CPUs: 4, MemoryGB: 4,
				Image: "l", ImageGB: 1, AllowsSpot: true, RunTimeEstimate: 20 * time.Second,
			}, 20*time.Second)
		})
	}
	return sim
}

// Urgent jobs that overload the cluster do not delay earlier jobs beyond the bound that was stated at acceptance. Without an aged
// share the same jobs wait for longer than that.
func TestAgeingBoundsWaitUnderOverload(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		t.Run(seedName(seed), func(t *testing.T) {
			t.Parallel()
			runOverload(t, seed)
		})
	}
}

// runOverload is TestAgeingBoundsWaitUnderOverload with one seed.
func runOverload(t *testing.T, seed uint64) {
	t.Helper()
	longestWait, largestBound := map[bool]time.Duration{}, time.Duration(0)
	for _, hasAgedShare := range []bool{false, true} {
		share := 0.15
		if !hasAgedShare {
			share = 0
		}
		sim := overloadedCluster(seed, share)
		sim.Run(50 * time.Second)
		bounds := firstStartBounds(t, sim, hasAgedShare)
		for _, bound := range bounds {
			if hasAgedShare {
				largestBound = max(largestBound, bound)
			}
		}
		sim.Run(450 * time.Second)
		expectNoViolations(t, sim)
		for id, bound := range bounds {
			waited := sim.waitForStart(sim.checker.jobs[id])
			longestWait[hasAgedShare] = max(longestWait[hasAgedShare], waited)
			if hasAgedShare && waited > bound {
				t.Errorf("wait of %s for its first start: got %v, want at most the stated bound %v", id, waited, bound)
			}
		}
	}
	t.Logf(
		"the longest wait is %v without a share and %v with one, stated %v",
		longestWait[false].Round(time.Second),
		longestWait[true].Round(time.Second),
		largestBound,
	)
	if longestWait[false] < longestWait[true]*5/4 {
		t.Errorf("longest wait without an aged share: got %v, want at least 5/4 of %v, the longest with it", longestWait[false], longestWait[true])
	}
}

// firstStartBounds returns the bounds of the first start that are stated for the early jobs.
func firstStartBounds(t *testing.T, sim *Cluster, required bool) map[string]time.Duration {
	t.Helper()
	bounds := map[string]time.Duration{}
	for i := range 6 {
		id := fmt.Sprintf("job-%06d", i)
		explanation, _ := sim.explain(id)
		bounds[id] = time.Duration(explanation.FirstStartBoundSeconds * float64(time.Second))
		if required && bounds[id] == 0 {
			t.Fatalf("stated bound of %s: got none, want one: %+v", id, explanation)
		}
		if len(explanation.Reasons) == 0 || explanation.WaitingTasks > 0 && explanation.Position < 1 {
			t.Errorf("explanation of %s: got %+v, want reasons, and a position if tasks wait", id, explanation)
		}
	}
	return bounds
}

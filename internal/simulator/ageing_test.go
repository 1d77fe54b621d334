package simulator

import (
	"fmt"
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
)

// overloadedCluster returns a cluster that urgent jobs with deadlines keep full. A few low-priority jobs are also queued, whose tasks need
// four times the resources. agedShare is the share of the cluster for aged jobs.
func overloadedCluster(seed uint64, agedShare float64) *Cluster {
	options := testOptions()
	options.Teams, options.LossShare, options.MachinesPerKind = nil, 0, 1
	options.Tuning.AgeBound, options.Tuning.AgedShare = time.Minute, agedShare
	options.Tuning.PlanningInterval, options.Tuning.SubmissionShare = 5*time.Second, 1000
	// Disabled, because the minimum share and the start bound would also serve the low-priority jobs.
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

// Urgent jobs that overload the cluster must not delay earlier jobs beyond the bound on their first start, which is set at acceptance.
// The same run without an aged share checks that the overload does delay them: they wait at least a quarter longer.
func TestAgeingBoundsWaitUnderOverload(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		t.Run(seedName(seed), func(t *testing.T) {
			t.Parallel()
			runOverload(t, seed)
		})
	}
}

// runOverload runs TestAgeingBoundsWaitUnderOverload with one seed.
func runOverload(t *testing.T, seed uint64) {
	t.Helper()
	longestWait, largestBound := map[bool]time.Duration{}, time.Duration(0)
	for _, hasAgedShare := range []bool{false, true} {
		agedShare := 0.15
		if !hasAgedShare {
			agedShare = 0
		}
		sim := overloadedCluster(seed, agedShare)
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
				t.Errorf("wait of %s for its first start: got %v, want at most its bound %v", id, waited, bound)
			}
		}
	}
	t.Logf(
		"longest wait: %v without an aged share, %v with one; largest bound: %v",
		longestWait[false].Round(time.Second),
		longestWait[true].Round(time.Second),
		largestBound,
	)
	if longestWait[false] < longestWait[true]*5/4 {
		t.Errorf("longest wait without an aged share: got %v, want at least 5/4 of %v, the longest with it",
			longestWait[false], longestWait[true])
	}
}

// firstStartBounds returns the bounds on the wait of the low-priority jobs for their first start.
func firstStartBounds(t *testing.T, sim *Cluster, required bool) map[string]time.Duration {
	t.Helper()
	bounds := map[string]time.Duration{}
	for i := range 6 {
		id := fmt.Sprintf("job-%06d", i)
		explanation, _ := sim.explain(id)
		bounds[id] = time.Duration(explanation.FirstStartBoundSeconds * float64(time.Second))
		if required && bounds[id] == 0 {
			t.Fatalf("bound on the first start of %s: got none, want one: %+v", id, explanation)
		}
		if len(explanation.Reasons) == 0 || explanation.WaitingTasks > 0 && explanation.Position < 1 {
			t.Errorf("explanation of %s: got %+v, want reasons, and a position if tasks wait", id, explanation)
		}
	}
	return bounds
}

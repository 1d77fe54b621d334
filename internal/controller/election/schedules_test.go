package election

import (
	"flag"
	"math/rand/v2"
	"testing"

	"gullrudder/internal/simulator/modelcheck"
)

var modelFaults = flag.Int("model.faults", 1, "number of faults in a schedule of the election")

const (
	walkLength        = 45
	correctModelWalks = 500
	maxMutantWalks    = 3_000
)

// TestElectionSchedules checks that two controllers never hold the leader lease at the same time. The schedules contain
// dropped and delayed messages, faulty links and restarts.
func TestElectionSchedules(t *testing.T) {
	r := modelcheck.CheckAll(func() modelcheck.Model { return newElectionModel(t, "", *modelFaults) }, 12+2**modelFaults, 5_000_000)
	t.Logf("%d states, depth %d, truncated %v", r.States, r.Depth, r.IsTruncated)
	if r.Violation != "" {
		t.Errorf("violation in the exhaustive check: got %q after %q, want none", r.Violation, r.Schedule)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	r = modelcheck.RandomWalks(func() modelcheck.Model { return newElectionModel(t, "", 6) }, walkLength, correctModelWalks, rng)
	if r.Violation != "" {
		t.Errorf("violation in random walks: got %q after %q, want none", r.Violation, r.Schedule)
	}
}

// TestElectionMutants checks that some schedule finds each mutant. Each seed finds its mutant soon. Half a million
// walks did not find two more faults, which have their own tests: to count grants that were given after the leader lease
// expired (TestLateRenewal), and to respond to a leader query according to HoldsLease
// (TestLeaderQueryDuringLateRenewal).
func TestElectionMutants(t *testing.T) {
	seeds := map[mutant]uint64{
		claimWithoutPrecondition: 2,
		campaignDespiteGrant:     2,
		grantNotRecorded:         2,
		singleGrantExtendsLease:  2,
		noRestartGuard:           13,
		grantCountsFromResponse:  36,
		grantByNonFollower:       28,
		leaseCountsFromResponse:  33,
	}
	checkMutants(t, seeds, walkLength, maxMutantWalks, func(mutant mutant, _ *rand.Rand) modelcheck.Model {
		return newElectionModel(t, mutant, 6)
	})
}

// checkMutants runs random walks of each mutant's model until the invariant is violated. It fails if that does not happen
// within the given number of walks.
func checkMutants(t *testing.T, seeds map[mutant]uint64, length, walks int, newModel func(mutant, *rand.Rand) modelcheck.Model) {
	t.Helper()
	for mutant, seed := range seeds {
		t.Run(string(mutant), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(1, seed))
			r := modelcheck.RandomWalks(func() modelcheck.Model { return newModel(mutant, rng) }, length, walks, rng)
			t.Logf("%d states: %s after %q", r.States, r.Violation, r.Schedule)
			if r.Violation == "" {
				t.Errorf("no violation found in %d states, want one", r.States)
			}
		})
	}
}

package election

import (
	"flag"
	"math/rand/v2"
	"testing"

	"gullrudder/internal/simulator/modelcheck"
)

var modelFaults = flag.Int("model.faults", 1, "faults in a schedule of the election")

const (
	walkLength     = 45
	cleanWalks     = 500
	maxMutantWalks = 3_000
)

// TestElectionSchedules checks that no schedule of dropped, delayed and late messages, cut links and restarts makes
// two controllers hold the leader lease at once.
func TestElectionSchedules(t *testing.T) {
	r := modelcheck.CheckAll(func() modelcheck.Model { return newElectionModel(t, "", *modelFaults) }, 12+2**modelFaults, 5_000_000)
	t.Logf("%d states, depth %d, cut %v", r.States, r.Depth, r.IsTruncated)
	if r.Violation != "" {
		t.Errorf("violation in all schedules: got %q after %q, want none", r.Violation, r.Schedule)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	r = modelcheck.RandomWalks(func() modelcheck.Model { return newElectionModel(t, "", 6) }, walkLength, cleanWalks, rng)
	if r.Violation != "" {
		t.Errorf("violation in random walks: got %q after %q, want none", r.Violation, r.Schedule)
	}
}

// TestElectionMutants checks that some schedule finds each mistake. The seeds are ones that find it soon. Two more mistakes
// are not found by half a million walks and have tests of their own: that grants given after the lease expired count
// (TestLateRenewal), and that a vote query is answered by the lease alone (TestVoteQueryDuringLateRenewal).
func TestElectionMutants(t *testing.T) {
	seeds := map[mutant]uint64{
		claimWithoutPrecondition: 2,
		campaignDespiteGrant:     2,
		grantDoesNotBind:         2,
		oneGrantSuffices:         2,
		restartDoesNotBind:       13,
		grantCountsFromResponse:  36,
		grantByNonFollower:       28,
		renewalFromResponse:      33,
	}
	checkMutants(t, seeds, walkLength, maxMutantWalks, func(mutant mutant, _ *rand.Rand) modelcheck.Model {
		return newElectionModel(t, mutant, 6)
	})
}

// checkMutants walks through the model of each mutant until the invariant is violated, which has to happen within the given walks.
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

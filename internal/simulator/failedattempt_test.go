package simulator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
)

// failedAttemptJob is the ID of the job of newFailedAttempt.
const failedAttemptJob = "job-000001"

// newFailedAttempt returns a cluster whose cloud has few machines for a job, one attempt of which has failed. The machine of that attempt
// has room for the job, and small jobs of another user keep it in use.
func newFailedAttempt(t *testing.T, seed uint64, machines int) scenario {
	t.Helper()
	options := testOptions()
	options.LossShare, options.NoTaskFailures, options.Teams, options.MachinesPerKind = 0, true, nil, machines
	sim := New(seed, options, testLogger())
	onRegularLarge := func(spec jobs.Spec) jobs.Spec {
		spec.MachineTypes, spec.AllowsSpot = []string{"large"}, false
		return spec
	}
	const smallRunTime = 3 * time.Second
	for i := range 200 {
		sim.At(time.Duration(i)*2*time.Second, func() {
			sim.Users.SubmitJob(onRegularLarge(jobArray(fmt.Sprintf("job-9%05d", i), "small", noTeam, 2, smallRunTime)), smallRunTime)
		})
	}
	sim.Run(25 * time.Second)
	const runTime = 9 * time.Second
	sim.Users.SubmitJob(onRegularLarge(jobArray(failedAttemptJob, "c", noTeam, 4, runTime)), runTime)
	sim.checker.jobs[failedAttemptJob].failuresLeft = 1
	for range 60 {
		sim.Run(time.Second)
		if sim.isAvoidedAnywhere() {
			return newScenario(t, sim, seed, 1)
		}
	}
	t.Fatal("failed attempts: got none in 60 s, want one")
	return scenario{}
}

// isAvoidedAnywhere reports whether the explanation of failedAttemptJob says that it avoids a machine.
func (sim *Cluster) isAvoidedAnywhere() bool {
	explanation, _ := sim.explain(failedAttemptJob)
	return strings.Contains(strings.Join(explanation.Reasons, "; "), "1 machines are avoided, since a task of the job failed there")
}

// TestExplanationNamesAvoidedMachines guards against an explanation that does not tell why a job waits after one of its attempts failed.
func TestExplanationNamesAvoidedMachines(t *testing.T) {
	t.Parallel()
	sim := newFailedAttempt(t, 1, 1)
	explanation, _ := sim.explain(failedAttemptJob)
	if reasons := strings.Join(explanation.Reasons, "; "); strings.Contains(reasons, "no machine that is up may run the job") {
		t.Errorf("reasons: got %q, want none that denies machines for the job", reasons)
	}
}

// TestJobRunsAgainOnItsOnlyMachineAfterFailure guards against a job that waits without end after one failed attempt, because it avoids the
// only machine that fits it, which has room.
func TestJobRunsAgainOnItsOnlyMachineAfterFailure(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		t.Run(seedName(seed), func(t *testing.T) {
			sim := newFailedAttempt(t, seed, 1)
			sim.Run(maxStartableWait + 2*queueCheckInterval)
			expectNoViolations(t, sim.Cluster)
			if sim.checker.jobs[failedAttemptJob].finishedAt.IsZero() {
				t.Errorf("job one attempt of which failed: got unfinished %v later, want done", maxStartableWait+2*queueCheckInterval)
			}
		})
	}
}

// TestInstanceIsRequestedForJobThatAvoidsItsMachine guards against a job that waits for as long as it avoids its only machine, although the
// cloud has others.
func TestInstanceIsRequestedForJobThatAvoidsItsMachine(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		t.Run(seedName(seed), func(t *testing.T) {
			sim := newFailedAttempt(t, seed, 2)
			sim.Run(jobs.MachineAvoidance - 2*time.Second)
			expectNoViolations(t, sim.Cluster)
			if sim.checker.jobs[failedAttemptJob].finishedAt.IsZero() {
				t.Error("job one attempt of which failed: got unfinished before its machine may be used again, want done")
			}
		})
	}
}

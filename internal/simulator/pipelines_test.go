package simulator

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// chainDependencies returns the dependencies of n jobs, each of which depends on the job before.
func chainDependencies(n int) [][]int {
	dependencies := make([][]int, n)
	for i := 1; i < n; i++ {
		dependencies[i] = []int{i - 1}
	}
	return dependencies
}

// fanOutDependencies returns the dependencies of one job and of n others that depend on it.
func fanOutDependencies(n int) [][]int {
	dependencies := make([][]int, n+1)
	for i := 1; i <= n; i++ {
		dependencies[i] = []int{0}
	}
	return dependencies
}

// finalStates returns the numbers of jobs whose users learned that they are done or cancelled.
func (sim *Cluster) finalStates(ids []string) (done, cancelled int) {
	for _, id := range ids {
		if j := sim.checker.jobs[id]; j != nil && !j.finishedAt.IsZero() {
			done++
		} else if j != nil && !j.cancelledAt.IsZero() {
			cancelled++
		}
	}
	return done, cancelled
}

// A chain of twenty jobs must run in order although the leader crashes, or is refused by the state service, every nine seconds.
func TestDependencyChainAcrossFailovers(t *testing.T) {
	forEachSeed(t, 3, pipelineCluster, func(sim scenario) {
		ids := sim.Users.SubmitPipeline(Pipeline{
			Name: "71", Dependencies: chainDependencies(20), TasksPerJob: 2, RunTime: 2 * time.Second, Deadline: 2 * time.Minute,
		})
		for i := range 14 {
			sim.At(time.Duration(5+9*i)*time.Second, func() {
				if l := sim.LeaderIndex(); l >= 0 && i%2 == 0 {
					sim.Crash(l, time.Second)
				} else if l >= 0 {
					sim.State.Refuse(controllerName(l), 3*time.Second)
				}
			})
		}
		sim.Run(6 * time.Minute)
		if done, _ := sim.finalStates(ids); done != len(ids) {
			sim.t.Errorf("jobs done: got %d, want all %d", done, len(ids))
		}
	})
}

// The root of a fan and a job of a diamond are cancelled while the state service refuses only the leader. An outage follows that is longer
// than the cancellation timeout. All dependents must be cancelled without a start, and no other jobs.
func TestRootCancelledDuringOutage(t *testing.T) {
	forEachSeed(t, 4, pipelineCluster, func(sim scenario) {
		sim.Users.SubmitPipeline(Pipeline{
			Name: "72", Dependencies: chainDependencies(1), TasksPerJob: 2, RunTime: 3 * time.Second, Deadline: time.Minute,
		})
		fan := sim.Users.SubmitPipeline(Pipeline{
			Name: "73", Dependencies: fanOutDependencies(60), TasksPerJob: 2, RunTime: 40 * time.Second, Deadline: 3 * time.Minute,
		})
		diamond := sim.Users.SubmitPipeline(Pipeline{
			Name: "74", Dependencies: [][]int{nil, {0}, {0}, {1, 2}}, TasksPerJob: 2, RunTime: 40 * time.Second, Deadline: 3 * time.Minute,
		})
		sim.Run(12 * time.Second)
		sim.Users.cancel(fan[0])
		sim.Users.cancel(diamond[1])
		sim.At(time.Duration(sim.seed)*60*time.Millisecond, func() { sim.State.Refuse(sim.State.leaderName(), 6*time.Second) })
		sim.At(time.Second, func() { sim.State.Outage(sim.Options.CancelTimeout + 10*time.Second) })
		if sim.seed == 3 {
			sim.At(2*time.Second, func() { sim.Crash(0, 500*time.Millisecond) })
		}
		sim.Run(4 * time.Minute)
		if _, cancelled := sim.finalStates(fan); cancelled != len(fan) {
			sim.t.Errorf("jobs of the fan that are cancelled: got %d, want all %d", cancelled, len(fan))
		}
		if done, cancelled := sim.finalStates(diamond); done != 2 || cancelled != 2 {
			sim.t.Errorf("jobs of the diamond that are done and cancelled: got %d and %d, want 2 and 2", done, cancelled)
		}
	})
}

// Jobs are submitted that depend on archived jobs, some done and some cancelled. The archive's index stores some of their IDs exactly;
// others are too long for that. The leader crashes before the new records are written.
func TestDependenciesOnArchivedJobs(t *testing.T) {
	forEachSeed(t, 4, pipelineCluster, func(sim scenario) {
		for _, name := range []string{"75", "750000000000"} {
			sim.Users.SubmitPipeline(Pipeline{
				Name: name, Dependencies: chainDependencies(1), TasksPerJob: 1, RunTime: time.Second, Deadline: time.Minute,
			})
			sim.Users.SubmitPipeline(Pipeline{
				Name: name + "1", Dependencies: chainDependencies(1), TasksPerJob: 1, RunTime: 50 * time.Second, Deadline: time.Minute,
			})
		}
		sim.Run(10 * time.Second)
		sim.Users.cancel("job-7510000")
		sim.Users.cancel("job-75000000000010000")
		sim.Run(25 * time.Second)
		if segments, _ := sim.State.archiveSegments(); segments == 0 {
			sim.t.Errorf("archive segments: got none, want at least 1")
		}
		var dependentsOfDone, dependentsOfCancelled []string
		for i, name := range []string{"76", "77", "78", "79"} {
			dependency := []string{"job-750000", "job-7500000000000000", "job-7510000", "job-75000000000010000"}[i]
			sim.At(time.Duration(i*300)*time.Millisecond, func() {
				spec := sim.checker.jobs[dependency].spec
				spec.ID, spec.Dependencies = "job-"+name, []string{dependency}
				sim.Users.SubmitJob(spec, time.Second)
			})
			if i < 2 {
				dependentsOfDone = append(dependentsOfDone, "job-"+name)
			} else {
				dependentsOfCancelled = append(dependentsOfCancelled, "job-"+name)
			}
		}
		sim.At(time.Duration(700+100*sim.seed)*time.Millisecond, func() {
			if l := sim.LeaderIndex(); l >= 0 {
				sim.Crash(l, time.Second)
			}
		})
		sim.Run(40 * time.Second)
		if done, _ := sim.finalStates(dependentsOfDone); done != 2 {
			sim.t.Errorf("dependents of done jobs that are done: got %d, want 2", done)
		}
		if _, cancelled := sim.finalStates(dependentsOfCancelled); cancelled != 2 {
			sim.t.Errorf("dependents of cancelled jobs that are cancelled: got %d, want 2", cancelled)
		}
	})
}

// A dependent is submitted at about the time at which its dependency is cancelled or ends. Both must be done, or both cancelled.
func TestDependencyCancelledDuringSubmission(t *testing.T) {
	forEachSeed(t, 12, pipelineCluster, func(sim scenario) {
		ids := sim.Users.SubmitPipeline(Pipeline{
			Name: "81", Dependencies: chainDependencies(1), TasksPerJob: 2, RunTime: 3 * time.Second, Deadline: time.Minute,
		})
		sim.Run(1500 * time.Millisecond)
		spec := sim.checker.jobs[ids[0]].spec
		spec.ID, spec.Dependencies = "job-82", []string{ids[0]}
		sim.At(time.Duration(sim.Rand.IntN(60))*time.Millisecond, func() { sim.Users.SubmitJob(spec, time.Second) })
		sim.At(
			time.Duration(sim.Rand.IntN(60))*time.Millisecond+time.Duration(sim.seed%2)*3500*time.Millisecond,
			func() { sim.Users.cancel(ids[0]) },
		)
		if sim.seed%3 == 0 {
			sim.State.DelayTransactions(0.4, 10*time.Second)
		}
		sim.Run(2 * time.Minute)
		done, cancelled := sim.finalStates([]string{ids[0], spec.ID})
		if done != 2 && cancelled != 2 {
			sim.t.Errorf("job and dependent: got %d done and %d cancelled, want both done or both cancelled", done, cancelled)
		}
	})
}

// Submissions must be rejected if they depend on a job that was never accepted, or if their dependencies have a wrong type.
func TestInvalidDependencies(t *testing.T) {
	t.Parallel()
	sim := pipelineCluster(t, 1)
	ids := sim.Users.SubmitPipeline(Pipeline{
		Name: "83", Dependencies: chainDependencies(1), TasksPerJob: 1, RunTime: time.Second, Deadline: time.Minute,
	})
	sim.Run(6 * time.Second)
	for i, dependencies := range [][]string{{"job-999"}, {ids[0], "job-8400"}, {"job-84000000000000002"}} {
		spec := sim.checker.jobs[ids[0]].spec
		spec.ID, spec.Dependencies = "job-840"+string(rune('0'+i)), dependencies
		sim.Users.expectRejected(spec.ID, SubmissionFields(spec), http.StatusUnprocessableEntity)
	}
	for _, invalidValue := range []any{"job-1", []string{"1"}, []int{3}, map[string]any{}} {
		fields := SubmissionFields(sim.checker.jobs[ids[0]].spec)
		fields["id"], fields["tows"] = "job-8409", invalidValue
		sim.Users.expectRejected("job-8409", fields, http.StatusBadRequest)
	}
	expectAllFinished(t, sim.Cluster)
}

// A job with a thousand dependents is cancelled. The leader crashes while the records are written, and the limits of the state service are
// lowered meanwhile. All jobs must be cancelled in time, and at the end every value must be within the limits.
func TestCancellationOfThousandDependents(t *testing.T) {
	t.Parallel()
	options := testOptions()
	options.LossShare, options.NoTaskFailures, options.Teams, options.StopPollingFinished = 0, true, nil, true
	sim := New(1, options, testLogger())
	sim.Run(8 * time.Second)
	ids := sim.Users.SubmitPipeline(Pipeline{
		Name: "85", Dependencies: fanOutDependencies(1000), TasksPerJob: 1, RunTime: 300 * time.Second, Deadline: 10 * time.Minute,
	})
	sim.Run(90 * time.Second)
	if n := sim.Users.AcceptedCount(); n < 1001 {
		t.Fatalf("accepted jobs: got %d, want 1001", n)
	}
	for _, c := range sim.controllers { // configured limits apply from the next start of the controller
		c.platform.MaxValueBytes, c.platform.MaxTransactionOps = 1536, 4
	}
	sim.Crash(sim.LeaderIndex(), time.Second)
	sim.Run(6 * time.Second)
	sim.Users.cancel(ids[0])
	sim.At(600*time.Millisecond, func() { sim.State.LowerLimits(1536, 4) })
	sim.At(1200*time.Millisecond, func() {
		if l := sim.LeaderIndex(); l >= 0 {
			sim.Crash(l, time.Second)
		}
	})
	sim.Run(90 * time.Second)
	if _, cancelled := sim.finalStates(ids); cancelled != len(ids) {
		t.Errorf("cancelled jobs: got %d, want all %d", cancelled, len(ids))
	}
	for k, v := range sim.State.keys {
		if len(v.value) > 1536 {
			t.Errorf("size of key %s: got %d bytes, want at most 1536", k, len(v.value))
		}
	}
	if len(sim.Violations) > 0 {
		t.Errorf("violations: got %v, want none", sim.Violations)
	}
}

// Jobs depend on jobs of another team, which is at its quota. They must wait without using their own team's quota, and run once the
// dependencies are done. The zone of one dependency is cut off at about its end.
func TestDependenciesInTeamAtQuota(t *testing.T) {
	forEachSeed(t, 3, clusterAtQuota, func(sim scenario) {
		var ids []string
		for i := range 4 {
			dependency := jobArray(fmt.Sprintf("job-86%02d", i), "need", "red", 4, 5*time.Second)
			if i == 3 {
				dependency.Zone = "b"
			}
			sim.Users.SubmitJob(dependency, 5*time.Second)
			dependent := dependency
			dependent.ID, dependent.Team, dependent.Dependencies = fmt.Sprintf("job-87%02d", i), "blue", []string{dependency.ID}
			sim.At(2*time.Second, func() { sim.Users.SubmitJob(dependent, 3*time.Second) })
			ids = append(ids, dependent.ID)
		}
		sim.At(30*time.Second, func() { sim.CutZone("b", []int{sim.LeaderIndex()}, 12*time.Second) })
		sim.Run(4 * time.Minute)
		if done, _ := sim.finalStates(ids); done != len(ids) {
			sim.t.Errorf("jobs done: got %d, want all %d", done, len(ids))
		}
	})
}

package simulator

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/api"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/wire/codec"
)

// scenario is a simulated cluster that is ready for a test to inject faults.
type scenario struct {
	*Cluster
	t      *testing.T
	seed   uint64
	leader int // index of the leader when the test begins, -1 if there is none yet
}

// scenarioSetUp creates a scenario and simulates it until the test can begin.
type scenarioSetUp func(t *testing.T, seed uint64) scenario

// forEachSeed runs a test on scenarios of several seeds, one after the other. After each run it continues the simulation for five minutes
// and checks that no rule is broken and that all accepted jobs are finished.
func forEachSeed(t *testing.T, seeds uint64, setUp scenarioSetUp, run func(sim scenario)) {
	t.Helper()
	t.Parallel()
	for seed := range seeds {
		t.Run(seedName(seed), func(t *testing.T) {
			sim := setUp(t, seed)
			run(sim)
			expectAllFinished(t, sim.Cluster)
		})
	}
}

// seedName returns the name of the subtest for a seed.
func seedName(seed uint64) string { return fmt.Sprintf("seed %d", seed) }

// fataler is implemented by *testing.T and *rapid.T.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// expectNoViolations fails the test and ends it if a rule is broken.
func expectNoViolations(t fataler, sim *Cluster) {
	t.Helper()
	if len(sim.Violations) > 0 {
		t.Fatalf("violations: got %v, want none", sim.Violations)
	}
}

// expectAllFinished simulates five more minutes, then checks that no rule is broken and that all accepted jobs are finished.
func expectAllFinished(t *testing.T, sim *Cluster) {
	t.Helper()
	sim.Run(5 * time.Minute)
	expectNoViolations(t, sim)
	if n := sim.Users.UnfinishedCount(); n > 0 {
		t.Errorf("accepted jobs that are not finished: got %d, want 0", n)
	}
}

// testLogger returns a logger that drops all logs, or prints them if SIMULATOR_LOG is set.
func testLogger() *slog.Logger {
	if os.Getenv("SIMULATOR_LOG") != "" {
		return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	return slog.New(slog.NewTextHandler(io.Discard, nil))
}

// testOptions returns the options of a small cluster with two teams that loses 0.2 % of the messages.
func testOptions() Options {
	tuning := config.DefaultOptions()
	tuning.ScaleOutBacklog = 5 * time.Second
	// Finished jobs are archived immediately and segments are compacted early, so that every run includes both.
	tuning.ArchiveDelay, tuning.MinSegmentJobs, tuning.CompactionFanIn = 0, 2, 2
	return Options{
		Controllers: 3, HeartbeatInterval: time.Second, WorkerLease: 8 * time.Second, CancelTimeout: 20 * time.Second,
		LossShare: 0.002, LateShare: 0.5, Tuning: tuning,
		Teams: []config.Team{{Name: "red", GuaranteedCPUs: 8, CPULimit: 14}, {Name: "blue", GuaranteedCPUs: 4, CPULimit: 20}},
	}
}

// jobArray returns a job array whose tasks need one CPU and 1 GB and run on any machine.
func jobArray(jobID, class, team string, tasks int, runTime time.Duration) jobs.Spec {
	return jobs.Spec{
		ID: jobID, Class: class, Team: team, Tasks: tasks, CPUs: 1, MemoryGB: 1, Image: "i", AllowsSpot: true, RunTimeEstimate: runTime,
	}
}

// busyCluster returns a cluster that runs ten job arrays of eight tasks on about a dozen machines, with a worker lease of 8 s.
func busyCluster(t *testing.T, seed uint64) scenario {
	t.Helper()
	return busyClusterWith(t, seed, testOptions())
}

// busyClusterWithLongLease returns a busy cluster with a worker lease of 12 s.
func busyClusterWithLongLease(t *testing.T, seed uint64) scenario {
	t.Helper()
	return busyClusterWithTiming(t, seed, time.Second, 12*time.Second)
}

// busyClusterWithSlowHeartbeats returns a busy cluster with a heartbeat every 4 s and a worker lease of 20 s.
func busyClusterWithSlowHeartbeats(t *testing.T, seed uint64) scenario {
	t.Helper()
	return busyClusterWithTiming(t, seed, 4*time.Second, 20*time.Second)
}

func busyClusterWithTiming(t *testing.T, seed uint64, interval, lease time.Duration) scenario {
	t.Helper()
	options := testOptions()
	options.HeartbeatInterval, options.WorkerLease = interval, lease
	return busyClusterWith(t, seed, options)
}

func busyClusterWith(t *testing.T, seed uint64, options Options) scenario {
	t.Helper()
	options.LossShare, options.MachinesPerKind, options.Teams = 0, 12, nil
	sim := New(seed, options, testLogger())
	for i := range 10 {
		sim.Users.SubmitJob(jobArray(fmt.Sprintf("job-%d", i), "c", noTeam, 8, 60*time.Second), 60*time.Second)
	}
	sim.Run(40 * time.Second)
	return newScenario(t, sim, seed, 60)
}

// newScenario returns a scenario. It fails the test if the cluster has no leader or runs fewer than minRunning tasks.
func newScenario(t *testing.T, sim *Cluster, seed uint64, minRunning int) scenario {
	t.Helper()
	if n := sim.runningTasks(); n < minRunning {
		t.Fatalf("running tasks: got %d, want at least %d", n, minRunning)
	}
	leader := sim.LeaderIndex()
	if leader < 0 {
		t.Fatal("leader: got none, want one")
	}
	return scenario{sim, t, seed, leader}
}

// clusterAtQuota returns a cluster of two teams, one of which is at its quota with long tasks.
func clusterAtQuota(t *testing.T, seed uint64) scenario {
	t.Helper()
	options := testOptions()
	options.LossShare, options.NoTaskFailures = 0, true
	options.Teams = []config.Team{{Name: "red", GuaranteedCPUs: 8, CPULimit: 30}, {Name: "blue"}}
	sim := New(seed, options, testLogger())
	for i := range 6 {
		spec := jobArray(fmt.Sprintf("job-5%03d", i), "long", "red", 6, 60*time.Second)
		spec.SingleZone, spec.SpreadAcrossZones = i == 1, i == 2
		sim.Users.SubmitJob(spec, 60*time.Second)
	}
	sim.Users.SubmitJob(jobArray("job-59", "room", "blue", 30, 10*time.Second), 10*time.Second)
	sim.Run(30 * time.Second)
	return newScenario(t, sim, seed, 28)
}

// pipelineCluster returns a cluster that has a leader, but no machines and jobs yet. It loses no messages, and no task fails in it.
func pipelineCluster(t *testing.T, seed uint64) scenario {
	t.Helper()
	options := testOptions()
	options.LossShare, options.NoTaskFailures, options.Teams = 0, true, nil
	sim := New(seed, options, testLogger())
	sim.Run(8 * time.Second)
	return scenario{sim, t, seed, sim.LeaderIndex()}
}

// clusterWithoutTaskFailures returns a cluster that has just started, without machines and jobs, and in which no task fails.
func clusterWithoutTaskFailures(t *testing.T, seed uint64) scenario {
	t.Helper()
	options := testOptions()
	options.NoTaskFailures = true
	return scenario{New(seed, options, testLogger()), t, seed, -1}
}

// overloadedLossyCluster returns a small cluster that has just started and whose links lose 3 % of the messages.
func overloadedLossyCluster(t *testing.T, seed uint64) scenario {
	t.Helper()
	options := testOptions()
	options.LossShare, options.NoTaskFailures, options.MachinesPerKind = 0.03, true, 2
	return scenario{New(seed, options, testLogger()), t, seed, -1}
}

// isPlacing reports whether a controller places tasks.
func (sim *Cluster) isPlacing() bool {
	for i := range sim.controllers {
		if _, placing := sim.leadershipOf(i); placing {
			return true
		}
	}
	return false
}

// submitShortJobs submits jobs of class short for a team, one every second.
func (sim *Cluster) submitShortJobs(team, idPrefix string, count, tasks int) {
	for i := range count {
		sim.At(time.Duration(i)*time.Second, func() {
			spec := jobArray(fmt.Sprintf("job-%s%03d", idPrefix, i), "short", team, tasks, 2*time.Second)
			spec.SingleZone, spec.SpreadAcrossZones, spec.Priority = i%3 == 1, i%3 == 2, jobs.High
			sim.Users.SubmitJob(spec, 2*time.Second)
		})
	}
}

// servedOf counts the jobs of a class that were accepted and whose users did not request their cancellation.
func (sim *Cluster) servedOf(class string) Served {
	served := Served{}
	for _, jobID := range sim.Users.jobIDs {
		if job := sim.checker.jobs[jobID]; job.spec.Class == class && !job.acceptedAt.IsZero() && !job.cancelRequested {
			served = served.withJob(job)
		}
	}
	return served
}

// explain returns the leader's explanation of a job, or false if the leader does not respond within 20 ms.
func (sim *Cluster) explain(jobID string) (explanation api.Explanation, ok bool) {
	return sim.explainWithin(20*time.Millisecond, jobID)
}

// explainWithin is like explain with a given timeout.
func (sim *Cluster) explainWithin(timeout time.Duration, jobID string) (explanation api.Explanation, ok bool) {
	request := controllerRequest{controller: sim.State.leaderName(), method: http.MethodGet, path: "/work/" + jobID + "/explain"}
	sim.deliverRequest(request, func(status int, body any) {
		raw, err := encode(body)
		if err != nil || status != http.StatusOK {
			return
		}
		if err := codec.Unmarshal(raw, &explanation); err != nil {
			sim.reportViolation(RuleMalformed, "an explanation cannot be decoded: %v", err)
			return
		}
		ok = true
	})
	sim.Run(timeout)
	return explanation, ok
}

// waitForStart returns how long an accepted job waited for its first start, or has waited so far.
func (sim *Cluster) waitForStart(job *observedJob) time.Duration {
	if job.firstStartedAt.IsZero() {
		return sim.Now.Sub(job.acceptedAt)
	}
	return job.firstStartedAt.Sub(job.acceptedAt)
}

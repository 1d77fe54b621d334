package simulator

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/jobs"
)

// Flags of TestSoak. The test is skipped unless -soak-length is given, for example:
//
//	go test ./internal/simulator -run Soak -soak-length 12h -seeds 4 -timeout 1h -v
var (
	soakLength        = flag.Duration("soak-length", 0, "simulated time of each run of TestSoak; 0 skips the test")
	soakSeeds         = flag.Int("seeds", 2, "number of runs, each with its own seed")
	soakWithoutFaults = flag.Bool("without-faults", false, "inject no faults")
	soakAgedShare     = flag.Float64("aged-share", 0.1, "share of the cluster for aged jobs, 0 to 1")
	soakTasksPerDay   = flag.Int("tasks", 200_000, "number of tasks submitted per simulated day")
)

type soakClass struct {
	name, team string
	share      float64 // of all tasks
	cpus       float64
	meanTasks  int
	runTime    time.Duration // median run time of a task
	priority   jobs.Priority
	deadline   float64 // as a multiple of the estimated run time; 0: no deadline
}

// scheduleSoakJobs schedules the submissions of jobs of four classes. Urgent jobs come in waves, large jobs in the first half. Run times
// have a long tail, and estimates are wrong by as much as the bounds on the first start tolerate.
func scheduleSoakJobs(sim *Cluster, rng *rand.Rand, length time.Duration, tasks int) {
	classes := []soakClass{
		{"tender", "red", 0.5, 2, 24, 110 * time.Second, jobs.Critical, 6},
		{"intake", "blue", 0.3, 4, 16, 130 * time.Second, jobs.High, 8},
		{"archive", "blue", 0.12, 4, 40, 300 * time.Second, jobs.Normal, 0},
		{"ledger", "red", 0.08, 4, 20, 600 * time.Second, jobs.Low, 0},
	}
	n := 0
	for _, class := range classes {
		count := int(float64(tasks) * class.share / float64(class.meanTasks))
		for range count {
			at := rng.Float64()
			if class.deadline > 0 { // three waves of submissions
				for rng.Float64() > 0.15+0.85*math.Pow(math.Sin(3*math.Pi*at), 2) {
					at = rng.Float64()
				}
			} else {
				at *= 0.5 // submitted in the first half
			}
			runTime := time.Duration(float64(class.runTime) * math.Exp(rng.NormFloat64()*0.7))
			runTime = min(max(runTime, time.Second), 20*class.runTime)
			estimate := time.Duration(float64(runTime) / (0.7 + 1.2*rng.Float64()))
			spec := jobs.Spec{
				ID: fmt.Sprintf(
					"job-%07d",
					n,
				),
				Class:           class.name,
				Team:            class.team,
				Priority:        class.priority,
				Tasks:           1 + rng.IntN(2*class.meanTasks),
				CPUs:            class.cpus,
				MemoryGB:        1,
				Image:           class.name,
				ImageGB:         0.5,
				AllowsSpot:      true,
				RunTimeEstimate: estimate,
				Deadline:        time.Duration(class.deadline * float64(estimate)),
			}
			n++
			sim.At(time.Duration(at*float64(length)), func() { sim.Users.SubmitJob(spec, runTime) })
		}
	}
}

// A long run of mixed jobs: no job may start later than its bound on the first start, which is set at acceptance. A job that lost work
// with a machine, or that waited during a failover, gets a new bound. The test uses the last one.
func TestSoak(t *testing.T) {
	if *soakLength == 0 {
		t.Skip("-soak-length is not given")
	}
	for seed := range uint64(*soakSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runSoak(t, seed)
		})
	}
}

// runSoak runs TestSoak with one seed.
func runSoak(t *testing.T, seed uint64) {
	t.Helper()
	options := testOptions()
	options.StopPollingFinished, options.LossShare, options.MachinesPerKind = true, 0, 42
	options.HeartbeatInterval, options.WorkerLease = 8*time.Second, 40*time.Second
	options.Teams = []config.Team{
		{Name: "red", GuaranteedCPUs: 100, CPULimit: 1200},
		{Name: "blue", GuaranteedCPUs: 100, CPULimit: 1200},
	}
	options.Tuning = config.DefaultOptions()
	options.Tuning.AgedShare = *soakAgedShare
	sim := New(seed, options, testLogger())
	rng := rand.New(rand.NewPCG(seed, 99))
	scheduleSoakJobs(sim, rng, *soakLength, int(float64(*soakTasksPerDay)*soakLength.Hours()/24))
	if !*soakWithoutFaults {
		scheduleSoakFaults(sim, rng, *soakLength)
	}
	bounds, maxMachines := recordSoakBounds(sim, *soakLength+time.Hour)
	sim.Run(*soakLength + time.Hour)
	expectNoViolations(t, sim)
	boundShares := map[string][]float64{}
	longestWait := map[string]time.Duration{}
	exceededBound, waitedOverMinute := 0, 0
	for id, bound := range bounds {
		j := sim.checker.jobs[id]
		if j.acceptedAt.IsZero() || j.cancelRequested {
			continue
		}
		wait := sim.waitForStart(j)
		longestWait[j.spec.Class] = max(longestWait[j.spec.Class], wait)
		boundShares[j.spec.Class] = append(boundShares[j.spec.Class], wait.Seconds()/bound.Seconds())
		if wait > time.Minute {
			waitedOverMinute++
		}
		if wait > bound {
			exceededBound++
			t.Errorf("wait of %s (%s) for its first start: got %v, want at most its bound %v", id, j.spec.Class, wait, bound)
		}
	}
	t.Logf("%d jobs, %d starts, %d unfinished, at most %d machines; %d jobs with a bound, %d waited over a minute, %d exceeded the bound",
		sim.Users.AcceptedCount(), sim.checker.TaskStarts, sim.Users.UnfinishedCount(), *maxMachines,
		len(bounds), waitedOverMinute, exceededBound)
	for name, list := range boundShares {
		slices.Sort(list)
		t.Logf("%-8s %5d jobs, longest wait %v; wait as a share of the bound: at most %.3f, median %.4f", name, len(list),
			longestWait[name].Round(time.Second), list[len(list)-1], list[len(list)/2])
	}
}

// scheduleSoakFaults schedules a controller crash, a machine failure and an outage of the state service every 40 minutes.
func scheduleSoakFaults(sim *Cluster, rng *rand.Rand, length time.Duration) {
	for at := 20 * time.Minute; at < length; at += 40 * time.Minute {
		sim.At(at, func() { sim.Crash(rng.IntN(3), 5*time.Second) })
		sim.At(at+7*time.Minute, sim.Cloud.FailMachine)
		sim.At(at+12*time.Minute, func() { sim.State.Outage(10 * time.Second) })
	}
}

// recordSoakBounds records every minute the bounds on the first start of the last 600 jobs and the largest number of machines that were up.
func recordSoakBounds(sim *Cluster, length time.Duration) (bounds map[string]time.Duration, maxMachines *int) {
	bounds, maxMachines = map[string]time.Duration{}, new(int)
	for at := time.Minute; at < length; at += time.Minute {
		sim.At(at, func() {
			*maxMachines = max(*maxMachines, len(sim.Cloud.runningMachines()))
			for _, id := range sim.Users.jobIDs[max(len(sim.Users.jobIDs)-600, 0):] {
				if rec, ok := sim.State.record(id); ok && rec.FirstStartBoundSeconds > 0 {
					bounds[id] = time.Duration(rec.FirstStartBoundSeconds) * time.Second
				}
			}
		})
	}
	return bounds, maxMachines
}

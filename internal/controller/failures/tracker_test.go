package failures

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gullrudder/internal/testseed"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// attributionCase is a small set of observations: which job failed on which machine, and what completed.
type attributionCase struct {
	jobs, machines int
	failed         [][]bool // by job and machine
	hasCompleted   []bool   // by job: a task of it has completed
	completions    []int    // by machine: tasks completed after its last failure
}

// assignment is a bit set: first a bit for each job (crash-looping), then a bit for each machine (faulty).
type assignment int

func (a assignment) isSet(bit int) bool { return a>>bit&1 == 1 }

// exactPosterior computes the posterior of each job and machine by enumerating all assignments.
func (c *attributionCase) exactPosterior() (crashLooping, faulty []float64) {
	posterior := make([]float64, c.jobs+c.machines)
	total := 0.0
	for code := range 1 << len(posterior) {
		likelihood := c.likelihood(assignment(code))
		total += likelihood
		for bit := range posterior {
			if assignment(code).isSet(bit) {
				posterior[bit] += likelihood
			}
		}
	}
	for bit := range posterior {
		posterior[bit] /= total
	}
	return posterior[:c.jobs], posterior[c.jobs:]
}

// likelihood returns the joint probability of an assignment and the observations.
func (c *attributionCase) likelihood(assigned assignment) float64 {
	p := 1.0
	for j := range c.jobs {
		p *= c.jobLikelihood(assigned, j)
	}
	for m := range c.machines {
		completions := float64(min(c.completions[m], maxCompletions))
		if assigned.isSet(c.jobs + m) {
			p *= faultPrior * math.Pow(1-faultyMachineFailureRate, completions)
		} else {
			p *= (1 - faultPrior) * math.Pow(1-healthyFailureRate, completions)
		}
	}
	return p
}

func (c *attributionCase) jobLikelihood(assigned assignment, job int) float64 {
	if assigned.isSet(job) {
		if c.hasCompleted[job] {
			return 0
		}
		return crashLoopPrior
	}
	p := 1 - crashLoopPrior
	for m, failed := range c.failed[job] {
		switch {
		case !failed:
		case assigned.isSet(c.jobs + m):
			p *= faultyMachineFailureRate
		default:
			p *= healthyFailureRate
		}
	}
	return p
}

func jobName(j int) string     { return fmt.Sprint("job-", j) }
func machineName(m int) string { return fmt.Sprint("vm-", m) }

// drawCase draws a case and records it in the tracker.
func drawCase(t *rapid.T, tracker *Tracker) *attributionCase {
	c := &attributionCase{jobs: rapid.IntRange(1, 4).Draw(t, "jobs"), machines: rapid.IntRange(1, 5).Draw(t, "machines")}
	crashLoops := rapid.SliceOfN(rapid.Bool(), c.jobs, c.jobs).Draw(t, "crash loops")
	health := rapid.SliceOfN(rapid.IntRange(0, 3), c.machines, c.machines).Draw(t, "health") // 0: faulty
	c.failed, c.hasCompleted, c.completions = make([][]bool, c.jobs), make([]bool, c.jobs), make([]int, c.machines)
	for j := range c.jobs {
		c.failed[j] = make([]bool, c.machines)
		c.hasCompleted[j] = !crashLoops[j] && rapid.Bool().Draw(t, "has completed")
	}
	for j := range c.jobs {
		for m := range c.machines {
			if fails := crashLoops[j] || health[m] == 0; fails && rapid.IntRange(0, 3).Draw(t, "tried") > 0 {
				c.recordFailure(tracker, j, m)
			}
		}
	}
	for m := range c.machines {
		if health[m] > 0 {
			c.recordCompletions(tracker, m, rapid.IntRange(0, 5).Draw(t, "completions"))
		}
	}
	return c
}

func (c *attributionCase) recordFailure(tracker *Tracker, j, m int) {
	c.failed[j][m] = true
	completed := 0
	if c.hasCompleted[j] {
		completed = 1
	}
	tracker.RecordFailure(time.Unix(1000, 0), jobName(j), machineName(m), completed)
}

func (c *attributionCase) recordCompletions(tracker *Tracker, m, completions int) {
	for range completions {
		tracker.RecordCompletion("another", machineName(m))
	}
	if tracker.machines[machineName(m)] != nil { // else nothing has failed on the machine, and the tracker does not know it
		c.completions[m] = completions
	}
}

// recomputeVerdicts decides about every job with all recorded evidence. The tracker itself keeps a verdict until a task of the
// job completes, even if later evidence no longer supports it.
func recomputeVerdicts(tracker *Tracker) {
	for _, j := range tracker.jobs {
		j.isCrashLooping = false
	}
	found := map[*job]bool{}
	for jobID, j := range tracker.jobs {
		found[j] = !j.hasCompleted && len(j.failedOn) >= minFailures &&
			tracker.crashLoopProbability(jobID, "", maxDepth) > crashLoopThreshold
	}
	for j, isCrashLooping := range found {
		j.isCrashLooping = isCrashLooping
	}
}

// verdicts returns the sorted IDs of the crash-looping jobs and of the faulty machines.
func (t *Tracker) verdicts() (crashLooping, faulty []string) {
	for jobID, j := range t.jobs {
		if j.isCrashLooping {
			crashLooping = append(crashLooping, jobID)
		}
	}
	for machineID := range t.machines {
		if t.IsFaulty(machineID) {
			faulty = append(faulty, machineID)
		}
	}
	slices.SortFunc(crashLooping, cmp.Compare[string])
	slices.SortFunc(faulty, cmp.Compare[string])
	return crashLooping, faulty
}

// verdictCounts counts jobs over all cases: those with a verdict, those that are certain to be crash-looping (posterior above
// 0.999), and those of the certain ones that have no verdict.
type verdictCounts struct{ crashLooping, certain, missed int }

// compare checks the tracker's verdicts against the exact posterior of the case.
func (n *verdictCounts) compare(t *rapid.T, tracker *Tracker, attribution *attributionCase) {
	crashLooping, faulty := attribution.exactPosterior()
	for j, p := range crashLooping {
		got := tracker.IsCrashLooping(jobName(j))
		if got {
			n.crashLooping++
		}
		if got && p < 0.8 {
			t.Errorf("job %d: crash-looping at probability %.3f, want at least 0.8", j, p)
		}
		if p > 0.999 {
			n.certain++
			if !got && len(tracker.jobs[jobName(j)].failedOn) >= minFailures {
				n.missed++
			}
		}
	}
	for m, p := range faulty {
		if tracker.IsFaulty(machineName(m)) && p < 0.5 {
			t.Errorf("machine %d: faulty at probability %.3f, want at least 0.5", m, p)
		}
	}
}

// TestVerdictsMatchExactPosterior checks on small cases that the exact posterior supports every verdict, and that nearly
// certain crash loops are found.
func TestVerdictsMatchExactPosterior(t *testing.T) {
	var counts verdictCounts
	rapid.Check(t, func(t *rapid.T) {
		tracker := New()
		attribution := drawCase(t, tracker)
		recomputeVerdicts(tracker)
		counts.compare(t, tracker, attribution)
	})
	if counts.crashLooping < 20 || counts.certain == 0 || counts.missed*20 > counts.certain {
		t.Errorf(
			"verdicts: got %d crash-looping, %d certain, %d of these missed, want at least 20, 1, at most a twentieth",
			counts.crashLooping, counts.certain, counts.missed,
		)
	}
}

// TestCrashLoopingJobsAndFaultyMachinesTogether checks a cluster where all tasks fail on two of ten machines, and two of ten
// jobs fail on every machine. Exactly these are found. Each job is tried on machines on which it has not failed.
func TestCrashLoopingJobsAndFaultyMachinesTogether(t *testing.T) {
	tracker, now := New(), time.Unix(1000, 0)
	done := map[int]int{}
	for round := range 40 {
		for j := range 10 {
			m := (j*3 + round) % 10
			jobID, machineID := fmt.Sprint("job-", j), fmt.Sprint("vm-", m)
			if tracker.IsFaulty(machineID) || tracker.IsCrashLooping(jobID) {
				continue
			}
			if j < 2 || m < 2 {
				tracker.RecordFailure(now, jobID, machineID, done[j])
			} else {
				done[j]++
				tracker.RecordCompletion(jobID, machineID)
			}
			now = now.Add(100 * time.Millisecond)
		}
	}
	crashLooping, faulty := tracker.verdicts()
	if fmt.Sprint(crashLooping) != "[job-0 job-1]" || fmt.Sprint(faulty) != "[vm-0 vm-1]" {
		t.Errorf("crash-looping: got %v, faulty %v, want [job-0 job-1], [vm-0 vm-1]", crashLooping, faulty)
	}
}

// TestCrashLoopingJobsDoNotMakeMachineFaulty checks that machines on which two crash-looping jobs fail do not count as
// faulty.
func TestCrashLoopingJobsDoNotMakeMachineFaulty(t *testing.T) {
	tracker, now := New(), time.Unix(1000, 0)
	for i := range 6 {
		tracker.RecordFailure(now, "job-1", fmt.Sprint("vm-", i), 0)
		tracker.RecordFailure(now, "job-2", fmt.Sprint("vm-", i), 0)
	}
	if crashLooping, faulty := tracker.verdicts(); len(crashLooping) != 2 || len(faulty) != 0 {
		t.Errorf("crash-looping: got %v, faulty %v, want two, none", crashLooping, faulty)
	}
	tracker.RecordCompletion("job-1", "vm-9")
	if tracker.IsCrashLooping("job-1") {
		t.Error("job that has completed a task: got crash-looping, want not")
	}
}

// TestFaultyMachineWithOnlyCrashLoopingJob checks that a faulty machine is not found while only a crash-looping job
// fails on it, and is found once other jobs do.
func TestFaultyMachineWithOnlyCrashLoopingJob(t *testing.T) {
	tracker, now := New(), time.Unix(1000, 0)
	for i := range 4 {
		tracker.RecordFailure(now, "job-1", fmt.Sprint("vm-", i), 0)
	}
	tracker.RecordFailure(now, "job-1", "sick", 0)
	if tracker.IsFaulty("sick") {
		t.Error("machine with failures of one job only: got faulty, want not")
	}
	tracker.RecordFailure(now, "job-2", "sick", 5)
	tracker.RecordFailure(now, "job-3", "sick", 7)
	if !tracker.IsFaulty("sick") || tracker.IsFaulty("vm-0") {
		t.Errorf("faulty: got %v for machine sick, %v for vm-0, want true, false", tracker.IsFaulty("sick"), tracker.IsFaulty("vm-0"))
	}
}

// TestRetriesShareBudget checks that retries continue and that the shared budget bounds them, however many jobs are
// crash-looping.
func TestRetriesShareBudget(t *testing.T) {
	tracker, now := New(), time.Unix(1000, 0)
	const jobs = 200
	next := map[string]time.Time{}
	for i := range jobs {
		jobID := fmt.Sprint("job-", i)
		tracker.RestoreCrashLooping(now, jobID)
		next[jobID] = now
	}
	tried, end := 0, now.Add(2*time.Minute)
	for ; now.Before(end); now = now.Add(100 * time.Millisecond) {
		for jobID, at := range next {
			if !at.After(now) {
				tried++
				next[jobID] = tracker.ScheduleRetry(now, jobID)
			}
		}
	}
	// Each job is tried once at first. From then on the budget bounds the retries.
	if most := jobs + maxStoredRetries + int(2*time.Minute/retryRefillInterval); tried > most || tried < jobs+60 {
		t.Errorf("retries of %d jobs in two minutes: got %d, want %d to %d", jobs, tried, jobs+60, most)
	}
}

// TestTrackerIsBounded checks that the tracker keeps recent failures only, and a bounded number of neighbours.
func TestTrackerIsBounded(t *testing.T) {
	tracker, now := New(), time.Unix(1000, 0)
	for i := range 5000 {
		tracker.RecordFailure(now, fmt.Sprint("job-", i%7), fmt.Sprint("vm-", i), 0)
		tracker.RecordFailure(now, fmt.Sprint("job-x", i), "vm-0", 1)
		now = now.Add(time.Second)
	}
	if n := len(tracker.jobs) + len(tracker.machines); n > 2000 || len(tracker.machines["vm-0"].failedJobs) > maxStoredNeighbours {
		t.Errorf(
			"got %d jobs and machines kept, %d neighbours of vm-0, want at most 2000, %d",
			n, len(tracker.machines["vm-0"].failedJobs), maxStoredNeighbours,
		)
	}
	tracker.ForgetJob("job-1")
	tracker.ForgetMachine("vm-0")
	if tracker.FailedMachineCount("job-1") != 0 || tracker.IsFaulty("vm-0") {
		t.Errorf(
			"dropped entries: got %d failed machines of job-1, vm-0 faulty %v, want 0, false",
			tracker.FailedMachineCount("job-1"), tracker.IsFaulty("vm-0"),
		)
	}
}

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

// attributionCase is a small case: which job was tried on which machine, and what came of it.
type attributionCase struct {
	jobs, machines int
	failed         [][]bool // by job and machine
	hasCompleted   []bool   // a task of the job has completed
	completions    []int    // by machine, after its last failure
}

// exactPosterior is the posterior by trying every assignment of mistakes and faults.
func (w *attributionCase) exactPosterior() (crashLooping, faulty []float64) {
	crashLooping, faulty = make([]float64, w.jobs), make([]float64, w.machines)
	total := 0.0
	for code := range 1 << (w.jobs + w.machines) {
		p := 1.0
		isSet := func(i int) bool { return code>>i&1 == 1 }
		for j := range w.jobs {
			switch {
			case isSet(j) && w.hasCompleted[j]:
				p = 0
			case isSet(j):
				p *= crashLoopPrior
			default:
				p *= 1 - crashLoopPrior
			}
			for m := range w.machines {
				if !w.failed[j][m] || isSet(j) {
					continue
				}
				if isSet(w.jobs + m) {
					p *= faultyMachineFailureRate
				} else {
					p *= healthyFailureRate
				}
			}
		}
		for m := range w.machines {
			k := float64(min(w.completions[m], maxCompletions))
			if isSet(w.jobs + m) {
				p *= faultPrior * math.Pow(1-faultyMachineFailureRate, k)
			} else {
				p *= (1 - faultPrior) * math.Pow(1-healthyFailureRate, k)
			}
		}
		total += p
		for j := range w.jobs {
			if isSet(j) {
				crashLooping[j] += p
			}
		}
		for m := range w.machines {
			if isSet(w.jobs + m) {
				faulty[m] += p
			}
		}
	}
	for j := range crashLooping {
		crashLooping[j] /= total
	}
	for m := range faulty {
		faulty[m] /= total
	}
	return crashLooping, faulty
}

// verdicts lists the jobs that are taken for mistaken and the machines that are taken for faulty, by name.
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

// On small cases every verdict is one that the exact posterior supports, and what is nearly certain
// is found.
func TestVerdictsMatchExactPosterior(t *testing.T) {
	verdicts, missed, certain := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		attribution := &attributionCase{jobs: rapid.IntRange(1, 4).Draw(t, "jobs"), machines: rapid.IntRange(1, 5).Draw(t, "machines")}
		crashLoops := rapid.SliceOfN(rapid.Bool(), attribution.jobs, attribution.jobs).Draw(t, "mistaken")
		health := rapid.SliceOfN(rapid.IntRange(0, 3), attribution.machines, attribution.machines).Draw(t, "sick")
		tracker, now := NewTracker(), time.Unix(1000, 0)
		attribution.failed, attribution.hasCompleted, attribution.completions = make(
			[][]bool,
			attribution.jobs,
		), make(
			[]bool,
			attribution.jobs,
		), make(
			[]int,
			attribution.machines,
		)
		for j := range attribution.jobs {
			attribution.failed[j] = make([]bool, attribution.machines)
			attribution.hasCompleted[j] = !crashLoops[j] && rapid.Bool().Draw(t, "has completed")
		}
		for j := range attribution.jobs {
			for m := range attribution.machines {
				if fails := crashLoops[j] || health[m] == 0; fails && rapid.IntRange(0, 3).Draw(t, "tried") > 0 {
					attribution.failed[j][m] = true
					done := 0
					if attribution.hasCompleted[j] {
						done = 1
					}
					tracker.RecordFailure(now, fmt.Sprint("job-", j), fmt.Sprint("vm-", m), done)
				}
			}
		}
		for m := range attribution.machines {
			if health[m] > 0 {
				attribution.completions[m] = rapid.IntRange(0, 5).Draw(t, "completions")
				for range attribution.completions[m] {
					tracker.RecordCompletion("another", fmt.Sprint("vm-", m))
				}
				if tracker.machines[fmt.Sprint("vm-", m)] == nil {
					attribution.completions[m] = 0 // nothing has failed there: nothing is remembered
				}
			}
		}
		// All verdicts anew, by all that is known in the end: one that was found on the way stays until a
		// task completes, and may have been right by what was known then.
		for _, x := range tracker.jobs {
			x.isCrashLooping = false
		}
		found := map[*job]bool{}
		for id, x := range tracker.jobs {
			found[x] = !x.hasCompleted && len(x.failedOn) >= minFailures && tracker.crashLoopProbability(id, "", maxDepth) > crashLoopThreshold
		}
		for x, isCrashLooping := range found {
			x.isCrashLooping = isCrashLooping
		}
		crashLooping, faulty := attribution.exactPosterior()
		for j, p := range crashLooping {
			got := tracker.IsCrashLooping(fmt.Sprint("job-", j))
			if got {
				verdicts++
			}
			if got && p < 0.8 {
				t.Errorf("job %d is called mistaken, which is %.3f likely", j, p)
			}
			if p > 0.999 {
				certain++
				if !got && len(tracker.jobs[fmt.Sprint("job-", j)].failedOn) >= minFailures {
					missed++
				}
			}
		}
		for m, p := range faulty {
			if tracker.IsFaulty(fmt.Sprint("vm-", m)) && p < 0.5 {
				t.Errorf("machine %d is called faulty, which is %.3f likely", m, p)
			}
		}
	})
	if verdicts < 20 || certain == 0 || missed*20 > certain {
		t.Errorf("%d verdicts; of %d certain mistakes %d are not found", verdicts, certain, missed)
	}
}

// Ten machines, of which two fail everything, and two mistaken jobs among ten, at the same time: each is
// found, and nothing else. Each job is tried on machines that it has not failed on.
func TestCrashLoopingJobsAndFaultyMachinesTogether(t *testing.T) {
	tracker, now := NewTracker(), time.Unix(1000, 0)
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
		t.Errorf("mistaken %v, faulty %v", crashLooping, faulty)
	}
}

// What the recorded day had: two mistaken jobs fail on the same machine, which is well.
func TestCrashLoopingJobsDoNotMakeMachineFaulty(t *testing.T) {
	tracker, now := NewTracker(), time.Unix(1000, 0)
	for i := range 6 {
		tracker.RecordFailure(now, "job-1", fmt.Sprint("vm-", i), 0)
		tracker.RecordFailure(now, "job-2", fmt.Sprint("vm-", i), 0)
	}
	if crashLooping, faulty := tracker.verdicts(); len(crashLooping) != 2 || len(faulty) != 0 {
		t.Errorf("mistaken %v, faulty %v", crashLooping, faulty)
	}
	tracker.RecordCompletion("job-1", "vm-9")
	if tracker.IsCrashLooping("job-1") {
		t.Error("a job that has completed a task is still called mistaken")
	}
}

// A faulty machine that gets only the mistaken job is not found by it, and need not be.
func TestFaultyMachineWithOnlyCrashLoopingJob(t *testing.T) {
	tracker, now := NewTracker(), time.Unix(1000, 0)
	for i := range 4 {
		tracker.RecordFailure(now, "job-1", fmt.Sprint("vm-", i), 0)
	}
	tracker.RecordFailure(now, "job-1", "sick", 0)
	if tracker.IsFaulty("sick") {
		t.Error("called faulty by one job")
	}
	tracker.RecordFailure(now, "job-2", "sick", 5)
	tracker.RecordFailure(now, "job-3", "sick", 7)
	if !tracker.IsFaulty("sick") || tracker.IsFaulty("vm-0") {
		t.Error("not found once others fail there")
	}
}

// Retries come later each time and share a budget, whatever the number of mistaken jobs.
func TestRetriesShareBudget(t *testing.T) {
	tracker, now := NewTracker(), time.Unix(1000, 0)
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
	// All are tried once as they are found; then the budget counts.
	if most := jobs + maxStoredRetries + int(2*time.Minute/retryRefillInterval); tried > most || tried < jobs+60 {
		t.Errorf("%d tries of %d jobs in two minutes, at most %d", tried, jobs, most)
	}
}

// The book holds what has failed of late, and costs the same however much that is.
func TestTrackerIsBounded(t *testing.T) {
	tracker, now := NewTracker(), time.Unix(1000, 0)
	for i := range 5000 {
		tracker.RecordFailure(now, fmt.Sprint("job-", i%7), fmt.Sprint("vm-", i), 0)
		tracker.RecordFailure(now, fmt.Sprint("job-x", i), "vm-0", 1)
		now = now.Add(time.Second)
	}
	if n := len(tracker.jobs) + len(tracker.machines); n > 2000 || len(tracker.machines["vm-0"].failedJobs) > 4*maxNeighbours {
		t.Errorf("%d jobs and machines are remembered", n)
	}
	tracker.ForgetJob("job-1")
	tracker.ForgetMachine("vm-0")
	if tracker.FailedMachineCount("job-1") != 0 || tracker.IsFaulty("vm-0") {
		t.Error("what is over is remembered")
	}
}

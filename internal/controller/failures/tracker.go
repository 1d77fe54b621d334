// Package failures attributes task failures. It distinguishes crash-looping jobs, which fail on every machine, from faulty machines, on
// which most jobs fail. A Tracker owns the failures of jobs on machines and the retry budget of the crash-looping jobs. It is created
// at each election and kept in memory. The verdict on a job is stored in the job's record, and the next leader restores it. The
// heartbeat handler acts on the verdicts; this package does not start or stop tasks. Design note, with the model and its limits:
// docs/design/failure-attribution.md.
package failures

import (
	"maps"
	"math"
	"slices"
	"time"
)

// The probabilistic model. The tests compute the exact posterior of small cases with the same parameters.
const (
	// crashLoopPrior is the share of all jobs that fail on every machine.
	crashLoopPrior = 0.02
	// faultPrior is the share of all machines that are faulty.
	faultPrior = 0.005
	// faultyMachineFailureRate is the probability that a job's tasks fail on a faulty machine.
	faultyMachineFailureRate = 0.7
	// healthyFailureRate is the probability that a job's tasks fail on a machine although neither is at fault.
	healthyFailureRate = 0.003
	// maxCompletions bounds the number of completed tasks that count in favor of a machine. Otherwise a machine with a long history
	// that becomes faulty would not be detected.
	maxCompletions = 3
	// crashLoopThreshold is the probability above which a job counts as crash-looping. The verdict limits the job to one task at a
	// time. One completed task revokes it.
	crashLoopThreshold = 0.95
	// faultThreshold is the probability above which a machine counts as faulty. A faulty machine is drained and terminated.
	faultThreshold = 0.8
	// crashLoopCertainty is the probability with which a job that has the verdict is assumed to be crash-looping.
	crashLoopCertainty = 0.995
	// minFailures is the minimum number of different machines with failures of a job, or of jobs with failures on a machine, for a
	// verdict.
	minFailures = 2
)

// Bounds of the evidence. They keep the cost of a computation independent of the number of failures.
const (
	// maxDepth is the number of steps from job to machine to job over which evidence is followed.
	maxDepth = 3
	// maxNeighbours is the number of neighbours that count at each step. The newest are used.
	maxNeighbours = 8
	// maxStoredNeighbours is the number of neighbours that are kept, so that enough are left if some are excluded or forgotten.
	maxStoredNeighbours = 4 * maxNeighbours
	// retention is how long a job or a machine is kept after its last failure.
	retention = 10 * time.Minute
	// pruneInterval is the time between two removals of jobs and machines past their retention.
	pruneInterval = retention / 10
)

// Retries of crash-looping jobs. A retry uses capacity that other jobs could use, so all crash-looping jobs share one budget.
const (
	// firstRetryDelay is the delay before the first retry. The delay doubles with each retry.
	firstRetryDelay = 2 * time.Second
	// maxRetryDelay is the delay after maxDoublings retries.
	maxRetryDelay = time.Minute
	maxDoublings  = 5
	// retryRefillInterval is the time after which the budget grows by one retry.
	retryRefillInterval = 500 * time.Millisecond
	// maxStoredRetries is the maximum budget.
	maxStoredRetries = 6
)

// job is the evidence about a job with a failed task.
type job struct {
	failedOn       []string // IDs of the machines on which it failed, the newest last
	hasCompleted   bool     // a task has completed, so the job is not crash-looping
	lastFailureAt  time.Time
	retries        int // since the verdict
	isCrashLooping bool
}

// machine is the evidence about a machine with a failed task.
type machine struct {
	failedJobs    []string // IDs of the jobs that failed on it, the newest last
	completions   int      // tasks completed since the last failure, maxCompletions at most
	lastFailureAt time.Time
}

// Tracker keeps the failures of jobs on machines, and the verdicts on jobs. It is not safe for concurrent use.
type Tracker struct {
	jobs        map[string]*job     // by job ID
	machines    map[string]*machine // by machine ID
	retryBudget float64             // retries; negative if retries are scheduled ahead of the refill
	refilledAt  time.Time
	prunedAt    time.Time
}

// New returns the Tracker of a new leadership, without any failures.
func New() *Tracker {
	return &Tracker{jobs: map[string]*job{}, machines: map[string]*machine{}, retryBudget: maxStoredRetries}
}

// appendNewest moves name to the end of names, or appends it, and drops the oldest beyond maxStoredNeighbours.
func appendNewest(names []string, name string) []string {
	if i := slices.Index(names, name); i >= 0 {
		names = slices.Delete(names, i, i+1)
	}
	names = append(names, name)
	return names[max(len(names)-maxStoredNeighbours, 0):]
}

// RecordFailure records that a task of the job failed on the machine, and decides whether the job is crash-looping. completed is the
// number of tasks of the job that have completed so far.
func (t *Tracker) RecordFailure(now time.Time, jobID, machineID string, completed int) {
	t.prune(now)
	j, m := t.getOrAddJob(jobID), t.getOrAddMachine(machineID)
	if completed > 0 {
		j.hasCompleted, j.isCrashLooping = true, false
	}
	j.failedOn, j.lastFailureAt = appendNewest(j.failedOn, machineID), now
	m.failedJobs, m.lastFailureAt, m.completions = appendNewest(m.failedJobs, jobID), now, 0
	if !j.hasCompleted && len(j.failedOn) >= minFailures && t.crashLoopProbability(jobID, "", maxDepth) > crashLoopThreshold {
		j.isCrashLooping = true
	}
}

func (t *Tracker) getOrAddJob(jobID string) *job {
	j := t.jobs[jobID]
	if j == nil {
		j = &job{}
		t.jobs[jobID] = j
	}
	return j
}

func (t *Tracker) getOrAddMachine(machineID string) *machine {
	m := t.machines[machineID]
	if m == nil {
		m = &machine{}
		t.machines[machineID] = m
	}
	return m
}

// RecordCompletion records that a task of the job completed on the machine. It proves that the job is not crash-looping and counts in
// favor of the machine.
func (t *Tracker) RecordCompletion(jobID, machineID string) {
	if j := t.jobs[jobID]; j != nil {
		j.hasCompleted, j.isCrashLooping = true, false
	}
	if m := t.machines[machineID]; m != nil {
		m.completions = min(m.completions+1, maxCompletions)
	}
}

// RestoreCrashLooping restores the verdict of an earlier leader on a job.
func (t *Tracker) RestoreCrashLooping(now time.Time, jobID string) {
	t.jobs[jobID] = &job{isCrashLooping: true, lastFailureAt: now}
}

// IsCrashLooping reports whether the verdict on the job is that it is crash-looping.
func (t *Tracker) IsCrashLooping(jobID string) bool {
	return t.jobs[jobID] != nil && t.jobs[jobID].isCrashLooping
}

// FailedMachineCount returns the number of machines on which the job has failed, at most maxStoredNeighbours.
func (t *Tracker) FailedMachineCount(jobID string) int {
	if j := t.jobs[jobID]; j != nil {
		return len(j.failedOn)
	}
	return 0
}

// IsFaulty reports whether the verdict on the machine is that it is faulty. This requires failures of different jobs that complete
// tasks elsewhere, or that have no other evidence against them.
func (t *Tracker) IsFaulty(machineID string) bool {
	m := t.machines[machineID]
	return m != nil && len(m.failedJobs) >= minFailures && t.faultProbability(machineID, "", maxDepth) > faultThreshold
}

// ForgetMachine drops the evidence about a deleted machine.
func (t *Tracker) ForgetMachine(machineID string) { delete(t.machines, machineID) }

// ScheduleRetry returns when a crash-looping job may be retried, and counts the retry. The delay doubles with each retry of the job. It
// is extended if the shared budget is exhausted.
func (t *Tracker) ScheduleRetry(now time.Time, jobID string) time.Time {
	j := t.jobs[jobID]
	if j == nil {
		return now
	}
	delay := maxRetryDelay
	if j.retries < maxDoublings {
		delay = firstRetryDelay << j.retries
	}
	j.retries++
	return now.Add(max(delay, t.reserveRetry(now)))
}

// reserveRetry takes one retry from the shared budget. It returns the delay until the budget covers this retry and all that were
// reserved before it.
func (t *Tracker) reserveRetry(now time.Time) time.Duration {
	t.retryBudget = min(t.retryBudget+now.Sub(t.refilledAt).Seconds()/retryRefillInterval.Seconds(), maxStoredRetries)
	t.refilledAt = now
	t.retryBudget--
	return time.Duration(max(-t.retryBudget, 0) * float64(retryRefillInterval))
}

// logit returns the log odds of a probability.
func logit(p float64) float64 { return math.Log(p / (1 - p)) }

// logistic returns the probability of log odds.
func logistic(logOdds float64) float64 { return 1 / (1 + math.Exp(-logOdds)) }

// newestExcept returns the newest maxNeighbours names other than the excluded one, the newest first.
func newestExcept(names []string, excluded string) []string {
	kept := make([]string, 0, maxNeighbours)
	for i := len(names) - 1; i >= 0 && len(kept) < maxNeighbours; i-- {
		if names[i] != excluded {
			kept = append(kept, names[i])
		}
	}
	return kept
}

// crashLoopProbability returns the probability that the job is crash-looping, given its failures on machines other than the excluded
// one. A failure has less weight if failures of other jobs show that its machine is probably faulty.
func (t *Tracker) crashLoopProbability(jobID, excludedMachine string, depth int) float64 {
	j := t.jobs[jobID]
	if j == nil {
		return crashLoopPrior
	}
	switch {
	case j.hasCompleted:
		return 0
	case j.isCrashLooping:
		return crashLoopCertainty // the evidence may have been an earlier leader's, or was pruned
	}
	logOdds := logit(crashLoopPrior)
	for _, machineID := range newestExcept(j.failedOn, excludedMachine) {
		faultProbability := faultPrior
		if depth > 0 {
			faultProbability = t.faultProbability(machineID, jobID, depth-1)
		}
		logOdds -= math.Log(faultProbability*faultyMachineFailureRate + (1-faultProbability)*healthyFailureRate)
	}
	return logistic(logOdds)
}

// faultProbability returns the probability that the machine is faulty, given the failures on it of jobs other than the excluded one.
func (t *Tracker) faultProbability(machineID, excludedJob string, depth int) float64 {
	m := t.machines[machineID]
	if m == nil {
		return faultPrior
	}
	logOdds := logit(faultPrior) + float64(m.completions)*math.Log((1-faultyMachineFailureRate)/(1-healthyFailureRate))
	for _, jobID := range newestExcept(m.failedJobs, excludedJob) {
		crashLoopProbability := crashLoopPrior
		if j := t.jobs[jobID]; j != nil && j.hasCompleted {
			crashLoopProbability = 0
		} else if depth > 0 {
			crashLoopProbability = t.crashLoopProbability(jobID, machineID, depth-1)
		}
		ifFaulty := crashLoopProbability + (1-crashLoopProbability)*faultyMachineFailureRate
		ifHealthy := crashLoopProbability + (1-crashLoopProbability)*healthyFailureRate
		logOdds += math.Log(ifFaulty / ifHealthy)
	}
	return logistic(logOdds)
}

// prune drops jobs and machines that had no failure within the retention. It runs at most once in pruneInterval.
func (t *Tracker) prune(now time.Time) {
	if now.Sub(t.prunedAt) < pruneInterval {
		return
	}
	t.prunedAt = now
	maps.DeleteFunc(t.jobs, func(_ string, j *job) bool { return now.Sub(j.lastFailureAt) > retention })
	maps.DeleteFunc(t.machines, func(_ string, m *machine) bool { return now.Sub(m.lastFailureAt) > retention })
}

// ForgetJob drops the evidence about a job that has ended.
func (t *Tracker) ForgetJob(jobID string) { delete(t.jobs, jobID) }

// Package failures tells a job that was submitted with a mistake, and fails wherever it is tried, from a
// machine on which whatever is tried fails. Its Book owns which jobs have failed on which machines, and
// when a job that is taken for mistaken is tried again. It stops and starts nothing: the clerk asks it
// for each failure.
//
// Before, a machine on which two jobs had failed was given back, and on a day with mistaken jobs that
// was five machines that were well, while a job of 667 tasks failed all of them twice.
package failures

import (
	"maps"
	"math"
	"slices"
	"time"
)

// What is taken to hold before anything has failed, and how much a failure says. The exact posterior of
// small cases, which the tests compute, uses the same.
const (
	crashLoopPrior           = 0.02  // of all jobs, those that fail everywhere
	faultPrior               = 0.005 // of all machines, those that are faulty
	faultyMachineFailureRate = 0.7   // how likely a job's tasks fail on a faulty machine
	healthyFailureRate       = 0.003 // how likely they fail though both are well
	// maxCompletions is how many completions speak for a machine at most: one that has turned faulty is not
	// protected by a long life.
	maxCompletions = 3
	// crashLoopThreshold and sureOfMachine are how certain a verdict has to be. A job's costs it all but one of its
	// tasks at a time, and one completed task ends it; a machine's costs the machine.
	crashLoopThreshold = 0.95
	faultThreshold     = 0.8
	// crashLoopCertainty is how likely a job is mistaken that was found to be.
	crashLoopCertainty = 0.995
	// minFailures machines on which a job has failed for a verdict.
	minFailures = 2
	// maxDepth is how far evidence is followed from job to machine to job, wide how many neighbours count,
	// the newest: a failure must not cost more the more of them there are.
	maxDepth, maxNeighbours = 3, 8
	// retention is after how long without a failure a job or a machine is forgotten.
	retention = 10 * time.Minute
)

// Retries of jobs that are taken for mistaken.
const (
	firstRetryDelay = 2 * time.Second
	maxRetryDelay   = time.Minute
	// A retry takes a place that another job could have: all of them share a budget that refills.
	retryRefillInterval = 500 * time.Millisecond // for one retry
	maxStoredRetries    = 6                      // retries at most
)

type job struct {
	failedOn       []string // on which it has failed, the newest last
	hasCompleted   bool     // a task of it has completed: it is not mistaken
	lastFailureAt  time.Time
	retries        int // since it is taken for mistaken
	isCrashLooping bool
}

type machine struct {
	failedJobs    []string // that have failed on it, the newest last
	completions   int      // completions since the last of these
	lastFailureAt time.Time
}

// Tracker keeps what has failed where.
type Tracker struct {
	jobs        map[string]*job
	machines    map[string]*machine
	retryBudget float64
	refilledAt  time.Time
	prunedAt    time.Time
}

// NewTracker makes the book of a new leadership.
func NewTracker() *Tracker {
	return &Tracker{jobs: map[string]*job{}, machines: map[string]*machine{}, retryBudget: maxStoredRetries}
}

func appendNewest(names []string, name string) []string {
	if i := slices.Index(names, name); i >= 0 {
		names = slices.Delete(names, i, i+1)
	}
	names = append(names, name)
	return names[max(len(names)-4*maxNeighbours, 0):]
}

// RecordFailure takes in that a task of the job has failed on the machine. done is how many tasks of the job have
// completed so far.
func (t *Tracker) RecordFailure(now time.Time, jobID, machineID string, completed int) {
	t.prune(now)
	j := t.jobs[jobID]
	if j == nil {
		j = &job{}
		t.jobs[jobID] = j
	}
	m := t.machines[machineID]
	if m == nil {
		m = &machine{}
		t.machines[machineID] = m
	}
	if completed > 0 {
		j.hasCompleted, j.isCrashLooping = true, false
	}
	j.failedOn, j.lastFailureAt = appendNewest(j.failedOn, machineID), now
	m.failedJobs, m.lastFailureAt, m.completions = appendNewest(m.failedJobs, jobID), now, 0
	if !j.hasCompleted && len(j.failedOn) >= minFailures && t.crashLoopProbability(jobID, "", maxDepth) > crashLoopThreshold {
		j.isCrashLooping = true
	}
}

// RecordCompletion takes in that a task of the job has completed on the machine: the job is not mistaken, whatever
// was thought of it.
func (t *Tracker) RecordCompletion(jobID, machineID string) {
	if j := t.jobs[jobID]; j != nil {
		j.hasCompleted, j.isCrashLooping = true, false
	}
	if m := t.machines[machineID]; m != nil {
		m.completions = min(m.completions+1, maxCompletions)
	}
}

// RestoreCrashLooping takes over a verdict of an earlier leader.
func (t *Tracker) RestoreCrashLooping(now time.Time, jobID string) {
	t.jobs[jobID] = &job{isCrashLooping: true, lastFailureAt: now}
}

// IsCrashLooping reports whether the job is taken for one that fails everywhere.
func (t *Tracker) IsCrashLooping(jobID string) bool {
	return t.jobs[jobID] != nil && t.jobs[jobID].isCrashLooping
}

// FailedMachineCount is on how many machines the job has failed, as far as is remembered.
func (t *Tracker) FailedMachineCount(jobID string) int {
	if j := t.jobs[jobID]; j != nil {
		return len(j.failedOn)
	}
	return 0
}

// IsFaulty reports whether the machine is taken for faulty: different jobs have failed on it that do well
// elsewhere, or of which nothing else is known.
func (t *Tracker) IsFaulty(machineID string) bool {
	m := t.machines[machineID]
	return m != nil && len(m.failedJobs) >= minFailures && t.faultProbability(machineID, "", maxDepth) > faultThreshold
}

// ForgetMachine forgets a machine.
func (t *Tracker) ForgetMachine(machineID string) { delete(t.machines, machineID) }

// ScheduleRetry is when a job that is taken for mistaken may be tried again: later each time, and no more often
// than the budget of all such jobs allows.
func (t *Tracker) ScheduleRetry(now time.Time, jobID string) time.Time {
	j := t.jobs[jobID]
	if j == nil {
		return now
	}
	delay := maxRetryDelay
	if j.retries < 5 {
		delay = firstRetryDelay << j.retries
	}
	j.retries++
	t.retryBudget = min(t.retryBudget+now.Sub(t.refilledAt).Seconds()/retryRefillInterval.Seconds(), maxStoredRetries)
	t.refilledAt = now
	t.retryBudget--
	if t.retryBudget < 0 { // the places that are given out already come first
		delay = max(delay, time.Duration(-t.retryBudget*float64(retryRefillInterval)))
	}
	return now.Add(delay)
}

func logit(p float64) float64 { return math.Log(p / (1 - p)) }

func logistic(logOdds float64) float64 { return 1 / (1 + math.Exp(-logOdds)) }

// newestExcept are the neighbours that count, without one.
func newestExcept(names []string, excluded string) []string {
	kept := make([]string, 0, maxNeighbours)
	for i := len(names) - 1; i >= 0 && len(kept) < maxNeighbours; i-- {
		if names[i] != excluded {
			kept = append(kept, names[i])
		}
	}
	return kept
}

// crashLoopProbability is how likely the job is mistaken, by all machines that it failed on but one. What is known of each
// machine from other jobs counts: to fail on a faulty one says nothing of the job.
func (t *Tracker) crashLoopProbability(jobID, excludedMachine string, depth int) float64 {
	j := t.jobs[jobID]
	if j == nil {
		return crashLoopPrior
	}
	switch {
	case j.hasCompleted:
		return 0
	case j.isCrashLooping:
		return crashLoopCertainty // what it was found by may have been an earlier leader's, or be forgotten
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

// faultProbability is how likely the machine is faulty, by all jobs that failed on it but one.
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
		logOdds += math.Log(
			(crashLoopProbability + (1-crashLoopProbability)*faultyMachineFailureRate) / (crashLoopProbability + (1-crashLoopProbability)*healthyFailureRate),
		)
	}
	return logistic(logOdds)
}

// prune forgets what has not failed for long.
func (t *Tracker) prune(now time.Time) {
	if now.Sub(t.prunedAt) < retention/10 {
		return
	}
	t.prunedAt = now
	maps.DeleteFunc(t.jobs, func(_ string, j *job) bool { return now.Sub(j.lastFailureAt) > retention })
	maps.DeleteFunc(t.machines, func(_ string, m *machine) bool { return now.Sub(m.lastFailureAt) > retention })
}

// ForgetJob forgets a job that is over.
func (t *Tracker) ForgetJob(jobID string) { delete(t.jobs, jobID) }

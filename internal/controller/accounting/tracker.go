// Package accounting attributes each moment of a job, from its submission to its final state, to one wait reason: what kept
// the job from being done at that moment. Its Tracker owns the accounts of a leadership's unfinished jobs, the latest
// accounts of finished jobs, and the totals by team and class. Metrics holds the totals of the process.
//
// The package samples jobs, workers and instances at intervals and changes none of them. It makes no decisions and sends
// nothing.
//
// Design note: docs/design/accounting.md.
package accounting

import (
	"fmt"
	"log/slog"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/logkeys"
)

// logInterval is the time between two log lines of the totals. It is short, so that the last totals in the log of a run cover
// nearly the whole run.
const logInterval = time.Minute

// Tracker keeps the time accounts of one leadership. It is not safe for concurrent use.
type Tracker struct {
	log         *slog.Logger
	metrics     *Metrics
	accounts    map[*jobs.Job]*account // of unfinished jobs
	finished    *finishedAccounts
	totals      groupTotals // of all jobs that finished under this leader
	leaseLostAt time.Time   // zero while the leader lease is held
	nextLog     time.Time
}

// New returns the Tracker of a new leadership.
func New(metrics *Metrics, log *slog.Logger) *Tracker {
	return &Tracker{
		log: log, metrics: metrics, accounts: map[*jobs.Job]*account{}, finished: newFinishedAccounts(), totals: groupTotals{},
	}
}

// Open opens the account of a job that was just submitted.
func (t *Tracker) Open(job *jobs.Job) { t.accounts[job] = &account{reason: NotAccepted} }

// Restore opens the account of a job that an earlier leader accepted. encoded is the account that the earlier leader stored.
// The time after it, up to leaderSince, when this leadership began, is counted as EarlierLeader. If encoded is invalid, that
// is logged, and all the time up to leaderSince is counted as EarlierLeader.
func (t *Tracker) Restore(job *jobs.Job, encoded string, leaderSince time.Time) {
	restored := &account{reason: EarlierLeader}
	if breakdown, err := parseBreakdown(encoded); err != nil {
		t.log.Error("time account unreadable", logkeys.Job, job.ID, logkeys.Err, err)
	} else {
		restored.breakdown, restored.countedMs = breakdown, breakdown.Total()
	}
	restored.countUntil(msSinceSubmission(job, leaderSince))
	restored.reason = NoLeader
	t.accounts[job] = restored
}

// EncodedAccount returns a job's account for its stored record, or an empty string if there is none. It has at most
// maxEncodedBytes.
func (t *Tracker) EncodedAccount(job *jobs.Job) string {
	account := t.accounts[job]
	if account == nil {
		return ""
	}
	return account.breakdown.encode()
}

// RecordTaskLost records that a task has to run again, and how its attempt was lost: MachineLost, AttemptFailed or
// Preempted.
func (t *Tracker) RecordTaskLost(job *jobs.Job, task int, reason WaitReason) {
	account := t.accounts[job]
	if account == nil {
		return
	}
	if account.lostTasks == nil {
		account.lostTasks = map[int]WaitReason{}
	}
	account.lostTasks[task] = reason
}

// RecordTaskDone records that a task is done.
func (t *Tracker) RecordTaskDone(job *jobs.Job, task int) {
	if account := t.accounts[job]; account != nil {
		delete(account.lostTasks, task)
	}
}

// LeaseLost records that the leader lease is no longer held. The next call of Sample means that it is held again.
func (t *Tracker) LeaseLost(now time.Time) {
	if t.leaseLostAt.IsZero() {
		t.leaseLostAt = now
	}
}

// End records the end of the leadership: it sets the metric of open jobs to zero.
func (t *Tracker) End() { t.metrics.openJobs.Set(0) }

// Finish closes the account of a job that is done or cancelled. Without an open account it does nothing.
func (t *Tracker) Finish(now time.Time, job *jobs.Job) {
	account := t.accounts[job]
	if account == nil {
		return
	}
	delete(t.accounts, job)
	account.countUntil(msSinceSubmission(job, now))
	finished := FinishedAccount{
		JobID: job.ID, Team: job.Team, Class: job.Class, State: job.State, EndedAt: now, Breakdown: account.breakdown,
	}
	t.finished.add(finished)
	t.totals.add(&finished)
	t.metrics.recordEnded(&finished)
}

// Sample counts the time since the last call to the reasons found then, and determines the reasons that apply now. While the
// leader holds the leader lease, it calls Sample about twice a second, less often with many unfinished jobs.
func (t *Tracker) Sample(now time.Time, state ClusterState) {
	if !t.leaseLostAt.IsZero() {
		for job, account := range t.accounts {
			account.countUntil(msSinceSubmission(job, t.leaseLostAt))
			account.reason = NoLeader
		}
		t.leaseLostAt = time.Time{}
	}
	current := newSample(state)
	for job, account := range t.accounts {
		account.countUntil(msSinceSubmission(job, now))
		account.reason = current.reasonFor(now, job, account)
	}
	t.metrics.openJobs.Set(float64(len(t.accounts)))
	t.logTotals(now)
}

// Account returns the account of an unfinished job up to now, and the current reason. ok is false if this leader has no
// account of the job.
func (t *Tracker) Account(now time.Time, job *jobs.Job) (breakdown Breakdown, reason WaitReason, ok bool) {
	account := t.accounts[job]
	if account == nil {
		return Breakdown{}, 0, false
	}
	current := *account
	current.countUntil(msSinceSubmission(job, now))
	return current.breakdown, current.reason, true
}

// FinishedAccount returns the account of a job that finished under this leader. It returns false if there is none or it is
// no longer kept.
func (t *Tracker) FinishedAccount(jobID string) (FinishedAccount, bool) {
	return t.finished.find(jobID)
}

// Totals returns the totals by team and class of the jobs that finished at since or later and whose accounts are still kept.
// If since is zero, all jobs that finished under this leader count. An empty team or class matches all.
func (t *Tracker) Totals(team, class string, since time.Time) []GroupTotal {
	if since.IsZero() {
		return t.totals.list(team, class)
	}
	return t.finished.totalsSince(since).list(team, class)
}

// OpenCount returns the number of open accounts, which are those of the unfinished jobs.
func (t *Tracker) OpenCount() int { return len(t.accounts) }

// logTotals logs one line for each team and class, once per logInterval.
func (t *Tracker) logTotals(now time.Time) {
	if now.Before(t.nextLog) {
		return
	}
	isFirst := t.nextLog.IsZero()
	t.nextLog = now.Add(logInterval)
	if isFirst {
		return
	}
	for _, total := range t.Totals("", "", time.Time{}) {
		t.log.Info("time by wait reason", total.logAttributes()...)
	}
}

func (g *GroupTotal) logAttributes() []any {
	totalMs := g.Breakdown.Total()
	attributes := []any{logkeys.Team, g.Team, logkeys.Class, g.Class, "jobs", g.JobCount, "seconds", totalMs / 1000}
	for reason, ms := range g.Breakdown {
		if ms > 0 {
			share := fmt.Sprintf("%.1f%%", 100*float64(ms)/float64(totalMs))
			attributes = append(attributes, WaitReason(reason).String(), share)
		}
	}
	return attributes
}

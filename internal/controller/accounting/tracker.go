// Package accounting counts each moment of a job, from its submission to its final state, to one wait reason: what kept it from
// being done at that moment. Its Tracker owns the accounts of a leadership's unfinished jobs, the last accounts of finished ones and the
// totals by team and class; Metrics has the totals of the process.
//
// The package samples jobs, workers and instances at intervals and changes none of them; it decides and sends nothing. Design note:
// docs/design/accounting.md.
package accounting

import (
	"fmt"
	"log/slog"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/logkeys"
)

// logInterval is how often the totals are logged: often enough that the end of a day's log has the day's totals.
const logInterval = time.Minute

// Tracker has the accounts of a leadership.
type Tracker struct {
	log       *slog.Logger
	metrics   *Metrics
	accounts  map[*jobs.Job]*account // of unfinished jobs
	finished  *finishedAccounts
	totals    groupTotals // of all jobs that ended under this leader
	idleSince time.Time   // since when the leader lease has been lost; zero: it is held
	nextLog   time.Time
}

// New returns the tracker of a new leadership.
func New(metrics *Metrics, log *slog.Logger) *Tracker {
	return &Tracker{
		log: log, metrics: metrics, accounts: map[*jobs.Job]*account{}, finished: newFinishedAccounts(), totals: groupTotals{},
	}
}

// Open opens the account of a job that was just submitted.
func (t *Tracker) Open(job *jobs.Job) { t.accounts[job] = &account{reason: NotAccepted} }

// Restore opens the account of a job that an earlier leader has accepted. encoded is what that leader stored of the account; the
// time from there to leaderSince, when this leadership began, is counted to EarlierLeader.
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

// EncodedAccount returns a job's account for its stored record; empty if there is none. It has maxEncodedBytes at most.
func (t *Tracker) EncodedAccount(job *jobs.Job) string {
	account := t.accounts[job]
	if account == nil {
		return ""
	}
	return account.breakdown.encode()
}

// RecordTaskLost records that a task has to run again, and how its attempt was lost: MachineLost, AttemptFailed or Preempted.
func (t *Tracker) RecordTaskLost(job *jobs.Job, task int, how WaitReason) {
	account := t.accounts[job]
	if account == nil {
		return
	}
	if account.lostTasks == nil {
		account.lostTasks = map[int]WaitReason{}
	}
	account.lostTasks[task] = how
}

// RecordTaskDone records that a task is done.
func (t *Tracker) RecordTaskDone(job *jobs.Job, task int) {
	if account := t.accounts[job]; account != nil {
		delete(account.lostTasks, task)
	}
}

// LeaseLost records that the leader lease is not held any more. The next Sample means that it is held again.
func (t *Tracker) LeaseLost(now time.Time) {
	if t.idleSince.IsZero() {
		t.idleSince = now
	}
}

// End records that the leadership is over.
func (t *Tracker) End() { t.metrics.openJobs.Set(0) }

// Finish closes the account of a job that is done or cancelled.
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

// Sample counts the time since the last call to the reasons that were found then, and determines those that apply now. The leader calls
// it about twice a second while it holds the leader lease.
func (t *Tracker) Sample(now time.Time, state ClusterState) {
	if !t.idleSince.IsZero() {
		for job, account := range t.accounts {
			account.countUntil(msSinceSubmission(job, t.idleSince))
			account.reason = NoLeader
		}
		t.idleSince = time.Time{}
	}
	found := newSample(state)
	for job, account := range t.accounts {
		account.countUntil(msSinceSubmission(job, now))
		account.reason = found.reasonFor(now, job, account)
	}
	t.metrics.openJobs.Set(float64(len(t.accounts)))
	t.logTotals(now)
}

// Account returns the account of an unfinished job up to now, and the present reason. ok is false if this leader has no account.
func (t *Tracker) Account(now time.Time, job *jobs.Job) (breakdown Breakdown, reason WaitReason, ok bool) {
	account := t.accounts[job]
	if account == nil {
		return Breakdown{}, 0, false
	}
	current := *account
	current.countUntil(msSinceSubmission(job, now))
	return current.breakdown, current.reason, true
}

// FinishedAccount returns the account of a job that has ended under this leader, as long as it is kept.
func (t *Tracker) FinishedAccount(jobID string) (FinishedAccount, bool) {
	return t.finished.find(jobID)
}

// Totals returns the totals by team and class over the jobs that ended since a moment, as far as their accounts are kept, or over
// all that ended under this leader if since is zero. An empty team or class stands for any.
func (t *Tracker) Totals(team, class string, since time.Time) []GroupTotal {
	if since.IsZero() {
		return t.totals.list(team, class)
	}
	return t.finished.totalsSince(since).list(team, class)
}

// OpenCount returns the number of unfinished jobs.
func (t *Tracker) OpenCount() int { return len(t.accounts) }

// logTotals logs a line for each team and class at every logInterval.
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

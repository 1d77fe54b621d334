// Package submission limits how many submissions wait to be written to persistent state. A Limiter owns the count of
// pending submissions and the retry tickets of each team. It never reads or changes a job. The tickets are lost at a
// failover.
//
// Design note: docs/design/ageing.md, "The submission limiter".
package submission

import (
	"time"
)

const (
	// sharingWindow is how long after its last submission a team counts as active. Active teams share the limit.
	sharingWindow = 10 * time.Second
	// ticketLifetime is how long a ticket stays valid after its notBefore. Users stop retrying after 60 s.
	ticketLifetime = 30 * time.Second
	// minRetryAfter and maxRetryAfter bound the Retry-After of a response. Clients cut longer values to 30 s.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// maxTicketsPerTeam bounds the memory used for a team whose users never retry.
	maxTicketsPerTeam = 2000
	// minSaveRate, in submissions a second, keeps the interval between two tickets finite.
	minSaveRate = 0.1
)

// Limiter bounds the number of pending submissions and shares the limit fairly between teams. A refused submission gets a
// ticket with the time from which a retry is accepted. Tickets are issued in the order of the first submissions, so retrying
// early gains nothing. A Limiter is not safe for concurrent use.
type Limiter struct {
	maxPending  int
	saveRate    float64 // submissions a second that persistent state can save
	teams       map[string]*team
	pending     int
	lastCleanup time.Time
}

type team struct {
	pending        int
	lastSubmission time.Time
	tickets        ticketQueue
}

// New returns a Limiter that allows maxPending pending submissions. saveRate is the expected number of submissions that are saved
// a second. A maxPending below 1 counts as 1, and a saveRate below 0.1 as 0.1.
func New(maxPending int, saveRate float64) *Limiter {
	return &Limiter{maxPending: max(maxPending, 1), saveRate: max(saveRate, minSaveRate), teams: map[string]*team{}}
}

// Acquire counts a submission as pending if the limit allows it. If it is refused, retryAfter is how long to wait before the
// next attempt, from 1 s to 30 s. The caller calls Release once for each accepted submission.
func (l *Limiter) Acquire(now time.Time, teamName, jobID string) (accepted bool, retryAfter time.Duration) {
	l.removeIdleTeams(now)
	t := l.team(now, teamName)
	share := l.teamShare(now)
	t.tickets.expire(now)
	notBefore, hasTicket := t.tickets.notBefore[jobID]
	free := share - t.pending
	if !hasTicket {
		free -= t.tickets.unusedDue // due tickets go first
	}
	if l.pending < l.maxPending && free > 0 && (!hasTicket || !now.Before(notBefore)) {
		t.tickets.remove(jobID)
		t.pending++
		l.pending++
		return true, 0
	}
	if !hasTicket {
		if t.tickets.isFull() {
			return false, maxRetryAfter
		}
		notBefore = t.tickets.issue(now, jobID, time.Duration(float64(time.Second)/l.saveRate))
	}
	return false, min(max(notBefore.Sub(now), minRetryAfter), maxRetryAfter)
}

// Release ends a pending submission of the team after it was saved or refused. It does nothing if the team has none.
func (l *Limiter) Release(teamName string) {
	if t := l.teams[teamName]; t != nil && t.pending > 0 {
		t.pending--
		l.pending--
	}
}

// team returns the named team, new if necessary, and records that it submits now.
func (l *Limiter) team(now time.Time, name string) *team {
	t := l.teams[name]
	if t == nil {
		t = &team{tickets: newTicketQueue()}
		l.teams[name] = t
	}
	t.lastSubmission = now
	return t
}

// teamShare returns how many pending submissions one team may have. A team may use the whole limit while less than half of
// it is used.
func (l *Limiter) teamShare(now time.Time) int {
	if l.pending < l.maxPending/2 {
		return l.maxPending
	}
	return max(l.maxPending/l.activeTeams(now), 1)
}

// activeTeams returns the number of teams with pending or recent submissions, at least 1.
func (l *Limiter) activeTeams(now time.Time) int {
	active := 0
	for _, t := range l.teams {
		if t.pending > 0 || now.Sub(t.lastSubmission) < sharingWindow {
			active++
		}
	}
	return max(active, 1)
}

// removeIdleTeams drops expired tickets and teams without pending submissions, tickets or recent submissions. It runs at most
// once a second.
func (l *Limiter) removeIdleTeams(now time.Time) {
	if now.Sub(l.lastCleanup) < time.Second {
		return
	}
	l.lastCleanup = now
	for name, t := range l.teams {
		t.tickets.expire(now)
		if t.pending == 0 && t.tickets.isEmpty() && now.Sub(t.lastSubmission) > ticketLifetime {
			delete(l.teams, name)
		}
	}
}

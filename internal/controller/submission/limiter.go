// Package submission limits how many submissions wait to be written to persistent state. A Limiter owns the count of
// pending submissions and the retry tickets of each team. It never reads or changes a job, and the tickets of an earlier
// leader are lost.
//
// Design note: docs/design/ageing.md, "The submission limiter".
package submission

import (
	"time"
)

const (
	// sharingWindow is how long after its last submission a team counts among those that share the limit.
	sharingWindow = 10 * time.Second
	// ticketLifetime is how long a ticket is valid after its notBefore. Users retry for 60 s in all.
	ticketLifetime = 30 * time.Second
	// minRetryAfter and maxRetryAfter bound the Retry-After of an answer. Clients cut a longer one to 30 s.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// maxTicketsPerTeam bounds the memory for a team whose users never retry.
	maxTicketsPerTeam = 2000
	// minSaveRate keeps the distance between two tickets finite, in submissions a second.
	minSaveRate = 0.1
)

// Limiter bounds the submissions that are pending at a time, fairly between teams. A refused submission gets a ticket:
// the time from which a retry is accepted, in the order of the first submissions. Retrying earlier gains nothing. A Limiter is
// not safe for concurrent use.
type Limiter struct {
	maxPending int
	saveRate   float64 // submissions a second that persistent state takes
	teams      map[string]*team
	pending    int
	sweptAt    time.Time
}

// team is the state of one team.
type team struct {
	pending        int
	lastSubmission time.Time
	tickets        ticketQueue
}

// New returns a Limiter that allows maxPending submissions at a time, of which saveRate a second are expected to be saved.
func New(maxPending int, saveRate float64) *Limiter {
	return &Limiter{maxPending: max(maxPending, 1), saveRate: max(saveRate, minSaveRate), teams: map[string]*team{}}
}

// Acquire takes the place of one pending submission. If it is refused, retryAfter is when to try again. Each accepted
// submission is to be followed by one Release.
func (l *Limiter) Acquire(now time.Time, teamName, jobID string) (accepted bool, retryAfter time.Duration) {
	l.removeIdleTeams(now)
	t := l.team(now, teamName)
	share := l.teamShare(now)
	t.tickets.expire(now)
	notBefore, hasTicket := t.tickets.notBefore[jobID]
	free := share - t.pending
	if !hasTicket {
		free -= t.tickets.unusedDue // tickets whose time has come go first
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
		notBefore = t.tickets.add(now, jobID, time.Duration(float64(time.Second)/l.saveRate))
	}
	return false, min(max(notBefore.Sub(now), minRetryAfter), maxRetryAfter)
}

// Release frees the place of a pending submission of the team, which was saved or refused.
func (l *Limiter) Release(teamName string) {
	if t := l.teams[teamName]; t != nil && t.pending > 0 {
		t.pending--
		l.pending--
	}
}

// team returns the named team and records that it submits now.
func (l *Limiter) team(now time.Time, name string) *team {
	t := l.teams[name]
	if t == nil {
		t = &team{tickets: newTicketQueue()}
		l.teams[name] = t
	}
	t.lastSubmission = now
	return t
}

// teamShare is the number of submissions that one team may have pending. Teams are not limited while less than half of
// maxPending is used.
func (l *Limiter) teamShare(now time.Time) int {
	if l.pending < l.maxPending/2 {
		return l.maxPending
	}
	return max(l.maxPending/l.activeTeams(now), 1)
}

// activeTeams counts the teams that submit at present, one at least.
func (l *Limiter) activeTeams(now time.Time) int {
	active := 0
	for _, t := range l.teams {
		if t.pending > 0 || now.Sub(t.lastSubmission) < sharingWindow {
			active++
		}
	}
	return max(active, 1)
}

// removeIdleTeams drops expired tickets, and the teams that have neither tickets nor recent submissions.
func (l *Limiter) removeIdleTeams(now time.Time) {
	if now.Sub(l.sweptAt) < time.Second {
		return
	}
	l.sweptAt = now
	for name, t := range l.teams {
		t.tickets.expire(now)
		if t.pending == 0 && t.tickets.isEmpty() && now.Sub(t.lastSubmission) > ticketLifetime {
			delete(l.teams, name)
		}
	}
}

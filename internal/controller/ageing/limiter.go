package ageing

import (
	"time"
)

// SubmissionLimiter bounds the submissions that wait to be saved, fairly between teams. Who is refused gets a
// ticket: a time at which there will be room, in the order of first attempts. Who comes back then
// is let in; who hammers keeps its place and gains nothing. One leader's gate knows nothing of an
// earlier leader's tickets.
type SubmissionLimiter struct {
	maxPending int     // submissions that may wait at a time
	saveRate   float64 // submissions a second that can be saved
	teams      map[string]*teamTickets
	pending    int
	sweptAt    time.Time
}

// teamTickets is what the gate knows of a team.
type teamTickets struct {
	pending        int
	notBefore      map[string]time.Time // id -> when it may come
	queue          []ticket             // the same, in the order in which they may come
	dueCount       int                  // of the row, those that may come now or soon
	openDue        int                  // of these, those that have not come yet
	lastSubmission time.Time
}

type ticket struct {
	jobID     string
	notBefore time.Time
}

const (
	// sharingWindow is how long after its last submission a team counts among those that share.
	sharingWindow = 10 * time.Second
	// ticketLifetime is how long after its time a ticket is good. Users try for 60 s in all.
	ticketLifetime = 30 * time.Second
	// minRetryAfter and latest bound what a user is told: a user who is told more than 30 s comes
	// after 30 s all the same.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// maxTicketsPerTeam bounds what a team that never comes back can make the gate remember.
	maxTicketsPerTeam = 2000
)

// NewSubmissionLimiter makes a gate for so many submissions at a time, of which rate are saved a second.
func NewSubmissionLimiter(maxPending int, saveRate float64) *SubmissionLimiter {
	return &SubmissionLimiter{maxPending: max(maxPending, 1), saveRate: max(saveRate, 0.1), teams: map[string]*teamTickets{}}
}

func (g *SubmissionLimiter) ticketsOf(now time.Time, team string) *teamTickets {
	tickets := g.teams[team]
	if tickets == nil {
		tickets = &teamTickets{notBefore: map[string]time.Time{}}
		g.teams[team] = tickets
	}
	tickets.lastSubmission = now
	return tickets
}

// activeTeams counts the teams that submit at present.
func (g *SubmissionLimiter) activeTeams(now time.Time) int {
	active := 0
	for _, tickets := range g.teams {
		if tickets.pending > 0 || now.Sub(tickets.lastSubmission) < sharingWindow {
			active++
		}
	}
	return max(active, 1)
}

// Acquire asks for a submission to be let in. If it is not, retry is when to come back.
func (g *SubmissionLimiter) Acquire(now time.Time, team, jobID string) (admitted bool, retryAfter time.Duration) {
	g.removeIdleTeams(now)
	tickets := g.ticketsOf(now, team)
	teams := g.activeTeams(now)
	// As long as half of the room is free, whoever comes gets it.
	share := g.maxPending
	if g.pending >= g.maxPending/2 {
		share = max(g.maxPending/teams, 1)
	}
	tickets.expireTickets(now)
	notBefore, hasTicket := tickets.notBefore[jobID]
	free := share - tickets.pending
	if !hasTicket {
		free -= tickets.openDue // those who were told to come are before it
	}
	if g.pending < g.maxPending && free > 0 && (!hasTicket || !now.Before(notBefore)) {
		tickets.removeTicket(jobID)
		tickets.pending++
		g.pending++
		return true, 0
	}
	if !hasTicket {
		if len(tickets.queue) >= maxTicketsPerTeam {
			return false, maxRetryAfter
		}
		notBefore = now.Add(minRetryAfter)
		if n := len(tickets.queue); n > 0 {
			if next := tickets.queue[n-1].notBefore.Add(time.Duration(float64(time.Second) / g.saveRate)); next.After(notBefore) {
				notBefore = next
			}
		}
		tickets.notBefore[jobID] = notBefore
		tickets.queue = append(tickets.queue, ticket{jobID, notBefore})
	}
	return false, min(max(notBefore.Sub(now), minRetryAfter), maxRetryAfter)
}

// expireTickets counts the tickets whose time has come, or comes before anybody could come again, and
// lets go of those that are too old.
func (l *teamTickets) expireTickets(now time.Time) {
	for l.dueCount < len(l.queue) && l.queue[l.dueCount].notBefore.Sub(now) < minRetryAfter {
		if _, open := l.notBefore[l.queue[l.dueCount].jobID]; open {
			l.openDue++
		}
		l.dueCount++
	}
	for l.dueCount > 0 && now.Sub(l.queue[0].notBefore) > ticketLifetime {
		l.removeTicket(l.queue[0].jobID)
		l.queue = l.queue[1:]
		l.dueCount--
	}
}

// removeTicket takes a ticket back.
func (l *teamTickets) removeTicket(jobID string) {
	notBefore, has := l.notBefore[jobID]
	if !has {
		return
	}
	delete(l.notBefore, jobID)
	if l.dueCount > 0 && !notBefore.After(l.queue[l.dueCount-1].notBefore) {
		l.openDue--
	}
}

// Release tells that a submission that was let in is saved, or never will be.
func (g *SubmissionLimiter) Release(team string) {
	if tickets := g.teams[team]; tickets != nil && tickets.pending > 0 {
		tickets.pending--
		g.pending--
	}
}

// Pending counts the submissions that are not saved yet.
func (g *SubmissionLimiter) Pending() int { return g.pending }

// removeIdleTeams forgets tickets that nobody has come back with, and teams that are gone.
func (g *SubmissionLimiter) removeIdleTeams(now time.Time) {
	if now.Sub(g.sweptAt) < time.Second {
		return
	}
	g.sweptAt = now
	for name, tickets := range g.teams {
		tickets.expireTickets(now)
		if tickets.pending == 0 && len(tickets.queue) == 0 && now.Sub(tickets.lastSubmission) > ticketLifetime {
			delete(g.teams, name)
		}
	}
}

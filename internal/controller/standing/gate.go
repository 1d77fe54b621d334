package standing

import (
	"time"
)

// Gate bounds the submissions that wait to be saved, fairly between teams. Who is refused gets a
// ticket: a time at which there will be room, in the order of first attempts. Who comes back then
// is let in; who hammers keeps its place and gains nothing. One leader's gate knows nothing of an
// earlier leader's tickets.
type Gate struct {
	most    int     // submissions that may wait at a time
	rate    float64 // submissions a second that can be saved
	teams   map[string]*lane
	pending int
	swept   time.Time
}

// lane is what the gate knows of a team.
type lane struct {
	pending int
	tickets map[string]time.Time // id -> when it may come
	row     []ticket             // the same, in the order in which they may come
	due     int                  // of the row, those that may come now or soon
	open    int                  // of these, those that have not come yet
	active  time.Time
}

type ticket struct {
	id   string
	slot time.Time
}

const (
	// recent is how long after its last submission a team counts among those that share.
	recent = 10 * time.Second
	// grace is how long after its time a ticket is good. Users try for 60 s in all.
	grace = 30 * time.Second
	// soonest and latest bound what a user is told: a user who is told more than 30 s comes
	// after 30 s all the same.
	soonest = time.Second
	latest  = 30 * time.Second
	// mostTickets bounds what a team that never comes back can make the gate remember.
	mostTickets = 2000
)

// NewGate makes a gate for so many submissions at a time, of which rate are saved a second.
func NewGate(most int, rate float64) *Gate {
	return &Gate{most: max(most, 1), rate: max(rate, 0.1), teams: map[string]*lane{}}
}

func (g *Gate) lane(now time.Time, team string) *lane {
	l := g.teams[team]
	if l == nil {
		l = &lane{tickets: map[string]time.Time{}}
		g.teams[team] = l
	}
	l.active = now
	return l
}

// sharing counts the teams that submit at present.
func (g *Gate) sharing(now time.Time) int {
	n := 0
	for _, l := range g.teams {
		if l.pending > 0 || now.Sub(l.active) < recent {
			n++
		}
	}
	return max(n, 1)
}

// Enter asks for a submission to be let in. If it is not, retry is when to come back.
func (g *Gate) Enter(now time.Time, team, id string) (ok bool, retry time.Duration) {
	g.sweep(now)
	l := g.lane(now, team)
	teams := g.sharing(now)
	// As long as half of the room is free, whoever comes gets it.
	share := g.most
	if g.pending >= g.most/2 {
		share = max(g.most/teams, 1)
	}
	l.advance(now)
	slot, has := l.tickets[id]
	free := share - l.pending
	if !has {
		free -= l.open // those who were told to come are before it
	}
	if g.pending < g.most && free > 0 && (!has || !now.Before(slot)) {
		l.forget(id)
		l.pending++
		g.pending++
		return true, 0
	}
	if !has {
		if len(l.row) >= mostTickets {
			return false, latest
		}
		slot = now.Add(soonest)
		if n := len(l.row); n > 0 {
			if next := l.row[n-1].slot.Add(time.Duration(float64(time.Second) / g.rate)); next.After(slot) {
				slot = next
			}
		}
		l.tickets[id] = slot
		l.row = append(l.row, ticket{id, slot})
	}
	return false, min(max(slot.Sub(now), soonest), latest)
}

// advance counts the tickets whose time has come, or comes before anybody could come again, and
// lets go of those that are too old.
func (l *lane) advance(now time.Time) {
	for l.due < len(l.row) && l.row[l.due].slot.Sub(now) < soonest {
		if _, open := l.tickets[l.row[l.due].id]; open {
			l.open++
		}
		l.due++
	}
	for l.due > 0 && now.Sub(l.row[0].slot) > grace {
		l.forget(l.row[0].id)
		l.row = l.row[1:]
		l.due--
	}
}

// forget takes a ticket back.
func (l *lane) forget(id string) {
	slot, has := l.tickets[id]
	if !has {
		return
	}
	delete(l.tickets, id)
	if l.due > 0 && !slot.After(l.row[l.due-1].slot) {
		l.open--
	}
}

// Leave tells that a submission that was let in is saved, or never will be.
func (g *Gate) Leave(team string) {
	if l := g.teams[team]; l != nil && l.pending > 0 {
		l.pending--
		g.pending--
	}
}

// Pending counts the submissions that are not saved yet.
func (g *Gate) Pending() int { return g.pending }

// sweep forgets tickets that nobody has come back with, and teams that are gone.
func (g *Gate) sweep(now time.Time) {
	if now.Sub(g.swept) < time.Second {
		return
	}
	g.swept = now
	for name, l := range g.teams {
		l.advance(now)
		if l.pending == 0 && len(l.row) == 0 && now.Sub(l.active) > grace {
			delete(g.teams, name)
		}
	}
}

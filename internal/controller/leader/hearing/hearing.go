// Package hearing tells a leader whom no worker reaches from workers that are gone. Its Hearing owns
// when the last report came and who came to which controller; a process has one, whether it leads or
// not. It hands nothing over: the election asks it whether to, and to whom.
//
// A leader that is cut off from the workers alone keeps its key, and every worker that asks another
// controller is sent back to it. So all leases ended with all that ran, after a third of the machines
// a tick had been deleted as silent (docs/incidents: both recorded days of the operations sites).
// That the leader hears nobody is half of the evidence; that others hear the workers is the rest.
package hearing

import "time"

const (
	// reports that are missing in a row, of all machines together, before silence is ours and not chance:
	// at the mean rate they come, none comes by chance in so long once in a hundred thousand times.
	missing = 12
	// leastGap is the shortest silence that counts: a burst of work or of the network may hold
	// everything up for that long.
	leastGap = time.Second
	// paused is a gap between two ticks that shows that this process stood still.
	paused = 300 * time.Millisecond
	// warned is how long a follower believes that the leader hears nobody, from when it was told.
	warned = 2 * time.Second
	// remembered is for how long a caller counts: a worker tries every controller within that.
	remembered = 10 * time.Second
	// numbered is for how long a caller's numbers are kept, to tell copies of its reports.
	numbered = 2 * time.Minute
	// mostCallers bounds what is kept of callers.
	mostCallers = 20_000
	// callersShare is which part of the machines that are expected has to call elsewhere, and fewCallers
	// how many at least. Of fewer machines nothing can be told.
	callersShare = 0.125
	fewCallers   = 3
	// lostShare is which part of the machines may be overdue before the leader takes the silence for its own,
	// though some are heard: those that have booted since, say. Half of a site may be lost with a zone.
	lostShare = 2.0 / 3
	// counted is for how long an answer to a question, or the want of one, tells of the link; mostAsked bounds
	// what is kept of them.
	counted   = 3 * time.Second
	mostAsked = 256
	// shy is how long who was not heard leaves the next leadership to others.
	shy = 30 * time.Second
)

// Hearing is what a controller knows of being reached by workers.
type Hearing struct {
	every time.Duration // between two reports of a worker

	heard    time.Time // when a report came last
	ticked   time.Time
	expected int            // machines whose reports should come
	overdue  int            // of these, those whose reports are missing for longer than they ever take
	callers  map[string]int // by the other controllers, workers that came to them instead
	deafAt   time.Time      // when a leadership of ours ended for that
	asked    []question     // of late

	warnedTo time.Time // as a follower: until when the leader is known to hear nobody
	came     map[string]caller
}

// caller is a worker that came to this controller though it does not lead.
type caller struct {
	at           time.Time
	session, seq uint64
}

// question is what became of one that was put to a machine directly.
type question struct {
	at       time.Time
	missed   bool // its reports were missing
	answered bool
}

// New makes the hearing of a process. every is how often a worker reports.
func New(every time.Duration) *Hearing {
	return &Hearing{every: every, callers: map[string]int{}, came: map[string]caller{}}
}

// Begin is a new leadership: nobody can have reported to it yet.
func (h *Hearing) Begin(now time.Time) {
	h.heard, h.ticked, h.expected, h.overdue = now, now, 0, 0
	clear(h.callers)
	h.warnedTo = time.Time{}
	clear(h.came)
	h.asked = nil
}

// Reported is a report that has come to the leader.
func (h *Hearing) Reported(now time.Time) { h.heard = now }

// Tick takes in how many machines the leader expects reports of, and how many of these are overdue. A time in which this process stood
// still is not a silence of others.
func (h *Hearing) Tick(now time.Time, expected, overdue int) {
	if gap := now.Sub(h.ticked); gap > paused {
		h.heard = h.heard.Add(gap)
	}
	h.ticked, h.expected, h.overdue = now, expected, overdue
}

// Asked takes in whether a machine answered a question of ours. missed: its reports were missing then.
func (h *Hearing) Asked(now time.Time, missed, answered bool) {
	h.asked = append(h.asked, question{now, missed, answered})
	for len(h.asked) > mostAsked || now.Sub(h.asked[0].at) > counted {
		h.asked = h.asked[1:]
	}
}

// Suspects reports whether the leader hears none of its machines, for so long that it is no chance, and at
// most for as long as every one of them should have reported; or so few that the others cannot all be lost.
func (h *Hearing) Suspects(now time.Time) bool {
	if h.expected < fewCallers {
		return false // one lost report, and the worker asks elsewhere: no reason to hand over
	}
	all := h.every*5/4 + leastGap/2
	some := missing * h.every / time.Duration(h.expected)
	return now.Sub(h.heard) >= max(min(some, all), leastGap) || float64(h.overdue) >= lostShare*float64(h.expected)
}

// Doubts reports whether some of the machines are to be asked directly: it may be we who are not reached. So many
// that call elsewhere do not hear what we answer.
func (h *Hearing) Doubts(now time.Time) bool { return h.Suspects(now) || h.elsewhere() }

// Warns reports whether workers had better not be sent here for now: the silence is not explained yet.
func (h *Hearing) Warns(now time.Time) bool {
	yes, no := h.answers(now, func(question) bool { return true })
	return h.Suspects(now) && 4*yes <= no || h.Deaf(now)
}

// Deaf reports whether the leader is cut off from the workers, in one direction at least: machines that are asked
// directly do not answer, those whose reports are missing if it hears too little, those that do report if
// many call elsewhere. Without the questions a new leader took the time in which the workers waited for
// the one before for a failure of its own, and handed over a sound leadership (docs/incidents: inc-1518, inc-98a2).
func (h *Hearing) Deaf(now time.Time) bool {
	return h.Suspects(now) && h.unanswered(now, true) || h.elsewhere() && h.unanswered(now, false)
}

// elsewhere reports whether many workers call another controller.
func (h *Hearing) elsewhere() bool {
	_, most := h.called()
	return h.expected >= fewCallers && most >= h.need()
}

// unanswered reports whether the questions of late to machines whose reports were missing, or were not, found no answers.
func (h *Hearing) unanswered(now time.Time, missed bool) bool {
	yes, no := h.answers(now, func(q question) bool { return q.missed == missed })
	return no >= fewCallers && 4*yes <= no
}

// answers counts the questions of late that were answered, and those that were not.
func (h *Hearing) answers(now time.Time, counts func(question) bool) (yes, no int) {
	for _, q := range h.asked {
		switch {
		case now.Sub(q.at) > counted || !counts(q):
		case q.answered:
			yes++
		default:
			no++
		}
	}
	return yes, no
}

// Told takes in how many workers came to another controller of late.
func (h *Hearing) Told(peer string, callers int) { h.callers[peer] = callers }

// Successor is the controller that the workers reach while the leader hears nobody; empty: there is no
// such controller, or nothing to hand over.
func (h *Hearing) Successor(now time.Time) string {
	if !h.Deaf(now) {
		return ""
	}
	best, most := h.called()
	if most < h.need() {
		return ""
	}
	return best
}

// need is how many workers have to call elsewhere.
func (h *Hearing) need() int { return max(fewCallers, int(callersShare*float64(h.expected))) }

// called is the controller to which the most workers came of late, and how many.
func (h *Hearing) called() (best string, most int) {
	for peer, n := range h.callers {
		if n > most || n == most && peer < best {
			best, most = peer, n
		}
	}
	return best, most
}

// Yielded records that a leadership was handed over for want of hearing.
func (h *Hearing) Yielded(now time.Time) { h.deafAt = now }

// Shy reports whether this controller was not heard lately and had better leave the leadership to others.
func (h *Hearing) Shy(now time.Time) bool { return !h.deafAt.IsZero() && now.Sub(h.deafAt) < shy }

// Warned takes in what the leader says of itself. A leader that hears again is named again.
func (h *Hearing) Warned(now time.Time, deaf bool) {
	if !deaf {
		h.warnedTo = time.Time{}
		return
	}
	h.warnedTo = now.Add(warned)
}

// Withheld reports whether workers are not to be sent to the leader: it would not hear them.
func (h *Hearing) Withheld(now time.Time) bool { return now.Before(h.warnedTo) }

// Called is a worker's report to a controller that does not lead. One that is not newer than those that came before
// is a copy: its machine may be no more.
func (h *Hearing) Called(now time.Time, machine string, session, seq uint64) {
	c, known := h.came[machine]
	if known && (session < c.session || session == c.session && seq <= c.seq) || !known && len(h.came) >= mostCallers {
		return
	}
	h.came[machine] = caller{now, session, seq}
}

// Callers is how many workers have called here of late.
func (h *Hearing) Callers(now time.Time) int {
	n := 0
	for id, c := range h.came {
		switch since := now.Sub(c.at); {
		case since > numbered:
			delete(h.came, id)
		case since <= remembered:
			n++
		}
	}
	return n
}

package fleet

import (
	"math/rand/v2"
	"time"

	"gullrudder/internal/wire/outbox"
)

const (
	// againShare is how much of the cloud's rate may go into calls that are repeated, so that these
	// never starve the others.
	againShare = 0.5
	// soonest and latest bound the wait before a call is repeated.
	soonest = 250 * time.Millisecond
	latest  = 5 * time.Second
	// tripped is after how many calls without an answer in a row the cloud counts as away: then one
	// call at a time finds out whether it is back.
	tripped = 5
	// probing is how often that is.
	probing = time.Second
)

// queue is the calls that wait for the cloud's rate. What frees machines goes before what takes more;
// what is repeated waits longer each time, not in step with others, and has a budget of its own. A
// call that fails holds up no other call: once a rental in a zone that did not answer paused them all.
type queue struct {
	urgent, list []waiting
	budget       *outbox.Limiter
	rng          *rand.Rand
	failed       int       // calls in a row that had no answer
	probe        time.Time // nothing is called before this while the cloud is away
}

type waiting struct {
	send  func(*outbox.Box)
	after time.Time
	again bool
}

func newQueue(token uint64, rate float64) queue {
	return queue{budget: outbox.NewLimiter(rate*againShare, max(burst, time.Duration(float64(time.Second)/(rate*againShare)))),
		rng: rand.New(rand.NewPCG(token, 1))}
}

// add puts a new call into the queue: one that frees machines before all others.
func (q *queue) add(urgent bool, send func(*outbox.Box)) {
	if urgent {
		q.urgent = append([]waiting{{send: send}}, q.urgent...)
		return
	}
	q.list = append(q.list, waiting{send: send})
}

// again puts a call back that has failed so many times before.
func (q *queue) again(now time.Time, urgent bool, tries int, send func(*outbox.Box)) {
	w := waiting{send, now.Add(q.jitter(min(soonest<<min(tries, 6), latest))), true}
	if urgent {
		q.urgent = append(q.urgent, w)
		return
	}
	q.list = append(q.list, w)
}

// jitter is between half and one and a half of a wait.
func (q *queue) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(q.rng.Int64N(int64(d)))
}

// next takes the call that goes now, if any does.
func (q *queue) next(now time.Time) func(*outbox.Box) {
	for _, list := range []*[]waiting{&q.urgent, &q.list} {
		for i, w := range *list {
			if now.Before(w.after) || w.again && q.budget.Available(now) == 0 {
				continue
			}
			if w.again {
				q.budget.Take(1)
			}
			*list = append((*list)[:i:i], (*list)[i+1:]...)
			return w.send
		}
	}
	return nil
}

// went is told of every call: of a cloud that is away one at a time finds out whether it is back.
func (q *queue) went(now time.Time) {
	if q.away() {
		q.probe = now.Add(q.jitter(probing))
	}
}

// heard takes in what came of a call.
func (q *queue) heard(now time.Time, r outbox.Result) {
	if !r.Unknown() {
		q.failed = 0
		return
	}
	if q.failed++; q.failed >= tripped {
		q.probe = now.Add(q.jitter(probing))
	}
}

// away reports that the cloud has not answered for a while.
func (q *queue) away() bool { return q.failed >= tripped }

// closed reports that nothing may be called now.
func (q *queue) closed(now time.Time) bool { return q.away() && now.Before(q.probe) }

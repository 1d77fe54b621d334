package cloud

import (
	"math/rand/v2"
	"time"

	"gullrudder/internal/wire/client"
)

const (
	// retryShare is how much of the cloud's rate may go into calls that are repeated, so that these
	// never starve the others.
	retryShare = 0.5
	// minRetryDelay and latest bound the wait before a call is repeated.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// breakerThreshold is after how many calls without an answer in a row the cloud counts as away: then one
	// call at a time finds out whether it is back.
	breakerThreshold = 5
	// probeInterval is how often that is.
	probeInterval = time.Second
)

// callQueue is the calls that wait for the cloud's rate. What frees machines goes before what takes more;
// what is repeated waits longer each time, not in step with others, and has a budget of its own. A
// call that fails holds up no other call: once a rental in a zone that did not answer paused them all.
type callQueue struct {
	urgent, ordinary []queuedCall
	retryBudget      *client.RateLimiter
	rng              *rand.Rand
	unansweredInRow  int       // calls in a row that had no answer
	nextProbe        time.Time // nothing is called before this while the cloud is away
}

type queuedCall struct {
	send      func(*client.Outbox)
	notBefore time.Time
	isRetry   bool
}

func newCallQueue(fencingToken uint64, callsPerSecond float64) callQueue {
	return callQueue{
		retryBudget: client.NewRateLimiter(
			callsPerSecond*retryShare,
			max(rateBurst, time.Duration(float64(time.Second)/(callsPerSecond*retryShare))),
		),
		rng: rand.New(rand.NewPCG(fencingToken, 1)),
	}
}

// add puts a new call into the queue: one that frees machines before all others.
func (q *callQueue) add(urgent bool, send func(*client.Outbox)) {
	if urgent {
		q.urgent = append([]queuedCall{{send: send}}, q.urgent...)
		return
	}
	q.ordinary = append(q.ordinary, queuedCall{send: send})
}

// retry puts a call back that has failed so many times before.
func (q *callQueue) retry(now time.Time, urgent bool, retries int, send func(*client.Outbox)) {
	w := queuedCall{send, now.Add(q.jitter(min(minRetryDelay<<min(retries, 6), maxRetryDelay))), true}
	if urgent {
		q.urgent = append(q.urgent, w)
		return
	}
	q.ordinary = append(q.ordinary, w)
}

// jitter is between half and one and a half of a wait.
func (q *callQueue) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(q.rng.Int64N(int64(d)))
}

// next takes the call that goes now, if any does.
func (q *callQueue) next(now time.Time) func(*client.Outbox) {
	for _, list := range []*[]queuedCall{&q.urgent, &q.ordinary} {
		for i, w := range *list {
			if now.Before(w.notBefore) || w.isRetry && q.retryBudget.Available(now) == 0 {
				continue
			}
			if w.isRetry {
				q.retryBudget.Take(1)
			}
			*list = append((*list)[:i:i], (*list)[i+1:]...)
			return w.send
		}
	}
	return nil
}

// callSent is told of every call: of a cloud that is away one at a time finds out whether it is back.
func (q *callQueue) callSent(now time.Time) {
	if q.isUnavailable() {
		q.nextProbe = now.Add(q.jitter(probeInterval))
	}
}

// observeResult takes in what came of a call.
func (q *callQueue) observeResult(now time.Time, r client.Result) {
	if !r.IsUncertain() {
		q.unansweredInRow = 0
		return
	}
	if q.unansweredInRow++; q.unansweredInRow >= breakerThreshold {
		q.nextProbe = now.Add(q.jitter(probeInterval))
	}
}

// isUnavailable reports that the cloud has not answered for a while.
func (q *callQueue) isUnavailable() bool { return q.unansweredInRow >= breakerThreshold }

// isPaused reports that nothing may be called now.
func (q *callQueue) isPaused(now time.Time) bool { return q.isUnavailable() && now.Before(q.nextProbe) }

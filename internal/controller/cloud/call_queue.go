package cloud

import (
	"math/rand/v2"
	"time"

	"gullrudder/internal/wire/client"
)

const (
	// retryShare is the share of the cloud's call rate that retries may use, so that they never starve new calls.
	retryShare = 0.5
	// minRetryDelay and maxRetryDelay bound the wait before a retry, without its jitter.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// maxDelayDoublings keeps the shift of minRetryDelay small; maxRetryDelay is reached before.
	maxDelayDoublings = 6
	// breakerThreshold is the number of consecutive calls without an answer after which the cloud counts as unavailable.
	breakerThreshold = 5
	// probeInterval is the mean time between the calls to a cloud that is unavailable.
	probeInterval = time.Second
)

// callPriority says which calls go first.
type callPriority int

const (
	ordinaryCall callPriority = iota
	urgentCall                // it frees capacity
)

// sendCall adds a queued call to an outbox.
type sendCall func(*client.Outbox)

// callQueue holds the calls that wait for the cloud's call rate. Urgent calls go first. A retry waits with exponential backoff
// and jitter, and retries share a rate of their own. A failed call delays no other call. When the cloud as a whole does not
// answer, a circuit breaker lets through one call per probeInterval.
type callQueue struct {
	urgent, ordinary []queuedCall
	retryBudget      *client.RateLimiter
	rng              *rand.Rand
	unansweredInRow  int       // consecutive calls without an answer
	nextProbe        time.Time // no call goes out before this while the cloud is unavailable
}

type queuedCall struct {
	send      sendCall
	notBefore time.Time
	isRetry   bool
}

func newCallQueue(fencingToken uint64, callsPerSecond float64) callQueue {
	retriesPerSecond := callsPerSecond * retryShare
	timeOfOneRetry := time.Duration(float64(time.Second) / retriesPerSecond)
	return callQueue{
		retryBudget: client.NewRateLimiter(retriesPerSecond, max(rateBurst, timeOfOneRetry)),
		rng:         rand.New(rand.NewPCG(fencingToken, 1)),
	}
}

// add queues a new call. An urgent one goes before all others.
func (q *callQueue) add(priority callPriority, send sendCall) {
	if priority == urgentCall {
		q.urgent = append([]queuedCall{{send: send}}, q.urgent...)
		return
	}
	q.ordinary = append(q.ordinary, queuedCall{send: send})
}

// retry queues a call again that has been retried so many times before.
func (q *callQueue) retry(now time.Time, priority callPriority, retries int, send sendCall) {
	delay := min(minRetryDelay<<min(retries, maxDelayDoublings), maxRetryDelay)
	call := queuedCall{send: send, notBefore: now.Add(q.jitter(delay)), isRetry: true}
	if priority == urgentCall {
		q.urgent = append(q.urgent, call)
		return
	}
	q.ordinary = append(q.ordinary, call)
}

// jitter returns a random wait between half and one and a half of the given one.
func (q *callQueue) jitter(wait time.Duration) time.Duration {
	return wait/2 + time.Duration(q.rng.Int64N(int64(wait)))
}

// next takes the call that goes now out of the queue. It returns nil if none does.
func (q *callQueue) next(now time.Time) sendCall {
	for _, calls := range []*[]queuedCall{&q.urgent, &q.ordinary} {
		for i, call := range *calls {
			if now.Before(call.notBefore) || call.isRetry && q.retryBudget.Available(now) == 0 {
				continue
			}
			if call.isRetry {
				q.retryBudget.Take(1)
			}
			*calls = append((*calls)[:i:i], (*calls)[i+1:]...)
			return call.send
		}
	}
	return nil
}

// callSent records that a call goes out. To a cloud that is unavailable the next one follows a probe interval later.
func (q *callQueue) callSent(now time.Time) {
	if q.isUnavailable() {
		q.nextProbe = now.Add(q.jitter(probeInterval))
	}
}

// observeResult records the outcome of a call. Any answer closes the circuit breaker.
func (q *callQueue) observeResult(now time.Time, result client.Result) {
	if !result.IsUncertain() {
		q.unansweredInRow = 0
		return
	}
	if q.unansweredInRow++; q.unansweredInRow >= breakerThreshold {
		q.nextProbe = now.Add(q.jitter(probeInterval))
	}
}

// isUnavailable reports whether the circuit breaker is open: the cloud has not answered the last calls.
func (q *callQueue) isUnavailable() bool { return q.unansweredInRow >= breakerThreshold }

// isPaused reports whether the circuit breaker forbids a call now.
func (q *callQueue) isPaused(now time.Time) bool { return q.isUnavailable() && now.Before(q.nextProbe) }

package cloud

import (
	"math/rand/v2"
	"time"

	"gullrudder/internal/wire/client"
)

const (
	// retryShare is the share of the cloud's call rate that retries may use. It ensures that retries never starve new calls.
	retryShare = 0.5
	// minRetryDelay and maxRetryDelay bound the delay before a retry, without its jitter.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// maxDelayDoublings limits the shift of minRetryDelay, which would otherwise overflow after many retries. maxRetryDelay is
	// reached before.
	maxDelayDoublings = 6
	// breakerThreshold is the number of consecutive calls without a response after which the cloud counts as unavailable.
	breakerThreshold = 5
	// probeInterval is the mean time between calls to an unavailable cloud.
	probeInterval = time.Second
)

// callPriority determines which calls are sent first.
type callPriority int

const (
	ordinaryCall callPriority = iota
	urgentCall                // for calls that free capacity
)

// sendCall adds a queued call to an outbox.
type sendCall func(*client.Outbox)

// callQueue holds the calls that wait for the cloud's call rate. Urgent calls go first. A retry waits with exponential backoff
// and jitter. Retries have a rate limit of their own, and a failed call delays no other call.
//
// If the cloud as a whole does not respond, a circuit breaker lets through one call per probeInterval.
type callQueue struct {
	urgent, ordinary     []queuedCall
	retryBudget          *client.RateLimiter
	rng                  *rand.Rand
	callsWithoutResponse int       // consecutive calls without a response
	nextProbe            time.Time // no call is sent before this time while the cloud is unavailable
}

type queuedCall struct {
	send      sendCall
	notBefore time.Time
	isRetry   bool
}

func newCallQueue(fencingToken uint64, callsPerSecond float64) callQueue {
	retriesPerSecond := callsPerSecond * retryShare
	retryInterval := time.Duration(float64(time.Second) / retriesPerSecond)
	return callQueue{
		retryBudget: client.NewRateLimiter(retriesPerSecond, max(rateBurst, retryInterval)),
		rng:         rand.New(rand.NewPCG(fencingToken, 1)),
	}
}

// add queues a new call. An urgent call goes before all others.
func (q *callQueue) add(priority callPriority, send sendCall) {
	if priority == urgentCall {
		q.urgent = append([]queuedCall{{send: send}}, q.urgent...)
		return
	}
	q.ordinary = append(q.ordinary, queuedCall{send: send})
}

// retry queues a call again. retries is the number of its earlier retries.
func (q *callQueue) retry(now time.Time, priority callPriority, retries int, send sendCall) {
	delay := min(minRetryDelay<<min(retries, maxDelayDoublings), maxRetryDelay)
	call := queuedCall{send: send, notBefore: now.Add(q.jitter(delay)), isRetry: true}
	if priority == urgentCall {
		q.urgent = append(q.urgent, call)
		return
	}
	q.ordinary = append(q.ordinary, call)
}

// jitter returns a random duration between 0.5 and 1.5 times wait.
func (q *callQueue) jitter(wait time.Duration) time.Duration {
	return wait/2 + time.Duration(q.rng.Int64N(int64(wait)))
}

// next removes and returns the next call that may be sent now, or nil if there is none.
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

// recordSent records that a call is sent. If the cloud is unavailable, the next call waits for about probeInterval.
func (q *callQueue) recordSent(now time.Time) {
	if q.isUnavailable() {
		q.nextProbe = now.Add(q.jitter(probeInterval))
	}
}

// observeResult records the result of a call. Any response closes the circuit breaker.
func (q *callQueue) observeResult(now time.Time, result client.Result) {
	if !result.IsUncertain() {
		q.callsWithoutResponse = 0
		return
	}
	if q.callsWithoutResponse++; q.callsWithoutResponse >= breakerThreshold {
		q.nextProbe = now.Add(q.jitter(probeInterval))
	}
}

// isUnavailable reports whether the circuit breaker is open: the last calls had no response.
func (q *callQueue) isUnavailable() bool { return q.callsWithoutResponse >= breakerThreshold }

// isPaused reports whether the circuit breaker forbids calls now.
func (q *callQueue) isPaused(now time.Time) bool { return q.isUnavailable() && now.Before(q.nextProbe) }

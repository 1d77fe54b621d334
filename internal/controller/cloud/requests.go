package cloud

import (
	"fmt"
	"net/http"
	"time"

	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
)

const (
	// maxUnresolvedPerZone is the number of requests of a zone whose outcome may be unknown. At that number nothing more is
	// requested in the zone. The retries of these requests show when the zone has recovered.
	maxUnresolvedPerZone = 2
	// minRefusalBackoff and maxRefusalBackoff bound the delay after a refused request. The delay stays short because capacity that
	// the cloud reclaims in a wave is soon offered again.
	minRefusalBackoff = 3 * time.Second
	maxRefusalBackoff = 12 * time.Second
)

// requests is the state of the requests for instances.
type requests struct {
	fencingToken     uint64
	count            int // requests of this leadership, used for their names
	byKind           map[InstanceKind]*kindRequests
	unresolvedByZone map[string]int // requests that had no definite outcome and are being retried
	resultReceived   bool           // a request had a result since the last call of TakeResultReceived
}

// kindRequests is the state of the requests for one kind of instances.
type kindRequests struct {
	pending   int       // requests without a definite outcome
	notBefore time.Time // end of the backoff
	backoff   time.Duration
}

func newRequests(fencingToken uint64) requests {
	return requests{fencingToken: fencingToken, byKind: map[InstanceKind]*kindRequests{}, unresolvedByZone: map[string]int{}}
}

func (r *requests) ofKind(kind InstanceKind) *kindRequests {
	state := r.byKind[kind]
	if state == nil {
		state = &kindRequests{}
		r.byKind[kind] = state
	}
	return state
}

// nextName returns a name that no other request of any leader has.
func (r *requests) nextName() string {
	r.count++
	return fmt.Sprintf("r-%d-%d", r.fencingToken, r.count)
}

// increaseBackoff doubles the delay before the next request of the kind, within its bounds.
func (k *kindRequests) increaseBackoff() {
	k.backoff = min(max(2*k.backoff, minRefusalBackoff), maxRefusalBackoff)
}

// CanRequest reports whether instances of the kind may be requested now: no request is pending, its backoff is over, and fewer
// than maxUnresolvedPerZone requests in its zone are unresolved.
func (c *Client) CanRequest(now time.Time, kind InstanceKind) bool {
	state := c.requests.ofKind(kind)
	return state.pending == 0 && !now.Before(state.notBefore) && c.requests.unresolvedByZone[kind.Zone] < maxUnresolvedPerZone
}

// HasPendingRequest reports whether a request for instances of the kind has no definite outcome yet.
func (c *Client) HasPendingRequest(kind InstanceKind) bool {
	return c.requests.ofKind(kind).pending > 0
}

// MaxRequestable returns how many instances of a kind can be requested at a time. It is the number that the cloud takes in one
// second, and at least that of one request.
func (c *Client) MaxRequestable() int { return maxInstancesPerRequest * max(int(c.callsPerSecond), 1) }

// TakeResultReceived reports whether a request for instances had a result, also a failure, since the previous call.
func (c *Client) TakeResultReceived() bool {
	received := c.requests.resultReceived
	c.requests.resultReceived = false
	return received
}

// RequestInstances queues requests for count instances of a kind. A request without a definite outcome is retried under the same
// name. The name contains the fencing token, so no other leader ever uses it.
func (c *Client) RequestInstances(kind InstanceKind, count int) {
	for ; count > 0; count -= maxInstancesPerRequest {
		request := createRequest{kind: kind, count: min(count, maxInstancesPerRequest)}
		c.requests.ofKind(kind).pending++
		request.name = c.requests.nextName()
		c.log.Info("instances requested", logkeys.Request, request.name, logkeys.InstanceType, kind.Type, logkeys.Zone, kind.Zone,
			logkeys.Spot, kind.Spot, logkeys.Count, request.count)
		c.queue.add(ordinaryCall, func(outbox *client.Outbox) { c.sendRequest(outbox, request, 0) })
	}
}

func (c *Client) sendRequest(outbox *client.Outbox, request createRequest, retries int) {
	c.send(outbox, client.Call{
		Method: http.MethodPost,
		Path:   "/hosts",
		Body:   request.body(),
		Done: func(now time.Time, result client.Result) {
			c.receiveRequestResult(now, request, retries, result)
		},
	})
}

func (c *Client) receiveRequestResult(now time.Time, request createRequest, retries int, result client.Result) {
	var response createResponse
	if len(result.Body) > 0 && codec.Unmarshal(result.Body, &response) != nil {
		response.Error = errorUnreadable
	}
	c.requests.resultReceived = true
	if retries > 0 {
		c.requests.unresolvedByZone[request.kind.Zone]--
	}
	switch {
	case result.Status == http.StatusOK && response.Error == "":
		c.addRequested(now, request, response.IDs)
	case result.Status == http.StatusServiceUnavailable && response.Error == errorNoCapacity, result.Status == http.StatusBadRequest:
		state := c.requests.ofKind(request.kind)
		state.pending--
		state.increaseBackoff()
		state.notBefore = now.Add(c.queue.jitter(state.backoff))
		c.log.Info("instance request refused", logkeys.Request, request.name, logkeys.Status, result.Status,
			logkeys.Err, response.Error, logkeys.Duration, state.backoff)
	default:
		c.requests.unresolvedByZone[request.kind.Zone]++
		c.queue.retry(now, ordinaryCall, retries, func(outbox *client.Outbox) { c.sendRequest(outbox, request, retries+1) })
	}
}

// addRequested adds the instances that the cloud created for a request. If there are fewer than requested, the cloud has no more,
// and the backoff increases.
func (c *Client) addRequested(now time.Time, request createRequest, ids []string) {
	state := c.requests.ofKind(request.kind)
	state.pending--
	for _, id := range ids {
		if c.Instances[id] == nil {
			c.Instances[id] = &Instance{
				ID: id, Kind: request.kind, State: StateStarting, RequestedAt: now, RequestedByThisLeader: true,
			}
		}
	}
	if len(ids) < request.count {
		state.increaseBackoff()
		state.notBefore = now.Add(state.backoff)
	} else {
		state.backoff = 0
	}
	c.log.Info("instance request fulfilled", logkeys.Request, request.name, logkeys.Count, request.count, logkeys.Created, len(ids))
}

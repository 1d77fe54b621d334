// Package cloud deals with the cloud: which types there are, which machines we hold,
// renting more and giving them back.
package cloud

import (
	"fmt"
	"log/slog"
	"net/url"
	"sort"
	"strconv"
	"time"

	"gullrudder/internal/controller/cloud/boottime"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
)

// MachineType is a machine type.
type MachineType struct {
	Name             string   `msgpack:"name"`
	CPUs             float64  `msgpack:"cpus"`
	GPUs             float64  `msgpack:"cards"`
	MemoryGB         float64  `msgpack:"mem_gb"`
	HourlyPrice      float64  `msgpack:"hourly"`
	SpotHourlyPrice  float64  `msgpack:"low_price"`
	BootSeconds      float64  `msgpack:"ready_s"`
	ImageCacheGB     float64  `msgpack:"local_gb"`       // for images
	FetchGBPerSecond float64  `msgpack:"fetch_gb_per_s"` // of images
	Zones            []string `msgpack:"harbours"`
}

// StatedBootTime is the usual time from the request until the worker reports.
func (t *MachineType) StatedBootTime() time.Duration {
	return time.Duration(t.BootSeconds * float64(time.Second))
}

// InstanceKind is what is rented: a type in a zone, ordinary or spot.
type InstanceKind struct {
	Type, Zone string
	Spot       bool
}

// InstanceKindOf is the kind of such machines.
func InstanceKindOf(t *MachineType, zone string, spot bool) InstanceKind {
	return InstanceKind{Type: t.Name, Zone: zone, Spot: spot}
}

// Instance is a machine as the cloud knows it.
type Instance struct {
	ID, Addr              string
	Kind                  InstanceKind
	RequestedAt           time.Time // about when it was requested
	State                 string    // starting, running or failed, as last listed
	LastListed            time.Time // when it was last in a list
	Deleting              bool      // a deletion is on its way
	HasReported           bool      // its worker has reported
	RequestedByThisLeader bool      // this leader has rented it: when, is known
}

// States in the list.
const (
	StateStarting = "starting"
	StateRunning  = "running"
	StateFailed   = "failed"
)

const (
	maxInstancesPerRequest  = 50 // machines of one rental, as the cloud's protocol has it; so are the others
	maxInstancesPerDeletion = 100
	listPageSize            = 500
)

// rateBurst is how much of its rate the cloud allows at once, as its protocol has it.
const rateBurst = 2 * time.Second

const (
	// maxUnresolvedPerZone is how many rentals of a zone may be without an outcome; beyond it nothing more is
	// asked for there, and what has none is the probe.
	maxUnresolvedPerZone = 2
	// maxRefusedDeletions is after how many refusals a deletion of many is halved.
	maxRefusedDeletions = 2
)

type requestState struct {
	notBefore time.Time // nothing is asked for before this
	backoff   time.Duration
	pending   int // requests that are not answered yet
}

// Client is the leader's dealings with the cloud.
type Client struct {
	fencingToken   uint64
	requestCount   int
	log            *slog.Logger
	callsPerSecond float64
	limiter        *client.RateLimiter
	listLag        time.Duration
	closed         *int

	MachineTypes       map[string]*MachineType
	Instances          map[string]*Instance
	ConfirmedDeletions []string // machines whose deletion the cloud has confirmed, to be taken by the owner
	requestStates      map[InstanceKind]*requestState
	unresolvedByZone   map[string]int // by zone, rentals whose outcome is not known yet
	nextTypesRead      time.Time
	nextList           time.Time
	isListing          bool
	isReadingTypes     bool
	CompletedLists     int  // complete lists read
	requestAnswered    bool // a rental has been answered
	queue              callQueue
	pausedUntil        time.Time
	bootTimes          *boottime.Estimator
	listedIDs          map[string]bool
	deletedIDs         map[string]bool // confirmed deletions; lists that lag still show them
}

// New makes the dealings of a new leadership.
func New(fencingToken uint64, callsPerSecond float64, listLag time.Duration, log *slog.Logger) *Client {
	return &Client{
		fencingToken:     fencingToken,
		log:              log,
		callsPerSecond:   callsPerSecond,
		limiter:          client.NewRateLimiter(callsPerSecond*0.95, rateBurst),
		listLag:          listLag,
		closed:           new(int),
		MachineTypes:     map[string]*MachineType{},
		Instances:        map[string]*Instance{},
		requestStates:    map[InstanceKind]*requestState{},
		unresolvedByZone: map[string]int{},
		queue:            newCallQueue(fencingToken, callsPerSecond),
		bootTimes:        boottime.New(),
		deletedIDs:       map[string]bool{},
	}
}

// Close makes answers that are still to come harmless.
func (c *Client) Close() { *c.closed = 1 }

func (c *Client) send(box *client.Outbox, call client.Call) {
	done, epoch := call.Done, c.closed
	call.Destination, call.Timeout = client.CloudAPI, 5*time.Second
	call.Done = func(now time.Time, r client.Result) {
		if *epoch == 0 {
			if r.Status == 429 || r.Status == 503 && len(r.Body) == 0 {
				c.pausedUntil = now.Add(max(r.RetryAfter, 500*time.Millisecond))
			}
			c.queue.observeResult(now, r)
			done(now, r)
		}
	}
	box.Add(call)
}

// Tick reads types and lists, and sends what waits for the cloud's rate.
func (c *Client) Tick(now time.Time, box *client.Outbox) {
	if now.Before(c.pausedUntil) || c.queue.isPaused(now) {
		return
	}
	if c.limiter.Available(now) > 0 && !c.isReadingTypes && !now.Before(c.nextTypesRead) {
		c.spendCall(now)
		c.readMachineTypes(now, box)
	}
	for c.limiter.Available(now) > 0 && !c.queue.isPaused(now) {
		send := c.queue.next(now)
		if send == nil {
			break
		}
		c.spendCall(now)
		send(box)
	}
	if c.limiter.Available(now) > 0 && !c.queue.isPaused(now) && !c.isListing && !now.Before(c.nextList) {
		c.spendCall(now)
		c.listedIDs = map[string]bool{}
		c.listInstances(now, box, "")
	}
}

// spendCall uses up a call.
func (c *Client) spendCall(now time.Time) {
	c.limiter.Take(1)
	c.queue.callSent(now)
}

func (c *Client) readMachineTypes(now time.Time, box *client.Outbox) {
	c.isReadingTypes = true
	c.send(box, client.Call{Method: "GET", Path: "/flavors", Done: func(now time.Time, r client.Result) {
		c.isReadingTypes = false
		var a struct {
			Types []*MachineType `msgpack:"keels"`
		}
		if r.Status != 200 || codec.Unmarshal(r.Body, &a) != nil || len(a.Types) == 0 {
			c.nextTypesRead = now.Add(time.Second)
			return
		}
		c.nextTypesRead = now.Add(time.Minute)
		c.MachineTypes = map[string]*MachineType{}
		for _, t := range a.Types {
			c.MachineTypes[t.Name] = t
		}
	}})
}

func (c *Client) listInstances(now time.Time, box *client.Outbox, from string) {
	c.isListing = true
	sent := now
	q := url.Values{"most": {strconv.Itoa(listPageSize)}}
	if from != "" {
		q.Set("from", from)
	}
	c.send(box, client.Call{Method: "GET", Path: "/hosts?" + q.Encode(), Done: func(now time.Time, r client.Result) {
		c.isListing = false
		var a struct {
			Hosts []struct {
				ID    string  `msgpack:"id"`
				Addr  string  `msgpack:"addr"`
				Type  string  `msgpack:"keel"`
				Zone  string  `msgpack:"harbour"`
				Spot  bool    `msgpack:"driftwood"`
				State string  `msgpack:"trim"`
				Age   float64 `msgpack:"age_s"`
			} `msgpack:"oarlocks"`
			More bool `msgpack:"has_next"`
		}
		if r.Status != 200 || codec.Unmarshal(r.Body, &a) != nil {
			c.nextList = now.Add(time.Second)
			return
		}
		for _, x := range a.Hosts {
			from = x.ID
			c.listedIDs[x.ID] = true
			if c.deletedIDs[x.ID] {
				continue
			}
			h := c.Instances[x.ID]
			if h == nil {
				h = &Instance{ID: x.ID, RequestedAt: now.Add(-time.Duration(x.Age * float64(time.Second)))}
				c.Instances[x.ID] = h
			}
			h.Addr, h.Kind, h.LastListed = x.Addr, InstanceKind{x.Type, x.Zone, x.Spot}, now
			// A list may be older than the one before.
			if h.State != StateFailed && (h.State != StateRunning || x.State != StateStarting) {
				h.State = x.State
			}
		}
		if a.More && len(a.Hosts) > 0 {
			c.isListing = true
			c.queue.add(false, func(box *client.Outbox) { c.listInstances(sent, box, from) })
			return
		}
		c.CompletedLists++
		c.nextList = now.Add(max(2*time.Second, c.listLag/2))
		c.dropUnlisted(now)
	}})
}

// dropUnlisted drops machines that the cloud does not list any more: taken back or deleted.
// That they are gone for certain is for others to find out; here they only stop to count.
func (c *Client) dropUnlisted(now time.Time) {
	for id, h := range c.Instances {
		if c.listedIDs[id] {
			continue
		}
		quiet := now.Sub(h.LastListed)
		if h.LastListed.IsZero() {
			quiet = now.Sub(h.RequestedAt)
		}
		if quiet > 3*c.listLag+5*time.Second {
			c.log.Info("a machine is not listed any more", "machine", id)
			delete(c.Instances, id)
		}
	}
}

// IsDeleted reports whether the cloud has confirmed that the machine is gone.
func (c *Client) IsDeleted(id string) bool { return c.deletedIDs[id] }

// ObserveHeartbeat takes in that a machine's worker has reported.
func (c *Client) ObserveHeartbeat(now time.Time, id, addr string, kind InstanceKind) {
	h := c.Instances[id]
	if h == nil {
		h = &Instance{ID: id, Addr: addr, RequestedAt: now, Kind: kind, State: StateRunning}
		c.Instances[id] = h
	}
	if t := c.MachineTypes[kind.Type]; t != nil && !h.HasReported && h.RequestedByThisLeader {
		c.bootTimes.ObserveBoot(kind.Type, now.Sub(h.RequestedAt), t.StatedBootTime())
	}
	h.HasReported, h.Kind = true, kind
	h.LastListed = now
}

// ObserveAwaited takes in which machines have not come up, by type and age.
func (c *Client) ObserveAwaited(ages map[string][]time.Duration) {
	c.bootTimes.ObserveAwaited(ages, func(name string) time.Duration {
		if t := c.MachineTypes[name]; t != nil {
			return t.StatedBootTime()
		}
		return 0
	})
}

// ExpectedBootTime is how long a machine of the type may be expected to take until it reports, by what was seen of late.
func (c *Client) ExpectedBootTime(t *MachineType) time.Duration {
	return c.bootTimes.Expected(t.Name, t.StatedBootTime())
}

// RemainingBootTime is how long one of that age may still be expected to take.
func (c *Client) RemainingBootTime(t *MachineType, age time.Duration) time.Duration {
	return c.bootTimes.Remaining(t.Name, age, t.StatedBootTime())
}

// BootTimeout is after how long one that has not reported is taken for one that never will.
func (c *Client) BootTimeout(t *MachineType) time.Duration {
	return c.bootTimes.Timeout(t.Name, t.StatedBootTime())
}

func (c *Client) requestStateOf(k InstanceKind) *requestState {
	s := c.requestStates[k]
	if s == nil {
		s = &requestState{}
		c.requestStates[k] = s
	}
	return s
}

// CanRequest reports whether it makes sense to ask for machines of the kind now.
func (c *Client) CanRequest(now time.Time, k InstanceKind) bool {
	s := c.requestStateOf(k)
	return s.pending == 0 && !now.Before(s.notBefore) && c.unresolvedByZone[k.Zone] < maxUnresolvedPerZone
}

// HasPendingRequest reports whether a request for machines of the kind is not answered yet.
func (c *Client) HasPendingRequest(k InstanceKind) bool { return c.requestStateOf(k).pending > 0 }

// MaxRequestable is how many machines of a kind can be asked for at a time: as many requests as
// the cloud takes in a second, lists and deletions aside, and one at least.
func (c *Client) MaxRequestable() int { return maxInstancesPerRequest * max(int(c.callsPerSecond), 1) }

// RequestInstances asks for count machines of a kind. A request whose answer is lost is repeated under
// the same name until it is answered; the name derives from the token, so no other
// leader ever uses it.
func (c *Client) RequestInstances(now time.Time, k InstanceKind, count int) {
	for ; count > 0; count -= maxInstancesPerRequest {
		n := min(count, maxInstancesPerRequest)
		c.requestStateOf(k).pending++
		c.requestCount++
		name := fmt.Sprintf("r-%d-%d", c.fencingToken, c.requestCount)
		c.log.Info("renting", "request", name, "type", k.Type, "zone", k.Zone, "spot", k.Spot, "count", n)
		c.queue.add(false, func(box *client.Outbox) { c.sendRequest(box, k, n, name, 0) })
	}
}

func (c *Client) sendRequest(box *client.Outbox, kind InstanceKind, count int, name string, retries int) {
	c.send(box, client.Call{
		Method: "POST", Path: "/hosts",
		Body: map[string]any{"charter": name, "keel": kind.Type, "harbour": kind.Zone, "driftwood": kind.Spot, "how_many": count},
		Done: func(now time.Time, r client.Result) {
			s := c.requestStateOf(kind)
			var a struct {
				Hosts []string `msgpack:"oarlocks"`
				Error string   `msgpack:"error"`
			}
			c.requestAnswered = true
			if retries > 0 {
				c.unresolvedByZone[kind.Zone]--
			}
			if len(r.Body) > 0 && codec.Unmarshal(r.Body, &a) != nil {
				a.Error = "unreadable"
			}
			switch {
			case r.Status == 200 && a.Error == "":
				s.pending--
				for _, id := range a.Hosts {
					if c.Instances[id] == nil {
						c.Instances[id] = &Instance{ID: id, Kind: kind, RequestedAt: now, State: StateStarting, RequestedByThisLeader: true}
					}
				}
				if len(a.Hosts) < count {
					s.backoff = nextBackoff(s.backoff)
					s.notBefore = now.Add(s.backoff)
				} else {
					s.backoff = 0
				}
				c.log.Info("rented", "request", name, "asked", count, "got", len(a.Hosts))
			case r.Status == 503 && a.Error == "no capacity", r.Status == 400:
				s.pending--
				s.backoff = nextBackoff(s.backoff)
				s.notBefore = now.Add(c.queue.jitter(s.backoff))
				c.log.Info("rental refused", "request", name, "status", r.Status, "error", a.Error, "again", s.backoff)
			default:
				c.unresolvedByZone[kind.Zone]++
				c.queue.retry(now, false, retries, func(box *client.Outbox) { c.sendRequest(box, kind, count, name, retries+1) })
			}
		},
	})
}

// nextBackoff grows with every refusal, but stays short: what the cloud takes back in a wave
// it soon has again.
func nextBackoff(d time.Duration) time.Duration {
	return min(max(2*d, 3*time.Second), 12*time.Second)
}

// TakeRequestAnswered reports whether a rental has been answered since it was last asked.
func (c *Client) TakeRequestAnswered() bool {
	s := c.requestAnswered
	c.requestAnswered = false
	return s
}

// Terminate gives machines back.
func (c *Client) Terminate(now time.Time, ids []string, why string) {
	sort.Strings(ids)
	for len(ids) > 0 {
		part := ids[:min(len(ids), maxInstancesPerDeletion)]
		ids = ids[len(part):]
		for _, id := range part {
			if h := c.Instances[id]; h != nil {
				h.Deleting = true
			}
			c.log.Info("returning a machine", "machine", id, "why", why)
		}
		// A machine that is given back frees places elsewhere: first in the queue.
		c.queue.add(true, func(box *client.Outbox) { c.sendDeletion(box, part, 0) })
	}
}

func (c *Client) sendDeletion(box *client.Outbox, ids []string, retries int) {
	c.send(box, client.Call{
		Method: "POST", Path: "/hosts/delete", Body: map[string]any{"oarlocks": ids},
		Done: func(now time.Time, r client.Result) {
			if r.Status != 200 {
				c.retryDeletion(now, ids, retries, r)
				return
			}
			for _, id := range ids {
				delete(c.Instances, id)
				c.deletedIDs[id] = true
			}
			c.ConfirmedDeletions = append(c.ConfirmedDeletions, ids...)
		},
	})
}

// retryDeletion repeats a deletion. What the cloud refuses as a whole, time and again, is halved: one
// machine that it cannot delete once kept ninety-nine others from being given back.
func (c *Client) retryDeletion(now time.Time, ids []string, retries int, r client.Result) {
	refused := r.Status >= 400 && r.Status != 429 && r.Status != 503
	if refused && retries >= maxRefusedDeletions && len(ids) > 1 {
		c.log.Info("a deletion is halved", "machines", len(ids), "status", r.Status)
		for _, part := range [][]string{ids[:len(ids)/2], ids[len(ids)/2:]} {
			c.queue.retry(now, true, retries, func(box *client.Outbox) { c.sendDeletion(box, part, retries) })
		}
		return
	}
	c.queue.retry(now, true, retries, func(box *client.Outbox) { c.sendDeletion(box, ids, retries+1) })
}

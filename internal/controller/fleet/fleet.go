// Package fleet deals with the cloud: which types there are, which machines we hold,
// renting more and giving them back.
package fleet

import (
	"fmt"
	"log/slog"
	"net/url"
	"sort"
	"strconv"
	"time"

	"gullrudder/internal/controller/fleet/boots"
	"gullrudder/internal/wire/outbox"
	"gullrudder/internal/wire/packed"
)

// Type is a machine type.
type Type struct {
	Name      string   `msgpack:"name"`
	CPUs      float64  `msgpack:"cpus"`
	Cards     float64  `msgpack:"cards"`
	Mem       float64  `msgpack:"mem_gb"`
	Price     float64  `msgpack:"hourly"`
	SpotPrice float64  `msgpack:"low_price"`
	BootS     float64  `msgpack:"ready_s"`
	CacheGB   float64  `msgpack:"local_gb"`       // for images
	FetchRate float64  `msgpack:"fetch_gb_per_s"` // of images
	Zones     []string `msgpack:"harbours"`
}

// Boot is the usual time from the request until the worker reports.
func (t *Type) Boot() time.Duration { return time.Duration(t.BootS * float64(time.Second)) }

// Kind is what is rented: a type in a zone, ordinary or spot.
type Kind struct {
	Type, Zone string
	Spot       bool
}

// KindOf is the kind of such machines.
func KindOf(t *Type, zone string, spot bool) Kind { return Kind{Type: t.Name, Zone: zone, Spot: spot} }

// Host is a machine as the cloud knows it.
type Host struct {
	ID, Addr string
	Kind     Kind
	Born     time.Time // about when it was requested
	State    string    // starting, running or failed, as last listed
	Listed   time.Time // when it was last in a list
	Deleting bool      // a deletion is on its way
	Up       bool      // its worker has reported
	Ours     bool      // this leader has rented it: when, is known
}

// States in the list.
const (
	Starting = "starting"
	Running  = "running"
	Failed   = "failed"
)

const (
	mostRent   = 50 // machines of one rental, as the cloud's protocol has it; so are the others
	mostDelete = 100
	mostList   = 500
)

// burst is how much of its rate the cloud allows at once, as its protocol has it.
const burst = 2 * time.Second

const (
	// mostTrouble is how many rentals of a zone may be without an outcome; beyond it nothing more is
	// asked for there, and what has none is the probe.
	mostTrouble = 2
	// mostRefused is after how many refusals a deletion of many is halved.
	mostRefused = 2
)

type kindState struct {
	refused time.Time // nothing is asked for before this
	backoff time.Duration
	asking  int // requests that are not answered yet
}

// Cloud is the leader's dealings with the cloud.
type Cloud struct {
	token   uint64
	counter int
	log     *slog.Logger
	rate    float64
	limit   *outbox.Limiter
	lag     time.Duration
	epoch   *int

	Types   map[string]*Type
	Hosts   map[string]*Host
	Gone    []string // machines whose deletion the cloud has confirmed, to be taken by the owner
	kinds   map[Kind]*kindState
	trouble map[string]int // by zone, rentals whose outcome is not known yet
	typesAt time.Time
	listAt  time.Time
	listing bool
	asking  bool
	Lists   int  // complete lists read
	settled bool // a rental has been answered
	queue   queue
	pauseTo time.Time
	boots   *boots.Book
	seen    map[string]bool
	dead    map[string]bool // confirmed deletions; lists that lag still show them
}

// New makes the dealings of a new leadership.
func New(token uint64, rate float64, lag time.Duration, log *slog.Logger) *Cloud {
	return &Cloud{token: token, log: log, rate: rate, limit: outbox.NewLimiter(rate*0.95, burst), lag: lag, epoch: new(int),
		Types: map[string]*Type{}, Hosts: map[string]*Host{}, kinds: map[Kind]*kindState{}, trouble: map[string]int{}, queue: newQueue(token, rate), boots: boots.New(), dead: map[string]bool{}}
}

// Close makes answers that are still to come harmless.
func (c *Cloud) Close() { *c.epoch = 1 }

func (c *Cloud) call(box *outbox.Box, call outbox.Call) {
	done, epoch := call.Done, c.epoch
	call.Service, call.Timeout = outbox.Cloud, 5*time.Second
	call.Done = func(now time.Time, r outbox.Result) {
		if *epoch == 0 {
			if r.Status == 429 || r.Status == 503 && len(r.Body) == 0 {
				c.pauseTo = now.Add(max(r.RetryAfter, 500*time.Millisecond))
			}
			c.queue.heard(now, r)
			done(now, r)
		}
	}
	box.Add(call)
}

// Tick reads types and lists, and sends what waits for the cloud's rate.
func (c *Cloud) Tick(now time.Time, box *outbox.Box) {
	if now.Before(c.pauseTo) || c.queue.closed(now) {
		return
	}
	if c.limit.Available(now) > 0 && !c.asking && !now.Before(c.typesAt) {
		c.take(now)
		c.readTypes(now, box)
	}
	for c.limit.Available(now) > 0 && !c.queue.closed(now) {
		send := c.queue.next(now)
		if send == nil {
			break
		}
		c.take(now)
		send(box)
	}
	if c.limit.Available(now) > 0 && !c.queue.closed(now) && !c.listing && !now.Before(c.listAt) {
		c.take(now)
		c.seen = map[string]bool{}
		c.list(now, box, "")
	}
}

// take uses up a call.
func (c *Cloud) take(now time.Time) {
	c.limit.Take(1)
	c.queue.went(now)
}

func (c *Cloud) readTypes(now time.Time, box *outbox.Box) {
	c.asking = true
	c.call(box, outbox.Call{Method: "GET", Path: "/flavors", Done: func(now time.Time, r outbox.Result) {
		c.asking = false
		var a struct {
			Types []*Type `msgpack:"keels"`
		}
		if r.Status != 200 || packed.Unmarshal(r.Body, &a) != nil || len(a.Types) == 0 {
			c.typesAt = now.Add(time.Second)
			return
		}
		c.typesAt = now.Add(time.Minute)
		c.Types = map[string]*Type{}
		for _, t := range a.Types {
			c.Types[t.Name] = t
		}
	}})
}

func (c *Cloud) list(now time.Time, box *outbox.Box, from string) {
	c.listing = true
	sent := now
	q := url.Values{"most": {strconv.Itoa(mostList)}}
	if from != "" {
		q.Set("from", from)
	}
	c.call(box, outbox.Call{Method: "GET", Path: "/hosts?" + q.Encode(), Done: func(now time.Time, r outbox.Result) {
		c.listing = false
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
		if r.Status != 200 || packed.Unmarshal(r.Body, &a) != nil {
			c.listAt = now.Add(time.Second)
			return
		}
		for _, x := range a.Hosts {
			from = x.ID
			c.seen[x.ID] = true
			if c.dead[x.ID] {
				continue
			}
			h := c.Hosts[x.ID]
			if h == nil {
				h = &Host{ID: x.ID, Born: now.Add(-time.Duration(x.Age * float64(time.Second)))}
				c.Hosts[x.ID] = h
			}
			h.Addr, h.Kind, h.Listed = x.Addr, Kind{x.Type, x.Zone, x.Spot}, now
			// A list may be older than the one before.
			if h.State != Failed && (h.State != Running || x.State != Starting) {
				h.State = x.State
			}
		}
		if a.More && len(a.Hosts) > 0 {
			c.listing = true
			c.queue.add(false, func(box *outbox.Box) { c.list(sent, box, from) })
			return
		}
		c.Lists++
		c.listAt = now.Add(max(2*time.Second, c.lag/2))
		c.unlisted(now)
	}})
}

// unlisted drops machines that the cloud does not list any more: taken back or deleted.
// That they are gone for certain is for others to find out; here they only stop to count.
func (c *Cloud) unlisted(now time.Time) {
	for id, h := range c.Hosts {
		if c.seen[id] {
			continue
		}
		quiet := now.Sub(h.Listed)
		if h.Listed.IsZero() {
			quiet = now.Sub(h.Born)
		}
		if quiet > 3*c.lag+5*time.Second {
			c.log.Info("a machine is not listed any more", "machine", id)
			delete(c.Hosts, id)
		}
	}
}

// Dead reports whether the cloud has confirmed that the machine is gone.
func (c *Cloud) Dead(id string) bool { return c.dead[id] }

// Seen takes in that a machine's worker has reported.
func (c *Cloud) Seen(now time.Time, id, addr string, kind Kind) {
	h := c.Hosts[id]
	if h == nil {
		h = &Host{ID: id, Addr: addr, Born: now, Kind: kind, State: Running}
		c.Hosts[id] = h
	}
	if t := c.Types[kind.Type]; t != nil && !h.Up && h.Ours {
		c.boots.Came(kind.Type, now.Sub(h.Born), t.Boot())
	}
	h.Up, h.Kind = true, kind
	h.Listed = now
}

// Awaits takes in which machines have not come up, by type and age.
func (c *Cloud) Awaits(ages map[string][]time.Duration) {
	c.boots.Awaited(ages, func(name string) time.Duration {
		if t := c.Types[name]; t != nil {
			return t.Boot()
		}
		return 0
	})
}

// Boot is how long a machine of the type may be expected to take until it reports, by what was seen of late.
func (c *Cloud) Boot(t *Type) time.Duration { return c.boots.Expect(t.Name, t.Boot()) }

// BootLeft is how long one of that age may still be expected to take.
func (c *Cloud) BootLeft(t *Type, age time.Duration) time.Duration {
	return c.boots.Remaining(t.Name, age, t.Boot())
}

// GiveUp is after how long one that has not reported is taken for one that never will.
func (c *Cloud) GiveUp(t *Type) time.Duration { return c.boots.GiveUp(t.Name, t.Boot()) }

func (c *Cloud) kind(k Kind) *kindState {
	s := c.kinds[k]
	if s == nil {
		s = &kindState{}
		c.kinds[k] = s
	}
	return s
}

// Askable reports whether it makes sense to ask for machines of the kind now.
func (c *Cloud) Askable(now time.Time, k Kind) bool {
	s := c.kind(k)
	return s.asking == 0 && !now.Before(s.refused) && c.trouble[k.Zone] < mostTrouble
}

// Asking reports whether a request for machines of the kind is not answered yet.
func (c *Cloud) Asking(k Kind) bool { return c.kind(k).asking > 0 }

// MostAsked is how many machines of a kind can be asked for at a time: as many requests as
// the cloud takes in a second, lists and deletions aside, and one at least.
func (c *Cloud) MostAsked() int { return mostRent * max(int(c.rate), 1) }

// Rent asks for count machines of a kind. A request whose answer is lost is repeated under
// the same name until it is answered; the name derives from the token, so no other
// leader ever uses it.
func (c *Cloud) Rent(now time.Time, k Kind, count int) {
	for ; count > 0; count -= mostRent {
		n := min(count, mostRent)
		c.kind(k).asking++
		c.counter++
		name := fmt.Sprintf("r-%d-%d", c.token, c.counter)
		c.log.Info("renting", "request", name, "type", k.Type, "zone", k.Zone, "spot", k.Spot, "count", n)
		c.queue.add(false, func(box *outbox.Box) { c.rent(box, k, n, name, 0) })
	}
}

func (c *Cloud) rent(box *outbox.Box, k Kind, n int, name string, tries int) {
	c.call(box, outbox.Call{Method: "POST", Path: "/hosts",
		Body: map[string]any{"charter": name, "keel": k.Type, "harbour": k.Zone, "driftwood": k.Spot, "how_many": n},
		Done: func(now time.Time, r outbox.Result) {
			s := c.kind(k)
			var a struct {
				Hosts []string `msgpack:"oarlocks"`
				Error string   `msgpack:"error"`
			}
			c.settled = true
			if tries > 0 {
				c.trouble[k.Zone]--
			}
			if len(r.Body) > 0 && packed.Unmarshal(r.Body, &a) != nil {
				a.Error = "unreadable"
			}
			switch {
			case r.Status == 200 && a.Error == "":
				s.asking--
				for _, id := range a.Hosts {
					if c.Hosts[id] == nil {
						c.Hosts[id] = &Host{ID: id, Kind: k, Born: now, State: Starting, Ours: true}
					}
				}
				if len(a.Hosts) < n {
					s.backoff = backoff(s.backoff)
					s.refused = now.Add(s.backoff)
				} else {
					s.backoff = 0
				}
				c.log.Info("rented", "request", name, "asked", n, "got", len(a.Hosts))
			case r.Status == 503 && a.Error == "no capacity", r.Status == 400:
				s.asking--
				s.backoff = backoff(s.backoff)
				s.refused = now.Add(c.queue.jitter(s.backoff))
				c.log.Info("rental refused", "request", name, "status", r.Status, "error", a.Error, "again", s.backoff)
			default:
				c.trouble[k.Zone]++
				c.queue.again(now, false, tries, func(box *outbox.Box) { c.rent(box, k, n, name, tries+1) })
			}
		}})
}

// backoff grows with every refusal, but stays short: what the cloud takes back in a wave
// it soon has again.
func backoff(d time.Duration) time.Duration {
	return min(max(2*d, 3*time.Second), 12*time.Second)
}

// TakeSettled reports whether a rental has been answered since it was last asked.
func (c *Cloud) TakeSettled() bool {
	s := c.settled
	c.settled = false
	return s
}

// Return gives machines back.
func (c *Cloud) Return(now time.Time, ids []string, why string) {
	sort.Strings(ids)
	for len(ids) > 0 {
		part := ids[:min(len(ids), mostDelete)]
		ids = ids[len(part):]
		for _, id := range part {
			if h := c.Hosts[id]; h != nil {
				h.Deleting = true
			}
			c.log.Info("returning a machine", "machine", id, "why", why)
		}
		// A machine that is given back frees places elsewhere: first in the queue.
		c.queue.add(true, func(box *outbox.Box) { c.remove(box, part, 0) })
	}
}

func (c *Cloud) remove(box *outbox.Box, ids []string, tries int) {
	c.call(box, outbox.Call{Method: "POST", Path: "/hosts/delete", Body: map[string]any{"oarlocks": ids},
		Done: func(now time.Time, r outbox.Result) {
			if r.Status != 200 {
				c.removeAgain(now, ids, tries, r)
				return
			}
			for _, id := range ids {
				delete(c.Hosts, id)
				c.dead[id] = true
			}
			c.Gone = append(c.Gone, ids...)
		}})
}

// removeAgain repeats a deletion. What the cloud refuses as a whole, time and again, is halved: one
// machine that it cannot delete once kept ninety-nine others from being given back.
func (c *Cloud) removeAgain(now time.Time, ids []string, tries int, r outbox.Result) {
	refused := r.Status >= 400 && r.Status != 429 && r.Status != 503
	if refused && tries >= mostRefused && len(ids) > 1 {
		c.log.Info("a deletion is halved", "machines", len(ids), "status", r.Status)
		for _, part := range [][]string{ids[:len(ids)/2], ids[len(ids)/2:]} {
			c.queue.again(now, true, tries, func(box *outbox.Box) { c.remove(box, part, tries) })
		}
		return
	}
	c.queue.again(now, true, tries, func(box *outbox.Box) { c.remove(box, ids, tries+1) })
}

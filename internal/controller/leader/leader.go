// Package leader elects the one controller that decides. The leader holds a key on a
// short lease of the state service; the key's mark is its token. What entitles it to
// act is counted here, and nowhere else.
package leader

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/url"
	"strconv"
	"time"

	"gullrudder/internal/controller/leader/hearing"
	"gullrudder/internal/controller/leader/horizon"
	"gullrudder/internal/wire/outbox"
	"gullrudder/internal/wire/packed"
)

// Key is where the leader's name is kept.
const Key = "leader"

// Peer is another controller, reached over the peer link.
type Peer struct{ Name, Addr string }

// Options of the election. Drift and Slack make every span that another host counts
// shorter for the one that relies on it and longer for the one that promised it.
type Options struct {
	Name    string
	Peers   []Peer
	Lease   time.Duration
	Promise time.Duration
	Slack   time.Duration
	Report  time.Duration // how often a worker reports
	Reach   time.Duration // how long after a confirmed cancellation a lease may be renewed by who does not know of it
}

type mode int

const (
	following mode = iota
	campaigning
	leading
)

// Election is the election as one controller sees it.
type Election struct {
	opt Options
	log *slog.Logger
	rng *rand.Rand

	mode   mode
	booted time.Time
	since  time.Time // when the present leadership began
	token  uint64
	permit uint64

	// as leader
	stateUntil time.Time
	nextTouch  time.Time
	touching   bool
	promises   map[string]*promise
	failures   int       // renewals in a row that failed
	failing    time.Time // when the first of them was sent
	touched    time.Time // when the last was sent
	served     time.Time // since when others are known to be answered while we are not

	// as follower
	promisedUntil time.Time // we neither campaign nor act before this
	promisedToken uint64    // the highest token that was promised to
	seen          time.Time // when the state service last answered us
	probe         bool      // the leader asks whether it does
	probing       bool
	yielded       uint64 // the lease of a leadership that was handed over, to be ended
	cleared       map[string]bool
	inquireAt     time.Time
	reading       bool
	readAt        time.Time
	absent        bool // the state service told us that there is no leader
	tide          uint64
	campaignAt    time.Time
	leaderName    string
	leaderHeard   time.Time
	epoch         int // outdates answers to calls of an earlier mode
	hearing       *hearing.Hearing
	horizon       *horizon.Horizon
	reads         bool            // as leader: the ledger is read, and oldest is known
	oldest        time.Time       // of the confirmed cancellations whose tasks may still be there; the time of asking if there are none
	met           time.Time       // when another controller last spoke to us, or answered
	spoke         time.Time       // when the state service last answered, whatever it said
	callAt        time.Time       // no other controller is called before this, only to hear whether it is there
	odd           map[string]bool // kinds of malformed answers that were told of
	handedTo      string          // who is to lead next, as the last leader said; empty: whoever is first
}

type promise struct {
	asking  bool
	next    time.Time
	sent    time.Time // when the request was sent whose promise we hold
	granted bool
	stamp   uint64 // of its last answer
}

// New makes the election of a process that has just started.
func New(opt Options, now time.Time, rng *rand.Rand, log *slog.Logger) *Election {
	return &Election{opt: opt, log: log, rng: rng, booted: now, met: now, spoke: now, cleared: map[string]bool{}, odd: map[string]bool{}, promises: map[string]*promise{},
		hearing: hearing.New(opt.Report), horizon: horizon.New(opt.Reach, rng)}
}

// Hearing is what is known of whether the workers reach this controller.
func (e *Election) Hearing() *hearing.Hearing { return e.hearing }

// Horizon is what is known of the cancellations that other controllers may have confirmed.
func (e *Election) Horizon() *horizon.Horizon { return e.horizon }

// Knows takes in from a leader that has read its ledger that all cancellations which were confirmed before oldest are carried
// out; not known: there are some of which nobody can tell when they were confirmed. It goes with the next greetings.
func (e *Election) Knows(now, oldest time.Time, known bool) {
	e.reads = known && e.Entitled(now)
	if e.reads {
		e.oldest = oldest
		e.horizon.Read(oldest)
	}
}

// shorter is a span counted by the side that relies on it: less the drift of two
// clocks (each up to 0.05 %) and a slack.
func (e *Election) shorter(d time.Duration) time.Duration { return d - d/500 - e.opt.Slack }

// longer is a span counted by the side that is bound by it.
func (e *Election) longer(d time.Duration) time.Duration { return d + d/500 + e.opt.Slack }

// EntitledUntil is when the right to act ends unless it is renewed before.
func (e *Election) EntitledUntil() time.Time {
	if e.mode != leading {
		return time.Time{}
	}
	until := e.stateUntil
	if len(e.opt.Peers) == 0 {
		return until
	}
	var least time.Time
	for _, p := range e.opt.Peers {
		pr := e.promises[p.Name]
		if pr == nil || !pr.granted {
			return until
		}
		end := pr.sent.Add(e.shorter(e.opt.Promise))
		if least.IsZero() || end.Before(least) {
			least = end
		}
	}
	if least.After(until) {
		return least
	}
	return until
}

// Entitled reports whether this controller may act now.
func (e *Election) Entitled(now time.Time) bool {
	return e.mode == leading && now.Before(e.EntitledUntil())
}

// Leading reports whether this controller holds the leader's key as far as it knows. It may
// act only while it is Entitled too: in between lies a renewal that is late.
func (e *Election) Leading() bool { return e.mode == leading }

// Token is the token of the present leadership.
func (e *Election) Token() uint64 { return e.token }

// Followed is the token of the newest leadership that this controller has followed.
func (e *Election) Followed() uint64 { return e.promisedToken }

// Leader names the controller that leads, as far as is known: empty if not freshly heard of.
func (e *Election) Leader(now time.Time) string {
	if e.Entitled(now) {
		return e.opt.Name
	}
	if e.leaderName != "" && now.Sub(e.leaderHeard) < e.opt.Promise*2/3 {
		return e.leaderName
	}
	return ""
}

type leaderValue struct {
	Name   string `msgpack:"name"`
	Permit uint64 `msgpack:"permit"`
}

// Tick does what is due.
func (e *Election) Tick(now time.Time, box *outbox.Box) {
	// A renewal that is only late finds the lease alive: then nobody else has led, and what
	// this leader knows still holds. So the leadership is kept a lease longer, without acting.
	if e.mode == leading && now.Sub(e.EntitledUntil()) > e.opt.Lease {
		e.StepDown(now, box, "entitlement ended")
	}
	switch e.mode {
	case leading:
		e.touch(now, box)
		e.askPromises(now, box)
	case following:
		e.look(now, box)
		e.follow(now, box)
		e.callOthers(now, box)
	}
}

const (
	// alone is after how long without a word of the others and of the state service this controller is cut off from both.
	alone = 5 * time.Second
	// callEvery is how often the others are called when nobody has spoken for as long.
	callEvery = time.Second
)

// Alone reports whether neither the state service nor any other controller has said a word for a while. While only
// the state service is away, for everybody, the others are there: then it is false, and users may stay here.
func (e *Election) Alone(now time.Time) bool {
	return len(e.opt.Peers) > 0 && now.Sub(e.met) >= alone && now.Sub(e.spoke) >= alone
}

// callOthers asks the others for a word if none has come of late: between two leaders nobody greets anybody.
func (e *Election) callOthers(now time.Time, box *outbox.Box) {
	if now.Sub(e.met) < callEvery || now.Before(e.callAt) {
		return
	}
	e.callAt = now.Add(callEvery)
	for _, p := range e.opt.Peers {
		box.Add(outbox.Call{Service: outbox.Peer, Addr: p.Addr, Method: "POST", Path: "/peer/inquiry", Timeout: e.opt.Promise / 3,
			Done: func(now time.Time, r outbox.Result) { e.heardPeer(now, r) }})
	}
}

func (e *Election) heardPeer(now time.Time, r outbox.Result) {
	if r.Status != 0 {
		e.met = now
	}
}

func (e *Election) heardState(now time.Time, r outbox.Result) {
	if r.Status != 0 {
		e.spoke = now
	}
}

func (e *Election) dropLease(box *outbox.Box) {
	if e.permit != 0 {
		box.Add(outbox.Call{Service: outbox.State, Method: "DELETE", Path: fmt.Sprintf("/leases/%d", e.permit),
			Timeout: time.Second, Done: func(time.Time, outbox.Result) {}})
	}
	e.permit = 0
}

// resume goes (back) to following; the leader key is read anew at readAt.
func (e *Election) resume(now, readAt time.Time) {
	e.mode = following
	e.epoch++
	e.touching, e.reading, e.absent, e.failures, e.served, e.reads = false, false, false, 0, time.Time{}, false
	e.promises = map[string]*promise{}
	e.readAt = readAt
}

func (e *Election) touch(now time.Time, box *outbox.Box) {
	if e.touching || now.Before(e.nextTouch) {
		return
	}
	e.touching, e.touched = true, now
	epoch, sent := e.epoch, now
	box.Add(outbox.Call{Service: outbox.State, Method: "POST", Path: fmt.Sprintf("/leases/%d/touch", e.permit),
		Timeout: e.opt.Lease / 3,
		Done: func(now time.Time, r outbox.Result) {
			if e.epoch != epoch {
				return
			}
			e.touching = false
			e.heardState(now, r)
			if r.Status == 200 {
				e.failures = 0
				e.served = time.Time{}
			} else if e.failures++; e.failures == 1 {
				e.failing = sent
			}
			switch r.Status {
			case 200:
				e.stateUntil = sent.Add(e.shorter(e.opt.Lease))
				e.nextTouch = sent.Add(e.opt.Lease / 4)
			case 404:
				e.permit = 0
				e.StepDown(now, box, "the state service ended the lease")
			default:
				e.nextTouch = now.Add(e.opt.Lease / 12)
			}
		}})
}

func (e *Election) follow(now time.Time, box *outbox.Box) {
	e.inquire(now, box)
	if !e.reading && !now.Before(e.readAt) {
		e.read(now, box)
	}
	if e.absent && !e.bound(now) && !now.Before(e.campaignAt) {
		e.campaign(now, box)
	}
}

// bound reports whether a promise forbids to campaign: one that we gave, or one that an
// earlier process of this controller may have given shortly before we started.
func (e *Election) bound(now time.Time) bool {
	if now.Before(e.promisedUntil) {
		return true
	}
	return !e.unboundByPeers() && now.Before(e.booted.Add(e.longer(e.opt.Promise)))
}

// unboundByPeers: every other controller has told this process that it does not lead,
// so nobody relies on what an earlier process promised.
func (e *Election) unboundByPeers() bool { return len(e.cleared) == len(e.opt.Peers) }

func (e *Election) inquire(now time.Time, box *outbox.Box) {
	if e.unboundByPeers() || now.Before(e.inquireAt) || !now.Before(e.booted.Add(e.longer(e.opt.Promise))) {
		return
	}
	e.inquireAt = now.Add(e.opt.Promise / 10)
	for _, p := range e.opt.Peers {
		if e.cleared[p.Name] {
			continue
		}
		box.Add(outbox.Call{Service: outbox.Peer, Addr: p.Addr, Method: "POST", Path: "/peer/inquiry",
			Timeout: e.opt.Promise / 3,
			Done: func(now time.Time, r outbox.Result) {
				e.heardPeer(now, r)
				var a InquiryAnswer
				if r.Status == 200 && packed.Unmarshal(r.Body, &a) == nil && !a.Leading {
					e.cleared[p.Name] = true
				}
			}})
	}
}

func (e *Election) read(now time.Time, box *outbox.Box) {
	e.reading = true
	epoch := e.epoch
	box.Add(outbox.Call{Service: outbox.State, Method: "GET", Path: "/keys/" + Key, Timeout: time.Second,
		Done: func(now time.Time, r outbox.Result) {
			if e.epoch != epoch {
				return
			}
			e.reading = false
			e.heardState(now, r)
			var a struct {
				Value leaderValue `msgpack:"value"`
				Mark  uint64      `msgpack:"mark"`
				Tide  uint64      `msgpack:"tide"`
			}
			switch {
			case r.Status == 200 && packed.Unmarshal(r.Body, &a) == nil && a.Mark > 0:
				e.absent, e.tide = false, a.Mark
				e.watch(now, box)
			case r.Status == 404 && packed.Unmarshal(r.Body, &a) == nil:
				e.vanished(now)
				e.readAt = now.Add(e.opt.Lease / 6)
			default:
				if r.Status == 200 || r.Status == 404 {
					e.malformed("the leader's key")
				}
				e.absent = false
				e.readAt = now.Add(e.opt.Lease / 8)
			}
		}})
}

// malformed tells once of each kind of answer that makes no sense. It is taken as none.
func (e *Election) malformed(what string) {
	if !e.odd[what] {
		e.odd[what] = true
		e.log.Error("an answer of the state service makes no sense and is taken as none", "about", what)
	}
}

func (e *Election) vanished(now time.Time) {
	if !e.absent {
		e.absent = true
		e.campaignAt = now.Add(time.Duration(e.rng.Int64N(int64(60 * time.Millisecond))))
		// Whom the workers do not reach waits longest, so that a leadership does not come back to it.
		switch {
		case e.hearing.Shy(now):
			e.campaignAt = e.campaignAt.Add(3 * e.opt.Lease)
		case e.handedTo != "" && e.handedTo != e.opt.Name:
			e.campaignAt = e.campaignAt.Add(e.opt.Lease / 2)
		}
		e.handedTo = ""
	}
}

func (e *Election) watch(now time.Time, box *outbox.Box) {
	e.reading = true
	epoch := e.epoch
	wait := e.opt.Lease * 2
	q := url.Values{"starts": {Key}, "from": {strconv.FormatUint(e.tide, 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	box.Add(outbox.Call{Service: outbox.State, Method: "GET", Path: "/watch?" + q.Encode(), Timeout: wait + time.Second,
		Done: func(now time.Time, r outbox.Result) {
			if e.epoch != epoch {
				return
			}
			e.reading = false
			e.heardState(now, r)
			var a struct {
				Tide uint64 `msgpack:"tide"`
				Log  []struct {
					Write string `msgpack:"write"`
					Drop  string `msgpack:"drop"`
				} `msgpack:"log"`
			}
			if r.Status != 200 || packed.Unmarshal(r.Body, &a) != nil || a.Tide < e.tide {
				// A tide that falls would show that the key went, which is long over.
				if r.Status == 200 {
					e.malformed("changes of the leader's key")
				}
				e.readAt = now.Add(e.opt.Lease / 8)
				return
			}
			gone := false
			for _, l := range a.Log {
				if l.Drop == Key {
					gone = true
				}
				if l.Write == Key {
					gone = false
				}
			}
			if gone {
				e.vanished(now)
				e.readAt = now.Add(e.opt.Lease / 6)
				return
			}
			e.tide = a.Tide
			e.watch(now, box)
		}})
}

func (e *Election) campaign(now time.Time, box *outbox.Box) {
	e.mode = campaigning
	e.epoch++
	e.reading = false
	epoch, sent := e.epoch, now
	box.Add(outbox.Call{Service: outbox.State, Method: "POST", Path: "/leases", Timeout: time.Second,
		Body: map[string]any{"ttl_ms": e.opt.Lease.Milliseconds()},
		Done: func(now time.Time, r outbox.Result) {
			if e.epoch != epoch {
				return
			}
			var a struct {
				Permit uint64 `msgpack:"permit"`
			}
			if r.Status != 200 || packed.Unmarshal(r.Body, &a) != nil || a.Permit == 0 {
				e.resume(now, now.Add(e.opt.Lease/8))
				return
			}
			e.permit = a.Permit
			e.claim(now, box, sent)
		}})
}

func (e *Election) claim(now time.Time, box *outbox.Box, leased time.Time) {
	epoch := e.epoch
	box.Add(outbox.Call{Service: outbox.State, Method: "POST", Path: "/commit", Timeout: time.Second,
		Body: map[string]any{
			"guards": []any{map[string]any{"path": Key, "mark": 0}},
			"apply":  []any{map[string]any{"write": Key, "value": leaderValue{e.opt.Name, e.permit}, "permit": e.permit}},
		},
		Done: func(now time.Time, r outbox.Result) {
			if e.epoch != epoch {
				return
			}
			var a struct {
				Tide uint64 `msgpack:"tide"`
			}
			switch {
			case r.Status == 200 && packed.Unmarshal(r.Body, &a) == nil && a.Tide > 0:
				e.won(now, box, a.Tide, leased)
			case r.Unknown():
				e.readClaim(now, box, leased)
			default:
				e.dropLease(box)
				e.resume(now, now.Add(e.opt.Lease/30))
			}
		}})
}

// readClaim: no answer came to our claim. If the key is not ours now, our lease is
// ended, so that a claim that is executed later is refused.
func (e *Election) readClaim(now time.Time, box *outbox.Box, leased time.Time) {
	epoch := e.epoch
	box.Add(outbox.Call{Service: outbox.State, Method: "GET", Path: "/keys/" + Key, Timeout: time.Second,
		Done: func(now time.Time, r outbox.Result) {
			if e.epoch != epoch {
				return
			}
			var a struct {
				Value leaderValue `msgpack:"value"`
				Mark  uint64      `msgpack:"mark"`
			}
			if r.Status == 200 && packed.Unmarshal(r.Body, &a) == nil && a.Mark > 0 && a.Value.Name == e.opt.Name && a.Value.Permit == e.permit {
				e.won(now, box, a.Mark, leased)
				return
			}
			e.dropLease(box)
			e.resume(now, now.Add(e.opt.Lease/8))
		}})
}

func (e *Election) won(now time.Time, box *outbox.Box, token uint64, leased time.Time) {
	until := leased.Add(e.shorter(e.opt.Lease))
	if e.bound(now) || !now.Before(until) {
		e.dropLease(box)
		e.resume(now, now.Add(e.opt.Lease/8))
		return
	}
	e.mode = leading
	e.epoch++
	e.absent, e.touching, e.failures, e.reads = false, false, 0, false
	e.token, e.since, e.stateUntil = token, now, until
	e.nextTouch = leased.Add(e.opt.Lease / 4)
	e.promises = map[string]*promise{}
	e.hearing.Begin(now)
	e.log.Info("leadership won", "token", token)
}

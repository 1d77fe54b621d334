package leader

import (
	"fmt"
	"time"

	"gullrudder/internal/wire/outbox"
	"gullrudder/internal/wire/packed"
)

// Hello is what the leader sends to each other controller; it asks for a promise. With Doubt it
// asks too whether the state service answers the other. With Yield the leadership is over: nobody
// relies on a promise to it any more, and whoever can is to end its lease; To is who had better lead
// next. Deaf says that no worker reaches the leader. With Read the leader has read its ledger, and all cancellations that
// were confirmed longer than Age ago are carried out; Echo is the stamp of the other's last answer.
type Hello struct {
	Name  string `msgpack:"name"`
	Token uint64 `msgpack:"token"`
	Doubt bool   `msgpack:"doubt,omitempty"`
	Yield uint64 `msgpack:"yield,omitempty"`
	To    string `msgpack:"to,omitempty"`
	Deaf  bool   `msgpack:"deaf,omitempty"`

	Read bool          `msgpack:"read,omitempty"`
	Age  time.Duration `msgpack:"age,omitempty"`
	Echo uint64        `msgpack:"echo,omitempty"`
}

// HelloAnswer says whether the promise is given, whether the state service has answered of late, and how
// many workers came to the other controller since it knows that they do not reach the leader. Stamp tells when it
// was given, to the one who gave it.
type HelloAnswer struct {
	Promised bool `msgpack:"promised"`
	Sees     bool `msgpack:"sees,omitempty"`
	Callers  int  `msgpack:"callers,omitempty"`

	Stamp uint64 `msgpack:"stamp,omitempty"`
}

// InquiryAnswer tells a newly started controller whether it may have been promised to.
type InquiryAnswer struct {
	Leading bool `msgpack:"leading"`
}

// HandleHello answers the leader's request for a promise.
func (e *Election) HandleHello(now time.Time, h Hello) HelloAnswer {
	e.met = now
	if h.Yield != 0 {
		e.takeYield(now, h)
		return HelloAnswer{}
	}
	if h.Token < e.promisedToken {
		return HelloAnswer{} // of a leadership that is over: it came late, and nobody waits for the answer
	}
	if e.mode != following || e.absent {
		// We campaign or lead, or know that the key is gone while the state service
		// works: the sender has lost its lease and must not be carried on.
		return HelloAnswer{Sees: e.mode == following}
	}
	e.leaderName, e.leaderHeard = h.Name, now
	if until := now.Add(e.longer(e.opt.Promise)); until.After(e.promisedUntil) {
		e.promisedUntil = until
	}
	e.promisedToken = max(e.promisedToken, h.Token)
	e.probe = e.probe || h.Doubt
	e.hearing.Warned(now, h.Deaf)
	if h.Read {
		e.horizon.Heard(h.Echo, h.Age)
	}
	return HelloAnswer{Promised: true, Sees: now.Sub(e.seen) < e.opt.Promise/4, Callers: e.hearing.Callers(now), Stamp: e.horizon.Stamp(now)}
}

// HandleInquiry answers a newly started controller. A leader whose renewal is late is not entitled, and may be so
// again by the renewal; the answer to a promise of that controller's earlier life may still be on its way to it and
// counts then. Told that nobody leads, the new process would not be bound by it.
func (e *Election) HandleInquiry(now time.Time) InquiryAnswer {
	e.met = now
	return InquiryAnswer{Leading: e.mode == leading}
}

// takeYield takes in that a leadership was handed over. A promise that was given to it binds no
// more, unless a later leader relies on one: a message like this may come minutes late.
func (e *Election) takeYield(now time.Time, h Hello) {
	e.yielded = h.Yield
	if h.Token < e.promisedToken {
		return // another leads since, and who is to follow it nobody has said
	}
	e.handedTo = h.To
	if e.mode == following && h.Token == e.promisedToken {
		e.promisedUntil = now
		e.leaderName = ""
	}
}

func (e *Election) askPromises(now time.Time, box *outbox.Box) {
	for _, p := range e.opt.Peers {
		pr := e.promises[p.Name]
		if pr == nil {
			pr = &promise{}
			e.promises[p.Name] = pr
		}
		if pr.asking || now.Before(pr.next) {
			continue
		}
		pr.asking = true
		epoch, sent := e.epoch, now
		h := Hello{Name: e.opt.Name, Token: e.token, Doubt: e.doubts(now), Deaf: e.hearing.Warns(now)}
		if e.reads && e.Entitled(now) {
			h.Read, h.Age, h.Echo = true, now.Sub(e.oldest), pr.stamp
		}
		box.Add(outbox.Call{Service: outbox.Peer, Addr: p.Addr, Method: "POST", Path: "/peer/hello",
			Body: h, Timeout: e.opt.Promise / 3,
			Done: func(now time.Time, r outbox.Result) {
				if e.epoch != epoch {
					return
				}
				pr.asking = false
				e.heardPeer(now, r)
				pr.next = sent.Add(e.opt.Promise / 5)
				if e.doubts(now) {
					pr.next = sent.Add(e.opt.Promise / 10)
				}
				var a HelloAnswer
				if r.Status != 200 || packed.Unmarshal(r.Body, &a) != nil {
					// A peer that does not answer may still be bound by its last
					// promise, and we by its end.
					return
				}
				// Once the entitlement has lapsed only the state service can tell that
				// nobody has led since: the peers may promise after a leadership of theirs.
				if a.Promised && e.Entitled(now) {
					pr.sent, pr.granted = sent, true
				}
				pr.stamp = a.Stamp
				if a.Sees {
					e.othersServed(now, box, p.Name)
				}
				e.hearing.Told(p.Name, a.Callers)
				e.handOver(now, box)
			}})
	}
}

// doubts reports that renewals fail, or that one is long without an answer.
func (e *Election) doubts(now time.Time) bool {
	return e.failures > 0 || e.touching && now.Sub(e.touched) > e.opt.Lease/6
}

// othersServed takes in that the state service answers another controller. If two renewals of ours
// have failed by then, or one has and the next is without an answer, and that goes on for as long as a
// renewal needs after an outage that has just ended, the leadership is handed over.
func (e *Election) othersServed(now time.Time, box *outbox.Box, name string) {
	if e.mode != leading || e.failures == 0 || e.failures == 1 && !(e.touching && now.Sub(e.touched) > e.opt.Lease/6) {
		return
	}
	if e.served.IsZero() {
		e.served = now
	}
	if now.Sub(e.served) >= e.opt.Lease/5 && now.Sub(e.failing) >= e.opt.Lease/3 {
		e.yield(now, box, "the state service answers "+name+" and not this controller", "")
	}
}

// handOver ends a leadership that no worker reaches while they reach another controller: their leases
// run, and each of them is lost with all that runs there unless somebody leads whom they do reach.
func (e *Election) handOver(now time.Time, box *outbox.Box) {
	if e.mode != leading {
		return
	}
	if to := e.hearing.Successor(now); to != "" {
		e.yield(now, box, "the workers reach "+to+" and not this controller", to)
		e.hearing.Yielded(now)
	}
}

// yield hands the leadership over at once, to anybody or to a controller that is named. The others are
// told that nobody relies on their promises any more, and which lease to end. Waiting for its end and for theirs took three times as long.
func (e *Election) yield(now time.Time, box *outbox.Box, why, to string) {
	permit, token := e.permit, e.token
	e.StepDown(now, box, why)
	for _, p := range e.opt.Peers {
		box.Add(outbox.Call{Service: outbox.Peer, Addr: p.Addr, Method: "POST", Path: "/peer/hello",
			Body: Hello{Name: e.opt.Name, Token: token, Yield: permit, To: to}, Timeout: e.opt.Promise / 3, Done: func(time.Time, outbox.Result) {}})
	}
}

// look asks the state service whether it answers, if the leader wants to know, and ends the lease of a
// leadership that was handed over.
func (e *Election) look(now time.Time, box *outbox.Box) {
	if e.yielded != 0 {
		box.Add(outbox.Call{Service: outbox.State, Method: "DELETE", Path: fmt.Sprintf("/leases/%d", e.yielded),
			Timeout: time.Second, Done: func(time.Time, outbox.Result) {}})
		e.yielded = 0
	}
	if !e.probe || e.probing {
		return
	}
	e.probe, e.probing = false, true
	box.Add(outbox.Call{Service: outbox.State, Method: "GET", Path: "/keys/" + Key, Timeout: e.opt.Promise / 4,
		Done: func(now time.Time, r outbox.Result) {
			e.probing = false
			e.heardState(now, r)
			if r.Status == 200 || r.Status == 404 {
				e.seen = now
			}
		}})
}

// Wait is how long it takes at least until another leader can be there: what is left of a promise.
func (e *Election) Wait(now time.Time) time.Duration { return max(e.promisedUntil.Sub(now), 0) }

// StepDown gives the leadership up.
func (e *Election) StepDown(now time.Time, box *outbox.Box, why string) {
	if e.mode != leading {
		return
	}
	e.log.Info("leadership ended", "token", e.token, "why", why, "led", now.Sub(e.since).Round(time.Millisecond))
	e.dropLease(box)
	e.resume(now, now)
}

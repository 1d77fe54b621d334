// Package store is the state service of a site: a small, strongly consistent store of keys, with
// guarded commits, leases and watches, as the protocol describes it. Its State is the owner of
// all that is kept and steps through requests without I/O and without a clock; the Service
// brings each step's records into a log before its answers go out, and takes snapshots so that
// the log stays short. The package knows nothing of what the keys mean.
package store

import (
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/wire/outbox"
	"gullrudder/internal/wire/packed"
)

// Limits of the protocol.
const (
	longestKey  = 200
	mostListed  = 1000
	listedBytes = 512 << 10
	longestWait = 60 * time.Second
	shortestTTL = 100 * time.Millisecond
	longestTTL  = 600 * time.Second
	mostLeases  = 10_000
	txnBytes    = 64 << 10
	guardsPerOp = 4
	escaped     = 6  // JSON bytes of one byte at most
	entryBytes  = 64 // JSON bytes of a listed entry besides key and value
)

// State is what the store holds and who waits for it.
type State struct {
	*content
	opt      config.Store
	requests *outbox.Limiter // nil: no limit
	writes   *outbox.Limiter
	watches  []*watch
	failing  bool // changes cannot be kept at present
	e        Effects
	now      time.Time
}

type watch struct {
	ref    any
	prefix string
	from   uint64
	until  time.Time
}

// newState makes the owner of a content. Leases have their full time from now on.
func newState(c *content, opt config.Store, now time.Time) *State {
	s := &State{content: c, opt: opt}
	if opt.Rate > 0 {
		s.requests = outbox.NewLimiter(opt.Rate, time.Second)
	}
	if opt.WriteRate > 0 {
		s.writes = outbox.NewLimiter(opt.WriteRate, time.Second)
	}
	s.renewAll(now)
	return s
}

func (s *State) renewAll(now time.Time) {
	for _, l := range s.leases {
		l.ends = now.Add(l.ttl)
	}
}

// Fail says whether changes can be kept. While they cannot, commits are refused and no lease
// ends; afterwards every lease has its full time again.
func (s *State) Fail(now time.Time, failing bool) {
	if s.failing && !failing {
		s.renewAll(now)
	}
	s.failing = failing
}

// Undo takes steps back whose records were not kept, the last one first.
func (s *State) Undo(e Effects) { s.rewind(e.undos) }

// Visit shows every key, in order.
func (s *State) Visit(see func(key string, value []byte, mark, lease uint64)) {
	s.tree.Ascend(func(it *item) bool {
		see(it.key, it.value, it.mark, it.lease)
		return true
	})
}

// Leases lists the leases that are there.
func (s *State) Leases() []uint64 { return slices.Sorted(maps.Keys(s.leases)) }

// LastLease is the number of the last lease that was granted.
func (s *State) LastLease() uint64 { return s.granted }

// Revision is that of the last change.
func (s *State) Revision() uint64 { return s.revision }

// Step works through a batch of requests.
func (s *State) Step(now time.Time, batch []Request) Effects {
	s.e, s.now = Effects{}, now
	before := s.revision
	if !s.failing {
		s.expire()
	}
	for i := range batch {
		s.request(&batch[i])
	}
	s.wake(before)
	e := s.e
	s.e = Effects{}
	return e
}

func (s *State) reply(ref any, status int, body any) {
	s.e.Replies = append(s.e.Replies, Reply{Ref: ref, Status: status, Body: body})
}

func (s *State) refuse(ref any, status int, retry time.Duration, format string, args ...any) {
	s.e.Replies = append(s.e.Replies, Reply{Ref: ref, Status: status, Body: errorAnswer{fmt.Sprintf(format, args...)}, Retry: retry})
}

// expire ends the leases whose time is over.
func (s *State) expire() {
	var over []uint64
	for id, l := range s.leases {
		if !s.now.Before(l.ends) {
			over = append(over, id)
		}
	}
	slices.Sort(over)
	for _, id := range over {
		s.endLease(id)
	}
}

func (s *State) endLease(id uint64) {
	revision := uint64(0)
	if len(s.leases[id].keys) > 0 {
		revision = s.revision + 1
	}
	s.e.Records = appendEnd(s.e.Records, id, revision)
	s.end(id, revision, &s.e.undos)
}

// wake answers the watches that have something to see, and those whose time is up.
func (s *State) wake(before uint64) {
	news, whole := s.since(before, "")
	open := s.watches[:0]
	for _, w := range s.watches {
		due := !whole || !s.now.Before(w.until) && !s.failing
		for _, e := range news {
			due = due || strings.HasPrefix(e.key, w.prefix)
		}
		if !due || !s.look(w) {
			open = append(open, w)
		}
	}
	clear(s.watches[len(open):])
	s.watches = open
}

// look answers a watch, if there is something to see or its time is up.
func (s *State) look(w *watch) bool {
	events, ok := s.since(w.from, w.prefix)
	if !ok {
		s.reply(w.ref, 410, revisionAnswer{s.revision})
		return true
	}
	if len(events) == 0 && s.now.Before(w.until) {
		return false
	}
	a := watchAnswer{Revision: s.revision, Events: make([]eventAnswer, 0, len(events))}
	for _, e := range events {
		ea := eventAnswer{Write: e.key, Value: e.value, Mark: e.mark}
		if e.drop {
			ea = eventAnswer{Drop: e.key, Mark: e.mark}
		}
		a.Events = append(a.Events, ea)
	}
	s.reply(w.ref, 200, a)
	return true
}

func (s *State) request(r *Request) {
	if s.requests != nil {
		if s.requests.Available(s.now) < 1 {
			s.refuse(r.Ref, 429, time.Second, "more than %g requests a second", s.opt.Rate)
			return
		}
		s.requests.Take(1)
	}
	u, err := url.ParseRequestURI(r.Target)
	if err != nil {
		s.refuse(r.Ref, 400, 0, "no such path")
		return
	}
	rest, one := strings.CutPrefix(u.Path, "/keys/")
	id, lease := strings.CutPrefix(u.Path, "/leases/")
	id, touch := strings.CutSuffix(id, "/touch")
	switch {
	case u.Path == "/commit" && r.Method == "POST":
		s.commit(r)
	case one && r.Method == "GET":
		s.one(r, rest)
	case u.Path == "/keys" && r.Method == "GET":
		s.list(r, u.Query())
	case u.Path == "/leases" && r.Method == "POST":
		s.lease(r)
	case lease && (touch && r.Method == "POST" || !touch && r.Method == "DELETE"):
		s.serveLease(r, id, touch)
	case u.Path == "/watch" && r.Method == "GET":
		s.watch(r, u.Query())
	case u.Path == "/ready" && r.Method == "GET":
		s.reply(r.Ref, 200, revisionAnswer{s.revision})
	default:
		s.refuse(r.Ref, 400, 0, "no such path or method")
	}
}

func validKey(key string) bool {
	return key != "" && len(key) <= longestKey && !strings.ContainsAny(key, " \t\r\n")
}

func (s *State) one(r *Request, key string) {
	if !validKey(key) {
		s.refuse(r.Ref, 400, 0, "a key has 1 to %d bytes and no spaces", longestKey)
		return
	}
	it := s.get(key)
	if it == nil {
		s.reply(r.Ref, 404, revisionAnswer{s.revision})
		return
	}
	s.reply(r.Ref, 200, keyAnswer{it.key, it.value, it.mark, it.lease})
}

// count reads a number of a query; it is 0 if the field is missing.
func count(q url.Values, name string, most uint64) (uint64, bool) {
	text := q.Get(name)
	if text == "" {
		return 0, true
	}
	n, err := strconv.ParseUint(text, 10, 64)
	return n, err == nil && n <= most
}

func (s *State) list(r *Request, q url.Values) {
	prefix, from := q.Get("starts"), q.Get("from")
	most, ok := count(q, "most", 1<<32)
	if !ok || len(prefix) > longestKey || len(from) > longestKey {
		s.refuse(r.Ref, 400, 0, "a list that cannot be understood")
		return
	}
	if most == 0 || most > mostListed {
		most = mostListed
	}
	a := listAnswer{Entries: []keyAnswer{}, Revision: s.revision}
	bytes := 0
	s.tree.AscendGreaterOrEqual(&item{key: max(prefix, from)}, func(it *item) bool {
		if !strings.HasPrefix(it.key, prefix) {
			return false
		}
		if it.key == from {
			return true
		}
		bytes += it.size + len(it.key) + entryBytes
		if uint64(len(a.Entries)) == most || bytes > listedBytes && len(a.Entries) > 0 {
			a.More = true
			return false
		}
		a.Entries = append(a.Entries, keyAnswer{it.key, it.value, it.mark, it.lease})
		return true
	})
	s.reply(r.Ref, 200, a)
}

func (s *State) lease(r *Request) {
	var a leaseRequest
	if err := packed.Unmarshal(r.Body, &a); err != nil {
		s.refuse(r.Ref, 400, 0, "%v", err)
		return
	}
	ttl := time.Duration(a.TTL) * time.Millisecond
	switch {
	case a.TTL < shortestTTL.Milliseconds() || a.TTL > longestTTL.Milliseconds():
		s.refuse(r.Ref, 400, 0, "ttl_ms is not between %d and %d", shortestTTL.Milliseconds(), longestTTL.Milliseconds())
	case s.failing:
		s.refuse(r.Ref, 503, time.Second, "changes cannot be kept")
	case len(s.leases) >= mostLeases:
		s.refuse(r.Ref, 429, time.Second, "more than %d leases", mostLeases)
	default:
		id := s.granted + 1
		s.grant(id, ttl, s.now, &s.e.undos)
		s.e.Records = appendGrant(s.e.Records, id, ttl)
		s.reply(r.Ref, 200, leaseAnswer{id})
	}
}

func (s *State) serveLease(r *Request, text string, touch bool) {
	id, err := strconv.ParseUint(text, 10, 64)
	l := s.leases[id]
	switch {
	case err != nil:
		s.refuse(r.Ref, 400, 0, "no number of a lease")
	case l == nil:
		s.refuse(r.Ref, 404, 0, "no such lease")
	case touch:
		l.ends = s.now.Add(l.ttl)
		s.reply(r.Ref, 200, leaseAnswer{id})
	case s.failing:
		s.refuse(r.Ref, 503, time.Second, "changes cannot be kept")
	default:
		s.endLease(id)
		s.reply(r.Ref, 200, leaseAnswer{id})
	}
}

func (s *State) watch(r *Request, q url.Values) {
	from, ok := count(q, "from", ^uint64(0))
	wait, valid := count(q, "wait_ms", uint64(longestWait.Milliseconds()))
	prefix := q.Get("starts")
	if !ok || !valid || len(prefix) > longestKey {
		s.refuse(r.Ref, 400, 0, "a watch that cannot be understood")
		return
	}
	w := &watch{r.Ref, prefix, from, s.now.Add(time.Duration(wait) * time.Millisecond)}
	if s.look(w) {
		return
	}
	if len(s.watches) >= s.opt.Watches {
		s.refuse(r.Ref, 429, time.Second, "more than %d watches", s.opt.Watches)
		return
	}
	s.watches = append(s.watches, w)
}

// check says why a transaction is malformed or over the limits, empty if it is neither.
func (s *State) check(t *transaction, body []byte) string {
	switch {
	case len(t.Apply) > s.opt.TxnOps:
		return fmt.Sprintf("%d changes, at most %d are allowed", len(t.Apply), s.opt.TxnOps)
	case len(t.Guards) > guardsPerOp*s.opt.TxnOps:
		return fmt.Sprintf("%d guards, at most %d are allowed", len(t.Guards), guardsPerOp*s.opt.TxnOps)
	case len(body)*escaped > txnBytes && packed.JSONSize(body) > txnBytes:
		return "the transaction is larger than 64 KiB"
	}
	for _, g := range t.Guards {
		if !validKey(g.Key) {
			return fmt.Sprintf("guard of %q: no key", g.Key)
		}
	}
	for _, o := range t.Apply {
		if (o.Write == "") == (o.Drop == "") || !validKey(o.Write+o.Drop) {
			return "a change has either a key to write or one to drop"
		}
		if o.Write != "" && len(o.Value) == 0 {
			return fmt.Sprintf("no value for %s", o.Write)
		}
		if size := packed.JSONSize(o.Value); size > s.opt.ValueBytes {
			return fmt.Sprintf("the value of %s has %d bytes, at most %d are allowed", o.Write, size, s.opt.ValueBytes)
		}
	}
	return ""
}

func (s *State) commit(r *Request) {
	var t transaction
	if err := packed.Unmarshal(r.Body, &t); err != nil {
		s.refuse(r.Ref, 400, 0, "%v", err)
		return
	}
	if why := s.check(&t, r.Body); why != "" {
		s.refuse(r.Ref, 400, 0, "%s", why)
		return
	}
	if s.failing && len(t.Apply) > 0 {
		s.refuse(r.Ref, 503, time.Second, "changes cannot be kept")
		return
	}
	if s.writes != nil {
		if s.writes.Available(s.now) < len(t.Apply) {
			s.refuse(r.Ref, 429, time.Second, "more than %g changes a second", s.opt.WriteRate)
			return
		}
		s.writes.Take(len(t.Apply))
	}
	for _, o := range t.Apply {
		if o.Lease != 0 && s.leases[o.Lease] == nil {
			s.refuse(r.Ref, 400, 0, "no such lease")
			return
		}
	}
	var failed []string
	for _, g := range t.Guards {
		mark := uint64(0)
		if it := s.get(g.Key); it != nil {
			mark = it.mark
		}
		if mark != g.Mark {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		s.reply(r.Ref, 409, conflictAnswer{failed, s.revision})
		return
	}
	if len(t.Apply) > 0 {
		changes := make([]change, 0, len(t.Apply))
		for _, o := range t.Apply {
			if o.Drop != "" {
				changes = append(changes, change{drop: true, key: o.Drop})
			} else {
				changes = append(changes, change{key: o.Write, value: o.Value, lease: o.Lease})
			}
		}
		s.e.Records = appendCommit(s.e.Records, s.revision+1, changes)
		s.apply(s.revision+1, changes, &s.e.undos)
	}
	s.reply(r.Ref, 200, revisionAnswer{s.revision})
}

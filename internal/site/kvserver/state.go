// Package kvserver is the state service of a site: a small, strongly consistent store of keys, with
// guarded commits, leases and watches, as the protocol describes it. Its State is the owner of
// all that is kept and steps through requests without I/O and without a clock; the Service
// brings each step's records into a log before its answers go out, and takes snapshots so that
// the log stays short. The package knows nothing of what the keys mean.
package kvserver

import (
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
)

// Limits of the protocol.
const (
	maxKeyBytes              = 200
	maxListedKeys            = 1000
	maxListBytes             = 512 << 10
	maxWatchWait             = 60 * time.Second
	minLeaseTTL              = 100 * time.Millisecond
	maxLeaseTTL              = 600 * time.Second
	maxLeases                = 10_000
	maxTransactionBytes      = 64 << 10
	maxPreconditionsPerOp    = 4
	maxJSONBytesPerByte      = 6  // JSON bytes of one byte at most
	listedEntryOverheadBytes = 64 // JSON bytes of a listed entry besides key and value
)

// State is what the store holds and who waits for it.
type State struct {
	*keyspace
	options        config.KVServer
	requestLimiter *client.RateLimiter // nil: no limit
	writeLimiter   *client.RateLimiter
	watches        []*watch
	writesFailing  bool // changes cannot be kept at present
	effects        Effects
	now            time.Time
}

type watch struct {
	handle       any
	prefix       string
	fromRevision uint64
	deadline     time.Time
}

// newState makes the owner of a content. Leases have their full time from now on.
func newState(data *keyspace, options config.KVServer, now time.Time) *State {
	s := &State{keyspace: data, options: options}
	if options.RequestRate > 0 {
		s.requestLimiter = client.NewRateLimiter(options.RequestRate, time.Second)
	}
	if options.WriteRate > 0 {
		s.writeLimiter = client.NewRateLimiter(options.WriteRate, time.Second)
	}
	s.renewAllLeases(now)
	return s
}

func (s *State) renewAllLeases(now time.Time) {
	for _, l := range s.leases {
		l.expiresAt = now.Add(l.ttl)
	}
}

// SetWritesFailing says whether changes can be kept. While they cannot, commits are refused and no lease
// ends; afterwards every lease has its full time again.
func (s *State) SetWritesFailing(now time.Time, failing bool) {
	if s.writesFailing && !failing {
		s.renewAllLeases(now)
	}
	s.writesFailing = failing
}

// Undo takes steps back whose records were not kept, the last one first.
func (s *State) Undo(e Effects) { s.undoAll(e.undos) }

// ForEachKey shows every key, in order.
func (s *State) ForEachKey(visit func(key string, value []byte, mark, lease uint64)) {
	s.tree.Ascend(func(it *item) bool {
		visit(it.key, it.value, it.modRevision, it.leaseID)
		return true
	})
}

// LeaseIDs lists the leases that are there.
func (s *State) LeaseIDs() []uint64 { return slices.Sorted(maps.Keys(s.leases)) }

// LastLeaseID is the number of the last lease that was granted.
func (s *State) LastLeaseID() uint64 { return s.lastLeaseID }

// Revision is that of the last change.
func (s *State) Revision() uint64 { return s.revision }

// Step works through a batch of requests.
func (s *State) Step(now time.Time, batch []Request) Effects {
	s.effects, s.now = Effects{}, now
	before := s.revision
	if !s.writesFailing {
		s.expireLeases()
	}
	for i := range batch {
		s.handleRequest(&batch[i])
	}
	s.notifyWatches(before)
	e := s.effects
	s.effects = Effects{}
	return e
}

func (s *State) respond(handle any, status int, body any) {
	s.effects.Responses = append(s.effects.Responses, Response{Handle: handle, Status: status, Body: body})
}

func (s *State) reject(handle any, status int, retryAfter time.Duration, format string, args ...any) {
	s.effects.Responses = append(
		s.effects.Responses,
		Response{Handle: handle, Status: status, Body: errorResponse{fmt.Sprintf(format, args...)}, RetryAfter: retryAfter},
	)
}

// expireLeases ends the leases whose time is over.
func (s *State) expireLeases() {
	var expired []uint64
	for id, l := range s.leases {
		if !s.now.Before(l.expiresAt) {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		s.endLease(id)
	}
}

func (s *State) endLease(id uint64) {
	revision := uint64(0)
	if len(s.leases[id].keys) > 0 {
		revision = s.revision + 1
	}
	s.effects.Records = appendLeaseEndRecord(s.effects.Records, id, revision)
	s.removeLease(id, revision, &s.effects.undos)
}

// notifyWatches answers the watches that have something to see, and those whose time is up.
func (s *State) notifyWatches(before uint64) {
	events, retained := s.eventsSince(before, "")
	open := s.watches[:0]
	for _, w := range s.watches {
		isDue := !retained || !s.now.Before(w.deadline) && !s.writesFailing
		for _, e := range events {
			isDue = isDue || strings.HasPrefix(e.key, w.prefix)
		}
		if !isDue || !s.notifyWatch(w) {
			open = append(open, w)
		}
	}
	clear(s.watches[len(open):])
	s.watches = open
}

// notifyWatch answers a watch, if there is something to see or its time is up.
func (s *State) notifyWatch(watcher *watch) bool {
	events, ok := s.eventsSince(watcher.fromRevision, watcher.prefix)
	if !ok {
		s.respond(watcher.handle, 410, revisionResponse{s.revision})
		return true
	}
	if len(events) == 0 && s.now.Before(watcher.deadline) {
		return false
	}
	a := watchResponse{Revision: s.revision, Events: make([]eventResponse, 0, len(events))}
	for _, e := range events {
		response := eventResponse{WrittenKey: e.key, Value: e.value, ModRevision: e.modRevision}
		if e.isDelete {
			response = eventResponse{DeletedKey: e.key, ModRevision: e.modRevision}
		}
		a.Events = append(a.Events, response)
	}
	s.respond(watcher.handle, 200, a)
	return true
}

func (s *State) handleRequest(request *Request) {
	if s.requestLimiter != nil {
		if s.requestLimiter.Available(s.now) < 1 {
			s.reject(request.Handle, 429, time.Second, "more than %g requests a second", s.options.RequestRate)
			return
		}
		s.requestLimiter.Take(1)
	}
	target, err := url.ParseRequestURI(request.Target)
	if err != nil {
		s.reject(request.Handle, 400, 0, "no such path")
		return
	}
	key, isKeyPath := strings.CutPrefix(target.Path, "/keys/")
	id, isLeasePath := strings.CutPrefix(target.Path, "/leases/")
	id, isTouch := strings.CutSuffix(id, "/touch")
	switch {
	case target.Path == "/commit" && request.Method == http.MethodPost:
		s.commitTransaction(request)
	case isKeyPath && request.Method == http.MethodGet:
		s.getKey(request, key)
	case target.Path == "/keys" && request.Method == http.MethodGet:
		s.listKeys(request, target.Query())
	case target.Path == "/leases" && request.Method == http.MethodPost:
		s.grantLease(request)
	case isLeasePath && (isTouch && request.Method == http.MethodPost || !isTouch && request.Method == http.MethodDelete):
		s.handleLease(request, id, isTouch)
	case target.Path == "/watch" && request.Method == http.MethodGet:
		s.openWatch(request, target.Query())
	case target.Path == "/ready" && request.Method == http.MethodGet:
		s.respond(request.Handle, 200, revisionResponse{s.revision})
	default:
		s.reject(request.Handle, 400, 0, "no such path or method")
	}
}

func isValidKey(key string) bool {
	return key != "" && len(key) <= maxKeyBytes && !strings.ContainsAny(key, " \t\r\n")
}

func (s *State) getKey(r *Request, key string) {
	if !isValidKey(key) {
		s.reject(r.Handle, 400, 0, "a key has 1 to %d bytes and no spaces", maxKeyBytes)
		return
	}
	it := s.get(key)
	if it == nil {
		s.respond(r.Handle, 404, revisionResponse{s.revision})
		return
	}
	s.respond(r.Handle, 200, keyResponse{it.key, it.value, it.modRevision, it.leaseID})
}

// parseCount reads a number of a query; it is 0 if the field is missing.
func parseCount(q url.Values, name string, limit uint64) (uint64, bool) {
	text := q.Get(name)
	if text == "" {
		return 0, true
	}
	n, err := strconv.ParseUint(text, 10, 64)
	return n, err == nil && n <= limit
}

func (s *State) listKeys(request *Request, query url.Values) {
	prefix, from := query.Get("starts"), query.Get("from")
	maxEntries, ok := parseCount(query, "most", 1<<32)
	if !ok || len(prefix) > maxKeyBytes || len(from) > maxKeyBytes {
		s.reject(request.Handle, 400, 0, "a list that cannot be understood")
		return
	}
	if maxEntries == 0 || maxEntries > maxListedKeys {
		maxEntries = maxListedKeys
	}
	a := listResponse{Entries: []keyResponse{}, Revision: s.revision}
	bytes := 0
	s.tree.AscendGreaterOrEqual(&item{key: max(prefix, from)}, func(it *item) bool {
		if !strings.HasPrefix(it.key, prefix) {
			return false
		}
		if it.key == from {
			return true
		}
		bytes += it.jsonBytes + len(it.key) + listedEntryOverheadBytes
		if uint64(len(a.Entries)) == maxEntries || bytes > maxListBytes && len(a.Entries) > 0 {
			a.HasMore = true
			return false
		}
		a.Entries = append(a.Entries, keyResponse{it.key, it.value, it.modRevision, it.leaseID})
		return true
	})
	s.respond(request.Handle, 200, a)
}

func (s *State) grantLease(request *Request) {
	var a leaseRequest
	if err := codec.Unmarshal(request.Body, &a); err != nil {
		s.reject(request.Handle, 400, 0, "%v", err)
		return
	}
	ttl := time.Duration(a.TTLMillis) * time.Millisecond
	switch {
	case a.TTLMillis < minLeaseTTL.Milliseconds() || a.TTLMillis > maxLeaseTTL.Milliseconds():
		s.reject(request.Handle, 400, 0, "ttl_ms is not between %d and %d", minLeaseTTL.Milliseconds(), maxLeaseTTL.Milliseconds())
	case s.writesFailing:
		s.reject(request.Handle, 503, time.Second, "changes cannot be kept")
	case len(s.leases) >= maxLeases:
		s.reject(request.Handle, 429, time.Second, "more than %d leases", maxLeases)
	default:
		id := s.lastLeaseID + 1
		s.addLease(id, ttl, s.now, &s.effects.undos)
		s.effects.Records = appendLeaseGrantRecord(s.effects.Records, id, ttl)
		s.respond(request.Handle, 200, leaseResponse{id})
	}
}

func (s *State) handleLease(request *Request, text string, isTouch bool) {
	id, err := strconv.ParseUint(text, 10, 64)
	granted := s.leases[id]
	switch {
	case err != nil:
		s.reject(request.Handle, 400, 0, "no number of a lease")
	case granted == nil:
		s.reject(request.Handle, 404, 0, "no such lease")
	case isTouch:
		granted.expiresAt = s.now.Add(granted.ttl)
		s.respond(request.Handle, 200, leaseResponse{id})
	case s.writesFailing:
		s.reject(request.Handle, 503, time.Second, "changes cannot be kept")
	default:
		s.endLease(id)
		s.respond(request.Handle, 200, leaseResponse{id})
	}
}

func (s *State) openWatch(request *Request, query url.Values) {
	from, ok := parseCount(query, "from", ^uint64(0))
	wait, valid := parseCount(query, "wait_ms", uint64(maxWatchWait.Milliseconds()))
	prefix := query.Get("starts")
	if !ok || !valid || len(prefix) > maxKeyBytes {
		s.reject(request.Handle, 400, 0, "a watch that cannot be understood")
		return
	}
	watcher := &watch{request.Handle, prefix, from, s.now.Add(time.Duration(wait) * time.Millisecond)}
	if s.notifyWatch(watcher) {
		return
	}
	if len(s.watches) >= s.options.MaxWatches {
		s.reject(request.Handle, 429, time.Second, "more than %d watches", s.options.MaxWatches)
		return
	}
	s.watches = append(s.watches, watcher)
}

// validateTransaction says why a transaction is malformed or over the limits, empty if it is neither.
func (s *State) validateTransaction(t *transaction, body []byte) string {
	switch {
	case len(t.Operations) > s.options.MaxTransactionOps:
		return fmt.Sprintf("%d changes, at most %d are allowed", len(t.Operations), s.options.MaxTransactionOps)
	case len(t.Preconditions) > maxPreconditionsPerOp*s.options.MaxTransactionOps:
		return fmt.Sprintf("%d guards, at most %d are allowed", len(t.Preconditions), maxPreconditionsPerOp*s.options.MaxTransactionOps)
	case len(body)*maxJSONBytesPerByte > maxTransactionBytes && codec.JSONSize(body) > maxTransactionBytes:
		return "the transaction is larger than 64 KiB"
	}
	for _, g := range t.Preconditions {
		if !isValidKey(g.Key) {
			return fmt.Sprintf("guard of %q: no key", g.Key)
		}
	}
	for _, o := range t.Operations {
		if (o.WriteKey == "") == (o.DeleteKey == "") || !isValidKey(o.WriteKey+o.DeleteKey) {
			return "a change has either a key to write or one to drop"
		}
		if o.WriteKey != "" && len(o.Value) == 0 {
			return fmt.Sprintf("no value for %s", o.WriteKey)
		}
		if size := codec.JSONSize(o.Value); size > s.options.MaxValueBytes {
			return fmt.Sprintf("the value of %s has %d bytes, at most %d are allowed", o.WriteKey, size, s.options.MaxValueBytes)
		}
	}
	return ""
}

func (s *State) commitTransaction(request *Request) {
	var t transaction
	if err := codec.Unmarshal(request.Body, &t); err != nil {
		s.reject(request.Handle, 400, 0, "%v", err)
		return
	}
	if reason := s.validateTransaction(&t, request.Body); reason != "" {
		s.reject(request.Handle, 400, 0, "%s", reason)
		return
	}
	if s.writesFailing && len(t.Operations) > 0 {
		s.reject(request.Handle, 503, time.Second, "changes cannot be kept")
		return
	}
	if s.writeLimiter != nil {
		if s.writeLimiter.Available(s.now) < len(t.Operations) {
			s.reject(request.Handle, 429, time.Second, "more than %g changes a second", s.options.WriteRate)
			return
		}
		s.writeLimiter.Take(len(t.Operations))
	}
	for _, o := range t.Operations {
		if o.LeaseID != 0 && s.leases[o.LeaseID] == nil {
			s.reject(request.Handle, 400, 0, "no such lease")
			return
		}
	}
	var failed []string
	for _, g := range t.Preconditions {
		modRevision := uint64(0)
		if it := s.get(g.Key); it != nil {
			modRevision = it.modRevision
		}
		if modRevision != g.ModRevision {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		s.respond(request.Handle, 409, conflictResponse{failed, s.revision})
		return
	}
	if len(t.Operations) > 0 {
		changes := make([]change, 0, len(t.Operations))
		for _, o := range t.Operations {
			if o.DeleteKey != "" {
				changes = append(changes, change{isDelete: true, key: o.DeleteKey})
			} else {
				changes = append(changes, change{key: o.WriteKey, value: o.Value, leaseID: o.LeaseID})
			}
		}
		s.effects.Records = appendCommitRecord(s.effects.Records, s.revision+1, changes)
		s.apply(s.revision+1, changes, &s.effects.undos)
	}
	s.respond(request.Handle, 200, revisionResponse{s.revision})
}

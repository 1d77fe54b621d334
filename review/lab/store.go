package main

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"gullrudder/internal/wire/codec"
)

// storeKey is one key of the stand-in state service.
type storeKey struct {
	value any
	mark  uint64
	lease uint64
}

// storeLease is a lease of the stand-in state service.
type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in for the state service, as PROTOCOL describes it. All content is in memory.
type store struct {
	mu        sync.Mutex
	keys      map[string]storeKey
	leases    map[uint64]storeLease
	log       []codec.Object // changes, oldest first
	tide      uint64
	lastLease uint64
	changed   chan struct{} // closed and replaced at each change

	down    bool            // outage: every request gets 503
	refused map[string]bool // controllers that get 503
	slow    time.Duration   // greatest additional time of an answer
	limits  *storeLimits    // enforced limits; nil: none

	refusals map[int]int // refused requests by status
	loseAt   func() (lost bool, lateBy time.Duration)
}

// storeLimits are enforced limits of the state service.
type storeLimits struct {
	rps, writeRPS, valueKB float64
	txnOps                 int

	requests, writes float64 // left
	filled           time.Time
}

func (m *storeLimits) fill() {
	now := time.Now()
	passed := now.Sub(m.filled).Seconds()
	if m.filled.IsZero() {
		passed = 1
	}
	m.filled = now
	m.requests = min(m.rps, m.requests+passed*m.rps)
	m.writes = min(m.writeRPS, m.writes+passed*m.writeRPS)
}

// refuse returns the status of a request that breaks a limit, and 0 otherwise.
func (m *storeLimits) refuse(apply, guards []any) int {
	m.fill()
	if m.requests < 1 {
		return http.StatusTooManyRequests
	}
	m.requests--
	if len(apply) > m.txnOps || len(guards) > 4*m.txnOps {
		return http.StatusBadRequest
	}
	for _, item := range apply {
		if raw, err := json.Marshal(item.(map[string]any)["value"]); err != nil || float64(len(raw)) > m.valueKB*1024 {
			return http.StatusBadRequest
		}
	}
	if float64(len(apply)) > m.writes {
		return http.StatusTooManyRequests
	}
	m.writes -= float64(len(apply))
	return 0
}

func (s *store) setSlow(slow time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = slow
}

func (s *store) setLimits(m *storeLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = m
}

func newStore() *store {
	s := &store{
		keys: map[string]storeKey{}, leases: map[uint64]storeLease{}, changed: make(chan struct{}), refused: map[string]bool{},
		refusals: map[int]int{},
	}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !down {
		for id, l := range s.leases {
			s.leases[id] = storeLease{l.ttl, time.Now().Add(l.ttl)}
		}
	}
	s.down = down
}

func (s *store) setRefused(name string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[name] = refused
}

// setLate makes a third of the transactions unanswered, and executed at once or up to 4 s later.
func (s *store) setLate(late bool, rng *rand.Rand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAt = nil
	if late {
		s.loseAt = func() (bool, time.Duration) {
			return rng.IntN(3) == 0, time.Duration(rng.IntN(2)*rng.IntN(4000)) * time.Millisecond
		}
	}
}

// lose reports whether the answer to a transaction is lost, and how late the transaction is executed.
func (s *store) lose() (lost bool, lateBy time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loseAt == nil {
		return false, 0
	}
	return s.loseAt()
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var drops []string
	for key, k := range s.keys {
		if k.lease == id {
			drops = append(drops, key)
		}
	}
	if len(drops) == 0 {
		return
	}
	s.tide++
	for _, key := range drops {
		delete(s.keys, key)
		s.log = append(s.log, codec.Object{"drop": key, "mark": s.tide})
	}
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// handler returns the service as one controller reaches it.
func (s *store) handler(from string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := readBody(r)
		if r.URL.Path == "/watch" {
			s.watch(w, r, from)
			return
		}
		s.mu.Lock()
		delay := 2*time.Millisecond + time.Duration(rand.Int64N(int64(s.slow)+1))
		s.mu.Unlock()
		time.Sleep(delay)
		if r.URL.Path == "/commit" {
			if lost, lateBy := s.lose(); lost {
				time.Sleep(lateBy)
				s.mu.Lock()
				if !s.down {
					s.commit(body)
				}
				s.mu.Unlock()
				hang(w)
				return
			}
		}
		s.mu.Lock()
		if s.down || s.refused[from] {
			s.mu.Unlock()
			respond(w, 503, codec.Object{"error": "trouble"})
			return
		}
		status, answer := s.serve(r, body)
		s.mu.Unlock()
		respond(w, status, answer)
	})
}

func (s *store) serve(r *http.Request, body codec.Object) (int, codec.Object) {
	path := r.URL.Path
	if s.limits != nil {
		apply, _ := body["apply"].([]any)
		guards, _ := body["guards"].([]any)
		if status := s.limits.refuse(apply, guards); status != 0 {
			s.refusals[status]++
			return status, codec.Object{"error": "limit"}
		}
	}
	switch {
	case path == "/commit":
		return s.commit(body)
	case path == "/leases":
		s.lastLease++
		ttl := time.Duration(number(body["ttl_ms"])) * time.Millisecond
		s.leases[s.lastLease] = storeLease{ttl, time.Now().Add(ttl)}
		return 200, codec.Object{"permit": s.lastLease}
	case strings.HasPrefix(path, "/leases/"):
		id, _ := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(path, "/leases/"), "/touch"), 10, 64)
		l, ok := s.leases[id]
		if !ok {
			return 404, codec.Object{"error": "no such lease"}
		}
		if r.Method == http.MethodDelete {
			s.endLease(id)
		} else {
			s.leases[id] = storeLease{l.ttl, time.Now().Add(l.ttl)}
		}
		return 200, codec.Object{"permit": id}
	case path == "/keys":
		return s.list(r)
	}
	key := strings.TrimPrefix(path, "/keys/")
	k, ok := s.keys[key]
	if !ok {
		return 404, codec.Object{"tide": s.tide}
	}
	return 200, k.object(key)
}

func (k storeKey) object(key string) codec.Object {
	o := codec.Object{"path": key, "value": k.value, "mark": k.mark}
	if k.lease != 0 {
		o["permit"] = k.lease
	}
	return o
}

func (s *store) list(r *http.Request) (int, codec.Object) {
	query := r.URL.Query()
	most, _ := strconv.Atoi(query.Get("most"))
	var names []string
	for key := range s.keys {
		if strings.HasPrefix(key, query.Get("starts")) && key > query.Get("from") {
			names = append(names, key)
		}
	}
	sort.Strings(names)
	more := most > 0 && len(names) > most
	if more {
		names = names[:most]
	}
	entries := []any{}
	for _, key := range names {
		entries = append(entries, s.keys[key].object(key))
	}
	return 200, codec.Object{"entries": entries, "has_next": more, "tide": s.tide}
}

func (s *store) commit(body codec.Object) (int, codec.Object) {
	guards, _ := body["guards"].([]any)
	apply, _ := body["apply"].([]any)
	for _, item := range apply {
		lease := number(item.(map[string]any)["permit"])
		if _, ok := s.leases[lease]; lease != 0 && !ok {
			return 400, codec.Object{"error": "no such lease"}
		}
	}
	failed := []any{}
	for _, item := range guards {
		guard := item.(map[string]any)
		if s.keys[guard["path"].(string)].mark != number(guard["mark"]) {
			failed = append(failed, guard["path"])
		}
	}
	if len(failed) > 0 {
		return 409, codec.Object{"failed": failed, "tide": s.tide}
	}
	if len(apply) > 0 {
		s.tide++
		for _, item := range apply {
			s.applyOne(item.(map[string]any))
		}
		s.notify()
	}
	return 200, codec.Object{"tide": s.tide}
}

func (s *store) applyOne(change map[string]any) {
	if key, ok := change["write"].(string); ok && key != "" {
		s.keys[key] = storeKey{change["value"], s.tide, number(change["permit"])}
		s.log = append(s.log, codec.Object{"write": key, "value": change["value"], "mark": s.tide})
		return
	}
	key, _ := change["drop"].(string)
	delete(s.keys, key)
	s.log = append(s.log, codec.Object{"drop": key, "mark": s.tide})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, from string) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		blocked := s.down || s.refused[from]
		changes := []any{}
		for _, c := range s.log {
			key, _ := c["write"].(string)
			if key == "" {
				key = c["drop"].(string)
			}
			if number(c["mark"]) > after && strings.HasPrefix(key, query.Get("starts")) {
				changes = append(changes, map[string]any(c))
			}
		}
		tide, changed := s.tide, s.changed
		s.mu.Unlock()
		if !blocked && (len(changes) > 0 || expired) {
			respond(w, 200, codec.Object{"tide": tide, "log": changes})
			return
		}
		if blocked {
			changed = nil
		}
		select {
		case <-changed:
		case <-time.After(100 * time.Millisecond):
		case <-end:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

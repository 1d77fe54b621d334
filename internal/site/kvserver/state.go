// Package kvserver is the state service of a site: a small, strongly consistent key-value store with compare-and-swap transactions,
// leases and watches, as the platform's protocol defines it. Its State owns the keys, leases and watches and steps through requests without
// I/O and without a clock. Its Server writes each step's records to a write-ahead log before the responses go out, and takes
// snapshots so that the log stays short. The package never interprets a value, and never confirms a change that is not durable.
// Design note: docs/design/state.md; operation: docs/operations/state.md.
package kvserver

import (
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/server"
)

// State is the content of the store and its open watches. It belongs to one goroutine.
type State struct {
	*keyspace
	options        config.KVServerOptions
	requestLimiter *client.RateLimiter // nil: no limit
	writeLimiter   *client.RateLimiter // nil: no limit
	watches        []*watch
	writesFailing  bool // changes cannot be made durable at present
	effects        Effects
	now            time.Time // of the step
}

// newState returns the state of a keyspace. Its leases have their full time to live from now on.
func newState(keys *keyspace, options config.KVServerOptions, now time.Time) *State {
	s := &State{keyspace: keys, options: options}
	if options.RequestRate > 0 {
		s.requestLimiter = client.NewRateLimiter(options.RequestRate, time.Second)
	}
	if options.WriteRate > 0 {
		s.writeLimiter = client.NewRateLimiter(options.WriteRate, time.Second)
	}
	s.renewAllLeases(now)
	return s
}

// SetWritesFailing sets whether changes fail to be made durable. While they do, transactions are refused and no lease expires;
// afterwards every lease has its full time to live again.
func (s *State) SetWritesFailing(now time.Time, failing bool) {
	if s.writesFailing && !failing {
		s.renewAllLeases(now)
	}
	s.writesFailing = failing
}

// Undo reverts a step whose records were not made durable. Several steps have to be undone in reverse order.
func (s *State) Undo(e Effects) { s.undoAll(e.undos) }

// ForEachKey visits every key, in order.
func (s *State) ForEachKey(visit func(key string, value []byte, modRevision, leaseID uint64)) {
	s.tree.Ascend(func(it *item) bool {
		visit(it.key, it.value, it.modRevision, it.leaseID)
		return true
	})
}

// LeaseIDs returns the IDs of all leases, in order.
func (s *State) LeaseIDs() []uint64 { return slices.Sorted(maps.Keys(s.leases)) }

// LastLeaseID returns the ID of the last granted lease.
func (s *State) LastLeaseID() uint64 { return s.lastLeaseID }

// Revision returns the revision of the last change.
func (s *State) Revision() uint64 { return s.revision }

// Step processes a batch of requests. The caller carries out the effects of the steps in order.
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
	effects := s.effects
	s.effects = Effects{}
	return effects
}

func (s *State) respond(handle any, status int, body any) {
	s.effects.Responses = append(s.effects.Responses, Response{Handle: handle, Status: status, Body: body})
}

// reject answers a refused request with the reason. A retryAfter of 0 is not sent.
func (s *State) reject(handle any, status int, retryAfter time.Duration, format string, args ...any) {
	s.effects.Responses = append(s.effects.Responses, Response{
		Handle: handle, Status: status, Body: server.ErrorResponse{Error: fmt.Sprintf(format, args...)}, RetryAfter: retryAfter,
	})
}

// rejectMalformed answers a request that the protocol does not allow.
func (s *State) rejectMalformed(handle any, format string, args ...any) {
	s.reject(handle, http.StatusBadRequest, 0, format, args...)
}

// rejectOverLimit answers a request that a limit does not allow at present.
func (s *State) rejectOverLimit(handle any, format string, args ...any) {
	s.reject(handle, http.StatusTooManyRequests, limitRetryAfter, format, args...)
}

// rejectNotDurable answers a change that cannot be made durable at present.
func (s *State) rejectNotDurable(handle any) {
	s.reject(handle, http.StatusServiceUnavailable, limitRetryAfter, "%s", notDurable)
}

func (s *State) handleRequest(request *Request) {
	if s.requestLimiter != nil {
		if s.requestLimiter.Available(s.now) < 1 {
			s.rejectOverLimit(request.Handle, "more than %g requests a second", s.options.RequestRate)
			return
		}
		s.requestLimiter.Take(1)
	}
	target, err := url.ParseRequestURI(request.Target)
	if err != nil {
		s.rejectMalformed(request.Handle, "no such path")
		return
	}
	s.route(request, target)
}

// route calls the handler of a request's path and method.
func (s *State) route(request *Request, target *url.URL) {
	key, isKey := strings.CutPrefix(target.Path, "/keys/")
	lease, isLease := strings.CutPrefix(target.Path, "/leases/")
	isGet, isPost := request.Method == http.MethodGet, request.Method == http.MethodPost
	switch {
	case target.Path == "/commit" && isPost:
		s.commitTransaction(request)
	case isKey && isGet:
		s.getKey(request, key)
	case target.Path == "/keys" && isGet:
		s.listKeys(request, target.Query())
	case target.Path == "/leases" && isPost:
		s.grantLease(request)
	case isLease && isPost && strings.HasSuffix(lease, touchSuffix):
		s.renewLease(request, strings.TrimSuffix(lease, touchSuffix))
	case isLease && request.Method == http.MethodDelete && !strings.HasSuffix(lease, touchSuffix):
		s.revokeLease(request, lease)
	case target.Path == "/watch" && isGet:
		s.openWatch(request, target.Query())
	case target.Path == "/ready" && isGet:
		s.respond(request.Handle, http.StatusOK, revisionResponse{s.revision})
	default:
		s.rejectMalformed(request.Handle, "no such path or method")
	}
}

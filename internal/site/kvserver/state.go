// Package kvserver implements the state service of a site: a small, strongly consistent key-value store with compare-and-swap
// transactions, leases and watches. The platform defines its protocol.
//
// State owns the keys, leases and watches. It processes requests in steps, without I/O and without reading a clock. Server writes the
// records of each step to a write-ahead log before it sends the responses. It takes snapshots so that the log stays short.
//
// The package never interprets a value, and never confirms a change that is not durable.
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

// State is the content of a store and its open watches. It is not safe for concurrent use.
type State struct {
	*keyspace
	options        config.KVServerOptions
	requestLimiter *client.RateLimiter // nil: no limit
	writeLimiter   *client.RateLimiter // nil: no limit
	watches        []*watch
	writesFailing  bool // the log cannot be written at present
	effects        Effects
	now            time.Time // of the current step
}

// newState returns the state of a keyspace. Every lease has its full time to live, counted from now.
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

// SetWritesFailing sets whether writes to the log fail. While they fail, changes are refused and no lease expires. When they stop
// failing, every lease gets its full time to live again.
func (s *State) SetWritesFailing(now time.Time, failing bool) {
	if s.writesFailing && !failing {
		s.renewAllLeases(now)
	}
	s.writesFailing = failing
}

// Undo reverts a step whose records were not made durable. Several steps have to be undone in reverse order, the last one first.
func (s *State) Undo(e Effects) { s.undoAll(e.undos) }

// ForEachKey calls visit for every key, in ascending order. A leaseID of 0 means no lease. visit must not modify the value.
func (s *State) ForEachKey(visit func(key string, value []byte, modRevision, leaseID uint64)) {
	s.tree.Ascend(func(it *item) bool {
		visit(it.key, it.value, it.modRevision, it.leaseID)
		return true
	})
}

// LeaseIDs returns the IDs of all leases, in ascending order.
func (s *State) LeaseIDs() []uint64 { return slices.Sorted(maps.Keys(s.leases)) }

// LastLeaseID returns the ID of the last granted lease, which may have ended since; 0: none was granted.
func (s *State) LastLeaseID() uint64 { return s.lastLeaseID }

// Revision returns the revision of the last change; 0: there was none.
func (s *State) Revision() uint64 { return s.revision }

// Step expires leases, processes a batch of requests, and answers watches. The caller carries out the effects of the steps in order.
func (s *State) Step(now time.Time, batch []Request) Effects {
	s.effects, s.now = Effects{}, now
	previousRevision := s.revision
	if !s.writesFailing {
		s.expireLeases()
	}
	for i := range batch {
		s.handleRequest(&batch[i])
	}
	s.notifyWatches(previousRevision)
	effects := s.effects
	s.effects = Effects{}
	return effects
}

func (s *State) respond(handle any, status int, body any) {
	s.effects.Responses = append(s.effects.Responses, Response{Handle: handle, Status: status, Body: body})
}

// reject answers a request with an error status and the reason. A retryAfter of 0 is not sent.
func (s *State) reject(handle any, status int, retryAfter time.Duration, format string, args ...any) {
	s.effects.Responses = append(s.effects.Responses, Response{
		Handle: handle, Status: status, Body: server.ErrorResponse{Error: fmt.Sprintf(format, args...)}, RetryAfter: retryAfter,
	})
}

// rejectMalformed answers a request that violates the protocol.
func (s *State) rejectMalformed(handle any, format string, args ...any) {
	s.reject(handle, http.StatusBadRequest, 0, format, args...)
}

// rejectOverLimit answers a request that would exceed a limit at present.
func (s *State) rejectOverLimit(handle any, format string, args ...any) {
	s.reject(handle, http.StatusTooManyRequests, limitRetryAfter, format, args...)
}

// rejectNotDurable answers a change that cannot be made durable at present.
func (s *State) rejectNotDurable(handle any) {
	s.reject(handle, http.StatusServiceUnavailable, limitRetryAfter, "%s", notDurableMessage)
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
	case isLease && isPost && strings.HasSuffix(lease, leaseRenewalSuffix):
		s.renewLease(request, strings.TrimSuffix(lease, leaseRenewalSuffix))
	case isLease && request.Method == http.MethodDelete && !strings.HasSuffix(lease, leaseRenewalSuffix):
		s.revokeLease(request, lease)
	case target.Path == "/watch" && isGet:
		s.openWatch(request, target.Query())
	case target.Path == "/ready" && isGet:
		s.respond(request.Handle, http.StatusOK, revisionResponse{s.revision})
	default:
		s.rejectMalformed(request.Handle, "no such path or method")
	}
}

package kvserver

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"gullrudder/internal/wire/codec"
)

// grantLease grants a lease with the time to live of the request.
func (s *State) grantLease(request *Request) {
	var body leaseRequest
	if err := codec.Unmarshal(request.Body, &body); err != nil {
		s.rejectMalformed(request.Handle, "%v", err)
		return
	}
	ttl := time.Duration(body.TTLMillis) * time.Millisecond
	switch {
	case body.TTLMillis < minLeaseTTL.Milliseconds() || body.TTLMillis > maxLeaseTTL.Milliseconds():
		s.rejectMalformed(request.Handle, "ttl_ms is not between %d and %d", minLeaseTTL.Milliseconds(), maxLeaseTTL.Milliseconds())
	case s.writesFailing:
		s.rejectNotDurable(request.Handle)
	case len(s.leases) >= maxLeases:
		s.rejectOverLimit(request.Handle, "more than %d leases", maxLeases)
	default:
		id := s.lastLeaseID + 1
		s.addLease(id, ttl, s.now, &s.effects.undos)
		s.effects.Records = appendLeaseGrantRecord(s.effects.Records, id, ttl)
		s.respond(request.Handle, http.StatusOK, leaseResponse{id})
	}
}

// renewLease gives a lease its full time to live again. It writes no record, since a restart renews every lease.
func (s *State) renewLease(request *Request, id string) {
	l := s.findLease(request, id)
	if l == nil {
		return
	}
	l.expiresAt = s.now.Add(l.ttl)
	s.respond(request.Handle, http.StatusOK, leaseResponse{l.id})
}

// revokeLease ends a lease before it expires.
func (s *State) revokeLease(request *Request, id string) {
	l := s.findLease(request, id)
	switch {
	case l == nil:
	case s.writesFailing:
		s.rejectNotDurable(request.Handle)
	default:
		s.endLease(l.id)
		s.respond(request.Handle, http.StatusOK, leaseResponse{l.id})
	}
}

// findLease returns the lease of a request. If there is none, it answers the request and returns nil.
func (s *State) findLease(request *Request, text string) *lease {
	id, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		s.rejectMalformed(request.Handle, "no number of a lease")
		return nil
	}
	l := s.leases[id]
	if l == nil {
		s.reject(request.Handle, http.StatusNotFound, 0, "no such lease")
	}
	return l
}

func (s *State) renewAllLeases(now time.Time) {
	for _, l := range s.leases {
		l.expiresAt = now.Add(l.ttl)
	}
}

// expireLeases ends the expired leases, in the order of their IDs.
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

// endLease ends a lease. If it has keys, they are deleted together at a new revision.
func (s *State) endLease(id uint64) {
	revision := uint64(0)
	if len(s.leases[id].keys) > 0 {
		revision = s.revision + 1
	}
	s.effects.Records = appendLeaseEndRecord(s.effects.Records, id, revision)
	s.removeLease(id, revision, &s.effects.undos)
}

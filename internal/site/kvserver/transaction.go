package kvserver

import (
	"fmt"
	"net/http"

	"gullrudder/internal/wire/codec"
)

// commitTransaction applies all operations of a transaction if all of its preconditions hold, and none otherwise.
func (s *State) commitTransaction(request *Request) {
	var t transaction
	if err := codec.Unmarshal(request.Body, &t); err != nil {
		s.rejectMalformed(request.Handle, "%v", err)
		return
	}
	if reason := t.invalidReason(request.Body, s.options.MaxTransactionOps, s.options.MaxValueBytes); reason != "" {
		s.rejectMalformed(request.Handle, "%s", reason)
		return
	}
	if s.writesFailing && len(t.Operations) > 0 {
		s.rejectNotDurable(request.Handle)
		return
	}
	if !s.takeWriteTokens(len(t.Operations)) {
		s.rejectOverLimit(request.Handle, "more than %g changes a second", s.options.WriteRate)
		return
	}
	if !s.leasesExist(&t) {
		s.rejectMalformed(request.Handle, "no such lease")
		return
	}
	if failed := s.failedPreconditions(&t); len(failed) > 0 {
		s.respond(request.Handle, http.StatusConflict, conflictResponse{failed, s.revision})
		return
	}
	if len(t.Operations) > 0 {
		changes := t.changes()
		s.effects.Records = appendCommitRecord(s.effects.Records, s.revision+1, changes)
		s.apply(s.revision+1, changes, &s.effects.undos)
	}
	s.respond(request.Handle, http.StatusOK, revisionResponse{s.revision})
}

// takeWriteTokens takes a token of the rate limit for each change. If there are too few, it takes none and returns false.
func (s *State) takeWriteTokens(count int) bool {
	if s.writeLimiter == nil {
		return true
	}
	if s.writeLimiter.Available(s.now) < count {
		return false
	}
	s.writeLimiter.Take(count)
	return true
}

// leasesExist reports whether the leases of all operations exist.
func (s *State) leasesExist(t *transaction) bool {
	for _, o := range t.Operations {
		if o.LeaseID != 0 && s.leases[o.LeaseID] == nil {
			return false
		}
	}
	return true
}

// failedPreconditions returns the keys whose mod revision differs from that of their precondition.
func (s *State) failedPreconditions(t *transaction) []string {
	var failed []string
	for _, p := range t.Preconditions {
		modRevision := uint64(0) // of a key that does not exist
		if it := s.get(p.Key); it != nil {
			modRevision = it.modRevision
		}
		if modRevision != p.ModRevision {
			failed = append(failed, p.Key)
		}
	}
	return failed
}

// invalidReason returns why a transaction is malformed or exceeds a limit, or an empty string. body is its encoding.
func (t *transaction) invalidReason(body []byte, maxOps, maxValueBytes int) string {
	switch {
	case len(t.Operations) > maxOps:
		return fmt.Sprintf("%d changes, at most %d are allowed", len(t.Operations), maxOps)
	case len(t.Preconditions) > maxPreconditionsPerOp*maxOps:
		return fmt.Sprintf("%d guards, at most %d are allowed", len(t.Preconditions), maxPreconditionsPerOp*maxOps)
	case len(body)*maxJSONBytesPerByte > maxTransactionBytes && codec.JSONSize(body) > maxTransactionBytes:
		return "the transaction is larger than 64 KiB"
	}
	for _, p := range t.Preconditions {
		if !isValidKey(p.Key) {
			return fmt.Sprintf("guard of %q: no key", p.Key)
		}
	}
	for i := range t.Operations {
		if reason := t.Operations[i].invalidReason(maxValueBytes); reason != "" {
			return reason
		}
	}
	return ""
}

func (o *operation) invalidReason(maxValueBytes int) string {
	if (o.WriteKey == "") == (o.DeleteKey == "") || !isValidKey(o.WriteKey+o.DeleteKey) {
		return "a change has either a key to write or one to drop"
	}
	if o.WriteKey != "" && len(o.Value) == 0 {
		return fmt.Sprintf("no value for %s", o.WriteKey)
	}
	if size := codec.JSONSize(o.Value); size > maxValueBytes {
		return fmt.Sprintf("the value of %s has %d bytes, at most %d are allowed", o.WriteKey, size, maxValueBytes)
	}
	return ""
}

func (t *transaction) changes() []change {
	changes := make([]change, 0, len(t.Operations))
	for _, o := range t.Operations {
		if o.DeleteKey != "" {
			changes = append(changes, change{isDelete: true, key: o.DeleteKey})
		} else {
			changes = append(changes, change{key: o.WriteKey, value: o.Value, leaseID: o.LeaseID})
		}
	}
	return changes
}

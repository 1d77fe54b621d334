package kvserver

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Request is a request that came in. Ref is the runtime's own.
type Request struct {
	Handle any
	Method string
	Target string
	Body   []byte
}

// Response answers a request. What it says is so only once the log holds the changes of its step.
type Response struct {
	Handle     any
	Status     int
	Body       any
	RetryAfter time.Duration
}

// Effects are what a step has done: the records for the log, the answers that may go out once
// these last, and what undoes the step if they do not.
type Effects struct {
	Records   []byte
	Responses []Response
	undos     []undoFunc
}

type precondition struct {
	Key         string `msgpack:"path"`
	ModRevision uint64 `msgpack:"mark"`
}

type operation struct {
	WriteKey  string             `msgpack:"write"`
	DeleteKey string             `msgpack:"drop"`
	Value     msgpack.RawMessage `msgpack:"value"`
	LeaseID   uint64             `msgpack:"permit"`
}

type transaction struct {
	Preconditions []precondition `msgpack:"guards"`
	Operations    []operation    `msgpack:"apply"`
}

type keyResponse struct {
	Key         string             `msgpack:"path"`
	Value       msgpack.RawMessage `msgpack:"value"`
	ModRevision uint64             `msgpack:"mark"`
	LeaseID     uint64             `msgpack:"permit,omitempty"`
}

type listResponse struct {
	Entries  []keyResponse `msgpack:"entries"`
	HasMore  bool          `msgpack:"has_next"`
	Revision uint64        `msgpack:"tide"`
}

type revisionResponse struct {
	Revision uint64 `msgpack:"tide"`
}

type conflictResponse struct {
	FailedKeys []string `msgpack:"failed"`
	Revision   uint64   `msgpack:"tide"`
}

type leaseRequest struct {
	TTLMillis int64 `msgpack:"ttl_ms"`
}

type leaseResponse struct {
	LeaseID uint64 `msgpack:"permit"`
}

type eventResponse struct {
	WrittenKey  string             `msgpack:"write,omitempty"`
	DeletedKey  string             `msgpack:"drop,omitempty"`
	Value       msgpack.RawMessage `msgpack:"value,omitempty"`
	ModRevision uint64             `msgpack:"mark"`
}

type watchResponse struct {
	Revision uint64          `msgpack:"tide"`
	Events   []eventResponse `msgpack:"log"`
}

type errorResponse struct {
	Error string `msgpack:"error"`
}

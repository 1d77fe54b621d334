package store

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Request is a request that came in. Ref is the runtime's own.
type Request struct {
	Ref    any
	Method string
	Target string
	Body   []byte
}

// Reply answers a request. What it says is so only once the log holds the changes of its step.
type Reply struct {
	Ref    any
	Status int
	Body   any
	Retry  time.Duration
}

// Effects are what a step has done: the records for the log, the answers that may go out once
// these last, and what undoes the step if they do not.
type Effects struct {
	Records []byte
	Replies []Reply
	undos   []undo
}

type guard struct {
	Key  string `msgpack:"path"`
	Mark uint64 `msgpack:"mark"`
}

type operation struct {
	Write string             `msgpack:"write"`
	Drop  string             `msgpack:"drop"`
	Value msgpack.RawMessage `msgpack:"value"`
	Lease uint64             `msgpack:"permit"`
}

type transaction struct {
	Guards []guard     `msgpack:"guards"`
	Apply  []operation `msgpack:"apply"`
}

type keyAnswer struct {
	Key   string             `msgpack:"path"`
	Value msgpack.RawMessage `msgpack:"value"`
	Mark  uint64             `msgpack:"mark"`
	Lease uint64             `msgpack:"permit,omitempty"`
}

type listAnswer struct {
	Entries  []keyAnswer `msgpack:"entries"`
	More     bool        `msgpack:"has_next"`
	Revision uint64      `msgpack:"tide"`
}

type revisionAnswer struct {
	Revision uint64 `msgpack:"tide"`
}

type conflictAnswer struct {
	Failed   []string `msgpack:"failed"`
	Revision uint64   `msgpack:"tide"`
}

type leaseRequest struct {
	TTL int64 `msgpack:"ttl_ms"`
}

type leaseAnswer struct {
	Lease uint64 `msgpack:"permit"`
}

type eventAnswer struct {
	Write string             `msgpack:"write,omitempty"`
	Drop  string             `msgpack:"drop,omitempty"`
	Value msgpack.RawMessage `msgpack:"value,omitempty"`
	Mark  uint64             `msgpack:"mark"`
}

type watchAnswer struct {
	Revision uint64        `msgpack:"tide"`
	Events   []eventAnswer `msgpack:"log"`
}

type errorAnswer struct {
	Error string `msgpack:"error"`
}

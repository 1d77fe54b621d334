package kvserver

import (
	"gullrudder/internal/wire/server"

	"github.com/vmihailenco/msgpack/v5"
)

// Request is a request to the store.
type Request = server.Request

// Response answers a request. What it says is true only once the records of its step are durable.
type Response = server.ValueResponse

// Effects are what a step has done.
type Effects struct {
	Records   []byte     // for the log, before any response goes out
	Responses []Response // which may go out once the records are durable
	undos     []undoFunc // take the step back if the records are not made durable
}

// The messages of the protocol. The names in the tags are its own: path is a key, mark the revision of a key's last change, permit a
// lease, tide the revision of the store.

// precondition holds if the key was last changed in the revision; 0 stands for a key that is not there.
type precondition struct {
	Key         string `msgpack:"path"`
	ModRevision uint64 `msgpack:"mark"`
}

// operation writes a key or deletes one.
type operation struct {
	WriteKey  string             `msgpack:"write"`
	DeleteKey string             `msgpack:"drop"`
	Value     msgpack.RawMessage `msgpack:"value"`
	LeaseID   uint64             `msgpack:"permit"` // that the written key ends with; 0: none
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

// eventResponse is a change as a watcher sees it: one of the keys is set.
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

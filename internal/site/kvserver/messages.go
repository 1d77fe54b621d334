package kvserver

import (
	"gullrudder/internal/wire/server"

	"github.com/vmihailenco/msgpack/v5"
)

// Request is a request to the store. Its Handle identifies it in the Response.
type Request = server.Request

// Response answers a request. It may be sent only once the records of its step are durable.
type Response = server.ValueResponse

// Effects are the actions that the caller takes after a step.
type Effects struct {
	Records   []byte     // to be appended to the log and synced before any response is sent
	Responses []Response // to be sent once the records are durable
	undos     []undoFunc // revert the step if the records are not made durable
}

// The messages of the protocol. The protocol's own names occur only in the tags: path is a key, mark a mod revision, permit a lease ID,
// and tide the revision of the store.

// precondition holds if the key has the mod revision. A key that does not exist has mod revision 0.
type precondition struct {
	Key         string `msgpack:"path"`
	ModRevision uint64 `msgpack:"mark"`
}

// operation writes a key or deletes one: exactly one of WriteKey and DeleteKey is set.
type operation struct {
	WriteKey  string             `msgpack:"write"`
	DeleteKey string             `msgpack:"drop"`
	Value     msgpack.RawMessage `msgpack:"value"`
	LeaseID   uint64             `msgpack:"permit"` // the written key is deleted when this lease ends; 0: none
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

// eventResponse is a change in the response to a watch: exactly one of WrittenKey and DeletedKey is set.
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

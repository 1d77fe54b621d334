// Package stateapi defines the transactions that controllers send to the state service, and the responses. The election uses them to claim
// the leader's key, and package storage to write the pages. The package holds no state and sends nothing. The struct tags are the names on
// the wire. All versions send the same bytes.
package stateapi

import "github.com/vmihailenco/msgpack/v5"

// CommitPath is the path to which a CommitRequest is posted.
const CommitPath = "/commit"

// Precondition is the revision that a key must have for a commit to be executed.
type Precondition struct {
	Key         string `msgpack:"path"`
	ModRevision uint64 `msgpack:"mark"` // revision of the key's last write; 0: the key must not exist

	// compactZero selects the one-byte encoding of ModRevision 0, which all versions use for keys other than pages.
	compactZero bool
}

var _ msgpack.CustomEncoder = Precondition{}

// RequireAbsent returns the precondition that a key does not exist. It is for keys other than pages: for a page that was never written,
// all versions send a Precondition with ModRevision 0, which means the same but has a longer encoding.
func RequireAbsent(key string) Precondition { return Precondition{Key: key, compactZero: true} }

// EncodeMsgpack implements msgpack.CustomEncoder. It encodes ModRevision in 9 bytes, or 0 in one byte if compactZero is set.
func (p Precondition) EncodeMsgpack(encoder *msgpack.Encoder) error {
	if err := encoder.EncodeMapLen(2); err != nil {
		return err
	}
	if err := encoder.EncodeString("path"); err != nil {
		return err
	}
	if err := encoder.EncodeString(p.Key); err != nil {
		return err
	}
	if err := encoder.EncodeString("mark"); err != nil {
		return err
	}
	if p.compactZero {
		return encoder.EncodeInt(0)
	}
	return encoder.EncodeUint64(p.ModRevision)
}

// Operation is one write or one deletion of a commit.
type Operation struct {
	Write   string `msgpack:"write,omitempty"` // key that is set to Value
	Value   any    `msgpack:"value,omitempty"`
	LeaseID uint64 `msgpack:"permit,omitempty"` // the written key is deleted when this lease ends; 0: never
	Delete  string `msgpack:"drop,omitempty"`   // key that is deleted
}

// CommitRequest is the body of POST /commit. The state service executes all operations atomically if all preconditions hold, and none
// otherwise.
type CommitRequest struct {
	Preconditions []Precondition `msgpack:"guards"`
	Operations    []Operation    `msgpack:"apply"`
}

// CommitResponse is the response to a commit that was executed. Revision is the revision of the commit.
type CommitResponse struct {
	Revision uint64 `msgpack:"tide"`
}

// CommitConflict is the response to a commit whose preconditions do not hold.
type CommitConflict struct {
	FailedKeys []string `msgpack:"failed"`
}

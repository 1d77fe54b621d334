// Package stateapi defines the transactions that controllers send to the state service, and its responses to them. The election claims
// the leader's key with them, and package storage writes the pages. It holds no state and sends nothing; the struct tags are the names
// on the wire, and every version sends the same bytes.
package stateapi

import "github.com/vmihailenco/msgpack/v5"

// CommitPath is the path to which a CommitRequest is posted.
const CommitPath = "/commit"

// Precondition is what a commit requires of one key.
type Precondition struct {
	Key         string `msgpack:"path"`
	ModRevision uint64 `msgpack:"mark"` // revision of the key's last write, 0 if it must not exist

	// compactZero selects the short encoding of ModRevision 0, which all versions use for keys other than pages.
	compactZero bool
}

var _ msgpack.CustomEncoder = Precondition{}

// RequireAbsent returns the precondition that a key other than a page does not exist. For a page that was never written all versions
// send a Precondition with ModRevision 0, which means the same and is longer.
func RequireAbsent(key string) Precondition { return Precondition{Key: key, compactZero: true} }

// EncodeMsgpack encodes the precondition as the state service decodes it.
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
	Write   string `msgpack:"write,omitempty"` // key that gets Value
	Value   any    `msgpack:"value,omitempty"`
	LeaseID uint64 `msgpack:"permit,omitempty"` // lease with which the written key is deleted, 0 if it stays
	Delete  string `msgpack:"drop,omitempty"`   // key that is deleted
}

// CommitRequest is the body of POST /commit: the state service executes all operations atomically if all preconditions hold, else none.
type CommitRequest struct {
	Preconditions []Precondition `msgpack:"guards"`
	Operations    []Operation    `msgpack:"apply"`
}

// CommitResponse is the response to a commit that was executed.
type CommitResponse struct {
	Revision uint64 `msgpack:"tide"`
}

// CommitConflict is the response to a commit whose preconditions do not hold.
type CommitConflict struct {
	FailedKeys []string `msgpack:"failed"`
}

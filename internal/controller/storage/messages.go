package storage

import (
	"fmt"

	"gullrudder/internal/wire/codec"

	"github.com/vmihailenco/msgpack/v5"
)

// Keys of the state service below which a Store writes.
const (
	// PagePrefix is the prefix of the keys of the pages.
	PagePrefix = "page/"

	archivePrefix = "history/"
	// ArchiveHeadKey is the key of the archive's head, which names its segments. It is read at a failover.
	ArchiveHeadKey = archivePrefix + "head"
	// ArchiveIndexPrefix is the prefix of the segments' indexes, which are read at a failover.
	ArchiveIndexPrefix = archivePrefix + "i/"
	// ArchiveDataPrefix is the prefix of the segments' data, which are read only when a user asks for an old job.
	ArchiveDataPrefix = "results/"
)

// The format key keeps versions without an archive from leading: they would call archived jobs unknown. They cannot decode a value
// below PagePrefix that is no map, and answer no request until they have read all pages.
const (
	formatKey     = PagePrefix + "~format"
	formatVersion = "history 1"
)

// FormatError reports that the stored state was written by a newer version.
type FormatError struct {
	Found string // what the format key holds, empty if it is no text
	Err   error  // why it cannot be decoded, if so
}

// Error says which format was found.
func (e *FormatError) Error() string {
	return fmt.Sprintf("state was written by a newer version: format %q, this version reads %q", e.Found, formatVersion)
}

// Unwrap returns why the format cannot be decoded, or nil.
func (e *FormatError) Unwrap() error { return e.Err }

func checkFormat(raw msgpack.RawMessage) error {
	var found string
	err := msgpack.Unmarshal(raw, &found)
	if err != nil || found != formatVersion {
		return &FormatError{Found: found, Err: err}
	}
	return nil
}

// pageValue is a page as it is stored. Leader and Sequence name the commit that wrote it. Sequence alone does not: the next leader
// counts on from what it has read and uses the same numbers again.
type pageValue struct {
	Sequence uint64                        `msgpack:"n"`
	Leader   uint64                        `msgpack:"l,omitempty"` // fencing token
	Entries  map[string]msgpack.RawMessage `msgpack:"e"`
}

// archivePartValue is an ArchivePart as it is stored.
type archivePartValue struct {
	Text string `msgpack:"p"`
}

// Precondition is what a commit requires of one key.
type Precondition struct {
	Key         string `msgpack:"path"`
	ModRevision uint64 `msgpack:"mark"` // revision of the key's last write, 0 if it must not exist

	// compactZero: a key that a commit creates beside the pages is required by the short encoding of 0, as in all versions so far.
	compactZero bool
}

var _ msgpack.CustomEncoder = Precondition{}

// EncodeMsgpack writes the precondition as the state service reads it.
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

// requireAbsent requires that a key beside the pages does not exist.
func requireAbsent(key string) Precondition { return Precondition{Key: key, compactZero: true} }

// Operation is one write or one deletion of a commit.
type Operation struct {
	Write  string `msgpack:"write,omitempty"` // key that gets Value
	Value  any    `msgpack:"value,omitempty"`
	Delete string `msgpack:"drop,omitempty"` // key that is deleted
}

// CommitRequest is the body of POST /commit: the state service makes all operations at once if all preconditions hold, else none.
type CommitRequest struct {
	Preconditions []Precondition `msgpack:"guards"`
	Operations    []Operation    `msgpack:"apply"`
}

// commitResponse is the answer to a commit that was executed.
type commitResponse struct {
	Revision uint64 `msgpack:"tide"`
}

// commitConflict is the answer to a commit whose preconditions do not hold.
type commitConflict struct {
	FailedKeys []string `msgpack:"failed"`
}

// keyValue is one key of a list.
type keyValue struct {
	Key         string             `msgpack:"path"`
	Value       msgpack.RawMessage `msgpack:"value"`
	ModRevision uint64             `msgpack:"mark"`
}

// listResponse is the answer to a list of keys.
type listResponse struct {
	Keys    []keyValue `msgpack:"entries"`
	HasMore bool       `msgpack:"has_next"`
}

// leaderKeyResponse is what is read of the leader's key.
type leaderKeyResponse struct {
	ModRevision uint64 `msgpack:"mark"`
}

// pageResponse is the answer to a read of one page.
type pageResponse struct {
	Value       pageValue `msgpack:"value"`
	ModRevision uint64    `msgpack:"mark"`
}

// archivePartResponse is the answer to a read of one part of the archive.
type archivePartResponse struct {
	Value archivePartValue `msgpack:"value"`
}

// entrySize is how many JSON bytes a stored entry takes in its page.
func entrySize(name string, raw msgpack.RawMessage) int {
	return codec.JSONSize(raw) + len(name) + entryOverhead
}

package storage

import (
	"fmt"

	"gullrudder/internal/wire/codec"

	"github.com/vmihailenco/msgpack/v5"
)

// Keys and key prefixes of the state service that a Store writes.
const (
	// PagePrefix is the prefix of the keys of the pages.
	PagePrefix = "page/"

	archivePrefix = "history/"
	// ArchiveHeadKey is the key of the archive's head, which lists the segments. It is read at a failover.
	ArchiveHeadKey = archivePrefix + "head"
	// ArchiveIndexPrefix is the key prefix of the segments' indexes, which are read at a failover.
	ArchiveIndexPrefix = archivePrefix + "i/"
	// ArchiveDataPrefix is the key prefix of the segments' data, which is read only for requests about archived jobs and for compactions.
	ArchiveDataPrefix = "results/"
)

// The format key prevents versions without an archive from serving requests, because they do not know the archived jobs. Such a version
// serves no request until it has read all values below PagePrefix, and it cannot decode a value that is not a map.
const (
	formatKey     = PagePrefix + "~format"
	formatVersion = "history 1"
)

// FormatError reports that the stored state was written by a newer version.
type FormatError struct {
	Found string // value of the format key; empty if it is not a string
	Err   error  // why the value cannot be decoded, or nil
}

// Error returns a message with the found and the expected format.
func (e *FormatError) Error() string {
	return fmt.Sprintf("state was written by a newer version: format %q, this version reads %q", e.Found, formatVersion)
}

// Unwrap returns the error of decoding the format key, or nil.
func (e *FormatError) Unwrap() error { return e.Err }

func checkFormat(raw msgpack.RawMessage) error {
	var found string
	err := msgpack.Unmarshal(raw, &found)
	if err != nil || found != formatVersion {
		return &FormatError{Found: found, Err: err}
	}
	return nil
}

// pageValue is the stored form of a page. Leader and Sequence together identify the commit that wrote it. Sequence alone is not unique: a
// new leader continues from the highest number that it has read, and may reuse numbers.
type pageValue struct {
	Sequence uint64                        `msgpack:"n"`
	Leader   uint64                        `msgpack:"l,omitempty"` // fencing token
	Entries  map[string]msgpack.RawMessage `msgpack:"e"`
}

// archivePartValue is the stored form of an ArchivePart.
type archivePartValue struct {
	Text string `msgpack:"p"`
}

// keyValue is a key in a list response.
type keyValue struct {
	Key         string             `msgpack:"path"`
	Value       msgpack.RawMessage `msgpack:"value"`
	ModRevision uint64             `msgpack:"mark"`
}

// listResponse is the response to a list request.
type listResponse struct {
	Keys    []keyValue `msgpack:"entries"`
	HasMore bool       `msgpack:"has_next"`
}

// leaderKeyResponse is the used part of the response to a read of the leader's key.
type leaderKeyResponse struct {
	ModRevision uint64 `msgpack:"mark"`
}

// pageResponse is the response to a read of a page.
type pageResponse struct {
	Value       pageValue `msgpack:"value"`
	ModRevision uint64    `msgpack:"mark"`
}

// archivePartResponse is the response to a read of a part of the archive.
type archivePartResponse struct {
	Value archivePartValue `msgpack:"value"`
}

// entrySize returns the size of a stored entry in its page, in JSON bytes.
func entrySize(name string, raw msgpack.RawMessage) int {
	return codec.JSONSize(raw) + len(name) + entryOverhead
}

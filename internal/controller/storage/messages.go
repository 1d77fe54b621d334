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
	// ArchiveHeadKey is the key of the archive's head, which lists its segments. It is read at a failover.
	ArchiveHeadKey = archivePrefix + "head"
	// ArchiveIndexPrefix is the prefix of the segments' indexes, which are read at a failover.
	ArchiveIndexPrefix = archivePrefix + "i/"
	// ArchiveDataPrefix is the prefix of the segments' data, which are read only for requests about archived jobs.
	ArchiveDataPrefix = "results/"
)

// The format key prevents versions without an archive from serving requests: archived jobs are unknown to them. They cannot decode a
// value below PagePrefix that is not a map, and serve no request until they have read all pages.
const (
	formatKey     = PagePrefix + "~format"
	formatVersion = "history 1"
)

// FormatError is the error that the stored state was written by a newer version.
type FormatError struct {
	Found string // value of the format key, empty if it is not a string
	Err   error  // why the value cannot be decoded, or nil
}

// Error returns the text with the format that was found.
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

// pageValue is the stored form of a page. Leader and Sequence identify the commit that wrote it. Sequence alone is not unique: the next
// leader continues from the highest number that it has read, and may use numbers again.
type pageValue struct {
	Sequence uint64                        `msgpack:"n"`
	Leader   uint64                        `msgpack:"l,omitempty"` // fencing token
	Entries  map[string]msgpack.RawMessage `msgpack:"e"`
}

// archivePartValue is the stored form of an ArchivePart.
type archivePartValue struct {
	Text string `msgpack:"p"`
}

// keyValue is one key of a list.
type keyValue struct {
	Key         string             `msgpack:"path"`
	Value       msgpack.RawMessage `msgpack:"value"`
	ModRevision uint64             `msgpack:"mark"`
}

// listResponse is the response to a list of keys.
type listResponse struct {
	Keys    []keyValue `msgpack:"entries"`
	HasMore bool       `msgpack:"has_next"`
}

// leaderKeyResponse is the response to a read of the leader's key, as far as it is used.
type leaderKeyResponse struct {
	ModRevision uint64 `msgpack:"mark"`
}

// pageResponse is the response to a read of one page.
type pageResponse struct {
	Value       pageValue `msgpack:"value"`
	ModRevision uint64    `msgpack:"mark"`
}

// archivePartResponse is the response to a read of one part of the archive.
type archivePartResponse struct {
	Value archivePartValue `msgpack:"value"`
}

// entrySize returns the JSON bytes of a stored entry in its page.
func entrySize(name string, raw msgpack.RawMessage) int {
	return codec.JSONSize(raw) + len(name) + entryOverhead
}

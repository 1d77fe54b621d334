package dynamicconfig

import (
	"math"

	"gullrudder/internal/wire/codec"
)

const (
	// maxTextBytes bounds the stored XML.
	maxTextBytes = 1 << 10
	// maxChanges bounds the changes that the record keeps.
	maxChanges = 12
	// maxAuthorBytes bounds the name of the author of a change.
	maxAuthorBytes = 60
	// maxRecordBytes bounds the record in JSON bytes. A page of the state service may hold less.
	maxRecordBytes = 3000
)

// record is the entry in the state service: the options that were applied last, and the record of changes. The tags are the stored
// format, which other versions read too.
type record struct {
	Text    string   `msgpack:"x" json:"x"`
	Version int      `msgpack:"v" json:"v"`
	Changes []Change `msgpack:"c" json:"c"` // newest first
}

// size returns the size of the record in JSON bytes.
func (r *record) size() int {
	raw, err := codec.Marshal(r)
	if err != nil {
		return math.MaxInt
	}
	return codec.JSONSize(raw)
}

// addChange adds a change at the front. It drops the oldest changes beyond maxChanges or maxBytes, and always keeps the newest.
func (r *record) addChange(change Change, maxBytes int) {
	r.Changes = append([]Change{change}, r.Changes...)
	r.Changes = r.Changes[:min(len(r.Changes), maxChanges)]
	for len(r.Changes) > 1 && r.size() > maxBytes {
		r.Changes = r.Changes[:len(r.Changes)-1]
	}
}

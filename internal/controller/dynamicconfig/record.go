package dynamicconfig

import (
	"math"

	"gullrudder/internal/wire/codec"
)

const (
	// maxTextBytes bounds the XML that is stored.
	maxTextBytes = 1 << 10
	// maxChanges bounds the record of changes.
	maxChanges = 12
	// maxAuthorBytes bounds the name of who made a change.
	maxAuthorBytes = 60
	// maxRecordBytes is the most JSON bytes that a record may need. A page of the state service may hold less.
	maxRecordBytes = 3000
)

// record is what the state service keeps: the options that were applied last, and who changed what. The tags are the stored
// form, which other versions read too.
type record struct {
	Text    string   `msgpack:"x" json:"x"`
	Version int      `msgpack:"v" json:"v"`
	Changes []Change `msgpack:"c" json:"c"` // newest first
}

// size returns the record's JSON bytes.
func (r *record) size() int {
	raw, err := codec.Marshal(r)
	if err != nil {
		return math.MaxInt
	}
	return codec.JSONSize(raw)
}

// addChange puts a change first. The oldest are dropped once there are too many of them or they do not fit into maxBytes.
func (r *record) addChange(change Change, maxBytes int) {
	r.Changes = append([]Change{change}, r.Changes...)
	r.Changes = r.Changes[:min(len(r.Changes), maxChanges)]
	for len(r.Changes) > 1 && r.size() > maxBytes {
		r.Changes = r.Changes[:len(r.Changes)-1]
	}
}

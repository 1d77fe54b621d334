package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"
)

// A frame's payload is a row of records: commits, leases that begin and leases that end.
const (
	recCommit = 1
	recGrant  = 2
	recEnd    = 3

	opWrite = 1
	opDrop  = 2
)

var errRecord = errors.New("a record ends early")

func appendText(out []byte, s []byte) []byte {
	out = binary.AppendUvarint(out, uint64(len(s)))
	return append(out, s...)
}

func appendCommit(out []byte, revision uint64, changes []change) []byte {
	out = append(out, recCommit)
	out = binary.AppendUvarint(out, revision)
	out = binary.AppendUvarint(out, uint64(len(changes)))
	for _, c := range changes {
		if c.drop {
			out = appendText(append(out, opDrop), []byte(c.key))
			continue
		}
		out = appendText(append(out, opWrite), []byte(c.key))
		out = appendText(out, c.value)
		out = binary.AppendUvarint(out, c.lease)
	}
	return out
}

func appendGrant(out []byte, id uint64, ttl time.Duration) []byte {
	out = binary.AppendUvarint(append(out, recGrant), id)
	return binary.AppendUvarint(out, uint64(ttl.Milliseconds()))
}

// appendEnd records the end of a lease; revision is that of the removal of its keys, 0 if it
// had none.
func appendEnd(out []byte, id, revision uint64) []byte {
	out = binary.AppendUvarint(append(out, recEnd), id)
	return binary.AppendUvarint(out, revision)
}

type reader struct {
	b   []byte
	err error
}

func (r *reader) number() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.err, r.b = errRecord, nil
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) text() []byte {
	n := r.number()
	if n > uint64(len(r.b)) {
		r.err, r.b = errRecord, nil
		return nil
	}
	s := r.b[:n]
	r.b = r.b[n:]
	return s
}

func (r *reader) kind() byte {
	if len(r.b) == 0 {
		r.err = errRecord
		return 0
	}
	k := r.b[0]
	r.b = r.b[1:]
	return k
}

// replay applies the records of a frame. Revisions only rise: a record that says otherwise is
// damage that the checksum does not show.
func (c *content) replay(payload []byte) error {
	r := &reader{b: payload}
	for len(r.b) > 0 {
		switch kind := r.kind(); kind {
		case recCommit:
			revision := r.number()
			n := r.number()
			var changes []change
			for ; n > 0 && r.err == nil; n-- {
				ch := change{drop: r.kind() == opDrop, key: string(r.text())}
				if !ch.drop {
					ch.value = append([]byte(nil), r.text()...)
					ch.lease = r.number()
				}
				changes = append(changes, ch)
			}
			if r.err == nil && revision <= c.revision {
				return fmt.Errorf("revision %d after %d", revision, c.revision)
			}
			if r.err == nil {
				c.apply(revision, changes, nil)
			}
		case recGrant:
			id, ttl := r.number(), time.Duration(r.number())*time.Millisecond
			if r.err == nil {
				c.grant(id, ttl, time.Time{}, nil)
			}
		case recEnd:
			id, revision := r.number(), r.number()
			if r.err == nil {
				c.end(id, revision, nil)
			}
		default:
			return fmt.Errorf("a record of kind %d", kind)
		}
		if r.err != nil {
			return r.err
		}
	}
	return nil
}

package kvserver

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"
)

// A frame's payload is a row of records: commits, leases that begin and leases that end.
const (
	recordCommit     = 1
	recordLeaseGrant = 2
	recordLeaseEnd   = 3

	opWrite  = 1
	opDelete = 2
)

var errRecordTruncated = errors.New("a record ends early")

func appendBytes(out []byte, s []byte) []byte {
	out = binary.AppendUvarint(out, uint64(len(s)))
	return append(out, s...)
}

func appendCommitRecord(out []byte, revision uint64, changes []change) []byte {
	out = append(out, recordCommit)
	out = binary.AppendUvarint(out, revision)
	out = binary.AppendUvarint(out, uint64(len(changes)))
	for _, c := range changes {
		if c.isDelete {
			out = appendBytes(append(out, opDelete), []byte(c.key))
			continue
		}
		out = appendBytes(append(out, opWrite), []byte(c.key))
		out = appendBytes(out, c.value)
		out = binary.AppendUvarint(out, c.leaseID)
	}
	return out
}

func appendLeaseGrantRecord(out []byte, id uint64, ttl time.Duration) []byte {
	out = binary.AppendUvarint(append(out, recordLeaseGrant), id)
	return binary.AppendUvarint(out, uint64(ttl.Milliseconds()))
}

// appendLeaseEndRecord records the end of a lease; revision is that of the removal of its keys, 0 if it
// had none.
func appendLeaseEndRecord(out []byte, id, revision uint64) []byte {
	out = binary.AppendUvarint(append(out, recordLeaseEnd), id)
	return binary.AppendUvarint(out, revision)
}

type recordReader struct {
	rest []byte
	err  error
}

func (r *recordReader) readUvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.err, r.rest = errRecordTruncated, nil
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *recordReader) readBytes() []byte {
	n := r.readUvarint()
	if n > uint64(len(r.rest)) {
		r.err, r.rest = errRecordTruncated, nil
		return nil
	}
	s := r.rest[:n]
	r.rest = r.rest[n:]
	return s
}

func (r *recordReader) readKind() byte {
	if len(r.rest) == 0 {
		r.err = errRecordTruncated
		return 0
	}
	k := r.rest[0]
	r.rest = r.rest[1:]
	return k
}

// replayRecords applies the records of a frame. Revisions only rise: a record that says otherwise is
// damage that the checksum does not show.
func (c *keyspace) replayRecords(payload []byte) error {
	r := &recordReader{rest: payload}
	for len(r.rest) > 0 {
		switch kind := r.readKind(); kind {
		case recordCommit:
			revision := r.readUvarint()
			count := r.readUvarint()
			var changes []change
			for ; count > 0 && r.err == nil; count-- {
				ch := change{isDelete: r.readKind() == opDelete, key: string(r.readBytes())}
				if !ch.isDelete {
					ch.value = append([]byte(nil), r.readBytes()...)
					ch.leaseID = r.readUvarint()
				}
				changes = append(changes, ch)
			}
			if r.err == nil && revision <= c.revision {
				return fmt.Errorf("revision %d after %d", revision, c.revision)
			}
			if r.err == nil {
				c.apply(revision, changes, nil)
			}
		case recordLeaseGrant:
			id, ttl := r.readUvarint(), time.Duration(r.readUvarint())*time.Millisecond
			if r.err == nil {
				c.addLease(id, ttl, time.Time{}, nil)
			}
		case recordLeaseEnd:
			id, revision := r.readUvarint(), r.readUvarint()
			if r.err == nil {
				c.removeLease(id, revision, nil)
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

package kvserver

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"
)

// The payload of a frame is a sequence of records: commits, lease grants and lease ends. A record is a byte for its kind, followed by
// its fields. Numbers are encoded as varints, and keys and values with their length before them. The format is stored on disk: it may
// be extended, but never changed.
const (
	recordCommit     = 1
	recordLeaseGrant = 2
	recordLeaseEnd   = 3

	opWrite  = 1
	opDelete = 2
)

var errRecordTruncated = errors.New("a record is truncated")

func appendBytes(out, s []byte) []byte {
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

// appendLeaseEndRecord appends the end of a lease. Its keys are deleted at the revision, which is 0 if it has none.
func appendLeaseEndRecord(out []byte, id, revision uint64) []byte {
	out = binary.AppendUvarint(append(out, recordLeaseEnd), id)
	return binary.AppendUvarint(out, revision)
}

// recordReader reads the fields of records. After an error its methods return zero values.
type recordReader struct {
	rest []byte
	err  error
}

func (r *recordReader) readUvarint() uint64 {
	number, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.err, r.rest = errRecordTruncated, nil
		return 0
	}
	r.rest = r.rest[n:]
	return number
}

// readBytes reads a key or value. The result shares the memory of the payload.
func (r *recordReader) readBytes() []byte {
	length := r.readUvarint()
	if length > uint64(len(r.rest)) {
		r.err, r.rest = errRecordTruncated, nil
		return nil
	}
	s := r.rest[:length]
	r.rest = r.rest[length:]
	return s
}

func (r *recordReader) readKind() byte {
	if len(r.rest) == 0 {
		r.err = errRecordTruncated
		return 0
	}
	kind := r.rest[0]
	r.rest = r.rest[1:]
	return kind
}

func (r *recordReader) readChange() change {
	c := change{isDelete: r.readKind() == opDelete, key: string(r.readBytes())}
	if !c.isDelete {
		c.value = append([]byte(nil), r.readBytes()...)
		c.leaseID = r.readUvarint()
	}
	return c
}

// replayRecords applies the records of a frame. It returns an error at the first invalid record; the records before it are applied.
func (k *keyspace) replayRecords(payload []byte) error {
	r := &recordReader{rest: payload}
	for len(r.rest) > 0 {
		if err := k.replayRecord(r); err != nil {
			return err
		}
		if r.err != nil {
			return r.err
		}
	}
	return nil
}

func (k *keyspace) replayRecord(reader *recordReader) error {
	switch kind := reader.readKind(); kind {
	case recordCommit:
		return k.replayCommit(reader)
	case recordLeaseGrant:
		id, ttl := reader.readUvarint(), time.Duration(reader.readUvarint())*time.Millisecond
		if reader.err == nil {
			k.addLease(id, ttl, time.Time{}, nil)
		}
	case recordLeaseEnd:
		id, revision := reader.readUvarint(), reader.readUvarint()
		if reader.err == nil {
			k.removeLease(id, revision, nil)
		}
	default:
		return fmt.Errorf("unknown record kind %d", kind)
	}
	return nil
}

// replayCommit applies a commit. Its revision must be higher than the last one.
func (k *keyspace) replayCommit(reader *recordReader) error {
	revision, count := reader.readUvarint(), reader.readUvarint()
	var changes []change
	for ; count > 0 && reader.err == nil; count-- {
		changes = append(changes, reader.readChange())
	}
	if reader.err != nil {
		return reader.err
	}
	if revision <= k.revision {
		return fmt.Errorf("revision of a commit is %d, expected more than %d", revision, k.revision)
	}
	k.apply(revision, changes, nil)
	return nil
}

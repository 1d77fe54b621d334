package kvserver

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"
)

var (
	errNoSnapshotHeader = errors.New("the snapshot header is missing or damaged")
	errBlockDamaged     = errors.New("a block is damaged or missing")
)

// fileError is the error of a file that cannot be read from an offset on.
type fileError struct {
	file   string
	offset int64
	err    error
}

// Error returns the file, the offset and the reason.
func (e *fileError) Error() string { return fmt.Sprintf("%s at byte %d: %v", e.file, e.offset, e.err) }

// Unwrap returns the reason.
func (e *fileError) Unwrap() error { return e.err }

// snapshotContent is the content of a snapshot, and the position where the log continues after it.
type snapshotContent struct {
	keyspace  *keyspace
	segment   uint64
	nextFrame uint64
}

// readSnapshot decodes a snapshot; name is that of its file. If it is incomplete or damaged, the error is a fileError.
func readSnapshot(name string, raw []byte) (*snapshotContent, error) {
	if len(raw) < snapshotHeaderBytes || string(raw[:magicBytes]) != snapshotMagic || !hasChecksum(raw[:snapshotHeaderBytes]) {
		return nil, &fileError{name, 0, errNoSnapshotHeader}
	}
	content := &snapshotContent{keyspace: newKeyspace(), segment: headerNumber(raw, 0), nextFrame: headerNumber(raw, 1)}
	content.keyspace.revision, content.keyspace.lastLeaseID = headerNumber(raw, 2), headerNumber(raw, 3)
	content.keyspace.compactedRevision = content.keyspace.revision
	reader := &blockReader{raw: raw, offset: snapshotHeaderBytes}
	if err := reader.readAll(content.keyspace); err != nil {
		return nil, &fileError{name, int64(reader.blockStart), err}
	}
	return content, nil
}

// blockReader reads the blocks of a snapshot.
type blockReader struct {
	raw        []byte
	offset     int // offset of the next block
	blockStart int // offset of the last block that was read
}

// next returns the content of the next block.
func (r *blockReader) next() ([]byte, error) {
	r.blockStart = r.offset
	rest := r.raw[r.offset:]
	if len(rest) < blockHeaderBytes {
		return nil, errBlockDamaged
	}
	length, sum := int(binary.LittleEndian.Uint32(rest)), binary.LittleEndian.Uint32(rest[4:])
	rest = rest[blockHeaderBytes:]
	if length > len(rest) || checksum(rest[:length]) != sum {
		return nil, errBlockDamaged
	}
	r.offset += blockHeaderBytes + length
	return rest[:length], nil
}

// readAll reads all blocks into a keyspace: the leases, the keys, the empty block and the number of keys.
func (r *blockReader) readAll(keys *keyspace) error {
	leases, err := r.next()
	if err != nil {
		return err
	}
	if err := keys.readLeases(leases); err != nil {
		return err
	}
	keyCount := uint64(0)
	for {
		block, err := r.next()
		if err != nil {
			return err
		}
		if len(block) == 0 {
			return r.readEnd(keyCount)
		}
		count, err := keys.readItems(block)
		if err != nil {
			return err
		}
		keyCount += count
	}
}

// readEnd reads the last block. It must contain the number of keys, and the file must end after it.
func (r *blockReader) readEnd(keyCount uint64) error {
	block, err := r.next()
	if err != nil {
		return err
	}
	if len(block) != 8 || binary.LittleEndian.Uint64(block) != keyCount || r.offset != len(r.raw) {
		return errBlockDamaged
	}
	return nil
}

// readLeases adds the leases of a block. It keeps the last lease ID of the header, since that lease may have ended.
func (k *keyspace) readLeases(block []byte) error {
	r := &recordReader{rest: block}
	lastLeaseID := k.lastLeaseID
	for count := r.readUvarint(); count > 0 && r.err == nil; count-- {
		id, ttl := r.readUvarint(), r.readUvarint()
		k.addLease(id, time.Duration(ttl)*time.Millisecond, time.Time{}, nil)
	}
	k.lastLeaseID = lastLeaseID
	return r.err
}

// readItems adds the keys of a block and returns their number.
func (k *keyspace) readItems(block []byte) (count uint64, err error) {
	r := &recordReader{rest: block}
	for len(r.rest) > 0 {
		key, value := string(r.readBytes()), append([]byte(nil), r.readBytes()...)
		modRevision, leaseID := r.readUvarint(), r.readUvarint()
		if r.err != nil {
			return 0, r.err
		}
		k.put(newItem(key, value, modRevision, leaseID))
		count++
	}
	return count, nil
}

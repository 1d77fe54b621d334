package kvserver

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"
	"time"

	"github.com/google/btree"
)

// A snapshot is a header and a row of blocks, each with its checksum; the last block is empty
// and counts the keys. It is written beside the old one and takes its name only once it lasts.
// The name is that of the segment with which the log goes on.
const (
	snapshotMagic       = "gullSNP1"
	snapshotHeaderBytes = 8 + 8 + 8 + 8 + 8 + 4 // magic, segment, next frame, revision, last lease, checksum
	snapshotBlockBytes  = 64 << 10
)

// View is the content at one moment. It does not change while commits go on.
type View struct {
	tree        *btree.BTreeG[*item]
	leases      []lease
	revision    uint64
	lastLeaseID uint64
	segment     uint64 // the log goes on here
	nextFrame   uint64 // with this frame
}

// Freeze takes a view of the content. The tree is shared: whoever writes copies what it changes.
func (c *keyspace) Freeze() *View {
	v := &View{tree: c.tree.Clone(), revision: c.revision, lastLeaseID: c.lastLeaseID}
	for _, l := range c.leases {
		v.leases = append(v.leases, lease{id: l.id, ttl: l.ttl})
	}
	slices.SortFunc(v.leases, func(a, b lease) int { return int(int64(a.id) - int64(b.id)) })
	return v
}

func (v *View) encodeHeader() []byte {
	out := append([]byte(nil), snapshotMagic...)
	for _, n := range []uint64{v.segment, v.nextFrame, v.revision, v.lastLeaseID} {
		out = binary.LittleEndian.AppendUint64(out, n)
	}
	return binary.LittleEndian.AppendUint32(out, crc32.Checksum(out, castagnoli()))
}

func appendBlock(out, block []byte) []byte {
	out = binary.LittleEndian.AppendUint32(out, uint32(len(block)))
	out = binary.LittleEndian.AppendUint32(out, crc32.Checksum(block, castagnoli()))
	return append(out, block...)
}

// SnapshotWriter is one that is being written.
type SnapshotWriter struct {
	files    Directory
	view     *View
	file     File
	offset   int64
	lastKey  string // the last key that was written
	keyCount uint64
	stage    int
}

func (s *SnapshotWriter) fileName() string { return snapshotName(s.view.segment) }

func (s *SnapshotWriter) append(b []byte) error {
	n, err := s.file.WriteAt(b, s.offset)
	s.offset += int64(n)
	return err
}

// Step writes the next block, or does what is next at the end; done is true once the snapshot
// counts. Whatever fails, the store goes on with what it had.
func (s *SnapshotWriter) Step() (done bool, err error) {
	switch s.stage {
	case 0:
		if s.file, err = s.files.Create(s.fileName() + tempSuffix); err == nil {
			err = s.append(s.view.encodeHeader())
		}
		if err == nil {
			err = s.append(appendBlock(nil, s.encodeLeases()))
		}
		s.stage++
	case 1:
		err = s.writeBlock()
	case 2:
		if err = s.file.Sync(); err == nil {
			err = s.file.Close()
			s.file = nil
		}
		s.stage++
	case 3:
		err = s.files.Rename(s.fileName()+tempSuffix, s.fileName())
		s.stage++
	case 4:
		err = s.files.SyncDir()
		done = true
	}
	if err != nil {
		return false, fmt.Errorf("write %s: %w", s.fileName(), err)
	}
	return done, nil
}

func (s *SnapshotWriter) encodeLeases() []byte {
	out := binary.AppendUvarint(nil, uint64(len(s.view.leases)))
	for _, l := range s.view.leases {
		out = binary.AppendUvarint(out, l.id)
		out = binary.AppendUvarint(out, uint64(l.ttl.Milliseconds()))
	}
	return out
}

func (s *SnapshotWriter) writeBlock() error {
	var block []byte
	s.view.tree.AscendGreaterOrEqual(&item{key: s.lastKey}, func(it *item) bool {
		if s.keyCount > 0 && it.key == s.lastKey {
			return true
		}
		block = appendBytes(block, []byte(it.key))
		block = appendBytes(block, it.value)
		block = binary.AppendUvarint(block, it.modRevision)
		block = binary.AppendUvarint(block, it.leaseID)
		s.lastKey = it.key
		s.keyCount++
		return len(block) < snapshotBlockBytes
	})
	if len(block) > 0 {
		return s.append(appendBlock(nil, block))
	}
	s.stage++
	end := binary.LittleEndian.AppendUint64(nil, s.keyCount)
	return s.append(append(appendBlock(nil, nil), appendBlock(nil, end)...))
}

// Abort leaves nothing of a snapshot that has failed.
func (s *SnapshotWriter) Abort() error {
	if s.file != nil {
		s.file.Close()
	}
	return s.files.Remove(s.fileName() + tempSuffix)
}

// removeCoveredFiles deletes what a whole snapshot covers.
func removeCoveredFiles(files Directory, segment uint64) error {
	names, err := files.List()
	if err != nil {
		return err
	}
	var firstErr error
	for _, name := range names {
		segmentNumber, isLog := parseFileNumber(name, segmentPrefix)
		snapshotNumber, isSnap := parseFileNumber(name, snapshotPrefix)
		if isLog && segmentNumber < segment || isSnap && snapshotNumber < segment {
			if err := files.Remove(name); err != nil && firstErr == nil {
				firstErr = err
			}
		}
	}
	return firstErr
}

// writeAll writes the whole snapshot; stage, if given, is told of each new stage.
func (s *SnapshotWriter) writeAll(stage func(name string)) error {
	names := [...]string{"begun", "written", "synced", "renamed"}
	for reported := 0; ; {
		done, err := s.Step()
		if done || err != nil {
			return err
		}
		for ; reported < s.stage && stage != nil; reported++ {
			stage(names[reported])
		}
	}
}

var errBlockDamaged = errors.New("a block is damaged or missing")

// fileError says where a file cannot be read.
type fileError struct {
	file   string
	offset int64
	err    error
}

func (d *fileError) Error() string { return fmt.Sprintf("%s at byte %d: %v", d.file, d.offset, d.err) }
func (d *fileError) Unwrap() error { return d.err }

// readSnapshot reads a snapshot; it is whole or an error.
func readSnapshot(name string, raw []byte) (data *keyspace, segment, nextFrame uint64, err error) {
	fail := func(offset int, err error) (*keyspace, uint64, uint64, error) {
		return nil, 0, 0, &fileError{name, int64(offset), err}
	}
	if len(raw) < snapshotHeaderBytes || string(raw[:8]) != snapshotMagic ||
		crc32.Checksum(raw[:snapshotHeaderBytes-4], castagnoli()) != binary.LittleEndian.Uint32(raw[snapshotHeaderBytes-4:]) {
		return fail(0, errors.New("no header of a snapshot"))
	}
	number := func(i int) uint64 { return binary.LittleEndian.Uint64(raw[8+8*i:]) }
	data = newKeyspace()
	segment, nextFrame, data.revision, data.lastLeaseID = number(0), number(1), number(2), number(3)
	data.compactedRevision = data.revision
	position := snapshotHeaderBytes
	keyCount := uint64(0)
	for i := 0; ; i++ {
		if len(raw) < position+8 {
			return fail(position, errBlockDamaged)
		}
		length, sum := int(binary.LittleEndian.Uint32(raw[position:])), binary.LittleEndian.Uint32(raw[position+4:])
		if length > len(raw)-position-8 || crc32.Checksum(raw[position+8:position+8+length], castagnoli()) != sum {
			return fail(position, errBlockDamaged)
		}
		block := raw[position+8 : position+8+length]
		start := position
		position += 8 + length
		if i == 0 {
			err = data.readLeases(block)
		} else if length == 0 {
			break
		} else {
			err = data.readItems(block, &keyCount)
		}
		if err != nil {
			return fail(start, err)
		}
	}
	if len(raw) != position+16 || binary.LittleEndian.Uint32(raw[position:]) != 8 ||
		crc32.Checksum(raw[position+8:], castagnoli()) != binary.LittleEndian.Uint32(raw[position+4:]) ||
		binary.LittleEndian.Uint64(raw[position+8:]) != keyCount {
		return fail(position, errBlockDamaged)
	}
	return data, segment, nextFrame, nil
}

func (c *keyspace) readLeases(block []byte) error {
	r := &recordReader{rest: block}
	for n := r.readUvarint(); n > 0 && r.err == nil; n-- {
		id, ttl := r.readUvarint(), r.readUvarint()
		granted := c.lastLeaseID
		c.addLease(id, time.Duration(ttl)*time.Millisecond, time.Time{}, nil)
		c.lastLeaseID = granted
	}
	return r.err
}

func (c *keyspace) readItems(block []byte, keyCount *uint64) error {
	r := &recordReader{rest: block}
	for len(r.rest) > 0 {
		ch := change{key: string(r.readBytes()), value: append([]byte(nil), r.readBytes()...)}
		mark, lease := r.readUvarint(), r.readUvarint()
		if r.err != nil {
			return r.err
		}
		c.put(newItem(ch.key, ch.value, mark, lease))
		*keyCount++
	}
	return nil
}

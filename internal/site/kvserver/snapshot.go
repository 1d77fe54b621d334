package kvserver

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/google/btree"
)

// A snapshot is a header and a sequence of blocks, each with its length and checksum. The blocks are the leases, the keys in several
// blocks, an empty block, and the number of keys. A snapshot is written to a temporary file, which is renamed once it is durable. The
// number in its name is that of the segment with which the log continues.
const (
	snapshotMagic       = "gullSNP1"
	snapshotHeaderBytes = 8 + 8 + 8 + 8 + 8 + checksumBytes // magic number, segment, next frame, revision, last lease ID, checksum
	blockHeaderBytes    = 4 + checksumBytes                 // length, checksum
	// snapshotBlockBytes is the size from which a block is complete. A step writes one block, so this bounds the duration of a step.
	snapshotBlockBytes = 64 << 10
)

// View is the content of a keyspace at one revision. Later commits do not change it.
type View struct {
	tree        *btree.BTreeG[*item]
	leases      []lease // ordered by ID
	revision    uint64
	lastLeaseID uint64
	segment     uint64 // number of the segment with which the log continues
	nextFrame   uint64 // number of the first frame of that segment
}

// Freeze returns a view of the current content. It shares the tree with the keyspace, copy-on-write.
func (k *keyspace) Freeze() *View {
	view := &View{tree: k.tree.Clone(), revision: k.revision, lastLeaseID: k.lastLeaseID}
	for _, l := range k.leases {
		view.leases = append(view.leases, lease{id: l.id, ttl: l.ttl})
	}
	slices.SortFunc(view.leases, func(a, b lease) int { return int(int64(a.id) - int64(b.id)) })
	return view
}

func (v *View) encodeHeader() []byte {
	return encodeHeader(snapshotMagic, v.segment, v.nextFrame, v.revision, v.lastLeaseID)
}

func (v *View) encodeLeases() []byte {
	out := binary.AppendUvarint(nil, uint64(len(v.leases)))
	for _, l := range v.leases {
		out = binary.AppendUvarint(out, l.id)
		out = binary.AppendUvarint(out, uint64(l.ttl.Milliseconds()))
	}
	return out
}

// encodeBlock returns a block: its header, followed by the content.
func encodeBlock(content []byte) []byte {
	out := make([]byte, 0, blockHeaderBytes+len(content))
	out = binary.LittleEndian.AppendUint32(out, uint32(len(content)))
	out = binary.LittleEndian.AppendUint32(out, checksum(content))
	return append(out, content...)
}

// snapshotStage is the next action of a SnapshotWriter.
type snapshotStage int

const (
	stageBegin   snapshotStage = iota // create the file, write the header and the leases
	stageBlocks                       // write the next block
	stageSync                         // make the content durable
	stageRename                       // give the file its name
	stageSyncDir                      // make the name durable
)

// stageMessages are logged when a stage is completed. cmd/faulttest matches some of them to kill the process at that moment.
var stageMessages = [...]string{
	stageBegin:  "snapshot begun",
	stageBlocks: "snapshot written",
	stageSync:   "snapshot synced",
	stageRename: "snapshot renamed",
}

// SnapshotWriter writes a snapshot of a view in steps. It is not safe for concurrent use.
type SnapshotWriter struct {
	files    Directory
	view     *View
	file     File // nil: not created yet, or already closed
	offset   int64
	lastKey  string // last key that was written
	keyCount uint64 // number of keys that were written
	stage    snapshotStage
}

func (s *SnapshotWriter) fileName() string { return snapshotName(s.view.segment) }

func (s *SnapshotWriter) append(b []byte) error {
	n, err := s.file.WriteAt(b, s.offset)
	s.offset += int64(n)
	return err
}

// Step executes the next stage, or writes the next block. done is true once the snapshot is durable under its name. After an error only
// Abort may be called. The previous snapshot stays valid.
func (s *SnapshotWriter) Step() (done bool, err error) {
	switch s.stage {
	case stageBegin:
		err = s.begin()
	case stageBlocks:
		err = s.writeBlock()
	case stageSync:
		err = s.sync()
	case stageRename:
		err = s.files.Rename(s.fileName()+tempSuffix, s.fileName())
		s.stage++
	case stageSyncDir:
		err = s.files.SyncDir()
		done = true
	}
	if err != nil {
		return false, fmt.Errorf("write %s: %w", s.fileName(), err)
	}
	return done, nil
}

func (s *SnapshotWriter) begin() (err error) {
	s.stage++
	if s.file, err = s.files.Create(s.fileName() + tempSuffix); err != nil {
		return err
	}
	if err := s.append(s.view.encodeHeader()); err != nil {
		return err
	}
	return s.append(encodeBlock(s.view.encodeLeases()))
}

// writeBlock writes a block of the keys after lastKey. If there are none, it writes the end of the snapshot.
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
		return s.append(encodeBlock(block))
	}
	s.stage++
	count := binary.LittleEndian.AppendUint64(nil, s.keyCount)
	return s.append(append(encodeBlock(nil), encodeBlock(count)...))
}

func (s *SnapshotWriter) sync() error {
	s.stage++
	if err := s.file.Sync(); err != nil {
		return err
	}
	err := s.file.Close()
	s.file = nil
	return err
}

// Abort closes and removes the temporary file of a failed snapshot.
func (s *SnapshotWriter) Abort() error {
	var closeErr error
	if s.file != nil {
		closeErr = s.file.Close()
	}
	return errors.Join(closeErr, s.files.Remove(s.fileName()+tempSuffix))
}

// writeAll writes the whole snapshot. It calls stageDone after each stage but the last, unless stageDone is nil.
func (s *SnapshotWriter) writeAll(stageDone func(stage snapshotStage)) error {
	for reported := stageBegin; ; {
		done, err := s.Step()
		if done || err != nil {
			return err
		}
		for ; reported < s.stage && stageDone != nil; reported++ {
			stageDone(reported)
		}
	}
}

// removeCoveredFiles deletes the segments and snapshots that a durable snapshot covers. After an error it continues with the next file,
// and returns the first error.
func removeCoveredFiles(files Directory, snapshot uint64) error {
	names, err := files.List()
	if err != nil {
		return fmt.Errorf("list the data directory: %w", err)
	}
	var firstErr error
	for _, name := range names {
		if !isCovered(name, snapshot) {
			continue
		}
		if err := files.Remove(name); err != nil && firstErr == nil {
			firstErr = fmt.Errorf("remove %s: %w", name, err)
		}
	}
	return firstErr
}

// isCovered reports whether a file is a segment or snapshot with a lower number than the given snapshot.
func isCovered(name string, snapshot uint64) bool {
	for _, prefix := range []string{segmentPrefix, snapshotPrefix} {
		if number, ok := parseFileNumber(name, prefix); ok && number < snapshot {
			return true
		}
	}
	return false
}

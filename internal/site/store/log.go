package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"strconv"
	"strings"
)

// The log is a row of segments. A segment begins with a header and goes on with frames, each
// of which was one write and one sync: what a frame holds is answered only after that, and the
// next frame is written only after that too. So behind a torn frame there is never a whole one,
// unless something that was kept has been damaged since.
//
// A segment's header says with which frame it begins. Whatever the segment before it holds from
// there on does not count: that is how the log goes on after a sync that failed, of which nobody
// knows what it has kept.
const (
	lockName   = "lock"
	logPrefix  = "log-"
	snapPrefix = "snapshot-"
	tempSuffix = ".tmp"

	frameMagic   = 0x67756c6c
	frameHeader  = 20 // magic, length, number, checksum
	largestFrame = 64 << 20

	segmentMagic  = "gullLOG1"
	segmentHeader = 8 + 8 + 8 + 8 + 4 // magic, segment, first frame, revision, checksum
)

func table() *crc32.Table { return crc32.MakeTable(crc32.Castagnoli) }

func logName(segment uint64) string  { return fmt.Sprintf("%s%016d", logPrefix, segment) }
func snapName(segment uint64) string { return fmt.Sprintf("%s%016d", snapPrefix, segment) }

// numbered reads the number in a file's name.
func numbered(name, prefix string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok || len(digits) != 16 {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 10, 64)
	return n, err == nil
}

func appendFrame(out []byte, number uint64, payload []byte) []byte {
	out = binary.LittleEndian.AppendUint32(out, frameMagic)
	out = binary.LittleEndian.AppendUint32(out, uint32(len(payload)))
	out = binary.LittleEndian.AppendUint64(out, number)
	sum := crc32.Update(crc32.Checksum(out[len(out)-12:], table()), table(), payload)
	out = binary.LittleEndian.AppendUint32(out, sum)
	return append(out, payload...)
}

// cutFrame reads the frame at the start of b; ok is false if there is no whole one.
func cutFrame(b []byte) (number uint64, payload, rest []byte, ok bool) {
	if len(b) < frameHeader || binary.LittleEndian.Uint32(b) != frameMagic {
		return 0, nil, nil, false
	}
	n := int(binary.LittleEndian.Uint32(b[4:]))
	if n > largestFrame || len(b) < frameHeader+n {
		return 0, nil, nil, false
	}
	payload = b[frameHeader : frameHeader+n]
	if crc32.Update(crc32.Checksum(b[4:16], table()), table(), payload) != binary.LittleEndian.Uint32(b[16:]) {
		return 0, nil, nil, false
	}
	return binary.LittleEndian.Uint64(b[8:]), payload, b[frameHeader+n:], true
}

type segmentHead struct {
	segment, first, revision uint64
}

func (h segmentHead) encode() []byte {
	out := append([]byte(nil), segmentMagic...)
	out = binary.LittleEndian.AppendUint64(out, h.segment)
	out = binary.LittleEndian.AppendUint64(out, h.first)
	out = binary.LittleEndian.AppendUint64(out, h.revision)
	return binary.LittleEndian.AppendUint32(out, crc32.Checksum(out, table()))
}

func parseSegmentHead(b []byte) (segmentHead, bool) {
	if len(b) < segmentHeader || string(b[:8]) != segmentMagic ||
		crc32.Checksum(b[:segmentHeader-4], table()) != binary.LittleEndian.Uint32(b[segmentHeader-4:]) {
		return segmentHead{}, false
	}
	return segmentHead{binary.LittleEndian.Uint64(b[8:]), binary.LittleEndian.Uint64(b[16:]), binary.LittleEndian.Uint64(b[24:])}, true
}

var (
	// ErrNotWritten says that a frame is not in the log and never will be.
	ErrNotWritten = errors.New("not written")
	// ErrUnknown says that nobody knows whether a frame is in the log: a sync failed.
	ErrUnknown = errors.New("a sync failed")
	// ErrBroken says that the log takes nothing until it has gone on in a new segment.
	ErrBroken = errors.New("the log waits for a new segment after a failed sync")
)

// Log is the segment that is written to.
type Log struct {
	files   Files
	file    File
	segment uint64
	next    uint64 // number of the next frame
	offset  int64
	broken  bool
}

// beginSegment makes an empty segment that lasts.
func beginSegment(files Files, h segmentHead) (*Log, error) {
	name := logName(h.segment)
	f, err := files.Create(name)
	if err != nil {
		return nil, fmt.Errorf("create %s: %w", name, err)
	}
	raw := h.encode()
	if _, err = f.WriteAt(raw, 0); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = files.SyncDir()
	}
	if err != nil {
		f.Close()
		return nil, fmt.Errorf("begin %s: %w", name, err)
	}
	return &Log{files: files, file: f, segment: h.segment, next: h.first, offset: int64(len(raw))}, nil
}

// Append writes one frame and makes it last. An error is ErrNotWritten, after which the log
// goes on, or ErrUnknown or ErrBroken, after which it needs a new segment.
func (l *Log) Append(payload []byte) error {
	if l.broken {
		return fmt.Errorf("%w: %w", ErrNotWritten, ErrBroken)
	}
	frame := appendFrame(make([]byte, 0, frameHeader+len(payload)), l.next, payload)
	if n, err := l.file.WriteAt(frame, l.offset); err != nil {
		if n < len(frame) {
			// What came of it is no whole frame, and the next one takes its place.
			return fmt.Errorf("%w: %s at %d: %w", ErrNotWritten, logName(l.segment), l.offset, err)
		}
		l.broken = true
		return fmt.Errorf("%w: %s at %d: %w", ErrUnknown, logName(l.segment), l.offset, err)
	}
	if err := l.file.Sync(); err != nil {
		// The kernel may have dropped the pages: another sync would report success for
		// nothing. This segment is never written to again.
		l.broken = true
		return fmt.Errorf("%w: %s at %d: %w", ErrUnknown, logName(l.segment), l.offset, err)
	}
	l.offset += int64(len(frame))
	l.next++
	return nil
}

// Rotate goes on in a new segment. If that fails, the log is as it was or broken.
func (l *Log) Rotate(revision uint64) error {
	fresh, err := beginSegment(l.files, segmentHead{l.segment + 1, l.next, revision})
	if err != nil {
		// The file may be there, whole or in part. A recovery that finds it goes on from
		// the frame that it names: either it is gone for certain, or nothing is written to
		// the old segment any more.
		gone := l.files.Remove(logName(l.segment + 1))
		if gone != nil && !errors.Is(gone, fs.ErrNotExist) || l.files.SyncDir() != nil {
			l.broken = true
		}
		return err
	}
	l.file.Close()
	*l = *fresh
	return nil
}

// Close closes the segment.
func (l *Log) Close() error { return l.file.Close() }

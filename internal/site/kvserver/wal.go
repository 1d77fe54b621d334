package kvserver

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
	lockFileName   = "lock"
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
	tempSuffix     = ".tmp"

	frameMagic       = 0x67756c6c
	frameHeaderBytes = 20 // magic, length, number, checksum
	maxFrameBytes    = 64 << 20

	segmentMagic       = "gullLOG1"
	segmentHeaderBytes = 8 + 8 + 8 + 8 + 4 // magic, segment, first frame, revision, checksum
)

func castagnoli() *crc32.Table { return crc32.MakeTable(crc32.Castagnoli) }

func segmentName(segment uint64) string  { return fmt.Sprintf("%s%016d", segmentPrefix, segment) }
func snapshotName(segment uint64) string { return fmt.Sprintf("%s%016d", snapshotPrefix, segment) }

// parseFileNumber reads the number in a file's name.
func parseFileNumber(name, prefix string) (uint64, bool) {
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
	sum := crc32.Update(crc32.Checksum(out[len(out)-12:], castagnoli()), castagnoli(), payload)
	out = binary.LittleEndian.AppendUint32(out, sum)
	return append(out, payload...)
}

// cutFrame reads the frame at the start of b; ok is false if there is no whole one.
func cutFrame(b []byte) (number uint64, payload, rest []byte, ok bool) {
	if len(b) < frameHeaderBytes || binary.LittleEndian.Uint32(b) != frameMagic {
		return 0, nil, nil, false
	}
	length := int(binary.LittleEndian.Uint32(b[4:]))
	if length > maxFrameBytes || len(b) < frameHeaderBytes+length {
		return 0, nil, nil, false
	}
	payload = b[frameHeaderBytes : frameHeaderBytes+length]
	if crc32.Update(crc32.Checksum(b[4:16], castagnoli()), castagnoli(), payload) != binary.LittleEndian.Uint32(b[16:]) {
		return 0, nil, nil, false
	}
	return binary.LittleEndian.Uint64(b[8:]), payload, b[frameHeaderBytes+length:], true
}

type segmentHeader struct {
	segment, firstFrame, revision uint64
}

func (h segmentHeader) encode() []byte {
	out := append([]byte(nil), segmentMagic...)
	out = binary.LittleEndian.AppendUint64(out, h.segment)
	out = binary.LittleEndian.AppendUint64(out, h.firstFrame)
	out = binary.LittleEndian.AppendUint64(out, h.revision)
	return binary.LittleEndian.AppendUint32(out, crc32.Checksum(out, castagnoli()))
}

func parseSegmentHeader(b []byte) (segmentHeader, bool) {
	if len(b) < segmentHeaderBytes || string(b[:8]) != segmentMagic ||
		crc32.Checksum(b[:segmentHeaderBytes-4], castagnoli()) != binary.LittleEndian.Uint32(b[segmentHeaderBytes-4:]) {
		return segmentHeader{}, false
	}
	return segmentHeader{binary.LittleEndian.Uint64(b[8:]), binary.LittleEndian.Uint64(b[16:]), binary.LittleEndian.Uint64(b[24:])}, true
}

var (
	// ErrNotWritten says that a frame is not in the log and never will be.
	ErrNotWritten = errors.New("not written")
	// ErrUncertain says that nobody knows whether a frame is in the log: a sync failed.
	ErrUncertain = errors.New("a sync failed")
	// ErrLogBroken says that the log takes nothing until it has gone on in a new segment.
	ErrLogBroken = errors.New("the log waits for a new segment after a failed sync")
)

// WAL is the segment that is written to.
type WAL struct {
	files     Directory
	file      File
	segment   uint64
	nextFrame uint64 // number of the next frame
	offset    int64
	broken    bool
}

// createSegment makes an empty segment that lasts.
func createSegment(files Directory, header segmentHeader) (*WAL, error) {
	name := segmentName(header.segment)
	file, err := files.Create(name)
	if err != nil {
		return nil, fmt.Errorf("create %s: %w", name, err)
	}
	raw := header.encode()
	if _, err = file.WriteAt(raw, 0); err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = files.SyncDir()
	}
	if err != nil {
		file.Close()
		return nil, fmt.Errorf("begin %s: %w", name, err)
	}
	return &WAL{files: files, file: file, segment: header.segment, nextFrame: header.firstFrame, offset: int64(len(raw))}, nil
}

// Append writes one frame and makes it last. An error is ErrNotWritten, after which the log
// goes on, or ErrUnknown or ErrBroken, after which it needs a new segment.
func (l *WAL) Append(payload []byte) error {
	if l.broken {
		return fmt.Errorf("%w: %w", ErrNotWritten, ErrLogBroken)
	}
	frame := appendFrame(make([]byte, 0, frameHeaderBytes+len(payload)), l.nextFrame, payload)
	if n, err := l.file.WriteAt(frame, l.offset); err != nil {
		if n < len(frame) {
			// What came of it is no whole frame, and the next one takes its place.
			return fmt.Errorf("%w: %s at %d: %w", ErrNotWritten, segmentName(l.segment), l.offset, err)
		}
		l.broken = true
		return fmt.Errorf("%w: %s at %d: %w", ErrUncertain, segmentName(l.segment), l.offset, err)
	}
	if err := l.file.Sync(); err != nil {
		// The kernel may have dropped the pages: another sync would report success for
		// nothing. This segment is never written to again.
		l.broken = true
		return fmt.Errorf("%w: %s at %d: %w", ErrUncertain, segmentName(l.segment), l.offset, err)
	}
	l.offset += int64(len(frame))
	l.nextFrame++
	return nil
}

// Rotate goes on in a new segment. If that fails, the log is as it was or broken.
func (l *WAL) Rotate(revision uint64) error {
	next, err := createSegment(l.files, segmentHeader{l.segment + 1, l.nextFrame, revision})
	if err != nil {
		// The file may be there, whole or in part. A recovery that finds it goes on from
		// the frame that it names: either it is gone for certain, or nothing is written to
		// the old segment any more.
		removeErr := l.files.Remove(segmentName(l.segment + 1))
		if removeErr != nil && !errors.Is(removeErr, fs.ErrNotExist) || l.files.SyncDir() != nil {
			l.broken = true
		}
		return err
	}
	l.file.Close()
	*l = *next
	return nil
}

// Close closes the segment.
func (l *WAL) Close() error { return l.file.Close() }

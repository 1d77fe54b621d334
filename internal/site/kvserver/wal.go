package kvserver

import (
	"errors"
	"fmt"
	"io/fs"
)

var (
	// ErrNotWritten says that a frame is not in the log and never will be.
	ErrNotWritten = errors.New("not written")
	// ErrUncertain says that it is uncertain whether a frame is in the log: a sync failed.
	ErrUncertain = errors.New("a sync failed")
	// ErrLogBroken says that the log takes nothing until it has gone on in a new segment.
	ErrLogBroken = errors.New("the log waits for a new segment after a failed sync")
)

// WAL is the write-ahead log: the segment that is written to. It belongs to one goroutine.
type WAL struct {
	files     Directory
	file      File
	segment   uint64
	nextFrame uint64 // number of the next frame
	offset    int64  // where it goes
	isBroken  bool   // nothing is written to this segment any more
}

// createSegment makes an empty segment that is durable.
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
		return nil, fmt.Errorf("begin %s: %w", name, errors.Join(err, file.Close()))
	}
	return &WAL{files: files, file: file, segment: header.segment, nextFrame: header.firstFrame, offset: int64(len(raw))}, nil
}

// Append writes one frame and makes it durable. Its error is ErrNotWritten, after which the log goes on (unless it is ErrLogBroken
// too), or ErrUncertain, after which it needs a new segment.
func (l *WAL) Append(payload []byte) error {
	if l.isBroken {
		return fmt.Errorf("%w: %w", ErrNotWritten, ErrLogBroken)
	}
	frame := appendFrame(make([]byte, 0, frameHeaderBytes+len(payload)), l.nextFrame, payload)
	if n, err := l.file.WriteAt(frame, l.offset); err != nil {
		if n < len(frame) {
			// What came of it is no whole frame, and the next one takes its place.
			return l.appendError(ErrNotWritten, err)
		}
		l.isBroken = true
		return l.appendError(ErrUncertain, err)
	}
	if err := l.file.Sync(); err != nil {
		// The kernel may have dropped the pages: another sync would report success for nothing. This segment is never written
		// to again.
		l.isBroken = true
		return l.appendError(ErrUncertain, err)
	}
	l.offset += int64(len(frame))
	l.nextFrame++
	return nil
}

func (l *WAL) appendError(outcome, err error) error {
	return fmt.Errorf("%w: %s at %d: %w", outcome, segmentName(l.segment), l.offset, err)
}

// Rotate goes on in a new segment. If that fails, the log is as it was or broken.
func (l *WAL) Rotate(revision uint64) error {
	next, err := createSegment(l.files, segmentHeader{segment: l.segment + 1, firstFrame: l.nextFrame, revision: revision})
	if err != nil {
		// The file may be there, whole or in part. A recovery that finds it goes on from the frame that it names: either it is gone
		// for certain, or nothing is written to the old segment any more.
		removeErr := l.files.Remove(segmentName(l.segment + 1))
		if removeErr != nil && !errors.Is(removeErr, fs.ErrNotExist) || l.files.SyncDir() != nil {
			l.isBroken = true
		}
		return err
	}
	_ = l.file.Close() // each frame that counts was synced by itself
	*l = *next
	return nil
}

// Close closes the segment.
func (l *WAL) Close() error { return l.file.Close() }

package kvserver

import (
	"errors"
	"fmt"
	"io/fs"
)

var (
	// ErrNotWritten is returned if the frame is certainly not in the log.
	ErrNotWritten = errors.New("not written")
	// ErrUncertain is returned if it is uncertain whether the frame is in the log, because a write or a sync failed.
	ErrUncertain = errors.New("outcome of the write is uncertain")
	// ErrLogBroken is returned if the log accepts no frames until it continues in a new segment.
	ErrLogBroken = errors.New("the log accepts no frames until it continues in a new segment")
)

// writeAheadLog appends frames to the last segment of a store's log. It is not safe for concurrent use.
type writeAheadLog struct {
	files     Directory
	file      File
	segment   uint64
	nextFrame uint64 // number of the next frame
	offset    int64  // of the next frame
	isBroken  bool   // a write or a sync failed: this segment is never written to again
}

// createSegment creates an empty, durable segment.
func createSegment(files Directory, header segmentHeader) (*writeAheadLog, error) {
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
		return nil, fmt.Errorf("write header of %s: %w", name, errors.Join(err, file.Close()))
	}
	return &writeAheadLog{files: files, file: file, segment: header.segment, nextFrame: header.firstFrame, offset: int64(len(raw))}, nil
}

// append writes one frame and makes it durable. After ErrNotWritten the log is still usable, unless the error is also ErrLogBroken. After
// ErrUncertain the log needs a new segment.
func (l *writeAheadLog) append(payload []byte) error {
	if l.isBroken {
		return fmt.Errorf("%w: %w", ErrNotWritten, ErrLogBroken)
	}
	frame := appendFrame(make([]byte, 0, frameHeaderBytes+len(payload)), l.nextFrame, payload)
	if n, err := l.file.WriteAt(frame, l.offset); err != nil {
		if n < len(frame) {
			// The frame is incomplete, and the next one overwrites it.
			return l.appendError(ErrNotWritten, err)
		}
		l.isBroken = true
		return l.appendError(ErrUncertain, err)
	}
	if err := l.file.Sync(); err != nil {
		// The kernel may have dropped the dirty pages. Another sync could then succeed without writing them, so this segment
		// is never written to again.
		l.isBroken = true
		return l.appendError(ErrUncertain, err)
	}
	l.offset += int64(len(frame))
	l.nextFrame++
	return nil
}

func (l *writeAheadLog) appendError(outcome, err error) error {
	return fmt.Errorf("%w: %s at %d: %w", outcome, segmentName(l.segment), l.offset, err)
}

// rotate continues the log in a new segment. If that fails, the log is unchanged or broken.
func (l *writeAheadLog) rotate(revision uint64) error {
	next, err := createSegment(l.files, segmentHeader{segment: l.segment + 1, firstFrame: l.nextFrame, revision: revision})
	if err != nil {
		// The new segment may exist, complete or in part. A recovery that finds it ignores later frames of the old segment. So
		// the old segment must not be written to, unless the new one is certainly removed.
		removeErr := l.files.Remove(segmentName(l.segment + 1))
		if removeErr != nil && !errors.Is(removeErr, fs.ErrNotExist) || l.files.SyncDir() != nil {
			l.isBroken = true
		}
		return err
	}
	_ = l.file.Close() // every frame is already synced
	*l = *next
	return nil
}

func (l *writeAheadLog) close() error { return l.file.Close() }

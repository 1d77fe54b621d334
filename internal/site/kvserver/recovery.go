package kvserver

import (
	"errors"
	"fmt"
	"io/fs"
	"math"
	"slices"
	"strings"
)

// noEndFrame is the end frame of the last segment, which no segment follows.
const noEndFrame = math.MaxUint64

// recovery is the content of a directory, and the position where its log continues.
type recovery struct {
	keyspace    *keyspace
	inspection  Inspection
	lastSegment *segmentHeader // nil: a new one has to be created
	offset      int64          // of the next frame in the last segment
	nextFrame   uint64         // number of the next frame
	newSegment  uint64         // number of the segment to be created
}

// recoverDirectory reads a directory and changes nothing. If it is damaged, the readable part is returned with the error.
func recoverDirectory(files Directory) (*recovery, error) {
	names, err := files.List()
	if err != nil {
		return nil, fmt.Errorf("list the data directory: %w", err)
	}
	var snapshots, segments []uint64
	r := &recovery{}
	for _, name := range names {
		snapshot, isSnapshot := parseFileNumber(name, snapshotPrefix)
		segment, isSegment := parseFileNumber(name, segmentPrefix)
		switch {
		case isSnapshot:
			snapshots = append(snapshots, snapshot)
			r.inspection.Snapshots = append(r.inspection.Snapshots, name)
		case isSegment:
			segments = append(segments, segment)
			r.inspection.Segments = append(r.inspection.Segments, name)
		case strings.HasSuffix(name, tempSuffix):
			r.inspection.UnfinishedSnapshots = append(r.inspection.UnfinishedSnapshots, name)
		case name != lockFileName:
			return nil, fmt.Errorf("unexpected file %q in the data directory: check that this is the directory of a store", name)
		}
	}
	slices.Sort(segments)
	slices.Sort(snapshots)
	slices.Reverse(snapshots)
	return r, r.load(files, snapshots, segments)
}

// load reads the newest valid snapshot and replays the log after it. Without a valid snapshot it replays the whole log.
func (r *recovery) load(files Directory, snapshots, segments []uint64) error {
	var firstDamage error
	for _, number := range snapshots {
		name := snapshotName(number)
		raw, err := files.Read(name)
		if err != nil {
			return fmt.Errorf("read %s: %w", name, err)
		}
		content, err := readSnapshot(name, raw)
		if err == nil && content.segment != number {
			err = &fileError{name, magicBytes, fmt.Errorf("its header names segment %d", content.segment)}
		}
		if err != nil {
			r.inspection.SkippedDamage = append(r.inspection.SkippedDamage, err.Error())
			if firstDamage == nil {
				firstDamage = err
			}
			continue
		}
		r.keyspace, r.inspection.Snapshot, r.inspection.SnapshotBytes = content.keyspace, name, int64(len(raw))
		if err := r.replayLog(files, segmentsFrom(segments, number), number, content.nextFrame); err != nil {
			return preferDamage(firstDamage, err)
		}
		return nil
	}
	r.keyspace = newKeyspace()
	if firstDamage != nil && (len(segments) == 0 || segments[0] != 1) {
		return preferDamage(firstDamage, nil)
	}
	return r.replayLog(files, segments, 1, 1)
}

// preferDamage returns the damage of a skipped snapshot if there is any, since laterErr may only be a consequence of skipping that
// snapshot. Otherwise it returns laterErr.
func preferDamage(skippedErr, laterErr error) error {
	var damage *fileError
	if errors.As(skippedErr, &damage) {
		return &DamageError{File: damage.file, Offset: damage.offset, Reason: damage.err.Error()}
	}
	return laterErr
}

func segmentsFrom(segments []uint64, first uint64) []uint64 {
	for i, number := range segments {
		if number >= first {
			return segments[i:]
		}
	}
	return nil
}

func (r *recovery) summarize() {
	r.inspection.Revision, r.inspection.Keys, r.inspection.Leases = r.keyspace.revision, r.keyspace.tree.Len(), len(r.keyspace.leases)
}

// segmentFile is the content of a segment.
type segmentFile struct {
	name           string
	raw            []byte
	header         segmentHeader
	hasValidHeader bool
}

// replayLog replays the segments. The log has to begin with segment number first, and that segment with frame number firstFrame.
func (r *recovery) replayLog(files Directory, numbers []uint64, first, firstFrame uint64) error {
	defer r.summarize()
	r.nextFrame, r.newSegment = firstFrame, first
	if len(numbers) == 0 {
		if r.inspection.Snapshot != "" {
			return newDamageError(segmentName(first), 0, "the segment after %s is missing", r.inspection.Snapshot)
		}
		return nil
	}
	segments, err := r.readSegments(files, numbers, first)
	if err != nil {
		return err
	}
	complete, err := r.dropUnfinishedSegment(segments)
	if err != nil {
		return err
	}
	for i := range complete {
		endFrame := uint64(noEndFrame)
		if i+1 < len(complete) {
			endFrame = complete[i+1].header.firstFrame
		}
		if err := r.replaySegment(&complete[i], endFrame); err != nil {
			return err
		}
		header := complete[i].header
		r.lastSegment, r.newSegment = &header, header.segment+1
	}
	if len(complete) < len(segments) {
		r.lastSegment = nil // the unfinished segment is created again
		r.newSegment = numbers[len(numbers)-1]
	}
	return nil
}

// readSegments reads the segments. If one is missing, the error is a DamageError.
func (r *recovery) readSegments(files Directory, numbers []uint64, first uint64) ([]segmentFile, error) {
	segments := make([]segmentFile, 0, len(numbers))
	for i, number := range numbers {
		if expected := first + uint64(i); number != expected {
			return nil, newDamageError(segmentName(expected), 0, "the segment is missing")
		}
		name := segmentName(number)
		raw, err := files.Read(name)
		if errors.Is(err, fs.ErrNotExist) {
			return nil, newDamageError(name, 0, "the segment is missing")
		}
		if err != nil {
			return nil, fmt.Errorf("read %s: %w", name, err)
		}
		header, ok := parseSegmentHeader(raw)
		segments = append(segments, segmentFile{name: name, raw: raw, header: header, hasValidHeader: ok && header.segment == number})
		r.inspection.LogBytes += int64(len(raw))
	}
	return segments, nil
}

// dropUnfinishedSegment leaves out a last segment without a valid header: the process ended while it created the segment. If the segment
// has a valid frame, its header was damaged instead, and the error is a DamageError.
func (r *recovery) dropUnfinishedSegment(segments []segmentFile) ([]segmentFile, error) {
	last := &segments[len(segments)-1]
	if last.hasValidHeader {
		return segments, nil
	}
	if at, found := findValidFrame(last.raw, 0, 0); found {
		return nil, newDamageError(last.name, 0, "the header is damaged, but a valid frame follows at byte %d", at)
	}
	r.inspection.TornBytes += int64(len(last.raw))
	return segments[:len(segments)-1], nil
}

// replaySegment applies a segment's frames with numbers below endFrame, the first frame of the next segment.
func (r *recovery) replaySegment(segment *segmentFile, endFrame uint64) error {
	if !segment.hasValidHeader {
		return newDamageError(segment.name, 0, "the segment header is damaged")
	}
	if segment.header.firstFrame != r.nextFrame {
		return newDamageError(
			segment.name, magicBytes, "frames %d to %d are missing before this segment", r.nextFrame, segment.header.firstFrame-1,
		)
	}
	raw := segment.raw
	rest := raw[segmentHeaderBytes:]
	for r.nextFrame < endFrame {
		offset := len(raw) - len(rest)
		number, payload, remaining, ok := parseFrame(rest)
		if !ok || number != r.nextFrame {
			if err := r.checkTornEnd(segment, offset, endFrame); err != nil {
				return err
			}
			r.inspection.TornBytes = int64(len(rest))
			break
		}
		if err := r.keyspace.replayRecords(payload); err != nil {
			return newDamageError(segment.name, offset, "frame %d cannot be read: %v", number, err)
		}
		r.inspection.Frames++
		r.nextFrame++
		rest = remaining
	}
	r.offset = int64(len(raw) - len(rest))
	return nil
}

// checkTornEnd returns an error unless the invalid frame at the offset is the torn end of the log. If a segment or a valid frame follows,
// durable data was damaged.
func (r *recovery) checkTornEnd(segment *segmentFile, offset int, endFrame uint64) error {
	if endFrame != noEndFrame {
		return newDamageError(segment.name, offset, "frame %d is damaged, but a later segment exists", r.nextFrame)
	}
	if at, found := findValidFrame(segment.raw, offset+1, r.nextFrame); found {
		return newDamageError(segment.name, offset, "frame %d is damaged, but a valid frame follows at byte %d", r.nextFrame, at)
	}
	return nil
}

// findValidFrame searches for a valid frame with at least the given number, starting at an offset.
func findValidFrame(raw []byte, from int, minNumber uint64) (at int, found bool) {
	for at = from; at+frameHeaderBytes <= len(raw); at++ {
		if raw[at] != frameMagic&0xff {
			continue
		}
		if number, _, _, ok := parseFrame(raw[at:]); ok && number >= minNumber {
			return at, true
		}
	}
	return 0, false
}

// openWAL opens the log for appending at its end.
func (r *recovery) openWAL(files Directory) (*writeAheadLog, error) {
	if r.lastSegment == nil {
		return createSegment(files, segmentHeader{segment: r.newSegment, firstFrame: r.nextFrame, revision: r.keyspace.revision})
	}
	name := segmentName(r.lastSegment.segment)
	file, err := files.Open(name)
	if err != nil {
		return nil, fmt.Errorf("open %s: %w", name, err)
	}
	if r.inspection.TornBytes > 0 {
		// The torn bytes were never confirmed. They are removed so that no later recovery reads them.
		err = file.Truncate(r.offset)
	}
	if err == nil {
		// Frames of an earlier process may be in the page cache only. They have to be durable before reads return their changes.
		err = file.Sync()
	}
	if err == nil {
		err = files.SyncDir()
	}
	if err != nil {
		return nil, fmt.Errorf("reopen %s: %w", name, errors.Join(err, file.Close()))
	}
	return &writeAheadLog{files: files, file: file, segment: r.lastSegment.segment, nextFrame: r.nextFrame, offset: r.offset}, nil
}

// removeLeftovers removes unfinished snapshots, and the files that the loaded snapshot covers.
func (r *recovery) removeLeftovers(files Directory) error {
	for _, name := range r.inspection.UnfinishedSnapshots {
		if err := files.Remove(name); err != nil {
			return fmt.Errorf("remove %s: %w", name, err)
		}
	}
	if number, ok := parseFileNumber(r.inspection.Snapshot, snapshotPrefix); ok {
		return removeCoveredFiles(files, number)
	}
	return nil
}

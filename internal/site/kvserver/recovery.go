package kvserver

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"sort"
	"strings"
)

// Inspection is what was found in a directory.
type Inspection struct {
	Revision            uint64   `json:"revision"`
	Keys                int      `json:"keys"`
	Leases              int      `json:"leases"`
	Snapshot            string   `json:"snapshot,omitempty"`
	Snapshots           []string `json:"snapshots,omitempty"`
	Segments            []string `json:"segments,omitempty"`
	Frames              int      `json:"frames"`
	LogBytes            int64    `json:"log_bytes"`
	SnapshotBytes       int64    `json:"snapshot_bytes"`
	TornBytes           int64    `json:"torn_bytes"`       // at the end: written and never answered
	SkippedDamage       []string `json:"passed,omitempty"` // what was damaged and not needed
	UnfinishedSnapshots []string `json:"unused,omitempty"` // of an unfinished snapshot
}

// DamageError ends a start: something that was answered cannot be read any more.
type DamageError struct {
	File   string
	Offset int64
	Reason string
}

func (d *DamageError) Error() string {
	return fmt.Sprintf("%s at byte %d: %s; nothing was changed. Look with 'gullrudder state inspect', and restore a backup "+
		"into an empty directory, or the file if a copy of it is whole", d.File, d.Offset, d.Reason)
}

func newDamageError(file string, offset int, format string, args ...any) error {
	return &DamageError{file, int64(offset), fmt.Sprintf(format, args...)}
}

// recovery is the state of a directory, and where its log goes on.
type recovery struct {
	keyspace    *keyspace
	inspection  Inspection
	lastSegment *segmentHeader // the last segment; nil if one has to be made
	offset      int64          // where its next frame goes
	nextFrame   uint64         // number of that
	newSegment  uint64         // number of the segment that has to be made
}

// recoverDirectory reads a directory and changes nothing.
func recoverDirectory(files Directory) (*recovery, error) {
	names, err := files.List()
	if err != nil {
		return nil, fmt.Errorf("list the data directory: %w", err)
	}
	var snapshots, segments []uint64
	recovered := &recovery{}
	for _, name := range names {
		if n, ok := parseFileNumber(name, snapshotPrefix); ok {
			snapshots = append(snapshots, n)
			recovered.inspection.Snapshots = append(recovered.inspection.Snapshots, name)
		} else if n, ok := parseFileNumber(name, segmentPrefix); ok {
			segments = append(segments, n)
			recovered.inspection.Segments = append(recovered.inspection.Segments, name)
		} else if strings.HasSuffix(name, tempSuffix) {
			recovered.inspection.UnfinishedSnapshots = append(recovered.inspection.UnfinishedSnapshots, name)
		} else if name != lockFileName {
			return nil, fmt.Errorf("file %q is none of a store's: is this the right directory?", name)
		}
	}
	slices.Sort(segments)
	sort.Slice(snapshots, func(i, j int) bool { return snapshots[i] > snapshots[j] })
	return recovered, recovered.load(files, snapshots, segments)
}

func (f *recovery) load(files Directory, snapshots, segments []uint64) error {
	var firstDamage error
	for _, n := range snapshots {
		name := snapshotName(n)
		raw, err := files.Read(name)
		if err != nil {
			return fmt.Errorf("read %s: %w", name, err)
		}
		data, segment, next, err := readSnapshot(name, raw)
		if err == nil && segment != n {
			err = &fileError{name, 8, fmt.Errorf("it is of segment %d", segment)}
		}
		if err != nil {
			f.inspection.SkippedDamage = append(f.inspection.SkippedDamage, err.Error())
			if firstDamage == nil {
				firstDamage = err
			}
			continue
		}
		f.keyspace, f.inspection.Snapshot, f.inspection.SnapshotBytes = data, name, int64(len(raw))
		if err := f.replaySegments(files, segmentsFrom(segments, segment), segment, next); err != nil {
			return f.preferDamage(firstDamage, err)
		}
		return nil
	}
	f.keyspace = newKeyspace()
	if firstDamage != nil && (len(segments) == 0 || segments[0] != 1) {
		return f.preferDamage(firstDamage, nil)
	}
	return f.replaySegments(files, segments, 1, 1)
}

// preferDamage prefers the damage that made the rest necessary.
func (f *recovery) preferDamage(first, then error) error {
	var d *fileError
	if errors.As(first, &d) {
		return &DamageError{d.file, d.offset, d.err.Error()}
	}
	return then
}

func segmentsFrom(segments []uint64, segment uint64) []uint64 {
	for i, n := range segments {
		if n >= segment {
			return segments[i:]
		}
	}
	return nil
}

func (f *recovery) summarize() {
	f.inspection.Revision, f.inspection.Keys, f.inspection.Leases = f.keyspace.revision, f.keyspace.tree.Len(), len(f.keyspace.leases)
}

// replaySegments replays the segments from the given one on, whose first frame is known.
func (f *recovery) replaySegments(files Directory, segments []uint64, segment, nextFrame uint64) error {
	defer f.summarize()
	f.nextFrame, f.newSegment = nextFrame, segment
	if len(segments) == 0 {
		if f.inspection.Snapshot != "" {
			return newDamageError(segmentName(segment), 0, "the segment after %s is missing", f.inspection.Snapshot)
		}
		return nil
	}
	type piece struct {
		raw  []byte
		head segmentHeader
		ok   bool
	}
	parts := make([]piece, len(segments))
	for i, n := range segments {
		if n != segment+uint64(i) {
			return newDamageError(segmentName(segment+uint64(i)), 0, "the segment is missing")
		}
		raw, err := files.Read(segmentName(n))
		if errors.Is(err, fs.ErrNotExist) {
			return newDamageError(segmentName(n), 0, "the segment is missing")
		}
		if err != nil {
			return fmt.Errorf("read %s: %w", segmentName(n), err)
		}
		p := piece{raw: raw}
		p.head, p.ok = parseSegmentHeader(raw)
		p.ok = p.ok && p.head.segment == n
		parts[i] = p
		f.inspection.LogBytes += int64(len(raw))
	}
	// A last segment without a header was being made when everything ended, if there is no
	// frame in it either.
	if p := parts[len(parts)-1]; !p.ok {
		name := segmentName(segments[len(segments)-1])
		if at, whole := findWholeFrame(p.raw, 0, 0); whole {
			return newDamageError(name, 0, "the header is damaged, and a whole frame follows at byte %d", at)
		}
		f.inspection.TornBytes += int64(len(p.raw))
		parts = parts[:len(parts)-1]
	}
	for i, p := range parts {
		name := segmentName(segment + uint64(i))
		if !p.ok {
			return newDamageError(name, 0, "the header of the segment is damaged")
		}
		if p.head.firstFrame != f.nextFrame {
			return newDamageError(name, 8, "frames %d to %d are missing before it", f.nextFrame, p.head.firstFrame-1)
		}
		until := ^uint64(0)
		if i+1 < len(parts) {
			until = parts[i+1].head.firstFrame
		}
		if err := f.replaySegment(name, p.raw, until); err != nil {
			return err
		}
		head := p.head
		f.lastSegment, f.newSegment = &head, head.segment+1
	}
	if len(parts) < len(segments) {
		f.lastSegment = nil // the last one is made anew
		f.newSegment = segments[len(segments)-1]
	}
	return nil
}

// replaySegment applies a segment's frames up to a number, which belongs to the next segment.
func (f *recovery) replaySegment(name string, raw []byte, endFrame uint64) error {
	rest := raw[segmentHeaderBytes:]
	for f.nextFrame < endFrame {
		at := len(raw) - len(rest)
		number, payload, remaining, ok := cutFrame(rest)
		if !ok || number != f.nextFrame {
			if endFrame != ^uint64(0) {
				return newDamageError(name, at, "frame %d is damaged, and the log goes on behind it", f.nextFrame)
			}
			if at, whole := findWholeFrame(raw, at+1, f.nextFrame); whole {
				return newDamageError(name, len(raw)-len(rest), "frame %d is damaged, and a whole one follows at byte %d", f.nextFrame, at)
			}
			f.inspection.TornBytes = int64(len(rest))
			break
		}
		if err := f.keyspace.replayRecords(payload); err != nil {
			return newDamageError(name, at, "frame %d cannot be read: %v", number, err)
		}
		f.inspection.Frames++
		f.nextFrame++
		rest = remaining
	}
	f.offset = int64(len(raw) - len(rest))
	return nil
}

// findWholeFrame looks for a whole frame of at least the given number, from an offset on.
func findWholeFrame(raw []byte, from int, minNumber uint64) (at int, ok bool) {
	for at = from; at+frameHeaderBytes <= len(raw); at++ {
		if raw[at] != frameMagic&0xff {
			continue
		}
		if n, _, _, whole := cutFrame(raw[at:]); whole && n >= minNumber {
			return at, true
		}
	}
	return 0, false
}

// openWAL goes on where examine has found the log to end.
func (f *recovery) openWAL(files Directory) (*WAL, error) {
	if f.lastSegment == nil {
		return createSegment(files, segmentHeader{f.newSegment, f.nextFrame, f.keyspace.revision})
	}
	name := segmentName(f.lastSegment.segment)
	file, err := files.Open(name)
	if err != nil {
		return nil, fmt.Errorf("open %s: %w", name, err)
	}
	wal := &WAL{files: files, file: file, segment: f.lastSegment.segment, nextFrame: f.nextFrame, offset: f.offset}
	if f.inspection.TornBytes > 0 {
		// What is behind the end was never answered, and is not to be looked at again.
		err = file.Truncate(f.offset)
	}
	if err == nil {
		// What a process that has ended wrote may be in memory only; it is answered from
		// now on, so it has to last.
		err = file.Sync()
	}
	if err == nil {
		err = files.SyncDir()
	}
	if err != nil {
		file.Close()
		return nil, fmt.Errorf("go on in %s: %w", name, err)
	}
	return wal, nil
}

// removeLeftovers removes what unfinished snapshots and deletions have left.
func (f *recovery) removeLeftovers(files Directory) error {
	for _, name := range f.inspection.UnfinishedSnapshots {
		if err := files.Remove(name); err != nil {
			return fmt.Errorf("remove %s: %w", name, err)
		}
	}
	if n, ok := parseFileNumber(f.inspection.Snapshot, snapshotPrefix); ok {
		return removeCoveredFiles(files, n)
	}
	return nil
}

package store

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"sort"
	"strings"
)

// Report is what was found in a directory.
type Report struct {
	Revision  uint64   `json:"revision"`
	Keys      int      `json:"keys"`
	Leases    int      `json:"leases"`
	Snapshot  string   `json:"snapshot,omitempty"`
	Snapshots []string `json:"snapshots,omitempty"`
	Segments  []string `json:"segments,omitempty"`
	Frames    int      `json:"frames"`
	LogBytes  int64    `json:"log_bytes"`
	SnapBytes int64    `json:"snapshot_bytes"`
	Torn      int64    `json:"torn_bytes"`       // at the end: written and never answered
	Passed    []string `json:"passed,omitempty"` // what was damaged and not needed
	Unused    []string `json:"unused,omitempty"` // of an unfinished snapshot
}

// Damaged ends a start: something that was answered cannot be read any more.
type Damaged struct {
	File   string
	Offset int64
	Reason string
}

func (d *Damaged) Error() string {
	return fmt.Sprintf("%s at byte %d: %s; nothing was changed. Look with 'gullrudder state inspect', and restore a backup "+
		"into an empty directory, or the file if a copy of it is whole", d.File, d.Offset, d.Reason)
}

func damaged(file string, offset int, format string, args ...any) error {
	return &Damaged{file, int64(offset), fmt.Sprintf(format, args...)}
}

// found is the state of a directory, and where its log goes on.
type found struct {
	content *content
	report  Report
	tail    *segmentHead // the last segment; nil if one has to be made
	offset  int64        // where its next frame goes
	next    uint64       // number of that
	segment uint64       // number of the segment that has to be made
}

// examine reads a directory and changes nothing.
func examine(files Files) (*found, error) {
	names, err := files.List()
	if err != nil {
		return nil, fmt.Errorf("list the data directory: %w", err)
	}
	var snaps, logs []uint64
	f := &found{}
	for _, name := range names {
		if n, ok := numbered(name, snapPrefix); ok {
			snaps = append(snaps, n)
			f.report.Snapshots = append(f.report.Snapshots, name)
		} else if n, ok := numbered(name, logPrefix); ok {
			logs = append(logs, n)
			f.report.Segments = append(f.report.Segments, name)
		} else if strings.HasSuffix(name, tempSuffix) {
			f.report.Unused = append(f.report.Unused, name)
		} else if name != lockName {
			return nil, fmt.Errorf("file %q is none of a store's: is this the right directory?", name)
		}
	}
	slices.Sort(logs)
	sort.Slice(snaps, func(i, j int) bool { return snaps[i] > snaps[j] })
	return f, f.read(files, snaps, logs)
}

func (f *found) read(files Files, snaps, logs []uint64) error {
	var last error
	for _, n := range snaps {
		name := snapName(n)
		raw, err := files.Read(name)
		if err != nil {
			return fmt.Errorf("read %s: %w", name, err)
		}
		c, segment, next, err := readSnapshot(name, raw)
		if err == nil && segment != n {
			err = &damage{name, 8, fmt.Errorf("it is of segment %d", segment)}
		}
		if err != nil {
			f.report.Passed = append(f.report.Passed, err.Error())
			if last == nil {
				last = err
			}
			continue
		}
		f.content, f.report.Snapshot, f.report.SnapBytes = c, name, int64(len(raw))
		if err := f.readLog(files, after(logs, segment), segment, next); err != nil {
			return f.orDamaged(last, err)
		}
		return nil
	}
	f.content = newContent()
	if last != nil && (len(logs) == 0 || logs[0] != 1) {
		return f.orDamaged(last, nil)
	}
	return f.readLog(files, logs, 1, 1)
}

// orDamaged prefers the damage that made the rest necessary.
func (f *found) orDamaged(first, then error) error {
	var d *damage
	if errors.As(first, &d) {
		return &Damaged{d.file, d.offset, d.err.Error()}
	}
	return then
}

func after(logs []uint64, segment uint64) []uint64 {
	for i, n := range logs {
		if n >= segment {
			return logs[i:]
		}
	}
	return nil
}

func (f *found) finish() {
	f.report.Revision, f.report.Keys, f.report.Leases = f.content.revision, f.content.tree.Len(), len(f.content.leases)
}

// readLog replays the segments from the given one on, whose first frame is known.
func (f *found) readLog(files Files, logs []uint64, segment, next uint64) error {
	defer f.finish()
	f.next, f.segment = next, segment
	if len(logs) == 0 {
		if f.report.Snapshot != "" {
			return damaged(logName(segment), 0, "the segment after %s is missing", f.report.Snapshot)
		}
		return nil
	}
	type piece struct {
		raw  []byte
		head segmentHead
		ok   bool
	}
	pieces := make([]piece, len(logs))
	for i, n := range logs {
		if n != segment+uint64(i) {
			return damaged(logName(segment+uint64(i)), 0, "the segment is missing")
		}
		raw, err := files.Read(logName(n))
		if errors.Is(err, fs.ErrNotExist) {
			return damaged(logName(n), 0, "the segment is missing")
		}
		if err != nil {
			return fmt.Errorf("read %s: %w", logName(n), err)
		}
		p := piece{raw: raw}
		p.head, p.ok = parseSegmentHead(raw)
		p.ok = p.ok && p.head.segment == n
		pieces[i] = p
		f.report.LogBytes += int64(len(raw))
	}
	// A last segment without a header was being made when everything ended, if there is no
	// frame in it either.
	if p := pieces[len(pieces)-1]; !p.ok {
		name := logName(logs[len(logs)-1])
		if at, whole := wholeFrame(p.raw, 0, 0); whole {
			return damaged(name, 0, "the header is damaged, and a whole frame follows at byte %d", at)
		}
		f.report.Torn += int64(len(p.raw))
		pieces = pieces[:len(pieces)-1]
	}
	for i, p := range pieces {
		name := logName(segment + uint64(i))
		if !p.ok {
			return damaged(name, 0, "the header of the segment is damaged")
		}
		if p.head.first != f.next {
			return damaged(name, 8, "frames %d to %d are missing before it", f.next, p.head.first-1)
		}
		until := ^uint64(0)
		if i+1 < len(pieces) {
			until = pieces[i+1].head.first
		}
		if err := f.replay(name, p.raw, until); err != nil {
			return err
		}
		head := p.head
		f.tail, f.segment = &head, head.segment+1
	}
	if len(pieces) < len(logs) {
		f.tail = nil // the last one is made anew
		f.segment = logs[len(logs)-1]
	}
	return nil
}

// replay applies a segment's frames up to a number, which belongs to the next segment.
func (f *found) replay(name string, raw []byte, until uint64) error {
	rest := raw[segmentHeader:]
	for f.next < until {
		at := len(raw) - len(rest)
		number, payload, more, ok := cutFrame(rest)
		if !ok || number != f.next {
			if until != ^uint64(0) {
				return damaged(name, at, "frame %d is damaged, and the log goes on behind it", f.next)
			}
			if at, whole := wholeFrame(raw, at+1, f.next); whole {
				return damaged(name, len(raw)-len(rest), "frame %d is damaged, and a whole one follows at byte %d", f.next, at)
			}
			f.report.Torn = int64(len(rest))
			break
		}
		if err := f.content.replay(payload); err != nil {
			return damaged(name, at, "frame %d cannot be read: %v", number, err)
		}
		f.report.Frames++
		f.next++
		rest = more
	}
	f.offset = int64(len(raw) - len(rest))
	return nil
}

// wholeFrame looks for a whole frame of at least the given number, from an offset on.
func wholeFrame(raw []byte, from int, least uint64) (at int, ok bool) {
	for at = from; at+frameHeader <= len(raw); at++ {
		if raw[at] != frameMagic&0xff {
			continue
		}
		if n, _, _, whole := cutFrame(raw[at:]); whole && n >= least {
			return at, true
		}
	}
	return 0, false
}

// open goes on where examine has found the log to end.
func (f *found) open(files Files) (*Log, error) {
	if f.tail == nil {
		return beginSegment(files, segmentHead{f.segment, f.next, f.content.revision})
	}
	name := logName(f.tail.segment)
	file, err := files.Open(name)
	if err != nil {
		return nil, fmt.Errorf("open %s: %w", name, err)
	}
	l := &Log{files: files, file: file, segment: f.tail.segment, next: f.next, offset: f.offset}
	if f.report.Torn > 0 {
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
	return l, nil
}

// clear removes what unfinished snapshots and deletions have left.
func (f *found) clear(files Files) error {
	for _, name := range f.report.Unused {
		if err := files.Remove(name); err != nil {
			return fmt.Errorf("remove %s: %w", name, err)
		}
	}
	if n, ok := numbered(f.report.Snapshot, snapPrefix); ok {
		return prune(files, n)
	}
	return nil
}

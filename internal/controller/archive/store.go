// Package archive keeps finished jobs out of the way of a failover. They leave the pages of package storage for segments: each has an
// index, which a leader reads and holds, and data, which is read when a user asks for an old job's counts. Small segments are
// compacted into larger ones.
//
// A Store owns all segments for one leadership. What it writes goes through the commits of package storage, which require the
// leadership, and after everything that a user waits for. It never decides when a job is finished, and it never answers a user.
//
// The design is in docs/design/archive.md.
package archive

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"gullrudder/internal/controller/storage"
	"gullrudder/internal/wire/client"
)

// partOverhead is how many bytes a part takes besides its text.
const partOverhead = 64

// Names of the entries of the archive's head.
const (
	nextNumberEntry = "next"
	segmentLetter   = 'r' // begins an entry that names a segment
	garbageLetter   = 'g' // begins an entry that names a segment whose parts are to be deleted
)

func segmentEntry(number uint64) string { return fmt.Sprintf("%c%08d", segmentLetter, number) }
func garbageEntry(number uint64) string { return fmt.Sprintf("%c%08d", garbageLetter, number) }

func indexPrefix(segment uint64) string {
	return fmt.Sprintf("%s%08d/", storage.ArchiveIndexPrefix, segment)
}

func dataPrefix(segment uint64) string {
	return fmt.Sprintf("%s%08d/", storage.ArchiveDataPrefix, segment)
}

func indexKey(segment uint64, part int) string {
	return fmt.Sprintf("%s%05d", indexPrefix(segment), part)
}

func dataKey(segment uint64, part int) string {
	return fmt.Sprintf("%s%05d", dataPrefix(segment), part)
}

// Options of a Store.
type Options struct {
	MaxValueBytes     int     // JSON bytes that a value of the state service may have
	MaxTransactionOps int     // changes that a transaction may make
	WriteRate         float64 // changes per second that the archive may make
	ReadRate          float64 // reads per second that the archive may make
	MinSegmentJobs    int     // finished jobs that are worth a segment
	CompactionFanIn   int     // segments of a level that are compacted into one
	// CanArchive reports whether a finished job may leave the pages by now.
	CanArchive func(now time.Time, id string) bool
	// FinalState is what to keep of a finished job.
	FinalState func(id string) (FinalState, bool)
	// OnArchived is told of the jobs that a durable segment holds from now on.
	OnArchived func(ids []string)
}

// Store is the archive of one leadership. It belongs to the controller's event loop and is not safe for concurrent use.
type Store struct {
	options    Options
	storage    *storage.Store
	log        *slog.Logger
	segments   []*Segment // by number
	nextNumber uint64     // of the segment that is, or may have been, under construction
	building   *segmentBuild
	nextScanAt time.Time // when to look for finished jobs

	calls   backgroundCalls
	garbage garbageCollection
	reader  partReader
}

// New reads the archive that the storage has loaded. The error says that it cannot be told which jobs there were: then no request may
// be answered.
func New(store *storage.Store, options Options, log *slog.Logger) (*Store, error) {
	s := &Store{
		options: options, storage: store, log: log,
		calls: backgroundCalls{
			writeLimiter: client.NewRateLimiter(options.WriteRate, burstOfTransaction(options)),
			readLimiter:  client.NewRateLimiter(options.ReadRate, time.Second),
		},
	}
	s.reader = newPartReader(store, s.calls.readLimiter)
	index := store.TakeArchiveIndex()
	for _, name := range store.ArchiveHeadNames() {
		if err := s.loadHeadEntry(name, index); err != nil {
			return nil, err
		}
	}
	s.addUnnamedGarbage(index)
	slices.SortFunc(s.segments, func(a, b *Segment) int { return int(int64(a.Number) - int64(b.Number)) })
	return s, nil
}

// burstOfTransaction is how long writes are saved up: until they are enough for one transaction.
func burstOfTransaction(options Options) time.Duration {
	return time.Duration(float64(options.MaxTransactionOps+1) / options.WriteRate * float64(time.Second))
}

// loadHeadEntry takes in an entry of the archive's head. The parts of a segment's index are taken out of index.
func (s *Store) loadHeadEntry(name string, index map[string]string) error {
	if name == nextNumberEntry {
		return s.storage.ArchiveHeadEntry(name, &s.nextNumber)
	}
	var record SegmentRecord
	if err := s.storage.ArchiveHeadEntry(name, &record); err != nil {
		return err
	}
	number, err := strconv.ParseUint(name[1:], 10, 64)
	if err != nil {
		return fmt.Errorf("entry %q of the archive head: %w", name, err)
	}
	if name[0] == garbageLetter {
		s.garbage.segments = append(s.garbage.segments, &garbageSegment{number: number, inHead: true})
		return nil
	}
	var parts []string
	for i := range record.IndexParts {
		key := indexKey(number, i)
		text, ok := index[key]
		if !ok {
			return &MissingPartError{Segment: number, Key: key}
		}
		parts = append(parts, text)
		delete(index, key)
	}
	segment, err := parseSegment(number, record, parts)
	if err != nil {
		return err
	}
	s.segments = append(s.segments, segment)
	return nil
}

// MissingPartError reports that a part of a segment is not in the state service though the archive's head names the segment.
type MissingPartError struct {
	Segment uint64 // number
	Key     string // of the part
}

// Error names the segment and the part.
func (e *MissingPartError) Error() string {
	return fmt.Sprintf("segment %d: part %s is missing", e.Segment, e.Key)
}

// addUnnamedGarbage has parts deleted that no segment of the head holds: what an unfinished segment left has the next number, and a
// write that was executed very late may have left parts of others. index is what is left of the loaded index.
func (s *Store) addUnnamedGarbage(index map[string]string) {
	unfinished := map[uint64]bool{s.nextNumber: true}
	for key := range index {
		digits, _, _ := strings.Cut(strings.TrimPrefix(key, storage.ArchiveIndexPrefix), "/")
		number, err := strconv.ParseUint(strings.TrimLeft(digits, "0"), 10, 64)
		if err == nil && !s.garbage.has(number) {
			unfinished[number] = true
		}
	}
	for _, number := range slices.Sorted(maps.Keys(unfinished)) {
		s.garbage.segments = append(s.garbage.segments, &garbageSegment{number: number})
	}
}

// SetThresholds changes how many finished jobs are worth a segment, and how many segments are compacted into one.
func (s *Store) SetThresholds(minSegmentJobs, compactionFanIn int) {
	s.options.MinSegmentJobs, s.options.CompactionFanIn = minSegmentJobs, compactionFanIn
}

// JobCount is the number of jobs in all segments.
func (s *Store) JobCount() int {
	n := 0
	for _, segment := range s.segments {
		n += segment.JobCount
	}
	return n
}

// SegmentCount is the number of segments.
func (s *Store) SegmentCount() int { return len(s.segments) }

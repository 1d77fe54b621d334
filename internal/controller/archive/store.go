// Package archive keeps finished jobs in compact segments, so that a failover does not have to load them. They are moved from the pages
// of package storage into segments: each has an index, which a leader loads, and data, which is read for requests about the task counts
// of archived jobs. Small segments are compacted into larger ones.
//
// A Store owns all segments for one leadership. It writes through package storage, with the leader's key as a precondition and at lower
// priority than any change that a request waits for. It never decides when a job is finished, and never answers a user.
// Design note: docs/design/archive.md.
package archive

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/storage"
	"gullrudder/internal/units"
	"gullrudder/internal/wire/client"
)

// partOverhead is the JSON bytes of a part in addition to its text.
const partOverhead = 64

// Names of the entries of the archive's head.
const (
	nextNumberEntry = "next"
	segmentLetter   = 'r' // first letter of the entry of a segment
	garbageLetter   = 'g' // first letter of the entry of a segment whose parts are to be deleted
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

// Options are the parameters and limits of a Store.
type Options struct {
	MaxValueBytes     int     // limit of a value of the state service in JSON bytes
	MaxTransactionOps int     // limit of the operations of a transaction
	WriteRate         float64 // limit of the archive in operations per second
	ReadRate          float64 // limit of the archive in reads per second
	MinSegmentJobs    int     // least number of finished jobs in a new segment
	CompactionFanIn   int     // number of segments of a level that are compacted into one
	// CanArchive reports whether a finished job may be archived.
	CanArchive func(now time.Time, id string) bool
	// FinalState returns the final state of a finished job, and false if it is not finished.
	FinalState func(id string) (jobs.FinalState, bool)
	// OnArchived is called with the IDs of jobs once their segment is durable.
	OnArchived func(ids []string)
}

// Store is the archive of one leadership. It belongs to the controller's event loop and is not safe for concurrent use.
type Store struct {
	options    Options
	storage    *storage.Store
	log        *slog.Logger
	segments   []*Segment // by number
	nextNumber uint64     // number of the segment that is, or may have been, under construction
	building   *segmentBuild
	nextScanAt time.Time // when the pages are next searched for finished jobs

	calls   backgroundCalls
	garbage garbageCollection
	reader  partReader
}

// New opens the archive that the storage has loaded. After an error the archived jobs are not all known, and no request may be answered.
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

// burstOfTransaction returns the time for which unused writes accumulate: until they suffice for one transaction.
func burstOfTransaction(options Options) time.Duration {
	return units.DurationFromSeconds(float64(options.MaxTransactionOps+1) / options.WriteRate)
}

// loadHeadEntry loads an entry of the archive's head. It removes the parts of the segment's index from index.
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

// MissingPartError is the error that a part is missing in the state service although the archive's head has its segment.
type MissingPartError struct {
	Segment uint64 // number
	Key     string // of the part
}

// Error returns the text with the segment and the part.
func (e *MissingPartError) Error() string {
	return fmt.Sprintf("segment %d: part %s is missing", e.Segment, e.Key)
}

// addUnnamedGarbage adds segments without an entry in the head to the garbage. An unfinished segment has the next number; writes that
// were executed very late may have left parts of others. index has the parts of the loaded index that belong to no segment.
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

// SetThresholds changes MinSegmentJobs and CompactionFanIn of the Options.
func (s *Store) SetThresholds(minSegmentJobs, compactionFanIn int) {
	s.options.MinSegmentJobs, s.options.CompactionFanIn = minSegmentJobs, compactionFanIn
}

// JobCount returns the number of jobs in all segments.
func (s *Store) JobCount() int {
	n := 0
	for _, segment := range s.segments {
		n += segment.JobCount
	}
	return n
}

// SegmentCount returns the number of segments.
func (s *Store) SegmentCount() int { return len(s.segments) }

// Package archive keeps finished jobs in compact segments, so that a failover does not have to load each of them. Jobs are moved from the
// pages of package storage into segments. A segment has an index, which a leader loads, and data, which is read for requests about the task
// counts of archived jobs. Small segments are compacted into larger ones.
//
// A Store owns all segments for one leadership. It writes through package storage, with a precondition on the revision of the leader's key
// and with lower priority than changes that a request waits for. It does not decide when a job is finished, and does not answer users.
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

// partOverhead is the number of JSON bytes of a part apart from its text.
const partOverhead = 64

// Names of the entries of the archive's head.
const (
	nextNumberEntry = "next"
	segmentLetter   = 'r' // first letter of the names of segment entries
	garbageLetter   = 'g' // first letter of the names of garbage entries: segments whose parts must be deleted
)

func segmentEntry(number uint64) string { return fmt.Sprintf("%c%08d", segmentLetter, number) }
func garbageEntry(number uint64) string { return fmt.Sprintf("%c%08d", garbageLetter, number) }

func indexPrefix(segment uint64) string {
	return fmt.Sprintf("%s%08d/", storage.ArchiveIndexPrefix, segment)
}

func dataPrefix(segment uint64) string {
	return fmt.Sprintf("%s%08d/", storage.ArchiveDataPrefix, segment)
}

func indexPartKey(segment uint64, part int) string {
	return fmt.Sprintf("%s%05d", indexPrefix(segment), part)
}

func dataPartKey(segment uint64, part int) string {
	return fmt.Sprintf("%s%05d", dataPrefix(segment), part)
}

// Options are the parameters and limits of a Store.
type Options struct {
	MaxValueBytes     int     // size limit of a value in the state service, in JSON bytes
	MaxTransactionOps int     // limit of the number of operations in a transaction
	WriteRate         float64 // write limit of the archive, in operations per second
	ReadRate          float64 // read limit of the archive, in requests per second
	MinSegmentJobs    int     // minimum number of finished jobs in a new segment
	CompactionFanIn   int     // number of segments of one level that are compacted into one segment
	// CanArchive reports whether a finished job may be archived.
	CanArchive func(now time.Time, id string) bool
	// FinalState returns the final state of a finished job. It returns false if the job is not finished.
	FinalState func(id string) (jobs.FinalState, bool)
	// OnArchived is called with the IDs of jobs once their segment is durable.
	OnArchived func(ids []string)
}

// Store is the archive of one leadership. It must be used only from the controller's event loop: it is not safe for concurrent use.
type Store struct {
	options    Options
	storage    *storage.Store
	log        *slog.Logger
	segments   []*Segment // sorted by number
	nextNumber uint64     // number of the next segment; a build of this or an earlier leader may already have written parts of it
	building   *segmentBuild
	nextScanAt time.Time // when the pages are next searched for finished jobs

	calls   backgroundCalls
	garbage garbageCollection
	reader  partReader
}

// New opens the archive that store has loaded, and takes the loaded index from it. After an error some archived jobs are unknown, so no
// request may be answered.
func New(store *storage.Store, options Options, log *slog.Logger) (*Store, error) {
	s := &Store{
		options: options, storage: store, log: log,
		calls: backgroundCalls{
			writeLimiter: client.NewRateLimiter(options.WriteRate, writeBurst(options)),
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
	s.addGarbageWithoutHeadEntry(index)
	slices.SortFunc(s.segments, func(a, b *Segment) int { return int(int64(a.Number) - int64(b.Number)) })
	return s, nil
}

// writeBurst returns the maximum time over which unused writes accumulate. It is long enough for one transaction.
func writeBurst(options Options) time.Duration {
	return units.DurationFromSeconds(float64(options.MaxTransactionOps+1) / options.WriteRate)
}

// loadHeadEntry loads an entry of the archive's head. For a segment it also decodes the segment's index, and removes its parts from index.
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
		key := indexPartKey(number, i)
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

// MissingPartError reports an index part that is missing in the state service although the archive's head has an entry for its segment.
type MissingPartError struct {
	Segment uint64 // number of the segment
	Key     string // key of the part
}

// Error returns a message with the segment and the key of the part.
func (e *MissingPartError) Error() string {
	return fmt.Sprintf("segment %d: part %s is missing", e.Segment, e.Key)
}

// addGarbageWithoutHeadEntry adds segments to the garbage that have parts but no entry in the head. An unfinished segment has the next
// number. Writes that were executed very late may have left parts of other segments. index has the loaded parts that belong to no segment
// in the head.
func (s *Store) addGarbageWithoutHeadEntry(index map[string]string) {
	numbers := map[uint64]bool{s.nextNumber: true}
	for key := range index {
		digits, _, _ := strings.Cut(strings.TrimPrefix(key, storage.ArchiveIndexPrefix), "/")
		number, err := strconv.ParseUint(strings.TrimLeft(digits, "0"), 10, 64)
		if err == nil && !s.garbage.has(number) {
			numbers[number] = true
		}
	}
	for _, number := range slices.Sorted(maps.Keys(numbers)) {
		s.garbage.segments = append(s.garbage.segments, &garbageSegment{number: number})
	}
}

// SetThresholds changes MinSegmentJobs and CompactionFanIn of the Options. They apply to segments that are begun later.
func (s *Store) SetThresholds(minSegmentJobs, compactionFanIn int) {
	s.options.MinSegmentJobs, s.options.CompactionFanIn = minSegmentJobs, compactionFanIn
}

// JobCount returns the total number of jobs in all segments.
func (s *Store) JobCount() int {
	n := 0
	for _, segment := range s.segments {
		n += segment.JobCount
	}
	return n
}

// SegmentCount returns the number of segments.
func (s *Store) SegmentCount() int { return len(s.segments) }

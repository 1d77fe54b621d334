// Package archive keeps finished jobs out of the way of a takeover. They leave the ledger's
// live pages for sealed runs: each has an index, which a leader reads and holds, and data,
// which is read when somebody asks for an old job's counts. Small runs are merged into larger
// ones. The Keeper owns all of this for one leadership; what it writes goes through the
// ledger's guarded commits, after everything that a user waits for.
//
// The package never decides when a job is finished, and never answers a user.
package archive

import (
	"errors"
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

const (
	// maxCompactedJobs is how many jobs a run may hold as long as there is room for runs: larger
	// ones are not merged again, which bounds what a merge has to write.
	maxCompactedJobs = 1 << 17
	// maxLookups bounds the questions for old jobs that wait for the state service.
	maxLookups = 64
	// maxCachedParts is how many parts of data are kept for further questions.
	maxCachedParts = 64
	// compactionKeysPerStep is how many keys a merge takes in one step: about half a millisecond.
	compactionKeysPerStep = 2000
	// unreachableAfter is how long reads may fail before old jobs are answered without counts.
	unreachableAfter = 20 * time.Second
	readTimeout      = 1200 * time.Millisecond
	partOverhead     = 64 // bytes of a part besides its text
	// scanInterval is how often the pages are looked through for finished jobs.
	scanInterval = time.Second
)

// Options of a keeper.
type Options struct {
	ValueBytes      int
	TxnOps          int
	WriteRate       float64 // changes a second that the history may make
	ReadRate        float64 // reads a second that the history may make
	MinSegmentJobs  int     // jobs that are worth a run
	CompactionFanIn int     // runs of a level that are merged
	// CanArchive reports whether a finished job may leave the live pages by now.
	CanArchive func(now time.Time, id string) bool
	// FinalState is what to keep of it.
	FinalState func(id string) (FinalState, bool)
	// OnArchived is told of the jobs that a durable run holds from now on.
	OnArchived func(ids []string)
}

// ErrBusy says that an old job cannot be looked up now.
var ErrBusy = errors.New("too many questions about old jobs")

// Store is the history of one leadership.
type Store struct {
	options    Options
	storage    *storage.Store
	log        *slog.Logger
	segments   []*Segment // by number
	nextNumber uint64     // number of the run that is, or may have been, under construction
	garbage    []*garbageSegment
	collected  []uint64 // garbage that the head still names
	nextScanAt time.Time

	callInFlight bool // an answer is due
	retryAt      time.Time
	retryDelay   time.Duration
	building     *segmentBuild
	writeLimiter *client.RateLimiter
	readLimiter  *client.RateLimiter

	lookupsInFlight   int
	partWaiters       map[string][]func(now time.Time, text string, status int) // parts being read
	cachedParts       map[string]string
	cacheOrder        []string // of the cache, the oldest first
	readsFailingSince time.Time
}

// garbageSegment are the parts of a run that counts no more, or never did.
type garbageSegment struct {
	number uint64
	inHead bool                  // in the head
	parts  []storage.ArchivePart // those that were listed last
}

// segmentBuild is the run under construction.
type segmentBuild struct {
	jobIDs         []string   // jobs that are sealed; empty for a merge
	sources        []*Segment // runs that are merged
	sourceData     [][]string
	compaction     *compaction
	segment        *Segment
	unwrittenParts []storage.ArchivePart
	attemptedParts int // how many of them went out together in a try that failed
}

func indexPrefix(run uint64) string { return fmt.Sprintf("%s%08d/", storage.ArchiveIndexPrefix, run) }

func dataPrefix(run uint64) string { return fmt.Sprintf("%s%08d/", storage.ArchiveDataPrefix, run) }

func indexKey(run uint64, part int) string { return fmt.Sprintf("%s%05d", indexPrefix(run), part) }
func dataKey(run uint64, part int) string  { return fmt.Sprintf("%s%05d", dataPrefix(run), part) }

const nextNumberEntry = "next"

func segmentEntry(n uint64) string { return fmt.Sprintf("r%08d", n) }
func garbageEntry(n uint64) string { return fmt.Sprintf("g%08d", n) }

// New reads the history that the ledger has loaded. An error means that it cannot be told
// which jobs there were: then nobody may be answered.
func New(store *storage.Store, options Options, log *slog.Logger) (*Store, error) {
	k := &Store{
		options: options, storage: store, log: log, partWaiters: map[string][]func(time.Time, string, int){}, cachedParts: map[string]string{},
		writeLimiter: client.NewRateLimiter(options.WriteRate, time.Duration(float64(options.TxnOps+1)/options.WriteRate*float64(time.Second))),
		readLimiter:  client.NewRateLimiter(options.ReadRate, time.Second),
	}
	index := store.TakeArchiveIndex()
	for _, name := range store.ArchiveHeadNames() {
		if name == nextNumberEntry {
			if err := store.ArchiveHeadEntry(name, &k.nextNumber); err != nil {
				return nil, err
			}
			continue
		}
		var record SegmentRecord
		if err := store.ArchiveHeadEntry(name, &record); err != nil {
			return nil, err
		}
		number, err := strconv.ParseUint(name[1:], 10, 64)
		if err != nil {
			return nil, fmt.Errorf("entry %q of the history's head: %w", name, err)
		}
		if name[0] == 'g' {
			k.garbage = append(k.garbage, &garbageSegment{number: number, inHead: true})
			continue
		}
		var parts []string
		for i := range record.IndexParts {
			key := indexKey(number, i)
			text, ok := index[key]
			if !ok {
				return nil, fmt.Errorf("run %d: part %d of its index is missing", number, i)
			}
			parts = append(parts, text)
			delete(index, key)
		}
		segment, err := parseSegment(number, record, parts)
		if err != nil {
			return nil, err
		}
		k.segments = append(k.segments, segment)
	}
	// What is left of an unfinished run has the next number; a write that came very late may
	// have left parts of others.
	unfinished := map[uint64]bool{k.nextNumber: true}
	for key := range index {
		number, err := strconv.ParseUint(
			strings.TrimLeft(strings.Split(strings.TrimPrefix(key, storage.ArchiveIndexPrefix), "/")[0], "0"),
			10,
			64,
		)
		if err == nil && !slices.ContainsFunc(k.garbage, func(g *garbageSegment) bool { return g.number == number }) {
			unfinished[number] = true
		}
	}
	for _, number := range slices.Sorted(maps.Keys(unfinished)) {
		k.garbage = append(k.garbage, &garbageSegment{number: number})
	}
	slices.SortFunc(k.segments, func(a, b *Segment) int { return int(int64(a.Number) - int64(b.Number)) })
	return k, nil
}

// SetThresholds takes other values for how many jobs are worth a run, and how many runs are merged.
func (s *Store) SetThresholds(minSegmentJobs, compactionFanIn int) {
	s.options.MinSegmentJobs, s.options.CompactionFanIn = minSegmentJobs, compactionFanIn
}

// JobCount counts the jobs of all runs.
func (s *Store) JobCount() int {
	n := 0
	for _, r := range s.segments {
		n += r.JobCount
	}
	return n
}

// SegmentCount counts the runs.
func (s *Store) SegmentCount() int { return len(s.segments) }

// IndexResult is what the index alone says of a job.
type IndexResult int

// What the index may say.
const (
	Absent       IndexResult = iota // no run holds it
	Done                            // a run holds it; its counts are in the data
	Cancelled                       // a run holds it
	Undetermined                    // the data has to tell
)

// LookupIndex asks the index.
func (s *Store) LookupIndex(id string) IndexResult {
	key, ok := keyOf(id)
	if !ok {
		return Absent
	}
	for _, r := range s.segments {
		if !r.ids.Contains(key) {
			continue
		}
		switch {
		case key >= hashedKeyBit:
			return Undetermined
		case r.cancelled.Contains(key):
			return Cancelled
		}
		return Done
	}
	return Absent
}

// IsUnreachable reports that the data could not be read for a while.
func (s *Store) IsUnreachable(now time.Time) bool {
	return !s.readsFailingSince.IsZero() && now.Sub(s.readsFailingSince) > unreachableAfter
}

// Resolve asks the data. then is called exactly once, perhaps at once: known is true if the
// job is in a run; an error means that it cannot be told now.
func (s *Store) Resolve(now time.Time, box *client.Outbox, id string, done func(now time.Time, state FinalState, found bool, err error)) {
	if s.lookupsInFlight >= maxLookups {
		done(now, FinalState{}, false, ErrBusy)
		return
	}
	key, ok := keyOf(id)
	if !ok {
		done(now, FinalState{}, false, nil)
		return
	}
	s.lookupsInFlight++
	s.resolveKey(now, box, id, key, map[uint64]bool{}, func(now time.Time, state FinalState, found bool, err error) {
		s.lookupsInFlight--
		done(now, state, found, err)
	})
}

func (s *Store) resolveKey(
	now time.Time,
	box *client.Outbox,
	id string,
	key uint64,
	tried map[uint64]bool,
	done func(time.Time, FinalState, bool, error),
) {
	i := slices.IndexFunc(s.segments, func(segment *Segment) bool { return !tried[segment.Number] && segment.ids.Contains(key) })
	if i < 0 {
		done(now, FinalState{}, false, nil)
		return
	}
	segment := s.segments[i]
	part, place := segment.locate(segment.rank(key))
	name := dataKey(segment.Number, part)
	s.readPart(now, box, name, func(now time.Time, text string, status int) {
		switch {
		case status == 404 && !slices.Contains(s.segments, segment):
			// It has been merged into another run, and its parts are gone.
			tried[segment.Number] = true
			s.resolveKey(now, box, id, key, tried, done)
			return
		case status != 200:
			done(now, FinalState{}, false, fmt.Errorf("%s cannot be read: status %d", name, status))
			return
		}
		state, found, err := findJob(text, place, key, id)
		if err != nil {
			s.log.Error("a part of the history cannot be read", "key", name, "error", err)
		}
		if err != nil || found {
			done(now, state, found, err)
			return
		}
		tried[segment.Number] = true
		s.resolveKey(now, box, id, key, tried, done)
	})
}

// readPart reads a part of the data; questions for the same part share one request.
func (s *Store) readPart(now time.Time, box *client.Outbox, name string, done func(now time.Time, text string, status int)) {
	if text, ok := s.cachedParts[name]; ok {
		done(now, text, 200)
		return
	}
	waiting, open := s.partWaiters[name]
	if !open && s.readLimiter.Available(now) < 1 {
		done(now, "", 429)
		return
	}
	s.partWaiters[name] = append(waiting, done)
	if open {
		return
	}
	s.readLimiter.Take(1)
	s.storage.ReadArchivePart(box, name, readTimeout, func(now time.Time, text string, status int) {
		switch {
		case status == 200:
			s.readsFailingSince = time.Time{}
			s.cachePart(name, text)
		case status != 404 && s.readsFailingSince.IsZero():
			s.readsFailingSince = now
		}
		waiting := s.partWaiters[name]
		delete(s.partWaiters, name)
		for _, w := range waiting {
			w(now, text, status)
		}
	})
}

func (s *Store) cachePart(name, text string) {
	if len(s.cacheOrder) >= maxCachedParts {
		delete(s.cachedParts, s.cacheOrder[0])
		s.cacheOrder = append(s.cacheOrder[:0], s.cacheOrder[1:]...)
	}
	s.cachedParts[name] = text
	s.cacheOrder = append(s.cacheOrder, name)
}

package archive

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/storage"
	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/client"
)

const (
	// maxLookups bounds the lookups that wait for a response of the state service.
	maxLookups = 64
	// maxCachedParts bounds the parts of data that are cached for further lookups.
	maxCachedParts = 64
	// unreachableAfter is the time of failed reads after which archived jobs are reported without their task counts.
	unreachableAfter = 20 * time.Second
	readTimeout      = 1200 * time.Millisecond
)

// ErrBusy is the error that too many lookups are pending. The lookup may be retried.
var ErrBusy = errors.New("too many questions about old jobs")

// ReadError is the error that a part of the archive's data could not be read. The lookup may be retried.
type ReadError struct {
	Key    string
	Status int // HTTP status of the response, 0 if there was none or it cannot be decoded
}

// Error returns the text with the key and the status.
func (e *ReadError) Error() string {
	return fmt.Sprintf("%s cannot be read: status %d", e.Key, e.Status)
}

// IndexResult is the result of a lookup in the index alone.
type IndexResult int

// The results of a lookup in the index.
const (
	Absent       IndexResult = iota // no segment has the job
	Done                            // a segment has the job as done; its task count is in the data
	Cancelled                       // a segment has the job as cancelled
	Undetermined                    // a segment may have the job; only the data can decide
)

// LookupIndex looks a job up in the index, which is in memory.
func (s *Store) LookupIndex(jobID string) IndexResult {
	key, ok := keyOf(jobID)
	if !ok {
		return Absent
	}
	for _, segment := range s.segments {
		if !segment.ids.Contains(key) {
			continue
		}
		switch {
		case key >= hashedKeyBit:
			return Undetermined
		case segment.cancelled.Contains(key):
			return Cancelled
		}
		return Done
	}
	return Absent
}

// IsUnreachable reports whether reads of the data have failed for longer than unreachableAfter.
func (s *Store) IsUnreachable(now time.Time) bool { return s.reader.isUnreachable(now) }

// LookupFunc takes the result of a lookup in the data: found is true if the job is in a segment; an error means that it is unknown
// now, ErrBusy or ReadError among others.
type LookupFunc func(now time.Time, state jobs.FinalState, found bool, err error)

// LookupData looks a job up in the data, which takes a read of the state service unless the part is cached. done is called exactly
// once, perhaps before LookupData returns.
func (s *Store) LookupData(now time.Time, outbox *client.Outbox, jobID string, done LookupFunc) {
	if s.reader.lookups >= maxLookups {
		done(now, jobs.FinalState{}, false, ErrBusy)
		return
	}
	key, ok := keyOf(jobID)
	if !ok {
		done(now, jobs.FinalState{}, false, nil)
		return
	}
	s.reader.lookups++
	l := &lookup{store: s, outbox: outbox, id: jobID, key: key, tried: map[uint64]bool{}}
	l.done = func(now time.Time, state jobs.FinalState, found bool, err error) {
		s.reader.lookups--
		done(now, state, found, err)
	}
	l.next(now)
}

// lookup is a search for one job in the data of the segments that may have it.
type lookup struct {
	store  *Store
	outbox *client.Outbox
	id     string
	key    uint64
	tried  map[uint64]bool // numbers of the segments that do not have it
	done   LookupFunc
}

// next reads the part of the next segment that may have the job.
func (l *lookup) next(now time.Time) {
	i := slices.IndexFunc(l.store.segments, func(segment *Segment) bool {
		return !l.tried[segment.Number] && segment.ids.Contains(l.key)
	})
	if i < 0 {
		l.done(now, jobs.FinalState{}, false, nil)
		return
	}
	segment := l.store.segments[i]
	part, position := segment.locate(segment.rank(l.key))
	name := dataKey(segment.Number, part)
	l.store.reader.read(now, l.outbox, name, func(now time.Time, text string, status int) {
		switch {
		case status == http.StatusNotFound && !slices.Contains(l.store.segments, segment):
			// The segment was compacted into another one and its parts were deleted.
			l.tried[segment.Number] = true
			l.next(now)
		case status != http.StatusOK:
			l.done(now, jobs.FinalState{}, false, &ReadError{Key: name, Status: status})
		default:
			l.search(now, segment, name, text, position)
		}
	})
}

// search looks for the job in the text of a part.
func (l *lookup) search(now time.Time, segment *Segment, name, text string, position int) {
	state, found, err := findJob(text, position, l.key, l.id)
	if err != nil {
		err = fmt.Errorf("decode %s: %w", name, err)
		l.store.log.Error("archive part unreadable", logkeys.Key, name, logkeys.Err, err)
	}
	if err != nil || found {
		l.done(now, state, found, err)
		return
	}
	l.tried[segment.Number] = true
	l.next(now)
}

// partReader reads parts of the data. It caches the last ones, and lookups in the same part share one request.
type partReader struct {
	storage      *storage.Store
	limiter      *client.RateLimiter
	lookups      int                   // pending lookups
	waiters      map[string][]partFunc // by the key of a part that is being read
	cache        map[string]string
	cacheOrder   []string // keys of the cache, the oldest first
	failingSince time.Time
}

// partFunc is called with the text of a part if status is 200, else with the status as in ReadError.
type partFunc func(now time.Time, text string, status int)

func newPartReader(store *storage.Store, limiter *client.RateLimiter) partReader {
	return partReader{storage: store, limiter: limiter, waiters: map[string][]partFunc{}, cache: map[string]string{}}
}

func (r *partReader) isUnreachable(now time.Time) bool {
	return !r.failingSince.IsZero() && now.Sub(r.failingSince) > unreachableAfter
}

func (r *partReader) read(now time.Time, outbox *client.Outbox, key string, done partFunc) {
	if text, ok := r.cache[key]; ok {
		done(now, text, http.StatusOK)
		return
	}
	waiters, isReading := r.waiters[key]
	if !isReading && r.limiter.Available(now) < 1 {
		done(now, "", http.StatusTooManyRequests)
		return
	}
	r.waiters[key] = append(waiters, done)
	if isReading {
		return
	}
	r.limiter.Take(1)
	r.storage.ReadArchivePart(outbox, key, readTimeout, func(now time.Time, text string, status int) {
		r.handleResponse(now, key, text, status)
	})
}

func (r *partReader) handleResponse(now time.Time, key, text string, status int) {
	switch {
	case status == http.StatusOK:
		r.failingSince = time.Time{}
		r.keep(key, text)
	case status != http.StatusNotFound && r.failingSince.IsZero():
		r.failingSince = now
	}
	waiters := r.waiters[key]
	delete(r.waiters, key)
	for _, done := range waiters {
		done(now, text, status)
	}
}

// keep adds a part to the cache, which evicts the oldest one if it is full.
func (r *partReader) keep(key, text string) {
	if len(r.cacheOrder) >= maxCachedParts {
		delete(r.cache, r.cacheOrder[0])
		r.cacheOrder = append(r.cacheOrder[:0], r.cacheOrder[1:]...)
	}
	r.cache[key] = text
	r.cacheOrder = append(r.cacheOrder, key)
}

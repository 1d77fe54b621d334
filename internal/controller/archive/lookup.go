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
	// maxLookups is the maximum number of pending lookups, which wait for a response of the state service.
	maxLookups = 64
	// maxCachedParts is the maximum number of data parts that are cached for further lookups.
	maxCachedParts = 64
	// unreachableAfter is the duration of failing reads after which archived jobs are reported without their task counts.
	unreachableAfter = 20 * time.Second
	readTimeout      = 1200 * time.Millisecond
)

// ErrBusy reports that too many lookups are pending. The lookup may be retried.
var ErrBusy = errors.New("too many questions about old jobs")

// ReadError reports that a part of the archive's data could not be read. The lookup may be retried.
type ReadError struct {
	Key    string
	Status int // HTTP status of the response, 0 if there is none or it cannot be decoded, 429 if the read limit was reached
}

// Error returns a message with the key and the status.
func (e *ReadError) Error() string {
	return fmt.Sprintf("read archive part %s: status %d", e.Key, e.Status)
}

// IndexResult is the result of a lookup in the index only.
type IndexResult int

// The results of a lookup in the index.
const (
	Absent       IndexResult = iota // no segment has the job
	Done                            // the job is archived as done; its task count is in the data
	Cancelled                       // the job is archived as cancelled; its task count is in the data
	Undetermined                    // a segment may have the job; LookupData decides
)

// LookupIndex looks up a job in the index. It needs no request, since the index is in memory. An invalid job ID is Absent.
func (s *Store) LookupIndex(jobID string) IndexResult {
	key, ok := jobKey(jobID)
	if !ok {
		return Absent
	}
	for _, segment := range s.segments {
		if !segment.keys.Contains(key) {
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

// IsUnreachable reports whether reads of the archive's data have been failing for longer than unreachableAfter.
func (s *Store) IsUnreachable(now time.Time) bool { return s.reader.isUnreachable(now) }

// LookupFunc is called with the result of a lookup in the data. found is true if a segment has the job. After an error, such as ErrBusy or
// a *ReadError, it is unknown whether a segment has the job.
type LookupFunc func(now time.Time, state jobs.FinalState, found bool, err error)

// LookupData looks up a job in the data. This takes a request to the state service unless the part is cached. done is called exactly once,
// possibly before LookupData returns.
func (s *Store) LookupData(now time.Time, outbox *client.Outbox, jobID string, done LookupFunc) {
	if s.reader.pendingLookups >= maxLookups {
		done(now, jobs.FinalState{}, false, ErrBusy)
		return
	}
	key, ok := jobKey(jobID)
	if !ok {
		done(now, jobs.FinalState{}, false, nil)
		return
	}
	s.reader.pendingLookups++
	l := &lookup{store: s, outbox: outbox, id: jobID, key: key, searched: map[uint64]bool{}}
	l.done = func(now time.Time, state jobs.FinalState, found bool, err error) {
		s.reader.pendingLookups--
		done(now, state, found, err)
	}
	l.next(now)
}

// lookup is a search for one job in the data of the segments that may have it.
type lookup struct {
	store    *Store
	outbox   *client.Outbox
	id       string
	key      uint64
	searched map[uint64]bool // numbers of the segments that do not have the job
	done     LookupFunc
}

// next reads the part of the next segment that may have the job.
func (l *lookup) next(now time.Time) {
	i := slices.IndexFunc(l.store.segments, func(segment *Segment) bool {
		return !l.searched[segment.Number] && segment.keys.Contains(l.key)
	})
	if i < 0 {
		l.done(now, jobs.FinalState{}, false, nil)
		return
	}
	segment := l.store.segments[i]
	part, position := segment.locate(segment.rank(l.key))
	partKey := dataPartKey(segment.Number, part)
	l.store.reader.read(now, l.outbox, partKey, func(now time.Time, text string, status int) {
		switch {
		case status == http.StatusNotFound && !slices.Contains(l.store.segments, segment):
			// The segment was compacted into another one, and its parts were deleted since the request was sent.
			l.searched[segment.Number] = true
			l.next(now)
		case status != http.StatusOK:
			l.done(now, jobs.FinalState{}, false, &ReadError{Key: partKey, Status: status})
		default:
			l.search(now, segment, partKey, text, position)
		}
	})
}

// search looks for the job in the text of a part, and continues with the next segment if it is not there.
func (l *lookup) search(now time.Time, segment *Segment, partKey, text string, position int) {
	state, found, err := findJob(text, position, l.key, l.id)
	if err != nil {
		err = fmt.Errorf("decode %s: %w", partKey, err)
		l.store.log.Error("archive part unreadable", logkeys.Key, partKey, logkeys.Err, err)
	}
	if err != nil || found {
		l.done(now, state, found, err)
		return
	}
	l.searched[segment.Number] = true
	l.next(now)
}

// partReader reads parts of the data. It caches the parts that were read last. Concurrent lookups in the same part share one request.
type partReader struct {
	storage        *storage.Store
	limiter        *client.RateLimiter
	pendingLookups int
	waiters        map[string][]partFunc // by the key of the part that is being read
	cache          map[string]string
	cacheOrder     []string  // keys in the cache, oldest first
	failingSince   time.Time // zero while reads succeed
}

// partFunc is called with the text of a part. If status is not 200, text is not valid, and status is as in ReadError.
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
		r.cachePart(key, text)
	case status != http.StatusNotFound && r.failingSince.IsZero():
		r.failingSince = now
	}
	waiters := r.waiters[key]
	delete(r.waiters, key)
	for _, done := range waiters {
		done(now, text, status)
	}
}

// cachePart adds a part to the cache. If the cache is full, the oldest part is evicted.
func (r *partReader) cachePart(key, text string) {
	if len(r.cacheOrder) >= maxCachedParts {
		delete(r.cache, r.cacheOrder[0])
		r.cacheOrder = append(r.cacheOrder[:0], r.cacheOrder[1:]...)
	}
	r.cache[key] = text
	r.cacheOrder = append(r.cacheOrder, key)
}

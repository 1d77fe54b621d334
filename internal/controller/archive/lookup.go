package archive

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"gullrudder/internal/controller/storage"
	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/client"
)

const (
	// maxLookups bounds the lookups that wait for the state service.
	maxLookups = 64
	// maxCachedParts is how many parts of data are kept for further lookups.
	maxCachedParts = 64
	// unreachableAfter is how long reads may fail before old jobs are answered without their counts.
	unreachableAfter = 20 * time.Second
	readTimeout      = 1200 * time.Millisecond
)

// ErrBusy reports that an old job cannot be looked up now.
var ErrBusy = errors.New("too many questions about old jobs")

// ReadError reports that a part of the archive's data could not be read now.
type ReadError struct {
	Key    string
	Status int // of the response, 0 if there was none that can be read
}

// Error names the key and the status.
func (e *ReadError) Error() string {
	return fmt.Sprintf("%s cannot be read: status %d", e.Key, e.Status)
}

// IndexResult is what the index alone says of a job.
type IndexResult int

// What the index may say.
const (
	Absent       IndexResult = iota // no segment holds it
	Done                            // a segment holds it; its counts are in the data
	Cancelled                       // a segment holds it
	Undetermined                    // the data has to tell
)

// LookupIndex looks a job up in the index.
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

// IsUnreachable reports whether the data could not be read for a while.
func (s *Store) IsUnreachable(now time.Time) bool { return s.reader.isUnreachable(now) }

// LookupFunc takes the result of a lookup in the data: found is true if the job is in a segment; an error means that it cannot be told
// now, ErrBusy or ReadError among others.
type LookupFunc func(now time.Time, state FinalState, found bool, err error)

// LookupData looks a job up in the data, which takes a read of the state service unless the part is cached. done is called exactly
// once, perhaps before LookupData returns.
func (s *Store) LookupData(now time.Time, outbox *client.Outbox, jobID string, done LookupFunc) {
	if s.reader.lookups >= maxLookups {
		done(now, FinalState{}, false, ErrBusy)
		return
	}
	key, ok := keyOf(jobID)
	if !ok {
		done(now, FinalState{}, false, nil)
		return
	}
	s.reader.lookups++
	l := &lookup{store: s, outbox: outbox, id: jobID, key: key, tried: map[uint64]bool{}}
	l.done = func(now time.Time, state FinalState, found bool, err error) {
		s.reader.lookups--
		done(now, state, found, err)
	}
	l.next(now)
}

// lookup is a search for one job in the data of the segments that may hold it.
type lookup struct {
	store  *Store
	outbox *client.Outbox
	id     string
	key    uint64
	tried  map[uint64]bool // numbers of the segments that do not hold it
	done   LookupFunc
}

// next reads the job's part in the next segment that may hold it.
func (l *lookup) next(now time.Time) {
	i := slices.IndexFunc(l.store.segments, func(segment *Segment) bool {
		return !l.tried[segment.Number] && segment.ids.Contains(l.key)
	})
	if i < 0 {
		l.done(now, FinalState{}, false, nil)
		return
	}
	segment := l.store.segments[i]
	part, position := segment.locate(segment.rank(l.key))
	name := dataKey(segment.Number, part)
	l.store.reader.read(now, l.outbox, name, func(now time.Time, text string, status int) {
		switch {
		case status == http.StatusNotFound && !slices.Contains(l.store.segments, segment):
			// The segment has been compacted into another one, and its parts are deleted.
			l.tried[segment.Number] = true
			l.next(now)
		case status != http.StatusOK:
			l.done(now, FinalState{}, false, &ReadError{Key: name, Status: status})
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

// partReader reads parts of the data. It keeps the last ones, and lookups in the same part share one request.
type partReader struct {
	storage      *storage.Store
	limiter      *client.RateLimiter
	lookups      int                   // that wait for parts
	waiters      map[string][]partFunc // by the key of the part that is being read
	cache        map[string]string
	cacheOrder   []string // keys of the cache, the oldest first
	failingSince time.Time
}

// partFunc is told a part's text, or the status of the response if it could not be read.
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

// keep puts a part into the cache. The oldest leaves it if it is full.
func (r *partReader) keep(key, text string) {
	if len(r.cacheOrder) >= maxCachedParts {
		delete(r.cache, r.cacheOrder[0])
		r.cacheOrder = append(r.cacheOrder[:0], r.cacheOrder[1:]...)
	}
	r.cache[key] = text
	r.cacheOrder = append(r.cacheOrder, key)
}

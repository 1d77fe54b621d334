package archive

import (
	"time"

	"gullrudder/internal/controller/storage"
	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/client"
)

const (
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 10 * time.Second
)

// backgroundCalls limits the calls of the background work to one at a time, at the rates in Options.
type backgroundCalls struct {
	inFlight     bool
	retryAt      time.Time
	retryDelay   time.Duration
	writeLimiter *client.RateLimiter
	readLimiter  *client.RateLimiter
}

// recordResult records the result of a call and returns ok. A failure delays the next call. The delay doubles with each failure.
func (c *backgroundCalls) recordResult(now time.Time, ok bool) bool {
	c.inFlight = false
	if ok {
		c.retryDelay = 0
		return true
	}
	c.retryDelay = min(max(2*c.retryDelay, minRetryDelay), maxRetryDelay)
	c.retryAt = now.Add(c.retryDelay)
	return false
}

// Tick performs the next step of the background work: building a segment, collecting garbage, or choosing jobs or segments for the next
// build. It adds at most one call to outbox, which the caller must execute. It does nothing while a call is in flight.
func (s *Store) Tick(now time.Time, outbox *client.Outbox) {
	if s.calls.inFlight || now.Before(s.calls.retryAt) {
		return
	}
	switch {
	case s.building != nil:
		s.advanceBuild(now, outbox)
	case len(s.garbage.segments) > 0:
		s.collectGarbage(now, outbox)
	case s.beginCompaction():
	case s.beginArchiving(now):
	case len(s.garbage.collected) > 0:
		s.commitHead(now, nil, nil, nil)
	}
}

// availableWrites returns the number of operations that the archive may write now in one transaction. It leaves writes for urgent changes.
func (s *Store) availableWrites(now time.Time) int {
	return min(s.calls.writeLimiter.Available(now), s.storage.SpareWrites(now), s.options.MaxTransactionOps)
}

// commitHead changes the archive's head and removes jobs from their pages in one commit. The same commit removes the entries of collected
// garbage from the head. If the write budget does not allow the commit, it does nothing. done is called once the commit was executed; it
// may be nil.
func (s *Store) commitHead(now time.Time, jobIDs []string, changes []storage.HeadChange, done func()) {
	collected := len(s.garbage.collected)
	for _, number := range s.garbage.collected {
		changes = append(changes, storage.HeadChange{Name: garbageEntry(number)})
	}
	cost := s.storage.CommitArchiveCost(jobIDs)
	if s.calls.writeLimiter.Available(now) < cost {
		return
	}
	s.calls.writeLimiter.Take(cost)
	s.calls.inFlight = true
	err := s.storage.CommitArchive(jobIDs, changes, func(now time.Time, ok bool) {
		if !s.calls.recordResult(now, ok) {
			return
		}
		s.garbage.collected = s.garbage.collected[collected:]
		if done != nil {
			done()
		}
	})
	if err != nil {
		s.log.Error("archive head not written", logkeys.Err, err)
		s.calls.recordResult(now, false)
	}
}

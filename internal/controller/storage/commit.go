package storage

import (
	"net/http"
	"slices"
	"time"

	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/stateapi"
)

const (
	keyPath     = "/keys/"
	readTimeout = time.Second
	// commitTimeout is longer than readTimeout because the state service syncs its disk before it responds to a commit.
	commitTimeout = 1500 * time.Millisecond

	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// maxRequeueDelay is the maximum delay after a commit that was not executed, even if the state service's Retry-After is longer.
	maxRequeueDelay = 2 * time.Second
)

// commitState tracks the commits. One commit is in flight at a time. A commit without a response may be executed at any later time, so its
// outcome is read back before anything else is written.
type commitState struct {
	sequence     uint64 // of the last commit
	inFlight     *transaction
	retryAt      time.Time
	retryDelay   time.Duration
	failingSince time.Time // zero while commits succeed
}

// transaction is a commit in flight.
type transaction struct {
	sequence          uint64
	pages             []*page // pages to write
	wasDirty          []bool  // for each page: it had unsaved changes
	waiters           [][]DoneFunc
	move              *entryMove // entries moved in the same commit, or nil
	preconditionPages []*page    // pages whose revisions are preconditions
}

// sendCommit sends a commit of the current contents of the pages. If move is not nil, it is applied to the written contents only; the pages
// in memory change once the commit succeeds.
func (s *Store) sendCommit(outbox *client.Outbox, pages []*page, move *entryMove) {
	s.commits.sequence++
	txn := &transaction{sequence: s.commits.sequence, pages: pages, move: move, preconditionPages: pages}
	request := stateapi.CommitRequest{Preconditions: []stateapi.Precondition{s.requireLeadership()}}
	for _, p := range pages {
		request.Preconditions = append(request.Preconditions, stateapi.Precondition{Key: p.key, ModRevision: p.modRevision})
		value := p.value(s.fencingToken, txn.sequence)
		if move != nil {
			move.applyTo(p, p == s.archive.head, value.Entries, s.pages.entries)
		}
		request.Operations = append(request.Operations, stateapi.Operation{Write: p.key, Value: value})
		txn.waiters = append(txn.waiters, p.waiters)
		txn.wasDirty = append(txn.wasDirty, s.pages.dirty[p])
		p.urgent, p.waiters = false, nil
		delete(s.pages.dirty, p)
	}
	if move != nil && move.source != nil && !slices.Contains(pages, move.source) {
		// The source page is not written, but it must be unchanged: an earlier commit that is executed late would change it.
		source := stateapi.Precondition{Key: move.source.key, ModRevision: move.source.modRevision}
		request.Preconditions = append(request.Preconditions, source)
		txn.preconditionPages = append(slices.Clone(pages), move.source)
	}
	if move != nil && move.source == nil && s.archive.head.modRevision == 0 {
		request.Preconditions = append(request.Preconditions, stateapi.RequireAbsent(formatKey))
		request.Operations = append(request.Operations, stateapi.Operation{Write: formatKey, Value: formatVersion})
	}
	s.commits.inFlight = txn
	s.send(outbox, client.Call{
		Method: http.MethodPost, Path: stateapi.CommitPath, Timeout: commitTimeout, Body: request,
		Done: func(now time.Time, r client.Result) { s.handleCommitResult(now, outbox, r) },
	})
}

// requireLeadership returns the precondition that no other leader was elected after this one.
func (s *Store) requireLeadership() stateapi.Precondition {
	return stateapi.Precondition{Key: s.options.LeaderKey, ModRevision: s.fencingToken}
}

func (s *Store) handleCommitResult(now time.Time, outbox *client.Outbox, result client.Result) {
	txn := s.commits.inFlight
	var response stateapi.CommitResponse
	switch {
	case result.Status == http.StatusOK && codec.Unmarshal(result.Body, &response) == nil && response.Revision > s.fencingToken:
		s.commitSucceeded(now, response.Revision)
	case result.IsUncertain() || result.Status == http.StatusOK:
		s.notifyUncertain(now)
		s.readBack(outbox, 0, 0)
	case result.Status == http.StatusConflict:
		var conflict stateapi.CommitConflict
		if codec.Unmarshal(result.Body, &conflict) != nil || slices.Contains(conflict.FailedKeys, s.options.LeaderKey) {
			s.commitFenced(len(txn.pages))
			return
		}
		s.notifyUncertain(now)
		s.resolveConflict(outbox, 0)
	case result.Status == http.StatusBadRequest:
		s.handleMalformedCommit(txn.pages)
		s.requeue(now, result.RetryAfter)
	default:
		s.log.Info("commit not executed", logkeys.Status, result.Status)
		s.requeue(now, result.RetryAfter)
	}
}

// commitSucceeded records that the commit in flight was executed at the given revision.
func (s *Store) commitSucceeded(now time.Time, revision uint64) {
	txn := s.commits.inFlight
	s.commits.inFlight = nil
	s.commits.failingSince, s.commits.retryDelay = time.Time{}, 0
	for _, p := range txn.pages {
		p.modRevision, p.hasStaleCopies = revision, false
	}
	if txn.move != nil {
		s.applyMove(now, txn.move)
	}
	for _, waiters := range txn.waiters {
		notify(now, waiters, true)
	}
	if txn.move != nil {
		txn.move.done(now, true)
	}
}

func notify(now time.Time, waiters []DoneFunc, ok bool) {
	for _, done := range waiters {
		done(now, ok)
	}
}

// commitFenced ends this leadership, because another leader has written or the stored values may differ from those in memory.
func (s *Store) commitFenced(writes int) {
	s.log.Error("commit rejected by its preconditions", logkeys.FencingToken, s.fencingToken, logkeys.Count, writes)
	s.fenced = true
}

// resolveConflict determines who changed a page after a commit was rejected by the page's precondition. If the leader's key is unchanged,
// the change was an earlier commit of this leader that was given up and executed later. The pages are then read back as after an uncertain
// outcome. If the leader's key has changed, the store is fenced.
func (s *Store) resolveConflict(outbox *client.Outbox, delay time.Duration) {
	s.send(outbox, client.Call{
		Method: http.MethodGet, Path: keyPath + s.options.LeaderKey, Delay: delay, Timeout: readTimeout,
		Done: func(_ time.Time, r client.Result) {
			var leader leaderKeyResponse
			switch {
			case r.Status == http.StatusOK && codec.Unmarshal(r.Body, &leader) == nil && leader.ModRevision == s.fencingToken:
				s.readBack(outbox, 0, 0)
			case r.Status == http.StatusOK && leader.ModRevision > 0, r.Status == http.StatusNotFound:
				s.commitFenced(len(s.commits.inFlight.pages))
			default:
				s.resolveConflict(outbox, s.nextRetryDelay())
			}
		},
	})
}

// nextRetryDelay returns the delay after a failed call. It doubles with each failure, up to maxRetryDelay.
func (s *Store) nextRetryDelay() time.Duration {
	s.commits.retryDelay = min(max(2*s.commits.retryDelay, minRetryDelay), maxRetryDelay)
	return s.commits.retryDelay
}

// notifyUncertain notifies the waiters of the commit in flight, and those of later changes, that their changes are uncertain. No other
// commit is sent until this one has been read back. Without the notification the waiters would wait for the whole length of an outage.
func (s *Store) notifyUncertain(now time.Time) {
	if s.commits.failingSince.IsZero() {
		s.commits.failingSince = now
	}
	for _, waiters := range s.commits.inFlight.waiters {
		notify(now, waiters, false)
	}
	for p := range s.pages.dirty {
		notify(now, p.waiters, false)
	}
}

// requeue gives up the commit in flight, which was not executed so far, and marks its pages to be written again.
func (s *Store) requeue(now time.Time, retryAfter time.Duration) {
	s.notifyUncertain(now)
	txn := s.commits.inFlight
	s.commits.inFlight = nil
	s.commits.retryAt = now.Add(min(max(s.nextRetryDelay(), retryAfter), maxRequeueDelay))
	for i, p := range txn.pages {
		p.waiters = append(txn.waiters[i], p.waiters...)
		if !txn.wasDirty[i] {
			continue // the page was in the commit only because of the move
		}
		if !s.pages.dirty[p] {
			s.pages.dirty[p], p.dirtySince = true, now
		}
		p.urgent = true
	}
	if txn.move != nil {
		txn.move.done(now, false)
	}
}

// readBack determines the outcome of a commit without a response. It reads the pages in the commit's preconditions one after the other,
// beginning at index.
//
// Each attempt to commit has its own sequence number. A delayed earlier attempt has the same preconditions, so that attempt may have been
// executed instead. The commit may be executed between the reads of two pages, so one page that shows it proves its execution.
func (s *Store) readBack(outbox *client.Outbox, index int, delay time.Duration) {
	checked := s.commits.inFlight.preconditionPages[index]
	s.send(outbox, client.Call{
		Method: http.MethodGet, Path: keyPath + checked.key, Delay: delay, Timeout: readTimeout,
		Done: func(now time.Time, r client.Result) { s.handleReadBack(now, outbox, index, r) },
	})
}

func (s *Store) handleReadBack(now time.Time, outbox *client.Outbox, index int, result client.Result) {
	txn := s.commits.inFlight
	checked := txn.preconditionPages[index]
	var stored pageResponse
	switch {
	case result.Status == http.StatusOK && codec.Unmarshal(result.Body, &stored) == nil && stored.ModRevision > 0:
		if stored.Value.Sequence == txn.sequence && stored.Value.Leader == s.fencingToken {
			s.commitSucceeded(now, stored.ModRevision)
			return
		}
		if stored.ModRevision != checked.modRevision && s.archive.hasUncertainMove {
			// An earlier uncertain move may have been executed, but it is not applied in memory. Writing this page again would
			// restore the moved entries.
			s.commitFenced(len(txn.pages))
			return
		}
		checked.modRevision = stored.ModRevision
	case result.Status == http.StatusNotFound:
		checked.modRevision = 0
	default:
		s.readBack(outbox, index, s.nextRetryDelay())
		return
	}
	if index+1 < len(txn.preconditionPages) {
		s.readBack(outbox, index+1, 0)
		return
	}
	s.archive.hasUncertainMove = s.archive.hasUncertainMove || txn.move != nil
	s.requeue(now, 0)
}

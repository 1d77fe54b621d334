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
	// commitTimeout is longer than readTimeout: the state service syncs its disk before it answers a commit.
	commitTimeout = 1500 * time.Millisecond

	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// maxRequeueDelay bounds the Retry-After of the state service that is respected after a commit that was not executed.
	maxRequeueDelay = 2 * time.Second
)

// commitState is the state of the commits.
//
// One commit is in flight at a time. A commit without a response may be executed at any later time, so its outcome is read back before
// anything else is written.
type commitState struct {
	sequence     uint64 // of the last commit
	inFlight     *transaction
	retryAt      time.Time
	retryDelay   time.Duration
	failingSince time.Time // zero while commits succeed
}

// transaction is a commit in flight.
type transaction struct {
	sequence uint64
	pages    []*page // pages that it writes
	wasDirty []bool  // which of them had unsaved changes
	waiters  [][]DoneFunc
	move     *entryMove // entries that are moved in the same commit, or nil
	guarded  []*page    // pages whose revision it requires
}

// sendCommit sends a commit of the present contents of the pages, after the move if there is one.
func (s *Store) sendCommit(outbox *client.Outbox, pages []*page, move *entryMove) {
	s.commits.sequence++
	txn := &transaction{sequence: s.commits.sequence, pages: pages, move: move, guarded: pages}
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
		// The copied page must be unchanged: an earlier commit that is executed late would change it.
		source := stateapi.Precondition{Key: move.source.key, ModRevision: move.source.modRevision}
		request.Preconditions = append(request.Preconditions, source)
		txn.guarded = append(slices.Clone(pages), move.source)
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

// requireLeadership returns the precondition that no other leader was elected since.
func (s *Store) requireLeadership() stateapi.Precondition {
	return stateapi.Precondition{Key: s.options.LeaderKey, ModRevision: s.fencingToken}
}

func (s *Store) handleCommitResult(now time.Time, outbox *client.Outbox, result client.Result) {
	txn := s.commits.inFlight
	var executed stateapi.CommitResponse
	switch {
	case result.Status == http.StatusOK && codec.Unmarshal(result.Body, &executed) == nil && executed.Revision > s.fencingToken:
		s.commitSucceeded(now, executed.Revision)
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

// commitSucceeded records that the commit in flight was executed at a revision.
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

// commitFenced ends the leadership: another leader has written.
func (s *Store) commitFenced(writes int) {
	s.log.Error("commit rejected by its preconditions", logkeys.FencingToken, s.fencingToken, logkeys.Count, writes)
	s.fenced = true
}

// resolveConflict finds out who changed a page after a commit was refused for that. If the leader's key is unchanged, it was an earlier
// commit of this leader that was abandoned and executed later. Then the pages are read back as after an uncertain outcome.
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

// nextRetryDelay returns the delay after another failed call, which doubles up to maxRetryDelay.
func (s *Store) nextRetryDelay() time.Duration {
	s.commits.retryDelay = min(max(2*s.commits.retryDelay, minRetryDelay), maxRetryDelay)
	return s.commits.retryDelay
}

// notifyUncertain calls the waiters of the commit in flight, and of later changes, with false: their changes are uncertain. No other
// commit is sent until this one has been read back, so without this call they would wait for the whole length of an outage.
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

// requeue abandons the commit in flight, which was not executed, and marks its pages to be written again.
func (s *Store) requeue(now time.Time, retryAfter time.Duration) {
	s.notifyUncertain(now)
	txn := s.commits.inFlight
	s.commits.inFlight = nil
	s.commits.retryAt = now.Add(min(max(s.nextRetryDelay(), retryAfter), maxRequeueDelay))
	for i, p := range txn.pages {
		p.waiters = append(txn.waiters[i], p.waiters...)
		if !txn.wasDirty[i] {
			continue // it was written only because of the move
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

// readBack finds out the outcome of a commit without a response: it reads the pages that the commit requires, from index on.
//
// Each try has its own sequence number. An earlier try that was delayed requires the same revisions, so it may be the one that was
// executed. The commit may be executed between the reads of two pages, so one page that shows it proves its execution.
func (s *Store) readBack(outbox *client.Outbox, index int, delay time.Duration) {
	checked := s.commits.inFlight.guarded[index]
	s.send(outbox, client.Call{
		Method: http.MethodGet, Path: keyPath + checked.key, Delay: delay, Timeout: readTimeout,
		Done: func(now time.Time, r client.Result) { s.handleReadBack(now, outbox, index, r) },
	})
}

func (s *Store) handleReadBack(now time.Time, outbox *client.Outbox, index int, result client.Result) {
	txn := s.commits.inFlight
	checked := txn.guarded[index]
	var stored pageResponse
	switch {
	case result.Status == http.StatusOK && codec.Unmarshal(result.Body, &stored) == nil && stored.ModRevision > 0:
		if stored.Value.Sequence == txn.sequence && stored.Value.Leader == s.fencingToken {
			s.commitSucceeded(now, stored.ModRevision)
			return
		}
		if stored.ModRevision != checked.modRevision && s.archive.hasUncertainMove {
			// An earlier uncertain move may have been executed and is not applied in memory. Writing this page again would
			// restore the entries that were moved.
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
	if index+1 < len(txn.guarded) {
		s.readBack(outbox, index+1, 0)
		return
	}
	s.archive.hasUncertainMove = s.archive.hasUncertainMove || txn.move != nil
	s.requeue(now, 0)
}

package storage

import (
	"slices"
	"time"

	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"

	"github.com/vmihailenco/msgpack/v5"
)

// One commit is in flight at a time. What became of one that nobody answered is read back before anything else is sent.

func (s *Store) sendCommit(now time.Time, box *client.Outbox, pages []*page, move *entryMove) {
	s.sequence++
	txn := &transaction{sequence: s.sequence, pages: pages, move: move, guarded: pages}
	guards := []any{map[string]any{"path": s.options.LeaderKey, "mark": s.fencingToken}}
	var apply []any
	for _, p := range pages {
		guards = append(guards, map[string]any{"path": p.key, "mark": p.modRevision})
		value := pageValue{Sequence: txn.sequence, Leader: s.fencingToken, Entries: make(map[string]msgpack.RawMessage, len(p.entries))}
		for name, e := range p.entries {
			value.Entries[name] = e.raw
		}
		if move != nil {
			move.applyTo(p, p == s.archiveHead, value.Entries, s.entries)
		}
		apply = append(apply, map[string]any{"write": p.key, "value": value})
		txn.waiters = append(txn.waiters, p.waiters)
		txn.wasDirty = append(txn.wasDirty, s.dirtyPages[p])
		p.urgent, p.waiters = false, nil
		delete(s.dirtyPages, p)
	}
	if move != nil && move.source != nil && !slices.Contains(pages, move.source) {
		// Copies are made of what is there: an earlier try that is executed late changes that.
		guards = append(guards, map[string]any{"path": move.source.key, "mark": move.source.modRevision})
		txn.guarded = append(slices.Clone(pages), move.source)
	}
	if move != nil && move.source == nil && s.archiveHead.modRevision == 0 {
		guards = append(guards, map[string]any{"path": formatKey, "mark": 0})
		apply = append(apply, map[string]any{"write": formatKey, "value": formatVersion})
	}
	s.inFlight = txn
	s.call(box, client.Call{
		Method: "POST", Path: "/commit", Timeout: 1500 * time.Millisecond,
		Body: map[string]any{"guards": guards, "apply": apply},
		Done: func(now time.Time, r client.Result) {
			var a struct {
				Tide uint64 `msgpack:"tide"`
			}
			switch {
			case r.Status == 200 && codec.Unmarshal(r.Body, &a) == nil && a.Tide > s.fencingToken:
				s.commitSucceeded(now, a.Tide)
			case r.IsUncertain() || r.Status == 200:
				s.notifyUncertain(now)
				s.readBack(now, box, 0, 0)
			case r.Status == 409:
				var c struct {
					Failed []string `msgpack:"failed"`
				}
				if codec.Unmarshal(r.Body, &c) != nil || slices.Contains(c.Failed, s.options.LeaderKey) {
					s.commitFenced(len(txn.pages))
					return
				}
				s.notifyUncertain(now)
				s.resolveConflict(now, box, 0)
			case r.Status == 400:
				s.handleMalformed(txn.pages)
				s.requeue(now, r.RetryAfter)
			default:
				s.log.Info("a commit was not executed", "status", r.Status)
				s.requeue(now, r.RetryAfter)
			}
		},
	})
}

func (s *Store) commitSucceeded(now time.Time, modRevision uint64) {
	txn := s.inFlight
	s.inFlight = nil
	s.failingSince, s.retryDelay = time.Time{}, 0
	for _, p := range txn.pages {
		p.modRevision, p.hasStaleCopies = modRevision, false
	}
	if txn.move != nil {
		s.applyMove(now, txn.move)
	}
	for _, ws := range txn.waiters {
		for _, w := range ws {
			w(now, true)
		}
	}
	if txn.move != nil {
		txn.move.done(now, true)
	}
}

func (s *Store) commitFenced(writes int) {
	s.log.Error("a commit was refused by its guards", "token", s.fencingToken, "writes", writes)
	s.fenced = true
}

// resolveConflict finds out whose write has come before a commit that the guard of a page refused: if the leader's key is as it was,
// our own, an earlier try that was given up and carried out late. Then the pages are read back like after an unknown outcome.
func (s *Store) resolveConflict(now time.Time, box *client.Outbox, after time.Duration) {
	s.call(box, client.Call{
		Method: "GET", Path: "/keys/" + s.options.LeaderKey, Delay: after, Timeout: time.Second,
		Done: func(now time.Time, r client.Result) {
			var a struct {
				Mark uint64 `msgpack:"mark"`
			}
			switch {
			case r.Status == 200 && codec.Unmarshal(r.Body, &a) == nil && a.Mark == s.fencingToken:
				s.readBack(now, box, 0, 0)
			case r.Status == 200 && a.Mark > 0, r.Status == 404:
				s.commitFenced(len(s.inFlight.pages))
			default:
				s.resolveConflict(now, box, s.nextRetryDelay())
			}
		},
	})
}

// nextRetryDelay is how long to wait after one more call that came to nothing.
func (s *Store) nextRetryDelay() time.Duration {
	s.retryDelay = min(max(2*s.retryDelay, 100*time.Millisecond), time.Second)
	return s.retryDelay
}

// notifyUncertain tells the waiters that their change is not certain yet: those of the commit, and those whose changes wait behind
// it. Until it is read back nothing else is sent, and in an outage users who had come a moment before it waited
// for its whole length.
func (s *Store) notifyUncertain(now time.Time) {
	if s.failingSince.IsZero() {
		s.failingSince = now
	}
	for _, ws := range s.inFlight.waiters {
		for _, w := range ws {
			w(now, false)
		}
	}
	for p := range s.dirtyPages {
		for _, w := range p.waiters {
			w(now, false)
		}
	}
}

// requeue puts the pages of the commit back.
func (s *Store) requeue(now time.Time, after time.Duration) {
	s.notifyUncertain(now)
	txn := s.inFlight
	s.inFlight = nil
	s.retryAt = now.Add(min(max(s.nextRetryDelay(), after), 2*time.Second))
	for i, p := range txn.pages {
		p.waiters = append(txn.waiters[i], p.waiters...)
		if !txn.wasDirty[i] {
			continue // it was written only for what was to leave it
		}
		if !s.dirtyPages[p] {
			s.dirtyPages[p], p.dirtySince = true, now
		}
		p.urgent = true
	}
	if txn.move != nil {
		txn.move.done(now, false)
	}
}

// readBack finds out what became of a commit that nobody answered. Each attempt has a
// number of its own, since an earlier one that was held up on the way guards the same
// marks and may be the one that was executed. mark is the revision at which the attempt
// was found to be executed: it may be executed between the reading of two pages, so one
// page that shows it speaks for all.
func (s *Store) readBack(now time.Time, box *client.Outbox, index int, after time.Duration) {
	txn := s.inFlight
	checked := txn.guarded[index]
	s.call(box, client.Call{
		Method: "GET", Path: "/keys/" + checked.key, Delay: after, Timeout: time.Second,
		Done: func(now time.Time, r client.Result) {
			var a struct {
				Value pageValue `msgpack:"value"`
				Mark  uint64    `msgpack:"mark"`
			}
			switch {
			case r.Status == 200 && codec.Unmarshal(r.Body, &a) == nil && a.Mark > 0:
				if a.Value.Sequence == txn.sequence && a.Value.Leader == s.fencingToken {
					s.commitSucceeded(now, a.Mark)
					return
				}
				if a.Mark != checked.modRevision && s.hasUncertainMove {
					// It may be a move that was executed, and that memory knows nothing of:
					// what has left a page would be written into it again.
					s.commitFenced(len(txn.pages))
					return
				}
				checked.modRevision = a.Mark
			case r.Status == 404:
				checked.modRevision = 0
			default:
				s.readBack(now, box, index, s.nextRetryDelay())
				return
			}
			if index+1 < len(txn.guarded) {
				s.readBack(now, box, index+1, 0)
				return
			}
			s.hasUncertainMove = s.hasUncertainMove || txn.move != nil
			s.requeue(now, 0)
		},
	})
}

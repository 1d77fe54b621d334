package storage

import (
	"slices"
	"time"

	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"

	"github.com/vmihailenco/msgpack/v5"
)

// One commit is in flight at a time. What became of one that nobody answered is read back before anything else is sent.

func (l *Store) sendCommit(now time.Time, box *client.Outbox, pages []*page, move *entryMove) {
	l.sequence++
	txn := &transaction{sequence: l.sequence, pages: pages, move: move, guarded: pages}
	guards := []any{map[string]any{"path": l.options.LeaderKey, "mark": l.fencingToken}}
	var apply []any
	for _, p := range pages {
		guards = append(guards, map[string]any{"path": p.key, "mark": p.modRevision})
		value := pageValue{Sequence: txn.sequence, Leader: l.fencingToken, Entries: make(map[string]msgpack.RawMessage, len(p.entries))}
		for name, e := range p.entries {
			value.Entries[name] = e.raw
		}
		if move != nil {
			move.applyTo(p, p == l.archiveHead, value.Entries, l.entries)
		}
		apply = append(apply, map[string]any{"write": p.key, "value": value})
		txn.waiters = append(txn.waiters, p.waiters)
		txn.wasDirty = append(txn.wasDirty, l.dirtyPages[p])
		p.urgent, p.waiters = false, nil
		delete(l.dirtyPages, p)
	}
	if move != nil && move.source != nil && !slices.Contains(pages, move.source) {
		// Copies are made of what is there: an earlier try that is executed late changes that.
		guards = append(guards, map[string]any{"path": move.source.key, "mark": move.source.modRevision})
		txn.guarded = append(slices.Clone(pages), move.source)
	}
	if move != nil && move.source == nil && l.archiveHead.modRevision == 0 {
		guards = append(guards, map[string]any{"path": formatKey, "mark": 0})
		apply = append(apply, map[string]any{"write": formatKey, "value": formatVersion})
	}
	l.inFlight = txn
	l.call(box, client.Call{
		Method: "POST", Path: "/commit", Timeout: 1500 * time.Millisecond,
		Body: map[string]any{"guards": guards, "apply": apply},
		Done: func(now time.Time, r client.Result) {
			var a struct {
				Tide uint64 `msgpack:"tide"`
			}
			switch {
			case r.Status == 200 && codec.Unmarshal(r.Body, &a) == nil && a.Tide > l.fencingToken:
				l.commitSucceeded(now, a.Tide)
			case r.IsUncertain() || r.Status == 200:
				l.notifyUncertain(now)
				l.readBack(now, box, 0, 0)
			case r.Status == 409:
				var c struct {
					Failed []string `msgpack:"failed"`
				}
				if codec.Unmarshal(r.Body, &c) != nil || slices.Contains(c.Failed, l.options.LeaderKey) {
					l.commitFenced(len(txn.pages))
					return
				}
				l.notifyUncertain(now)
				l.resolveConflict(now, box, 0)
			case r.Status == 400:
				l.handleMalformed(txn.pages)
				l.requeue(now, r.RetryAfter)
			default:
				l.log.Info("a commit was not executed", "status", r.Status)
				l.requeue(now, r.RetryAfter)
			}
		},
	})
}

func (l *Store) commitSucceeded(now time.Time, modRevision uint64) {
	txn := l.inFlight
	l.inFlight = nil
	l.failingSince, l.retryDelay = time.Time{}, 0
	for _, p := range txn.pages {
		p.modRevision, p.hasStaleCopies = modRevision, false
	}
	if txn.move != nil {
		l.applyMove(now, txn.move)
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

func (l *Store) commitFenced(writes int) {
	l.log.Error("a commit was refused by its guards", "token", l.fencingToken, "writes", writes)
	l.fenced = true
}

// resolveConflict finds out whose write has come before a commit that the guard of a page refused: if the leader's key is as it was,
// our own, an earlier try that was given up and carried out late. Then the pages are read back like after an unknown outcome.
func (l *Store) resolveConflict(now time.Time, box *client.Outbox, after time.Duration) {
	l.call(box, client.Call{
		Method: "GET", Path: "/keys/" + l.options.LeaderKey, Delay: after, Timeout: time.Second,
		Done: func(now time.Time, r client.Result) {
			var a struct {
				Mark uint64 `msgpack:"mark"`
			}
			switch {
			case r.Status == 200 && codec.Unmarshal(r.Body, &a) == nil && a.Mark == l.fencingToken:
				l.readBack(now, box, 0, 0)
			case r.Status == 200 && a.Mark > 0, r.Status == 404:
				l.commitFenced(len(l.inFlight.pages))
			default:
				l.resolveConflict(now, box, l.nextRetryDelay())
			}
		},
	})
}

// nextRetryDelay is how long to wait after one more call that came to nothing.
func (l *Store) nextRetryDelay() time.Duration {
	l.retryDelay = min(max(2*l.retryDelay, 100*time.Millisecond), time.Second)
	return l.retryDelay
}

// notifyUncertain tells the waiters that their change is not certain yet: those of the commit, and those whose changes wait behind
// it. Until it is read back nothing else is sent, and in an outage users who had come a moment before it waited
// for its whole length.
func (l *Store) notifyUncertain(now time.Time) {
	if l.failingSince.IsZero() {
		l.failingSince = now
	}
	for _, ws := range l.inFlight.waiters {
		for _, w := range ws {
			w(now, false)
		}
	}
	for p := range l.dirtyPages {
		for _, w := range p.waiters {
			w(now, false)
		}
	}
}

// requeue puts the pages of the commit back.
func (l *Store) requeue(now time.Time, after time.Duration) {
	l.notifyUncertain(now)
	txn := l.inFlight
	l.inFlight = nil
	l.retryAt = now.Add(min(max(l.nextRetryDelay(), after), 2*time.Second))
	for i, p := range txn.pages {
		p.waiters = append(txn.waiters[i], p.waiters...)
		if !txn.wasDirty[i] {
			continue // it was written only for what was to leave it
		}
		if !l.dirtyPages[p] {
			l.dirtyPages[p], p.dirtySince = true, now
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
func (l *Store) readBack(now time.Time, box *client.Outbox, index int, after time.Duration) {
	txn := l.inFlight
	checked := txn.guarded[index]
	l.call(box, client.Call{
		Method: "GET", Path: "/keys/" + checked.key, Delay: after, Timeout: time.Second,
		Done: func(now time.Time, r client.Result) {
			var a struct {
				Value pageValue `msgpack:"value"`
				Mark  uint64    `msgpack:"mark"`
			}
			switch {
			case r.Status == 200 && codec.Unmarshal(r.Body, &a) == nil && a.Mark > 0:
				if a.Value.Sequence == txn.sequence && a.Value.Leader == l.fencingToken {
					l.commitSucceeded(now, a.Mark)
					return
				}
				if a.Mark != checked.modRevision && l.hasUncertainMove {
					// It may be a move that was executed, and that memory knows nothing of:
					// what has left a page would be written into it again.
					l.commitFenced(len(txn.pages))
					return
				}
				checked.modRevision = a.Mark
			case r.Status == 404:
				checked.modRevision = 0
			default:
				l.readBack(now, box, index, l.nextRetryDelay())
				return
			}
			if index+1 < len(txn.guarded) {
				l.readBack(now, box, index+1, 0)
				return
			}
			l.hasUncertainMove = l.hasUncertainMove || txn.move != nil
			l.requeue(now, 0)
		},
	})
}

package storage

import (
	"sort"
	"time"

	"gullrudder/internal/wire/client"
)

// Flush sends the next commit if one is due and none is in flight. The caller must execute the calls in outbox.
func (s *Store) Flush(now time.Time, outbox *client.Outbox) {
	if !s.loading.completed || s.fenced || s.commits.inFlight != nil || now.Before(s.commits.retryAt) {
		return
	}
	if s.splits.uncertainTarget != nil {
		s.invalidateUncertainSplit(now, outbox)
		return
	}
	if split := s.nextSplit(now); split != nil {
		s.writeLimiter.Take(len(split.pages))
		s.sendCommit(outbox, split.pages, split)
		return
	}
	due := s.writablePages()
	if len(due) == 0 && s.archive.pendingMove == nil {
		return
	}
	pages, move := s.joinPendingMove(now, s.choosePages(now, due))
	if len(pages) == 0 {
		return
	}
	s.writeLimiter.Take(len(pages))
	if move != nil && s.archive.head.modRevision == 0 {
		s.writeLimiter.Take(1) // the format key
	}
	s.sendCommit(outbox, pages, move)
}

// writablePages returns the dirty pages that can be written: urgent pages first, then those with the oldest changes.
func (s *Store) writablePages() []*page {
	var due []*page
	for p := range s.pages.dirty {
		if !s.isUnwritable(p) {
			due = append(due, p)
		}
	}
	sort.Slice(due, func(i, j int) bool {
		if due[i].urgent != due[j].urgent {
			return due[i].urgent
		}
		if !due[i].dirtySince.Equal(due[j].dirtySince) {
			return due[i].dirtySince.Before(due[j].dirtySince)
		}
		return due[i].key < due[j].key
	})
	return due
}

// choosePages returns the pages of the next commit. Pages that are not urgent leave half a second's worth of writes to urgent ones.
func (s *Store) choosePages(now time.Time, due []*page) []*page {
	budget := s.writeLimiter.Available(now)
	var chosen []*page
	bytes := 0
	for _, p := range due {
		if !p.urgent && (now.Sub(p.dirtySince) < s.options.BatchDelay || float64(budget-len(chosen)) < s.options.WriteRate/2) {
			continue
		}
		if len(chosen) >= min(budget, s.options.MaxTransactionOps) || len(chosen) > 0 && bytes+p.size > MaxTransactionBytes {
			break
		}
		chosen = append(chosen, p)
		bytes += p.size
	}
	return chosen
}

package storage

import (
	"maps"
	"slices"
	"strings"
	"time"

	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/client"
)

// maxSplitDelay is how long a split yields to urgent writes.
const maxSplitDelay = 2 * time.Second

// splitState is the state of the splits of oversized pages: pages that an earlier version wrote, or this one before lower limits were
// configured.
//
// They are split as soon as they have been read. One transaction moves entries from a page to new pages, so each entry is on one page
// at any time and both versions can read all of them. Once the state service refuses values of the old size, a page can be so large
// that it cannot be written even without the moved entries. Then its entries are copied first, to some new pages at a time, and the
// page is written last, without them. Until then the stored page has stale copies: of two entries with the same name, the one on the
// page with the higher number is valid, and no finished job is archived, since its stale copy would then become valid again.
type splitState struct {
	dueSince      time.Time // when the present split became due
	limitsLowered bool      // the state service refuses values of the old size
	uncertainPage *page     // a new page of a split that failed or may still be executed
}

// isUnwritable reports whether the state service refuses values of the present size of a page.
func (s *Store) isUnwritable(p *page) bool {
	return s.splits.limitsLowered && s.pages.isOversized(p) && p.encodedSize() > s.options.MaxValueBytes
}

// nextSplit returns the next transaction that makes a page smaller, or nil if none is due or the budget does not allow it. Urgent writes
// go first, for up to maxSplitDelay.
func (s *Store) nextSplit(now time.Time) *entryMove {
	largest := s.pages.largestOversized()
	if largest == nil {
		s.splits.dueSince = time.Time{}
		return nil
	}
	if s.splits.dueSince.IsZero() {
		s.splits.dueSince = now
	}
	plan := s.planSplit(largest)
	if len(plan.move.removed) == 0 {
		largest.unsplittable = true
		s.log.Error("entry larger than value limit",
			logkeys.Key, largest.key, logkeys.Bytes, largest.size, logkeys.Limit, s.options.MaxValueBytes)
		return nil
	}
	writes := len(plan.move.pages)
	waits := now.Sub(s.splits.dueSince) < maxSplitDelay
	if s.SpareWrites(now) < writes && (waits || s.writeLimiter.Available(now) < writes) {
		return nil
	}
	s.pages.nextNumber, s.splits.dueSince = plan.nextNumber, time.Time{}
	return plan.move
}

// splitPlan is a split under construction.
type splitPlan struct {
	move       *entryMove
	targets    []*page
	nextNumber int // of the page after the new ones
	remaining  int // JSON bytes left on the page, including reserved space
	encoded    int // JSON bytes left on the page without reserved space
}

// add moves an entry to the last target, or to a new one if it does not fit. It returns false if maxTargets is reached.
func (p *splitPlan) add(name string, moved *entry, maxPageBytes, maxTargets int) bool {
	if len(p.targets) == 0 || p.targets[len(p.targets)-1].size+moved.size > maxPageBytes {
		if len(p.targets) == maxTargets {
			return false
		}
		p.targets = append(p.targets, newPage(pageKey(p.nextNumber)))
		p.nextNumber++
	}
	target := p.targets[len(p.targets)-1]
	target.size += moved.size
	p.remaining -= moved.size
	p.encoded -= entrySize(name, moved.raw)
	p.move.removed[name] = true
	p.move.targets[target] = append(p.move.targets[target], name)
	return true
}

// planSplit chooses the entries to move from a page, and their new pages, as many as one transaction can write.
func (s *Store) planSplit(source *page) *splitPlan {
	plan := &splitPlan{
		move:       &entryMove{removed: map[string]bool{}, source: source, targets: map[*page][]string{}},
		nextNumber: s.pages.nextNumber,
		remaining:  source.size,
		encoded:    source.encodedSize(),
	}
	maxTargets := s.options.MaxTransactionOps - 1
	if s.splits.limitsLowered {
		maxTargets = s.options.MaxTransactionOps // the page itself may be too large to be written with them
	}
	for _, name := range slices.Sorted(maps.Keys(source.entries)) {
		e := source.entries[name]
		if plan.remaining <= s.options.MaxValueBytes || e.size+pageOverhead > s.options.MaxValueBytes {
			continue
		}
		if !plan.add(name, e, s.options.MaxValueBytes, max(maxTargets, 1)) {
			break
		}
	}
	for _, target := range plan.targets {
		target.size = pageOverhead // counted again when the entries move
	}
	plan.move.pages = plan.targets
	if plan.encoded <= s.options.MaxValueBytes && len(plan.targets) < s.options.MaxTransactionOps || !s.splits.limitsLowered {
		plan.move.pages = append([]*page{source}, plan.targets...)
	}
	plan.move.done = func(_ time.Time, ok bool) {
		if !ok {
			written := plan.move.pages
			s.splits.uncertainPage = newPage(written[len(written)-1].key)
		}
	}
	return plan
}

// invalidateUncertainSplit writes a new page of a split that may still be executed, without entries. The split requires that this page
// does not exist, so it fails from then on. This has to be certain before anything else is written: if the split was executed after
// another try, or after a change of the source page, it would leave unknown copies of entries, which would restore jobs that had ended
// or been archived since.
func (s *Store) invalidateUncertainSplit(now time.Time, outbox *client.Outbox) {
	if s.writeLimiter.Available(now) < 1 {
		return
	}
	empty := s.splits.uncertainPage
	empty.waiters = []DoneFunc{func(_ time.Time, ok bool) {
		if ok {
			s.pages.byKey[empty.key], s.splits.uncertainPage = empty, nil
		}
	}}
	s.writeLimiter.Take(1)
	s.sendCommit(outbox, []*page{empty}, nil)
}

// applySplit applies a durable split in memory. Changes of the source page since the commit have to be written on the pages that have its
// entries now, and its waiters wait for all of these.
func (s *Store) applySplit(now time.Time, move *entryMove) {
	source := move.source
	all := []*page{source}
	for _, target := range move.pages {
		if target != source {
			all = append(all, target)
			s.moveToTarget(now, move, target)
		}
	}
	if !slices.Contains(move.pages, source) {
		source.hasStaleCopies = true
		s.pages.setDirty(now, source, true, nil)
	}
	if !s.pages.dirty[source] {
		return
	}
	waiters := source.waiters
	source.waiters = nil
	for _, changed := range all {
		s.pages.setDirty(now, changed, source.urgent, nil)
	}
	for _, done := range waiters {
		notifyWhenAllDurable(all, done)
	}
}

// moveToTarget moves entries to a new page of a split.
func (s *Store) moveToTarget(now time.Time, move *entryMove, target *page) {
	s.pages.byKey[target.key] = target
	for _, name := range move.targets[target] {
		if move.source.entries[name] == nil {
			s.pages.setDirty(now, target, false, nil) // it was deleted meanwhile
			continue
		}
		move.source.moveEntry(name, target)
	}
}

// notifyWhenAllDurable calls done with true once all pages are durable, and with false whenever one of them is uncertain.
func notifyWhenAllDurable(pages []*page, done DoneFunc) {
	durable := map[*page]bool{}
	for _, p := range pages {
		p.waiters = append(p.waiters, func(now time.Time, ok bool) {
			if !ok {
				done(now, false)
				return
			}
			if durable[p] = true; len(durable) == len(pages) {
				done(now, true)
			}
		})
	}
}

// handleMalformedCommit handles that the state service refused a commit as malformed: it no longer accepts values of that size, or that
// many changes in a transaction. The limits are lowered for the next commits.
func (s *Store) handleMalformedCommit(pages []*page) {
	if slices.ContainsFunc(pages, func(p *page) bool { return p.encodedSize() > s.options.MaxValueBytes }) {
		if !s.splits.limitsLowered {
			s.log.Error("value limit lowered, splitting pages", logkeys.Limit, s.options.MaxValueBytes)
		}
		s.splits.limitsLowered = true
		return
	}
	if s.options.MaxTransactionOps > 1 {
		s.options.MaxTransactionOps = max(s.options.MaxTransactionOps/2, 1)
		s.log.Error("commit rejected as malformed, transaction limit lowered",
			logkeys.Count, len(pages), logkeys.Limit, s.options.MaxTransactionOps)
		return
	}
	keys := make([]string, 0, len(pages))
	for _, p := range pages {
		keys = append(keys, p.key)
	}
	s.log.Error("commit rejected as malformed", logkeys.Key, strings.Join(keys, " "))
}

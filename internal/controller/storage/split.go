package storage

import (
	"maps"
	"slices"
	"strings"
	"time"

	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/client"
)

// maxSplitDelay is the maximum time for which a split waits in favour of urgent writes.
const maxSplitDelay = 2 * time.Second

// splitState tracks the splitting of oversized pages. An earlier version wrote them, or this version before lower limits were configured.
//
// Pages are split as soon as all of them have been read. One transaction moves entries from a page to new pages. Each entry is therefore
// on one page at any time, and both versions can read all entries.
//
// Once the state service rejects values of the old size, a page may be too large to be written even without the moved entries. Its entries
// are then copied in several transactions, each to a few new pages, and the page is written last, without them. Until then the stored page
// has stale copies. Of two entries with the same name, the one on the page with the higher number is valid. No finished job is archived
// during this time, because its stale copy would become valid again.
type splitState struct {
	dueSince        time.Time // when the current split became due
	limitsLowered   bool      // the state service rejects values of the old size
	uncertainTarget *page     // new page of a failed split, which may still be executed
}

// isUnwritable reports whether the state service would reject a page because of its current size.
func (s *Store) isUnwritable(p *page) bool {
	return s.splits.limitsLowered && s.pages.isOversized(p) && p.encodedSize() > s.options.MaxValueBytes
}

// nextSplit returns the next move that makes an oversized page smaller. It returns nil if no split is due, or if the write budget does not
// allow one. A split waits for urgent writes for up to maxSplitDelay.
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

// splitPlan is a split that is being planned.
type splitPlan struct {
	move              *entryMove
	targets           []*page
	nextNumber        int // number of the next page after the targets
	sourceSize        int // JSON bytes that stay on the source page, including reserved space
	sourceEncodedSize int // JSON bytes that stay on the source page, without reserved space
}

// add plans to move an entry to the last target, or to a new target if it does not fit. It returns false if that would exceed maxTargets.
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
	p.sourceSize -= moved.size
	p.sourceEncodedSize -= entrySize(name, moved.raw)
	p.move.removed[name] = true
	p.move.targets[target] = append(p.move.targets[target], name)
	return true
}

// planSplit chooses the entries to move from a page and their new pages, at most as many as one transaction can write.
func (s *Store) planSplit(source *page) *splitPlan {
	plan := &splitPlan{
		move:              &entryMove{removed: map[string]bool{}, source: source, targets: map[*page][]string{}},
		nextNumber:        s.pages.nextNumber,
		sourceSize:        source.size,
		sourceEncodedSize: source.encodedSize(),
	}
	maxTargets := s.options.MaxTransactionOps - 1
	if s.splits.limitsLowered {
		maxTargets = s.options.MaxTransactionOps // the source page itself may be too large to be written
	}
	for _, name := range slices.Sorted(maps.Keys(source.entries)) {
		e := source.entries[name]
		if plan.sourceSize <= s.options.MaxValueBytes || e.size+pageOverhead > s.options.MaxValueBytes {
			continue
		}
		if !plan.add(name, e, s.options.MaxValueBytes, max(maxTargets, 1)) {
			break
		}
	}
	for _, target := range plan.targets {
		target.size = pageOverhead // the entries are counted again when they are moved
	}
	plan.move.pages = plan.targets
	if plan.sourceEncodedSize <= s.options.MaxValueBytes && len(plan.targets) < s.options.MaxTransactionOps || !s.splits.limitsLowered {
		plan.move.pages = append([]*page{source}, plan.targets...)
	}
	plan.move.done = func(_ time.Time, ok bool) {
		if !ok {
			written := plan.move.pages
			s.splits.uncertainTarget = newPage(written[len(written)-1].key)
		}
	}
	return plan
}

// invalidateUncertainSplit ensures that an uncertain split can no longer be executed. It writes one of the split's new pages without
// entries. The split has the precondition that this page does not exist, so it fails from then on.
//
// Nothing else is written before that. If the split was executed after another attempt, or after a change of the source page, it would
// leave copies of entries that the leader does not know. These would restore jobs that have ended or been archived since.
func (s *Store) invalidateUncertainSplit(now time.Time, outbox *client.Outbox) {
	if s.writeLimiter.Available(now) < 1 {
		return
	}
	empty := s.splits.uncertainTarget
	empty.waiters = []DoneFunc{func(_ time.Time, ok bool) {
		if ok {
			s.pages.byKey[empty.key], s.splits.uncertainTarget = empty, nil
		}
	}}
	s.writeLimiter.Take(1)
	s.sendCommit(outbox, []*page{empty}, nil)
}

// applySplit applies a durable split in memory. If the source page was changed after the commit was sent, all pages that now have its
// entries are marked as dirty, and the waiters of these changes are notified once all of them are durable.
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

// moveToTarget moves entries in memory to a new page of a split.
func (s *Store) moveToTarget(now time.Time, move *entryMove, target *page) {
	s.pages.byKey[target.key] = target
	for _, name := range move.targets[target] {
		if move.source.entries[name] == nil {
			s.pages.setDirty(now, target, false, nil) // the entry was deleted after the commit was sent
			continue
		}
		move.source.moveEntry(name, target)
	}
}

// notifyWhenAllDurable calls done with true once all pages are durable, and with false each time that the outcome for a page is uncertain.
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

// handleMalformedCommit handles a commit that the state service rejected as malformed. The service no longer accepts values of that size,
// or that many operations in a transaction. The limits for the next commits are lowered accordingly.
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

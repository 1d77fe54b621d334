package storage

import (
	"maps"
	"slices"
	"strings"
	"time"

	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/client"
)

// maxSplitDelay is how long a split waits for writes that somebody waits for.
const maxSplitDelay = 2 * time.Second

// splitState is what becomes of pages that are larger than a value may be, or may be soon: an earlier version wrote them, or this
// one before the lower limits were configured.
//
// They are split as soon as they have been read. In one transaction entries leave a page for new ones, so each entry is on one page
// at any time and both versions read all of them. Once the state service refuses a value for its size, a page can be so large that
// not even its rest may be written. Then its entries are copied first, some pages at a time, and the page is written last, without
// them. Until then the stored page has stale copies: of two entries with one name, that on the page with the higher number counts,
// and no finished job leaves its page for the archive, since its stale copy would then count again.
type splitState struct {
	dueSince      time.Time // since when a page has to be split
	limitsLowered bool      // the state service refuses values of the old size
	uncertainPage *page     // a new page of a split that failed, or may still be executed
}

// isUnwritable reports whether a page cannot be written as it is, because the state service refuses values of its size.
func (s *Store) isUnwritable(p *page) bool {
	return s.splits.limitsLowered && s.pages.isOversized(p) && p.encodedSize() > s.options.MaxValueBytes
}

// nextSplit is the next transaction that makes a page smaller, nil if none is due or the budget does not allow it. Writes that
// somebody waits for go first, for up to maxSplitDelay.
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

// splitPlan is a split that is being put together.
type splitPlan struct {
	move       *entryMove
	targets    []*page
	nextNumber int // of the page after the new ones
	remaining  int // JSON bytes left on the page, with what is reserved
	encoded    int // of those, JSON bytes that are stored
}

// add moves an entry to the last target, or to a new one if it does not fit. It returns false if there may be no more targets.
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

// planSplit picks the entries that leave a page, and the new pages that they go to, as many as one transaction can write.
func (s *Store) planSplit(source *page) *splitPlan {
	plan := &splitPlan{
		move:       &entryMove{removed: map[string]bool{}, source: source, targets: map[*page][]string{}},
		nextNumber: s.pages.nextNumber,
		remaining:  source.size,
		encoded:    source.encodedSize(),
	}
	maxTargets := s.options.MaxTransactionOps - 1
	if s.splits.limitsLowered {
		maxTargets = s.options.MaxTransactionOps // the page itself may be too large to be written beside them
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

// invalidateUncertainSplit writes a new page of a split that may still be executed, without entries: the split requires that page not
// to exist. This has to be certain before anything else is written. If the split was executed after a next try with other pages, or
// after a change of the page that was to be split, it would leave copies that nobody knows of, and they would bring back jobs that
// had ended or been archived since.
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

// applySplit makes a split in memory, once it is durable. What has changed on the page meanwhile is to be written to the pages that
// its entries are on now, and its waiters wait for all of them.
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

// notifyWhenAllDurable calls done once all pages are durable, and whenever one of them has become uncertain.
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

// handleMalformedCommit takes note that the state service has refused a commit as malformed: it takes no values of that size any more, or
// not so many changes at once. Nothing is sent again as it was.
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

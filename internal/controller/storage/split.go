package storage

import (
	"slices"
	"sort"
	"strings"
	"time"

	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
)

// Pages that are larger than the limits that are to come. A version before wrote them, or this one before the limits were named.
// They are split as soon as they are read: in one transaction entries leave a page for new ones, so that each entry is in one
// place at any time and either version can read what there is. Once the state service has refused a value for its size, a
// page can be so large that not even its rest may be written; then its entries are copied first, a few pages at a time, and the
// page is written last, without them. Until then it holds stale copies, its shadows: of two entries of one name that on the page with
// the higher number counts, and no finished job leaves its page, which would bring its shadow back to life.

// isOversized reports whether the page is larger than pages are to be.
func (s *Store) isOversized(p *page) bool { return p.size > s.options.ValueBytes }

// encodedSize is how many JSON bytes the page has on the wire now; its size counts what its entries may grow to.
func (p *page) encodedSize() int {
	n := pageFrame
	for name, e := range p.entries {
		n += codec.JSONSize(e.raw) + len(name) + entryFrame
	}
	return n
}

// isUnwritable reports that the page cannot be written as it is: the state service takes no values of that size any more.
func (s *Store) isUnwritable(p *page) bool {
	return s.limitsLowered && s.isOversized(p) && p.encodedSize() > s.options.ValueBytes
}

// hasStaleCopies reports whether some page holds stale copies of entries.
func (s *Store) hasStaleCopies() bool {
	for _, p := range s.pages {
		if p.hasStaleCopies {
			return true
		}
	}
	return false
}

// nextSplit is the next transaction that makes a page smaller, nil if none is due or the budget does not allow it. What somebody
// waits for goes first for a while.
func (s *Store) nextSplit(now time.Time) *entryMove {
	var worst *page
	for _, p := range s.pages {
		if s.isOversized(p) && !p.unsplittable && (worst == nil || p.size > worst.size || p.size == worst.size && p.key < worst.key) {
			worst = p
		}
	}
	if worst == nil {
		s.splitDueSince = time.Time{}
		return nil
	}
	if s.splitDueSince.IsZero() {
		s.splitDueSince = now
	}
	move, next := s.planSplit(worst)
	if len(move.removed) == 0 {
		worst.unsplittable = true
		s.log.Error("an entry is larger than the state service is to take", "page", worst.key, "bytes", worst.size, "limit", s.options.ValueBytes)
		return nil
	}
	if s.SpareWrites(now) < len(move.pages) && (now.Sub(s.splitDueSince) < 2*time.Second || s.writeLimiter.Available(now) < len(move.pages)) {
		return nil
	}
	s.nextPageNumber, s.splitDueSince = next, time.Time{}
	return move
}

// planSplit picks the entries that leave a page, and the new pages that they go to, as many as one transaction can write. next is the
// number of the page after those.
func (s *Store) planSplit(source *page) (move *entryMove, next int) {
	var targets []*page
	names := make([]string, 0, len(source.entries))
	for name := range source.entries {
		names = append(names, name)
	}
	sort.Strings(names)
	move, next = &entryMove{removed: map[string]bool{}, source: source, targets: map[*page][]string{}, done: func(_ time.Time, ok bool) {
		if !ok {
			s.uncertainPage = &page{key: targets[len(targets)-1].key, entries: map[string]*entry{}, size: pageFrame}
		}
	}}, s.nextPageNumber
	most := s.options.TxnOps - 1
	if s.limitsLowered {
		most = s.options.TxnOps // the page itself may be too large to be written beside them
	}
	left, rest := source.size, source.encodedSize()
	var current *page
	for _, name := range names {
		e := source.entries[name]
		if left <= s.options.ValueBytes || e.size+pageFrame > s.options.ValueBytes {
			continue
		}
		if current == nil || current.size+e.size > s.options.ValueBytes {
			if len(targets) == max(most, 1) {
				break
			}
			current = &page{key: pageKey(next), entries: map[string]*entry{}, size: pageFrame}
			next++
			targets = append(targets, current)
		}
		current.size += e.size
		left -= e.size
		rest -= codec.JSONSize(e.raw) + len(name) + entryFrame
		move.removed[name] = true
		move.targets[current] = append(move.targets[current], name)
	}
	for _, target := range targets {
		target.size = pageFrame // counted anew when its entries arrive
	}
	if rest <= s.options.ValueBytes && len(targets) < s.options.TxnOps || !s.limitsLowered {
		targets = append([]*page{source}, targets...)
	}
	move.pages = targets
	return move, next
}

// invalidateUncertainSplit writes a new page of a split that may be carried out yet, empty: that one guards it to be new. It has to be certain
// before anything else is written. Carried out later, after a next try with other pages or a change of the page that was to be split, it
// would leave copies that nobody knows of, and they would bring jobs back that had ended or been sealed since.
func (s *Store) invalidateUncertainSplit(now time.Time, box *client.Outbox) {
	if s.writeLimiter.Available(now) < 1 {
		return
	}
	empty := s.uncertainPage
	empty.waiters = []func(time.Time, bool){func(_ time.Time, ok bool) {
		if ok {
			s.pages[empty.key], s.uncertainPage = empty, nil
		}
	}}
	s.writeLimiter.Take(1)
	s.sendCommit(now, box, []*page{empty}, nil)
}

// applySplit makes a split in memory too, once it is durable. What has changed on the page meanwhile is to be written on the page
// where it is now, and who waits for it waits for all of them.
func (s *Store) applySplit(now time.Time, move *entryMove) {
	source := move.source
	all := []*page{source}
	for _, target := range move.pages {
		if target == source {
			continue
		}
		all = append(all, target)
		s.pages[target.key] = target
		for _, name := range move.targets[target] {
			e := source.entries[name]
			if e == nil {
				s.setDirty(now, target, false, nil) // it was dropped meanwhile
				continue
			}
			delete(source.entries, name)
			source.size -= e.size
			target.entries[name], e.page = e, target
			target.size += e.size
			if e.finished {
				source.finishedSize -= e.size
				target.finishedSize += e.size
			}
		}
	}
	if !slices.Contains(move.pages, source) {
		source.hasStaleCopies = true
		s.setDirty(now, source, true, nil)
	}
	if s.dirtyPages[source] {
		waiters := source.waiters
		source.waiters = nil
		for _, target := range all {
			s.setDirty(now, target, source.urgent, nil)
		}
		for _, w := range waiters {
			notifyWhenAllDurable(all, w)
		}
	}
}

// notifyWhenAllDurable has somebody told once all pages are durable.
func notifyWhenAllDurable(pages []*page, done func(time.Time, bool)) {
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

// handleMalformed takes in that the state service has refused a commit as malformed: it takes no values of that size any more, or
// not so many changes at once. Nothing is sent again as it was.
func (s *Store) handleMalformed(pages []*page) {
	if slices.ContainsFunc(pages, func(p *page) bool { return p.encodedSize() > s.options.ValueBytes }) {
		if !s.limitsLowered {
			s.log.Error("the state service takes no values of the old size any more: the pages are split", "limit", s.options.ValueBytes)
		}
		s.limitsLowered = true
		return
	}
	if s.options.TxnOps > 1 {
		s.options.TxnOps = max(s.options.TxnOps/2, 1)
		s.log.Error(
			"the state service calls a commit malformed: fewer changes are made at once",
			"pages",
			len(pages),
			"at most",
			s.options.TxnOps,
		)
		return
	}
	keys := make([]string, 0, len(pages))
	for _, p := range pages {
		keys = append(keys, p.key)
	}
	s.log.Error("the state service calls a commit malformed", "pages", strings.Join(keys, " "))
}

package storage

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	pageOverhead  = 64 // JSON bytes of a page in addition to its entries
	entryOverhead = 8  // JSON bytes of an entry in addition to its name and value
)

// DoneFunc is called with the outcome of a change: ok is true once the change is durable, and false if that is uncertain.
type DoneFunc func(now time.Time, ok bool)

// entry is one named value.
type entry struct {
	raw      msgpack.RawMessage
	size     int // JSON bytes of name and value, or the space reserved for them if that is more
	page     *page
	finished bool // record of a finished job, which may be archived
}

// page is a group of entries that is written as one key.
type page struct {
	key            string
	modRevision    uint64 // 0: never written
	entries        map[string]*entry
	size           int // JSON bytes, including space reserved for the entries
	finishedSize   int // part of size that belongs to finished jobs
	urgent         bool
	dirtySince     time.Time // when the oldest unsaved change was made
	waiters        []DoneFunc
	hasStaleCopies bool // the stored page has entries that have moved to other pages
	unsplittable   bool // a single entry exceeds the limit of a page
}

func newPage(key string) *page {
	return &page{key: key, entries: map[string]*entry{}, size: pageOverhead}
}

func pageKey(number int) string { return fmt.Sprintf("%s%06d", PagePrefix, number) }

// addStored adds the entries of the stored page.
func (p *page) addStored(value pageValue) {
	for name, raw := range value.Entries {
		p.add(name, raw)
	}
}

// add adds an entry without reserved space.
func (p *page) add(name string, raw msgpack.RawMessage) {
	added := &entry{raw: raw, size: entrySize(name, raw), page: p}
	p.entries[name] = added
	p.size += added.size
}

// encodedSize returns the JSON bytes of the page without reserved space.
func (p *page) encodedSize() int {
	size := pageOverhead
	for name, e := range p.entries {
		size += entrySize(name, e.raw)
	}
	return size
}

// value returns the stored form of the page for the commit of this leader and sequence number.
func (p *page) value(leader, sequence uint64) pageValue {
	value := pageValue{Sequence: sequence, Leader: leader, Entries: make(map[string]msgpack.RawMessage, len(p.entries))}
	for name, e := range p.entries {
		value.Entries[name] = e.raw
	}
	return value
}

// grow sets the size of an entry on this page.
func (p *page) grow(e *entry, size int) {
	p.size += size - e.size
	e.size = size
}

// moveEntry moves an entry from this page to another.
func (p *page) moveEntry(name string, target *page) {
	e := p.entries[name]
	delete(p.entries, name)
	p.size -= e.size
	target.entries[name], e.page = e, target
	target.size += e.size
	if e.finished {
		p.finishedSize -= e.size
		target.finishedSize += e.size
	}
}

// pageTable is the leader's copy of all pages. Invariant: each entry is on exactly one page.
type pageTable struct {
	maxPageBytes int
	byKey        map[string]*page
	dirty        map[*page]bool // pages with unsaved changes
	entries      map[string]*entry
	nextNumber   int // of the next new page
}

func newPageTable(maxPageBytes int) pageTable {
	return pageTable{
		maxPageBytes: maxPageBytes,
		byKey:        map[string]*page{},
		dirty:        map[*page]bool{},
		entries:      map[string]*entry{},
	}
}

// addStored adds a page that was read. Pages must be added in the order of their numbers: if an entry is on two of them, an earlier
// leader has copied it to the one with the higher number, which is valid.
func (t *pageTable) addStored(key string, modRevision uint64, value pageValue) {
	added := newPage(key)
	added.modRevision = modRevision
	t.byKey[key] = added
	var number int
	if _, err := fmt.Sscanf(key, PagePrefix+"%d", &number); err == nil && number >= t.nextNumber {
		t.nextNumber = number + 1
	}
	added.addStored(value)
	for name, e := range added.entries {
		if older := t.entries[name]; older != nil {
			delete(older.page.entries, name)
			older.page.size -= older.size
			older.page.hasStaleCopies, t.dirty[older.page] = true, true
		}
		t.entries[name] = e
	}
}

// names returns the names of all entries, sorted.
func (t *pageTable) names() []string { return slices.Sorted(maps.Keys(t.entries)) }

// remove removes an entry from its page.
func (t *pageTable) remove(name string, e *entry) {
	delete(t.entries, name)
	delete(e.page.entries, name)
	e.page.size -= e.size
	if e.finished {
		e.page.finishedSize -= e.size
	}
}

// setDirty marks a page as having unsaved changes. done, unless nil, is added to its waiters.
func (t *pageTable) setDirty(now time.Time, changed *page, urgent bool, done DoneFunc) {
	if !t.dirty[changed] {
		t.dirty[changed], changed.dirtySince, changed.urgent = true, now, false
	}
	changed.urgent = changed.urgent || urgent
	if done != nil {
		changed.waiters = append(changed.waiters, done)
	}
}

// choosePage returns a page for a new entry: one that has to be written anyway, else the fullest one with enough space, else a new one.
// It returns nil if the entry exceeds the limit of a page.
func (t *pageTable) choosePage(size int) *page {
	if size+pageOverhead > t.maxPageBytes {
		return nil
	}
	var best *page
	for _, p := range t.byKey {
		if p.size+size <= t.maxPageBytes && (best == nil || t.isPreferred(p, best)) {
			best = p
		}
	}
	if best == nil {
		best = newPage(pageKey(t.nextNumber))
		t.nextNumber++
		t.byKey[best.key] = best
	}
	return best
}

// isPreferred reports whether a new entry goes to page a rather than to b.
func (t *pageTable) isPreferred(a, b *page) bool {
	dirtyA, dirtyB := t.dirty[a], t.dirty[b]
	if (dirtyA && a.urgent) != (dirtyB && b.urgent) {
		return dirtyA && a.urgent
	}
	if dirtyA != dirtyB {
		return dirtyA
	}
	if a.size != b.size {
		return a.size > b.size
	}
	return a.key < b.key
}

// pagesHolding returns the pages of these entries, sorted by key.
func (t *pageTable) pagesHolding(names []string) []*page {
	var pages []*page
	seen := map[*page]bool{}
	for _, name := range names {
		if e := t.entries[name]; e != nil && !seen[e.page] {
			seen[e.page] = true
			pages = append(pages, e.page)
		}
	}
	sort.Slice(pages, func(i, j int) bool { return pages[i].key < pages[j].key })
	return pages
}

// isOversized reports whether a page exceeds the limit of a page.
func (t *pageTable) isOversized(p *page) bool { return p.size > t.maxPageBytes }

// hasStaleCopies reports whether some page holds stale copies of entries.
func (t *pageTable) hasStaleCopies() bool {
	for _, p := range t.byKey {
		if p.hasStaleCopies {
			return true
		}
	}
	return false
}

// largestOversized returns the largest page that exceeds the limit and can be split, or nil.
func (t *pageTable) largestOversized() *page {
	var largest *page
	for _, p := range t.byKey {
		if !t.isOversized(p) || p.unsplittable {
			continue
		}
		if largest == nil || p.size > largest.size || p.size == largest.size && p.key < largest.key {
			largest = p
		}
	}
	return largest
}

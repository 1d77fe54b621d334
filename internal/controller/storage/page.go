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
	pageOverhead  = 64 // JSON bytes of a page apart from its entries
	entryOverhead = 8  // JSON bytes of an entry apart from its name and value
)

// DoneFunc is called with the outcome of a change. ok is true if the change is durable, and false if its outcome is uncertain.
type DoneFunc func(now time.Time, ok bool)

// entry is a named value on a page.
type entry struct {
	raw      msgpack.RawMessage
	size     int // JSON bytes of name and value, or the space reserved for them if it is larger
	page     *page
	finished bool // record of a finished job, which may be archived
}

// page is a group of entries that are written as the value of one key.
type page struct {
	key            string
	modRevision    uint64 // 0: never written
	entries        map[string]*entry
	size           int // JSON bytes, including space reserved for the entries
	finishedSize   int // part of size that belongs to finished jobs
	urgent         bool
	dirtySince     time.Time // when the oldest unsaved change was made
	waiters        []DoneFunc
	hasStaleCopies bool // the stored page has copies of entries that were moved to other pages
	unsplittable   bool // a single entry exceeds the size limit of a page
}

func newPage(key string) *page {
	return &page{key: key, entries: map[string]*entry{}, size: pageOverhead}
}

func pageKey(number int) string { return fmt.Sprintf("%s%06d", PagePrefix, number) }

// addStored adds the entries of a page as it is stored.
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

// value returns the stored form of the page for a commit. leader is the fencing token, sequence the number of the commit.
func (p *page) value(leader, sequence uint64) pageValue {
	value := pageValue{Sequence: sequence, Leader: leader, Entries: make(map[string]msgpack.RawMessage, len(p.entries))}
	for name, e := range p.entries {
		value.Entries[name] = e.raw
	}
	return value
}

// resizeEntry changes the size of an entry on this page.
func (p *page) resizeEntry(e *entry, size int) {
	p.size += size - e.size
	e.size = size
}

// moveEntry moves an entry to another page, together with the space reserved for it.
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

// addStored adds a page that was read. Pages must be added in the order of their numbers. If an entry is on two pages, an earlier leader
// copied it to the page with the higher number, and that copy is the valid one.
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

// names returns the sorted names of all entries.
func (t *pageTable) names() []string { return slices.Sorted(maps.Keys(t.entries)) }

// remove removes an entry from its page and from the table. The caller marks the page as dirty if it must be written.
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

// choosePage returns the page for a new entry: a dirty page (urgent ones first), else the fullest page with enough space, else a new page.
// It returns nil if the entry exceeds the size limit of a page.
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

// isPreferred reports whether page a is preferred to page b for a new entry.
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

// isOversized reports whether a page, including reserved space, exceeds the size limit.
func (t *pageTable) isOversized(p *page) bool { return p.size > t.maxPageBytes }

// hasStaleCopies reports whether any stored page has stale copies of entries.
func (t *pageTable) hasStaleCopies() bool {
	for _, p := range t.byKey {
		if p.hasStaleCopies {
			return true
		}
	}
	return false
}

// largestOversized returns the largest page that exceeds the size limit and can be split, or nil.
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

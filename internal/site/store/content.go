package store

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/google/btree"

	"gullrudder/internal/wire/packed"
)

// item is a key with its value. Items are never changed, only replaced: a snapshot may still
// read them.
type item struct {
	key   string
	value []byte
	mark  uint64
	lease uint64
	size  int // JSON bytes of the value
}

func newItem(key string, value []byte, mark, lease uint64) *item {
	return &item{key: key, value: value, mark: mark, lease: lease, size: packed.JSONSize(value)}
}

func before(a, b *item) bool { return a.key < b.key }

type change struct {
	drop  bool
	key   string
	value []byte
	lease uint64
}

// event is a change as watchers see it.
type event struct {
	drop  bool
	key   string
	value []byte
	mark  uint64
}

type lease struct {
	id   uint64
	ttl  time.Duration
	ends time.Time // not kept: a lease has its full time after a restart
	keys map[string]bool
}

// watchable is how many changes are kept for watchers.
const watchable = 10_000

// content is what a store holds.
type content struct {
	tree     *btree.BTreeG[*item]
	leases   map[uint64]*lease
	revision uint64
	granted  uint64 // the last id of a lease
	events   []event
	floor    uint64 // changes up to this revision are not among the events
}

// degree of the tree: a commit copies a path of it while a snapshot reads the rest.
const degree = 32

func newContent() *content {
	return &content{tree: btree.NewG(degree, before), leases: map[uint64]*lease{}}
}

// undo takes a change back, if what was to keep it has failed.
type undo func(c *content)

func (c *content) get(key string) *item {
	it, _ := c.tree.Get(&item{key: key})
	return it
}

func (c *content) put(it *item) {
	old, replaced := c.tree.ReplaceOrInsert(it)
	if replaced {
		c.detach(old)
	}
	if l := c.leases[it.lease]; l != nil {
		l.keys[it.key] = true
	}
}

func (c *content) remove(key string) *item {
	old, found := c.tree.Delete(&item{key: key})
	if found {
		c.detach(old)
	}
	return old
}

func (c *content) detach(it *item) {
	if l := c.leases[it.lease]; l != nil {
		delete(l.keys, it.key)
	}
}

// restore puts a key back to what it was.
func (c *content) restore(key string, old *item) {
	if old == nil {
		c.remove(key)
		return
	}
	c.put(old)
}

// apply makes the changes of one commit. Where undos is given, it takes what undoes them.
func (c *content) apply(revision uint64, changes []change, undos *[]undo) {
	was := c.revision
	c.revision = revision
	if undos != nil {
		*undos = append(*undos, func(c *content) { c.revision = was })
	}
	for _, ch := range changes {
		var old *item
		if ch.drop {
			if old = c.remove(ch.key); old == nil {
				continue
			}
		} else {
			old = c.get(ch.key)
			c.put(newItem(ch.key, ch.value, revision, ch.lease))
		}
		c.tell(event{drop: ch.drop, key: ch.key, value: ch.value, mark: revision})
		if undos != nil {
			key := ch.key
			*undos = append(*undos, func(c *content) {
				c.restore(key, old)
				c.events = c.events[:max(len(c.events)-1, 0)]
			})
		}
	}
}

func (c *content) tell(e event) {
	c.events = append(c.events, e)
	if len(c.events) > 2*watchable {
		cut := len(c.events) - watchable
		// A commit's changes have one mark: they are kept or cut off together.
		c.floor = c.events[cut-1].mark
		for cut < len(c.events) && c.events[cut].mark == c.floor {
			cut++
		}
		c.events = slices.Clone(c.events[cut:])
	}
}

func (c *content) grant(id uint64, ttl time.Duration, now time.Time, undos *[]undo) {
	was := c.granted
	c.granted = max(c.granted, id)
	c.leases[id] = &lease{id: id, ttl: ttl, ends: now.Add(ttl), keys: map[string]bool{}}
	if undos != nil {
		*undos = append(*undos, func(c *content) {
			delete(c.leases, id)
			c.granted = was
		})
	}
}

// end ends a lease and removes its keys under the revision.
func (c *content) end(id, revision uint64, undos *[]undo) {
	l := c.leases[id]
	if l == nil {
		return
	}
	if len(l.keys) > 0 {
		keys := make([]string, 0, len(l.keys))
		for k := range l.keys {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		changes := make([]change, 0, len(keys))
		for _, k := range keys {
			changes = append(changes, change{drop: true, key: k})
		}
		c.apply(revision, changes, undos)
	}
	delete(c.leases, id)
	if undos != nil {
		// Undone first, so that its keys find it.
		*undos = append(*undos, func(c *content) { c.leases[id] = l })
	}
}

// rewind undoes in reverse order.
func (c *content) rewind(undos []undo) {
	for i := len(undos) - 1; i >= 0; i-- {
		undos[i](c)
	}
}

// since gives the events of a prefix after a revision; ok is false if they are not all kept.
func (c *content) since(revision uint64, prefix string) (found []event, ok bool) {
	if revision < c.floor {
		return nil, false
	}
	i := sort.Search(len(c.events), func(i int) bool { return c.events[i].mark > revision })
	for _, e := range c.events[i:] {
		if strings.HasPrefix(e.key, prefix) {
			found = append(found, e)
		}
	}
	return found, true
}

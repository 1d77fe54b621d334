package kvserver

import (
	"slices"
	"sort"
	"strings"
	"time"

	"gullrudder/internal/wire/codec"

	"github.com/google/btree"
)

// item is a key with its value. Items are never changed, only replaced: a snapshot may still
// read them.
type item struct {
	key         string
	value       []byte
	modRevision uint64
	leaseID     uint64
	jsonBytes   int // JSON bytes of the value
}

func newItem(key string, value []byte, modRevision, leaseID uint64) *item {
	return &item{key: key, value: value, modRevision: modRevision, leaseID: leaseID, jsonBytes: codec.JSONSize(value)}
}

func keyLess(a, b *item) bool { return a.key < b.key }

type change struct {
	isDelete bool
	key      string
	value    []byte
	leaseID  uint64
}

// event is a change as watchers see it.
type event struct {
	isDelete    bool
	key         string
	value       []byte
	modRevision uint64
}

type lease struct {
	id        uint64
	ttl       time.Duration
	expiresAt time.Time // not kept: a lease has its full time after a restart
	keys      map[string]bool
}

// retainedEvents is how many changes are kept for watchers.
const retainedEvents = 10_000

// keyspace is what a store holds.
type keyspace struct {
	tree              *btree.BTreeG[*item]
	leases            map[uint64]*lease
	revision          uint64
	lastLeaseID       uint64 // the last id of a lease
	events            []event
	compactedRevision uint64 // changes up to this revision are not among the events
}

// btreeDegree of the tree: a commit copies a path of it while a snapshot reads the rest.
const btreeDegree = 32

func newKeyspace() *keyspace {
	return &keyspace{tree: btree.NewG(btreeDegree, keyLess), leases: map[uint64]*lease{}}
}

// undoFunc takes a change back, if what was to keep it has failed.
type undoFunc func(c *keyspace)

func (c *keyspace) get(key string) *item {
	it, _ := c.tree.Get(&item{key: key})
	return it
}

func (c *keyspace) put(it *item) {
	old, replaced := c.tree.ReplaceOrInsert(it)
	if replaced {
		c.detachFromLease(old)
	}
	if l := c.leases[it.leaseID]; l != nil {
		l.keys[it.key] = true
	}
}

func (c *keyspace) remove(key string) *item {
	old, found := c.tree.Delete(&item{key: key})
	if found {
		c.detachFromLease(old)
	}
	return old
}

func (c *keyspace) detachFromLease(it *item) {
	if l := c.leases[it.leaseID]; l != nil {
		delete(l.keys, it.key)
	}
}

// restoreItem puts a key back to what it was.
func (c *keyspace) restoreItem(key string, previous *item) {
	if previous == nil {
		c.remove(key)
		return
	}
	c.put(previous)
}

// apply makes the changes of one commit. Where undos is given, it takes what undoes them.
func (c *keyspace) apply(revision uint64, changes []change, undos *[]undoFunc) {
	previousRevision := c.revision
	c.revision = revision
	if undos != nil {
		*undos = append(*undos, func(c *keyspace) { c.revision = previousRevision })
	}
	for _, ch := range changes {
		var previous *item
		if ch.isDelete {
			if previous = c.remove(ch.key); previous == nil {
				continue
			}
		} else {
			previous = c.get(ch.key)
			c.put(newItem(ch.key, ch.value, revision, ch.leaseID))
		}
		c.appendEvent(event{isDelete: ch.isDelete, key: ch.key, value: ch.value, modRevision: revision})
		if undos != nil {
			key := ch.key
			*undos = append(*undos, func(c *keyspace) {
				c.restoreItem(key, previous)
				c.events = c.events[:max(len(c.events)-1, 0)]
			})
		}
	}
}

func (c *keyspace) appendEvent(e event) {
	c.events = append(c.events, e)
	if len(c.events) > 2*retainedEvents {
		cut := len(c.events) - retainedEvents
		// A commit's changes have one mark: they are kept or cut off together.
		c.compactedRevision = c.events[cut-1].modRevision
		for cut < len(c.events) && c.events[cut].modRevision == c.compactedRevision {
			cut++
		}
		c.events = slices.Clone(c.events[cut:])
	}
}

func (c *keyspace) addLease(id uint64, ttl time.Duration, now time.Time, undos *[]undoFunc) {
	previousLeaseID := c.lastLeaseID
	c.lastLeaseID = max(c.lastLeaseID, id)
	c.leases[id] = &lease{id: id, ttl: ttl, expiresAt: now.Add(ttl), keys: map[string]bool{}}
	if undos != nil {
		*undos = append(*undos, func(c *keyspace) {
			delete(c.leases, id)
			c.lastLeaseID = previousLeaseID
		})
	}
}

// removeLease ends a lease and removes its keys under the revision.
func (c *keyspace) removeLease(id, revision uint64, undos *[]undoFunc) {
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
			changes = append(changes, change{isDelete: true, key: k})
		}
		c.apply(revision, changes, undos)
	}
	delete(c.leases, id)
	if undos != nil {
		// Undone first, so that its keys find it.
		*undos = append(*undos, func(c *keyspace) { c.leases[id] = l })
	}
}

// undoAll undoes in reverse order.
func (c *keyspace) undoAll(undos []undoFunc) {
	for i := len(undos) - 1; i >= 0; i-- {
		undos[i](c)
	}
}

// eventsSince gives the events of a prefix after a revision; ok is false if they are not all kept.
func (c *keyspace) eventsSince(revision uint64, prefix string) (found []event, ok bool) {
	if revision < c.compactedRevision {
		return nil, false
	}
	i := sort.Search(len(c.events), func(i int) bool { return c.events[i].modRevision > revision })
	for _, e := range c.events[i:] {
		if strings.HasPrefix(e.key, prefix) {
			found = append(found, e)
		}
	}
	return found, true
}

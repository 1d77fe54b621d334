package kvserver

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"gullrudder/internal/wire/codec"

	"github.com/google/btree"
)

const (
	// retainedEvents is the minimum number of past changes that are kept for watches. Older ones are dropped once there are twice
	// as many.
	retainedEvents = 10_000
	// btreeDegree is the degree of the tree of keys. While a snapshot reads the tree, a commit copies the nodes on the path that it
	// changes.
	btreeDegree = 32
)

// item is a key with its value. Items are immutable and only replaced as a whole, since a snapshot may still read them.
type item struct {
	key         string
	value       []byte
	modRevision uint64 // revision of its last change
	leaseID     uint64 // the key is deleted when this lease ends; 0: none
	jsonBytes   int    // size of the value as JSON
}

func newItem(key string, value []byte, modRevision, leaseID uint64) *item {
	return &item{key: key, value: value, modRevision: modRevision, leaseID: leaseID, jsonBytes: codec.JSONSize(value)}
}

func keyLess(a, b *item) bool { return a.key < b.key }

// change is a key that is written or deleted.
type change struct {
	isDelete bool
	key      string
	value    []byte
	leaseID  uint64
}

// event is a change as it is sent to watches.
type event struct {
	isDelete    bool
	key         string
	value       []byte
	modRevision uint64
}

type lease struct {
	id        uint64
	ttl       time.Duration
	expiresAt time.Time // not durable: after a restart a lease has its full time to live
	keys      map[string]bool
}

// keyspace is the content of a store. Invariants: the revision increases with every commit; a lease's keys are exactly the items with
// its ID; an item's lease exists, or has existed.
type keyspace struct {
	tree              *btree.BTreeG[*item]
	leases            map[uint64]*lease // by ID
	revision          uint64
	lastLeaseID       uint64
	events            []event // in the order of their revisions
	compactedRevision uint64  // events up to this revision are not retained
}

// undoFunc reverts a change that was not made durable.
type undoFunc func(k *keyspace)

func newKeyspace() *keyspace {
	return &keyspace{tree: btree.NewG(btreeDegree, keyLess), leases: map[uint64]*lease{}}
}

func (k *keyspace) get(key string) *item {
	it, _ := k.tree.Get(&item{key: key})
	return it
}

func (k *keyspace) put(it *item) {
	if previous, replaced := k.tree.ReplaceOrInsert(it); replaced {
		k.detachFromLease(previous)
	}
	if l := k.leases[it.leaseID]; l != nil {
		l.keys[it.key] = true
	}
}

// remove deletes a key and returns its item, or nil if the key does not exist.
func (k *keyspace) remove(key string) *item {
	previous, found := k.tree.Delete(&item{key: key})
	if found {
		k.detachFromLease(previous)
	}
	return previous
}

func (k *keyspace) detachFromLease(it *item) {
	if l := k.leases[it.leaseID]; l != nil {
		delete(l.keys, it.key)
	}
}

// restoreItem restores the previous item of a key. If previous is nil the key did not exist, and is deleted.
func (k *keyspace) restoreItem(key string, previous *item) {
	if previous == nil {
		k.remove(key)
		return
	}
	k.put(previous)
}

// apply applies the changes of one commit. It appends functions that revert them to undos, unless that is nil.
func (k *keyspace) apply(revision uint64, changes []change, undos *[]undoFunc) {
	previousRevision := k.revision
	k.revision = revision
	if undos != nil {
		*undos = append(*undos, func(k *keyspace) { k.revision = previousRevision })
	}
	for _, c := range changes {
		k.applyChange(revision, c, undos)
	}
}

func (k *keyspace) applyChange(revision uint64, edit change, undos *[]undoFunc) {
	var previous *item
	if edit.isDelete {
		if previous = k.remove(edit.key); previous == nil {
			return
		}
	} else {
		previous = k.get(edit.key)
		k.put(newItem(edit.key, edit.value, revision, edit.leaseID))
	}
	k.appendEvent(event{isDelete: edit.isDelete, key: edit.key, value: edit.value, modRevision: revision})
	if undos != nil {
		*undos = append(*undos, func(k *keyspace) {
			k.restoreItem(edit.key, previous)
			k.events = k.events[:max(len(k.events)-1, 0)]
		})
	}
}

func (k *keyspace) appendEvent(e event) {
	k.events = append(k.events, e)
	if len(k.events) <= 2*retainedEvents {
		return
	}
	cut := len(k.events) - retainedEvents
	// The changes of a commit have the same revision and are dropped together.
	k.compactedRevision = k.events[cut-1].modRevision
	for cut < len(k.events) && k.events[cut].modRevision == k.compactedRevision {
		cut++
	}
	k.events = slices.Clone(k.events[cut:])
}

func (k *keyspace) addLease(id uint64, ttl time.Duration, now time.Time, undos *[]undoFunc) {
	previousLastLeaseID := k.lastLeaseID
	k.lastLeaseID = max(k.lastLeaseID, id)
	k.leases[id] = &lease{id: id, ttl: ttl, expiresAt: now.Add(ttl), keys: map[string]bool{}}
	if undos != nil {
		*undos = append(*undos, func(k *keyspace) {
			delete(k.leases, id)
			k.lastLeaseID = previousLastLeaseID
		})
	}
}

// removeLease ends a lease and deletes its keys at the revision, in ascending order.
func (k *keyspace) removeLease(leaseID, revision uint64, undos *[]undoFunc) {
	l := k.leases[leaseID]
	if l == nil {
		return
	}
	if len(l.keys) > 0 {
		changes := make([]change, 0, len(l.keys))
		for _, key := range slices.Sorted(maps.Keys(l.keys)) {
			changes = append(changes, change{isDelete: true, key: key})
		}
		k.apply(revision, changes, undos)
	}
	delete(k.leases, leaseID)
	if undos != nil {
		// This function runs before those that restore the keys: put attaches a key to its lease, which has to exist by then.
		*undos = append(*undos, func(k *keyspace) { k.leases[leaseID] = l })
	}
}

// undoAll calls the functions in reverse order.
func (k *keyspace) undoAll(undos []undoFunc) {
	for _, undo := range slices.Backward(undos) {
		undo(k)
	}
}

// eventsSince returns the events of keys with a prefix after a revision; ok is false if not all of them are retained.
func (k *keyspace) eventsSince(revision uint64, prefix string) (found []event, ok bool) {
	if revision < k.compactedRevision {
		return nil, false
	}
	first := sort.Search(len(k.events), func(i int) bool { return k.events[i].modRevision > revision })
	for _, e := range k.events[first:] {
		if strings.HasPrefix(e.key, prefix) {
			found = append(found, e)
		}
	}
	return found, true
}

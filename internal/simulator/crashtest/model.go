// Package crashtest runs the key-value store on a faulty disk, crashes it at every operation, and
// compares what it recovers with a simple model of what was acknowledged.
package crashtest

import (
	"fmt"
	"maps"
	"slices"
	"sort"

	"gullrudder/internal/site/kvserver"
)

// Model is a simple model of the key-value store.
type Model struct {
	Keys        map[string]ModelKey
	Leases      map[uint64]bool
	Revision    uint64
	LastLeaseID uint64
}

// ModelKey is a key of the model.
type ModelKey struct {
	Value       string
	ModRevision uint64
	LeaseID     uint64
}

// Precondition of a transaction: the key still has the mod revision, 0 if it must not exist.
type Precondition struct {
	Key         string
	ModRevision uint64
}

// Operation of a transaction: a write, or a drop if the value is empty.
type Operation struct {
	Key, Value string
	LeaseID    uint64
}

// NewModel returns the model of an empty store.
func NewModel() *Model { return &Model{Keys: map[string]ModelKey{}, Leases: map[uint64]bool{}} }

// Clone returns a copy that shares nothing with the model.
func (p *Model) Clone() *Model {
	return &Model{maps.Clone(p.Keys), maps.Clone(p.Leases), p.Revision, p.LastLeaseID}
}

// Commit applies a transaction and returns the response that the store has to give.
func (p *Model) Commit(guards []Precondition, ops []Operation) (status int, failed []string) {
	for _, o := range ops {
		if o.LeaseID != 0 && !p.Leases[o.LeaseID] {
			return 400, nil
		}
	}
	for _, g := range guards {
		if p.Keys[g.Key].ModRevision != g.ModRevision {
			failed = append(failed, g.Key)
		}
	}
	if failed != nil {
		return 409, failed
	}
	if len(ops) > 0 {
		p.Revision++
	}
	for _, o := range ops {
		if o.Value == "" {
			delete(p.Keys, o.Key)
		} else {
			p.Keys[o.Key] = ModelKey{o.Value, p.Revision, o.LeaseID}
		}
	}
	return 200, nil
}

// GrantLease grants the next lease.
func (p *Model) GrantLease() uint64 {
	p.LastLeaseID++
	p.Leases[p.LastLeaseID] = true
	return p.LastLeaseID
}

// EndLease ends a lease and removes the keys that are attached to it.
func (p *Model) EndLease(id uint64) {
	if !p.Leases[id] {
		return
	}
	delete(p.Leases, id)
	any := false
	for k, v := range p.Keys {
		if v.LeaseID == id {
			delete(p.Keys, k)
			any = true
		}
	}
	if any {
		p.Revision++
	}
}

// SortedKeys lists the keys with a prefix that come after a key.
func (p *Model) SortedKeys(prefix, from string) []string {
	var list []string
	for k := range p.Keys {
		if len(k) >= len(prefix) && k[:len(prefix)] == prefix && k > from {
			list = append(list, k)
		}
	}
	sort.Strings(list)
	return list
}

// Difference describes how a store differs from the model, empty if it does not.
func (p *Model) Difference(s *kvserver.State) string {
	if s.Revision() != p.Revision || s.LastLeaseID() != p.LastLeaseID {
		return fmt.Sprintf("revision %d and %d leases granted, want %d and %d", s.Revision(), s.LastLeaseID(), p.Revision, p.LastLeaseID)
	}
	seen := 0
	why := ""
	s.ForEachKey(func(key string, value []byte, modRevision, lease uint64) {
		seen++
		want, ok := p.Keys[key]
		if got := (ModelKey{decodeText(value), modRevision, lease}); why == "" && (!ok || got != want) {
			why = fmt.Sprintf("%s is %+v, want %+v (%v)", key, got, want, ok)
		}
	})
	if why == "" && seen != len(p.Keys) {
		why = fmt.Sprintf("%d keys, want %d", seen, len(p.Keys))
	}
	if got, want := s.LeaseIDs(), slices.Sorted(maps.Keys(p.Leases)); why == "" && !slices.Equal(got, want) {
		why = fmt.Sprintf("leases %v, want %v", got, want)
	}
	return why
}

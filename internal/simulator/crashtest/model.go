// Package crashtest runs the key-value store on a faulty disk, crashes it at every operation, and
// compares what it recovers with a simple model of what was acknowledged.
package crashtest

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strings"

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
func (m *Model) Clone() *Model {
	return &Model{maps.Clone(m.Keys), maps.Clone(m.Leases), m.Revision, m.LastLeaseID}
}

// Commit applies a transaction and returns the response that the store has to give.
func (m *Model) Commit(preconditions []Precondition, operations []Operation) (status int, failed []string) {
	for _, operation := range operations {
		if operation.LeaseID != 0 && !m.Leases[operation.LeaseID] {
			return http.StatusBadRequest, nil
		}
	}
	for _, precondition := range preconditions {
		if m.Keys[precondition.Key].ModRevision != precondition.ModRevision {
			failed = append(failed, precondition.Key)
		}
	}
	if failed != nil {
		return http.StatusConflict, failed
	}
	if len(operations) > 0 {
		m.Revision++
	}
	for _, operation := range operations {
		if operation.Value == "" {
			delete(m.Keys, operation.Key)
		} else {
			m.Keys[operation.Key] = ModelKey{operation.Value, m.Revision, operation.LeaseID}
		}
	}
	return http.StatusOK, nil
}

// GrantLease grants the next lease.
func (m *Model) GrantLease() uint64 {
	m.LastLeaseID++
	m.Leases[m.LastLeaseID] = true
	return m.LastLeaseID
}

// EndLease ends a lease and removes the keys that are attached to it.
func (m *Model) EndLease(leaseID uint64) {
	if !m.Leases[leaseID] {
		return
	}
	delete(m.Leases, leaseID)
	hasKeys := false
	for name, key := range m.Keys {
		if key.LeaseID == leaseID {
			delete(m.Keys, name)
			hasKeys = true
		}
	}
	if hasKeys {
		m.Revision++
	}
}

// SortedKeys lists the keys with a prefix that come after a key.
func (m *Model) SortedKeys(prefix, from string) []string {
	var keys []string
	for key := range m.Keys {
		if strings.HasPrefix(key, prefix) && key > from {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// Difference describes how a store differs from the model, empty if it does not.
func (m *Model) Difference(state *kvserver.State) string {
	if state.Revision() != m.Revision || state.LastLeaseID() != m.LastLeaseID {
		return fmt.Sprintf("revision %d and %d leases granted, want %d and %d",
			state.Revision(), state.LastLeaseID(), m.Revision, m.LastLeaseID)
	}
	seen := 0
	why := ""
	state.ForEachKey(func(key string, value []byte, modRevision, lease uint64) {
		seen++
		want, ok := m.Keys[key]
		if got := (ModelKey{decodeText(value), modRevision, lease}); why == "" && (!ok || got != want) {
			why = fmt.Sprintf("%s is %+v, want %+v (%v)", key, got, want, ok)
		}
	})
	if why == "" && seen != len(m.Keys) {
		why = fmt.Sprintf("%d keys, want %d", seen, len(m.Keys))
	}
	if got, want := state.LeaseIDs(), slices.Sorted(maps.Keys(m.Leases)); why == "" && !slices.Equal(got, want) {
		why = fmt.Sprintf("leases %v, want %v", got, want)
	}
	return why
}

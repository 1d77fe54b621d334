// Package crashtest runs the key-value store on a faulty disk and crashes it at every disk operation. It compares the
// recovered state with a simple model of the acknowledged transactions.
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

// Model is the state that the key-value store is expected to have. It is not safe for concurrent use.
type Model struct {
	Keys        map[string]ModelKey
	Leases      map[uint64]bool // IDs of the leases that have not ended
	Revision    uint64          // of the last change of a key; 0 for an empty store
	LastLeaseID uint64          // ID of the lease granted last; 0 if none was granted
}

// ModelKey is the value of a key with its metadata.
type ModelKey struct {
	Value       string
	ModRevision uint64 // revision of the transaction that last wrote the key
	LeaseID     uint64 // lease that the key is attached to; 0 if none
}

// Precondition of a transaction: the key has this mod revision. 0 means that the key must not exist.
type Precondition struct {
	Key         string
	ModRevision uint64
}

// Operation of a transaction. It writes the key, or deletes it if the value is empty.
type Operation struct {
	Key, Value string
	LeaseID    uint64 // lease that a written key is attached to; 0 for none
}

// NewModel returns the model of an empty store.
func NewModel() *Model { return &Model{Keys: map[string]ModelKey{}, Leases: map[uint64]bool{}} }

// Clone returns a deep copy.
func (m *Model) Clone() *Model {
	return &Model{maps.Clone(m.Keys), maps.Clone(m.Leases), m.Revision, m.LastLeaseID}
}

// Commit applies a transaction and returns the expected response of the store: the HTTP status and, with status 409, the
// keys whose preconditions failed. The model changes only with status 200.
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

// GrantLease grants a lease and returns its ID, which is the previous ID plus one.
func (m *Model) GrantLease() uint64 {
	m.LastLeaseID++
	m.Leases[m.LastLeaseID] = true
	return m.LastLeaseID
}

// EndLease ends a lease and deletes the keys attached to it. It does nothing if the lease does not exist.
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

// SortedKeys returns the keys with a prefix that sort after another key, in ascending order.
func (m *Model) SortedKeys(prefix, after string) []string {
	var keys []string
	for key := range m.Keys {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// Difference describes the first difference between a store and the model. It is empty if they are equal.
func (m *Model) Difference(state *kvserver.State) string {
	if state.Revision() != m.Revision || state.LastLeaseID() != m.LastLeaseID {
		return fmt.Sprintf("revision and last lease ID: got %d and %d, want %d and %d",
			state.Revision(), state.LastLeaseID(), m.Revision, m.LastLeaseID)
	}
	keyCount := 0
	difference := ""
	state.ForEachKey(func(key string, value []byte, modRevision, lease uint64) {
		keyCount++
		want, ok := m.Keys[key]
		if got := (ModelKey{decodeText(value), modRevision, lease}); difference == "" && (!ok || got != want) {
			difference = fmt.Sprintf("key %s: got %+v, want %+v (key expected: %v)", key, got, want, ok)
		}
	})
	if difference == "" && keyCount != len(m.Keys) {
		difference = fmt.Sprintf("number of keys: got %d, want %d", keyCount, len(m.Keys))
	}
	if got, want := state.LeaseIDs(), slices.Sorted(maps.Keys(m.Leases)); difference == "" && !slices.Equal(got, want) {
		difference = fmt.Sprintf("leases: got %v, want %v", got, want)
	}
	return difference
}

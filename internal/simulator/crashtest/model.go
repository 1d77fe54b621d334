// Package crashtest plays a store on a disk that loses what it may, ends it at every operation, and
// compares what comes back with a slow plain history of what was answered.
package crashtest

import (
	"fmt"
	"maps"
	"slices"
	"sort"

	"gullrudder/internal/site/kvserver"
)

// Plain is the plain model of a store: maps, and nothing else.
type Plain struct {
	Keys     map[string]PlainKey
	Leases   map[uint64]bool
	Revision uint64
	Granted  uint64
}

// PlainKey is a key of the model.
type PlainKey struct {
	Value string
	Mark  uint64
	Lease uint64
}

// Guard is a condition of a commit.
type Guard struct {
	Key  string
	Mark uint64
}

// Op is a change of a commit: a write, or a drop if there is no value.
type Op struct {
	Key, Value string
	Lease      uint64
}

// NewPlain is an empty store.
func NewPlain() *Plain { return &Plain{Keys: map[string]PlainKey{}, Leases: map[uint64]bool{}} }

// Clone copies it.
func (p *Plain) Clone() *Plain {
	return &Plain{maps.Clone(p.Keys), maps.Clone(p.Leases), p.Revision, p.Granted}
}

// Commit is what a commit has to be answered with.
func (p *Plain) Commit(guards []Guard, ops []Op) (status int, failed []string) {
	for _, o := range ops {
		if o.Lease != 0 && !p.Leases[o.Lease] {
			return 400, nil
		}
	}
	for _, g := range guards {
		if p.Keys[g.Key].Mark != g.Mark {
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
			p.Keys[o.Key] = PlainKey{o.Value, p.Revision, o.Lease}
		}
	}
	return 200, nil
}

// Grant begins a lease.
func (p *Plain) Grant() uint64 {
	p.Granted++
	p.Leases[p.Granted] = true
	return p.Granted
}

// End ends a lease and removes its keys.
func (p *Plain) End(id uint64) {
	if !p.Leases[id] {
		return
	}
	delete(p.Leases, id)
	any := false
	for k, v := range p.Keys {
		if v.Lease == id {
			delete(p.Keys, k)
			any = true
		}
	}
	if any {
		p.Revision++
	}
}

// Sorted lists the keys below a prefix, after a key.
func (p *Plain) Sorted(prefix, from string) []string {
	var list []string
	for k := range p.Keys {
		if len(k) >= len(prefix) && k[:len(prefix)] == prefix && k > from {
			list = append(list, k)
		}
	}
	sort.Strings(list)
	return list
}

// Differs says how a store differs from the model, empty if it does not.
func (p *Plain) Differs(s *kvserver.State) string {
	if s.Revision() != p.Revision || s.LastLeaseID() != p.Granted {
		return fmt.Sprintf("revision %d and %d leases granted, want %d and %d", s.Revision(), s.LastLeaseID(), p.Revision, p.Granted)
	}
	seen := 0
	why := ""
	s.ForEachKey(func(key string, value []byte, mark, lease uint64) {
		seen++
		want, ok := p.Keys[key]
		if got := (PlainKey{text(value), mark, lease}); why == "" && (!ok || got != want) {
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

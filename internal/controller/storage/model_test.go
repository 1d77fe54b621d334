package storage

import (
	"encoding/json"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"

	"github.com/vmihailenco/msgpack/v5"
)

// modelStore is a model of the state service that has only preconditions and limits.
type modelStore struct {
	revision       uint64
	pages          map[string]pageValue
	modRevisions   map[string]uint64
	leaderRevision uint64
	valueBytes     int
	maxOps         int
}

func (s *modelStore) commit(body commitBody) (int, any) {
	if len(body.Apply) > s.maxOps {
		return 400, nil
	}
	for _, a := range body.Apply {
		if jsonSize(a.Value) > s.valueBytes {
			return 400, nil
		}
	}
	for _, g := range body.Guards {
		modRevision := s.modRevisions[g.Path]
		if g.Path == "leader" {
			modRevision = s.leaderRevision
		}
		if modRevision != g.ModRevision {
			return 409, map[string]any{"failed": []string{g.Path}, "tide": s.revision}
		}
	}
	s.revision++
	for _, a := range body.Apply {
		s.pages[a.Write], s.modRevisions[a.Write] = a.Value, s.revision
	}
	return 200, map[string]any{"tide": s.revision}
}

// jsonSize is the JSON size of a page as the service counts it.
func jsonSize(stored pageValue) int {
	plain := map[string]any{"n": stored.Sequence, "l": stored.Leader}
	entries := map[string]any{}
	for name, raw := range stored.Entries {
		var x any
		if msgpack.Unmarshal(raw, &x) != nil {
			return 1 << 30
		}
		entries[name] = x
	}
	plain["e"] = entries
	text, err := json.Marshal(plain)
	if err != nil {
		return 1 << 30
	}
	return len(text)
}

// readEntries reads the entries as a leader does: pages in the order of their keys, and of two entries of a name the last.
func (s *modelStore) readEntries(t fataler) (entries map[string]int, twice bool) {
	entries = map[string]int{}
	for _, key := range slices.Sorted(maps.Keys(s.pages)) {
		for name, raw := range s.pages[key].Entries {
			var v padded
			if err := msgpack.Unmarshal(raw, &v); err != nil {
				t.Fatal(err)
			}
			_, before := entries[name]
			twice = twice || before
			entries[name] = v.N
		}
	}
	return entries, twice
}

// newLeader returns the store of a new leader, which has loaded all pages.
func (s *modelStore) newLeader(t fataler, now time.Time, outbox *client.Outbox, valueBytes, ops int) *Store {
	outbox.TakeCalls()
	s.revision++
	s.leaderRevision = s.revision
	options := Options{LeaderKey: "leader", MaxValueBytes: valueBytes, MaxTransactionOps: ops, WriteRate: 50}
	l := New(options, s.leaderRevision, slog.New(slog.DiscardHandler))
	l.Load(outbox)
	for _, c := range outbox.TakeCalls() {
		c.Done(now, s.serve(t, c))
	}
	return l
}

func (s *modelStore) serve(t fataler, call client.Call) client.Result {
	status, body := 404, any(map[string]any{"tide": s.revision})
	path := strings.TrimPrefix(call.Path, "/keys/")
	switch {
	case call.Method == http.MethodPost:
		status, body = s.commit(decodeCommitCall(t, call))
	case strings.Contains(call.Path, "starts=page"):
		var rows []any
		for _, key := range slices.Sorted(maps.Keys(s.pages)) {
			rows = append(rows, map[string]any{"path": key, "value": s.pages[key], "mark": s.modRevisions[key]})
		}
		status, body = 200, map[string]any{"entries": rows, "has_next": false}
	case strings.HasPrefix(call.Path, "/keys?"):
		status, body = 200, map[string]any{"entries": []any{}, "has_next": false}
	case path == "leader":
		status, body = 200, map[string]any{"path": path, "value": "n", "mark": s.leaderRevision}
	case s.modRevisions[path] > 0:
		status, body = 200, map[string]any{"path": path, "value": s.pages[path], "mark": s.modRevisions[path]}
	}
	raw, err := codec.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	return client.Result{Status: status, Body: raw}
}

// padded is a value that takes some room.
type padded struct {
	N    int    `msgpack:"n" json:"n"`
	Room string `msgpack:"r" json:"r"`
}

// Limits of the model before and after they are lowered.
const (
	oldValueBytes, oldTxnOps = 8192, 8
	newValueBytes, newTxnOps = 1024, 4
)

func newModelStore() *modelStore {
	return &modelStore{
		pages: map[string]pageValue{}, modRevisions: map[string]uint64{}, valueBytes: oldValueBytes, maxOps: oldTxnOps, revision: 5,
	}
}

func (s *modelStore) lowerLimits() { s.valueBytes, s.maxOps = newValueBytes, newTxnOps }

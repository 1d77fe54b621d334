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

// modelStore is a model of the state service. It implements reads, commits with preconditions, and limits.
type modelStore struct {
	revision       uint64
	pages          map[string]pageValue
	modRevisions   map[string]uint64
	leaderRevision uint64
	valueBytes     int
	maxOps         int
}

func (s *modelStore) commit(body commitBody) (int, any) {
	if len(body.Operations) > s.maxOps {
		return 400, nil
	}
	for _, operation := range body.Operations {
		if jsonSize(operation.Value) > s.valueBytes {
			return 400, nil
		}
	}
	for _, precondition := range body.Preconditions {
		modRevision := s.modRevisions[precondition.Key]
		if precondition.Key == "leader" {
			modRevision = s.leaderRevision
		}
		if modRevision != precondition.ModRevision {
			return 409, map[string]any{"failed": []string{precondition.Key}, "tide": s.revision}
		}
	}
	s.revision++
	for _, operation := range body.Operations {
		s.pages[operation.Write], s.modRevisions[operation.Write] = operation.Value, s.revision
	}
	return 200, map[string]any{"tide": s.revision}
}

// jsonSize returns the JSON size of a page as the state service counts it, or 1 << 30 if the page cannot be decoded.
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

// readEntries reads the entries as a leader does: pages in the order of their keys, the last of two entries with the same
// name is valid. duplicated reports whether there are two entries with the same name.
func (s *modelStore) readEntries(t fataler) (entries map[string]int, duplicated bool) {
	entries = map[string]int{}
	for _, key := range slices.Sorted(maps.Keys(s.pages)) {
		for name, raw := range s.pages[key].Entries {
			var v padded
			if err := msgpack.Unmarshal(raw, &v); err != nil {
				t.Fatal(err)
			}
			_, before := entries[name]
			duplicated = duplicated || before
			entries[name] = v.N
		}
	}
	return entries, duplicated
}

// newLeader returns the store of a new leader that has loaded all pages.
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

// padded is a value with padding of any length.
type padded struct {
	N       int    `msgpack:"n" json:"n"`
	Padding string `msgpack:"r" json:"r"`
}

// Limits of the model before and after lowerLimits.
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

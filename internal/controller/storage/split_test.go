package storage

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// modelStore is a state service without anything but guards and limits.
type modelStore struct {
	revision       uint64
	pages          map[string]pageValue
	modRevisions   map[string]uint64
	leaderRevision uint64
	valueBytes     int
	maxOps         int
}

func (s *modelStore) commit(c commitBody) (int, any) {
	if len(c.Apply) > s.maxOps {
		return 400, nil
	}
	for _, a := range c.Apply {
		if jsonSize(a.Value) > s.valueBytes {
			return 400, nil
		}
	}
	for _, g := range c.Guards {
		modRevision := s.modRevisions[g.Path]
		if g.Path == "leader" {
			modRevision = s.leaderRevision
		}
		if modRevision != g.Mark {
			return 409, map[string]any{"failed": []string{g.Path}, "tide": s.revision}
		}
	}
	s.revision++
	for _, a := range c.Apply {
		s.pages[a.Write], s.modRevisions[a.Write] = a.Value, s.revision
	}
	return 200, map[string]any{"tide": s.revision}
}

// jsonSize is the JSON size of a page as the service counts it.
func jsonSize(v pageValue) int {
	plain := map[string]any{"n": v.Sequence, "l": v.Leader}
	entries := map[string]any{}
	for name, raw := range v.Entries {
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

// readEntries is what a leader reads: pages in the order of their keys, and of two entries of a name the last.
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

// newLeader is the ledger of a new leader, which has read all.
func (s *modelStore) newLeader(t fataler, now time.Time, box *client.Outbox, valueBytes, ops int) *Store {
	box.TakeCalls()
	s.revision++
	s.leaderRevision = s.revision
	l := New(Options{LeaderKey: "leader", ValueBytes: valueBytes, TxnOps: ops, WriteRate: 50}, s.leaderRevision, slog.New(slog.DiscardHandler))
	l.Load(box)
	for _, c := range box.TakeCalls() {
		c.Done(now, s.serve(t, c))
	}
	return l
}

func (s *modelStore) serve(t fataler, c client.Call) client.Result {
	status, body := 404, any(map[string]any{"tide": s.revision})
	path := strings.TrimPrefix(c.Path, "/keys/")
	switch {
	case c.Method == http.MethodPost:
		status, body = s.commit(decodeCommitCall(t, c))
	case strings.Contains(c.Path, "starts=page"):
		var rows []any
		for _, key := range slices.Sorted(maps.Keys(s.pages)) {
			rows = append(rows, map[string]any{"path": key, "value": s.pages[key], "mark": s.modRevisions[key]})
		}
		status, body = 200, map[string]any{"entries": rows, "has_next": false}
	case strings.HasPrefix(c.Path, "/keys?"):
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

// Pages of an earlier version are larger than the limits that are to come. They are split, whatever answers are lost, when the limits
// fall in between and when leaders end: nothing that was durable is lost or becomes older, until the fall each entry is on one
// page, and in the end all pages are within the limits.
func TestPagesAreSplitForLowerLimits(t *testing.T) {
	fell, copied := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		service := &modelStore{pages: map[string]pageValue{}, modRevisions: map[string]uint64{}, valueBytes: 8192, maxOps: 8, revision: 5}
		now := time.Unix(1000, 0)
		durable, latest := map[string]int{}, map[string]int{}
		var box client.Outbox
		var store *Store
		changeLeader := func(valueBytes, ops int) {
			store = service.newLeader(t, now, &box, valueBytes, ops)
			entries, _ := service.readEntries(t)
			for name, n := range durable {
				if entries[name] < n {
					t.Fatalf("%s is %d, and %d was durable", name, entries[name], n)
				}
			}
			for name := range entries {
				store.Reserve(name, 150)
			}
		}
		set := func(name string) {
			latest[name]++
			n := latest[name]
			room := strings.Repeat("x", rapid.IntRange(0, 110).Draw(t, "room"))
			err := store.Set(now, name, padded{n, room}, 150, true, func(_ time.Time, ok bool) {
				if ok {
					durable[name] = max(durable[name], n)
				}
			})
			if err != nil {
				t.Fatal(err)
			}
		}
		var late []commitBody
		step := func(lossy bool) {
			now = now.Add(time.Duration(100+rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			store.Flush(now, &box)
			for _, c := range box.TakeCalls() {
				fate := 0
				if lossy && c.Method == http.MethodPost {
					fate = rapid.IntRange(0, 5).Draw(t, "fate")
				}
				switch fate {
				case 1: // executed, and the answer is lost
					service.serve(t, c)
					c.Done(now, client.Result{})
				case 2: // neither
					c.Done(now, client.Result{})
				case 3: // executed later
					late = append(late, decodeCommitCall(t, c))
					c.Done(now, client.Result{})
				default:
					c.Done(now, service.serve(t, c))
				}
			}
		}
		changeLeader(8192, 8)
		names := rapid.IntRange(20, 120).Draw(t, "names")
		for i := range names {
			set(fmt.Sprintf("job-%04d", i))
			if i%10 == 9 {
				step(false)
			}
		}
		for range 20 {
			step(false)
		}
		fallen := false
		changeLeader(1024, 4)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				if !fallen {
					fallen, service.valueBytes, service.maxOps = true, 1024, 4
					fell++
				}
			case 1:
				changeLeader(1024, 4)
			case 2:
				if len(late) > 0 {
					service.commit(late[0])
					late = late[1:]
				}
			case 3, 4, 5:
				set(fmt.Sprintf("job-%04d", rapid.IntRange(0, names+5).Draw(t, "name")))
			default:
				step(true)
			}
			if store.IsFenced() { // an answer was lost that cannot be told of: another leader reads anew
				changeLeader(1024, 4)
			}
			_, twice := service.readEntries(t)
			if twice && !fallen {
				t.Fatal("an entry is on two pages though the limits have not fallen")
			}
			if twice {
				copied++
			}
		}
		service.valueBytes, service.maxOps = 1024, 4
		for range 200 {
			if store.IsFenced() {
				changeLeader(1024, 4)
			}
			step(false)
		}
		changeLeader(1024, 4)
		for key, v := range service.pages {
			if n := jsonSize(v); n > 1024 {
				t.Fatalf("%s has %d bytes in the end", key, n)
			}
		}
		entries, twice := service.readEntries(t)
		if twice {
			t.Fatal("an entry is on two pages in the end")
		}
		for name, n := range durable {
			if entries[name] < n {
				t.Fatalf("%s is %d in the end, and %d was durable", name, entries[name], n)
			}
		}
	})
	if fell == 0 || copied == 0 {
		t.Errorf("the limits fell %d times, copies were seen %d times", fell, copied)
	}
}

// A copy that nobody answered is carried out late, after the next try: it changes nothing.
func TestLateCopyIsRefused(t *testing.T) {
	service := &modelStore{pages: map[string]pageValue{}, modRevisions: map[string]uint64{}, valueBytes: 8192, maxOps: 8, revision: 5}
	now := time.Unix(1000, 0)
	var box client.Outbox
	store := service.newLeader(t, now, &box, 8192, 8)
	for i := range 60 {
		if err := store.Set(now, fmt.Sprintf("job-%04d", i), padded{i, strings.Repeat("x", 100)}, 150, true, nil); err != nil {
			t.Fatal(err)
		}
	}
	var held *commitBody
	step := func(hold bool) {
		now = now.Add(time.Second)
		store.Flush(now, &box)
		for _, c := range box.TakeCalls() {
			if hold && c.Method == http.MethodPost && held == nil {
				if parsed := decodeCommitCall(t, c); len(parsed.Apply) > 1 {
					held = &parsed
					c.Done(now, client.Result{})
					continue
				}
			}
			c.Done(now, service.serve(t, c))
		}
	}
	for range 10 {
		step(false)
	}
	service.valueBytes, service.maxOps = 1024, 4
	store = service.newLeader(t, now, &box, 1024, 4)
	for i := 0; i < 10 && !store.splits.limitsLowered; i++ {
		step(false) // refused for its size
	}
	for i := 0; i < 10 && held == nil; i++ {
		step(true)
	}
	if held == nil {
		t.Fatal("no copy was sent")
	}
	pages := len(store.pages.byKey)
	for i := 0; i < 30 && len(store.pages.byKey) < pages+3; i++ { // it is read back, ruled out, and tried again
		step(false)
	}
	if status, _ := service.commit(*held); status != 409 {
		t.Errorf("carried out late it gets %d", status)
	}
	for range 30 {
		step(false)
	}
	if entries, twice := service.readEntries(t); twice || len(entries) != 60 {
		t.Errorf("%d entries in the end, some twice: %v", len(entries), twice)
	}
}

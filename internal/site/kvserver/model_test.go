package kvserver_test

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/url"
	"slices"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/simulator/crashtest"
	"gullrudder/internal/simulator/faultydisk"
	"gullrudder/internal/site/kvserver"
	"gullrudder/internal/wire/codec"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

func openEmpty(t interface{ Fatal(...any) }, opt config.KVServer, now time.Time) (*kvserver.State, *kvserver.Storage, *faultydisk.Disk) {
	files := faultydisk.New(rand.New(rand.NewPCG(1, 1)))
	state, disk, _, err := kvserver.Open(files, opt, now, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return state, disk, files
}

func get(target string) kvserver.Request { return kvserver.Request{Method: "GET", Target: target} }

func post(t interface{ Fatal(...any) }, target string, body any) kvserver.Request {
	raw, err := codec.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	return kvserver.Request{Method: "POST", Target: target, Body: raw}
}

func sendOne(t interface{ Fatalf(string, ...any) }, s *kvserver.State, now time.Time, r kvserver.Request) kvserver.Response {
	e := s.Step(now, []kvserver.Request{r})
	for _, reply := range e.Responses {
		if reply.Handle == r.Handle {
			return reply
		}
	}
	t.Fatalf("%s %s is not answered", r.Method, r.Target)
	return kvserver.Response{}
}

// decode reads an answer as it goes over the wire.
func decode(t interface{ Fatal(...any) }, r kvserver.Response, v any) {
	raw, err := codec.Marshal(r.Body)
	if err == nil {
		err = codec.Unmarshal(raw, v)
	}
	if err != nil {
		t.Fatal(err)
	}
}

type listResponse struct {
	Entries []struct {
		Key   string `msgpack:"path"`
		Value string `msgpack:"value"`
		Mark  uint64 `msgpack:"mark"`
	} `msgpack:"entries"`
	HasMore  bool   `msgpack:"has_next"`
	Revision uint64 `msgpack:"tide"`
}

type watchResponse struct {
	Revision uint64 `msgpack:"tide"`
	Events   []struct {
		Write string             `msgpack:"write"`
		Drop  string             `msgpack:"drop"`
		Value msgpack.RawMessage `msgpack:"value"`
		Mark  uint64             `msgpack:"mark"`
	} `msgpack:"log"`
}

// The store answers as the plain model does: commits with all their guards, keys, lists in any
// pages, and a watcher who follows the changes has the same keys as one who reads them.
func TestStateAgreesWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		s, _, _ := openEmpty(t, config.DefaultKVServer(), now)
		m := crashtest.NewPlain()
		seen, follow := map[string]uint64{}, uint64(0)
		key := rapid.Custom(func(t *rapid.T) string {
			return rapid.SampledFrom([]string{"a", "a/b", "a/c", "ab", "b/1", "b/10", "b/2", "ü"}).Draw(t, "key")
		})
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				id := m.Grant()
				var a struct {
					Lease uint64 `msgpack:"permit"`
				}
				decode(t, sendOne(t, s, now, post(t, "/leases", map[string]any{"ttl_ms": 60_000})), &a)
				if a.Lease != id {
					t.Fatalf("lease %d, want %d", a.Lease, id)
				}
			case 1:
				id := uint64(rapid.IntRange(1, 4).Draw(t, "lease"))
				want := 404
				if m.Leases[id] {
					want = 200
				}
				m.End(id)
				if r := sendOne(t, s, now, kvserver.Request{Method: "DELETE", Target: fmt.Sprintf("/leases/%d", id)}); r.Status != want {
					t.Fatalf("ending lease %d: %d, want %d", id, r.Status, want)
				}
			case 2:
				k := key.Draw(t, "key")
				r := sendOne(t, s, now, get("/keys/"+k))
				if there := m.Keys[k]; (there.Mark > 0) != (r.Status == 200) {
					t.Fatalf("%s: %d, want %+v", k, r.Status, there)
				}
			default:
				var guards []crashtest.Guard
				var ops []crashtest.Op
				for range rapid.IntRange(0, 3).Draw(t, "guards") {
					k := key.Draw(t, "guard")
					guards = append(guards, crashtest.Guard{Key: k, Mark: m.Keys[k].Mark + uint64(rapid.IntRange(0, 6).Draw(t, "off")/6)})
				}
				for range rapid.IntRange(0, 3).Draw(t, "ops") {
					o := crashtest.Op{Key: key.Draw(t, "op"), Value: rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "value")}
					if o.Value != "" {
						o.Lease = uint64(rapid.IntRange(-6, 4).Draw(t, "permit") + 6)
						if o.Lease <= 6 {
							o.Lease = 0
						} else {
							o.Lease -= 6
						}
					}
					ops = append(ops, o)
				}
				want, failed := m.Commit(guards, ops)
				r := sendOne(t, s, now, crashtest.Commit(guards, ops))
				var a struct {
					Failed   []string `msgpack:"failed"`
					Revision uint64   `msgpack:"tide"`
				}
				decode(t, r, &a)
				if r.Status != want || !slices.Equal(a.Failed, failed) || want != 400 && a.Revision != m.Revision {
					t.Fatalf("%+v %+v: %d %+v, want %d %v at %d", guards, ops, r.Status, a, want, failed, m.Revision)
				}
			}
			if why := m.Differs(s); why != "" {
				t.Fatal(why)
			}
			var w watchResponse
			decode(t, sendOne(t, s, now, get(fmt.Sprintf("/watch?starts=&from=%d", follow))), &w)
			for _, e := range w.Events {
				delete(seen, e.Drop)
				if e.Write != "" {
					seen[e.Write] = e.Mark
				}
			}
			follow = w.Revision
			if len(seen) != len(m.Keys) {
				t.Fatalf("a watcher knows %v, there are %v", seen, m.Keys)
			}
			for k, v := range m.Keys {
				if seen[k] != v.Mark {
					t.Fatalf("a watcher knows %s at %d, it is at %d", k, seen[k], v.Mark)
				}
			}
		}
		prefix := rapid.SampledFrom([]string{"", "a", "a/", "b/1", "c"}).Draw(t, "prefix")
		from := ""
		var got []string
		for {
			q := url.Values{"starts": {prefix}, "most": {"2"}, "from": {from}}
			var a listResponse
			decode(t, sendOne(t, s, now, get("/keys?"+q.Encode())), &a)
			for _, e := range a.Entries {
				got = append(got, e.Key)
				from = e.Key
			}
			if !a.HasMore {
				break
			}
		}
		if want := m.Sorted(prefix, ""); !slices.Equal(got, want) {
			t.Fatalf("%q lists %v, want %v", prefix, got, want)
		}
	})
}

// Requests over a limit or out of form change nothing and say so.
func TestProtocolLimits(t *testing.T) {
	now := time.Unix(100, 0)
	opt := config.DefaultKVServer()
	opt.MaxTransactionOps, opt.MaxValueBytes, opt.RequestRate, opt.WriteRate, opt.MaxWatches = 2, 1024, 100, 10, 1
	s, _, _ := openEmpty(t, opt, now)
	write := func(keys ...string) []any {
		var list []any
		for _, k := range keys {
			list = append(list, map[string]any{"write": k, "value": "v"})
		}
		return list
	}
	guards := make([]any, 9)
	for i := range guards {
		guards[i] = map[string]any{"path": fmt.Sprint(i), "mark": 0}
	}
	for name, c := range map[string]struct {
		r    kvserver.Request
		want int
	}{
		"three changes":        {post(t, "/commit", map[string]any{"apply": write("a", "b", "c")}), 400},
		"nine guards":          {post(t, "/commit", map[string]any{"guards": guards}), 400},
		"a large value":        {post(t, "/commit", map[string]any{"apply": []any{map[string]any{"write": "a", "value": strings.Repeat("x", 1100)}}}), 400},
		"escapes count":        {post(t, "/commit", map[string]any{"apply": []any{map[string]any{"write": "a", "value": strings.Repeat("\x01", 300)}}}), 400},
		"a space in a key":     {post(t, "/commit", map[string]any{"apply": write("a b")}), 400},
		"a long key":           {post(t, "/commit", map[string]any{"apply": write(strings.Repeat("k", 201))}), 400},
		"no value":             {post(t, "/commit", map[string]any{"apply": []any{map[string]any{"write": "a"}}}), 400},
		"write and drop":       {post(t, "/commit", map[string]any{"apply": []any{map[string]any{"write": "a", "drop": "b", "value": 1}}}), 400},
		"binary":               {kvserver.Request{Method: "POST", Target: "/commit", Body: []byte{0xc4, 1, 0}}, 400},
		"no such lease":        {post(t, "/commit", map[string]any{"guards": []any{map[string]any{"path": "a", "mark": 7}}, "apply": []any{map[string]any{"write": "a", "value": 1, "permit": 9}}}), 400},
		"a short lease":        {post(t, "/leases", map[string]any{"ttl_ms": 99}), 400},
		"a long wait":          {get("/watch?starts=&from=0&wait_ms=60001"), 400},
		"an unknown path":      {get("/other"), 400},
		"an unknown lease":     {post(t, "/leases/5/touch", nil), 404},
		"a key that is not":    {get("/keys/a"), 404},
		"nothing but a guard":  {post(t, "/commit", map[string]any{"guards": []any{map[string]any{"path": "a", "mark": 0}}}), 200},
		"a value of the limit": {post(t, "/commit", map[string]any{"apply": []any{map[string]any{"write": "z", "value": strings.Repeat("x", 1022)}}}), 200},
	} {
		now = now.Add(time.Second) // the rates allow it
		if r := sendOne(t, s, now, c.r); r.Status != c.want {
			t.Errorf("%s: %d, want %d: %+v", name, r.Status, c.want, r.Body)
		}
	}
	now = now.Add(time.Second)
	statuses := map[int]int{}
	for range 15 {
		statuses[sendOne(t, s, now, post(t, "/commit", map[string]any{"apply": write("a")})).Status]++
	}
	for range 100 {
		statuses[sendOne(t, s, now, get("/keys/zz")).Status]++
	}
	if statuses[200] != 10 || statuses[404] != 85 || statuses[429] != 20 {
		t.Errorf("with 10 changes and 100 requests a second: %v", statuses)
	}
}

// A watch waits until something of its prefix changes, sees nothing twice, and is told when what
// it asks for is not kept any more.
func TestWatches(t *testing.T) {
	now := time.Unix(100, 0)
	s, _, _ := openEmpty(t, config.DefaultKVServer(), now)
	commit := func(key string) uint64 {
		var a struct {
			Revision uint64 `msgpack:"tide"`
		}
		decode(t, sendOne(t, s, now, crashtest.Commit(nil, []crashtest.Op{{Key: key, Value: "v"}})), &a)
		return a.Revision
	}
	first := commit("a/1")
	watch := get(fmt.Sprintf("/watch?starts=a/&from=%d&wait_ms=5000", first))
	watch.Handle = "watcher"
	if e := s.Step(now, []kvserver.Request{watch}); len(e.Responses) != 0 {
		t.Fatal("answered though nothing has changed")
	}
	if e := s.Step(now, []kvserver.Request{crashtest.Commit(nil, []crashtest.Op{{Key: "b", Value: "v"}})}); len(e.Responses) != 1 {
		t.Fatal("answered for another prefix")
	}
	e := s.Step(now, []kvserver.Request{crashtest.Commit(nil, []crashtest.Op{{Key: "a/2", Value: "v"}, {Key: "a/1"}})})
	var w watchResponse
	if len(e.Responses) != 2 || e.Responses[1].Handle != "watcher" {
		t.Fatalf("%+v", e.Responses)
	}
	if decode(
		t,
		e.Responses[1],
		&w,
	); len(w.Events) != 2 || w.Events[0].Write != "a/2" || w.Events[1].Drop != "a/1" ||
		w.Events[0].Mark != w.Events[1].Mark {
		t.Errorf("%+v", w)
	}
	watch = get(fmt.Sprintf("/watch?starts=a/&from=%d&wait_ms=5000", w.Revision))
	s.Step(now, []kvserver.Request{watch})
	if e := s.Step(now.Add(4*time.Second), nil); len(e.Responses) != 0 {
		t.Error("answered before its time is up")
	}
	if e := s.Step(now.Add(5*time.Second), nil); len(e.Responses) != 1 || e.Responses[0].Status != 200 {
		t.Errorf("not answered when its time is up: %+v", e.Responses)
	}
	for i := range 25_000 {
		commit(fmt.Sprintf("c/%d", i%7))
	}
	if r := sendOne(t, s, now, get(fmt.Sprintf("/watch?starts=c/&from=%d", s.Revision()-10_000))); r.Status != 200 {
		t.Errorf("the last 10,000 changes are not kept: %d", r.Status)
	}
	if r := sendOne(t, s, now, watch); r.Status != 410 {
		t.Errorf("a watch from long ago: %d, want 410", r.Status)
	}
}

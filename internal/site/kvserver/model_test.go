package kvserver_test

import (
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/simulator/crashtest"
	"gullrudder/internal/site/kvserver"

	"pgregory.net/rapid"
)

// modelTest sends the same requests to a store and to a simple model, and follows the store's changes with a watch.
type modelTest struct {
	now     time.Time
	state   *kvserver.State
	model   *crashtest.Model
	watched map[string]uint64 // the keys by what the watch has said, with the revisions of their last changes
	from    uint64            // the watch goes on from here
	keys    *rapid.Generator[string]
}

// TestStateAgreesWithModel compares transactions with preconditions, reads, and lists in pages of any size with a
// model. A client that follows the watch has the same keys as one that reads them.
func TestStateAgreesWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		state, _, _ := openEmpty(t, config.DefaultKVServerOptions(), now)
		m := &modelTest{now: now, state: state, model: crashtest.NewModel(), watched: map[string]uint64{}}
		m.keys = rapid.Custom(func(t *rapid.T) string {
			return rapid.SampledFrom([]string{"a", "a/b", "a/c", "ab", "b/1", "b/10", "b/2", "ü"}).Draw(t, "key")
		})
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			m.now = m.now.Add(time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				m.grantLease(t)
			case 1:
				m.revokeLease(t)
			case 2:
				m.getKey(t)
			default:
				m.commit(t)
			}
			if difference := m.model.Difference(m.state); difference != "" {
				t.Fatalf("state differs from the model: %s", difference)
			}
			m.watch(t)
		}
		m.list(t)
	})
}

func (m *modelTest) send(t *rapid.T, request kvserver.Request) kvserver.Response {
	t.Helper()
	return sendOne(t, m.state, m.now, request)
}

func (m *modelTest) grantLease(t *rapid.T) {
	t.Helper()
	want := m.model.GrantLease()
	var granted leaseResponse
	decode(t, m.send(t, post(t, "/leases", leaseRequest{TTLMillis: 60_000})), &granted)
	if granted.LeaseID != want {
		t.Fatalf("granted lease: got %d, want %d", granted.LeaseID, want)
	}
}

func (m *modelTest) revokeLease(t *rapid.T) {
	t.Helper()
	id := uint64(rapid.IntRange(1, 4).Draw(t, "lease"))
	want := http.StatusNotFound
	if m.model.Leases[id] {
		want = http.StatusOK
	}
	m.model.EndLease(id)
	response := m.send(t, kvserver.Request{Method: http.MethodDelete, Target: fmt.Sprintf("/leases/%d", id)})
	if response.Status != want {
		t.Fatalf("end lease %d: got status %d, want %d", id, response.Status, want)
	}
}

func (m *modelTest) getKey(t *rapid.T) {
	t.Helper()
	key := m.keys.Draw(t, "key")
	response := m.send(t, get("/keys/"+key))
	if kept := m.model.Keys[key]; (kept.ModRevision > 0) != (response.Status == http.StatusOK) {
		t.Fatalf("read %s: got status %d, want that of %+v", key, response.Status, kept)
	}
}

func (m *modelTest) commit(t *rapid.T) {
	t.Helper()
	var guards []crashtest.Precondition
	for range rapid.IntRange(0, 3).Draw(t, "guards") {
		key := m.keys.Draw(t, "guard")
		isOff := uint64(rapid.IntRange(0, 6).Draw(t, "off") / 6) // one in seven does not hold
		guards = append(guards, crashtest.Precondition{Key: key, ModRevision: m.model.Keys[key].ModRevision + isOff})
	}
	var ops []crashtest.Operation
	for range rapid.IntRange(0, 3).Draw(t, "ops") {
		ops = append(ops, m.drawOperation(t))
	}
	wantStatus, wantFailed := m.model.Commit(guards, ops)
	response := m.send(t, crashtest.CommitRequest(guards, ops))
	var got commitResponse
	decode(t, response, &got)
	hasRevision := wantStatus == http.StatusBadRequest || got.Revision == m.model.Revision
	if response.Status != wantStatus || !slices.Equal(got.FailedKeys, wantFailed) || !hasRevision {
		t.Fatalf(
			"commit %+v %+v: got %d %+v, want %d %v at revision %d",
			guards, ops, response.Status, got, wantStatus, wantFailed, m.model.Revision,
		)
	}
}

// drawOperation is a delete, or a write with a lease (that may not exist) in four of eleven.
func (m *modelTest) drawOperation(t *rapid.T) crashtest.Operation {
	t.Helper()
	op := crashtest.Operation{Key: m.keys.Draw(t, "op"), Value: rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "value")}
	if op.Value != "" {
		op.LeaseID = uint64(max(rapid.IntRange(-6, 4).Draw(t, "permit"), 0))
	}
	return op
}

// watch applies the watched changes to a copy, which must equal the model.
func (m *modelTest) watch(t *rapid.T) {
	t.Helper()
	var changes watchResponse
	decode(t, m.send(t, get(fmt.Sprintf("/watch?starts=&from=%d", m.from))), &changes)
	for _, event := range changes.Events {
		delete(m.watched, event.DeletedKey)
		if event.WrittenKey != "" {
			m.watched[event.WrittenKey] = event.ModRevision
		}
	}
	m.from = changes.Revision
	if len(m.watched) != len(m.model.Keys) {
		t.Fatalf("keys known to the watcher: got %v, want %v", m.watched, m.model.Keys)
	}
	for key, kept := range m.model.Keys {
		if m.watched[key] != kept.ModRevision {
			t.Fatalf("revision of %s known to the watcher: got %d, want %d", key, m.watched[key], kept.ModRevision)
		}
	}
}

// list reads the keys of a prefix in pages of two.
func (m *modelTest) list(t *rapid.T) {
	t.Helper()
	prefix := rapid.SampledFrom([]string{"", "a", "a/", "b/1", "c"}).Draw(t, "prefix")
	from := ""
	var got []string
	for hasMore := true; hasMore; {
		query := url.Values{"starts": {prefix}, "most": {"2"}, "from": {from}}
		var page listResponse
		decode(t, m.send(t, get("/keys?"+query.Encode())), &page)
		for _, entry := range page.Entries {
			got = append(got, entry.Key)
			from = entry.Key
		}
		hasMore = page.HasMore
	}
	if want := m.model.SortedKeys(prefix, ""); !slices.Equal(got, want) {
		t.Fatalf("list of %q: got %v, want %v", prefix, got, want)
	}
}

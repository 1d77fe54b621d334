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

// modelTest sends the same requests to a store and to a simple model of it, and follows the store's changes with watches.
type modelTest struct {
	now              time.Time
	state            *kvserver.State
	model            *crashtest.Model
	watchedRevisions map[string]uint64 // mod revisions by key, as the watches reported them
	watchedThrough   uint64            // the watches have reported the changes up to this revision
	keys             *rapid.Generator[string]
}

// TestStateAgreesWithModel checks that transactions with preconditions, reads and paged lists give the same results as a model.
// It also checks that a client that follows the watches has the same keys as one that reads them.
func TestStateAgreesWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		state, _, _ := openEmpty(t, config.DefaultKVServerOptions(), now)
		m := &modelTest{now: now, state: state, model: crashtest.NewModel(), watchedRevisions: map[string]uint64{}}
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
	if entry := m.model.Keys[key]; (entry.ModRevision > 0) != (response.Status == http.StatusOK) {
		t.Fatalf("read %s: got status %d, want the status for the model's entry %+v", key, response.Status, entry)
	}
}

func (m *modelTest) commit(t *rapid.T) {
	t.Helper()
	var preconditions []crashtest.Precondition
	for range rapid.IntRange(0, 3).Draw(t, "guards") {
		key := m.keys.Draw(t, "guard")
		offset := uint64(rapid.IntRange(0, 6).Draw(t, "off") / 6) // 1 for one in seven preconditions, so that it fails
		preconditions = append(preconditions, crashtest.Precondition{Key: key, ModRevision: m.model.Keys[key].ModRevision + offset})
	}
	var operations []crashtest.Operation
	for range rapid.IntRange(0, 3).Draw(t, "ops") {
		operations = append(operations, m.drawOperation(t))
	}
	wantStatus, wantFailed := m.model.Commit(preconditions, operations)
	response := m.send(t, crashtest.CommitRequest(preconditions, operations))
	var got commitResponse
	decode(t, response, &got)
	hasRevision := wantStatus == http.StatusBadRequest || got.Revision == m.model.Revision
	if response.Status != wantStatus || !slices.Equal(got.FailedKeys, wantFailed) || !hasRevision {
		t.Fatalf(
			"commit %+v %+v: got %d %+v, want %d %v at revision %d",
			preconditions, operations, response.Status, got, wantStatus, wantFailed, m.model.Revision,
		)
	}
}

// drawOperation returns a delete or a write. Four of eleven writes have a lease, which may not exist.
func (m *modelTest) drawOperation(t *rapid.T) crashtest.Operation {
	t.Helper()
	op := crashtest.Operation{Key: m.keys.Draw(t, "op"), Value: rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "value")}
	if op.Value != "" {
		op.LeaseID = uint64(max(rapid.IntRange(-6, 4).Draw(t, "permit"), 0))
	}
	return op
}

// watch requests the changes since the last watch. With them, watchedRevisions must equal the model.
func (m *modelTest) watch(t *rapid.T) {
	t.Helper()
	var changes watchResponse
	decode(t, m.send(t, get(fmt.Sprintf("/watch?starts=&from=%d", m.watchedThrough))), &changes)
	for _, event := range changes.Events {
		delete(m.watchedRevisions, event.DeletedKey)
		if event.WrittenKey != "" {
			m.watchedRevisions[event.WrittenKey] = event.ModRevision
		}
	}
	m.watchedThrough = changes.Revision
	if len(m.watchedRevisions) != len(m.model.Keys) {
		t.Fatalf("keys reported by the watches: got %v, want %v", m.watchedRevisions, m.model.Keys)
	}
	for key, entry := range m.model.Keys {
		if m.watchedRevisions[key] != entry.ModRevision {
			t.Fatalf("revision of %s reported by the watches: got %d, want %d", key, m.watchedRevisions[key], entry.ModRevision)
		}
	}
}

// list lists the keys with a prefix in pages of two, and compares them with the model.
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

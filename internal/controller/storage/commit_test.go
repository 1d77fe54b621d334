package storage

import (
	"io"
	"log/slog"
	"net/http"
	"slices"
	"testing"
	"time"

	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"

	"github.com/vmihailenco/msgpack/v5"
)

type testValue struct {
	N int `msgpack:"n" json:"n"`
}

// fixture is a store whose calls the test responds to.
type fixture struct {
	t      *testing.T
	store  *Store
	outbox client.Outbox
	now    time.Time
}

// newLoadedFixture returns an empty store that has completed loading.
func newLoadedFixture(t *testing.T) *fixture {
	t.Helper()
	options := Options{LeaderKey: "leader", MaxValueBytes: 1024, MaxTransactionOps: 4, WriteRate: 50}
	f := &fixture{t: t, now: time.Unix(1000, 0), store: New(options, 7, slog.New(slog.NewTextHandler(io.Discard, nil)))}
	f.store.Load(&f.outbox)
	for _, c := range f.outbox.TakeCalls() {
		c.Done(f.now, f.response(200, map[string]any{"entries": []any{}, "has_next": false, "tide": 7}))
	}
	return f
}

func (f *fixture) response(status int, v any) client.Result {
	raw, err := codec.Marshal(v)
	if err != nil {
		f.t.Fatal(err)
	}
	return client.Result{Status: status, Body: raw}
}

func (f *fixture) singleCall() client.Call {
	f.t.Helper()
	calls := f.outbox.TakeCalls()
	if len(calls) != 1 {
		f.t.Fatalf("calls: got %d, want 1", len(calls))
	}
	return calls[0]
}

func (f *fixture) flush() client.Call {
	f.t.Helper()
	f.now = f.now.Add(2 * time.Second)
	f.store.Flush(f.now, &f.outbox)
	return f.singleCall()
}

// commitBody is the body of a commit as the state service decodes it.
type commitBody struct {
	Preconditions []struct {
		Key         string `msgpack:"path"`
		ModRevision uint64 `msgpack:"mark"`
	} `msgpack:"guards"`
	Operations []struct {
		Write string    `msgpack:"write"`
		Value pageValue `msgpack:"value"`
	} `msgpack:"apply"`
}

func (f *fixture) decodeCommit(c client.Call) commitBody {
	f.t.Helper()
	return decodeCommitCall(f.t, c)
}

// fataler is the common part of testing.T and rapid.T that decodeCommitCall needs.
type fataler interface{ Fatal(args ...any) }

func decodeCommitCall(t fataler, c client.Call) commitBody {
	raw, err := codec.Marshal(c.Body)
	if err != nil {
		t.Fatal(err)
	}
	var out commitBody
	if err := msgpack.Unmarshal(raw, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

func (f *fixture) set(name string, n int, done func(time.Time, bool)) {
	f.t.Helper()
	if err := f.store.Set(f.now, name, testValue{n}, SetOptions{Urgent: true, Done: done}); err != nil {
		f.t.Fatal(err)
	}
}

// TestCommitRequiresLeaderAndPageRevisions checks that every commit has preconditions on the revisions of the leader's key
// and of every page that it writes. Without them a commit could take effect after a commit of another leader, or twice.
func TestCommitRequiresLeaderAndPageRevisions(t *testing.T) {
	f := newLoadedFixture(t)
	for round, modRevision := range []uint64{0, 20, 21} {
		f.set("job-1", round, nil)
		c := f.flush()
		got := f.decodeCommit(c)
		required := map[string]uint64{}
		for _, precondition := range got.Preconditions {
			required[precondition.Key] = precondition.ModRevision
		}
		if required["leader"] != 7 {
			t.Fatalf("round %d: preconditions %v, want the leader's key at revision 7", round, got.Preconditions)
		}
		for _, operation := range got.Operations {
			if revision, ok := required[operation.Write]; !ok || revision != modRevision {
				t.Fatalf("round %d: precondition on page %s: got revision %d (present %v), want %d", round, operation.Write, revision, ok, modRevision)
			}
		}
		c.Done(f.now, f.response(200, map[string]any{"tide": 20 + round}))
	}
}

// TestReadBackDistinguishesAttempts checks that the read-back after an uncertain outcome distinguishes attempts. If an
// earlier attempt with fewer entries was executed, the change that only the later attempt contains is not durable yet.
func TestReadBackDistinguishesAttempts(t *testing.T) {
	f := newLoadedFixture(t)
	f.set("job-1", 1, nil)
	first := f.flush()
	firstBody := f.decodeCommit(first)
	first.Done(f.now, client.Result{})
	// The page does not exist: the first attempt may still be executed later.
	f.singleCall().Done(f.now, f.response(404, map[string]any{"tide": 8}))
	durable := 0
	f.set("job-2", 2, func(_ time.Time, ok bool) {
		if ok {
			durable++
		}
	})
	second := f.flush()
	second.Done(f.now, client.Result{})
	// The first attempt has now been executed, and the second was rejected by its precondition.
	f.singleCall().Done(
		f.now,
		f.response(200, map[string]any{"path": firstBody.Operations[0].Write, "value": firstBody.Operations[0].Value, "mark": 9}),
	)
	if durable != 0 {
		t.Fatalf("second change durable %d times after only the first attempt was executed, want 0", durable)
	}
	third := f.flush()
	got := f.decodeCommit(third)
	if got.Preconditions[1].ModRevision != 9 || len(got.Operations[0].Value.Entries) != 2 {
		t.Fatalf("third attempt: precondition on revision %d, %d entries, want 9, 2",
			got.Preconditions[1].ModRevision, len(got.Operations[0].Value.Entries))
	}
	third.Done(f.now, f.response(200, map[string]any{"tide": 10}))
	if durable != 1 {
		t.Errorf("second change durable: got %d times, want 1", durable)
	}
}

// TestLeaderKeyConflictFencesStore checks that the store is fenced if a commit is rejected because the leader's key has
// changed, which shows that another leader was elected.
func TestLeaderKeyConflictFencesStore(t *testing.T) {
	f := newLoadedFixture(t)
	f.set("job-1", 1, func(_ time.Time, ok bool) {
		if ok {
			t.Error("change of a rejected commit reported as durable, want not durable")
		}
	})
	f.flush().Done(f.now, f.response(409, map[string]any{"failed": []string{"leader"}, "tide": 9}))
	if !f.store.IsFenced() {
		t.Error("store not fenced after a conflict on the leader's key, want fenced")
	}
}

// TestWaitersBehindUncertainCommitAreNotified checks that no other commit is sent while the outcome of one is uncertain.
// Callers that wait for a later change are notified immediately that it is uncertain, and again when it is durable.
func TestWaitersBehindUncertainCommitAreNotified(t *testing.T) {
	f := newLoadedFixture(t)
	f.set("job-1", 1, nil)
	c := f.flush()
	var notifications []bool
	f.set("job-2", 2, func(_ time.Time, ok bool) { notifications = append(notifications, ok) })
	c.Done(f.now, client.Result{})
	if len(notifications) != 1 || notifications[0] {
		t.Fatalf("notifications while the commit is uncertain: got %v, want [false]", notifications)
	}
	f.singleCall().Done(f.now, f.response(404, map[string]any{"tide": 7})) // it was not executed
	f.flush().Done(f.now, f.response(200, map[string]any{"tide": 9}))
	if !notifications[len(notifications)-1] {
		t.Errorf("notifications at the end: got %v, want the last one true", notifications)
	}
}

// TestInvalidResponsesAreRejected checks that two kinds of invalid responses are not accepted. After a commit response
// with a revision below the fencing token, the commit is read back. A page without a revision is read again.
func TestInvalidResponsesAreRejected(t *testing.T) {
	f := newLoadedFixture(t)
	done := false
	f.set("job-1", 1, func(_ time.Time, ok bool) { done = ok })
	f.flush().Done(f.now, f.response(200, map[string]any{"tide": 3}))
	if done {
		t.Error("change durable after a response with a revision below the fencing token, want not durable")
	}
	back := f.singleCall()
	if back.Method != http.MethodGet {
		t.Fatalf("call after an invalid response: got %s %s, want a GET", back.Method, back.Path)
	}
	back.Done(f.now, f.response(200, map[string]any{"value": pageValue{Sequence: 1, Leader: 7}}))
	if done {
		t.Error("change durable after a page without a revision, want not durable")
	}
	f.singleCall().Done(f.now, f.response(200, map[string]any{"value": pageValue{Sequence: 1, Leader: 7}, "mark": 12}))
	if !done || f.store.pages.byKey[PagePrefix+"000000"].modRevision != 12 {
		t.Errorf("after a valid page: durable %v, revision %d, want true, 12", done, f.store.pages.byKey[PagePrefix+"000000"].modRevision)
	}
	raw, err := codec.Marshal(pageValue{Sequence: 1})
	if err != nil {
		t.Fatal(err)
	}
	if f.store.installPage(keyValue{Key: PagePrefix + "000001", Value: raw}) == nil {
		t.Error("install a page without a revision: no error, want one")
	}
}

// TestLatePageCreationIsRejected checks that a commit that creates a page is rejected by its preconditions if it is
// executed late, after the page was written by later commits. Pages are never deleted, so the revision of a page is
// never 0 again.
func TestLatePageCreationIsRejected(t *testing.T) {
	f := newLoadedFixture(t)
	f.set("job-1", 1, nil)
	late := f.decodeCommit(f.flush())
	modRevisions := map[string]uint64{"leader": 7}
	executes := func(c commitBody) bool {
		for _, precondition := range c.Preconditions {
			if modRevisions[precondition.Key] != precondition.ModRevision {
				return false
			}
		}
		return true
	}
	if !executes(late) {
		t.Fatal("first attempt rejected by its preconditions, want executed")
	}
	f.store.requeue(f.now, 0) // it got no response, and the read-back did not find it
	for round := uint64(20); round < 24; round++ {
		f.store.Delete(f.now, "job-1")
		f.set("job-1", int(round), nil)
		c := f.flush()
		for _, operation := range f.decodeCommit(c).Operations {
			modRevisions[operation.Write] = round
		}
		c.Done(f.now, f.response(200, map[string]any{"tide": round}))
		if executes(late) {
			t.Fatalf("late attempt executed after revision %d, want rejected", round)
		}
	}
}

// TestCommitOfAnotherLeaderIsNotOwn checks that a commit of the next leader is not mistaken for this leader's commit
// with the same sequence number, whose response was lost. No waiter may be notified that its change is durable.
func TestCommitOfAnotherLeaderIsNotOwn(t *testing.T) {
	f := newLoadedFixture(t)
	var notifications []bool
	f.set("job-1", 1, func(_ time.Time, ok bool) { notifications = append(notifications, ok) })
	f.flush().Done(f.now, client.Result{})
	f.singleCall().Done(
		f.now,
		f.response(200, map[string]any{"value": pageValue{Sequence: f.store.commits.inFlight.sequence, Leader: 11}, "mark": 12}),
	)
	if slices.Contains(notifications, true) {
		t.Fatalf("notifications after another leader's commit: got %v, want none true", notifications)
	}
	f.flush().Done(f.now, f.response(409, map[string]any{"failed": []string{"leader"}, "tide": 12}))
	if !f.store.IsFenced() || slices.Contains(notifications, true) {
		t.Errorf("after a conflict: fenced %v, notifications %v, want fenced and none true", f.store.IsFenced(), notifications)
	}
}

// TestOwnLateCommitDoesNotFence checks that a late commit of the leader itself does not fence the store. The commit was
// read back as not executed and is executed afterwards, so the next commit is rejected by its preconditions. The
// unchanged revision of the leader's key shows that there is no other leader. In the end the change is durable.
func TestOwnLateCommitDoesNotFence(t *testing.T) {
	f := newLoadedFixture(t)
	done := false
	f.set("job-1", 1, func(_ time.Time, ok bool) { done = ok })
	late := f.flush()
	late.Done(f.now, client.Result{})
	f.singleCall().Done(f.now, f.response(404, map[string]any{"tide": 7}))
	f.flush().Done(f.now, f.response(409, map[string]any{"failed": []string{PagePrefix + "000000"}, "tide": 9}))
	leaderRead := f.singleCall()
	if leaderRead.Path != "/keys/leader" {
		t.Fatalf("path read after the conflict: got %s, want /keys/leader", leaderRead.Path)
	}
	leaderRead.Done(f.now, f.response(503, nil))
	f.singleCall().Done(f.now, f.response(200, map[string]any{"value": map[string]any{}, "mark": 7}))
	f.singleCall().Done(f.now, f.response(200, map[string]any{"value": f.decodeCommit(late).Operations[0].Value, "mark": 9}))
	c := f.flush()
	if preconditions := f.decodeCommit(c).Preconditions; f.store.IsFenced() || preconditions[1].ModRevision != 9 {
		t.Fatalf("after the read-back: fenced %v, preconditions %v, want false and the page at revision 9", f.store.IsFenced(), preconditions)
	}
	c.Done(f.now, f.response(200, map[string]any{"tide": 10}))
	if !done {
		t.Error("change not durable in the end, want durable")
	}
}

package storage

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/stateapi"

	"github.com/vmihailenco/msgpack/v5"
)

// requiredRevision returns the revision that a commit's precondition requires of a key. ok is false if there is no such precondition.
func requiredRevision(call client.Call, key string) (modRevision uint64, ok bool) {
	for _, precondition := range call.Body.(stateapi.CommitRequest).Preconditions {
		if precondition.Key == key {
			return precondition.ModRevision, true
		}
	}
	return 0, false
}

// writtenEntries returns the entries that a commit writes to a page. ok is false if it does not write the page.
func writtenEntries(call client.Call, key string) (entries map[string]msgpack.RawMessage, ok bool) {
	for _, operation := range call.Body.(stateapi.CommitRequest).Operations {
		if operation.Write == key {
			return operation.Value.(pageValue).Entries, true
		}
	}
	return nil, false
}

// TestUncertainMoveFencesStore checks that the store is fenced if an uncertain move may have been executed late. The move
// got no response, and the read-back did not find it. A later read-back shows a commit on the page that is not the one
// expected. The page may have lost entries that are still in memory, and these must not be written again.
func TestUncertainMoveFencesStore(t *testing.T) {
	f := newLoadedFixture(t)
	f.set("job-1", 1, nil)
	f.flush().Done(f.now, f.response(200, map[string]any{"tide": 20}))
	var outcomes []bool
	err := f.store.CommitArchive([]string{"job-1"}, []HeadChange{{Name: "r00000001", Value: 1}},
		func(_ time.Time, ok bool) { outcomes = append(outcomes, ok) })
	if err != nil {
		t.Fatal(err)
	}
	move := f.flush()
	if _, ok := writtenEntries(move, ArchiveHeadKey); !ok {
		t.Fatalf("move %+v: want a write of the archive's head", move.Body)
	}
	move.Done(f.now, client.Result{})
	page := map[string]any{"value": pageValue{Sequence: 1, Leader: 7}, "mark": 20}
	f.singleCall().Done(f.now, f.response(200, page))                       // the page is unchanged
	f.singleCall().Done(f.now, f.response(404, map[string]any{"tide": 20})) // the head does not exist
	if !slices.Equal(outcomes, []bool{false}) {
		t.Fatalf("outcomes of the move: got %v, want [false]", outcomes)
	}
	f.set("job-1", 2, nil)
	f.flush().Done(f.now, client.Result{})
	moved := map[string]any{"value": pageValue{Sequence: 2, Leader: 7}, "mark": 21}
	f.singleCall().Done(f.now, f.response(200, moved)) // the move has been executed since
	if !f.store.IsFenced() {
		t.Error("store not fenced after the read-back showed the late move, want fenced")
	}
}

// TestStaleCopyIsRemoved checks that of two entries with the same name the one on the page with the higher number is
// valid. The other page is written without its stale copy, and no finished job may be archived before that.
func TestStaleCopyIsRemoved(t *testing.T) {
	f := newLoadedFixture(t)
	raw := func(n int) msgpack.RawMessage {
		encoded, err := codec.Marshal(testValue{n})
		if err != nil {
			t.Fatal(err)
		}
		return encoded
	}
	f.store.addPage(pageKey(0), 8, pageValue{Sequence: 1, Entries: map[string]msgpack.RawMessage{"job-1": raw(1), "job-2": raw(1)}})
	f.store.addPage(pageKey(1), 9, pageValue{Sequence: 2, Entries: map[string]msgpack.RawMessage{"job-1": raw(2)}})
	f.store.SetFinished("job-2")
	if names := f.store.ArchivableEntries(func(string) bool { return true }); len(names) > 0 {
		t.Errorf("archivable entries while a page has a stale copy: got %v, want none", names)
	}
	call := f.flush()
	entries, ok := writtenEntries(call, pageKey(0))
	if !ok || len(entries) != 1 || entries["job-2"] == nil {
		t.Fatalf("write of the page with the stale copy: got %v (written %v), want job-2 only", entries, ok)
	}
	call.Done(f.now, f.response(200, map[string]any{"tide": 10}))
	if names := f.store.ArchivableEntries(func(string) bool { return true }); !slices.Equal(names, []string{"job-2"}) {
		t.Errorf("archivable entries without stale copies: got %v, want [job-2]", names)
	}
}

// TestCopyRequiresSourceRevision checks that entries of a page that is too large to be written are copied to new pages.
// The copy must have a precondition on the source page's revision: an earlier commit of that page that is executed late
// would change the copied entries.
func TestCopyRequiresSourceRevision(t *testing.T) {
	f := newLoadedFixture(t)
	entries := map[string]msgpack.RawMessage{}
	for _, name := range strings.Fields("job-1 job-2 job-3 job-4 job-5 job-6 job-7 job-8") {
		raw, err := codec.Marshal(padded{1, strings.Repeat("x", 600)})
		if err != nil {
			t.Fatal(err)
		}
		entries[name] = raw
	}
	f.store.addPage(pageKey(0), 8, pageValue{Sequence: 1, Entries: entries})
	f.store.splits.limitsLowered = true
	call := f.flush()
	if _, ok := writtenEntries(call, pageKey(0)); ok {
		t.Fatal("first commit writes the page that is too large, want a copy to new pages only")
	}
	if modRevision, ok := requiredRevision(call, pageKey(0)); !ok || modRevision != 8 {
		t.Errorf("revision required of the source page: got %d (present %v), want 8", modRevision, ok)
	}
}

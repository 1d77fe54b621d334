package kvserver_test

import (
	"fmt"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/simulator/crashtest"
	"gullrudder/internal/simulator/faultydisk"
	"gullrudder/internal/site/kvserver"
)

// TestWatches checks that a watch waits until a key with its prefix changes, that it gets no change twice, and that it
// gets status 410 if the changes since its revision are not retained.
func TestWatches(t *testing.T) {
	now := time.Unix(100, 0)
	state, _, _ := openEmpty(t, config.DefaultKVServerOptions(), now)
	commit := func(key string) uint64 {
		var committed commitResponse
		decode(t, sendOne(t, state, now, crashtest.CommitRequest(nil, []crashtest.Operation{{Key: key, Value: "v"}})), &committed)
		return committed.Revision
	}
	first := commit("a/1")
	watch := get(fmt.Sprintf("/watch?starts=a/&from=%d&wait_ms=5000", first))
	watch.Handle = "watcher"
	if effects := state.Step(now, []kvserver.Request{watch}); len(effects.Responses) != 0 {
		t.Fatalf("watch before any change: got %d responses, want 0", len(effects.Responses))
	}
	otherPrefix := crashtest.CommitRequest(nil, []crashtest.Operation{{Key: "b", Value: "v"}})
	if effects := state.Step(now, []kvserver.Request{otherPrefix}); len(effects.Responses) != 1 {
		t.Fatalf("commit under another prefix: got %d responses, want 1, that of the commit", len(effects.Responses))
	}
	effects := state.Step(now, []kvserver.Request{crashtest.CommitRequest(nil, []crashtest.Operation{{Key: "a/2", Value: "v"}, {Key: "a/1"}})})
	if len(effects.Responses) != 2 || effects.Responses[1].Handle != "watcher" {
		t.Fatalf("commit under the watched prefix: got %+v, want 2 responses, the second of the watcher", effects.Responses)
	}
	var changes watchResponse
	decode(t, effects.Responses[1], &changes)
	if events := changes.Events; len(events) != 2 || events[0].WrittenKey != "a/2" || events[1].DeletedKey != "a/1" ||
		events[0].ModRevision != events[1].ModRevision {
		t.Errorf("changes: got %+v, want two events of one revision", changes)
	}
	watch = get(fmt.Sprintf("/watch?starts=a/&from=%d&wait_ms=5000", changes.Revision))
	state.Step(now, []kvserver.Request{watch})
	if effects := state.Step(now.Add(4*time.Second), nil); len(effects.Responses) != 0 {
		t.Errorf("watch before its deadline: got %d responses, want 0", len(effects.Responses))
	}
	if effects := state.Step(now.Add(5*time.Second), nil); len(effects.Responses) != 1 || effects.Responses[0].Status != http.StatusOK {
		t.Errorf("watch at its deadline: got %+v, want one response with status 200", effects.Responses)
	}
	for i := range 25_000 {
		commit(fmt.Sprintf("c/%d", i%7))
	}
	recent := get(fmt.Sprintf("/watch?starts=c/&from=%d", state.Revision()-10_000))
	if response := sendOne(t, state, now, recent); response.Status != http.StatusOK {
		t.Errorf("watch of the last 10,000 changes: got status %d, want 200", response.Status)
	}
	if response := sendOne(t, state, now, watch); response.Status != http.StatusGone {
		t.Errorf("watch from a dropped revision: got status %d, want 410", response.Status)
	}
}

// TestWatchAcrossRestart checks that a watch continues after a restart if the log still has the changes after its
// revision. Changes that a snapshot covers are not retained: the watch gets status 410 and its client has to read the
// keys again.
func TestWatchAcrossRestart(t *testing.T) {
	state, storage, files := openEmpty(t, config.DefaultKVServerOptions(), time.Unix(100, 0))
	for i := range 4 {
		commitKey(t, state, storage, fmt.Sprintf("a/%d", i), "v")
	}
	writeSnapshot(t, state, storage)
	commitKey(t, state, storage, "a/4", "v")
	commitKey(t, state, storage, "a/5", "v")
	reopened, _, _, err := kvserver.Open(
		files.AfterCrash(faultydisk.LoseNothing), config.DefaultKVServerOptions(), time.Unix(200, 0), slog.New(slog.DiscardHandler),
	)
	if err != nil {
		t.Fatal(err)
	}
	for from, status := range map[int]int{3: http.StatusGone, 4: http.StatusOK, 5: http.StatusOK} {
		t.Run(fmt.Sprintf("from revision %d", from), func(t *testing.T) {
			response := sendOne(t, reopened, time.Unix(200, 0), get(fmt.Sprintf("/watch?starts=a/&from=%d", from)))
			if response.Status != status {
				t.Fatalf("status of the watch: got %d, want %d", response.Status, status)
			}
			if status != http.StatusOK {
				return
			}
			var changes watchResponse
			if decode(t, response, &changes); len(changes.Events) != 6-from || changes.Revision != 6 {
				t.Errorf("changes: got %+v, want %d events at revision 6", changes, 6-from)
			}
		})
	}
}

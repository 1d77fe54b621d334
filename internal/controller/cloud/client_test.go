package cloud

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
)

// fixture is a client with a clock of its own. The test responds to the client's calls.
type fixture struct {
	t      *testing.T
	client *Client
	now    time.Time
	outbox client.Outbox
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, now: time.Unix(1000, 0), client: New(7, 4, 2*time.Second, slog.New(slog.DiscardHandler))}
	f.client.nextTypesRead = f.now.Add(time.Hour)
	return f
}

// callsAfter advances the clock and returns the calls that the client then sends.
func (f *fixture) callsAfter(d time.Duration) []client.Call {
	f.now = f.now.Add(d)
	f.client.Tick(f.now, &f.outbox)
	return f.outbox.TakeCalls()
}

func (f *fixture) respond(call client.Call, status int, body any) {
	f.t.Helper()
	encoded, err := codec.Marshal(body)
	if err != nil {
		f.t.Fatal(err)
	}
	call.Done(f.now, client.Result{Status: status, Body: encoded})
}

func instancePage(from, until int, more bool) map[string]any {
	rows := []any{}
	for i := from; i < until; i++ {
		rows = append(rows, map[string]any{
			"id":        fmt.Sprintf("vm-%06d", i),
			"addr":      "x",
			"keel":      "k",
			"harbour":   "a",
			"driftwood": true,
			"trim":      "running",
			"age_s":     90.0,
		})
	}
	return map[string]any{"oarlocks": rows, "has_next": more}
}

// TestTruncatedListDropsNoInstances checks that a list without its last pages never drops an instance, even if it is repeated. A
// complete list drops those that it does not show.
func TestTruncatedListDropsNoInstances(t *testing.T) {
	f := newFixture(t)
	list := f.callsAfter(0)
	f.respond(list[0], 200, instancePage(0, 500, true))
	f.respond(f.callsAfter(time.Second)[0], 200, instancePage(500, 900, false))
	if len(f.client.Instances) != 900 || f.client.CompletedLists != 1 {
		t.Fatalf("got %d instances after %d complete lists, want 900 after 1", len(f.client.Instances), f.client.CompletedLists)
	}
	for range 20 {
		for _, call := range f.callsAfter(3 * time.Second) {
			f.respond(call, 200, instancePage(0, 500, true))
		}
		for _, call := range f.callsAfter(time.Second) {
			f.respond(call, 503, map[string]string{"error": "failure"})
		}
	}
	if len(f.client.Instances) != 900 || f.client.CompletedLists != 1 {
		t.Fatalf("after 20 truncated lists: got %d instances, %d complete lists, want 900, 1", len(f.client.Instances), f.client.CompletedLists)
	}
	for f.client.CompletedLists < 4 {
		for _, call := range f.callsAfter(6 * time.Second) {
			f.respond(call, 200, instancePage(0, 500, false))
		}
	}
	if len(f.client.Instances) != 500 {
		t.Errorf("instances after complete lists: got %d, want 500", len(f.client.Instances))
	}
}

// TestRequestsAreRetriedUnderTheirNames checks that a request for more instances than one call allows becomes several calls, each
// with its own name. A call without a response is retried under its name. No more instances of the kind are requested meanwhile.
func TestRequestsAreRetriedUnderTheirNames(t *testing.T) {
	f := newFixture(t)
	f.client.listing.next = f.now.Add(time.Hour)
	kind := InstanceKind{"k", "a", true}
	f.client.RequestInstances(kind, 120)
	counts, callsByName := map[string]int{}, map[string]int{}
	record := func(calls []client.Call) {
		for _, call := range calls {
			body := call.Body.(map[string]any)
			callsByName[body["charter"].(string)]++
			counts[body["charter"].(string)] = body["how_many"].(int)
		}
	}
	first := f.callsAfter(0)
	record(first)
	if len(first) != 3 || counts["r-7-1"] != 50 || counts["r-7-2"] != 50 || counts["r-7-3"] != 20 {
		t.Fatalf("instances requested by name: got %v, want 50, 50 and 20", counts)
	}
	f.respond(first[0], 200, map[string]any{"oarlocks": []string{"vm-1"}})
	first[1].Done(f.now, client.Result{})
	f.respond(first[2], 503, map[string]string{"error": "no capacity"})
	if f.client.CanRequest(f.now, kind) {
		t.Error("further request while one has no response: got allowed, want not allowed")
	}
	retries := f.callsAfter(time.Second)
	record(retries)
	if len(retries) != 1 || callsByName["r-7-2"] != 2 || len(callsByName) != 3 {
		t.Fatalf("calls by name: got %v with %d retries, want 1 retry, that of r-7-2", callsByName, len(retries))
	}
	f.respond(retries[0], 200, map[string]any{"oarlocks": []string{"vm-2", "vm-3"}})
	if len(f.client.Instances) != 3 || !f.client.CanRequest(f.now.Add(time.Minute), kind) {
		t.Errorf(
			"got %d instances, further request allowed %v, want 3, true",
			len(f.client.Instances), f.client.CanRequest(f.now.Add(time.Minute), kind),
		)
	}
}

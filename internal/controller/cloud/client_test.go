package cloud

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
)

type fixture struct {
	t      *testing.T
	client *Client
	now    time.Time
	box    client.Outbox
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, now: time.Unix(1000, 0), client: New(7, 4, 2*time.Second, slog.New(slog.DiscardHandler))}
	f.client.nextTypesRead = f.now.Add(time.Hour)
	return f
}

// callsAfter lets time pass and returns the calls made.
func (f *fixture) callsAfter(d time.Duration) []client.Call {
	f.now = f.now.Add(d)
	f.client.Tick(f.now, &f.box)
	return f.box.TakeCalls()
}

func (f *fixture) respond(c client.Call, status int, v any) {
	f.t.Helper()
	raw, err := codec.Marshal(v)
	if err != nil {
		f.t.Fatal(err)
	}
	c.Done(f.now, client.Result{Status: status, Body: raw})
}

func instancePage(from, to int, more bool) map[string]any {
	rows := []any{}
	for i := from; i < to; i++ {
		rows = append(
			rows,
			map[string]any{
				"id":        fmt.Sprintf("vm-%06d", i),
				"addr":      "x",
				"keel":      "k",
				"harbour":   "a",
				"driftwood": true,
				"trim":      "running",
				"age_s":     90.0,
			},
		)
	}
	return map[string]any{"oarlocks": rows, "has_next": more}
}

// A list of several pages that is cut off says nothing of the machines it did not come to,
// however often that happens; only a whole list does.
func TestTruncatedListDropsNoInstances(t *testing.T) {
	f := newFixture(t)
	list := f.callsAfter(0)
	f.respond(list[0], 200, instancePage(0, 500, true))
	f.respond(f.callsAfter(time.Second)[0], 200, instancePage(500, 900, false))
	if len(f.client.Instances) != 900 || f.client.CompletedLists != 1 {
		t.Fatalf("%d machines after %d lists", len(f.client.Instances), f.client.CompletedLists)
	}
	for range 20 {
		for _, c := range f.callsAfter(3 * time.Second) {
			f.respond(c, 200, instancePage(0, 500, true))
		}
		for _, c := range f.callsAfter(time.Second) {
			f.respond(c, 503, map[string]string{"error": "trouble"})
		}
	}
	if len(f.client.Instances) != 900 || f.client.CompletedLists != 1 {
		t.Fatalf("%d machines after %d whole lists and twenty cut off", len(f.client.Instances), f.client.CompletedLists)
	}
	for f.client.CompletedLists < 4 {
		for _, c := range f.callsAfter(6 * time.Second) {
			f.respond(c, 200, instancePage(0, 500, false))
		}
	}
	if len(f.client.Instances) != 500 {
		t.Errorf("%d machines after whole lists of 500", len(f.client.Instances))
	}
}

// A need of several requests goes out as such, each under a name of its own; one that is not
// answered is repeated under its name, and nothing more of the kind is asked for meanwhile.
func TestRequestsAreRetriedUnderTheirNames(t *testing.T) {
	f := newFixture(t)
	f.client.nextList = f.now.Add(time.Hour)
	k := InstanceKind{"k", "a", true}
	f.client.RequestInstances(f.now, k, 120)
	sizes, names := map[string]int{}, map[string]int{}
	rentals := func(calls []client.Call) {
		for _, c := range calls {
			body := c.Body.(map[string]any)
			names[body["charter"].(string)]++
			sizes[body["charter"].(string)] = body["how_many"].(int)
		}
	}
	first := f.callsAfter(0)
	rentals(first)
	if len(first) != 3 || sizes["r-7-1"] != 50 || sizes["r-7-2"] != 50 || sizes["r-7-3"] != 20 {
		t.Fatalf("%v", sizes)
	}
	f.respond(first[0], 200, map[string]any{"oarlocks": []string{"vm-1"}})
	first[1].Done(f.now, client.Result{})
	f.respond(first[2], 503, map[string]string{"error": "no capacity"})
	if f.client.CanRequest(f.now, k) {
		t.Error("asks for more while a request is not answered")
	}
	again := f.callsAfter(time.Second)
	rentals(again)
	if len(again) != 1 || names["r-7-2"] != 2 || len(names) != 3 {
		t.Fatalf("%v", names)
	}
	f.respond(again[0], 200, map[string]any{"oarlocks": []string{"vm-2", "vm-3"}})
	if len(f.client.Instances) != 3 || !f.client.CanRequest(f.now.Add(time.Minute), k) {
		t.Errorf("%d machines, askable %v", len(f.client.Instances), f.client.CanRequest(f.now.Add(time.Minute), k))
	}
}

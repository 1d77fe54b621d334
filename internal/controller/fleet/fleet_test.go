package fleet

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"gullrudder/internal/wire/outbox"
	"gullrudder/internal/wire/packed"
)

type fixture struct {
	t   *testing.T
	c   *Cloud
	now time.Time
	box outbox.Box
}

func fresh(t *testing.T) *fixture {
	f := &fixture{t: t, now: time.Unix(1000, 0), c: New(7, 4, 2*time.Second, slog.New(slog.DiscardHandler))}
	f.c.typesAt = f.now.Add(time.Hour)
	return f
}

// calls lets time pass and returns the calls made.
func (f *fixture) calls(d time.Duration) []outbox.Call {
	f.now = f.now.Add(d)
	f.c.Tick(f.now, &f.box)
	return f.box.Take()
}

func (f *fixture) answer(c outbox.Call, status int, v any) {
	f.t.Helper()
	raw, err := packed.Marshal(v)
	if err != nil {
		f.t.Fatal(err)
	}
	c.Done(f.now, outbox.Result{Status: status, Body: raw})
}

func page(from, to int, more bool) map[string]any {
	rows := []any{}
	for i := from; i < to; i++ {
		rows = append(rows, map[string]any{"id": fmt.Sprintf("vm-%06d", i), "addr": "x", "keel": "k", "harbour": "a", "driftwood": true, "trim": "running", "age_s": 90.0})
	}
	return map[string]any{"oarlocks": rows, "has_next": more}
}

// A list of several pages that is cut off says nothing of the machines it did not come to,
// however often that happens; only a whole list does.
func TestListThatIsCutOffDropsNothing(t *testing.T) {
	f := fresh(t)
	list := f.calls(0)
	f.answer(list[0], 200, page(0, 500, true))
	f.answer(f.calls(time.Second)[0], 200, page(500, 900, false))
	if len(f.c.Hosts) != 900 || f.c.Lists != 1 {
		t.Fatalf("%d machines after %d lists", len(f.c.Hosts), f.c.Lists)
	}
	for range 20 {
		for _, c := range f.calls(3 * time.Second) {
			f.answer(c, 200, page(0, 500, true))
		}
		for _, c := range f.calls(time.Second) {
			f.answer(c, 503, map[string]string{"error": "trouble"})
		}
	}
	if len(f.c.Hosts) != 900 || f.c.Lists != 1 {
		t.Fatalf("%d machines after %d whole lists and twenty cut off", len(f.c.Hosts), f.c.Lists)
	}
	for f.c.Lists < 4 {
		for _, c := range f.calls(6 * time.Second) {
			f.answer(c, 200, page(0, 500, false))
		}
	}
	if len(f.c.Hosts) != 500 {
		t.Errorf("%d machines after whole lists of 500", len(f.c.Hosts))
	}
}

// A need of several requests goes out as such, each under a name of its own; one that is not
// answered is repeated under its name, and nothing more of the kind is asked for meanwhile.
func TestRentalsAreRepeatedUnderTheirNames(t *testing.T) {
	f := fresh(t)
	f.c.listAt = f.now.Add(time.Hour)
	k := Kind{"k", "a", true}
	f.c.Rent(f.now, k, 120)
	sizes, names := map[string]int{}, map[string]int{}
	rentals := func(calls []outbox.Call) {
		for _, c := range calls {
			body := c.Body.(map[string]any)
			names[body["charter"].(string)]++
			sizes[body["charter"].(string)] = body["how_many"].(int)
		}
	}
	first := f.calls(0)
	rentals(first)
	if len(first) != 3 || sizes["r-7-1"] != 50 || sizes["r-7-2"] != 50 || sizes["r-7-3"] != 20 {
		t.Fatalf("%v", sizes)
	}
	f.answer(first[0], 200, map[string]any{"oarlocks": []string{"vm-1"}})
	first[1].Done(f.now, outbox.Result{})
	f.answer(first[2], 503, map[string]string{"error": "no capacity"})
	if f.c.Askable(f.now, k) {
		t.Error("asks for more while a request is not answered")
	}
	again := f.calls(time.Second)
	rentals(again)
	if len(again) != 1 || names["r-7-2"] != 2 || len(names) != 3 {
		t.Fatalf("%v", names)
	}
	f.answer(again[0], 200, map[string]any{"oarlocks": []string{"vm-2", "vm-3"}})
	if len(f.c.Hosts) != 3 || !f.c.Askable(f.now.Add(time.Minute), k) {
		t.Errorf("%d machines, askable %v", len(f.c.Hosts), f.c.Askable(f.now.Add(time.Minute), k))
	}
}

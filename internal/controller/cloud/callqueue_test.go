package cloud

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/wire/client"
)

// respondFor answers all calls for so long as answer says; calls is by path and zone how many there were.
func (f *fixture) respondFor(span time.Duration, answer func(c client.Call) (int, any)) map[string]int {
	calls := map[string]int{}
	for end := f.now.Add(span); f.now.Before(end); {
		for _, c := range f.callsAfter(50 * time.Millisecond) {
			name := strings.SplitN(c.Path, "?", 2)[0]
			if body, ok := c.Body.(map[string]any); ok && body["harbour"] != nil {
				name += " " + body["harbour"].(string)
			}
			calls[name]++
			if status, v := answer(c); status > 0 {
				f.respond(c, status, v)
			} else {
				c.Done(f.now, client.Result{})
			}
		}
	}
	return calls
}

// Rentals in a zone that does not answer hold up neither another zone's, nor what is given back, nor
// the lists; they are repeated within half of the rate, and nothing more is asked for there.
func TestFailingZoneDoesNotBlockOtherCalls(t *testing.T) {
	f := newFixture(t)
	for i := range 6 {
		f.client.RequestInstances(f.now, InstanceKind{fmt.Sprintf("k%d", i), "dark", false}, 1)
	}
	zoneFails := true
	answer := func(c client.Call) (int, any) {
		body, _ := c.Body.(map[string]any)
		switch {
		case c.Path == "/hosts/delete":
			return 200, nil
		case body["harbour"] == "dark" && zoneFails:
			return 500, nil // no word of what came of it
		case body["harbour"] != nil:
			return 200, map[string]any{"oarlocks": []string{"vm-" + body["charter"].(string)}}
		}
		return 200, instancePage(0, 0, false)
	}
	f.respondFor(5*time.Second, answer)
	f.client.RequestInstances(f.now, InstanceKind{"k", "bright", false}, 1)
	f.client.Terminate(f.now, []string{"vm-000001"}, "test")
	soon := f.respondFor(time.Second, answer)
	if soon["/hosts bright"] != 1 || soon["/hosts/delete"] != 1 {
		t.Errorf("within a second of it: %v", soon)
	}
	if f.client.CanRequest(f.now, InstanceKind{"other", "dark", false}) ||
		!f.client.CanRequest(f.now, InstanceKind{"other", "bright", false}) {
		t.Error("asks on where nothing is answered, or not where it is")
	}
	long := f.respondFor(20*time.Second, answer)
	if n := long["/hosts dark"]; n < 5 || float64(n) > 20*4*retryShare+8 {
		t.Errorf("%d repeated rentals in 20 s at 4 calls a second", n)
	}
	if long["/hosts"] < 8 {
		t.Errorf("%d lists in 20 s", long["/hosts"])
	}
	zoneFails = false
	f.respondFor(20*time.Second, answer)
	if !f.client.CanRequest(f.now, InstanceKind{"other", "dark", false}) || len(f.client.unresolvedByZone) != 1 ||
		f.client.unresolvedByZone["dark"] != 0 {
		t.Errorf("the zone is back: %v", f.client.unresolvedByZone)
	}
}

// One machine that cannot be deleted keeps none of the others of its request.
func TestRefusedDeletionIsSplit(t *testing.T) {
	f := newFixture(t)
	var ids []string
	for i := range 100 {
		ids = append(ids, fmt.Sprintf("vm-%06d", i))
		f.client.Instances[ids[i]] = &Instance{ID: ids[i], LastListed: f.now.Add(time.Hour)}
	}
	f.client.Terminate(f.now, ids, "test")
	f.respondFor(time.Minute, func(c client.Call) (int, any) {
		if c.Path != "/hosts/delete" {
			return 503, map[string]any{"error": "trouble"}
		}
		if slices.Contains(c.Body.(map[string]any)["oarlocks"].([]string), "vm-000042") {
			return 409, nil
		}
		return 200, nil
	})
	if len(f.client.ConfirmedDeletions) != 99 || f.client.IsDeleted("vm-000042") {
		t.Errorf("%d of 99 are gone", len(f.client.ConfirmedDeletions))
	}
}

// A cloud that does not answer is asked about once a second, whatever waits; when it is back all of it goes out.
func TestUnavailableCloudIsProbed(t *testing.T) {
	f := newFixture(t)
	for i := range 12 {
		f.client.RequestInstances(f.now, InstanceKind{fmt.Sprintf("k%d", i), fmt.Sprint("zone", i), false}, 1)
	}
	away := true
	answer := func(c client.Call) (int, any) {
		if away {
			return 0, nil
		}
		if body, _ := c.Body.(map[string]any); body["charter"] != nil {
			return 200, map[string]any{"oarlocks": []string{"vm-" + body["charter"].(string)}}
		}
		return 503, map[string]any{"error": "no list now"}
	}
	f.respondFor(10*time.Second, answer)
	n := 0
	for _, k := range f.respondFor(20*time.Second, answer) {
		n += k
	}
	if n < 12 || n > 45 {
		t.Errorf("%d calls in 20 s to a cloud that is away", n)
	}
	away = false
	f.respondFor(20*time.Second, answer)
	if len(f.client.Instances) != 12 {
		t.Errorf("%d of 12 rented once it is back", len(f.client.Instances))
	}
}

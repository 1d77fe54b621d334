package cloud

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/wire/client"
)

// respondFor advances the clock by span and responds to each call with the status and body that respond returns. Status 0
// stands for no response. It returns the number of calls by path and zone.
func (f *fixture) respondFor(span time.Duration, respond func(call client.Call) (int, any)) map[string]int {
	f.t.Helper()
	counts := map[string]int{}
	for end := f.now.Add(span); f.now.Before(end); {
		for _, call := range f.callsAfter(50 * time.Millisecond) {
			name := strings.SplitN(call.Path, "?", 2)[0]
			if body, ok := call.Body.(map[string]any); ok && body["harbour"] != nil {
				name += " " + body["harbour"].(string)
			}
			counts[name]++
			if status, body := respond(call); status > 0 {
				f.respond(call, status, body)
			} else {
				call.Done(f.now, client.Result{})
			}
		}
	}
	return counts
}

// TestFailingZoneDoesNotBlockOtherCalls checks the calls while requests in one zone get no usable response. Requests in another
// zone, deletions and lists must not be delayed. The failing requests are retried within half of the call rate, and nothing more
// is requested in that zone.
func TestFailingZoneDoesNotBlockOtherCalls(t *testing.T) {
	f := newFixture(t)
	for i := range 6 {
		f.client.RequestInstances(InstanceKind{fmt.Sprintf("k%d", i), "failing", false}, 1)
	}
	zoneFails := true
	respond := func(call client.Call) (int, any) {
		body, _ := call.Body.(map[string]any)
		switch {
		case call.Path == "/hosts/delete":
			return 200, nil
		case body["harbour"] == "failing" && zoneFails:
			return 500, nil // leaves the outcome unknown
		case body["harbour"] != nil:
			return 200, map[string]any{"oarlocks": []string{"vm-" + body["charter"].(string)}}
		}
		return 200, instancePage(0, 0, false)
	}
	f.respondFor(5*time.Second, respond)
	f.client.RequestInstances(InstanceKind{"k", "healthy", false}, 1)
	f.client.Terminate([]string{"vm-000001"}, "test")
	firstSecond := f.respondFor(time.Second, respond)
	if firstSecond["/hosts healthy"] != 1 || firstSecond["/hosts/delete"] != 1 {
		t.Errorf("calls in the first second: got %v, want one request in the healthy zone and one deletion", firstSecond)
	}
	if f.client.CanRequest(f.now, InstanceKind{"other", "failing", false}) ||
		!f.client.CanRequest(f.now, InstanceKind{"other", "healthy", false}) {
		t.Errorf(
			"further requests: failing zone %v, healthy zone %v, want false, true",
			f.client.CanRequest(f.now, InstanceKind{"other", "failing", false}),
			f.client.CanRequest(f.now, InstanceKind{"other", "healthy", false}),
		)
	}
	counts := f.respondFor(20*time.Second, respond)
	if n := counts["/hosts failing"]; n < 5 || float64(n) > 20*4*retryShare+8 {
		t.Errorf("retries in 20 s at 4 calls a second: got %d, want 5 to %g", n, 20*4*retryShare+8)
	}
	if counts["/hosts"] < 8 {
		t.Errorf("lists in 20 s: got %d, want at least 8", counts["/hosts"])
	}
	zoneFails = false
	f.respondFor(20*time.Second, respond)
	unresolved := f.client.requests.unresolvedByZone
	if !f.client.CanRequest(f.now, InstanceKind{"other", "failing", false}) || len(unresolved) != 1 || unresolved["failing"] != 0 {
		t.Errorf(
			"after the zone recovered: unresolved requests %v, further requests %v, want map[failing:0], true",
			unresolved, f.client.CanRequest(f.now, InstanceKind{"other", "failing", false}),
		)
	}
}

// TestRefusedDeletionIsSplit checks that an instance that cannot be deleted does not prevent the deletion of the other instances
// in its request.
func TestRefusedDeletionIsSplit(t *testing.T) {
	f := newFixture(t)
	var ids []string
	for i := range 100 {
		ids = append(ids, fmt.Sprintf("vm-%06d", i))
		f.client.Instances[ids[i]] = &Instance{ID: ids[i], LastSeenAt: f.now.Add(time.Hour)}
	}
	f.client.Terminate(ids, "test")
	f.respondFor(time.Minute, func(call client.Call) (int, any) {
		if call.Path != "/hosts/delete" {
			return 503, map[string]any{"error": "failure"}
		}
		if slices.Contains(call.Body.(map[string]any)["oarlocks"].([]string), "vm-000042") {
			return 409, nil
		}
		return 200, nil
	})
	if deleted := f.client.TakeConfirmedDeletions(); len(deleted) != 99 || f.client.IsDeleted("vm-000042") {
		t.Errorf("confirmed deletions: got %d, vm-000042 deleted %v, want 99, false", len(deleted), f.client.IsDeleted("vm-000042"))
	}
}

// TestUnavailableCloudIsProbed checks that a cloud that does not respond is called about once a second, regardless of the length
// of the queue. The whole queue is sent once the cloud responds again.
func TestUnavailableCloudIsProbed(t *testing.T) {
	f := newFixture(t)
	for i := range 12 {
		f.client.RequestInstances(InstanceKind{fmt.Sprintf("k%d", i), fmt.Sprint("zone", i), false}, 1)
	}
	cloudResponds := false
	respond := func(call client.Call) (int, any) {
		if !cloudResponds {
			return 0, nil
		}
		if body, _ := call.Body.(map[string]any); body["charter"] != nil {
			return 200, map[string]any{"oarlocks": []string{"vm-" + body["charter"].(string)}}
		}
		return 503, map[string]any{"error": "no list now"}
	}
	f.respondFor(10*time.Second, respond)
	calls := 0
	for _, count := range f.respondFor(20*time.Second, respond) {
		calls += count
	}
	if calls < 12 || calls > 45 {
		t.Errorf("calls in 20 s to a cloud that does not respond: got %d, want 12 to 45", calls)
	}
	cloudResponds = true
	f.respondFor(20*time.Second, respond)
	if len(f.client.Instances) != 12 {
		t.Errorf("instances once the cloud responds: got %d, want 12", len(f.client.Instances))
	}
}

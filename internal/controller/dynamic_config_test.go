package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/dynamicconfig"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/server"
)

// configClient sends changes of the dynamic configuration to a leader.
type configClient struct {
	controller *Controller
	service    *fakeStateService
}

// configResponse has the fields of a response that these tests check.
type configResponse struct {
	dynamicconfig.View
	Status int
	Error  string
}

func (o configClient) apply(t *testing.T, now time.Time, author, text string) configResponse {
	t.Helper()
	body := marshal(t, dynamicconfig.ChangeRequest{Author: author, Text: text})
	o.controller.holdsLease = true
	o.controller.route(now, &server.Request{Method: "POST", Target: "/settings", Body: body})
	o.controller.leadership.storage.Flush(now, &o.controller.outbox)
	o.service.respondToAllCalls(t, now, o.controller)
	reply := o.controller.takeResponse(t)
	response := configResponse{Status: reply.Status}
	var refusal struct {
		Error string `msgpack:"error"`
	}
	unmarshal(t, reply.Body, &response.View)
	unmarshal(t, reply.Body, &refusal)
	response.Error = refusal.Error
	return response
}

// TestOptionsAreApplied checks that a change is applied as a whole or not at all, takes effect once it is durable, is
// loaded by the next leader, and is recorded with its author.
func TestOptionsAreApplied(t *testing.T) {
	now := time.Unix(10_000, 0)
	controller, service := newTestLeader(now, config.DefaultOptions()), newFakeStateService()
	controller.loadState(t, now, service)
	operator := configClient{controller, service}
	options := controller.leadership.dynamicConfig.Options()

	checkRefusedChanges(t, now, operator)
	if *options != controller.options || len(service.values) > 0 {
		t.Fatalf("after refused changes: options %+v, %d stored values, want %+v, 0", *options, len(service.values), controller.options)
	}

	service.unavailable = true
	response := operator.apply(t, now, "anna", "<gullrudder><term>20</term></gullrudder>")
	if response.Status != 503 || options.PlanningInterval != controller.options.PlanningInterval {
		t.Errorf(
			"unavailable state service: got status %d, planning interval %v, want 503, %v",
			response.Status, options.PlanningInterval, controller.options.PlanningInterval,
		)
	}

	service.unavailable = false
	now = applyManyChanges(t, now, operator)
	if options.AgedShare != 0.39 || controller.leadership.ranker.AgeingPolicy().Share != 0.39 {
		t.Errorf(
			"aged share: got %g in the options, %g in the ranker, want 0.39",
			options.AgedShare, controller.leadership.ranker.AgeingPolicy().Share,
		)
	}

	next := nextLeader(t, now, service)
	got, want := next.leadership.dynamicConfig.View(), controller.leadership.dynamicConfig.View()
	if got.Version != want.Version || got.Changes[0].Author != "berta" || next.leadership.dynamicConfig.Options().AgedShare != 0.39 {
		t.Errorf(
			"options of the next leader: got %+v, aged share %g, want version %d by berta, 0.39",
			got, next.leadership.dynamicConfig.Options().AgedShare, want.Version,
		)
	}
}

// checkRefusedChanges checks that invalid changes are refused with an error that contains the reason.
func checkRefusedChanges(t *testing.T, now time.Time, operator configClient) {
	t.Helper()
	for text, want := range map[string]string{
		"<gullrudder><aged-share>0.1</aged-share><term>0</term></gullrudder>": "<term>",
		"<gullrudder><aged-share>0.1</aged-share><agg>1</agg></gullrudder>":   "<agg>",
		"<gullrudder><leader-lease>5</leader-lease></gullrudder>":             "leader-lease",
		"<gullrudder>" + strings.Repeat(" ", 1<<10) + "</gullrudder>":         "at most",
	} {
		if response := operator.apply(t, now, "anna", text); response.Status != 400 || !strings.Contains(response.Error, want) {
			t.Errorf("change %.50s: got status %d, error %q, want 400, error with %q", text, response.Status, response.Error, want)
		}
	}
}

// applyManyChanges applies more changes than the stored record keeps, and returns the time of the last one.
func applyManyChanges(t *testing.T, now time.Time, operator configClient) time.Time {
	t.Helper()
	const maxRecorded = 12
	for i := range 30 {
		now = now.Add(3 * time.Second)
		text := fmt.Sprintf("<gullrudder><aged-share>0.%02d</aged-share><seal-jobs>%d</seal-jobs></gullrudder>", i+10, i+1)
		for range 3 { // at first the commit of the change that failed is still being retried
			if got := operator.apply(t, now, "berta", text); got.Status == 200 {
				if got.Version < i+1 || got.Changes[0].Author != "berta" && i > 0 || len(got.Changes) > maxRecorded {
					t.Fatalf("change %d: got %+v, want at least version %d by berta and at most %d changes", i, got, i+1, maxRecorded)
				}
				break
			}
			now = now.Add(3 * time.Second)
		}
	}
	return now
}

// nextLeader returns a new leader that has loaded the stored page.
func nextLeader(t *testing.T, now time.Time, service *fakeStateService) *Controller {
	t.Helper()
	page := map[string]any{"path": "page/000000", "value": service.values["page/000000"], "mark": 5}
	list := marshal(t, map[string]any{"entries": []any{page}, "has_next": false})
	next := newTestLeader(now, config.DefaultOptions())
	next.leadership.storage.Load(&next.outbox)
	for i, call := range next.outbox.TakeCalls() {
		body := list
		if i > 0 {
			body = []byte{0x80} // an empty map
		}
		call.Done(now, client.Result{Status: 200, Body: body})
	}
	next.leadership.failover.LoadState(now)
	return next
}

package controller

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/dynamicconfig"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/server"
)

func (n *Controller) applySettings(
	t *testing.T,
	now time.Time,
	service *fakeStateService,
	changedBy, text string,
) (int, string, dynamicconfig.View) {
	t.Helper()
	raw, err := codec.Marshal(dynamicconfig.ChangeRequest{Author: changedBy, Text: text})
	if err != nil {
		t.Fatal(err)
	}
	n.holdsLease = true
	n.route(now, &server.Request{Method: "POST", Target: "/settings", Body: raw})
	n.leadership.storage.Flush(now, &n.outbox)
	for calls := n.outbox.TakeCalls(); len(calls) > 0; calls = n.outbox.TakeCalls() {
		for _, c := range calls {
			c.Done(now, service.exchange(t, c))
		}
	}
	replies := n.responder.TakeResponses()
	if len(replies) != 1 {
		t.Fatalf("%d answers", len(replies))
	}
	reply := replies[0]
	var view dynamicconfig.View
	var refusal struct {
		Error string `msgpack:"error"`
	}
	if codec.Unmarshal(reply.Body, &view) != nil || codec.Unmarshal(reply.Body, &refusal) != nil {
		t.Fatal("an answer cannot be read")
	}
	return reply.Status, refusal.Error, view
}

// Settings are taken as a whole or not at all, count once they are durable, are what the next
// leader has too, and it is written down who changed what.
func TestSettingsAreApplied(t *testing.T) {
	now := time.Unix(10_000, 0)
	platform := &config.Platform{
		Name: "n", HeartbeatInterval: 4 * time.Second, WorkerLeaseDuration: 20 * time.Second, CPUQuota: 0.2, MaxConnections: 1000,
		StateWriteRate: 1000, StateRequestRate: 200, MaxValueBytes: 4096, MaxTransactionOps: 8, CloudRequestRate: 2,
	}
	newLeader := func() *Controller {
		controller := New(platform, config.DefaultOptions(), now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
		controller.leadership = controller.newLeadership(now, 1)
		return controller
	}
	controller := newLeader()
	service := &fakeStateService{values: map[string]any{}, modRevisions: map[string]uint64{}}
	controller.leadership.storage.Load(&controller.outbox)
	for _, c := range controller.outbox.TakeCalls() {
		c.Done(now, service.exchange(t, c))
	}
	controller.leadership.failover.LoadState(now)
	options := controller.leadership.dynamicConfig.Options()
	for text, want := range map[string]string{
		"<gullrudder><aged-share>0.1</aged-share><term>0</term></gullrudder>": "<term>",
		"<gullrudder><aged-share>0.1</aged-share><agg>1</agg></gullrudder>":   "<agg>",
		"<gullrudder><leader-lease>5</leader-lease></gullrudder>":             "leader-lease",
		"<gullrudder>" + strings.Repeat(" ", 1<<10) + "</gullrudder>":         "at most",
	} {
		if status, reason, _ := controller.applySettings(t, now, service, "anna", text); status != 400 || !strings.Contains(reason, want) {
			t.Errorf("%.50s: %d, %q", text, status, reason)
		}
	}
	if *options != controller.options || len(service.values) > 0 {
		t.Fatal("settings that were refused have changed something")
	}
	service.unavailable = true
	if status, _, _ := controller.applySettings(
		t,
		now,
		service,
		"anna",
		"<gullrudder><term>20</term></gullrudder>",
	); status != 503 ||
		options.PlanningInterval != controller.options.PlanningInterval {
		t.Errorf("without a state service: %d, term %v", status, options.PlanningInterval)
	}
	service.unavailable = false
	for i := range 30 {
		now = now.Add(3 * time.Second)
		text := fmt.Sprintf("<gullrudder><aged-share>0.%02d</aged-share><seal-jobs>%d</seal-jobs></gullrudder>", i+10, i+1)
		for range 3 { // the one that was not saved goes out first
			if status, _, got := controller.applySettings(t, now, service, "berta", text); status == 200 {
				if got.Version < i+1 || got.Changes[0].Author != "berta" && i > 0 || len(got.Changes) > 12 {
					t.Fatalf("change %d: %+v", i, got)
				}
				break
			}
			now = now.Add(3 * time.Second)
		}
	}
	if options.AgedShare != 0.39 || controller.leadership.ranker.AgeingPolicy().Share != 0.39 {
		t.Errorf("a share of %g counts, and %g in the plan", options.AgedShare, controller.leadership.ranker.AgeingPolicy().Share)
	}
	// The next leader reads the page that was written.
	next := newLeader()
	page := service.values["page/000000"]
	raw, err := codec.Marshal(
		map[string]any{"entries": []any{map[string]any{"path": "page/000000", "value": page, "mark": 5}}, "has_next": false},
	)
	if err != nil {
		t.Fatal(err)
	}
	next.leadership.storage.Load(&next.outbox)
	for i, c := range next.outbox.TakeCalls() {
		body := raw
		if i > 0 {
			body = []byte{0x80}
		}
		c.Done(now, client.Result{Status: 200, Body: body})
	}
	next.leadership.failover.LoadState(now)
	if got := next.leadership.dynamicConfig.View(); got.Version != controller.leadership.dynamicConfig.View().Version ||
		next.leadership.dynamicConfig.Options().AgedShare != 0.39 ||
		got.Changes[0].Author != "berta" {
		t.Errorf("the next leader has %+v", got)
	}
}

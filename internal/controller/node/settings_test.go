package node

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/settings"
	"gullrudder/internal/wire/inbox"
	"gullrudder/internal/wire/outbox"
	"gullrudder/internal/wire/packed"
)

func (n *Node) apply(t *testing.T, now time.Time, s *stateMap, who, text string) (int, string, settings.View) {
	t.Helper()
	raw, err := packed.Marshal(settings.Request{Who: who, Text: text})
	if err != nil {
		t.Fatal(err)
	}
	n.acting = true
	n.request(now, &inbox.Request{Method: "POST", Target: "/settings", Body: raw})
	n.lead.ledger.Flush(now, &n.box)
	for calls := n.box.Take(); len(calls) > 0; calls = n.box.Take() {
		for _, c := range calls {
			c.Done(now, s.exchange(t, c))
		}
	}
	replies := n.out.Take()
	if len(replies) != 1 {
		t.Fatalf("%d answers", len(replies))
	}
	r := replies[0]
	var set settings.View
	var e struct {
		Error string `msgpack:"error"`
	}
	if packed.Unmarshal(r.Body, &set) != nil || packed.Unmarshal(r.Body, &e) != nil {
		t.Fatal("an answer cannot be read")
	}
	return r.Status, e.Error, set
}

// Settings are taken as a whole or not at all, count once they are durable, are what the next
// leader has too, and it is written down who changed what.
func TestSettingsAreApplied(t *testing.T) {
	now := time.Unix(10_000, 0)
	cfg := &config.Platform{Name: "n", ReportEvery: 4 * time.Second, WorkerLease: 20 * time.Second, CPUShare: 0.2, Connections: 1000,
		StateWrites: 1000, StateRate: 200, ValueBytes: 4096, TxnOps: 8, CloudRate: 2}
	leading := func() *Node {
		n := New(cfg, config.DefaultOptions(), now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
		n.lead = n.newLeadership(now, 1)
		return n
	}
	n := leading()
	s := &stateMap{keys: map[string]any{}, mark: map[string]uint64{}}
	n.lead.ledger.Load(&n.box)
	for _, c := range n.box.Take() {
		c.Done(now, s.exchange(t, c))
	}
	n.lead.takeover.Read(now)
	options := n.lead.settings.Options()
	for text, want := range map[string]string{
		"<gullrudder><aged-share>0.1</aged-share><term>0</term></gullrudder>": "<term>",
		"<gullrudder><aged-share>0.1</aged-share><agg>1</agg></gullrudder>":   "<agg>",
		"<gullrudder><leader-lease>5</leader-lease></gullrudder>":             "leader-lease",
		"<gullrudder>" + strings.Repeat(" ", 1<<10) + "</gullrudder>":         "at most",
	} {
		if status, why, _ := n.apply(t, now, s, "anna", text); status != 400 || !strings.Contains(why, want) {
			t.Errorf("%.50s: %d, %q", text, status, why)
		}
	}
	if *options != n.opt || len(s.keys) > 0 {
		t.Fatal("settings that were refused have changed something")
	}
	s.down = true
	if status, _, _ := n.apply(t, now, s, "anna", "<gullrudder><term>20</term></gullrudder>"); status != 503 || options.Term != n.opt.Term {
		t.Errorf("without a state service: %d, term %v", status, options.Term)
	}
	s.down = false
	for i := range 30 {
		now = now.Add(3 * time.Second)
		text := fmt.Sprintf("<gullrudder><aged-share>0.%02d</aged-share><seal-jobs>%d</seal-jobs></gullrudder>", i+10, i+1)
		for range 3 { // the one that was not saved goes out first
			if status, _, got := n.apply(t, now, s, "berta", text); status == 200 {
				if got.Version < i+1 || got.Changes[0].Who != "berta" && i > 0 || len(got.Changes) > 12 {
					t.Fatalf("change %d: %+v", i, got)
				}
				break
			}
			now = now.Add(3 * time.Second)
		}
	}
	if options.AgedShare != 0.39 || n.lead.planner.Terms().Share != 0.39 {
		t.Errorf("a share of %g counts, and %g in the plan", options.AgedShare, n.lead.planner.Terms().Share)
	}
	// The next leader reads the page that was written.
	next := leading()
	page := s.keys["page/000000"]
	raw, err := packed.Marshal(map[string]any{"entries": []any{map[string]any{"path": "page/000000", "value": page, "mark": 5}}, "has_next": false})
	if err != nil {
		t.Fatal(err)
	}
	next.lead.ledger.Load(&next.box)
	for i, c := range next.box.Take() {
		body := raw
		if i > 0 {
			body = []byte{0x80}
		}
		c.Done(now, outbox.Result{Status: 200, Body: body})
	}
	next.lead.takeover.Read(now)
	if got := next.lead.settings.View(); got.Version != n.lead.settings.View().Version || next.lead.settings.Options().AgedShare != 0.39 || got.Changes[0].Who != "berta" {
		t.Errorf("the next leader has %+v", got)
	}
}

package node

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/controller/ledger"
	"gullrudder/internal/wire/outbox"
	"gullrudder/internal/wire/packed"
)

func (n *Node) apply(t *testing.T, now time.Time, s *stateMap, who, text string) (int, string, Settings) {
	t.Helper()
	raw, err := packed.Marshal(SettingsRequest{who, text})
	if err != nil {
		t.Fatal(err)
	}
	n.acting = true
	n.request(now, &Request{Method: "POST", Target: "/settings", Body: raw})
	n.lead.ledger.Flush(now, &n.box)
	for calls := n.box.Take(); len(calls) > 0; calls = n.box.Take() {
		for _, c := range calls {
			c.Done(now, s.exchange(t, c))
		}
	}
	if len(n.replies) != 1 {
		t.Fatalf("%d answers", len(n.replies))
	}
	r := n.replies[0]
	n.replies = nil
	var set Settings
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
	n := leading(now)
	s := &stateMap{keys: map[string]any{}, mark: map[string]uint64{}}
	open := func() {
		n.lead.ledger = ledger.New(ledger.Options{LeaderKey: "leader", ValueBytes: 4096, TxnOps: 8, WriteRate: 1000}, 1, slog.New(slog.DiscardHandler))
		n.lead.ledger.Load(&n.box)
		for _, c := range n.box.Take() {
			c.Done(now, s.exchange(t, c))
		}
	}
	open()
	for text, want := range map[string]string{
		"<gullrudder><aged-share>0.1</aged-share><term>0</term></gullrudder>": "<term>",
		"<gullrudder><aged-share>0.1</aged-share><agg>1</agg></gullrudder>":   "<agg>",
		"<gullrudder><leader-lease>5</leader-lease></gullrudder>":             "leader-lease",
		"<gullrudder>" + strings.Repeat(" ", mostSettings) + "</gullrudder>":  "at most",
	} {
		if status, why, _ := n.apply(t, now, s, "anna", text); status != 400 || !strings.Contains(why, want) {
			t.Errorf("%.50s: %d, %q", text, status, why)
		}
	}
	if n.lead.options != n.opt || len(s.keys) > 0 {
		t.Fatal("settings that were refused have changed something")
	}
	s.down = true
	if status, _, _ := n.apply(t, now, s, "anna", "<gullrudder><term>20</term></gullrudder>"); status != 503 || n.lead.options.Term != n.opt.Term {
		t.Errorf("without a state service: %d, term %v", status, n.lead.options.Term)
	}
	s.down = false
	for i := range 30 {
		now = now.Add(3 * time.Second)
		text := fmt.Sprintf("<gullrudder><aged-share>0.%02d</aged-share><seal-jobs>%d</seal-jobs></gullrudder>", i+10, i+1)
		for range 3 { // the one that was not saved goes out first
			if status, _, got := n.apply(t, now, s, "berta", text); status == 200 {
				if got.Version < i+1 || got.Changes[0].Who != "berta" && i > 0 || len(got.Changes) > mostChanges {
					t.Fatalf("change %d: %+v", i, got)
				}
				break
			}
			now = now.Add(3 * time.Second)
		}
	}
	if n.lead.options.AgedShare != 0.39 || n.lead.planner.Terms().Share != 0.39 {
		t.Errorf("a share of %g counts, and %g in the plan", n.lead.options.AgedShare, n.lead.planner.Terms().Share)
	}
	if size := n.lead.settings.size(); size > settingsReserve {
		t.Errorf("the entry has %d bytes", size)
	}
	// The next leader reads the page that was written.
	next := leading(now)
	page := s.keys["page/000000"]
	raw, err := packed.Marshal(map[string]any{"entries": []any{map[string]any{"path": "page/000000", "value": page, "mark": 5}}, "has_next": false})
	if err != nil {
		t.Fatal(err)
	}
	next.lead.built = false
	next.lead.ledger.Load(&next.box)
	for i, c := range next.box.Take() {
		body := raw
		if i > 0 {
			body = []byte{0x80}
		}
		c.Done(now, outbox.Result{Status: 200, Body: body})
	}
	next.build(now)
	if got := next.settings(); got.Version != n.settings().Version || next.lead.options.AgedShare != 0.39 || got.Changes[0].Who != "berta" {
		t.Errorf("the next leader has %+v", got)
	}
}

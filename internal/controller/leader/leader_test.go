package leader

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/wire/outbox"
	"gullrudder/internal/wire/packed"
)

const (
	lease    = 2 * time.Second
	promise1 = 2 * time.Second
)

type fixture struct {
	t   *testing.T
	e   *Election
	now time.Time
	box outbox.Box
}

func fresh(t *testing.T) *fixture {
	now := time.Unix(1000, 0)
	return &fixture{t: t, now: now, e: New(Options{Name: "a", Peers: []Peer{{"b", "b"}, {"c", "c"}}, Lease: lease, Promise: promise1,
		Slack: 100 * time.Millisecond}, now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.NewTextHandler(io.Discard, nil)))}
}

// tick lets time pass and returns the calls made.
func (f *fixture) tick(d time.Duration) []outbox.Call {
	f.now = f.now.Add(d)
	f.e.Tick(f.now, &f.box)
	return f.box.Take()
}

func body(t *testing.T, v any) []byte {
	raw, err := packed.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// answer settles the calls whose path begins with prefix and returns how many there were.
func (f *fixture) answer(calls []outbox.Call, prefix string, status int, v any) int {
	n := 0
	for _, c := range calls {
		if strings.HasPrefix(c.Path, prefix) {
			n++
			var raw []byte
			if v != nil {
				raw = body(f.t, v)
			}
			c.Done(f.now, outbox.Result{Status: status, Body: raw})
		}
	}
	return n
}

func campaigns(calls []outbox.Call) bool {
	for _, c := range calls {
		if c.Method == "POST" && c.Path == "/leases" {
			return true
		}
	}
	return false
}

// elect makes the process leader; every other controller says that it does not lead.
func (f *fixture) elect() {
	calls := f.tick(0)
	f.answer(calls, "/peer/inquiry", 200, InquiryAnswer{})
	f.answer(calls, "/keys/", 404, map[string]int{"tide": 5})
	calls = f.tick(100 * time.Millisecond)
	if f.answer(calls, "/leases", 200, map[string]int{"permit": 3}) != 1 {
		f.t.Fatal("no campaign")
	}
	if f.answer(f.box.Take(), "/commit", 200, map[string]int{"tide": 6}) != 1 {
		f.t.Fatal("no claim")
	}
	if !f.e.Entitled(f.now) || f.e.Token() != 6 {
		f.t.Fatalf("not elected: token %d", f.e.Token())
	}
}

// A new process may have promised something before it ended: it does not campaign for one
// promise window, unless every other controller tells it that it does not lead.
func TestNewProcessKeepsAnOldPromise(t *testing.T) {
	f := fresh(t)
	calls := f.tick(0)
	f.answer(calls, "/keys/", 404, map[string]int{"tide": 5})
	for range 19 {
		if calls = f.tick(100 * time.Millisecond); campaigns(calls) {
			t.Fatalf("campaigns %v after its start", f.now.Sub(f.e.booted))
		}
		f.answer(calls, "/keys/", 404, map[string]int{"tide": 5})
	}
	if calls = f.tick(300 * time.Millisecond); !campaigns(calls) {
		t.Error("does not campaign after the window")
	}
}

// One controller that does not answer is enough to be bound.
func TestOnePeerThatIsSilentBinds(t *testing.T) {
	f := fresh(t)
	calls := f.tick(0)
	for _, c := range calls {
		if c.Path == "/peer/inquiry" && c.Addr == "b" {
			c.Done(f.now, outbox.Result{Status: 200, Body: body(t, InquiryAnswer{})})
		}
	}
	f.answer(calls, "/keys/", 404, map[string]int{"tide": 5})
	if campaigns(f.tick(200 * time.Millisecond)) {
		t.Error("campaigns although one controller may rely on a promise")
	}
}

// Who has promised does not campaign before the promise is over, counted from receipt.
func TestPromiseForbidsToCampaign(t *testing.T) {
	f := fresh(t)
	calls := f.tick(0)
	f.answer(calls, "/peer/inquiry", 200, InquiryAnswer{})
	f.now = f.now.Add(10 * time.Millisecond)
	if !f.e.HandleHello(f.now, Hello{Name: "b", Token: 4}).Promised {
		t.Fatal("no promise")
	}
	f.answer(calls, "/keys/", 404, map[string]int{"tide": 5})
	if f.e.HandleHello(f.now, Hello{Name: "b", Token: 4}).Promised {
		t.Error("promises again although it knows that the key is gone")
	}
	for range 20 {
		calls = f.tick(100 * time.Millisecond)
		if campaigns(calls) {
			t.Fatal("campaigns while bound")
		}
		f.answer(calls, "/keys/", 404, map[string]int{"tide": 5})
	}
	if !campaigns(f.tick(200 * time.Millisecond)) {
		t.Error("does not campaign once free")
	}
}

// Without the state service the entitlement ends one lease, less drift and slack, after
// the last renewal was sent, unless every other controller has promised.
func TestEntitlementNeedsEveryPromise(t *testing.T) {
	for name, who := range map[string]string{"none": "", "one": "b", "all": "bc"} {
		f := fresh(t)
		f.elect()
		end := f.now.Add(lease)
		var held bool
		for f.now.Before(end) {
			calls := f.tick(50 * time.Millisecond)
			for _, c := range calls {
				if c.Path == "/peer/hello" && strings.Contains(who, c.Addr) {
					c.Done(f.now, outbox.Result{Status: 200, Body: body(t, HelloAnswer{Promised: true})})
				} else if c.Path == "/peer/hello" {
					c.Done(f.now, outbox.Result{})
				}
			}
			f.answer(calls, "/leases/3/touch", 503, nil)
		}
		held = f.e.Entitled(f.now)
		if held != (name == "all") {
			t.Errorf("%s promised: entitled %v a lease after the last renewal", name, held)
		}
	}
}

// A promise counts from when the request for it was sent, not from when its answer came.
func TestPromiseCountsFromSending(t *testing.T) {
	f := fresh(t)
	f.elect()
	calls := f.tick(50 * time.Millisecond)
	sent := f.now
	f.now = f.now.Add(600 * time.Millisecond)
	f.answer(calls, "/peer/hello", 200, HelloAnswer{Promised: true})
	if limit := sent.Add(promise1 - 100*time.Millisecond); f.e.EntitledUntil().After(limit) {
		t.Errorf("entitled %v too long", f.e.EntitledUntil().Sub(limit))
	}
}

// On a slow processor a renewal comes late. The leadership goes on with what it knows if the
// state service says that the lease is alive, which the peers cannot know; without that it
// ends after one more lease. Before, it was built anew under the same token, and its attempt
// numbers and rental names began anew with it.
func TestLateRenewal(t *testing.T) {
	f := fresh(t)
	f.elect()
	calls := f.tick(lease / 2)
	f.now = f.now.Add(lease * 3 / 4)
	if f.e.Entitled(f.now) {
		t.Fatal("entitled past the lease")
	}
	f.answer(calls, "/peer/hello", 200, HelloAnswer{Promised: true})
	if f.e.Entitled(f.now) {
		t.Error("promises given after the entitlement had lapsed carry it on")
	}
	f.answer(calls, "/leases/3/touch", 200, nil)
	if !f.e.Entitled(f.now) || f.e.Token() != 6 {
		t.Errorf("entitled %v with token %d after a renewal that came late", f.e.Entitled(f.now), f.e.Token())
	}
	f.tick(lease)
	if !f.e.Leading() || f.e.Entitled(f.now) {
		t.Errorf("leads %v, entitled %v while the next renewal is late", f.e.Leading(), f.e.Entitled(f.now))
	}
	if f.tick(lease); f.e.Leading() {
		t.Error("still leads two leases after the last renewal")
	}
}

// A leader whose renewals fail while the state service answers another controller hands over at once:
// it does not act any more, and the others are bound no longer and end its lease. While the state
// service is away for all it stays.
func TestLeaderThatIsCutFromTheStateServiceHandsOver(t *testing.T) {
	for name, sees := range map[string]bool{"the others are served": true, "nobody is": false} {
		f := fresh(t)
		f.elect()
		yielded := false
		began := f.now
		for f.now.Sub(began) < lease {
			calls := f.tick(50 * time.Millisecond)
			f.answer(calls, "/leases/3/touch", 503, nil)
			for _, c := range calls {
				if h, ok := c.Body.(Hello); ok && c.Path == "/peer/hello" && h.Yield == 0 {
					c.Done(f.now, outbox.Result{Status: 200, Body: body(t, HelloAnswer{Promised: true, Sees: sees && h.Doubt})})
				}
			}
			for _, c := range f.box.Take() {
				if h, ok := c.Body.(Hello); ok && h.Yield == 3 && h.Token == 6 {
					yielded = true
				}
			}
			if yielded {
				break
			}
		}
		if yielded != sees || f.e.Entitled(f.now) == sees || f.e.Leading() == sees {
			t.Errorf("%s: handed over %v, still entitled %v", name, yielded, f.e.Entitled(f.now))
		}
		if took := f.now.Sub(began); sees && took > lease {
			t.Errorf("handed over after %v", took)
		}
	}
}

// Who is told that a leadership was handed over is bound no more and ends its lease; unless a later
// leader relies on a promise: the message may have been held up.
func TestHandedOver(t *testing.T) {
	for name, later := range map[string]bool{"in time": false, "late, after a promise to another leader": true} {
		f := fresh(t)
		calls := f.tick(0)
		f.answer(calls, "/peer/inquiry", 200, InquiryAnswer{})
		f.answer(calls, "/keys/", 200, map[string]any{"value": map[string]any{"name": "b", "permit": 3}, "mark": 4})
		f.box.Take()
		f.e.HandleHello(f.now, Hello{Name: "b", Token: 4})
		if later {
			f.e.HandleHello(f.now, Hello{Name: "c", Token: 9})
			f.e.HandleHello(f.now, Hello{Name: "b", Token: 4}) // held up too
		}
		f.e.HandleHello(f.now, Hello{Name: "b", Token: 4, Yield: 3})
		if f.e.bound(f.now.Add(time.Millisecond)) != later {
			t.Errorf("%s: bound %v", name, !later)
		}
		ended := 0
		for _, c := range f.tick(50 * time.Millisecond) {
			if c.Method == "DELETE" && c.Path == "/leases/3" {
				ended++
			}
		}
		if ended != 1 {
			t.Errorf("%s: its lease was ended %d times", name, ended)
		}
	}
}

// A follower that is asked finds out whether the state service answers it, and says so.
func TestFollowerSaysWhetherItIsServed(t *testing.T) {
	for _, served := range []bool{true, false} {
		f := fresh(t)
		calls := f.tick(0)
		f.answer(calls, "/keys/", 200, map[string]any{"value": map[string]any{"name": "b", "permit": 3}, "mark": 4})
		f.box.Take()
		f.now = f.now.Add(time.Second)
		if f.e.HandleHello(f.now, Hello{Name: "b", Token: 4, Doubt: true}).Sees {
			t.Error("says that it is served before it has asked")
		}
		calls = f.tick(50 * time.Millisecond)
		status := 503
		if served {
			status = 200
		}
		if f.answer(calls, "/keys/", status, nil) != 1 {
			t.Fatal("does not ask")
		}
		if got := f.e.HandleHello(f.now.Add(100*time.Millisecond), Hello{Name: "b", Token: 4, Doubt: true}).Sees; got != served {
			t.Errorf("says %v, is %v", got, served)
		}
	}
}

// A controller that hears neither the state service nor the others says so after a while; while one of them speaks it
// does not, also between two leaders when nobody greets: it asks then. One that has no others is never alone.
func TestAlone(t *testing.T) {
	for name, c := range map[string]struct{ state, peers, want bool }{
		"cut from both":                    {false, false, true},
		"the state service is away":        {false, true, false},
		"refused by the state service":     {true, false, false},
		"peers refuse, the state does not": {true, false, false},
	} {
		f := fresh(t)
		for range 80 {
			calls := f.tick(100 * time.Millisecond)
			for _, call := range calls {
				switch {
				case call.Service == outbox.Peer && c.peers:
					call.Done(f.now, outbox.Result{Status: 200, Body: body(t, InquiryAnswer{Leading: true})})
				case call.Service == outbox.State && c.state:
					call.Done(f.now, outbox.Result{Status: 503})
				default:
					call.Done(f.now, outbox.Result{})
				}
			}
			f.box.Take()
		}
		if got := f.e.Alone(f.now); got != c.want {
			t.Errorf("%s: alone %v", name, got)
		}
	}
}

// Answers of the state service that make no sense are taken as none: a tide that falls does not tell that the key is
// gone, and a key without its mark is nobody's token.
func TestAnswersThatMakeNoSense(t *testing.T) {
	f := fresh(t)
	calls := f.tick(0)
	f.answer(calls, "/keys/", 200, map[string]any{"value": leaderValue{"b", 3}, "mark": 40})
	watch := f.box.Take()
	gone := map[string]any{"tide": 7, "log": []any{map[string]any{"drop": Key, "mark": 7}}}
	if f.answer(watch, "/watch", 200, gone) != 1 || f.e.absent {
		t.Error("believes that the key is gone by a tide that has fallen")
	}
	if !f.e.HandleHello(f.now, Hello{Name: "b", Token: 40}).Promised {
		t.Error("does not carry the leader on")
	}
	f.answer(f.tick(lease), "/keys/", 200, map[string]any{"value": leaderValue{"b", 3}})
	if f.e.tide != 40 {
		t.Errorf("watches from %d", f.e.tide)
	}

	g := fresh(t)
	calls = g.tick(0)
	g.answer(calls, "/peer/inquiry", 200, InquiryAnswer{})
	g.answer(calls, "/keys/", 404, map[string]int{"tide": 5})
	g.answer(g.tick(100*time.Millisecond), "/leases", 200, map[string]int{"permit": 3})
	g.answer(g.box.Take(), "/commit", 0, nil)
	g.answer(g.box.Take(), "/keys/", 200, map[string]any{"value": leaderValue{"a", 3}})
	if g.e.Leading() {
		t.Error("leads without a token")
	}
}

// A claim that nobody answered may be carried out at any later time: its lease is ended, so that it is refused then, and
// what the key says then is not taken for a leadership.
func TestAClaimCarriedOutLate(t *testing.T) {
	f := fresh(t)
	calls := f.tick(0)
	f.answer(calls, "/peer/inquiry", 200, InquiryAnswer{})
	f.answer(calls, "/keys/", 404, map[string]int{"tide": 5})
	f.answer(f.tick(100*time.Millisecond), "/leases", 200, map[string]int{"permit": 3})
	f.answer(f.box.Take(), "/commit", 0, nil)
	f.answer(f.box.Take(), "/keys/", 404, map[string]int{"tide": 5})
	if f.answer(f.box.Take(), "/leases/3", 200, nil) != 1 {
		t.Error("the lease of the claim is not ended")
	}
	// It was carried out before the lease could be ended: the key has our name.
	f.answer(f.tick(lease), "/keys/", 200, map[string]any{"value": leaderValue{"a", 3}, "mark": 9})
	if f.e.Leading() || f.e.Entitled(f.now) {
		t.Error("leads by a claim that it has given up")
	}
}

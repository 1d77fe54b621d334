package election

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
)

const (
	leaseDuration = 2 * time.Second
	grantDuration = 2 * time.Second
)

type fixture struct {
	t        *testing.T
	election *Election
	now      time.Time
	box      client.Outbox
}

func newFixture(t *testing.T) *fixture {
	now := time.Unix(1000, 0)
	return &fixture{t: t, now: now, election: New(Options{
		Name: "a", Peers: []Peer{{"b", "b"}, {"c", "c"}}, LeaseDuration: leaseDuration, GrantDuration: grantDuration,
		SafetyMargin: 100 * time.Millisecond,
	}, now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.NewTextHandler(io.Discard, nil)))}
}

// tick lets time pass and returns the calls made.
func (f *fixture) tick(d time.Duration) []client.Call {
	f.now = f.now.Add(d)
	f.election.Tick(f.now, &f.box)
	return f.box.TakeCalls()
}

func encode(t *testing.T, v any) []byte {
	raw, err := codec.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// answer settles the calls whose path begins with prefix and returns how many there were.
func (f *fixture) answer(calls []client.Call, prefix string, status int, response any) int {
	n := 0
	for _, c := range calls {
		if strings.HasPrefix(c.Path, prefix) {
			n++
			var raw []byte
			if response != nil {
				raw = encode(f.t, response)
			}
			c.Done(f.now, client.Result{Status: status, Body: raw})
		}
	}
	return n
}

func hasCampaign(calls []client.Call) bool {
	for _, c := range calls {
		if c.Method == http.MethodPost && c.Path == "/leases" {
			return true
		}
	}
	return false
}

// elect makes the process leader; every other controller says that it does not lead.
func (f *fixture) elect() {
	calls := f.tick(0)
	f.answer(calls, "/peer/inquiry", 200, VoteQueryResponse{})
	f.answer(calls, "/keys/", 404, map[string]int{"tide": 5})
	calls = f.tick(100 * time.Millisecond)
	if f.answer(calls, "/leases", 200, map[string]int{"permit": 3}) != 1 {
		f.t.Fatal("no campaign")
	}
	if f.answer(f.box.TakeCalls(), "/commit", 200, map[string]int{"tide": 6}) != 1 {
		f.t.Fatal("no claim")
	}
	if !f.election.HoldsLease(f.now) || f.election.FencingToken() != 6 {
		f.t.Fatalf("not elected: token %d", f.election.FencingToken())
	}
}

// A new process may have promised something before it ended: it does not campaign for one
// promise window, unless every other controller tells it that it does not lead.
func TestRestartedProcessHonorsGrant(t *testing.T) {
	f := newFixture(t)
	calls := f.tick(0)
	f.answer(calls, "/keys/", 404, map[string]int{"tide": 5})
	for range 19 {
		if calls = f.tick(100 * time.Millisecond); hasCampaign(calls) {
			t.Fatalf("campaigns %v after its start", f.now.Sub(f.election.startedAt))
		}
		f.answer(calls, "/keys/", 404, map[string]int{"tide": 5})
	}
	if calls = f.tick(300 * time.Millisecond); !hasCampaign(calls) {
		t.Error("does not campaign after the window")
	}
}

// One controller that does not answer is enough to be bound.
func TestSilentPeerPreventsCampaign(t *testing.T) {
	f := newFixture(t)
	calls := f.tick(0)
	for _, c := range calls {
		if c.Path == "/peer/inquiry" && c.Addr == "b" {
			c.Done(f.now, client.Result{Status: 200, Body: encode(t, VoteQueryResponse{})})
		}
	}
	f.answer(calls, "/keys/", 404, map[string]int{"tide": 5})
	if hasCampaign(f.tick(200 * time.Millisecond)) {
		t.Error("campaigns although one controller may rely on a promise")
	}
}

// Who has promised does not campaign before the promise is over, counted from receipt.
func TestGrantPreventsCampaign(t *testing.T) {
	f := newFixture(t)
	calls := f.tick(0)
	f.answer(calls, "/peer/inquiry", 200, VoteQueryResponse{})
	f.now = f.now.Add(10 * time.Millisecond)
	if !f.election.HandlePing(f.now, PingRequest{Name: "b", FencingToken: 4}).Granted {
		t.Fatal("no promise")
	}
	f.answer(calls, "/keys/", 404, map[string]int{"tide": 5})
	if f.election.HandlePing(f.now, PingRequest{Name: "b", FencingToken: 4}).Granted {
		t.Error("promises again although it knows that the key is gone")
	}
	for range 20 {
		calls = f.tick(100 * time.Millisecond)
		if hasCampaign(calls) {
			t.Fatal("campaigns while bound")
		}
		f.answer(calls, "/keys/", 404, map[string]int{"tide": 5})
	}
	if !hasCampaign(f.tick(200 * time.Millisecond)) {
		t.Error("does not campaign once free")
	}
}

// Without the state service the entitlement ends one lease, less drift and slack, after
// the last renewal was sent, unless every other controller has promised.
func TestLeaseExtensionNeedsEveryGrant(t *testing.T) {
	for name, who := range map[string]string{"none": "", "one": "b", "all": "bc"} {
		f := newFixture(t)
		f.elect()
		end := f.now.Add(leaseDuration)
		var held bool
		for f.now.Before(end) {
			calls := f.tick(50 * time.Millisecond)
			for _, c := range calls {
				if c.Path == "/peer/hello" && strings.Contains(who, c.Addr) {
					c.Done(f.now, client.Result{Status: 200, Body: encode(t, PingResponse{Granted: true})})
				} else if c.Path == "/peer/hello" {
					c.Done(f.now, client.Result{})
				}
			}
			f.answer(calls, "/leases/3/touch", 503, nil)
		}
		held = f.election.HoldsLease(f.now)
		if held != (name == "all") {
			t.Errorf("%s promised: entitled %v a lease after the last renewal", name, held)
		}
	}
}

// A promise counts from when the request for it was sent, not from when its answer came.
func TestGrantCountsFromSending(t *testing.T) {
	f := newFixture(t)
	f.elect()
	calls := f.tick(50 * time.Millisecond)
	sent := f.now
	f.now = f.now.Add(600 * time.Millisecond)
	f.answer(calls, "/peer/hello", 200, PingResponse{Granted: true})
	if limit := sent.Add(grantDuration - 100*time.Millisecond); f.election.LeaseValidUntil().After(limit) {
		t.Errorf("entitled %v too long", f.election.LeaseValidUntil().Sub(limit))
	}
}

// On a slow processor a renewal comes late. The leadership goes on with what it knows if the
// state service says that the lease is alive, which the peers cannot know; without that it
// ends after one more lease. Before, it was built anew under the same token, and its attempt
// numbers and rental names began anew with it.
func TestLateRenewal(t *testing.T) {
	f := newFixture(t)
	f.elect()
	calls := f.tick(leaseDuration / 2)
	f.now = f.now.Add(leaseDuration * 3 / 4)
	if f.election.HoldsLease(f.now) {
		t.Fatal("entitled past the lease")
	}
	f.answer(calls, "/peer/hello", 200, PingResponse{Granted: true})
	if f.election.HoldsLease(f.now) {
		t.Error("promises given after the entitlement had lapsed carry it on")
	}
	f.answer(calls, "/leases/3/touch", 200, nil)
	if !f.election.HoldsLease(f.now) || f.election.FencingToken() != 6 {
		t.Errorf("entitled %v with token %d after a renewal that came late", f.election.HoldsLease(f.now), f.election.FencingToken())
	}
	f.tick(leaseDuration)
	if !f.election.IsLeader() || f.election.HoldsLease(f.now) {
		t.Errorf("leads %v, entitled %v while the next renewal is late", f.election.IsLeader(), f.election.HoldsLease(f.now))
	}
	if f.tick(leaseDuration); f.election.IsLeader() {
		t.Error("still leads two leases after the last renewal")
	}
}

// A leader whose renewals fail while the state service answers another controller hands over at once:
// it does not act any more, and the others are bound no longer and end its lease. While the state
// service is away for all it stays.
func TestTransferWithoutStateService(t *testing.T) {
	for name, sees := range map[string]bool{"the others are served": true, "nobody is": false} {
		f := newFixture(t)
		f.elect()
		transferred := false
		began := f.now
		for f.now.Sub(began) < leaseDuration {
			calls := f.tick(50 * time.Millisecond)
			f.answer(calls, "/leases/3/touch", 503, nil)
			for _, c := range calls {
				if h, ok := c.Body.(PingRequest); ok && c.Path == "/peer/hello" && h.ReleasedLeaseID == 0 {
					c.Done(f.now, client.Result{Status: 200, Body: encode(t, PingResponse{Granted: true, StateServiceOK: sees && h.ProbeStateService})})
				}
			}
			for _, c := range f.box.TakeCalls() {
				if h, ok := c.Body.(PingRequest); ok && h.ReleasedLeaseID == 3 && h.FencingToken == 6 {
					transferred = true
				}
			}
			if transferred {
				break
			}
		}
		if transferred != sees || f.election.HoldsLease(f.now) == sees || f.election.IsLeader() == sees {
			t.Errorf("%s: handed over %v, still entitled %v", name, transferred, f.election.HoldsLease(f.now))
		}
		if took := f.now.Sub(began); sees && took > leaseDuration {
			t.Errorf("handed over after %v", took)
		}
	}
}

// Who is told that a leadership was handed over is bound no more and ends its lease; unless a later
// leader relies on a promise: the message may have been held up.
func TestFollowerAcceptsTransfer(t *testing.T) {
	for name, later := range map[string]bool{"in time": false, "late, after a promise to another leader": true} {
		f := newFixture(t)
		calls := f.tick(0)
		f.answer(calls, "/peer/inquiry", 200, VoteQueryResponse{})
		f.answer(calls, "/keys/", 200, map[string]any{"value": map[string]any{"name": "b", "permit": 3}, "mark": 4})
		f.box.TakeCalls()
		f.election.HandlePing(f.now, PingRequest{Name: "b", FencingToken: 4})
		if later {
			f.election.HandlePing(f.now, PingRequest{Name: "c", FencingToken: 9})
			f.election.HandlePing(f.now, PingRequest{Name: "b", FencingToken: 4}) // held up too
		}
		f.election.HandlePing(f.now, PingRequest{Name: "b", FencingToken: 4, ReleasedLeaseID: 3})
		if f.election.isBoundByGrant(f.now.Add(time.Millisecond)) != later {
			t.Errorf("%s: bound %v", name, !later)
		}
		ended := 0
		for _, c := range f.tick(50 * time.Millisecond) {
			if c.Method == http.MethodDelete && c.Path == "/leases/3" {
				ended++
			}
		}
		if ended != 1 {
			t.Errorf("%s: its lease was ended %d times", name, ended)
		}
	}
}

// A follower that is asked finds out whether the state service answers it, and says so.
func TestFollowerProbesStateService(t *testing.T) {
	for _, served := range []bool{true, false} {
		f := newFixture(t)
		calls := f.tick(0)
		f.answer(calls, "/keys/", 200, map[string]any{"value": map[string]any{"name": "b", "permit": 3}, "mark": 4})
		f.box.TakeCalls()
		f.now = f.now.Add(time.Second)
		if f.election.HandlePing(f.now, PingRequest{Name: "b", FencingToken: 4, ProbeStateService: true}).StateServiceOK {
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
		if got := f.election.HandlePing(
			f.now.Add(100*time.Millisecond),
			PingRequest{Name: "b", FencingToken: 4, ProbeStateService: true},
		).StateServiceOK; got != served {
			t.Errorf("says %v, is %v", got, served)
		}
	}
}

// A controller that hears neither the state service nor the others says so after a while; while one of them speaks it
// does not, also between two leaders when nobody greets: it asks then. One that has no others is never alone.
func TestIsolation(t *testing.T) {
	for name, c := range map[string]struct{ state, peers, want bool }{
		"cut from both":                    {false, false, true},
		"the state service is away":        {false, true, false},
		"refused by the state service":     {true, false, false},
		"peers refuse, the state does not": {true, false, false},
	} {
		f := newFixture(t)
		for range 80 {
			calls := f.tick(100 * time.Millisecond)
			for _, call := range calls {
				switch {
				case call.Destination == client.PeerController && c.peers:
					call.Done(f.now, client.Result{Status: 200, Body: encode(t, VoteQueryResponse{IsLeader: true})})
				case call.Destination == client.StateService && c.state:
					call.Done(f.now, client.Result{Status: 503})
				default:
					call.Done(f.now, client.Result{})
				}
			}
			f.box.TakeCalls()
		}
		if got := f.election.IsIsolated(f.now); got != c.want {
			t.Errorf("%s: alone %v", name, got)
		}
	}
}

// Answers of the state service that make no sense are taken as none: a tide that falls does not tell that the key is
// gone, and a key without its mark is nobody's token.
func TestMalformedResponses(t *testing.T) {
	f := newFixture(t)
	calls := f.tick(0)
	f.answer(calls, "/keys/", 200, map[string]any{"value": leaderRecord{"b", 3}, "mark": 40})
	watch := f.box.TakeCalls()
	gone := map[string]any{"tide": 7, "log": []any{map[string]any{"drop": LeaderKey, "mark": 7}}}
	if f.answer(watch, "/watch", 200, gone) != 1 || f.election.keyAbsent {
		t.Error("believes that the key is gone by a tide that has fallen")
	}
	if !f.election.HandlePing(f.now, PingRequest{Name: "b", FencingToken: 40}).Granted {
		t.Error("does not carry the leader on")
	}
	f.answer(f.tick(leaseDuration), "/keys/", 200, map[string]any{"value": leaderRecord{"b", 3}})
	if f.election.revision != 40 {
		t.Errorf("watches from %d", f.election.revision)
	}

	g := newFixture(t)
	calls = g.tick(0)
	g.answer(calls, "/peer/inquiry", 200, VoteQueryResponse{})
	g.answer(calls, "/keys/", 404, map[string]int{"tide": 5})
	g.answer(g.tick(100*time.Millisecond), "/leases", 200, map[string]int{"permit": 3})
	g.answer(g.box.TakeCalls(), "/commit", 0, nil)
	g.answer(g.box.TakeCalls(), "/keys/", 200, map[string]any{"value": leaderRecord{"a", 3}})
	if g.election.IsLeader() {
		t.Error("leads without a token")
	}
}

// A claim that nobody answered may be carried out at any later time: its lease is ended, so that it is refused then, and
// what the key says then is not taken for a leadership.
func TestLateClaim(t *testing.T) {
	f := newFixture(t)
	calls := f.tick(0)
	f.answer(calls, "/peer/inquiry", 200, VoteQueryResponse{})
	f.answer(calls, "/keys/", 404, map[string]int{"tide": 5})
	f.answer(f.tick(100*time.Millisecond), "/leases", 200, map[string]int{"permit": 3})
	f.answer(f.box.TakeCalls(), "/commit", 0, nil)
	f.answer(f.box.TakeCalls(), "/keys/", 404, map[string]int{"tide": 5})
	if f.answer(f.box.TakeCalls(), "/leases/3", 200, nil) != 1 {
		t.Error("the lease of the claim is not ended")
	}
	// It was carried out before the lease could be ended: the key has our name.
	f.answer(f.tick(leaseDuration), "/keys/", 200, map[string]any{"value": leaderRecord{"a", 3}, "mark": 9})
	if f.election.IsLeader() || f.election.HoldsLease(f.now) {
		t.Error("leads by a claim that it has given up")
	}
}

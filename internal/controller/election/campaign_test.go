package election

import (
	"net/http"
	"testing"
	"time"

	"gullrudder/internal/wire/client"
)

// TestRestartedProcessHonorsGrant checks that a restarted process does not campaign for the duration of a grant, since the
// previous process may have given one.
func TestRestartedProcessHonorsGrant(t *testing.T) {
	f := newFixture(t)
	calls := f.tick(0)
	f.respondKeyAbsent(calls)
	for range 19 {
		if calls = f.tick(100 * time.Millisecond); hasCampaign(calls) {
			t.Fatalf("campaigned %v after the start, want no campaign for %v", f.now.Sub(f.election.follower.restart.startedAt), grantDuration)
		}
		f.respondKeyAbsent(calls)
	}
	if calls = f.tick(300 * time.Millisecond); !hasCampaign(calls) {
		t.Error("no campaign after the duration of a grant, want one")
	}
}

// TestSilentPeerPreventsCampaign checks that a restarted process does not campaign while one peer has not responded.
func TestSilentPeerPreventsCampaign(t *testing.T) {
	f := newFixture(t)
	calls := f.tick(0)
	for _, call := range calls {
		if call.Path == "/peer/inquiry" && call.Addr == "b" {
			call.Done(f.now, success(t, LeaderQueryResponse{}))
		}
	}
	f.respondKeyAbsent(calls)
	if hasCampaign(f.tick(200 * time.Millisecond)) {
		t.Error("campaigned while peer c had not responded, want no campaign")
	}
}

// TestGrantPreventsCampaign checks that a controller does not campaign before its grant has expired. The grant counts from
// when the ping arrived.
func TestGrantPreventsCampaign(t *testing.T) {
	f := newFixture(t)
	calls := f.tick(0)
	f.respond(calls, "/peer/inquiry", http.StatusOK, LeaderQueryResponse{})
	f.now = f.now.Add(10 * time.Millisecond)
	if !f.election.HandlePing(f.now, PingRequest{Name: "b", FencingToken: 4}).Granted {
		t.Fatal("ping of leader b: no grant, want one")
	}
	f.respondKeyAbsent(calls)
	if f.election.HandlePing(f.now, PingRequest{Name: "b", FencingToken: 4}).Granted {
		t.Error("ping after the key was read as absent: granted, want no grant")
	}
	for range 20 {
		calls = f.tick(100 * time.Millisecond)
		if hasCampaign(calls) {
			t.Fatal("campaigned while bound by a grant, want no campaign")
		}
		f.respondKeyAbsent(calls)
	}
	if !hasCampaign(f.tick(200 * time.Millisecond)) {
		t.Error("no campaign after the grant has expired, want one")
	}
}

// TestMalformedResponses checks that malformed responses of the state service are handled like failed calls. A deletion at
// a lower revision does not prove that the key is absent, and a key without a revision does not make a leader.
func TestMalformedResponses(t *testing.T) {
	t.Run("watch with a lower revision", func(t *testing.T) {
		f := newFixture(t)
		calls := f.tick(0)
		f.respond(calls, "/keys/", http.StatusOK, map[string]any{"value": leaderRecord{"b", 3}, "mark": 40})
		watch := f.outbox.TakeCalls()
		deleted := map[string]any{"tide": 7, "log": []any{map[string]any{"drop": LeaderKey, "mark": 7}}}
		if f.respond(watch, "/watch", http.StatusOK, deleted) != 1 || f.election.follower.key.absent {
			t.Errorf("watch response of a lower revision: got key absent %v, want one watch and the key present", f.election.follower.key.absent)
		}
		if !f.election.HandlePing(f.now, PingRequest{Name: "b", FencingToken: 40}).Granted {
			t.Error("ping of the leader: no grant, want one")
		}
		f.respond(f.tick(leaseDuration), "/keys/", http.StatusOK, map[string]any{"value": leaderRecord{"b", 3}})
		if f.election.follower.key.revision != 40 {
			t.Errorf("revision of the key: got %d, want 40", f.election.follower.key.revision)
		}
	})
	t.Run("key without its revision", func(t *testing.T) {
		f := newFixture(t)
		f.campaignWithLease()
		f.respond(f.outbox.TakeCalls(), "/commit", 0, nil)
		f.respond(f.outbox.TakeCalls(), "/keys/", http.StatusOK, map[string]any{"value": leaderRecord{"a", 3}})
		if f.election.IsLeader() {
			t.Error("became leader by a key without a revision, want no leader")
		}
	})
}

// TestLateClaim checks that the lease of a claim without a response is revoked, so that the state service refuses the
// claim if it arrives later. A key that such a claim has written does not make this controller the leader.
func TestLateClaim(t *testing.T) {
	f := newFixture(t)
	f.campaignWithLease()
	f.respond(f.outbox.TakeCalls(), "/commit", 0, nil)
	f.respondKeyAbsent(f.outbox.TakeCalls())
	if f.respond(f.outbox.TakeCalls(), "/leases/3", http.StatusOK, nil) != 1 {
		t.Error("lease of the claim without a response was not revoked, want one revocation")
	}
	// The claim arrived before the revocation, so the key contains the name of this controller.
	f.respond(f.tick(leaseDuration), "/keys/", http.StatusOK, map[string]any{"value": leaderRecord{"a", 3}, "mark": 9})
	if f.election.IsLeader() || f.election.HoldsLease(f.now) {
		t.Errorf("after a revoked claim: got leader %v, holds lease %v, want false, false", f.election.IsLeader(), f.election.HoldsLease(f.now))
	}
}

// TestIsolation checks that a controller counts as isolated after isolationTimeout without contact with the state service
// or any peer. Without a leader there are no pings, and leader queries show whether the peers are reachable.
func TestIsolation(t *testing.T) {
	for _, test := range []struct {
		name                string
		stateService, peers bool // whether they respond
		want                bool
	}{
		{name: "no responses at all", want: true},
		{name: "only the state service unreachable", peers: true},
		{name: "refused by the state service", stateService: true},
		{name: "only the peers unreachable", stateService: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			for range 80 {
				for _, call := range f.tick(100 * time.Millisecond) {
					switch {
					case call.Destination == client.PeerController && test.peers:
						call.Done(f.now, success(t, LeaderQueryResponse{IsLeader: true}))
					case call.Destination == client.StateService && test.stateService:
						call.Done(f.now, client.Result{Status: http.StatusServiceUnavailable})
					default:
						call.Done(f.now, client.Result{})
					}
				}
				f.outbox.TakeCalls()
			}
			if got := f.election.IsIsolated(f.now); got != test.want {
				t.Errorf("isolated: got %v, want %v", got, test.want)
			}
		})
	}
}

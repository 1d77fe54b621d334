package election

import (
	"net/http"
	"testing"
	"time"

	"gullrudder/internal/wire/client"
)

// TestRestartedProcessHonorsGrant checks that a new process does not campaign for the duration of a grant, which its
// earlier process may have given, unless every peer says that it does not lead.
func TestRestartedProcessHonorsGrant(t *testing.T) {
	f := newFixture(t)
	calls := f.tick(0)
	f.answerKeyAbsent(calls)
	for range 19 {
		if calls = f.tick(100 * time.Millisecond); hasCampaign(calls) {
			t.Fatalf("campaigned %v after the start, want no campaign for %v", f.now.Sub(f.election.follower.restart.startedAt), grantDuration)
		}
		f.answerKeyAbsent(calls)
	}
	if calls = f.tick(300 * time.Millisecond); !hasCampaign(calls) {
		t.Error("no campaign after the duration of a grant, want one")
	}
}

// TestSilentPeerPreventsCampaign checks that one peer without a response is enough to bind a new process.
func TestSilentPeerPreventsCampaign(t *testing.T) {
	f := newFixture(t)
	calls := f.tick(0)
	for _, call := range calls {
		if call.Path == "/peer/inquiry" && call.Addr == "b" {
			call.Done(f.now, success(t, VoteQueryResponse{}))
		}
	}
	f.answerKeyAbsent(calls)
	if hasCampaign(f.tick(200 * time.Millisecond)) {
		t.Error("campaigned while peer c had not answered, want no campaign")
	}
}

// TestGrantPreventsCampaign checks that a controller does not campaign before its grant has expired, counted from when
// the ping came.
func TestGrantPreventsCampaign(t *testing.T) {
	f := newFixture(t)
	calls := f.tick(0)
	f.answer(calls, "/peer/inquiry", http.StatusOK, VoteQueryResponse{})
	f.now = f.now.Add(10 * time.Millisecond)
	if !f.election.HandlePing(f.now, PingRequest{Name: "b", FencingToken: 4}).Granted {
		t.Fatal("ping of leader b: no grant, want one")
	}
	f.answerKeyAbsent(calls)
	if f.election.HandlePing(f.now, PingRequest{Name: "b", FencingToken: 4}).Granted {
		t.Error("ping after the key was read as absent: granted, want no grant")
	}
	for range 20 {
		calls = f.tick(100 * time.Millisecond)
		if hasCampaign(calls) {
			t.Fatal("campaigned while bound by a grant, want no campaign")
		}
		f.answerKeyAbsent(calls)
	}
	if !hasCampaign(f.tick(200 * time.Millisecond)) {
		t.Error("no campaign after the grant has expired, want one")
	}
}

// TestMalformedResponses checks that malformed responses of the state service are treated as none: a revision that
// falls does not prove that the key is absent, and a key without its revision is no leader's.
func TestMalformedResponses(t *testing.T) {
	t.Run("watch with a lower revision", func(t *testing.T) {
		f := newFixture(t)
		calls := f.tick(0)
		f.answer(calls, "/keys/", http.StatusOK, map[string]any{"value": leaderRecord{"b", 3}, "mark": 40})
		watch := f.outbox.TakeCalls()
		deleted := map[string]any{"tide": 7, "log": []any{map[string]any{"drop": LeaderKey, "mark": 7}}}
		if f.answer(watch, "/watch", http.StatusOK, deleted) != 1 || f.election.follower.key.absent {
			t.Errorf("watch response of a lower revision: key absent %v, want one watch and the key present", f.election.follower.key.absent)
		}
		if !f.election.HandlePing(f.now, PingRequest{Name: "b", FencingToken: 40}).Granted {
			t.Error("ping of the leader: no grant, want one")
		}
		f.answer(f.tick(leaseDuration), "/keys/", http.StatusOK, map[string]any{"value": leaderRecord{"b", 3}})
		if f.election.follower.key.revision != 40 {
			t.Errorf("revision of the key: got %d, want 40", f.election.follower.key.revision)
		}
	})
	t.Run("key without its revision", func(t *testing.T) {
		f := newFixture(t)
		f.campaignWithLease()
		f.answer(f.outbox.TakeCalls(), "/commit", 0, nil)
		f.answer(f.outbox.TakeCalls(), "/keys/", http.StatusOK, map[string]any{"value": leaderRecord{"a", 3}})
		if f.election.IsLeader() {
			t.Error("leader by a key without a revision, want no leader")
		}
	})
}

// TestLateClaim checks that the lease of a claim without a response is revoked, so that a claim that is carried out
// later is refused, and that the key that such a claim has written is not taken for a leadership.
func TestLateClaim(t *testing.T) {
	f := newFixture(t)
	f.campaignWithLease()
	f.answer(f.outbox.TakeCalls(), "/commit", 0, nil)
	f.answerKeyAbsent(f.outbox.TakeCalls())
	if f.answer(f.outbox.TakeCalls(), "/leases/3", http.StatusOK, nil) != 1 {
		t.Error("lease of the unanswered claim was not revoked, want one revocation")
	}
	// The claim was carried out before the lease could be revoked: the key has our name.
	f.answer(f.tick(leaseDuration), "/keys/", http.StatusOK, map[string]any{"value": leaderRecord{"a", 3}, "mark": 9})
	if f.election.IsLeader() || f.election.HoldsLease(f.now) {
		t.Errorf("after a revoked claim: leader %v, holds lease %v, want neither", f.election.IsLeader(), f.election.HoldsLease(f.now))
	}
}

// TestIsolation checks that a controller counts as isolated after isolationTimeout without contact to the state service
// and to any peer, also between two leaders, when there are no pings.
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
						call.Done(f.now, success(t, VoteQueryResponse{IsLeader: true}))
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

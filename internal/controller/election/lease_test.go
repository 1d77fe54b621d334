package election

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/wire/client"
)

// TestLeaseExtensionNeedsEveryGrant checks that without the state service the leader lease expires one lease duration,
// less clock drift and safety margin, after the last renewal was sent. Only grants of all peers extend it.
func TestLeaseExtensionNeedsEveryGrant(t *testing.T) {
	for _, test := range []struct {
		name, grantedBy string
		want            bool
	}{
		{"no grant", "", false},
		{"one grant", "b", false},
		{"all grants", "bc", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.elect()
			end := f.now.Add(leaseDuration)
			for f.now.Before(end) {
				calls := f.tick(50 * time.Millisecond)
				for _, call := range calls {
					if call.Path == "/peer/hello" && strings.Contains(test.grantedBy, call.Addr) {
						call.Done(f.now, success(t, PingResponse{Granted: true}))
					} else if call.Path == "/peer/hello" {
						call.Done(f.now, client.Result{})
					}
				}
				f.respond(calls, "/leases/3/touch", http.StatusServiceUnavailable, nil)
			}
			if held := f.election.HoldsLease(f.now); held != test.want {
				t.Errorf("holds the leader lease one lease duration after the last renewal: got %v, want %v", held, test.want)
			}
		})
	}
}

// TestGrantCountsFromSending checks that a grant counts from when the ping was sent, not from when its response arrived.
func TestGrantCountsFromSending(t *testing.T) {
	f := newFixture(t)
	f.elect()
	calls := f.tick(50 * time.Millisecond)
	sentAt := f.now
	f.now = f.now.Add(600 * time.Millisecond)
	f.respond(calls, "/peer/hello", http.StatusOK, PingResponse{Granted: true})
	if limit := sentAt.Add(grantDuration - 100*time.Millisecond); f.election.leaseValidUntil().After(limit) {
		t.Errorf("end of the leader lease: got %v, want at most %v", f.election.leaseValidUntil(), limit)
	}
}

// TestLateRenewal checks that a leadership keeps its state after a late renewal, for example on a slow processor, if the
// state service confirms the lease. Grants of the peers are not enough. Without such a renewal the leadership ends one lease
// duration after the leader lease has expired. It guards against rebuilding the state under the same fencing token: attempt
// numbers and instance names then started again from the beginning.
func TestLateRenewal(t *testing.T) {
	f := newFixture(t)
	f.elect()
	calls := f.tick(leaseDuration / 2)
	f.now = f.now.Add(leaseDuration * 3 / 4)
	if f.election.HoldsLease(f.now) {
		t.Fatal("holds the leader lease after the lease in the state service has expired, want expired")
	}
	f.respond(calls, "/peer/hello", http.StatusOK, PingResponse{Granted: true})
	if f.election.HoldsLease(f.now) {
		t.Error("grants after the expiry of the leader lease extended it, want expired")
	}
	f.respond(calls, "/leases/3/touch", http.StatusOK, nil)
	if !f.election.HoldsLease(f.now) || f.election.FencingToken() != 6 {
		t.Errorf(
			"after a late renewal: got holds lease %v, fencing token %d, want true, 6",
			f.election.HoldsLease(f.now), f.election.FencingToken(),
		)
	}
	f.tick(leaseDuration)
	if !f.election.IsLeader() || f.election.HoldsLease(f.now) {
		t.Errorf(
			"while the next renewal is late: got leader %v, holds lease %v, want true, false",
			f.election.IsLeader(), f.election.HoldsLease(f.now),
		)
	}
	if f.tick(leaseDuration); f.election.IsLeader() {
		t.Error("leader two lease durations after the last renewal, want no leader")
	}
}

// TestLeaderQueryDuringLateRenewal checks that a leader whose renewal is late responds that it leads until it steps down.
// If the renewal succeeds, the leader acts again. It may then rely on a grant that was in transit when the peer that gave
// it restarted, and the new process of that peer must be bound by that grant.
func TestLeaderQueryDuringLateRenewal(t *testing.T) {
	f := newFixture(t)
	f.elect()
	f.now = f.now.Add(leaseDuration)
	if f.election.HoldsLease(f.now) || !f.election.HandleLeaderQuery(f.now).IsLeader {
		t.Errorf(
			"late renewal: got holds lease %v, response %+v, want no lease, leader",
			f.election.HoldsLease(f.now), f.election.HandleLeaderQuery(f.now),
		)
	}
	f.tick(2 * leaseDuration)
	if f.election.HandleLeaderQuery(f.now).IsLeader {
		t.Error("leader query after stepping down: got leader, want not leader")
	}
}

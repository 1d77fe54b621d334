package election

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/wire/client"
)

// TestLeaseExtensionNeedsEveryGrant checks that without the state service the leader lease expires one lease duration,
// less drift and margin, after the last renewal was sent, unless every peer has given a grant.
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
				f.answer(calls, "/leases/3/touch", http.StatusServiceUnavailable, nil)
			}
			if held := f.election.HoldsLease(f.now); held != test.want {
				t.Errorf("holds the leader lease one lease duration after the last renewal: got %v, want %v", held, test.want)
			}
		})
	}
}

// TestGrantCountsFromSending checks that a grant counts from when the ping was sent, not from when its response came.
func TestGrantCountsFromSending(t *testing.T) {
	f := newFixture(t)
	f.elect()
	calls := f.tick(50 * time.Millisecond)
	sentAt := f.now
	f.now = f.now.Add(600 * time.Millisecond)
	f.answer(calls, "/peer/hello", http.StatusOK, PingResponse{Granted: true})
	if limit := sentAt.Add(grantDuration - 100*time.Millisecond); f.election.leaseValidUntil().After(limit) {
		t.Errorf("end of the leader lease: got %v, want at most %v", f.election.leaseValidUntil(), limit)
	}
}

// TestLateRenewal checks that a leadership continues with its state after a late renewal, as on a slow processor, if
// the state service confirms the lease. The grants of the peers do not suffice for that. Without such a renewal the leadership
// ends one more lease duration later. When it was built anew under the same fencing token instead, its attempt numbers
// and instance names began anew with it.
func TestLateRenewal(t *testing.T) {
	f := newFixture(t)
	f.elect()
	calls := f.tick(leaseDuration / 2)
	f.now = f.now.Add(leaseDuration * 3 / 4)
	if f.election.HoldsLease(f.now) {
		t.Fatal("holds the leader lease after the lease in the state service has expired, want expired")
	}
	f.answer(calls, "/peer/hello", http.StatusOK, PingResponse{Granted: true})
	if f.election.HoldsLease(f.now) {
		t.Error("grants given after the leader lease had expired extended it, want expired")
	}
	f.answer(calls, "/leases/3/touch", http.StatusOK, nil)
	if !f.election.HoldsLease(f.now) || f.election.FencingToken() != 6 {
		t.Errorf("after a late renewal: holds lease %v, fencing token %d, want true, 6", f.election.HoldsLease(f.now), f.election.FencingToken())
	}
	f.tick(leaseDuration)
	if !f.election.IsLeader() || f.election.HoldsLease(f.now) {
		t.Errorf(
			"while the next renewal is late: leader %v, holds lease %v, want true, false",
			f.election.IsLeader(), f.election.HoldsLease(f.now),
		)
	}
	if f.tick(leaseDuration); f.election.IsLeader() {
		t.Error("leader two lease durations after the last renewal, want no leader")
	}
}

// TestVoteQueryDuringLateRenewal checks that a leader whose renewal is late says that it leads, for as long as the
// renewal may let it act again, and with it a grant whose response was under way when the peer that gave it ended. To
// the new process of that peer it still leads.
func TestVoteQueryDuringLateRenewal(t *testing.T) {
	f := newFixture(t)
	f.elect()
	f.now = f.now.Add(leaseDuration)
	if f.election.HoldsLease(f.now) || !f.election.HandleVoteQuery(f.now).IsLeader {
		t.Errorf("late renewal: holds lease %v, vote %+v, want no lease, leader", f.election.HoldsLease(f.now), f.election.HandleVoteQuery(f.now))
	}
	f.tick(2 * leaseDuration)
	if f.election.HandleVoteQuery(f.now).IsLeader {
		t.Error("vote query after stepping down: answered as leader, want not leader")
	}
}

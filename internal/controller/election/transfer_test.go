package election

import (
	"net/http"
	"testing"
	"time"
)

// TestTransferWithoutStateService checks that a leader whose renewals fail while the state service answers a peer
// transfers its leadership at once: it is no longer the leader, the peers are no longer bound by their grants, and they revoke its
// lease. While the state service is unreachable for all controllers, it stays leader.
func TestTransferWithoutStateService(t *testing.T) {
	for _, test := range []struct {
		name        string
		peersServed bool
	}{
		{"state service answers the peers", true},
		{"state service unreachable for all", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.elect()
			startedAt, transferred := f.now, false
			for !transferred && f.now.Sub(startedAt) < leaseDuration {
				transferred = f.tickWithoutStateService(test.peersServed)
			}
			if transferred != test.peersServed || f.election.HoldsLease(f.now) == test.peersServed || f.election.IsLeader() == test.peersServed {
				t.Errorf(
					"transferred %v, holds lease %v, leader %v, want %v, %v, %[5]v",
					transferred, f.election.HoldsLease(f.now), f.election.IsLeader(), test.peersServed, !test.peersServed,
				)
			}
			if took := f.now.Sub(startedAt); test.peersServed && took > leaseDuration {
				t.Errorf("time until the transfer: got %v, want at most %v", took, leaseDuration)
			}
		})
	}
}

// tickWithoutStateService lets time pass in which renewals fail and the peers answer. It reports whether the leadership
// was transferred.
func (f *fixture) tickWithoutStateService(peersServed bool) (transferred bool) {
	f.t.Helper()
	calls := f.tick(50 * time.Millisecond)
	f.answer(calls, "/leases/3/touch", http.StatusServiceUnavailable, nil)
	for _, call := range calls {
		if ping, ok := call.Body.(PingRequest); ok && call.Path == "/peer/hello" && ping.ReleasedLeaseID == 0 {
			call.Done(f.now, success(f.t, PingResponse{Granted: true, StateServiceOK: peersServed && ping.ProbeStateService}))
		}
	}
	for _, call := range f.outbox.TakeCalls() {
		if ping, ok := call.Body.(PingRequest); ok && ping.ReleasedLeaseID == 3 && ping.FencingToken == 6 {
			transferred = true
		}
	}
	return transferred
}

// TestFollowerAcceptsTransfer checks that a controller is not bound after the notice of a transfer, and revokes the
// lease; unless a later leader relies on its grant, since the message may have been delayed.
func TestFollowerAcceptsTransfer(t *testing.T) {
	for _, test := range []struct {
		name       string
		laterGrant bool
	}{
		{"in time", false},
		{"late, after a grant to another leader", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			calls := f.tick(0)
			f.answer(calls, "/peer/inquiry", http.StatusOK, VoteQueryResponse{})
			f.answer(calls, "/keys/", http.StatusOK, map[string]any{"value": map[string]any{"name": "b", "permit": 3}, "mark": 4})
			f.outbox.TakeCalls()
			f.election.HandlePing(f.now, PingRequest{Name: "b", FencingToken: 4})
			if test.laterGrant {
				f.election.HandlePing(f.now, PingRequest{Name: "c", FencingToken: 9})
				f.election.HandlePing(f.now, PingRequest{Name: "b", FencingToken: 4}) // delayed too
			}
			f.election.HandlePing(f.now, PingRequest{Name: "b", FencingToken: 4, ReleasedLeaseID: 3})
			if bound := f.election.isBoundByGrant(f.now.Add(time.Millisecond)); bound != test.laterGrant {
				t.Errorf("bound by a grant: got %v, want %v", bound, test.laterGrant)
			}
			revocations := 0
			for _, call := range f.tick(50 * time.Millisecond) {
				if call.Method == http.MethodDelete && call.Path == "/leases/3" {
					revocations++
				}
			}
			if revocations != 1 {
				t.Errorf("revocations of the lease: got %d, want 1", revocations)
			}
		})
	}
}

// TestStalePings checks that late messages of a leadership that is over bind no controller, and name none as leader or
// successor.
func TestStalePings(t *testing.T) {
	f := newFixture(t)
	f.election.HandlePing(f.now, PingRequest{Name: "c", FencingToken: 9})
	f.now = f.now.Add(grantDuration / 2)
	until := f.election.follower.grant.until
	granted := f.election.HandlePing(f.now, PingRequest{Name: "b", FencingToken: 4}).Granted
	if granted || f.election.follower.grant.until != until || f.election.Leader(f.now) == "b" {
		t.Errorf(
			"ping of an earlier leader: granted %v, grant until %v, leader %q, want false, %v, not b",
			granted, f.election.follower.grant.until, f.election.Leader(f.now), until,
		)
	}
	f.election.HandlePing(f.now, PingRequest{Name: "b", FencingToken: 4, ReleasedLeaseID: 3, Successor: "b"})
	if f.election.follower.candidacy.preferredSuccessor != "" || f.election.follower.grant.until != until {
		t.Errorf(
			"transfer of an earlier leader: successor %q, grant until %v, want none, %v",
			f.election.follower.candidacy.preferredSuccessor, f.election.follower.grant.until, until,
		)
	}
}

// TestFollowerProbesStateService checks that a follower that is asked to finds out whether the state service answers
// it, and says so.
func TestFollowerProbesStateService(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		want   bool
	}{
		{"state service answers", http.StatusOK, true},
		{"state service unavailable", http.StatusServiceUnavailable, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			calls := f.tick(0)
			f.answer(calls, "/keys/", http.StatusOK, map[string]any{"value": map[string]any{"name": "b", "permit": 3}, "mark": 4})
			f.outbox.TakeCalls()
			f.now = f.now.Add(time.Second)
			ping := PingRequest{Name: "b", FencingToken: 4, ProbeStateService: true}
			if f.election.HandlePing(f.now, ping).StateServiceOK {
				t.Error("ping before the probe was sent: state service reachable, want unreachable")
			}
			calls = f.tick(50 * time.Millisecond)
			if f.answer(calls, "/keys/", test.status, nil) != 1 {
				t.Fatal("no read of the leader's key, want one as probe of the state service")
			}
			if got := f.election.HandlePing(f.now.Add(100*time.Millisecond), ping).StateServiceOK; got != test.want {
				t.Errorf("state service reachable: got %v, want %v", got, test.want)
			}
		})
	}
}

package election

import (
	"net/http"
	"testing"
	"time"
)

// TestTransferWithoutStateService checks that a leader whose renewals fail while a peer reaches the state service steps
// down within a lease duration and sends the peers its lease to revoke. If no controller reaches the state service, it
// stays leader.
func TestTransferWithoutStateService(t *testing.T) {
	for _, test := range []struct {
		name        string
		peersServed bool
	}{
		{"peers reach the state service", true},
		{"no controller reaches the state service", false},
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
					"got transferred %v, holds lease %v, leader %v, want %v, %v, %[5]v",
					transferred, f.election.HoldsLease(f.now), f.election.IsLeader(), test.peersServed, !test.peersServed,
				)
			}
			if took := f.now.Sub(startedAt); test.peersServed && took > leaseDuration {
				t.Errorf("time until the transfer: got %v, want at most %v", took, leaseDuration)
			}
		})
	}
}

// tickWithoutStateService advances time by 50 ms, fails the renewals and responds to the pings. It reports whether the
// leadership was transferred.
func (f *fixture) tickWithoutStateService(peersServed bool) (transferred bool) {
	f.t.Helper()
	calls := f.tick(50 * time.Millisecond)
	f.respond(calls, "/leases/3/touch", http.StatusServiceUnavailable, nil)
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

// TestFollowerAcceptsTransfer checks that a follower revokes the lease of a transferred leadership and is no longer bound by
// its grant. It stays bound if it has given a grant to a later leader, since the transfer message may be delayed.
func TestFollowerAcceptsTransfer(t *testing.T) {
	for _, test := range []struct {
		name       string
		laterGrant bool
	}{
		{"without delay", false},
		{"delayed, after a grant to a later leader", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			calls := f.tick(0)
			f.respond(calls, "/peer/inquiry", http.StatusOK, LeaderQueryResponse{})
			f.respond(calls, "/keys/", http.StatusOK, map[string]any{"value": map[string]any{"name": "b", "permit": 3}, "mark": 4})
			f.outbox.TakeCalls()
			f.election.HandlePing(f.now, PingRequest{Name: "b", FencingToken: 4})
			if test.laterGrant {
				f.election.HandlePing(f.now, PingRequest{Name: "c", FencingToken: 9})
				f.election.HandlePing(f.now, PingRequest{Name: "b", FencingToken: 4}) // also delayed
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

// TestStalePings checks that delayed messages of an earlier leader do not extend a grant and do not set the leader or the
// preferred successor.
func TestStalePings(t *testing.T) {
	f := newFixture(t)
	f.election.HandlePing(f.now, PingRequest{Name: "c", FencingToken: 9})
	f.now = f.now.Add(grantDuration / 2)
	until := f.election.follower.grant.until
	granted := f.election.HandlePing(f.now, PingRequest{Name: "b", FencingToken: 4}).Granted
	if granted || f.election.follower.grant.until != until || f.election.Leader(f.now) == "b" {
		t.Errorf(
			"ping of an earlier leader: got granted %v, grant until %v, leader %q, want false, %v, not b",
			granted, f.election.follower.grant.until, f.election.Leader(f.now), until,
		)
	}
	f.election.HandlePing(f.now, PingRequest{Name: "b", FencingToken: 4, ReleasedLeaseID: 3, Successor: "b"})
	if f.election.follower.candidacy.preferredSuccessor != "" || f.election.follower.grant.until != until {
		t.Errorf(
			"transfer of an earlier leader: got successor %q, grant until %v, want none, %v",
			f.election.follower.candidacy.preferredSuccessor, f.election.follower.grant.until, until,
		)
	}
}

// TestFollowerProbesStateService checks that a follower probes the state service on request of the leader and reports the
// result in its next ping response.
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
			f.respond(calls, "/keys/", http.StatusOK, map[string]any{"value": map[string]any{"name": "b", "permit": 3}, "mark": 4})
			f.outbox.TakeCalls()
			f.now = f.now.Add(time.Second)
			ping := PingRequest{Name: "b", FencingToken: 4, ProbeStateService: true}
			if f.election.HandlePing(f.now, ping).StateServiceOK {
				t.Error("ping before the probe was sent: got state service reachable, want unreachable")
			}
			calls = f.tick(50 * time.Millisecond)
			if f.respond(calls, "/keys/", test.status, nil) != 1 {
				t.Fatal("no read of the leader's key, want one as a probe of the state service")
			}
			if got := f.election.HandlePing(f.now.Add(100*time.Millisecond), ping).StateServiceOK; got != test.want {
				t.Errorf("state service reachable: got %v, want %v", got, test.want)
			}
		})
	}
}

package election

import (
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/wire/client"
)

const (
	leaseDuration = 2 * time.Second
	grantDuration = 2 * time.Second
)

// fixture is the election of controller a, whose peers are b and c. The test responds to its calls.
type fixture struct {
	t        *testing.T
	election *Election
	now      time.Time
	outbox   client.Outbox
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	now := time.Unix(1000, 0)
	options := Options{
		Name: "a", Peers: []Peer{{"b", "b"}, {"c", "c"}},
		LeaseDuration: leaseDuration, GrantDuration: grantDuration, SafetyMargin: 100 * time.Millisecond,
	}
	election := New(options, now, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
	return &fixture{t: t, now: now, election: election}
}

// tick advances time by d and returns the calls that are made then.
func (f *fixture) tick(d time.Duration) []client.Call {
	f.now = f.now.Add(d)
	f.election.Tick(f.now, &f.outbox)
	return f.outbox.TakeCalls()
}

// respond completes the calls whose path begins with prefix and returns their number. A nil response has no body.
func (f *fixture) respond(calls []client.Call, prefix string, status int, response any) int {
	f.t.Helper()
	count := 0
	for _, call := range calls {
		if !strings.HasPrefix(call.Path, prefix) {
			continue
		}
		count++
		var body []byte
		if response != nil {
			body = encode(f.t, response)
		}
		call.Done(f.now, client.Result{Status: status, Body: body})
	}
	return count
}

// respondKeyAbsent responds to reads of the leader's key that it is absent.
func (f *fixture) respondKeyAbsent(calls []client.Call) {
	f.t.Helper()
	f.respond(calls, "/keys/", http.StatusNotFound, map[string]int{"tide": 5})
}

// hasCampaign reports whether one of the calls requests a lease, which is the first call of a campaign.
func hasCampaign(calls []client.Call) bool {
	for _, call := range calls {
		if call.Method == http.MethodPost && call.Path == "/leases" {
			return true
		}
	}
	return false
}

// campaignWithLease makes the controller a candidate that holds lease 3. The peers respond that they do not lead.
func (f *fixture) campaignWithLease() {
	f.t.Helper()
	calls := f.tick(0)
	f.respond(calls, "/peer/inquiry", http.StatusOK, LeaderQueryResponse{})
	f.respondKeyAbsent(calls)
	calls = f.tick(100 * time.Millisecond)
	if f.respond(calls, "/leases", http.StatusOK, map[string]int{"permit": 3}) != 1 {
		f.t.Fatal("no request for a lease, want one campaign")
	}
}

// elect makes the controller the leader, with fencing token 6 and lease 3.
func (f *fixture) elect() {
	f.t.Helper()
	f.campaignWithLease()
	if f.respond(f.outbox.TakeCalls(), "/commit", http.StatusOK, map[string]int{"tide": 6}) != 1 {
		f.t.Fatal("no commit, want one claim of the leader's key")
	}
	if !f.election.HoldsLease(f.now) || f.election.FencingToken() != 6 {
		f.t.Fatalf("election: got holds lease %v, fencing token %d, want true, 6", f.election.HoldsLease(f.now), f.election.FencingToken())
	}
}

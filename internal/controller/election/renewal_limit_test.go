package election

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"gullrudder/internal/simulator/modelcheck"
	"gullrudder/internal/wire/client"
)

// renewalWalkLength is the number of moves in a random walk of the renewal model.
const renewalWalkLength = 90

// TestRenewalLimitSchedules checks that a cancelled task never runs for longer than the cancel timeout although leaders
// that have not loaded their state renew leases. The schedules contain dropped and delayed messages, restarts, outages of
// the state service and one cancellation.
func TestRenewalLimitSchedules(t *testing.T) {
	var models []*renewalModel
	rng := rand.New(rand.NewPCG(2, 1))
	newModel := func() modelcheck.Model {
		m := newFaultCombinationModel(t, "", rng)
		models = append(models, m)
		return m
	}
	r := modelcheck.RandomWalks(newModel, renewalWalkLength, 150, rng)
	if r.Violation != "" {
		t.Errorf("violation: got %q after %q, want none", r.Violation, r.Schedule)
	}
	cancelled, renewals, refusals := 0, 0, 0
	for _, m := range models {
		if !m.cancelledAt.IsZero() {
			cancelled++
		}
		renewals += m.renewalsBeforeLoad
		refusals += m.refusalsBeforeLoad
	}
	t.Logf("%d states, %d of %d cancelled, %d renewals before loading, %d refused", r.States, cancelled, len(models), renewals, refusals)
	if cancelled < 100 || renewals == 0 || refusals == 0 {
		t.Errorf("coverage: got %d cancelled, %d renewals, %d refusals, want at least 100, 1, 1", cancelled, renewals, refusals)
	}
}

// TestRenewalLimitMutants checks that some schedule finds each mutant of the renewal limit.
func TestRenewalLimitMutants(t *testing.T) {
	seeds := map[mutant]uint64{renewalBeforeLoading: 1, ageCountsFromArrival: 1, forgetsEarlierConfirmation: 1}
	checkMutants(t, seeds, renewalWalkLength, 1500, func(mutant mutant, rng *rand.Rand) modelcheck.Model {
		return newFaultCombinationModel(t, mutant, rng)
	})
}

// TestCancellationAgeInPings checks that the pings of a leader contain the age of the oldest cancellation only after the
// leader has loaded its state, and only if it knows when every cancellation was confirmed.
func TestCancellationAgeInPings(t *testing.T) {
	f := newFixture(t)
	f.elect()
	if f.pingPeerB(); f.pingPeerB().StateLoaded {
		t.Error("ping reports a loaded state before the state was loaded, want none")
	}
	f.election.SetOldestCancellation(f.now, f.now.Add(-3*time.Second), true)
	if ping := f.pingPeerB(); !ping.StateLoaded || ping.EchoedNonce != 77 || ping.OldestCancellationAge != 3*time.Second+grantDuration/4 {
		t.Errorf("ping: got %+v, want a loaded state, nonce 77, age %v", ping, 3*time.Second+grantDuration/4)
	}
	f.election.SetOldestCancellation(f.now, time.Time{}, false)
	if f.pingPeerB().StateLoaded {
		t.Error("ping reports a cancellation age though the confirmation time is unknown, want none")
	}
}

// pingPeerB advances time by a quarter of the grant duration, responds to every call, and returns the leader's ping to
// peer b.
func (f *fixture) pingPeerB() (ping PingRequest) {
	f.t.Helper()
	for _, call := range f.tick(grantDuration / 4) {
		switch {
		case call.Path == "/peer/hello" && call.Addr == "b":
			ping = call.Body.(PingRequest)
			call.Done(f.now, success(f.t, PingResponse{Granted: true, Nonce: 77}))
		case call.Path == "/peer/hello":
			call.Done(f.now, success(f.t, PingResponse{Granted: true}))
		case call.Path == "/leases/3/touch":
			f.respond([]client.Call{call}, "/leases", http.StatusOK, nil)
		}
	}
	return ping
}

// TestCancellationAgeCountsFromNonce checks that the age in a ping counts from when the echoed nonce was issued, and that
// a process ignores the age in a ping that echoes a nonce of an earlier process.
func TestCancellationAgeCountsFromNonce(t *testing.T) {
	f := newFixture(t)
	nonce := f.election.HandlePing(f.now, PingRequest{Name: "b", FencingToken: 4, StateLoaded: true, EchoedNonce: 5}).Nonce
	if !f.election.RenewalLimit().CompletedBefore().IsZero() {
		t.Error("ping without a nonce of this process changed the renewal limit, want no change")
	}
	issuedAt := f.now
	f.now = f.now.Add(time.Minute)
	ping := PingRequest{Name: "b", FencingToken: 4, StateLoaded: true, EchoedNonce: nonce, OldestCancellationAge: time.Second}
	f.election.HandlePing(f.now, ping)
	completedBefore := f.election.RenewalLimit().CompletedBefore()
	if completedBefore.After(issuedAt.Add(-time.Second)) || completedBefore.Before(issuedAt.Add(-1100*time.Millisecond)) {
		t.Errorf("completed before, relative to the nonce: got %v, want between -1.1s and -1s", completedBefore.Sub(issuedAt))
	}

	restarted := newFixture(t)
	ping = PingRequest{Name: "b", FencingToken: 4, StateLoaded: true, EchoedNonce: nonce + 1<<40}
	granted := restarted.election.HandlePing(restarted.now, ping).Granted
	if granted && !restarted.election.RenewalLimit().CompletedBefore().IsZero() {
		t.Error("ping with a nonce of an earlier process changed the renewal limit, want no change")
	}
}

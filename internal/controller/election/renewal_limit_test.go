package election

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"gullrudder/internal/simulator/modelcheck"
	"gullrudder/internal/wire/client"
)

const renewalWalkLength = 90

// TestRenewalLimitSchedules checks that no schedule of dropped and delayed messages, restarts, outages of the state
// service and a cancellation keeps a cancelled task running for longer than its user is told, though leaders that have
// not loaded their state renew leases meanwhile.
func TestRenewalLimitSchedules(t *testing.T) {
	var models []*renewalModel
	rng := rand.New(rand.NewPCG(2, 1))
	newModel := func() modelcheck.Model {
		w := newFaultCombination(t, "", rng)
		models = append(models, w)
		return w
	}
	r := modelcheck.RandomWalks(newModel, renewalWalkLength, 150, rng)
	if r.Violation != "" {
		t.Errorf("violation: got %q after %q, want none", r.Violation, r.Schedule)
	}
	cancelled, renewals, refusals := 0, 0, 0
	for _, w := range models {
		if !w.cancelledAt.IsZero() {
			cancelled++
		}
		renewals += w.unloadedRenewals
		refusals += w.unloadedRefusals
	}
	t.Logf("%d states, %d of %d cancelled, %d renewals before loading, %d refused", r.States, cancelled, len(models), renewals, refusals)
	if cancelled < 100 || renewals == 0 || refusals == 0 {
		t.Errorf("coverage: %d cancelled, %d renewals, %d refusals, want at least 100, 1, 1", cancelled, renewals, refusals)
	}
}

// TestRenewalLimitMutants checks that each mistake is found by some schedule.
func TestRenewalLimitMutants(t *testing.T) {
	seeds := map[mutant]uint64{renewalBeforeLoading: 1, ageCountsFromArrival: 1, forgetsEarlierConfirmation: 1}
	checkMutants(t, seeds, renewalWalkLength, 1500, func(mutant mutant, rng *rand.Rand) modelcheck.Model {
		return newFaultCombination(t, mutant, rng)
	})
}

// TestCancellationAgeInPings checks that a leader sends the age of the oldest cancellation only once it has loaded its
// state, and only while it can tell when every cancellation was confirmed.
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

// pingPeerB lets a quarter of a grant pass, answers every call, and returns the leader's ping to peer b.
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
			f.answer([]client.Call{call}, "/leases", http.StatusOK, nil)
		}
	}
	return ping
}

// TestCancellationAgeCountsFromNonce checks that the age in a ping counts from when the nonce was issued that the ping
// brings back, and that a process accepts no ping that was meant for an earlier one.
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
		t.Errorf("limit after the nonce: got %v, want between -1.1s and -1s", completedBefore.Sub(issuedAt))
	}

	restarted := newFixture(t)
	ping = PingRequest{Name: "b", FencingToken: 4, StateLoaded: true, EchoedNonce: nonce + 1<<40}
	granted := restarted.election.HandlePing(restarted.now, ping).Granted
	if granted && !restarted.election.RenewalLimit().CompletedBefore().IsZero() {
		t.Error("ping with a nonce of an earlier process changed the renewal limit, want no change")
	}
}

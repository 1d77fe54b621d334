package election

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/simulator/modelcheck"
	"gullrudder/internal/wire/client"
)

// renewalModel is the world of the election with one worker that has a task, a ledger that a new leader has to read first,
// and a cancellation. The task has to be gone in time after the cancellation was confirmed, whoever renewed its lease.
type renewalModel struct {
	*electionModel
	loaded               [3]bool      // as leader: has read its ledger
	tokens               [3]uint64    // in which leadership
	cancellationDone     [3]bool      // knows that nothing of the cancelled job is left
	earliestConfirmation [3]time.Time // the earliest that it may have been confirmed
	lastRenewalAt        [3]time.Time // when it last gave the worker a 200, or began to lead
	target               int
	nextHeartbeatAt      time.Time // when the worker reports
	leaseGrantedAt       time.Time // from when its lease counts
	taskRunning          bool      // its task is
	workerIsolated       bool      // it reaches nobody
	cancelledAt          time.Time // when the cancellation was confirmed
	unloadedRenewals     int       // 200s of leaders that had not read
	unloadedRefusals     int       // 503s of these
}

const (
	workerLeaseDuration = 40 * modelStep
	cancelWithin        = 64 * modelStep
	stepTolerance       = modelStep // what is taken for granted between two steps

	renewalWalkLength = 90
)

func newRenewalModel(t *testing.T, mutant string, faults int) *renewalModel {
	w := &renewalModel{electionModel: newElectionModel(t, mutant, faults).(*electionModel), taskRunning: true}
	w.renewalWindow = cancelWithin - workerLeaseDuration - 2*stepTolerance
	if mutant == "renews without its ledger" {
		w.renewalWindow = time.Hour
	}
	for i := range w.controllers {
		w.start(i)
		w.controllers[i].startedAt = w.now.Add(-time.Hour)
	}
	w.keyLeaseID, w.leaseExpiry = 0, map[uint64]time.Time{}
	w.leaseGrantedAt, w.nextHeartbeatAt = w.now, w.now
	for range 16 {
		w.Do("go")
	}
	return w
}

// newFaultCombination begins where troubles meet: the worker reaches nobody, its job is cancelled, one to two leaders end or lose the state
// service, and as the next one wins the key the state service is lost for all.
func newFaultCombination(t *testing.T, mutant string, rng *rand.Rand) *renewalModel {
	w := newRenewalModel(t, mutant, 100)
	leads := func() int {
		for range 40 {
			for i, e := range w.controllers {
				if e.HoldsLease(w.now) {
					return i
				}
			}
			w.Do("go")
		}
		return 0
	}
	wait := func(most int) {
		for range rng.IntN(most + 1) {
			w.Do("go")
		}
	}
	wait(4)
	w.Do("worker away")
	l := leads()
	slow := rng.IntN(2) == 0 // what it tells the others is held up meanwhile
	if slow {
		w.Do(fmt.Sprint("peers ", l, linkHolding))
	}
	wait(6)
	w.Do(fmt.Sprint("cancel ", l))
	for range 1 + rng.IntN(2) {
		wait(7)
		l = leads()
		if rng.IntN(2) == 0 {
			w.Do(fmt.Sprint("crash ", l))
		} else {
			w.Do(fmt.Sprint("state ", l, linkDropping))
		}
		w.Do("go")
		if slow {
			w.Do(fmt.Sprint("peers ", l, linkOpen))
			slow = false
		}
		for k := 0; k < 30 && leads() == l; k++ {
			w.Do("go")
		}
		if w.stateLinks[l] != linkOpen {
			w.Do(fmt.Sprint("state ", l, linkOpen))
		}
		if rng.IntN(3) > 0 {
			break
		}
		wait(4)
	}
	if w.stateLinks == [3]int{} {
		w.Do(fmt.Sprint("store ", linkDropping))
	}
	w.Do("worker back")
	w.faultsLeft = 2
	return w
}

func (w *renewalModel) Moves() []string {
	list := slices.Concat(slices.Repeat([]string{"go"}, 80), w.electionModel.Moves())
	if w.workerIsolated {
		list = append(list, "worker back")
	}
	for i, e := range w.controllers {
		if w.cancelledAt.IsZero() && w.loaded[i] && e.HoldsLease(w.now) && w.stateLinks[i] == linkOpen {
			list = append(list, fmt.Sprint("cancel ", i))
		}
	}
	return list
}

func (w *renewalModel) Do(move string) {
	var i int
	if n, _ := fmt.Sscanf(move, "cancel %d", &i); n == 1 {
		w.cancelledAt, w.earliestConfirmation[i] = w.now, w.now
		return
	}
	if strings.HasPrefix(move, "worker") {
		w.workerIsolated = move == "worker away"
		return
	}
	if n, _ := fmt.Sscanf(move, "crash %d", &i); n == 1 {
		w.loaded[i], w.tokens[i] = false, 0
	}
	w.electionModel.Do(move)
	if move != "go" {
		return
	}
	for i, e := range w.controllers {
		if e.role != roleLeader || e.fencingToken != w.tokens[i] {
			w.loaded[i], w.cancellationDone[i], w.tokens[i], w.lastRenewalAt[i] = false, false, 0, time.Time{}
		}
		if e.role != roleLeader {
			continue
		}
		if w.tokens[i] == 0 {
			w.tokens[i], w.lastRenewalAt[i] = e.fencingToken, w.now
		} else if !w.loaded[i] && w.stateLinks[i] == linkOpen { // the answer comes a step after the question
			w.loaded[i], w.earliestConfirmation[i] = true, e.RenewalLimit().CompletedBefore()
		}
		w.reportCancellations(i, e)
	}
	w.stepWorker()
	if !w.cancelledAt.IsZero() && w.taskRunning && w.now.Sub(w.cancelledAt) > cancelWithin && w.violation == "" {
		w.violation = "a cancelled task is still there"
	}
}

// reportCancellations is what the owner tells the election once a tick.
func (w *renewalModel) reportCancellations(i int, e *Election) {
	if !w.loaded[i] {
		return
	}
	if w.now.Sub(w.lastRenewalAt[i]) > workerLeaseDuration+stepTolerance {
		w.cancellationDone[i] = true
	}
	oldest, known := w.now, true
	if !w.cancelledAt.IsZero() && !w.cancellationDone[i] && w.mutant != "what was confirmed before is forgotten" {
		oldest, known = w.earliestConfirmation[i], !w.earliestConfirmation[i].IsZero()
	}
	e.SetOldestCancellation(w.now, oldest, known)
}

func (w *renewalModel) stepWorker() {
	if w.now.Sub(w.leaseGrantedAt) > workerLeaseDuration {
		w.taskRunning = false
	}
	if !w.taskRunning || w.workerIsolated || w.now.Before(w.nextHeartbeatAt) {
		return
	}
	i, e := w.target, w.controllers[w.target]
	w.target, w.nextHeartbeatAt = (w.target+1)%3, w.now.Add(2*modelStep)
	switch {
	case !e.HoldsLease(w.now):
		for k := range w.controllers {
			if fmt.Sprint(k) == e.Leader(w.now) {
				w.target, w.nextHeartbeatAt = k, w.now
			}
		}
	case w.loaded[i]:
		w.target, w.leaseGrantedAt, w.lastRenewalAt[i] = i, w.now, w.now
		if !w.cancelledAt.IsZero() {
			w.taskRunning, w.cancellationDone[i] = false, true // the answer has ended it
		}
	case w.now.Before(e.RenewalLimit().RenewUntil()):
		w.target, w.leaseGrantedAt, w.lastRenewalAt[i] = i, w.now, w.now
		w.unloadedRenewals++
	default:
		w.unloadedRefusals++
	}
}

func (w *renewalModel) Key() string {
	rel := func(t time.Time) int {
		if t.IsZero() {
			return -99
		}
		return int(max(t.Sub(w.now), -3*time.Second) / time.Millisecond)
	}
	s := fmt.Sprint(
		w.electionModel.Key(),
		w.loaded,
		w.cancellationDone,
		w.target,
		w.workerIsolated,
		rel(w.nextHeartbeatAt),
		rel(w.leaseGrantedAt),
		w.taskRunning,
		rel(w.cancelledAt),
	)
	for i, e := range w.controllers {
		s += fmt.Sprint(
			" ",
			rel(w.earliestConfirmation[i]),
			rel(w.lastRenewalAt[i]),
			rel(e.renewalLimit.CompletedBefore()),
			e.stateLoaded,
			rel(e.oldestCancellation),
		)
	}
	return s
}

// No schedule of losses, held messages, crashes, cuts of the state service and a cancellation keeps a cancelled task for
// longer than its user is told, though leaders that could not read renew leases meanwhile.
func TestRenewalLimitSchedules(t *testing.T) {
	worlds, rng := []*renewalModel{}, rand.New(rand.NewPCG(2, 1))
	r := modelcheck.Walks(func() modelcheck.World {
		w := newFaultCombination(t, "", rng)
		worlds = append(worlds, w)
		return w
	}, renewalWalkLength, 150, rng)
	if r.Broken != "" {
		t.Errorf("%s after %q", r.Broken, r.Schedule)
	}
	cancelled, grants, lapses := 0, 0, 0
	for _, w := range worlds {
		if !w.cancelledAt.IsZero() {
			cancelled++
		}
		grants += w.unloadedRenewals
		lapses += w.unloadedRefusals
	}
	t.Logf("%d states, %d of %d cancelled, %d renewals without the ledger, %d refused", r.States, cancelled, len(worlds), grants, lapses)
	if cancelled < 100 || grants == 0 || lapses == 0 {
		t.Error("too little of it was played")
	}
}

// Each of these mistakes is found.
func TestRenewalLimitMutants(t *testing.T) {
	seeds := map[string]uint64{
		"renews without its ledger":              1,
		"a late word counts from its arrival":    1,
		"what was confirmed before is forgotten": 1,
	}
	checkMutants(
		t,
		seeds,
		renewalWalkLength,
		1500,
		func(mutant string, rng *rand.Rand) modelcheck.World { return newFaultCombination(t, mutant, rng) },
	)
}

// What a leader says of cancellations counts from the stamp that it brings back. It says nothing before it has read its
// ledger, nor once it is not entitled, and a process that is back believes nothing that was meant for its earlier life.
func TestCancellationAge(t *testing.T) {
	f := newFixture(t)
	f.elect()
	ping := func() (h PingRequest) {
		t.Helper()
		for _, c := range f.tick(grantDuration / 4) {
			if c.Path == "/peer/hello" && c.Addr == "b" {
				h = c.Body.(PingRequest)
				c.Done(f.now, client.Result{Status: 200, Body: encode(t, PingResponse{Granted: true, Nonce: 77})})
			} else if c.Path == "/peer/hello" {
				c.Done(f.now, client.Result{Status: 200, Body: encode(t, PingResponse{Granted: true})})
			} else if c.Path == "/leases/3/touch" {
				f.answer([]client.Call{c}, "/leases", 200, nil)
			}
		}
		return h
	}
	if ping(); ping().StateLoaded {
		t.Error("speaks of what it has not read")
	}
	f.election.SetOldestCancellation(f.now, f.now.Add(-3*time.Second), true)
	if h := ping(); !h.StateLoaded || h.EchoedNonce != 77 || h.OldestCancellationAge != 3*time.Second+grantDuration/4 {
		t.Errorf("%+v", h)
	}
	f.election.SetOldestCancellation(f.now, time.Time{}, false)
	if ping().StateLoaded {
		t.Error("speaks of cancellations of which nobody can tell when they were confirmed")
	}

	g := newFixture(t)
	first := g.election.HandlePing(g.now, PingRequest{Name: "b", FencingToken: 4, StateLoaded: true, EchoedNonce: 5}).Nonce
	if !g.election.RenewalLimit().CompletedBefore().IsZero() {
		t.Error("believes a word without a stamp of its own")
	}
	at := g.now
	g.now = g.now.Add(time.Minute)
	g.election.HandlePing(
		g.now,
		PingRequest{Name: "b", FencingToken: 4, StateLoaded: true, EchoedNonce: first, OldestCancellationAge: time.Second},
	)
	if since := g.election.RenewalLimit().CompletedBefore(); since.After(at.Add(-time.Second)) ||
		since.Before(at.Add(-1100*time.Millisecond)) {
		t.Errorf("counts from %v after the stamp", since.Sub(at))
	}
	if back := newFixture(
		t,
	); back.election.HandlePing(back.now, PingRequest{Name: "b", FencingToken: 4, StateLoaded: true, EchoedNonce: first + 1<<40}).Granted &&
		!back.election.RenewalLimit().CompletedBefore().IsZero() {
		t.Error("believes what was meant for an earlier life")
	}
}

package election

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/simulator/modelcheck"
)

// Mutants of the renewal limit.
const (
	renewalBeforeLoading       mutant = "renewal before loading"
	ageCountsFromArrival       mutant = "cancellation age counts from arrival"
	forgetsEarlierConfirmation mutant = "earlier confirmation forgotten"
)

const (
	workerLeaseDuration = 40 * modelStep
	cancelTimeout       = 64 * modelStep
	stepTolerance       = modelStep // how inexact times are in the model
)

// renewalModel adds to the model of the election a worker with a task, state that a new leader has to load, and a
// cancellation. The task has to end in time after its cancellation was confirmed, whoever renewed the worker's lease.
type renewalModel struct {
	*electionModel
	leaders     [3]modelLeader
	worker      modelWorker
	cancelledAt time.Time // when the cancellation was confirmed

	unloadedRenewals int // by leaders that had not loaded their state
	unloadedRefusals int // by these
}

// modelLeader is the state of a leadership.
type modelLeader struct {
	fencingToken         uint64 // 0: it does not lead
	stateLoaded          bool
	cancellationDone     bool      // it has observed that no task of the cancelled job runs
	earliestConfirmation time.Time // the earliest that it may have been confirmed
	lastRenewalAt        time.Time // when it last renewed the worker's lease, or began to lead
}

// modelWorker is a worker that sends heartbeats to one controller after the other until one leads.
type modelWorker struct {
	isolated        bool // it reaches no controller
	taskRunning     bool
	target          int // the controller that gets the next heartbeat
	nextHeartbeatAt time.Time
	leaseRenewedAt  time.Time
}

// newRenewalModel returns a model in which one of the controllers leads.
func newRenewalModel(t *testing.T, mutant mutant, faults int) *renewalModel {
	t.Helper()
	w := &renewalModel{electionModel: newElectionModel(t, mutant, faults)}
	w.renewalWindow = cancelTimeout - workerLeaseDuration - 2*stepTolerance
	if mutant == renewalBeforeLoading {
		w.renewalWindow = time.Hour
	}
	for i := range w.controllers {
		w.startLongAgo(i)
	}
	w.service.holder.LeaseID, w.service.leaseExpiry = 0, map[uint64]time.Time{}
	w.worker = modelWorker{taskRunning: true, leaseRenewedAt: w.now, nextHeartbeatAt: w.now}
	w.steps(16)
	return w
}

func (w *renewalModel) steps(count int) {
	for range count {
		w.Do("step")
	}
}

// Moves lists what can happen next.
func (w *renewalModel) Moves() []string {
	list := slices.Concat(slices.Repeat([]string{"step"}, 80), w.electionModel.Moves())
	if w.worker.isolated {
		list = append(list, "worker connected")
	}
	for i, e := range w.controllers {
		if w.cancelledAt.IsZero() && w.leaders[i].stateLoaded && e.HoldsLease(w.now) && w.stateLinks[i] == linkOpen {
			list = append(list, fmt.Sprintf("cancel %d", i))
		}
	}
	return list
}

// Do makes a move. After a step the leaders and the worker do what is due.
func (w *renewalModel) Do(move string) {
	var controller int
	switch word, _, _ := strings.Cut(move, " "); word {
	case "cancel":
		scan(w.t, move, "cancel %d", &controller)
		w.cancelledAt, w.leaders[controller].earliestConfirmation = w.now, w.now
		return
	case "worker":
		w.worker.isolated = move == "worker isolated"
		return
	case "crash":
		scan(w.t, move, "crash %d", &controller)
		w.leaders[controller].stateLoaded, w.leaders[controller].fencingToken = false, 0
	}
	w.electionModel.Do(move)
	if move != "step" {
		return
	}
	for i := range w.controllers {
		w.stepLeader(i)
	}
	w.stepWorker()
	if !w.cancelledAt.IsZero() && w.worker.taskRunning && w.now.Sub(w.cancelledAt) > cancelTimeout && w.violated == "" {
		w.violated = "a cancelled task still runs"
	}
}

// stepLeader starts or ends the leadership of a controller as its election says, and loads its state.
func (w *renewalModel) stepLeader(controller int) {
	e, leader := w.controllers[controller], &w.leaders[controller]
	if e.role != roleLeader || e.leader.fencingToken != leader.fencingToken {
		*leader = modelLeader{earliestConfirmation: leader.earliestConfirmation}
	}
	if e.role != roleLeader {
		return
	}
	if leader.fencingToken == 0 {
		leader.fencingToken, leader.lastRenewalAt = e.leader.fencingToken, w.now
	} else if !leader.stateLoaded && w.stateLinks[controller] == linkOpen { // the response comes a step after the request
		leader.stateLoaded, leader.earliestConfirmation = true, e.RenewalLimit().CompletedBefore()
	}
	if leader.stateLoaded {
		w.reportCancellations(e, leader)
	}
}

// reportCancellations sets the oldest cancellation of the election, as the controller does at each tick.
func (w *renewalModel) reportCancellations(e *Election, leader *modelLeader) {
	if w.now.Sub(leader.lastRenewalAt) > workerLeaseDuration+stepTolerance {
		leader.cancellationDone = true
	}
	oldest, known := w.now, true
	if !w.cancelledAt.IsZero() && !leader.cancellationDone && w.mutant != forgetsEarlierConfirmation {
		oldest, known = leader.earliestConfirmation, !leader.earliestConfirmation.IsZero()
	}
	e.SetOldestCancellation(w.now, oldest, known)
}

// stepWorker ends the task if the worker's lease has expired, and sends a heartbeat if one is due.
func (w *renewalModel) stepWorker() {
	worker := &w.worker
	if w.now.Sub(worker.leaseRenewedAt) > workerLeaseDuration {
		worker.taskRunning = false
	}
	if !worker.taskRunning || worker.isolated || w.now.Before(worker.nextHeartbeatAt) {
		return
	}
	target := worker.target
	e, leader := w.controllers[target], &w.leaders[target]
	worker.target, worker.nextHeartbeatAt = (target+1)%3, w.now.Add(2*modelStep)
	switch {
	case !e.HoldsLease(w.now):
		for i := range w.controllers {
			if fmt.Sprint(i) == e.Leader(w.now) {
				worker.target, worker.nextHeartbeatAt = i, w.now
			}
		}
	case leader.stateLoaded:
		worker.target, worker.leaseRenewedAt, leader.lastRenewalAt = target, w.now, w.now
		if !w.cancelledAt.IsZero() {
			worker.taskRunning, leader.cancellationDone = false, true // the response has ended the task
		}
	case w.now.Before(e.RenewalLimit().RenewUntil()):
		worker.target, worker.leaseRenewedAt, leader.lastRenewalAt = target, w.now, w.now
		w.unloadedRenewals++
	default:
		w.unloadedRefusals++
	}
}

// Key returns everything that the future of the model depends on.
func (w *renewalModel) Key() string {
	offset := func(t time.Time) int {
		if t.IsZero() {
			return zeroTime
		}
		return int(max(t.Sub(w.now), -3*time.Second) / time.Millisecond)
	}
	worker := &w.worker
	key := fmt.Sprint(w.electionModel.Key(), worker.target, worker.isolated, worker.taskRunning,
		offset(worker.nextHeartbeatAt), offset(worker.leaseRenewedAt), offset(w.cancelledAt))
	for i, e := range w.controllers {
		leader := &w.leaders[i]
		key += fmt.Sprint(" ", leader.stateLoaded, leader.cancellationDone, offset(leader.earliestConfirmation),
			offset(leader.lastRenewalAt), offset(e.renewalLimit.CompletedBefore()), e.leader.stateLoaded, offset(e.leader.oldestCancellation))
	}
	return key
}

var _ modelcheck.Model = (*renewalModel)(nil)

// newFaultCombination returns a model at the point where faults coincide: the worker reaches no controller, its job is
// cancelled, one or two leaders end or lose the state service, and as the next one wins the key, the state service
// becomes unavailable to all.
func newFaultCombination(t *testing.T, mutant mutant, rng *rand.Rand) *renewalModel {
	t.Helper()
	w := newRenewalModel(t, mutant, 100)
	w.steps(rng.IntN(5))
	w.Do("worker isolated")
	leader := w.awaitLeader()
	pingsDelayed := rng.IntN(2) == 0 // pings of the leader are delayed meanwhile
	if pingsDelayed {
		w.Do(fmt.Sprintf("peers %d %d", leader, linkHolding))
	}
	w.steps(rng.IntN(7))
	w.Do(fmt.Sprintf("cancel %d", leader))
	for range 1 + rng.IntN(2) {
		w.steps(rng.IntN(8))
		leader = w.awaitLeader()
		w.endLeadership(leader, rng, pingsDelayed)
		pingsDelayed = false
		if rng.IntN(3) > 0 {
			break
		}
		w.steps(rng.IntN(5))
	}
	if w.stateLinks == [3]linkMode{} {
		w.Do(fmt.Sprintf("outage %d", linkDropping))
	}
	w.Do("worker connected")
	w.faultsLeft = 2
	return w
}

// awaitLeader returns the controller that leads, after some steps if need be.
func (w *renewalModel) awaitLeader() int {
	for range 40 {
		for i, e := range w.controllers {
			if e.HoldsLease(w.now) {
				return i
			}
		}
		w.Do("step")
	}
	return 0
}

// endLeadership restarts the leader or takes the state service from it, and waits until another one leads.
func (w *renewalModel) endLeadership(leader int, rng *rand.Rand, pingsDelayed bool) {
	if rng.IntN(2) == 0 {
		w.Do(fmt.Sprintf("crash %d", leader))
	} else {
		w.Do(fmt.Sprintf("state %d %d", leader, linkDropping))
	}
	w.Do("step")
	if pingsDelayed {
		w.Do(fmt.Sprintf("peers %d %d", leader, linkOpen))
	}
	for attempt := 0; attempt < 30 && w.awaitLeader() == leader; attempt++ {
		w.Do("step")
	}
	if w.stateLinks[leader] != linkOpen {
		w.Do(fmt.Sprintf("state %d %d", leader, linkOpen))
	}
}

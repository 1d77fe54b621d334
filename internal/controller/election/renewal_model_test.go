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
	stepTolerance       = modelStep // maximum error of times in the model
)

// renewalModel adds to electionModel a worker with a task, state that a new leader has to load, and a cancellation. Its
// invariant is that the task ends within cancelTimeout of the confirmation of its cancellation.
type renewalModel struct {
	*electionModel
	leaders     [3]modelLeader
	worker      modelWorker
	cancelledAt time.Time // when the cancellation was confirmed

	renewalsBeforeLoad int // lease renewals by leaders that had not loaded their state
	refusalsBeforeLoad int // lease renewals that such leaders refused
}

// modelLeader is the state of a leadership.
type modelLeader struct {
	fencingToken         uint64 // 0 if the controller does not lead
	stateLoaded          bool
	cancellationDone     bool      // the leader knows that no task of the cancelled job runs
	earliestConfirmation time.Time // earliest time at which the cancellation may have been confirmed
	lastRenewalAt        time.Time // when the leader last renewed the worker's lease, or was elected
}

// modelWorker is a worker with one task. It sends heartbeats to one controller after the other until it finds the leader.
type modelWorker struct {
	isolated        bool // the worker reaches no controller
	taskRunning     bool
	target          int // controller that receives the next heartbeat
	nextHeartbeatAt time.Time
	leaseRenewedAt  time.Time
}

// newRenewalModel returns a model in which one of the controllers leads.
func newRenewalModel(t *testing.T, mutant mutant, faults int) *renewalModel {
	t.Helper()
	m := &renewalModel{electionModel: newElectionModel(t, mutant, faults)}
	m.renewalWindow = cancelTimeout - workerLeaseDuration - 2*stepTolerance
	if mutant == renewalBeforeLoading {
		m.renewalWindow = time.Hour
	}
	for i := range m.controllers {
		m.startWithoutRestartGuard(i)
	}
	m.service.holder.LeaseID, m.service.leaseExpiry = 0, map[uint64]time.Time{}
	m.worker = modelWorker{taskRunning: true, leaseRenewedAt: m.now, nextHeartbeatAt: m.now}
	m.steps(16)
	return m
}

func (m *renewalModel) steps(count int) {
	for range count {
		m.Do("step")
	}
}

// Moves lists the possible next moves. A step is much more likely than the others.
func (m *renewalModel) Moves() []string {
	list := slices.Concat(slices.Repeat([]string{"step"}, 80), m.electionModel.Moves())
	if m.worker.isolated {
		list = append(list, "worker connected")
	}
	for i, e := range m.controllers {
		if m.cancelledAt.IsZero() && m.leaders[i].stateLoaded && e.HoldsLease(m.now) && m.stateLinks[i] == linkOpen {
			list = append(list, fmt.Sprintf("cancel %d", i))
		}
	}
	return list
}

// Do makes a move and checks the invariants. A step also advances the leaders and the worker.
func (m *renewalModel) Do(move string) {
	var controller int
	switch word, _, _ := strings.Cut(move, " "); word {
	case "cancel":
		scan(m.t, move, "cancel %d", &controller)
		m.cancelledAt, m.leaders[controller].earliestConfirmation = m.now, m.now
		return
	case "worker":
		m.worker.isolated = move == "worker isolated"
		return
	case "crash":
		scan(m.t, move, "crash %d", &controller)
		m.leaders[controller].stateLoaded, m.leaders[controller].fencingToken = false, 0
	}
	m.electionModel.Do(move)
	if move != "step" {
		return
	}
	for i := range m.controllers {
		m.stepLeader(i)
	}
	m.stepWorker()
	if !m.cancelledAt.IsZero() && m.worker.taskRunning && m.now.Sub(m.cancelledAt) > cancelTimeout && m.violation == "" {
		m.violation = "a cancelled task still runs"
	}
}

// stepLeader starts or ends the leadership of a controller according to its election, and loads its state.
func (m *renewalModel) stepLeader(controller int) {
	e, leader := m.controllers[controller], &m.leaders[controller]
	if e.role != roleLeader || e.leader.fencingToken != leader.fencingToken {
		*leader = modelLeader{earliestConfirmation: leader.earliestConfirmation}
	}
	if e.role != roleLeader {
		return
	}
	if leader.fencingToken == 0 {
		leader.fencingToken, leader.lastRenewalAt = e.leader.fencingToken, m.now
	} else if !leader.stateLoaded && m.stateLinks[controller] == linkOpen { // the response arrives a step after the request
		leader.stateLoaded, leader.earliestConfirmation = true, e.RenewalLimit().CompletedBefore()
	}
	if leader.stateLoaded {
		m.reportCancellations(e, leader)
	}
}

// reportCancellations passes the oldest cancellation to the election, as the controller does at each tick.
func (m *renewalModel) reportCancellations(e *Election, leader *modelLeader) {
	if m.now.Sub(leader.lastRenewalAt) > workerLeaseDuration+stepTolerance {
		leader.cancellationDone = true
	}
	oldest, known := m.now, true
	if !m.cancelledAt.IsZero() && !leader.cancellationDone && m.mutant != forgetsEarlierConfirmation {
		oldest, known = leader.earliestConfirmation, !leader.earliestConfirmation.IsZero()
	}
	e.SetOldestCancellation(m.now, oldest, known)
}

// stepWorker ends the task if the worker's lease has expired, and sends a heartbeat if one is due.
func (m *renewalModel) stepWorker() {
	worker := &m.worker
	if m.now.Sub(worker.leaseRenewedAt) > workerLeaseDuration {
		worker.taskRunning = false
	}
	if !worker.taskRunning || worker.isolated || m.now.Before(worker.nextHeartbeatAt) {
		return
	}
	target := worker.target
	e, leader := m.controllers[target], &m.leaders[target]
	worker.target, worker.nextHeartbeatAt = (target+1)%3, m.now.Add(2*modelStep)
	switch {
	case !e.HoldsLease(m.now):
		for i := range m.controllers {
			if fmt.Sprint(i) == e.Leader(m.now) {
				worker.target, worker.nextHeartbeatAt = i, m.now
			}
		}
	case leader.stateLoaded:
		worker.target, worker.leaseRenewedAt, leader.lastRenewalAt = target, m.now, m.now
		if !m.cancelledAt.IsZero() {
			worker.taskRunning, leader.cancellationDone = false, true // the response has ended the task
		}
	case m.now.Before(e.RenewalLimit().RenewUntil()):
		worker.target, worker.leaseRenewedAt, leader.lastRenewalAt = target, m.now, m.now
		m.renewalsBeforeLoad++
	default:
		m.refusalsBeforeLoad++
	}
}

// Key encodes everything that the further behavior of the model depends on.
func (m *renewalModel) Key() string {
	offset := func(t time.Time) int {
		if t.IsZero() {
			return zeroTime
		}
		return int(max(t.Sub(m.now), -3*time.Second) / time.Millisecond)
	}
	worker := &m.worker
	key := fmt.Sprint(m.electionModel.Key(), worker.target, worker.isolated, worker.taskRunning,
		offset(worker.nextHeartbeatAt), offset(worker.leaseRenewedAt), offset(m.cancelledAt))
	for i, e := range m.controllers {
		leader := &m.leaders[i]
		key += fmt.Sprint(" ", leader.stateLoaded, leader.cancellationDone, offset(leader.earliestConfirmation),
			offset(leader.lastRenewalAt), offset(e.renewalLimit.CompletedBefore()), e.leader.stateLoaded, offset(e.leader.oldestCancellation))
	}
	return key
}

var _ modelcheck.Model = (*renewalModel)(nil)

// newFaultCombinationModel returns a model after a combination of faults. The worker was isolated
// while its job was cancelled, and is connected again. One or two leaders restarted or lost the state service. Now no controller
// reaches the state service.
func newFaultCombinationModel(t *testing.T, mutant mutant, rng *rand.Rand) *renewalModel {
	t.Helper()
	m := newRenewalModel(t, mutant, 100)
	m.steps(rng.IntN(5))
	m.Do("worker isolated")
	leader := m.awaitLeader()
	pingsDelayed := rng.IntN(2) == 0 // pings of the leader are delayed until its leadership ends
	if pingsDelayed {
		m.Do(fmt.Sprintf("peers %d %d", leader, linkDelaying))
	}
	m.steps(rng.IntN(7))
	m.Do(fmt.Sprintf("cancel %d", leader))
	for range 1 + rng.IntN(2) {
		m.steps(rng.IntN(8))
		leader = m.awaitLeader()
		m.endLeadership(leader, rng, pingsDelayed)
		pingsDelayed = false
		if rng.IntN(3) > 0 {
			break
		}
		m.steps(rng.IntN(5))
	}
	if m.stateLinks == [3]linkMode{} {
		m.Do(fmt.Sprintf("outage %d", linkDropping))
	}
	m.Do("worker connected")
	m.faultsLeft = 2
	return m
}

// awaitLeader makes steps until a controller holds the leader lease and returns it. It returns 0 if none does within 40
// steps.
func (m *renewalModel) awaitLeader() int {
	for range 40 {
		for i, e := range m.controllers {
			if e.HoldsLease(m.now) {
				return i
			}
		}
		m.Do("step")
	}
	return 0
}

// endLeadership restarts the leader or drops its messages to the state service, and waits until another controller leads.
func (m *renewalModel) endLeadership(leader int, rng *rand.Rand, pingsDelayed bool) {
	if rng.IntN(2) == 0 {
		m.Do(fmt.Sprintf("crash %d", leader))
	} else {
		m.Do(fmt.Sprintf("state %d %d", leader, linkDropping))
	}
	m.Do("step")
	if pingsDelayed {
		m.Do(fmt.Sprintf("peers %d %d", leader, linkOpen))
	}
	for attempt := 0; attempt < 30 && m.awaitLeader() == leader; attempt++ {
		m.Do("step")
	}
	if m.stateLinks[leader] != linkOpen {
		m.Do(fmt.Sprintf("state %d %d", leader, linkOpen))
	}
}

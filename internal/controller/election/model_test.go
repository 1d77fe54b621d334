package election

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/simulator/modelcheck"
	"gullrudder/internal/wire/client"
)

// modelStep is the time that passes in one step of the model. A lease lasts stepsPerLease steps.
const (
	modelStep     = 50 * time.Millisecond
	stepsPerLease = 8
	modelLease    = stepsPerLease * modelStep
)

// mutant names a deliberate fault that the model adds to the election; it is empty if there is none.
type mutant string

const (
	claimWithoutPrecondition mutant = "claim without precondition"
	campaignDespiteGrant     mutant = "campaign despite grant"
	grantNotRecorded         mutant = "grant not recorded"
	singleGrantExtendsLease  mutant = "single grant extends lease"
	noRestartGuard           mutant = "no restart guard"
	grantCountsFromResponse  mutant = "grant counts from response"
	grantByNonFollower       mutant = "grant by leader or candidate"
	leaseCountsFromResponse  mutant = "lease counts from response"
)

// electionModel simulates three controllers and a state service in steps of modelStep. Messages arrive without delay,
// except on links with a fault. It implements modelcheck.Model.
type electionModel struct {
	t             *testing.T
	mutant        mutant
	renewalWindow time.Duration // Options.RenewalWindow of the controllers
	now           time.Time
	faultsLeft    int // faults that may still be injected

	controllers  [3]*Election
	incarnations [3]int // number of starts of each controller
	outboxes     [3]client.Outbox
	stateLinks   [3]linkMode // from each controller to the state service
	peerLinks    [3]linkMode // from each controller to the others

	service   modelStateService
	pending   []*pendingCall
	delayed   []delayedMessage // in sending order
	violation string           // first violation of the invariant; empty if there is none
}

// newElectionModel returns a model in which one of the controllers leads.
func newElectionModel(t *testing.T, mutant mutant, faults int) *electionModel {
	t.Helper()
	m := &electionModel{t: t, mutant: mutant, now: time.Unix(1000, 0), faultsLeft: faults}
	m.service = modelStateService{
		t: t, ignoresPreconditions: mutant == claimWithoutPrecondition, leaseExpiry: map[uint64]time.Time{}, revision: 1,
	}
	for i := range m.controllers {
		m.startWithoutRestartGuard(i)
	}
	for range 8 {
		m.step()
	}
	if m.service.holder.LeaseID == 0 {
		t.Fatal("no leader in the initial state, want one")
	}
	return m
}

// start replaces a controller with a new process.
func (m *electionModel) start(controller int) {
	var peers []Peer
	for i := range m.controllers {
		if i != controller {
			peers = append(peers, Peer{fmt.Sprint(i), fmt.Sprint(i)})
		}
	}
	m.incarnations[controller]++
	m.outboxes[controller] = client.Outbox{}
	options := Options{
		Name: fmt.Sprint(controller), Peers: peers,
		LeaseDuration: modelLease, GrantDuration: modelLease, SafetyMargin: 5 * time.Millisecond,
		HeartbeatInterval: time.Second, RenewalWindow: m.renewalWindow,
	}
	rng := rand.New(rand.NewPCG(1, uint64(controller)))
	m.controllers[controller] = New(options, m.now, rng, slog.New(slog.DiscardHandler))
	if m.mutant == noRestartGuard {
		m.endRestartGuard(controller)
	}
}

// startWithoutRestartGuard replaces a controller with a process that may campaign immediately.
func (m *electionModel) startWithoutRestartGuard(controller int) {
	m.start(controller)
	m.endRestartGuard(controller)
}

func (m *electionModel) endRestartGuard(controller int) {
	m.controllers[controller].follower.restart.startedAt = m.now.Add(-time.Hour)
}

// Moves lists the possible next moves. A move is a word and its arguments, which Do parses.
func (m *electionModel) Moves() []string {
	if m.faultsLeft == 0 {
		return append([]string{"step"}, m.repairs()...)
	}
	list := []string{"step"}
	for i := range m.controllers {
		for mode := range linkModeCount {
			if mode != m.stateLinks[i] && (mode == linkOpen) != (m.stateLinks[i] == linkOpen) {
				list = append(list, fmt.Sprintf("state %d %d", i, mode))
			}
			if mode != m.peerLinks[i] && (mode == linkOpen) != (m.peerLinks[i] == linkOpen) {
				list = append(list, fmt.Sprintf("peers %d %d", i, mode))
			}
		}
		list = append(list, fmt.Sprintf("crash %d", i))
	}
	for mode := range linkModeCount {
		if mode != linkOpen && m.stateLinks == [3]linkMode{} {
			list = append(list, fmt.Sprintf("outage %d", mode))
		}
	}
	return list
}

// repairs lists the moves that open a faulty link.
func (m *electionModel) repairs() []string {
	var list []string
	for i := range m.controllers {
		if m.stateLinks[i] != linkOpen {
			list = append(list, fmt.Sprintf("state %d %d", i, linkOpen))
		}
		if m.peerLinks[i] != linkOpen {
			list = append(list, fmt.Sprintf("peers %d %d", i, linkOpen))
		}
	}
	return list
}

// Do makes a move and checks the invariant.
func (m *electionModel) Do(move string) {
	var controller int
	var mode linkMode
	switch word, _, _ := strings.Cut(move, " "); word {
	case "step":
		m.step()
	case "crash":
		scan(m.t, move, "crash %d", &controller)
		m.faultsLeft--
		m.start(controller)
	case "outage": // no controller reaches the state service, which keeps running
		scan(m.t, move, "outage %d", &mode)
		m.stateLinks = [3]linkMode{mode, mode, mode}
		m.changeLink(mode)
	case "state":
		scan(m.t, move, "state %d %d", &controller, &mode)
		m.stateLinks[controller] = mode
		m.changeLink(mode)
	case "peers":
		scan(m.t, move, "peers %d %d", &controller, &mode)
		m.peerLinks[controller] = mode
		m.changeLink(mode)
	default:
		m.t.Fatalf("unknown move %q", move)
	}
	m.checkInvariant()
}

// scan parses the numbers in a text of the given format.
func scan(t *testing.T, text, format string, numbers ...any) {
	t.Helper()
	if _, err := fmt.Sscanf(text, format, numbers...); err != nil {
		t.Fatalf("read %q: %v", text, err)
	}
}

// step advances time by modelStep: leases expire, calls time out and every controller runs a tick.
func (m *electionModel) step() {
	m.now = m.now.Add(modelStep)
	m.service.expireLeases(m.now)
	m.checkInvariant()
	m.settlePending()
	for i, e := range m.controllers {
		if m.mutant == campaignDespiteGrant {
			e.follower.grant.until = time.Time{}
		}
		e.Tick(m.now, &m.outboxes[i])
		m.send(i)
		m.checkInvariant()
	}
}

// checkInvariant records a violation if two controllers hold the leader lease at the same time, now or before the next
// step.
func (m *electionModel) checkInvariant() {
	for _, offset := range []time.Duration{0, modelStep / 3, 2 * modelStep / 3} {
		var holders []int
		for i, e := range m.controllers {
			if e.HoldsLease(m.now.Add(offset)) {
				holders = append(holders, i)
			}
		}
		if len(holders) > 1 && m.violation == "" {
			m.violation = fmt.Sprint("leader lease held at the same time by ", holders)
		}
	}
}

// Violation returns the first violation of the invariant, or "" if there is none.
func (m *electionModel) Violation() string { return m.violation }

var _ modelcheck.Model = (*electionModel)(nil)

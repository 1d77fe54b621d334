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

// modelStep is how far time advances in one step of the model: an eighth of a lease.
const (
	modelStep     = 50 * time.Millisecond
	stepsPerLease = 8
	modelLease    = stepsPerLease * modelStep
)

// mutant names a deliberate mistake that the model makes in an otherwise correct election; empty: none.
type mutant string

const (
	claimWithoutPrecondition mutant = "claim without precondition"
	campaignDespiteGrant     mutant = "campaign despite grant"
	grantDoesNotBind         mutant = "grant does not bind"
	oneGrantSuffices         mutant = "one grant suffices"
	restartDoesNotBind       mutant = "restart does not bind"
	grantCountsFromResponse  mutant = "grant counts from response"
	grantByNonFollower       mutant = "grant by leader or candidate"
	renewalFromResponse      mutant = "renewal counts from response"
)

// electionModel is three controllers and a state service, in steps of modelStep. All messages arrive at once, except
// on links with a fault. It is a modelcheck.Model.
type electionModel struct {
	t             *testing.T
	mutant        mutant
	renewalWindow time.Duration // see Options
	now           time.Time
	faultsLeft    int // faults that may still be injected

	controllers  [3]*Election
	incarnations [3]int // counts the restarts of each
	outboxes     [3]client.Outbox
	stateLinks   [3]linkMode // from each controller to the state service
	peerLinks    [3]linkMode // from each controller to the others

	service  modelStateService
	pending  []*pendingCall
	delayed  []delayedMessage // in the order in which they were sent
	violated string           // the first violation of the invariant
}

// newElectionModel returns a model in which one of the controllers leads.
func newElectionModel(t *testing.T, mutant mutant, faults int) *electionModel {
	t.Helper()
	w := &electionModel{t: t, mutant: mutant, now: time.Unix(1000, 0), faultsLeft: faults}
	w.service = modelStateService{
		t: t, ignoresPreconditions: mutant == claimWithoutPrecondition, leaseExpiry: map[uint64]time.Time{}, revision: 1,
	}
	for i := range w.controllers {
		w.startLongAgo(i)
	}
	for range 8 {
		w.step()
	}
	if w.service.holder.LeaseID == 0 {
		t.Fatal("no leader at the beginning, want one")
	}
	return w
}

// start replaces a controller by a new process.
func (w *electionModel) start(controller int) {
	var peers []Peer
	for i := range w.controllers {
		if i != controller {
			peers = append(peers, Peer{fmt.Sprint(i), fmt.Sprint(i)})
		}
	}
	w.incarnations[controller]++
	w.outboxes[controller] = client.Outbox{}
	options := Options{
		Name: fmt.Sprint(controller), Peers: peers,
		LeaseDuration: modelLease, GrantDuration: modelLease, SafetyMargin: 5 * time.Millisecond,
		HeartbeatInterval: time.Second, RenewalWindow: w.renewalWindow,
	}
	rng := rand.New(rand.NewPCG(1, uint64(controller)))
	w.controllers[controller] = New(options, w.now, rng, slog.New(slog.DiscardHandler))
	if w.mutant == restartDoesNotBind {
		w.endRestartGuard(controller)
	}
}

// startLongAgo replaces a controller by a process that is not bound by grants of an earlier one.
func (w *electionModel) startLongAgo(controller int) {
	w.start(controller)
	w.endRestartGuard(controller)
}

func (w *electionModel) endRestartGuard(controller int) {
	w.controllers[controller].follower.restart.startedAt = w.now.Add(-time.Hour)
}

// Moves lists what can happen next. A move is a word and its numbers, as Do reads them.
func (w *electionModel) Moves() []string {
	if w.faultsLeft == 0 {
		return append([]string{"step"}, w.repairs()...)
	}
	list := []string{"step"}
	for i := range w.controllers {
		for mode := range linkModes {
			if mode != w.stateLinks[i] && (mode == linkOpen) != (w.stateLinks[i] == linkOpen) {
				list = append(list, fmt.Sprintf("state %d %d", i, mode))
			}
			if mode != w.peerLinks[i] && (mode == linkOpen) != (w.peerLinks[i] == linkOpen) {
				list = append(list, fmt.Sprintf("peers %d %d", i, mode))
			}
		}
		list = append(list, fmt.Sprintf("crash %d", i))
	}
	for mode := range linkModes {
		if mode != linkOpen && w.stateLinks == [3]linkMode{} {
			list = append(list, fmt.Sprintf("outage %d", mode))
		}
	}
	return list
}

// repairs lists the moves that open a link.
func (w *electionModel) repairs() []string {
	var list []string
	for i := range w.controllers {
		if w.stateLinks[i] != linkOpen {
			list = append(list, fmt.Sprintf("state %d %d", i, linkOpen))
		}
		if w.peerLinks[i] != linkOpen {
			list = append(list, fmt.Sprintf("peers %d %d", i, linkOpen))
		}
	}
	return list
}

// Do makes a move and checks the invariant.
func (w *electionModel) Do(move string) {
	var controller int
	var mode linkMode
	switch word, _, _ := strings.Cut(move, " "); word {
	case "step":
		w.step()
	case "crash":
		scan(w.t, move, "crash %d", &controller)
		w.faultsLeft--
		w.start(controller)
	case "outage": // no controller reaches the state service, and it goes on
		scan(w.t, move, "outage %d", &mode)
		w.stateLinks = [3]linkMode{mode, mode, mode}
		w.changeLink(mode)
	case "state":
		scan(w.t, move, "state %d %d", &controller, &mode)
		w.stateLinks[controller] = mode
		w.changeLink(mode)
	case "peers":
		scan(w.t, move, "peers %d %d", &controller, &mode)
		w.peerLinks[controller] = mode
		w.changeLink(mode)
	default:
		w.t.Fatalf("unknown move %q", move)
	}
	w.checkInvariant()
}

// scan reads the numbers in a text of this format.
func scan(t *testing.T, text, format string, numbers ...any) {
	t.Helper()
	if _, err := fmt.Sscanf(text, format, numbers...); err != nil {
		t.Fatalf("read %q: %v", text, err)
	}
}

// step lets time pass: calls time out, leases expire, and every controller does what is due.
func (w *electionModel) step() {
	w.now = w.now.Add(modelStep)
	w.service.expireLeases(w.now)
	w.checkInvariant()
	w.settlePending()
	for i, e := range w.controllers {
		if w.mutant == campaignDespiteGrant {
			e.follower.grant.until = time.Time{}
		}
		e.Tick(w.now, &w.outboxes[i])
		w.send(i)
		w.checkInvariant()
	}
}

// checkInvariant looks for two controllers that hold the leader lease at once, now or before the next step.
func (w *electionModel) checkInvariant() {
	for _, offset := range []time.Duration{0, modelStep / 3, 2 * modelStep / 3} {
		var holders []int
		for i, e := range w.controllers {
			if e.HoldsLease(w.now.Add(offset)) {
				holders = append(holders, i)
			}
		}
		if len(holders) > 1 && w.violated == "" {
			w.violated = fmt.Sprint("leader lease held at once by ", holders)
		}
	}
}

// Broken returns the first violation of the invariant, or "".
func (w *electionModel) Broken() string { return w.violated }

var _ modelcheck.Model = (*electionModel)(nil)

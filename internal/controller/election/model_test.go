package election

import (
	"cmp"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/simulator/modelcheck"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
)

var modelFaults = flag.Int("explore.troubles", 1, "troubles in a schedule of the election")

// Modes of a link. What waits arrives when the link is open again, answers only if they are still awaited.
const (
	linkOpen = iota
	linkDropping
	linkHolding          // requests wait until the link is open again
	linkHoldingResponses // they arrive at once, and their answers wait
	linkModes
)

// electionModel is a world of three controllers and the state service in steps of an eighth of a lease. All messages
// arrive at once but on links that are in trouble; there are so many troubles at most.
type electionModel struct {
	t             *testing.T
	mutant        string
	now           time.Time
	faultsLeft    int // troubles that may still come
	controllers   [3]*Election
	incarnations  [3]int
	outboxes      [3]client.Outbox
	stateLinks    [3]int // mode of the link to the state service
	peerLinks     [3]int // mode of the links from a controller to the others
	keyLeaseID    uint64 // permit of the leader's key; 0: there is none
	keyHolder     string
	keyRevision   uint64
	revision      uint64
	leaseExpiry   map[uint64]time.Time
	lastLeaseID   uint64
	pending       []*pendingCall
	delayed       []func() // what was held, in the order in which it was sent
	delayedKeys   []string
	violation     string
	renewalWindow time.Duration
}

type pendingCall struct {
	controller, incarnation int
	call                    client.Call
	expiresAt               time.Time
	isWatch                 bool
	settled                 bool
}

const modelStep = 50 * time.Millisecond

func newElectionModel(t *testing.T, mutant string, faults int) modelcheck.World {
	w := &electionModel{t: t, mutant: mutant, now: time.Unix(1000, 0), faultsLeft: faults, leaseExpiry: map[uint64]time.Time{}, revision: 1}
	for i := range w.controllers {
		w.start(i)
		w.controllers[i].startedAt = w.now.Add(-time.Hour) // everybody is long up, and one of them leads
	}
	for range 8 {
		w.step()
	}
	if w.keyLeaseID == 0 {
		t.Fatal("nobody leads at first")
	}
	return w
}

func (w *electionModel) start(controller int) {
	var peers []Peer
	for j := range w.controllers {
		if j != controller {
			peers = append(peers, Peer{fmt.Sprint(j), fmt.Sprint(j)})
		}
	}
	w.incarnations[controller]++
	w.outboxes[controller] = client.Outbox{}
	w.controllers[controller] = New(Options{
		Name: fmt.Sprint(
			controller,
		),
		Peers:             peers,
		LeaseDuration:     8 * modelStep,
		GrantDuration:     8 * modelStep,
		SafetyMargin:      5 * time.Millisecond,
		HeartbeatInterval: time.Second,
		RenewalWindow:     w.renewalWindow,
	}, w.now, rand.New(rand.NewPCG(1, uint64(controller))), slog.New(slog.DiscardHandler))
	if w.mutant == "a new process is not bound" {
		w.controllers[controller].startedAt = w.now.Add(-time.Hour)
	}
}

func (w *electionModel) Moves() []string {
	list := []string{"go"}
	if w.faultsLeft > 0 {
		for i := range w.controllers {
			for m := range linkModes {
				if m != w.stateLinks[i] && (m == linkOpen) != (w.stateLinks[i] == linkOpen) {
					list = append(list, fmt.Sprint("state ", i, m))
				}
				if m != w.peerLinks[i] && (m == linkOpen) != (w.peerLinks[i] == linkOpen) {
					list = append(list, fmt.Sprint("peers ", i, m))
				}
			}
			list = append(list, fmt.Sprint("crash ", i))
		}
		for m := range linkModes {
			if m != linkOpen && w.stateLinks == [3]int{} {
				list = append(list, fmt.Sprint("store ", m)) // nobody reaches the state service, and it goes on
			}
		}
	} else {
		for i := range w.controllers {
			if w.stateLinks[i] != linkOpen {
				list = append(list, fmt.Sprint("state ", i, linkOpen))
			}
			if w.peerLinks[i] != linkOpen {
				list = append(list, fmt.Sprint("peers ", i, linkOpen))
			}
		}
	}
	return list
}

func (w *electionModel) Do(move string) {
	var i, m int
	switch {
	case move == "go":
		w.step()
	case strings.HasPrefix(move, "crash"):
		fmt.Sscanf(move, "crash %d", &i)
		w.faultsLeft--
		w.start(i)
	case strings.HasPrefix(move, "store"):
		fmt.Sscanf(move, "store %d", &m)
		w.stateLinks = [3]int{m, m, m}
		w.recordFault(m)
	case strings.HasPrefix(move, "state"):
		fmt.Sscanf(move, "state %d %d", &i, &m)
		w.stateLinks[i] = m
		w.recordFault(m)
	case strings.HasPrefix(move, "peers"):
		fmt.Sscanf(move, "peers %d %d", &i, &m)
		w.peerLinks[i] = m
		w.recordFault(m)
	}
	w.checkInvariant()
}

// recordFault counts one; a link that opens again costs nothing, and brings what was held.
func (w *electionModel) recordFault(mode int) {
	if mode != linkOpen {
		w.faultsLeft--
		return
	}
	list := w.delayed
	w.delayed, w.delayedKeys = nil, nil
	for _, f := range list {
		f()
	}
}

// step lets time pass: what nobody answered is given up, leases end, and everybody does what is due.
func (w *electionModel) step() {
	w.now = w.now.Add(modelStep)
	for id, until := range w.leaseExpiry {
		if !w.now.Before(until) {
			w.endLease(id)
		}
	}
	w.checkInvariant()
	for _, p := range slices.Clone(w.pending) {
		if p.isWatch && !p.settled && w.incarnations[p.controller] == p.incarnation && w.keyLeaseID == 0 &&
			w.stateLinks[p.controller] == linkOpen {
			p.settled = true
			w.complete(
				p,
				client.Result{
					Status: 200,
					Body:   w.encode(map[string]any{"tide": w.revision, "log": []any{map[string]any{"drop": LeaderKey, "mark": w.revision}}}),
				},
			)
		}
		if !p.settled && !w.now.Before(p.expiresAt) {
			p.settled = true
			w.complete(p, client.Result{})
		}
	}
	w.pending = slices.DeleteFunc(w.pending, func(p *pendingCall) bool { return p.settled || w.incarnations[p.controller] != p.incarnation })
	for i, e := range w.controllers {
		if w.mutant == "campaigns while bound" {
			e.grantedUntil = time.Time{}
		}
		e.Tick(w.now, &w.outboxes[i])
		w.send(i)
		w.checkInvariant()
	}
}

func (w *electionModel) encode(v any) []byte { return encode(w.t, v) }

func (w *electionModel) complete(pending *pendingCall, result client.Result) {
	if w.incarnations[pending.controller] != pending.incarnation {
		return
	}
	e := w.controllers[pending.controller]
	before := map[string]peerGrant{}
	for n, grant := range e.grants {
		before[n] = *grant
	}
	pending.call.Done(w.now, result)
	defer w.send(pending.controller)
	var a PingResponse
	if pending.call.Path == "/peer/hello" && result.Status == 200 && codec.Unmarshal(result.Body, &a) == nil && a.Granted &&
		e.role == roleLeader {
		grant := e.grants[pending.call.Addr]
		switch {
		case grant == nil:
		case w.mutant == "a promise counts from its answer":
			grant.sentAt = w.now
		case w.mutant == "one promise is enough":
			for _, o := range e.grants {
				o.sentAt, o.granted = grant.sentAt, grant.granted
			}
		}
	}
	if strings.HasSuffix(pending.call.Path, "/touch") && result.Status == 200 && w.mutant == "a renewal counts from its answer" &&
		e.role == roleLeader {
		e.stateLeaseValidUntil = w.now.Add(e.minusDrift(e.options.LeaseDuration))
	}
}

// send carries out what a controller wants done.
func (w *electionModel) send(controller int) {
	for _, call := range w.outboxes[controller].TakeCalls() {
		p := &pendingCall{
			controller:  controller,
			incarnation: w.incarnations[controller],
			call:        call,
			expiresAt:   w.now.Add(call.Timeout),
			isWatch:     strings.HasPrefix(call.Path, "/watch"),
		}
		w.pending = append(w.pending, p)
		if p.isWatch {
			continue
		}
		mode, execute := w.stateLinks[controller], func() client.Result { return w.callStateService(call) }
		if call.Destination == client.PeerController {
			mode, execute = w.peerLinks[controller], func() client.Result { return w.deliverToPeer(call) }
		}
		settle := func(r client.Result) {
			if !p.settled {
				p.settled = true
				w.complete(p, r)
			}
		}
		later := func(f func()) {
			w.delayed = append(w.delayed, f)
			w.delayedKeys = append(w.delayedKeys, fmt.Sprint(controller, w.incarnations[controller] == p.incarnation, call.Path, call.Body))
		}
		switch mode {
		case linkHolding:
			later(func() { settle(execute()) })
		case linkHoldingResponses:
			r := execute()
			later(func() { settle(r) })
		case linkDropping:
		default:
			settle(execute())
		}
	}
}

// deliverToPeer brings a message to another controller. On its way back the answer uses the same link.
func (w *electionModel) deliverToPeer(call client.Call) client.Result {
	j := int(call.Addr[0] - '0')
	if w.peerLinks[j] != linkOpen {
		return client.Result{}
	}
	e := w.controllers[j]
	if call.Path == "/peer/inquiry" {
		a := e.HandleVoteQuery(w.now)
		return client.Result{Status: 200, Body: w.encode(a)}
	}
	h := call.Body.(PingRequest)
	if w.mutant == "promises though it leads or campaigns" && e.role != roleFollower {
		return client.Result{Status: 200, Body: w.encode(PingResponse{Granted: true})}
	}
	if w.mutant == "a late word counts from its arrival" && h.StateLoaded && h.FencingToken >= e.grantedToken && h.EchoedNonce != 0 {
		e.renewalLimit.RecordLoaded(w.now.Add(-h.OldestCancellationAge))
	}
	until := e.grantedUntil
	a := e.HandlePing(w.now, h)
	if w.mutant == "a promise does not bind" {
		e.grantedUntil = until
	}
	return client.Result{Status: 200, Body: w.encode(a)}
}

func (w *electionModel) endLease(id uint64) {
	delete(w.leaseExpiry, id)
	if w.keyLeaseID == id {
		w.keyLeaseID = 0
		w.revision++
	}
}

// callStateService is the state service.
func (w *electionModel) callStateService(call client.Call) client.Result {
	var id uint64
	switch {
	case call.Method == http.MethodDelete:
		fmt.Sscanf(call.Path, "/leases/%d", &id)
		w.endLease(id)
		return client.Result{Status: 200}
	case call.Path == "/leases":
		w.lastLeaseID++
		w.leaseExpiry[w.lastLeaseID] = w.now.Add(8 * modelStep)
		return client.Result{Status: 200, Body: w.encode(map[string]any{"permit": w.lastLeaseID})}
	case strings.HasSuffix(call.Path, "/touch"):
		fmt.Sscanf(call.Path, "/leases/%d/touch", &id)
		if _, ok := w.leaseExpiry[id]; !ok {
			return client.Result{Status: 404}
		}
		w.leaseExpiry[id] = w.now.Add(8 * modelStep)
		return client.Result{Status: 200}
	case call.Path == "/commit":
		v := call.Body.(map[string]any)["apply"].([]any)[0].(map[string]any)["value"].(leaderRecord)
		if _, ok := w.leaseExpiry[v.LeaseID]; !ok {
			return client.Result{Status: 400}
		}
		if w.keyLeaseID != 0 && w.mutant != "a claim without its guard" {
			return client.Result{Status: 409}
		}
		w.revision++
		w.keyLeaseID, w.keyHolder, w.keyRevision = v.LeaseID, v.Name, w.revision
		return client.Result{Status: 200, Body: w.encode(map[string]any{"tide": w.revision})}
	case w.keyLeaseID == 0:
		return client.Result{Status: 404, Body: w.encode(map[string]any{"tide": w.revision})}
	}
	return client.Result{Status: 200, Body: w.encode(map[string]any{"value": leaderRecord{w.keyHolder, w.keyLeaseID}, "mark": w.keyRevision})}
}

// checkInvariant looks for two that are entitled, now and until the next step.
func (w *electionModel) checkInvariant() {
	for _, at := range []time.Duration{0, modelStep / 3, 2 * modelStep / 3} {
		var list []int
		for i, e := range w.controllers {
			if e.HoldsLease(w.now.Add(at)) {
				list = append(list, i)
			}
		}
		if len(list) > 1 && w.violation == "" {
			w.violation = fmt.Sprint("entitled at once: ", list)
		}
	}
}

func (w *electionModel) Broken() string { return w.violation }

// Key has everything that the future depends on, with times as they are from now and tokens by their order.
func (w *electionModel) Key() string {
	rel := func(t time.Time) int {
		if t.IsZero() {
			return -99
		}
		return int(min(max(t.Sub(w.now), -2*time.Second), 5*time.Second) / time.Millisecond)
	}
	tokens := map[uint64]bool{w.keyRevision: true}
	permits := map[uint64]bool{w.keyLeaseID: true}
	for _, e := range w.controllers {
		tokens[e.fencingToken], tokens[e.grantedToken], permits[e.leaseID], permits[e.releasedLeaseID] = true, true, true, true
	}
	rank := func(set map[uint64]bool, v uint64) int {
		n := 0
		for o := range set {
			if o < v {
				n++
			}
		}
		return n
	}
	var b strings.Builder
	fmt.Fprintln(
		&b,
		w.faultsLeft,
		w.stateLinks,
		w.peerLinks,
		rank(permits, w.keyLeaseID),
		w.keyHolder,
		rank(tokens, w.keyRevision),
		rel(w.leaseExpiry[w.keyLeaseID]),
		w.delayedKeys,
	)
	for id, until := range w.leaseExpiry {
		if permits[id] {
			fmt.Fprint(&b, rank(permits, id), rel(until), " ")
		}
	}
	for _, e := range w.controllers {
		fmt.Fprintln(
			&b,
			e.role,
			rank(tokens, e.fencingToken),
			rank(permits, e.leaseID),
			rel(e.stateLeaseValidUntil),
			rel(e.nextRenewalAt),
			e.renewalPending,
			e.failedRenewals,
			rel(e.firstFailureSentAt),
			rel(e.peerServedSince),
			rel(
				e.grantedUntil,
			),
			rank(tokens, e.grantedToken),
			rank(permits, e.releasedLeaseID),
			len(e.notLeadingPeers),
			rel(e.startedAt),
			rel(e.nextVoteQueryAt),
			e.readPending,
			rel(e.nextReadAt),
			e.keyAbsent,
			rel(e.campaignAt),
			e.leaderName,
			rel(e.leaderPingedAt),
			e.preferredSuccessor,
			e.probeRequested,
			e.probePending,
			rel(e.stateServiceOKAt),
		)
		for _, n := range []string{"0", "1", "2"} {
			if p := e.grants[n]; p != nil {
				fmt.Fprint(&b, n, p.requestPending, p.granted, rel(p.nextRequestAt), rel(p.sentAt), " ")
			}
			fmt.Fprint(&b, e.notLeadingPeers[n])
		}
	}
	var list []string
	for _, p := range w.pending {
		if !p.settled && w.incarnations[p.controller] == p.incarnation {
			path, _, _ := strings.Cut(p.call.Path, "?")
			list = append(list, fmt.Sprint(p.controller, path, p.call.Addr, rel(p.expiresAt)))
		}
	}
	slices.SortFunc(list, cmp.Compare[string])
	fmt.Fprint(&b, list)
	return b.String()
}

// No schedule of lost, held and late messages, links that are cut, and controllers that end and are back at once
// makes two controllers entitled at the same time.
func TestElectionSchedules(t *testing.T) {
	r := modelcheck.All(func() modelcheck.World { return newElectionModel(t, "", *modelFaults) }, 12+2**modelFaults, 5_000_000)
	t.Logf("%d states, depth %d, cut %v", r.States, r.Depth, r.Cut)
	if r.Broken != "" {
		t.Errorf("%s after %q", r.Broken, r.Schedule)
	}
	r = modelcheck.Walks(func() modelcheck.World { return newElectionModel(t, "", 6) }, walkLength, cleanWalks, rand.New(rand.NewPCG(1, 1)))
	if r.Broken != "" {
		t.Errorf("%s after %q", r.Broken, r.Schedule)
	}
}

const (
	walkLength     = 45
	cleanWalks     = 500
	maxMutantWalks = 3_000
)

// Each of these mistakes is found by some schedule, drawn from the seed beside it so that it is found soon.
// Two more are not found by half a million walks, and have tests of their own: that promises given after a lapse count
// (TestLateRenewal), and that an inquiry is answered by the entitlement alone (TestInquiryOfALeaderWhoseRenewalIsLate).
func TestElectionMutants(t *testing.T) {
	seeds := map[string]uint64{
		"a claim without its guard":             2,
		"campaigns while bound":                 2,
		"a promise does not bind":               2,
		"one promise is enough":                 2,
		"a new process is not bound":            13,
		"a promise counts from its answer":      36,
		"promises though it leads or campaigns": 28,
		"a renewal counts from its answer":      33,
	}
	checkMutants(
		t,
		seeds,
		walkLength,
		maxMutantWalks,
		func(mutant string, _ *rand.Rand) modelcheck.World { return newElectionModel(t, mutant, 6) },
	)
}

// checkMutants plays each mistake until a rule is broken, which has to happen within so many walks.
func checkMutants(t *testing.T, seeds map[string]uint64, length, walks int, begin func(mutant string, rng *rand.Rand) modelcheck.World) {
	for mutant, seed := range seeds {
		t.Run(mutant, func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(1, seed))
			r := modelcheck.Walks(func() modelcheck.World { return begin(mutant, rng) }, length, walks, rng)
			t.Logf("%d states: %s after %q", r.States, r.Broken, r.Schedule)
			if r.Broken == "" {
				t.Error("not found")
			}
		})
	}
}

// A leader whose renewal is late is not entitled, and may be so again: by the renewal, and then by a promise whose answer
// was on its way when the one who gave it ended. To the new process of that one it still leads.
func TestVoteQueryDuringLateRenewal(t *testing.T) {
	f := newFixture(t)
	f.elect()
	f.now = f.now.Add(leaseDuration)
	if f.election.HoldsLease(f.now) || !f.election.HandleVoteQuery(f.now).IsLeader {
		t.Errorf("entitled %v, says that it leads %v", f.election.HoldsLease(f.now), f.election.HandleVoteQuery(f.now).IsLeader)
	}
	f.tick(2 * leaseDuration)
	if f.election.HandleVoteQuery(f.now).IsLeader {
		t.Error("says that it leads after it has given up")
	}
}

// Messages of a leadership that is over come late: they bind nobody, and name nobody as leader or successor.
func TestStalePings(t *testing.T) {
	f := newFixture(t)
	f.election.HandlePing(f.now, PingRequest{Name: "c", FencingToken: 9})
	f.now = f.now.Add(grantDuration / 2)
	until := f.election.grantedUntil
	if f.election.HandlePing(f.now, PingRequest{Name: "b", FencingToken: 4}).Granted || f.election.grantedUntil != until ||
		f.election.Leader(f.now) == "b" {
		t.Error("an earlier leader is greeted")
	}
	f.election.HandlePing(f.now, PingRequest{Name: "b", FencingToken: 4, ReleasedLeaseID: 3, Successor: "b"})
	if f.election.preferredSuccessor != "" || f.election.grantedUntil != until {
		t.Error("an earlier leader says who is to lead")
	}
}

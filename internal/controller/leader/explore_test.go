package leader

import (
	"cmp"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/standin/explore"
	"gullrudder/internal/wire/outbox"
	"gullrudder/internal/wire/packed"
)

var exploreTroubles = flag.Int("explore.troubles", 1, "troubles in a schedule of the election")

// Modes of a link. What waits arrives when the link is open again, answers only if they are still awaited.
const (
	open = iota
	lost
	held     // requests wait until the link is open again
	answered // they arrive at once, and their answers wait
	modes
)

// election is a world of three controllers and the state service in steps of an eighth of a lease. All messages
// arrive at once but on links that are in trouble; there are so many troubles at most.
type election struct {
	t       *testing.T
	mutant  string
	now     time.Time
	left    int // troubles that may still come
	who     [3]*Election
	life    [3]int
	box     [3]outbox.Box
	state   [3]int // mode of the link to the state service
	peer    [3]int // mode of the links from a controller to the others
	key     uint64 // permit of the leader's key; 0: there is none
	name    string
	mark    uint64
	tide    uint64
	leases  map[uint64]time.Time
	permits uint64
	waiting []*waiting
	late    []func() // what was held, in the order in which it was sent
	lateOf  []string
	broken  string
	reach   time.Duration
}

type waiting struct {
	i, life int
	call    outbox.Call
	until   time.Time
	watch   bool
	settled bool
}

const exploreStep = 50 * time.Millisecond

func begin(t *testing.T, mutant string, troubles int) explore.World {
	w := &election{t: t, mutant: mutant, now: time.Unix(1000, 0), left: troubles, leases: map[uint64]time.Time{}, tide: 1}
	for i := range w.who {
		w.boot(i)
		w.who[i].booted = w.now.Add(-time.Hour) // everybody is long up, and one of them leads
	}
	for range 8 {
		w.step()
	}
	if w.key == 0 {
		t.Fatal("nobody leads at first")
	}
	return w
}

func (w *election) boot(i int) {
	var peers []Peer
	for j := range w.who {
		if j != i {
			peers = append(peers, Peer{fmt.Sprint(j), fmt.Sprint(j)})
		}
	}
	w.life[i]++
	w.box[i] = outbox.Box{}
	w.who[i] = New(Options{Name: fmt.Sprint(i), Peers: peers, Lease: 8 * exploreStep, Promise: 8 * exploreStep, Slack: 5 * time.Millisecond,
		Report: time.Second, Reach: w.reach}, w.now, rand.New(rand.NewPCG(1, uint64(i))), slog.New(slog.DiscardHandler))
	if w.mutant == "a new process is not bound" {
		w.who[i].booted = w.now.Add(-time.Hour)
	}
}

func (w *election) Moves() []string {
	list := []string{"go"}
	if w.left > 0 {
		for i := range w.who {
			for m := range modes {
				if m != w.state[i] && (m == open) != (w.state[i] == open) {
					list = append(list, fmt.Sprint("state ", i, m))
				}
				if m != w.peer[i] && (m == open) != (w.peer[i] == open) {
					list = append(list, fmt.Sprint("peers ", i, m))
				}
			}
			list = append(list, fmt.Sprint("crash ", i))
		}
		for m := range modes {
			if m != open && w.state == [3]int{} {
				list = append(list, fmt.Sprint("store ", m)) // nobody reaches the state service, and it goes on
			}
		}
	} else {
		for i := range w.who {
			if w.state[i] != open {
				list = append(list, fmt.Sprint("state ", i, open))
			}
			if w.peer[i] != open {
				list = append(list, fmt.Sprint("peers ", i, open))
			}
		}
	}
	return list
}

func (w *election) Do(move string) {
	var i, m int
	switch {
	case move == "go":
		w.step()
	case strings.HasPrefix(move, "crash"):
		fmt.Sscanf(move, "crash %d", &i)
		w.left--
		w.boot(i)
	case strings.HasPrefix(move, "store"):
		fmt.Sscanf(move, "store %d", &m)
		w.state = [3]int{m, m, m}
		w.trouble(m)
	case strings.HasPrefix(move, "state"):
		fmt.Sscanf(move, "state %d %d", &i, &m)
		w.state[i] = m
		w.trouble(m)
	case strings.HasPrefix(move, "peers"):
		fmt.Sscanf(move, "peers %d %d", &i, &m)
		w.peer[i] = m
		w.trouble(m)
	}
	w.check()
}

// trouble counts one; a link that opens again costs nothing, and brings what was held.
func (w *election) trouble(mode int) {
	if mode != open {
		w.left--
		return
	}
	list := w.late
	w.late, w.lateOf = nil, nil
	for _, f := range list {
		f()
	}
}

// step lets time pass: what nobody answered is given up, leases end, and everybody does what is due.
func (w *election) step() {
	w.now = w.now.Add(exploreStep)
	for id, until := range w.leases {
		if !w.now.Before(until) {
			w.end(id)
		}
	}
	w.check()
	for _, p := range slices.Clone(w.waiting) {
		if p.watch && !p.settled && w.life[p.i] == p.life && w.key == 0 && w.state[p.i] == open {
			p.settled = true
			w.done(p, outbox.Result{Status: 200, Body: w.body(map[string]any{"tide": w.tide, "log": []any{map[string]any{"drop": Key, "mark": w.tide}}})})
		}
		if !p.settled && !w.now.Before(p.until) {
			p.settled = true
			w.done(p, outbox.Result{})
		}
	}
	w.waiting = slices.DeleteFunc(w.waiting, func(p *waiting) bool { return p.settled || w.life[p.i] != p.life })
	for i, e := range w.who {
		if w.mutant == "campaigns while bound" {
			e.promisedUntil = time.Time{}
		}
		e.Tick(w.now, &w.box[i])
		w.send(i)
		w.check()
	}
}

func (w *election) body(v any) []byte { return body(w.t, v) }

func (w *election) done(p *waiting, r outbox.Result) {
	if w.life[p.i] != p.life {
		return
	}
	e := w.who[p.i]
	was := map[string]promise{}
	for n, pr := range e.promises {
		was[n] = *pr
	}
	p.call.Done(w.now, r)
	defer w.send(p.i)
	var a HelloAnswer
	if p.call.Path == "/peer/hello" && r.Status == 200 && packed.Unmarshal(r.Body, &a) == nil && a.Promised && e.mode == leading {
		pr := e.promises[p.call.Addr]
		switch {
		case pr == nil:
		case w.mutant == "a promise counts from its answer":
			pr.sent = w.now
		case w.mutant == "one promise is enough":
			for _, o := range e.promises {
				o.sent, o.granted = pr.sent, pr.granted
			}
		}
	}
	if strings.HasSuffix(p.call.Path, "/touch") && r.Status == 200 && w.mutant == "a renewal counts from its answer" && e.mode == leading {
		e.stateUntil = w.now.Add(e.shorter(e.opt.Lease))
	}
}

// send carries out what a controller wants done.
func (w *election) send(i int) {
	for _, c := range w.box[i].Take() {
		p := &waiting{i: i, life: w.life[i], call: c, until: w.now.Add(c.Timeout), watch: strings.HasPrefix(c.Path, "/watch")}
		w.waiting = append(w.waiting, p)
		if p.watch {
			continue
		}
		mode, execute := w.state[i], func() outbox.Result { return w.store(c) }
		if c.Service == outbox.Peer {
			mode, execute = w.peer[i], func() outbox.Result { return w.ask(c) }
		}
		settle := func(r outbox.Result) {
			if !p.settled {
				p.settled = true
				w.done(p, r)
			}
		}
		later := func(f func()) {
			w.late = append(w.late, f)
			w.lateOf = append(w.lateOf, fmt.Sprint(i, w.life[i] == p.life, c.Path, c.Body))
		}
		switch mode {
		case held:
			later(func() { settle(execute()) })
		case answered:
			r := execute()
			later(func() { settle(r) })
		case lost:
		default:
			settle(execute())
		}
	}
}

// ask brings a message to another controller. On its way back the answer uses the same link.
func (w *election) ask(c outbox.Call) outbox.Result {
	j := int(c.Addr[0] - '0')
	if w.peer[j] != open {
		return outbox.Result{}
	}
	e := w.who[j]
	if c.Path == "/peer/inquiry" {
		a := e.HandleInquiry(w.now)
		return outbox.Result{Status: 200, Body: w.body(a)}
	}
	h := c.Body.(Hello)
	if w.mutant == "promises though it leads or campaigns" && e.mode != following {
		return outbox.Result{Status: 200, Body: w.body(HelloAnswer{Promised: true})}
	}
	if w.mutant == "a late word counts from its arrival" && h.Read && h.Token >= e.promisedToken && h.Echo != 0 {
		e.horizon.Read(w.now.Add(-h.Age))
	}
	until := e.promisedUntil
	a := e.HandleHello(w.now, h)
	if w.mutant == "a promise does not bind" {
		e.promisedUntil = until
	}
	return outbox.Result{Status: 200, Body: w.body(a)}
}

func (w *election) end(id uint64) {
	delete(w.leases, id)
	if w.key == id {
		w.key = 0
		w.tide++
	}
}

// store is the state service.
func (w *election) store(c outbox.Call) outbox.Result {
	var id uint64
	switch {
	case c.Method == "DELETE":
		fmt.Sscanf(c.Path, "/leases/%d", &id)
		w.end(id)
		return outbox.Result{Status: 200}
	case c.Path == "/leases":
		w.permits++
		w.leases[w.permits] = w.now.Add(8 * exploreStep)
		return outbox.Result{Status: 200, Body: w.body(map[string]any{"permit": w.permits})}
	case strings.HasSuffix(c.Path, "/touch"):
		fmt.Sscanf(c.Path, "/leases/%d/touch", &id)
		if _, ok := w.leases[id]; !ok {
			return outbox.Result{Status: 404}
		}
		w.leases[id] = w.now.Add(8 * exploreStep)
		return outbox.Result{Status: 200}
	case c.Path == "/commit":
		v := c.Body.(map[string]any)["apply"].([]any)[0].(map[string]any)["value"].(leaderValue)
		if _, ok := w.leases[v.Permit]; !ok {
			return outbox.Result{Status: 400}
		}
		if w.key != 0 && w.mutant != "a claim without its guard" {
			return outbox.Result{Status: 409}
		}
		w.tide++
		w.key, w.name, w.mark = v.Permit, v.Name, w.tide
		return outbox.Result{Status: 200, Body: w.body(map[string]any{"tide": w.tide})}
	case w.key == 0:
		return outbox.Result{Status: 404, Body: w.body(map[string]any{"tide": w.tide})}
	}
	return outbox.Result{Status: 200, Body: w.body(map[string]any{"value": leaderValue{w.name, w.key}, "mark": w.mark})}
}

// check looks for two that are entitled, now and until the next step.
func (w *election) check() {
	for _, at := range []time.Duration{0, exploreStep / 3, 2 * exploreStep / 3} {
		var list []int
		for i, e := range w.who {
			if e.Entitled(w.now.Add(at)) {
				list = append(list, i)
			}
		}
		if len(list) > 1 && w.broken == "" {
			w.broken = fmt.Sprint("entitled at once: ", list)
		}
	}
}

func (w *election) Broken() string { return w.broken }

// Key has everything that the future depends on, with times as they are from now and tokens by their order.
func (w *election) Key() string {
	rel := func(t time.Time) int {
		if t.IsZero() {
			return -99
		}
		return int(min(max(t.Sub(w.now), -2*time.Second), 5*time.Second) / time.Millisecond)
	}
	tokens := map[uint64]bool{w.mark: true}
	permits := map[uint64]bool{w.key: true}
	for _, e := range w.who {
		tokens[e.token], tokens[e.promisedToken], permits[e.permit], permits[e.yielded] = true, true, true, true
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
	fmt.Fprintln(&b, w.left, w.state, w.peer, rank(permits, w.key), w.name, rank(tokens, w.mark), rel(w.leases[w.key]), w.lateOf)
	for id, until := range w.leases {
		if permits[id] {
			fmt.Fprint(&b, rank(permits, id), rel(until), " ")
		}
	}
	for _, e := range w.who {
		fmt.Fprintln(&b, e.mode, rank(tokens, e.token), rank(permits, e.permit), rel(e.stateUntil), rel(e.nextTouch), e.touching, e.failures, rel(e.failing), rel(e.served),
			rel(e.promisedUntil), rank(tokens, e.promisedToken), rank(permits, e.yielded), len(e.cleared), rel(e.booted), rel(e.inquireAt), e.reading, rel(e.readAt), e.absent,
			rel(e.campaignAt), e.leaderName, rel(e.leaderHeard), e.handedTo, e.probe, e.probing, rel(e.seen))
		for _, n := range []string{"0", "1", "2"} {
			if p := e.promises[n]; p != nil {
				fmt.Fprint(&b, n, p.asking, p.granted, rel(p.next), rel(p.sent), " ")
			}
			fmt.Fprint(&b, e.cleared[n])
		}
	}
	var list []string
	for _, p := range w.waiting {
		if !p.settled && w.life[p.i] == p.life {
			path, _, _ := strings.Cut(p.call.Path, "?")
			list = append(list, fmt.Sprint(p.i, path, p.call.Addr, rel(p.until)))
		}
	}
	slices.SortFunc(list, cmp.Compare[string])
	fmt.Fprint(&b, list)
	return b.String()
}

// No schedule of lost, held and late messages, links that are cut, and controllers that end and are back at once
// makes two controllers entitled at the same time.
func TestEveryScheduleOfAnElection(t *testing.T) {
	r := explore.All(func() explore.World { return begin(t, "", *exploreTroubles) }, 12+2**exploreTroubles, 5_000_000)
	t.Logf("%d states, depth %d, cut %v", r.States, r.Depth, r.Cut)
	if r.Broken != "" {
		t.Errorf("%s after %q", r.Broken, r.Schedule)
	}
	r = explore.Walks(func() explore.World { return begin(t, "", 6) }, walkLength, walksWithout, rand.New(rand.NewPCG(1, 1)))
	if r.Broken != "" {
		t.Errorf("%s after %q", r.Broken, r.Schedule)
	}
}

const (
	walkLength   = 45
	walksWithout = 500
	mostWalks    = 3_000
)

// Each of these mistakes is found by some schedule, drawn from the seed beside it so that it is found soon.
// Two more are not found by half a million walks, and have tests of their own: that promises given after a lapse count
// (TestLateRenewal), and that an inquiry is answered by the entitlement alone (TestInquiryOfALeaderWhoseRenewalIsLate).
func TestMistakesOfAnElection(t *testing.T) {
	seeds := map[string]uint64{"a claim without its guard": 2, "campaigns while bound": 2, "a promise does not bind": 2, "one promise is enough": 2,
		"a new process is not bound": 13, "a promise counts from its answer": 36, "promises though it leads or campaigns": 28, "a renewal counts from its answer": 33}
	findsAll(t, seeds, walkLength, mostWalks, func(mutant string, _ *rand.Rand) explore.World { return begin(t, mutant, 6) })
}

// findsAll plays each mistake until a rule is broken, which has to happen within so many walks.
func findsAll(t *testing.T, seeds map[string]uint64, length, walks int, begin func(mutant string, rng *rand.Rand) explore.World) {
	for mutant, seed := range seeds {
		t.Run(mutant, func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(1, seed))
			r := explore.Walks(func() explore.World { return begin(mutant, rng) }, length, walks, rng)
			t.Logf("%d states: %s after %q", r.States, r.Broken, r.Schedule)
			if r.Broken == "" {
				t.Error("not found")
			}
		})
	}
}

// A leader whose renewal is late is not entitled, and may be so again: by the renewal, and then by a promise whose answer
// was on its way when the one who gave it ended. To the new process of that one it still leads.
func TestInquiryOfALeaderWhoseRenewalIsLate(t *testing.T) {
	f := fresh(t)
	f.elect()
	f.now = f.now.Add(lease)
	if f.e.Entitled(f.now) || !f.e.HandleInquiry(f.now).Leading {
		t.Errorf("entitled %v, says that it leads %v", f.e.Entitled(f.now), f.e.HandleInquiry(f.now).Leading)
	}
	f.tick(2 * lease)
	if f.e.HandleInquiry(f.now).Leading {
		t.Error("says that it leads after it has given up")
	}
}

// Messages of a leadership that is over come late: they bind nobody, and name nobody as leader or successor.
func TestLateGreetingsOfAnEarlierLeadership(t *testing.T) {
	f := fresh(t)
	f.e.HandleHello(f.now, Hello{Name: "c", Token: 9})
	f.now = f.now.Add(promise1 / 2)
	until := f.e.promisedUntil
	if f.e.HandleHello(f.now, Hello{Name: "b", Token: 4}).Promised || f.e.promisedUntil != until || f.e.Leader(f.now) == "b" {
		t.Error("an earlier leader is greeted")
	}
	f.e.HandleHello(f.now, Hello{Name: "b", Token: 4, Yield: 3, To: "b"})
	if f.e.handedTo != "" || f.e.promisedUntil != until {
		t.Error("an earlier leader says who is to lead")
	}
}

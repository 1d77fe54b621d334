package leader

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/standin/explore"
	"gullrudder/internal/wire/outbox"
)

// renewals is the world of the election with one worker that has a task, a ledger that a new leader has to read first,
// and a cancellation. The task has to be gone in time after the cancellation was confirmed, whoever renewed its lease.
type renewals struct {
	*election
	read    [3]bool      // as leader: has read its ledger
	token   [3]uint64    // in which leadership
	settled [3]bool      // knows that nothing of the cancelled job is left
	told    [3]time.Time // the earliest that it may have been confirmed
	renewed [3]time.Time // when it last gave the worker a 200, or began to lead
	target  int
	next    time.Time // when the worker reports
	granted time.Time // from when its lease counts
	there   bool      // its task is
	away    bool      // it reaches nobody
	at      time.Time // when the cancellation was confirmed
	grants  int       // 200s of leaders that had not read
	lapses  int       // 503s of these
}

const (
	workerLease = 40 * exploreStep
	within      = 64 * exploreStep
	fine        = exploreStep // what is taken for granted between two steps

	renewalsLength = 90
)

func beginRenewals(t *testing.T, mutant string, troubles int) *renewals {
	w := &renewals{election: begin(t, mutant, troubles).(*election), there: true}
	w.reach = within - workerLease - 2*fine
	if mutant == "renews without its ledger" {
		w.reach = time.Hour
	}
	for i := range w.who {
		w.boot(i)
		w.who[i].booted = w.now.Add(-time.Hour)
	}
	w.key, w.leases = 0, map[uint64]time.Time{}
	w.granted, w.next = w.now, w.now
	for range 16 {
		w.Do("go")
	}
	return w
}

// meet begins where troubles meet: the worker reaches nobody, its job is cancelled, one to two leaders end or lose the state
// service, and as the next one wins the key the state service is lost for all.
func meet(t *testing.T, mutant string, rng *rand.Rand) *renewals {
	w := beginRenewals(t, mutant, 100)
	leads := func() int {
		for range 40 {
			for i, e := range w.who {
				if e.Entitled(w.now) {
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
		w.Do(fmt.Sprint("peers ", l, held))
	}
	wait(6)
	w.Do(fmt.Sprint("cancel ", l))
	for range 1 + rng.IntN(2) {
		wait(7)
		l = leads()
		if rng.IntN(2) == 0 {
			w.Do(fmt.Sprint("crash ", l))
		} else {
			w.Do(fmt.Sprint("state ", l, lost))
		}
		w.Do("go")
		if slow {
			w.Do(fmt.Sprint("peers ", l, open))
			slow = false
		}
		for k := 0; k < 30 && leads() == l; k++ {
			w.Do("go")
		}
		if w.state[l] != open {
			w.Do(fmt.Sprint("state ", l, open))
		}
		if rng.IntN(3) > 0 {
			break
		}
		wait(4)
	}
	if w.state == [3]int{} {
		w.Do(fmt.Sprint("store ", lost))
	}
	w.Do("worker back")
	w.left = 2
	return w
}

func (w *renewals) Moves() []string {
	list := slices.Concat(slices.Repeat([]string{"go"}, 80), w.election.Moves())
	if w.away {
		list = append(list, "worker back")
	}
	for i, e := range w.who {
		if w.at.IsZero() && w.read[i] && e.Entitled(w.now) && w.state[i] == open {
			list = append(list, fmt.Sprint("cancel ", i))
		}
	}
	return list
}

func (w *renewals) Do(move string) {
	var i int
	if n, _ := fmt.Sscanf(move, "cancel %d", &i); n == 1 {
		w.at, w.told[i] = w.now, w.now
		return
	}
	if strings.HasPrefix(move, "worker") {
		w.away = move == "worker away"
		return
	}
	if n, _ := fmt.Sscanf(move, "crash %d", &i); n == 1 {
		w.read[i], w.token[i] = false, 0
	}
	w.election.Do(move)
	if move != "go" {
		return
	}
	for i, e := range w.who {
		if e.mode != leading || e.token != w.token[i] {
			w.read[i], w.settled[i], w.token[i], w.renewed[i] = false, false, 0, time.Time{}
		}
		if e.mode != leading {
			continue
		}
		if w.token[i] == 0 {
			w.token[i], w.renewed[i] = e.token, w.now
		} else if !w.read[i] && w.state[i] == open { // the answer comes a step after the question
			w.read[i], w.told[i] = true, e.Horizon().Since()
		}
		w.knows(i, e)
	}
	w.worker()
	if !w.at.IsZero() && w.there && w.now.Sub(w.at) > within && w.broken == "" {
		w.broken = "a cancelled task is still there"
	}
}

// knows is what the owner tells the election once a tick.
func (w *renewals) knows(i int, e *Election) {
	if !w.read[i] {
		return
	}
	if w.now.Sub(w.renewed[i]) > workerLease+fine {
		w.settled[i] = true
	}
	oldest, known := w.now, true
	if !w.at.IsZero() && !w.settled[i] && w.mutant != "what was confirmed before is forgotten" {
		oldest, known = w.told[i], !w.told[i].IsZero()
	}
	e.Knows(w.now, oldest, known)
}

func (w *renewals) worker() {
	if w.now.Sub(w.granted) > workerLease {
		w.there = false
	}
	if !w.there || w.away || w.now.Before(w.next) {
		return
	}
	i, e := w.target, w.who[w.target]
	w.target, w.next = (w.target+1)%3, w.now.Add(2*exploreStep)
	switch {
	case !e.Entitled(w.now):
		for k := range w.who {
			if fmt.Sprint(k) == e.Leader(w.now) {
				w.target, w.next = k, w.now
			}
		}
	case w.read[i]:
		w.target, w.granted, w.renewed[i] = i, w.now, w.now
		if !w.at.IsZero() {
			w.there, w.settled[i] = false, true // the answer has ended it
		}
	case w.now.Before(e.Horizon().Until()):
		w.target, w.granted, w.renewed[i] = i, w.now, w.now
		w.grants++
	default:
		w.lapses++
	}
}

func (w *renewals) Key() string {
	rel := func(t time.Time) int {
		if t.IsZero() {
			return -99
		}
		return int(max(t.Sub(w.now), -3*time.Second) / time.Millisecond)
	}
	s := fmt.Sprint(w.election.Key(), w.read, w.settled, w.target, w.away, rel(w.next), rel(w.granted), w.there, rel(w.at))
	for i, e := range w.who {
		s += fmt.Sprint(" ", rel(w.told[i]), rel(w.renewed[i]), rel(e.horizon.Since()), e.reads, rel(e.oldest))
	}
	return s
}

// No schedule of losses, held messages, crashes, cuts of the state service and a cancellation keeps a cancelled task for
// longer than its user is told, though leaders that could not read renew leases meanwhile.
func TestNoLeaseIsRenewedPastWhatIsKnownOfCancellations(t *testing.T) {
	worlds, rng := []*renewals{}, rand.New(rand.NewPCG(2, 1))
	r := explore.Walks(func() explore.World {
		w := meet(t, "", rng)
		worlds = append(worlds, w)
		return w
	}, renewalsLength, 150, rng)
	if r.Broken != "" {
		t.Errorf("%s after %q", r.Broken, r.Schedule)
	}
	cancelled, grants, lapses := 0, 0, 0
	for _, w := range worlds {
		if !w.at.IsZero() {
			cancelled++
		}
		grants += w.grants
		lapses += w.lapses
	}
	t.Logf("%d states, %d of %d cancelled, %d renewals without the ledger, %d refused", r.States, cancelled, len(worlds), grants, lapses)
	if cancelled < 100 || grants == 0 || lapses == 0 {
		t.Error("too little of it was played")
	}
}

// Each of these mistakes is found.
func TestMistakesOfRenewals(t *testing.T) {
	seeds := map[string]uint64{"renews without its ledger": 1, "a late word counts from its arrival": 1, "what was confirmed before is forgotten": 1}
	findsAll(t, seeds, renewalsLength, 1500, func(mutant string, rng *rand.Rand) explore.World { return meet(t, mutant, rng) })
}

// What a leader says of cancellations counts from the stamp that it brings back. It says nothing before it has read its
// ledger, nor once it is not entitled, and a process that is back believes nothing that was meant for its earlier life.
func TestWordOfCancellations(t *testing.T) {
	f := fresh(t)
	f.elect()
	hello := func() (h Hello) {
		t.Helper()
		for _, c := range f.tick(promise1 / 4) {
			if c.Path == "/peer/hello" && c.Addr == "b" {
				h = c.Body.(Hello)
				c.Done(f.now, outbox.Result{Status: 200, Body: body(t, HelloAnswer{Promised: true, Stamp: 77})})
			} else if c.Path == "/peer/hello" {
				c.Done(f.now, outbox.Result{Status: 200, Body: body(t, HelloAnswer{Promised: true})})
			} else if c.Path == "/leases/3/touch" {
				f.answer([]outbox.Call{c}, "/leases", 200, nil)
			}
		}
		return h
	}
	if hello(); hello().Read {
		t.Error("speaks of what it has not read")
	}
	f.e.Knows(f.now, f.now.Add(-3*time.Second), true)
	if h := hello(); !h.Read || h.Echo != 77 || h.Age != 3*time.Second+promise1/4 {
		t.Errorf("%+v", h)
	}
	f.e.Knows(f.now, time.Time{}, false)
	if hello().Read {
		t.Error("speaks of cancellations of which nobody can tell when they were confirmed")
	}

	g := fresh(t)
	first := g.e.HandleHello(g.now, Hello{Name: "b", Token: 4, Read: true, Echo: 5}).Stamp
	if !g.e.Horizon().Since().IsZero() {
		t.Error("believes a word without a stamp of its own")
	}
	at := g.now
	g.now = g.now.Add(time.Minute)
	g.e.HandleHello(g.now, Hello{Name: "b", Token: 4, Read: true, Echo: first, Age: time.Second})
	if since := g.e.Horizon().Since(); since.After(at.Add(-time.Second)) || since.Before(at.Add(-1100*time.Millisecond)) {
		t.Errorf("counts from %v after the stamp", since.Sub(at))
	}
	if back := fresh(t); back.e.HandleHello(back.now, Hello{Name: "b", Token: 4, Read: true, Echo: first + 1<<40}).Promised && !back.e.Horizon().Since().IsZero() {
		t.Error("believes what was meant for an earlier life")
	}
}

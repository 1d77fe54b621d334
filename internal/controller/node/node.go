// Package node is the owner of all state of a controller. It works through commands in
// batches: Step takes the time and what has come in, and gives back the answers and the
// calls to make. It reads no clock and does no I/O.
package node

import (
	"log/slog"
	"math/rand/v2"
	"strings"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/fleet"
	"gullrudder/internal/controller/history"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/leader"
	"gullrudder/internal/controller/ledger"
	"gullrudder/internal/controller/plan"
	"gullrudder/internal/controller/standing"
	"gullrudder/internal/controller/workers"
	"gullrudder/internal/wire/outbox"
	"gullrudder/internal/wire/packed"
)

// Request is a request that came in. Ref is the runtime's own.
type Request struct {
	Ref    any
	Peer   bool
	Method string
	Target string
	Body   []byte
}

// Reply answers a request.
type Reply struct {
	Ref    any
	Status int
	Body   []byte
	Retry  time.Duration
}

// Outcome is what came of a call.
type Outcome struct {
	Call   outbox.Call
	Result outbox.Result
}

// Command is one of Request, Outcome; nothing else comes into the owner's queue.
type Command struct {
	Request *Request
	Outcome *Outcome
}

// Effects are what a step wants done.
type Effects struct {
	Replies []Reply
	Calls   []outbox.Call
}

// Node is the state of a controller.
type Node struct {
	cfg *config.Platform
	opt config.Options
	log *slog.Logger

	teams    map[string]config.Team
	peers    map[string]string
	election *leader.Election
	met      bool // a leader has been heard of, or this is one
	lead     *leadership
	acting   bool // the leadership is entitled to act at present
	box      outbox.Box
	replies  []Reply
	nextTick time.Time
	watch    *latencies
}

// leadership is everything that ends with the entitlement.
type leadership struct {
	token    uint64
	counter  uint64
	since    time.Time
	ledger   *ledger.Ledger
	jobs     map[string]*jobs.Job
	finals   map[string]final // finished jobs that are in the live pages
	history  *history.Keeper  // all others
	options  config.Options   // those that count: the file's, or the ledger's
	settings *settingsEntry   // those that were applied while the controllers ran
	applying bool             // others are being saved
	damaged  bool             // the history cannot be read: nobody is answered
	fleet    *workers.Fleet
	cloud    *fleet.Cloud
	planner  *plan.Planner
	first    bool // the ledger was empty: nobody has led before
	built    bool // the ledger has been taken over
	placing  bool // every machine that may hold tasks is accounted for
	order    []plan.Entry
	ordered  time.Time
	stale    bool
	waiting  []plan.Entry // those of the order that have tasks to start, gangs aside
	least    float64      // the CPUs of the smallest of their tasks
	held     []*workers.Machine
	firsts   map[*jobs.Job]bool                 // aged jobs that go before everything else
	booked   map[*jobs.Attempt]*workers.Machine // starts of gangs that wait for their machines' reports
	missing  []*workers.Machine                 // on the roster and not accounted for yet
	mayAsk   float64                            // workers that may be asked directly now
	asking   int                                // questions that are not answered yet
	nextLook time.Time
	sized    time.Time
	nextSize time.Time
	nextRoom time.Time
	nextThin time.Time
	nextSave time.Time
	nextGang time.Time
	nextDrop time.Time
	reports  []pendingReport
	late     int            // bounds on waiting that were missed
	gate     *standing.Gate // bounds the submissions that are not durable yet
}

type final struct {
	done  bool
	tasks int
	since time.Time // when this leader learnt of it
}

type pendingReport struct {
	req   *Request
	m     *workers.Machine
	rep   *workers.Report
	fresh bool // newer than all before, and made under our token
	at    time.Time
}

// tickEvery is how often the owner looks at what is due.
const tickEvery = 50 * time.Millisecond

// margin is added to every span after which something is taken for gone.
const margin = 500 * time.Millisecond

// New makes the state of a process that has just started.
func New(cfg *config.Platform, opt config.Options, now time.Time, rng *rand.Rand, log *slog.Logger) *Node {
	n := &Node{cfg: cfg, opt: opt, log: log, teams: map[string]config.Team{}, peers: map[string]string{}, watch: newLatencies()}
	var peers []leader.Peer
	for _, p := range cfg.Peers {
		peers = append(peers, leader.Peer{Name: p.Name, Addr: p.Addr})
		n.peers[p.Name] = p.Addr
	}
	for _, t := range cfg.Teams {
		n.teams[t.Name] = t
	}
	n.election = leader.New(leader.Options{Name: cfg.Name, Peers: peers, Lease: opt.LeaderLease,
		Promise: opt.Promise, Slack: 100 * time.Millisecond}, now, rng, log)
	return n
}

// Step works through a batch of commands.
func (n *Node) Step(now time.Time, commands []Command) Effects {
	n.turn(now)
	for _, c := range commands {
		if c.Outcome != nil {
			c.Outcome.Call.Done(now, c.Outcome.Result)
			n.turn(now)
		}
	}
	for _, c := range commands {
		if c.Request != nil {
			n.request(now, c.Request)
		}
	}
	if !now.Before(n.nextTick) {
		n.nextTick = now.Add(tickEvery)
		n.election.Tick(now, &n.box)
		n.turn(now)
		if n.acting {
			n.tick(now)
		}
	}
	if l := n.lead; l != nil {
		if n.acting {
			n.answerReports(now)
			l.ledger.Flush(now, &n.box)
		} else {
			n.turnAway(l)
		}
	}
	e := Effects{Replies: n.replies, Calls: n.box.Take()}
	n.replies = nil
	return e
}

// turn makes the leadership's state follow the election.
func (n *Node) turn(now time.Time) {
	if n.lead != nil && n.lead.ledger.Lost() {
		n.election.StepDown(now, &n.box, "another leader has written")
	}
	// While a renewal is late the state is kept and nothing is done. It is never built anew
	// under the same token: its counter would give out numbers for the second time.
	if n.lead != nil && (!n.election.Leading() || n.lead.token != n.election.Token()) {
		n.resign()
	}
	n.acting = n.election.Entitled(now)
	if n.lead == nil && n.acting {
		n.takeOver(now)
	}
}

// turnAway refuses the reports that still wait for an answer.
func (n *Node) turnAway(l *leadership) {
	for _, p := range l.reports {
		n.reply(p.req, 503, nil, 0)
	}
	l.reports = nil
}

// resign drops everything that belonged to the leadership. Whoever still waits is told
// to come back.
func (n *Node) resign() {
	l := n.lead
	n.lead = nil
	l.ledger.Close()
	l.cloud.Close()
	n.turnAway(l)
}

func (n *Node) reply(r *Request, status int, body any, retry time.Duration) {
	var raw []byte
	if body != nil {
		var err error
		if raw, err = packed.Marshal(body); err != nil {
			n.log.Error("an answer cannot be encoded", "error", err)
			status, raw = 503, nil
		}
	}
	n.replies = append(n.replies, Reply{r.Ref, status, raw, retry})
}

func (n *Node) refuse(r *Request, status int, reason string, retry time.Duration) {
	n.reply(r, status, map[string]string{"error": reason}, retry)
}

// request routes what came in.
func (n *Node) request(now time.Time, r *Request) {
	path, _, _ := strings.Cut(r.Target, "?")
	parts := strings.Split(strings.TrimPrefix(path, "/"), "/")
	switch {
	case path == "/ready":
		n.only(r, "GET", func() { n.ready(now, r) })
	case path == "/status":
		n.only(r, "GET", func() { n.status(now, r) })
	case path == "/v1/report" && !r.Peer:
		n.only(r, "POST", func() { n.report(now, r) })
	case path == "/work":
		n.only(r, "POST", func() { n.user(now, r, n.submit) })
	case parts[0] == "work" && len(parts) == 2:
		n.only(r, "GET", func() { n.user(now, r, func(now time.Time, r *Request) { n.query(now, r, parts[1]) }) })
	case parts[0] == "work" && len(parts) == 3 && parts[2] == "withdraw":
		n.only(r, "POST", func() { n.user(now, r, func(now time.Time, r *Request) { n.withdraw(now, r, parts[1]) }) })
	case parts[0] == "work" && len(parts) == 3 && parts[2] == "explain":
		n.only(r, "GET", func() { n.user(now, r, func(now time.Time, r *Request) { n.explain(now, r, parts[1]) }) })
	case path == "/settings" && r.Method == "GET":
		n.user(now, r, n.showSettings)
	case path == "/settings":
		n.only(r, "POST", func() { n.user(now, r, n.applySettings) })
	case path == "/queue":
		n.only(r, "GET", func() { n.user(now, r, n.queue) })
	case path == "/peer/hello" && r.Peer:
		n.only(r, "POST", func() { n.hello(now, r) })
	case path == "/peer/inquiry" && r.Peer:
		n.only(r, "POST", func() { n.reply(r, 200, n.election.HandleInquiry(now), 0) })
	default:
		n.refuse(r, 404, "no such path", 0)
	}
}

func (n *Node) only(r *Request, method string, f func()) {
	if r.Method != method {
		n.refuse(r, 405, "wrong method", 0)
		return
	}
	f()
}

func (n *Node) hello(now time.Time, r *Request) {
	var h leader.Hello
	if err := packed.Unmarshal(r.Body, &h); err != nil || n.peers[h.Name] == "" {
		n.refuse(r, 400, "no greeting of a known controller", 0)
		return
	}
	n.met = true
	n.reply(r, 200, n.election.HandleHello(now, h), 0)
}

func (n *Node) ready(now time.Time, r *Request) {
	if n.acting {
		n.met = true
	}
	if !n.met {
		n.refuse(r, 503, "no leader known yet", 0)
		return
	}
	n.reply(r, 200, map[string]bool{"ready": true}, 0)
}

// tick does the leader's regular work.
func (n *Node) tick(now time.Time) {
	l := n.lead
	l.cloud.Tick(now, &n.box)
	if !l.built {
		if l.ledger.Loaded() {
			n.build(now)
		}
		return
	}
	l.history.Tick(now, &n.box)
	n.takeGone(now)
	n.allowQuestions()
	if !now.Before(l.nextLook) {
		l.nextLook = now.Add(200 * time.Millisecond)
		n.expire(now)
	}
	if !l.placing {
		n.account(now)
	}
	if !now.Before(l.nextDrop) {
		l.nextDrop = now.Add(500 * time.Millisecond)
		n.dropSilent(now)
	}
	if now.Sub(l.ordered) > 500*time.Millisecond {
		l.stale = true
	}
	if !now.Before(l.nextSave) {
		l.nextSave = now.Add(time.Second)
		n.save(now)
		n.watchBounds(now)
	}
	if l.placing && !now.Before(l.nextGang) {
		l.nextGang = now.Add(200 * time.Millisecond)
		n.gangs(now)
	}
	if l.placing && !now.Before(l.nextRoom) {
		l.nextRoom = now.Add(500 * time.Millisecond)
		n.makeRoom(now)
	}
	if l.placing && !now.Before(l.nextThin) {
		l.nextThin = now.Add(5 * time.Second)
		n.thinOut(now)
	}
	if l.placing && (!now.Before(l.nextSize) || l.cloud.TakeSettled()) {
		l.sized, l.nextSize = now, now.Add(time.Second)
		n.size(now)
	}
}

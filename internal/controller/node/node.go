// Package node is the owner of all state of a controller. It works through commands in
// batches: Step takes the time and what has come in, and gives back the answers and the
// calls to make. It reads no clock and does no I/O.
package node

import (
	"log/slog"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/book"
	"gullrudder/internal/controller/fleet"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/leader"
	"gullrudder/internal/controller/leader/horizon"
	"gullrudder/internal/controller/ledger"
	"gullrudder/internal/controller/pace"
	"gullrudder/internal/controller/place"
	"gullrudder/internal/controller/plan"
	"gullrudder/internal/controller/rental"
	"gullrudder/internal/controller/reports"
	"gullrudder/internal/controller/reports/blame"
	"gullrudder/internal/controller/requests"
	"gullrudder/internal/controller/settings"
	"gullrudder/internal/controller/takeover"
	"gullrudder/internal/controller/timeline"
	"gullrudder/internal/controller/workers"
	"gullrudder/internal/controller/workers/reach"
	"gullrudder/internal/controller/zones"
	"gullrudder/internal/wire/inbox"
	"gullrudder/internal/wire/outbox"
	"gullrudder/internal/wire/packed"
)

// Outcome is what came of a call.
type Outcome struct {
	Call   outbox.Call
	Result outbox.Result
}

// Command is one of Request, Outcome; nothing else comes into the owner's queue.
type Command struct {
	Request *inbox.Request
	Outcome *Outcome
}

// Effects are what a step wants done.
type Effects struct {
	Replies []inbox.Reply
	Calls   []outbox.Call
}

// Node is the state of a controller.
type Node struct {
	cfg *config.Platform
	opt config.Options
	log *slog.Logger

	teams    map[string]config.Team
	peers    map[string]string
	registry *prometheus.Registry
	metrics  *timeline.Metrics
	links    *reach.Metrics
	election *leader.Election
	met      bool // a leader has been heard of, or this is one
	lead     *leadership
	acting   bool // the leadership is entitled to act at present
	box      outbox.Box
	out      inbox.Answers
	nextTick time.Time
	watch    *latencies
}

// leadership is everything that ends with the entitlement: a slice for each duty, each with
// state that no other writes. They are made at the election and dropped whole when it ends.
type leadership struct {
	token    uint64
	ledger   *ledger.Store
	settings *settings.Settings
	book     *book.Store
	fleet    *workers.Fleet
	cloud    *fleet.Cloud
	planner  *plan.Planner
	placer   *place.Placer
	rental   *rental.Desk
	clerk    *reports.Clerk
	takeover *takeover.Takeover
	zones    *zones.Book
	times    *timeline.Log
	requests *requests.Desk
	nextLook time.Time // for leases that have ended
	nextTime time.Time // for the causes that jobs wait for
}

// tickEvery is how often the owner looks at what is due.
const tickEvery = 50 * time.Millisecond

// New makes the state of a process that has just started.
func New(cfg *config.Platform, opt config.Options, now time.Time, rng *rand.Rand, log *slog.Logger) *Node {
	n := &Node{cfg: cfg, opt: opt, log: log, out: inbox.Answers{Log: log}, teams: cfg.TeamsByName(), peers: map[string]string{}, registry: prometheus.NewRegistry(), watch: newLatencies()}
	n.metrics = timeline.NewMetrics(n.registry)
	n.links = reach.NewMetrics(n.registry)
	var peers []leader.Peer
	for _, p := range cfg.Peers {
		peers = append(peers, leader.Peer{Name: p.Name, Addr: p.Addr})
		n.peers[p.Name] = p.Addr
	}
	n.election = leader.New(leader.Options{Name: cfg.Name, Peers: peers, LeaseDuration: opt.LeaderLease,
		GrantDuration: opt.Promise, SafetyMargin: 100 * time.Millisecond, HeartbeatInterval: cfg.ReportEvery,
		RenewalWindow: horizon.Window(cfg.CancelWithin, workers.LeaseEnd(cfg.WorkerLease))}, now, rng, log)
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
			l.clerk.Answer(now, l.takeover.Starting())
			l.ledger.Flush(now, &n.box)
		} else {
			l.clerk.TurnAway()
			l.times.Away(now)
		}
	}
	return Effects{Replies: n.out.Take(), Calls: n.box.Take()}
}

// turn makes the leadership's state follow the election.
func (n *Node) turn(now time.Time) {
	if n.lead != nil && n.lead.ledger.IsFenced() {
		n.election.StepDown(now, &n.box, "another leader has written")
	}
	// While a renewal is late the state is kept and nothing is done. It is never built anew
	// under the same token: its counter would give out numbers for the second time.
	if n.lead != nil && (!n.election.IsLeader() || n.lead.token != n.election.FencingToken()) {
		n.resign()
	}
	n.acting = n.election.HoldsLease(now)
	if n.lead == nil && n.acting {
		n.takeOver(now)
	}
}

// resign drops everything that belonged to the leadership. Whoever still waits is told
// to come back.
func (n *Node) resign() {
	l := n.lead
	n.lead = nil
	l.ledger.Close()
	l.cloud.Close()
	l.takeover.Close()
	l.times.End()
	l.clerk.TurnAway()
}

// request routes what came in.
func (n *Node) request(now time.Time, r *inbox.Request) {
	path, _, _ := strings.Cut(r.Target, "?")
	parts := strings.Split(strings.TrimPrefix(path, "/"), "/")
	switch {
	case path == "/ready":
		n.only(r, "GET", func() { n.ready(now, r) })
	case path == "/status":
		n.only(r, "GET", func() { n.status(now, r) })
	case path == "/v1/report" && !r.Peer:
		n.only(r, "POST", func() { n.report(now, r) })
	case path == "/settings" && r.Method == "GET":
		n.user(now, r, func() { n.lead.settings.Show(now, r) })
	case path == "/settings":
		n.only(r, "POST", func() { n.user(now, r, func() { n.lead.settings.Apply(now, r) }) })
	case requests.Method(parts) != "":
		n.only(r, requests.Method(parts), func() { n.user(now, r, func() { n.lead.requests.Serve(now, r, parts) }) })
	case path == "/peer/hello" && r.Peer:
		n.only(r, "POST", func() { n.hello(now, r) })
	case path == "/peer/inquiry" && r.Peer:
		n.only(r, "POST", func() { n.out.Reply(r, 200, n.election.HandleVoteQuery(now), 0) })
	default:
		n.out.Refuse(r, 404, "no such path", 0)
	}
}

// report hands a machine's report to the clerk. Who is not entitled to act tells it where to go.
func (n *Node) report(now time.Time, r *inbox.Request) {
	hearing := n.election.Connectivity()
	if !n.acting {
		// That the worker came here is what the leader has to know.
		if c, ok := workers.CallerIn(r.Body); ok {
			hearing.RecordWorkerContact(now, c.Machine, c.Session, c.Seq)
		}
		to := n.election.Leader(now)
		if hearing.RedirectsSuspended(now) {
			to = "" // the leader would not hear it
		}
		n.out.Reply(r, 421, workers.Elsewhere{Leader: to}, 0)
		return
	}
	if !n.lead.takeover.MayRenew(now) {
		n.out.Refuse(r, 503, "the ledger is not read", 0)
		return
	}
	if n.lead.clerk.Report(now, r, n.lead.takeover.Built()) {
		hearing.RecordHeartbeat(now)
	}
}

func (n *Node) only(r *inbox.Request, method string, f func()) {
	if r.Method != method {
		n.out.Refuse(r, 405, "wrong method", 0)
		return
	}
	f()
}

func (n *Node) hello(now time.Time, r *inbox.Request) {
	var h leader.PingRequest
	if err := packed.Unmarshal(r.Body, &h); err != nil || n.peers[h.Name] == "" {
		n.out.Refuse(r, 400, "no greeting of a known controller", 0)
		return
	}
	n.met = true
	n.out.Reply(r, 200, n.election.HandlePing(now, h), 0)
}

func (n *Node) ready(now time.Time, r *inbox.Request) {
	if n.acting {
		n.met = true
	}
	if !n.met {
		n.out.Refuse(r, 503, "no leader known yet", 0)
		return
	}
	if n.election.IsIsolated(now) {
		// Users who are sent here are all refused until it is over, and others would serve them.
		n.out.Refuse(r, 503, "cut off from the state service and the other controllers", 0)
		return
	}
	n.out.Reply(r, 200, map[string]bool{"ready": true}, 0)
}

// tick does the leader's regular work, duty by duty.
func (n *Node) tick(now time.Time) {
	l := n.lead
	l.cloud.Tick(now, &n.box)
	if !l.takeover.Built() {
		l.takeover.Read(now)
		return
	}
	l.book.Tick(now, &n.box)
	oldest, known := l.book.CancellationsCompletedBefore(now)
	n.election.SetOldestCancellation(now, oldest, known)
	l.clerk.TakeGone(now)
	if !now.Before(l.nextLook) {
		l.nextLook = now.Add(200 * time.Millisecond)
		l.clerk.Expire(now)
	}
	n.election.Connectivity().Tick(now, l.takeover.Expected(), l.takeover.Overdue())
	l.takeover.Tick(now, tickEvery)
	l.zones.Look(now, n.election.Connectivity().SuspectsPartition(now), func(take func(zones.Machine)) { l.inZones(now, take) })
	placing := l.takeover.Placing()
	if !now.Before(l.nextTime) {
		l.nextTime = now.Add(n.lookEvery(l.times.Open()))
		l.times.Look(now, timeline.View{Placing: placing, Healthy: l.ledger.IsHealthy(), Teams: n.teams, Fleet: l.fleet, Cloud: l.cloud, Order: l.placer.Last()})
	}
	l.book.Save(now, placing)
	l.planner.Floor().Save(now, l.ledger, n.log)
	l.placer.Tick(now, placing)
	if placing {
		l.rental.Tick(now)
	}
}

// inZones shows the zones' book every machine. Of one that only an earlier leader has heard the cloud knows
// the zone.
func (l *leadership) inZones(now time.Time, take func(zones.Machine)) {
	for id, m := range l.fleet.Machines {
		zone := m.Zone
		if h := l.cloud.Hosts[id]; zone == "" && h != nil {
			zone = h.Kind.Zone
		}
		if zone == "" {
			continue
		}
		take(zones.Machine{Zone: zone, Up: m.Up, Live: (m.Up || m.Rostered) && !l.fleet.Expired(now, m), Heard: m.Heard,
			Leaving: m.Draining == workers.Silent || m.Draining == workers.Returned, Ear: m.Ear})
	}
}

// lookShare is how much of the processor's share may go into seeing what jobs wait for, and
// lookCost what it takes for a job (measured: BenchmarkLook).
const (
	lookShare = 0.02
	lookCost  = 150 * time.Nanosecond
)

// lookEvery is how often it is seen what jobs wait for: twice a second, and more seldom the more
// jobs there are.
func (n *Node) lookEvery(open int) time.Duration {
	return max(500*time.Millisecond, time.Duration(float64(open)*float64(lookCost)/(lookShare*n.cfg.CPUShare)))
}

// Acts says whether this controller is entitled to act, and whether it places: an entitlement is of
// little use to anybody before the ledger is read and the machines are accounted for.
func (n *Node) Acts(now time.Time) (acting, placing bool) {
	acting = n.lead != nil && n.election.HoldsLease(now) && n.lead.takeover.Built()
	return acting, acting && n.lead.takeover.Placing()
}

// Registry has the controller's figures; it is safe to read at any time.
func (n *Node) Registry() *prometheus.Registry { return n.registry }

// takeOver begins a leadership with nothing but the ledger to come.
func (n *Node) takeOver(now time.Time) {
	n.lead = n.newLeadership(now, n.election.FencingToken())
	n.lead.ledger.Load(&n.box)
}

// newLeadership makes the slices and introduces them to one another.
func (n *Node) newLeadership(now time.Time, token uint64) *leadership {
	l := &leadership{token: token}
	l.ledger = ledger.New(ledger.Options{LeaderKey: leader.LeaderKey, ValueBytes: n.cfg.ValueBytes, TxnOps: n.cfg.TxnOps,
		WriteRate: n.cfg.StateWrites, BatchDelay: 500 * time.Millisecond}, token, n.log)
	l.settings = settings.New(n.opt, l.ledger, &n.out, n.log)
	opt := l.settings.Options()
	l.cloud = fleet.New(token, n.cfg.CloudRate, n.cfg.ListLag, n.log)
	l.fleet = workers.NewFleet(workers.LeaseEnd(n.cfg.WorkerLease), n.log)
	l.planner = plan.New(n.opt, n.cfg)
	l.times = timeline.New(n.metrics, n.log)
	l.zones = zones.New(n.cfg.ReportEvery, now, n.log)
	slow := pace.New(n.cfg.ReportEvery)
	links := reach.New(token, n.cfg.WorkerLease, n.links, n.log)
	blamed := blame.New()
	l.book = book.New(book.Components{Platform: n.cfg, Options: opt, Storage: l.ledger, Workers: l.fleet, Accounting: l.times, Log: n.log})
	l.placer = place.NewPlacer(place.World{Platform: n.cfg, Token: token, Jobs: l.book.Unfinished, Fleet: l.fleet, Planner: l.planner,
		Room: func(now time.Time) plan.Room { return l.rental.Room(now) }, Box: &n.box, Log: n.log})
	l.rental = rental.NewDesk(rental.World{Platform: n.cfg, Options: opt, Token: token, Since: now, First: func() bool { return l.takeover.First() },
		Cloud: l.cloud, Fleet: l.fleet, Planner: l.planner, Placer: l.placer, Pace: slow, Zones: l.zones, Box: &n.box, Log: n.log})
	l.clerk = reports.NewClerk(reports.World{Platform: n.cfg, Token: token, Ledger: l.ledger, Book: l.book, Fleet: l.fleet, Cloud: l.cloud,
		Planner: l.planner, Placer: l.placer, Times: l.times, Pace: slow, Blame: blamed, Reach: links, Answers: &n.out, Log: n.log})
	l.takeover = takeover.New(takeover.World{Platform: n.cfg, Token: token, Since: now, Ledger: l.ledger, Book: l.book, Settings: l.settings,
		Fleet: l.fleet, Cloud: l.cloud, Clerk: l.clerk, Placer: l.placer, Floor: l.planner.Floor(), Zones: l.zones, Reach: links, Hearing: n.election.Connectivity(), Horizon: n.election.RenewalLimit(), Box: &n.box, Log: n.log})
	l.requests = requests.NewDesk(requests.World{Platform: n.cfg, Options: opt, Ledger: l.ledger, Book: l.book, Fleet: l.fleet, Cloud: l.cloud,
		Planner: l.planner, Placer: l.placer, Rental: l.rental, Takeover: l.takeover, Times: l.times, Blame: blamed, Zones: l.zones,
		Acting: func() bool { return n.lead == l && n.acting }, Answers: &n.out, Box: &n.box, Log: n.log})
	l.book.OnOrderChange(l.placer.Changed)
	l.book.OnDone(func(now time.Time, j *jobs.Job) {
		l.rental.Ended(now, j)
		l.planner.Floor().Done(now, j)
		l.clerk.Over(j)
	})
	l.book.OnWaiting(func(j *jobs.Job) {
		l.book.DependencyGraph().Hurry(j, l.planner.PerTask, 2*n.cfg.ReportEvery, j.Guaranteed)
	})
	l.book.OnReady(func(now time.Time, j *jobs.Job) {
		l.placer.Changed()
		l.rental.Accepted(now, j)
	})
	l.settings.OnChange(func(opt config.Options) {
		l.planner.Tune(opt)
		l.book.SetOptions(opt)
		l.placer.Changed()
	})
	return l
}

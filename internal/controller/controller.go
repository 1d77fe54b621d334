// Package controller runs one controller process: an event loop that owns all of its state. Requests and the outcomes of calls come
// through one queue as Inputs; Step processes a batch of them and returns the responses to send and the calls to make.
//
// A Controller owns the election, the leadership while there is one, and the state of a follower. Step is pure: it reads no clock,
// does no I/O and starts no goroutine; Runtime connects it with the clock and the network. All components run inside Step, one at a
// time, and need no locks. The components of the leadership decide about jobs and machines; this package does not.
// Design note: docs/architecture.md.
package controller

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/accounting"
	"gullrudder/internal/controller/api"
	"gullrudder/internal/controller/election"
	"gullrudder/internal/controller/election/renewal"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/controller/worker/reachability"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/server"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// tickInterval is the time between two ticks. A tick does the periodic work.
	tickInterval = 50 * time.Millisecond
	// leaseSafetyMargin shortens each lease and grant for its holder, in addition to the bound of the clock drift.
	leaseSafetyMargin = 100 * time.Millisecond
)

// Controller is the state of a controller process. Only the event loop may call its methods, apart from Registry.
type Controller struct {
	platform *config.Platform
	options  config.Options // from the controller's own file; those of the leadership may differ (dynamicconfig)
	log      *slog.Logger
	teams    map[string]config.Team
	peers    map[string]string // addresses of the other controllers by name

	election   *election.Election
	leaderSeen bool // a leader has pinged this controller, or it leads itself
	leadership *leadership
	holdsLease bool // the leader lease is valid: the leadership may act in this step
	nextTick   time.Time

	outbox    client.Outbox
	responder server.Responder
	metrics   metrics
	latencies *latencyTable
}

// metrics are the metrics of the process. The counters are not reset when a leadership ends.
type metrics struct {
	registry     *prometheus.Registry
	api          *api.Metrics
	accounting   *accounting.Metrics
	reachability *reachability.Metrics
}

// New returns the controller of a process that has just started. rng draws the random delays of the election.
func New(platform *config.Platform, options config.Options, now time.Time, rng *rand.Rand, log *slog.Logger) *Controller {
	registry := prometheus.NewRegistry()
	c := &Controller{
		platform:  platform,
		options:   options,
		log:       log,
		teams:     platform.TeamsByName(),
		peers:     map[string]string{},
		responder: server.Responder{Log: log},
		metrics: metrics{
			registry:     registry,
			api:          api.NewMetrics(registry),
			accounting:   accounting.NewMetrics(registry),
			reachability: reachability.NewMetrics(registry),
		},
		latencies: newLatencyTable(),
	}
	var peers []election.Peer
	for _, peer := range platform.Peers {
		peers = append(peers, election.Peer{Name: peer.Name, Addr: peer.Addr})
		c.peers[peer.Name] = peer.Addr
	}
	c.election = election.New(election.Options{
		Name:              platform.Name,
		Peers:             peers,
		LeaseDuration:     options.LeaderLeaseDuration,
		GrantDuration:     options.GrantDuration,
		SafetyMargin:      leaseSafetyMargin,
		HeartbeatInterval: platform.HeartbeatInterval,
		RenewalWindow:     renewal.Window(platform.CancelTimeout, worker.LeaseExpiry(platform.WorkerLeaseDuration)),
	}, now, rng, log)
	return c
}

// Step processes a batch of inputs: first the outcomes of calls, then the requests, then the periodic work if a tick is due.
// Responses to heartbeats and the commit of state come last, so that one response or commit contains all changes of the step.
func (c *Controller) Step(now time.Time, inputs []Input) Effects {
	c.updateLeadership(now)
	for _, input := range inputs {
		if outcome := input.Outcome; outcome != nil {
			outcome.Call.Done(now, outcome.Result)
			c.updateLeadership(now)
		}
	}
	for _, input := range inputs {
		if input.Request != nil {
			c.route(now, input.Request)
		}
	}
	if !now.Before(c.nextTick) {
		c.nextTick = now.Add(tickInterval)
		c.tick(now)
	}
	if c.leadership != nil {
		c.finishStep(now)
	}
	return Effects{Responses: c.responder.TakeResponses(), Calls: c.outbox.TakeCalls()}
}

// tick does the periodic work of the election and, on a leader, of the leadership.
func (c *Controller) tick(now time.Time) {
	c.election.Tick(now, &c.outbox)
	c.updateLeadership(now)
	if c.holdsLease {
		c.tickLeadership(now)
	}
}

// finishStep responds to the heartbeats of this step and commits its state changes. While the leader lease is not valid because its
// renewal is late, it rejects the heartbeats and commits nothing.
func (c *Controller) finishStep(now time.Time) {
	leader := c.leadership
	if !c.holdsLease {
		leader.heartbeats.RejectPending()
		leader.accounting.LeaseLost(now)
		return
	}
	leader.heartbeats.SendResponses(now, leader.failover.CanStartTasks())
	leader.storage.Flush(now, &c.outbox)
}

// updateLeadership begins or ends the leadership according to the state of the election.
func (c *Controller) updateLeadership(now time.Time) {
	if c.leadership != nil && c.leadership.storage.IsFenced() {
		c.election.StepDown(now, &c.outbox, "another leader has written")
	}
	// While a renewal is late, the leadership is suspended but not ended. A second leadership under the same fencing token would use
	// its attempt numbers again.
	if c.leadership != nil && (!c.election.IsLeader() || c.leadership.fencingToken != c.election.FencingToken()) {
		c.endLeadership()
	}
	c.holdsLease = c.election.HoldsLease(now)
	if c.leadership == nil && c.holdsLease {
		c.beginLeadership(now)
	}
}

// LeadershipState reports whether this controller holds the leader lease and has loaded its state (leading), and whether it has also
// completed its failover and places tasks (placing).
func (c *Controller) LeadershipState(now time.Time) (leading, placing bool) {
	leading = c.leadership != nil && c.election.HoldsLease(now) && c.leadership.failover.StateLoaded()
	return leading, leading && c.leadership.failover.Completed()
}

// Registry returns the registry of the controller's metrics. It is safe for concurrent use.
func (c *Controller) Registry() *prometheus.Registry { return c.metrics.registry }

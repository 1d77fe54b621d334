// Package controller is the owner of all state of a controller. Inputs come through one queue; Step works through a batch
// of them and returns the responses to send and the calls to make.
//
// A Controller owns the election, the leadership while there is one, and what is kept for users of a follower. Step is pure:
// it reads no clock, does no I/O and starts no goroutine; Runtime connects it with the clock and the network. All components
// run inside Step, one at a time, and need no locks. Nothing here decides about jobs or machines: that is done by the
// components of the leadership. docs/architecture.md shows how they work together.
package controller

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/accounting"
	"gullrudder/internal/controller/election"
	"gullrudder/internal/controller/election/renewal"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/controller/worker/reachability"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/server"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// tickInterval is the time between two looks at what is due.
	tickInterval = 50 * time.Millisecond
	// leaseSafetyMargin makes each span of the election shorter for the side that relies on it, besides the clock drift.
	leaseSafetyMargin = 100 * time.Millisecond
)

// Controller is the state of a controller process. Only the owner loop may call its methods, apart from Registry.
type Controller struct {
	platform *config.Platform
	options  config.Options // from the controller's own file; the leadership may have others
	log      *slog.Logger
	teams    map[string]config.Team
	peers    map[string]string // addresses of the other controllers by name

	election   *election.Election
	leaderSeen bool // a leader has pinged this controller, or it leads itself
	leadership *leadership
	holdsLease bool // the leadership may act now: its leader lease is valid
	nextTick   time.Time

	outbox    client.Outbox
	responder server.Responder
	metrics   metrics
	latencies *latencyTable
}

// metrics outlive a leadership.
type metrics struct {
	registry     *prometheus.Registry
	accounting   *accounting.Metrics
	reachability *reachability.Metrics
}

// New makes the state of a process that has just started. rng draws the delays of the election.
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

// Step works through a batch of inputs: first the outcomes of calls, then the requests, then what is due by the time.
// Responses to heartbeats and the commit of state come last, so that one step's changes go out together.
func (c *Controller) Step(now time.Time, inputs []Input) Effects {
	c.followElection(now)
	for _, input := range inputs {
		if outcome := input.Outcome; outcome != nil {
			outcome.Call.Done(now, outcome.Result)
			c.followElection(now)
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

// tick does what is due by the time.
func (c *Controller) tick(now time.Time) {
	c.election.Tick(now, &c.outbox)
	c.followElection(now)
	if c.holdsLease {
		c.tickLeadership(now)
	}
}

// finishStep answers the heartbeats of this step and commits its changes of state. While the renewal of the leader lease is
// late, heartbeats are rejected and nothing is committed.
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

// followElection makes the leadership follow the state of the election.
func (c *Controller) followElection(now time.Time) {
	if c.leadership != nil && c.leadership.storage.IsFenced() {
		c.election.StepDown(now, &c.outbox, "another leader has written")
	}
	// While a renewal is late the leadership is kept and does nothing. It is never built anew under the same fencing token:
	// its attempt numbers would begin again and repeat.
	if c.leadership != nil && (!c.election.IsLeader() || c.leadership.fencingToken != c.election.FencingToken()) {
		c.endLeadership()
	}
	c.holdsLease = c.election.HoldsLease(now)
	if c.leadership == nil && c.holdsLease {
		c.beginLeadership(now)
	}
}

// LeadershipState reports whether this controller may act as leader with its state loaded, and whether it has completed its
// failover and places tasks.
func (c *Controller) LeadershipState(now time.Time) (leading, placing bool) {
	leading = c.leadership != nil && c.election.HoldsLease(now) && c.leadership.failover.StateLoaded()
	return leading, leading && c.leadership.failover.Completed()
}

// Registry has the controller's metrics. It may be read at any time and from any goroutine.
func (c *Controller) Registry() *prometheus.Registry { return c.metrics.registry }

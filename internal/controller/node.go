// Package controller is the owner of all state of a controller. It works through commands in
// batches: Step takes the time and what has come in, and gives back the answers and the
// calls to make. It reads no clock and does no I/O.
package controller

import (
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/accounting"
	"gullrudder/internal/controller/admission"
	"gullrudder/internal/controller/api"
	"gullrudder/internal/controller/autoscaler"
	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/dynamicconfig"
	"gullrudder/internal/controller/election"
	"gullrudder/internal/controller/election/renewal"
	"gullrudder/internal/controller/estimate"
	"gullrudder/internal/controller/failover"
	"gullrudder/internal/controller/failures"
	"gullrudder/internal/controller/fairshare"
	"gullrudder/internal/controller/heartbeat"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/jobstore"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/queue"
	"gullrudder/internal/controller/storage"
	"gullrudder/internal/controller/straggler"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/controller/worker/reachability"
	"gullrudder/internal/controller/zones"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/server"

	"github.com/prometheus/client_golang/prometheus"
)

// Outcome is what came of a call.
type Outcome struct {
	Call   client.Call
	Result client.Result
}

// Command is one of Request, Outcome; nothing else comes into the owner's queue.
type Command struct {
	Request *server.Request
	Outcome *Outcome
}

// Effects are what a step wants done.
type Effects struct {
	Replies []server.Response
	Calls   []client.Call
}

// Controller is the state of a controller.
type Controller struct {
	platform *config.Platform
	options  config.Options
	log      *slog.Logger

	teams       map[string]config.Team
	peers       map[string]string
	registry    *prometheus.Registry
	metrics     *accounting.Metrics
	linkMetrics *reachability.Metrics
	election    *election.Election
	leaderSeen  bool // a leader has been heard of, or this is one
	leadership  *leadership
	holdsLease  bool // the leadership is entitled to act at present
	outbox      client.Outbox
	responder   server.Responder
	nextTick    time.Time
	latencies   *latencyTable
}

// leadership is everything that ends with the entitlement: a slice for each duty, each with
// state that no other writes. They are made at the election and dropped whole when it ends.
type leadership struct {
	fencingToken    uint64
	storage         *storage.Store
	dynamicConfig   *dynamicconfig.Store
	jobStore        *jobstore.Store
	workers         *worker.Registry
	cloud           *cloud.Client
	estimator       *estimate.Estimator
	planner         *admission.Planner
	fairShare       *fairshare.Allocator
	ranker          *queue.Ranker
	placer          *placement.Placer
	autoscaler      *autoscaler.Scaler
	heartbeats      *heartbeat.Handler
	failover        *failover.Reconciler
	zones           *zones.Tracker
	accounting      *accounting.Tracker
	api             *api.Handler
	nextExpiryCheck time.Time // for leases that have ended
	nextWaitReasons time.Time // for the causes that jobs wait for
}

// tickInterval is how often the owner looks at what is due.
const tickInterval = 50 * time.Millisecond

// New makes the state of a process that has just started.
func New(platform *config.Platform, options config.Options, now time.Time, rng *rand.Rand, log *slog.Logger) *Controller {
	n := &Controller{
		platform:  platform,
		options:   options,
		log:       log,
		responder: server.Responder{Log: log},
		teams:     platform.TeamsByName(),
		peers:     map[string]string{},
		registry:  prometheus.NewRegistry(),
		latencies: newLatencyTable(),
	}
	n.metrics = accounting.NewMetrics(n.registry)
	n.linkMetrics = reachability.NewMetrics(n.registry)
	var peers []election.Peer
	for _, peer := range platform.Peers {
		peers = append(peers, election.Peer{Name: peer.Name, Addr: peer.Addr})
		n.peers[peer.Name] = peer.Addr
	}
	n.election = election.New(election.Options{
		Name: platform.Name, Peers: peers, LeaseDuration: options.LeaderLeaseDuration,
		GrantDuration: options.GrantDuration, SafetyMargin: 100 * time.Millisecond, HeartbeatInterval: platform.HeartbeatInterval,
		RenewalWindow: renewal.Window(platform.CancelTimeout, worker.LeaseExpiry(platform.WorkerLeaseDuration)),
	}, now, rng, log)
	return n
}

// Step works through a batch of commands.
func (n *Controller) Step(now time.Time, commands []Command) Effects {
	n.followElection(now)
	for _, command := range commands {
		if command.Outcome != nil {
			command.Outcome.Call.Done(now, command.Outcome.Result)
			n.followElection(now)
		}
	}
	for _, command := range commands {
		if command.Request != nil {
			n.route(now, command.Request)
		}
	}
	if !now.Before(n.nextTick) {
		n.nextTick = now.Add(tickInterval)
		n.election.Tick(now, &n.outbox)
		n.followElection(now)
		if n.holdsLease {
			n.tick(now)
		}
	}
	if l := n.leadership; l != nil {
		if n.holdsLease {
			l.heartbeats.SendResponses(now, l.failover.CanStartTasks())
			l.storage.Flush(now, &n.outbox)
		} else {
			l.heartbeats.RejectPending()
			l.accounting.LeaseLost(now)
		}
	}
	return Effects{Replies: n.responder.TakeResponses(), Calls: n.outbox.TakeCalls()}
}

// followElection makes the leadership's state follow the election.
func (n *Controller) followElection(now time.Time) {
	if n.leadership != nil && n.leadership.storage.IsFenced() {
		n.election.StepDown(now, &n.outbox, "another leader has written")
	}
	// While a renewal is late the state is kept and nothing is done. It is never built anew
	// under the same token: its counter would give out numbers for the second time.
	if n.leadership != nil && (!n.election.IsLeader() || n.leadership.fencingToken != n.election.FencingToken()) {
		n.endLeadership()
	}
	n.holdsLease = n.election.HoldsLease(now)
	if n.leadership == nil && n.holdsLease {
		n.beginLeadership(now)
	}
}

// endLeadership drops everything that belonged to the leadership. Whoever still waits is told
// to come back.
func (n *Controller) endLeadership() {
	l := n.leadership
	n.leadership = nil
	l.storage.Close()
	l.cloud.Close()
	l.failover.Close()
	l.accounting.End()
	l.heartbeats.RejectPending()
}

// route routes what came in.
func (n *Controller) route(now time.Time, request *server.Request) {
	path, _, _ := strings.Cut(request.Target, "?")
	segments := strings.Split(strings.TrimPrefix(path, "/"), "/")
	switch {
	case path == "/ready":
		n.requireMethod(request, "GET", func() { n.handleReady(now, request) })
	case path == "/status":
		n.requireMethod(request, "GET", func() { n.handleStatus(now, request) })
	case path == "/v1/report" && !request.FromPeer:
		n.requireMethod(request, "POST", func() { n.handleHeartbeat(now, request) })
	case path == "/settings" && request.Method == http.MethodGet:
		n.serveOrForward(now, request, func() { n.leadership.dynamicConfig.ServeView(now, request) })
	case path == "/settings":
		n.requireMethod(request, "POST", func() {
			n.serveOrForward(now, request, func() { n.leadership.dynamicConfig.ServeChange(now, request) })
		})
	case api.MethodFor(segments) != "":
		n.requireMethod(
			request,
			api.MethodFor(segments),
			func() { n.serveOrForward(now, request, func() { n.leadership.api.Serve(now, request, segments) }) },
		)
	case path == "/peer/hello" && request.FromPeer:
		n.requireMethod(request, "POST", func() { n.handlePing(now, request) })
	case path == "/peer/inquiry" && request.FromPeer:
		n.requireMethod(request, "POST", func() { n.responder.Respond(request, 200, n.election.HandleVoteQuery(now), 0) })
	default:
		n.responder.RespondError(request, 404, "no such path", 0)
	}
}

// handleHeartbeat hands a machine's report to the clerk. Who is not entitled to act tells it where to go.
func (n *Controller) handleHeartbeat(now time.Time, request *server.Request) {
	connectivity := n.election.Connectivity()
	if !n.holdsLease {
		// That the worker came here is what the leader has to know.
		if caller, ok := worker.DecodeHeartbeatID(request.Body); ok {
			connectivity.RecordWorkerContact(now, caller.Machine, caller.Incarnation, caller.Sequence)
		}
		redirectTo := n.election.Leader(now)
		if connectivity.RedirectsSuspended(now) {
			redirectTo = "" // the leader would not hear it
		}
		n.responder.Respond(request, 421, worker.Redirect{Leader: redirectTo}, 0)
		return
	}
	if !n.leadership.failover.CanRenewLeases(now) {
		n.responder.RespondError(request, 503, "the ledger is not read", 0)
		return
	}
	if n.leadership.heartbeats.HandleHeartbeat(now, request, n.leadership.failover.StateLoaded()) {
		connectivity.RecordHeartbeat(now)
	}
}

func (n *Controller) requireMethod(request *server.Request, method string, handle func()) {
	if request.Method != method {
		n.responder.RespondError(request, 405, "wrong method", 0)
		return
	}
	handle()
}

func (n *Controller) handlePing(now time.Time, request *server.Request) {
	var ping election.PingRequest
	if err := codec.Unmarshal(request.Body, &ping); err != nil || n.peers[ping.Name] == "" {
		n.responder.RespondError(request, 400, "no greeting of a known controller", 0)
		return
	}
	n.leaderSeen = true
	n.responder.Respond(request, 200, n.election.HandlePing(now, ping), 0)
}

func (n *Controller) handleReady(now time.Time, request *server.Request) {
	if n.holdsLease {
		n.leaderSeen = true
	}
	if !n.leaderSeen {
		n.responder.RespondError(request, 503, "no leader known yet", 0)
		return
	}
	if n.election.IsIsolated(now) {
		// Users who are sent here are all refused until it is over, and others would serve them.
		n.responder.RespondError(request, 503, "cut off from the state service and the other controllers", 0)
		return
	}
	n.responder.Respond(request, 200, map[string]bool{"ready": true}, 0)
}

// tick does the leader's regular work, duty by duty.
func (n *Controller) tick(now time.Time) {
	l := n.leadership
	l.cloud.Tick(now, &n.outbox)
	if !l.failover.StateLoaded() {
		l.failover.LoadState(now)
		return
	}
	l.jobStore.Tick(now, &n.outbox)
	oldest, known := l.jobStore.CancellationsCompletedBefore(now)
	n.election.SetOldestCancellation(now, oldest, known)
	l.heartbeats.RemoveDeleted(now)
	if !now.Before(l.nextExpiryCheck) {
		l.nextExpiryCheck = now.Add(200 * time.Millisecond)
		l.heartbeats.ExpireLeases(now)
	}
	n.election.Connectivity().Tick(now, l.failover.ExpectedHeartbeats(), l.failover.OverdueHeartbeats())
	l.failover.Tick(now, tickInterval)
	l.zones.Observe(now, n.election.Connectivity().SuspectsPartition(now), func(take func(zones.Machine)) { l.visitZoneMachines(now, take) })
	placing := l.failover.Completed()
	if !now.Before(l.nextWaitReasons) {
		l.nextWaitReasons = now.Add(n.waitReasonsInterval(l.accounting.OpenCount()))
		l.accounting.Sample(
			now,
			accounting.ClusterState{
				FailoverCompleted: placing,
				StorageHealthy:    l.storage.IsHealthy(),
				Teams:             n.teams,
				Workers:           l.workers,
				Cloud:             l.cloud,
				Queue:             l.placer.LastOrder(),
			},
		)
	}
	l.jobStore.Save(now, placing)
	l.fairShare.Save(now, l.storage, n.log)
	l.placer.Tick(now, placing)
	if placing {
		l.autoscaler.Tick(now)
	}
}

// visitZoneMachines shows the zones' book every machine. Of one that only an earlier leader has heard the cloud knows
// the zone.
func (l *leadership) visitZoneMachines(now time.Time, visit func(zones.Machine)) {
	for id, m := range l.workers.Machines {
		zone := m.Zone
		if h := l.cloud.Instances[id]; zone == "" && h != nil {
			zone = h.Kind.Zone
		}
		if zone == "" {
			continue
		}
		visit(zones.Machine{
			Zone:          zone,
			HasReported:   m.HasReported,
			LeaseValid:    (m.HasReported || m.Registered) && !l.workers.IsLeaseExpired(now, m),
			LastHeartbeat: m.LastContactAt,
			Deleting:      m.DrainReason == worker.DrainUnresponsive || m.DrainReason == worker.DrainTerminating,
			Sentinel:      m.IsSentinel,
		})
	}
}

// lookShare is how much of the processor's share may go into seeing what jobs wait for, and
// lookCost what it takes for a job (measured: BenchmarkLook).
const (
	waitReasonsCPUShare   = 0.02
	waitReasonsCostPerJob = 150 * time.Nanosecond
)

// waitReasonsInterval is how often it is seen what jobs wait for: twice a second, and more seldom the more
// jobs there are.
func (n *Controller) waitReasonsInterval(openJobs int) time.Duration {
	return max(500*time.Millisecond, time.Duration(float64(openJobs)*float64(waitReasonsCostPerJob)/(waitReasonsCPUShare*n.platform.CPUQuota)))
}

// LeadershipState says whether this controller is entitled to act, and whether it places: an entitlement is of
// little use to anybody before the ledger is read and the machines are accounted for.
func (n *Controller) LeadershipState(now time.Time) (leading, placing bool) {
	leading = n.leadership != nil && n.election.HoldsLease(now) && n.leadership.failover.StateLoaded()
	return leading, leading && n.leadership.failover.Completed()
}

// Registry has the controller's figures; it is safe to read at any time.
func (n *Controller) Registry() *prometheus.Registry { return n.registry }

// beginLeadership begins a leadership with nothing but the ledger to come.
func (n *Controller) beginLeadership(now time.Time) {
	n.leadership = n.newLeadership(now, n.election.FencingToken())
	n.leadership.storage.Load(&n.outbox)
}

// newLeadership makes the slices and introduces them to one another.
func (n *Controller) newLeadership(now time.Time, fencingToken uint64) *leadership {
	l := &leadership{fencingToken: fencingToken}
	l.storage = storage.New(storage.Options{
		LeaderKey: election.LeaderKey, ValueBytes: n.platform.MaxValueBytes, TxnOps: n.platform.MaxTransactionOps,
		WriteRate: n.platform.StateWriteRate, BatchDelay: 500 * time.Millisecond,
	}, fencingToken, n.log)
	l.dynamicConfig = dynamicconfig.New(n.options, l.storage, &n.responder, n.log)
	options := l.dynamicConfig.Options()
	l.cloud = cloud.New(fencingToken, n.platform.CloudRequestRate, n.platform.CloudListLag, n.log)
	l.workers = worker.NewRegistry(worker.LeaseExpiry(n.platform.WorkerLeaseDuration), n.log)
	queueing := queue.NewComponents(n.options)
	l.estimator, l.planner, l.fairShare = queueing.Estimator, queueing.Planner, queueing.FairShare
	l.ranker = queue.NewRanker(n.options, n.platform, queueing)
	l.accounting = accounting.New(n.metrics, n.log)
	l.zones = zones.New(n.platform.HeartbeatInterval, now, n.log)
	stragglers := straggler.NewDetector(n.platform.HeartbeatInterval)
	machineLinks := reachability.NewTracker(fencingToken, n.platform.WorkerLeaseDuration, n.linkMetrics, n.log)
	failureHistory := failures.NewTracker()
	l.jobStore = jobstore.New(
		jobstore.Components{Platform: n.platform, Options: options, Storage: l.storage, Workers: l.workers, Accounting: l.accounting, Log: n.log},
	)
	l.placer = placement.New(placement.Components{
		Platform: n.platform, FencingToken: fencingToken, Jobs: l.jobStore.Unfinished, Workers: l.workers, Ranker: l.ranker,
		Capacity: func(now time.Time) admission.Capacity { return l.autoscaler.ExpectedCapacity(now) }, Outbox: &n.outbox, Log: n.log,
	})
	l.autoscaler = autoscaler.New(autoscaler.Components{
		Platform:      n.platform,
		Options:       options,
		FencingToken:  fencingToken,
		ElectedAt:     now,
		IsFirstLeader: func() bool { return l.failover.IsFirstLeader() },
		Cloud:         l.cloud,
		Workers:       l.workers,
		Estimator:     l.estimator,
		Placer:        l.placer,
		Stragglers:    stragglers,
		Zones:         l.zones,
		Outbox:        &n.outbox,
		Log:           n.log,
	})
	l.heartbeats = heartbeat.NewHandler(heartbeat.Components{
		Platform:     n.platform,
		FencingToken: fencingToken,
		Storage:      l.storage,
		JobStore:     l.jobStore,
		Workers:      l.workers,
		Cloud:        l.cloud,
		Estimator:    l.estimator,
		Placer:       l.placer,
		Accounting:   l.accounting,
		Stragglers:   stragglers,
		Failures:     failureHistory,
		Reachability: machineLinks,
		Responder:    &n.responder,
		Log:          n.log,
	})
	l.failover = failover.New(failover.Components{
		Platform:      n.platform,
		FencingToken:  fencingToken,
		ElectedAt:     now,
		Storage:       l.storage,
		JobStore:      l.jobStore,
		DynamicConfig: l.dynamicConfig,
		Workers:       l.workers,
		Cloud:         l.cloud,
		Heartbeats:    l.heartbeats,
		Placer:        l.placer,
		FairShare:     l.fairShare,
		Zones:         l.zones,
		Reachability:  machineLinks,
		Connectivity:  n.election.Connectivity(),
		RenewalLimit:  n.election.RenewalLimit(),
		Outbox:        &n.outbox,
		Log:           n.log,
	})
	l.api = api.NewHandler(api.Components{
		Platform:   n.platform,
		Options:    options,
		Storage:    l.storage,
		JobStore:   l.jobStore,
		Workers:    l.workers,
		Cloud:      l.cloud,
		Planner:    l.planner,
		Estimator:  l.estimator,
		Ranker:     l.ranker,
		FairShare:  l.fairShare,
		Placer:     l.placer,
		Autoscaler: l.autoscaler,
		Failover:   l.failover,
		Accounting: l.accounting,
		Failures:   failureHistory,
		Zones:      l.zones,
		HoldsLease: func() bool { return n.leadership == l && n.holdsLease },
		Responder:  &n.responder,
		Outbox:     &n.outbox,
		Logger:     n.log,
	})
	l.jobStore.OnOrderChange(l.placer.InvalidateOrder)
	l.jobStore.OnDone(func(now time.Time, job *jobs.Job) {
		l.autoscaler.JobEnded(now, job)
		l.fairShare.RecordDone(now, job)
		l.heartbeats.ForgetJob(job)
	})
	l.jobStore.OnWaiting(func(job *jobs.Job) {
		l.jobStore.DependencyGraph().PropagateDeadline(job, l.estimator.TaskRunTime, 2*n.platform.HeartbeatInterval, job.Guaranteed)
	})
	l.jobStore.OnReady(func(now time.Time, job *jobs.Job) {
		l.placer.InvalidateOrder()
		l.autoscaler.JobAccepted(now, job)
	})
	l.dynamicConfig.OnChange(func(options config.Options) {
		l.fairShare.SetPolicy(fairshare.PolicyOf(options))
		l.planner.SetOptions(options)
		l.ranker.SetOptions(options)
		l.jobStore.SetOptions(options)
		l.placer.InvalidateOrder()
	})
	return l
}

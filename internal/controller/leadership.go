package controller

import (
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/accounting"
	"gullrudder/internal/controller/admission"
	"gullrudder/internal/controller/api"
	"gullrudder/internal/controller/autoscaler"
	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/dynamicconfig"
	"gullrudder/internal/controller/election"
	"gullrudder/internal/controller/estimate"
	"gullrudder/internal/controller/failover"
	"gullrudder/internal/controller/failures"
	"gullrudder/internal/controller/fairshare"
	"gullrudder/internal/controller/heartbeat"
	"gullrudder/internal/controller/jobstore"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/queue"
	"gullrudder/internal/controller/storage"
	"gullrudder/internal/controller/straggler"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/controller/worker/reachability"
	"gullrudder/internal/controller/zones"
)

// commitBatchDelay is how long a change that no request waits for may be delayed, to be committed together with later changes.
const commitBatchDelay = 500 * time.Millisecond

// leadership has the components that exist only while this controller leads. Each component owns its state; no other component
// writes it. All of them are created at the election and discarded when the leadership ends.
type leadership struct {
	fencingToken uint64
	persistentState
	machineState
	scheduling
	services

	nextLeaseCheck time.Time // time of the next check for expired worker leases
	nextWaitSample time.Time // time of the next sample of wait reasons
}

// persistentState has the components whose state is committed to the state service, or is derived from committed state.
type persistentState struct {
	storage       *storage.Store
	dynamicConfig *dynamicconfig.Store
	jobStore      *jobstore.Store
	accounting    *accounting.Tracker
}

// machineState has the components with the leader's view of the machines.
type machineState struct {
	workers      *worker.Registry
	cloud        *cloud.Client
	zones        *zones.Tracker
	reachability *reachability.Tracker
	stragglers   *straggler.Detector
	failures     *failures.Tracker
}

// scheduling has the components that decide where tasks run and how many machines there are.
type scheduling struct {
	estimator  *estimate.Estimator
	planner    *admission.Planner
	fairShare  *fairshare.Allocator
	ranker     *queue.Ranker
	placer     *placement.Placer
	autoscaler *autoscaler.Scaler
}

// services has the components that respond to workers and users.
type services struct {
	heartbeats *heartbeat.Handler
	failover   *failover.Reconciler
	api        *api.Handler
}

// beginLeadership starts a leadership, and starts to load the persistent state.
func (c *Controller) beginLeadership(now time.Time) {
	c.leadership = c.newLeadership(now, c.election.FencingToken())
	c.leadership.storage.Load(&c.outbox)
}

// endLeadership discards the leadership. Users and workers that wait for a response are asked to retry.
func (c *Controller) endLeadership() {
	leader := c.leadership
	c.leadership = nil
	leader.storage.Close()
	leader.cloud.Close()
	leader.failover.Close()
	leader.accounting.End()
	leader.heartbeats.RejectPending()
}

// newLeadership creates the components and connects them.
func (c *Controller) newLeadership(now time.Time, fencingToken uint64) *leadership {
	leader := &leadership{fencingToken: fencingToken}
	leader.storage = storage.New(storage.Options{
		LeaderKey:         election.LeaderKey,
		MaxValueBytes:     c.platform.MaxValueBytes,
		MaxTransactionOps: c.platform.MaxTransactionOps,
		WriteRate:         c.platform.StateWriteRate,
		BatchDelay:        commitBatchDelay,
	}, fencingToken, c.log)
	leader.dynamicConfig = dynamicconfig.New(c.options, leader.storage, &c.responder, c.log)
	leader.accounting = accounting.New(c.metrics.accounting, c.log)
	leader.machineState = c.newMachineState(now, fencingToken)
	leader.jobStore = jobstore.New(jobstore.Components{
		Platform:   c.platform,
		Options:    leader.dynamicConfig.Options(),
		Storage:    leader.storage,
		Workers:    leader.workers,
		Accounting: leader.accounting,
		Log:        c.log,
	})
	leader.scheduling = c.newScheduling(leader)
	leader.heartbeats = c.newHeartbeatHandler(leader)
	leader.failover = c.newReconciler(now, leader)
	leader.autoscaler = c.newScaler(now, leader)
	leader.placer.SetCapacityForecaster(leader.autoscaler)
	leader.api = c.newAPIHandler(leader)
	leader.jobStore.SetObserver(jobObserver{leader, c.platform.HeartbeatInterval})
	leader.dynamicConfig.OnChange(leader.applyOptions)
	return leader
}

func (c *Controller) newMachineState(now time.Time, fencingToken uint64) machineState {
	return machineState{
		workers:      worker.NewRegistry(worker.LeaseExpiry(c.platform.WorkerLeaseDuration), c.log),
		cloud:        cloud.New(fencingToken, c.platform.CloudRequestRate, c.platform.CloudListLag, c.log),
		zones:        zones.New(c.platform.HeartbeatInterval, now, c.log),
		reachability: reachability.New(fencingToken, c.platform.WorkerLeaseDuration, c.metrics.reachability, c.log),
		stragglers:   straggler.New(c.platform.HeartbeatInterval),
		failures:     failures.New(),
	}
}

// newScheduling creates the components of the queue and the placer. The autoscaler depends on more components and is created later.
func (c *Controller) newScheduling(leader *leadership) scheduling {
	queueing := queue.NewComponents(c.options)
	ranker := queue.NewRanker(c.options, c.platform, queueing)
	placer := placement.New(placement.Components{
		Platform:     c.platform,
		FencingToken: leader.fencingToken,
		Jobs:         leader.jobStore.Unfinished,
		Workers:      leader.workers,
		Ranker:       ranker,
		Outbox:       &c.outbox,
		Log:          c.log,
	})
	return scheduling{
		estimator: queueing.Estimator,
		planner:   queueing.Planner,
		fairShare: queueing.FairShare,
		ranker:    ranker,
		placer:    placer,
	}
}

// newScaler creates the autoscaler. It uses the placer's results, and the placer uses its capacity forecast.
func (c *Controller) newScaler(now time.Time, leader *leadership) *autoscaler.Scaler {
	return autoscaler.New(autoscaler.Components{
		Platform:     c.platform,
		Options:      leader.dynamicConfig.Options(),
		FencingToken: leader.fencingToken,
		ElectedAt:    now,
		History:      leader.failover,
		Cloud:        leader.cloud,
		Workers:      leader.workers,
		Estimator:    leader.estimator,
		Placer:       leader.placer,
		Stragglers:   leader.stragglers,
		Zones:        leader.zones,
		Outbox:       &c.outbox,
		Log:          c.log,
	})
}

func (c *Controller) newHeartbeatHandler(leader *leadership) *heartbeat.Handler {
	return heartbeat.New(heartbeat.Components{
		Platform:     c.platform,
		FencingToken: leader.fencingToken,
		Storage:      leader.storage,
		JobStore:     leader.jobStore,
		Workers:      leader.workers,
		Cloud:        leader.cloud,
		Estimator:    leader.estimator,
		Placer:       leader.placer,
		Accounting:   leader.accounting,
		Stragglers:   leader.stragglers,
		Failures:     leader.failures,
		Reachability: leader.reachability,
		Responder:    &c.responder,
		Log:          c.log,
	})
}

func (c *Controller) newReconciler(now time.Time, leader *leadership) *failover.Reconciler {
	return failover.New(failover.Components{
		Platform:     c.platform,
		FencingToken: leader.fencingToken,
		ElectedAt:    now,
		Stores: failover.Stores{
			Storage:       leader.storage,
			Jobs:          leader.jobStore,
			DynamicConfig: leader.dynamicConfig,
			FairShare:     leader.fairShare,
		},
		Machines: failover.Machines{
			Workers:      leader.workers,
			Cloud:        leader.cloud,
			Zones:        leader.zones,
			Reachability: leader.reachability,
			Connectivity: c.election.Connectivity(),
		},
		Heartbeats:   leader.heartbeats,
		Placer:       leader.placer,
		RenewalLimit: c.election.RenewalLimit(),
		Outbox:       &c.outbox,
		Log:          c.log,
	})
}

func (c *Controller) newAPIHandler(leader *leadership) *api.Handler {
	return api.New(api.Components{
		Platform:   c.platform,
		Options:    leader.dynamicConfig.Options(),
		HoldsLease: func() bool { return c.leadership == leader && c.holdsLease },
		Stores: api.Stores{
			Storage:    leader.storage,
			Jobs:       leader.jobStore,
			Accounting: leader.accounting,
		},
		Queueing: api.Queueing{
			Planner:   leader.planner,
			Estimator: leader.estimator,
			Ranker:    leader.ranker,
			FairShare: leader.fairShare,
			Placer:    leader.placer,
		},
		Machines: api.Machines{
			Workers:    leader.workers,
			Cloud:      leader.cloud,
			Autoscaler: leader.autoscaler,
			Failover:   leader.failover,
			Failures:   leader.failures,
			Zones:      leader.zones,
		},
		Metrics:   c.metrics.api,
		Responder: &c.responder,
		Outbox:    &c.outbox,
		Log:       c.log,
	})
}

// applyOptions passes changed options on to the components that use them. dynamicconfig.Store calls it whenever they change.
func (l *leadership) applyOptions(options config.Options) {
	l.fairShare.SetPolicy(fairshare.PolicyOf(options))
	l.planner.SetOptions(options)
	l.ranker.SetOptions(options)
	l.jobStore.SetOptions(options)
	l.placer.InvalidateOrder()
}

package controller

import (
	"time"

	"gullrudder/internal/controller/accounting"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/controller/zones"
)

const (
	// leaseCheckInterval is the time between two checks for expired worker leases.
	leaseCheckInterval = 200 * time.Millisecond
	// minWaitSampleInterval is the shortest time between two samples of the reasons that jobs wait for.
	minWaitSampleInterval = 500 * time.Millisecond
	// waitSampleCPUShare is the largest share of the CPU quota that sampling wait reasons may take.
	waitSampleCPUShare = 0.02
	// waitSampleCostPerJob is the CPU time of sampling one open job (see the benchmark of package accounting).
	waitSampleCostPerJob = 150 * time.Nanosecond
)

// tickLeadership does the periodic work of each component of the leadership. Until the state is loaded, only the cloud client and
// the loading itself make progress.
func (c *Controller) tickLeadership(now time.Time) {
	leader := c.leadership
	leader.cloud.Tick(now, &c.outbox)
	if !leader.failover.StateLoaded() {
		leader.failover.LoadState(now)
		return
	}
	leader.jobStore.Tick(now, &c.outbox)
	oldest, known := leader.jobStore.CancellationsCompletedBefore(now)
	c.election.SetOldestCancellation(now, oldest, known)
	leader.heartbeats.RemoveDeleted(now)
	leader.checkLeases(now)
	leader.heartbeats.EndAvoidances(now)
	connectivity := c.election.Connectivity()
	connectivity.Tick(now, leader.failover.ExpectedHeartbeats(), leader.failover.OverdueHeartbeats())
	leader.failover.Tick(now, tickInterval)
	leader.zones.Observe(now, connectivity.SuspectsPartition(now), func(visit func(zones.Machine)) { leader.visitMachines(now, visit) })
	placing := leader.failover.Completed()
	c.sampleWaitReasons(now, placing)
	leader.jobStore.Save(now, placing)
	leader.fairShare.Save(now, leader.storage, c.log)
	leader.placer.Tick(now, placing)
	if placing {
		leader.autoscaler.Tick(now)
	}
}

// checkLeases expires worker leases if the check is due.
func (l *leadership) checkLeases(now time.Time) {
	if now.Before(l.nextLeaseCheck) {
		return
	}
	l.nextLeaseCheck = now.Add(leaseCheckInterval)
	l.heartbeats.ExpireLeases(now)
}

// sampleWaitReasons records the wait reason of each job if a sample is due.
func (c *Controller) sampleWaitReasons(now time.Time, placing bool) {
	leader := c.leadership
	if now.Before(leader.nextWaitSample) {
		return
	}
	leader.nextWaitSample = now.Add(waitSampleInterval(leader.accounting.OpenCount(), c.platform.CPUQuota))
	leader.accounting.Sample(now, accounting.ClusterState{
		FailoverCompleted: placing,
		StorageHealthy:    leader.storage.IsHealthy(),
		Teams:             c.teams,
		Workers:           leader.workers,
		Cloud:             leader.cloud,
		Queue:             leader.placer.LastOrder(),
	})
}

// waitSampleInterval returns the time between two samples of wait reasons. It grows with the number of open jobs, so that sampling
// stays within waitSampleCPUShare.
func waitSampleInterval(openJobs int, cpuQuota float64) time.Duration {
	cost := float64(openJobs) * float64(waitSampleCostPerJob)
	return max(minWaitSampleInterval, time.Duration(cost/(waitSampleCPUShare*cpuQuota)))
}

// visitMachines calls visit for every machine whose zone is known. The zone of a machine that has sent no heartbeat to this leader is
// taken from the cloud's list of instances.
func (l *leadership) visitMachines(now time.Time, visit func(zones.Machine)) {
	for id, machine := range l.workers.Machines {
		zone := machine.Zone
		if instance := l.cloud.Instances[id]; zone == "" && instance != nil {
			zone = instance.Kind.Zone
		}
		if zone == "" {
			continue
		}
		visit(zones.Machine{
			Zone:             zone,
			HasSentHeartbeat: machine.HasSentHeartbeat,
			LeaseValid:       (machine.HasSentHeartbeat || machine.Registered) && !l.workers.IsLeaseExpired(now, machine),
			LastHeartbeat:    machine.LastContactAt,
			Deleting:         machine.DrainReason == worker.DrainUnresponsive || machine.DrainReason == worker.DrainTerminating,
			Sentinel:         machine.IsSentinel,
		})
	}
}

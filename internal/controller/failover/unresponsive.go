package failover

import (
	"cmp"
	"slices"
	"time"

	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/election/connectivity"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/controller/worker/reachability"
	"gullrudder/internal/controller/zones"
)

const (
	// unresponsiveCheckInterval is the time between two checks of all machines.
	unresponsiveCheckInterval = 500 * time.Millisecond
	// minMachinesPerUnresponsive is the least number of machines for each unresponsive one. If more than one in so many is
	// unresponsive, this controller is probably the unreachable one: none is terminated, and their leases may expire.
	minMachinesPerUnresponsive = 3
	// heartbeatGrace is added to the time after which a heartbeat is overdue, for delays on the link.
	heartbeatGrace = time.Second
)

// unresponsiveMonitor probes the machines whose heartbeats are overdue and terminates those that do not answer. The cloud confirms the
// deletion long before their leases expire, so that their tasks can be restarted and a failover need not wait for them: one machine
// that was reclaimed without notice had delayed a failover of a thousand machines by 15 s.
type unresponsiveMonitor struct {
	heartbeatInterval time.Duration
	workers           *worker.Registry
	cloud             *cloud.Client
	zones             *zones.Tracker
	reachability      *reachability.Tracker
	connectivity      *connectivity.Monitor
	prober            *prober

	nextCheck          time.Time
	expectedHeartbeats int // machines that should send heartbeats: their leases have not expired
	overdueHeartbeats  int // of these, machines whose heartbeat is overdue
}

func newUnresponsiveMonitor(machines Machines, heartbeatInterval time.Duration, prober *prober) *unresponsiveMonitor {
	return &unresponsiveMonitor{
		heartbeatInterval: heartbeatInterval,
		workers:           machines.Workers,
		cloud:             machines.Cloud,
		zones:             machines.Zones,
		reachability:      machines.Reachability,
		connectivity:      machines.Connectivity,
		prober:            prober,
	}
}

// surveyResult is the result of one check of all machines.
type surveyResult struct {
	machines     int            // machines that may be running
	failed       []string       // IDs of machines that the cloud lists as failed
	unresponsive []string       // IDs of machines that do not answer their probes
	sentinels    map[string]int // number of sentinels by zone
}

// tick checks the machines if a check is due.
func (u *unresponsiveMonitor) tick(now time.Time, failoverCompleted bool) {
	if now.Before(u.nextCheck) {
		return
	}
	u.nextCheck = now.Add(unresponsiveCheckInterval)
	u.check(now, failoverCompleted)
}

// check surveys all machines, probes those whose heartbeats are overdue, and terminates failed and unresponsive ones.
//
// Machines that the cloud lists as failed have stopped, however many others are unresponsive. They are terminated during a failover
// only: a site of one machine, all of whose processes had been killed, waited for the lease of the deleted machine. No other machine
// is terminated while a partition is suspected (package connectivity): on two recorded days all machines were terminated, a third at a
// time, though they were healthy.
func (u *unresponsiveMonitor) check(now time.Time, failoverCompleted bool) {
	found := u.survey(now, failoverCompleted)
	if len(found.failed) > 0 {
		u.cloud.Terminate(found.failed, "failed")
	}
	if len(found.unresponsive) == 0 || len(found.unresponsive)*minMachinesPerUnresponsive > found.machines {
		return
	}
	unresponsive := u.keepSentinels(found.unresponsive, found.sentinels)
	if len(unresponsive) == 0 {
		return
	}
	for _, id := range unresponsive {
		u.workers.Machines[id].DrainReason = worker.DrainUnresponsive
	}
	u.cloud.Terminate(unresponsive, string(worker.DrainUnresponsive))
}

// survey classifies all machines, counts expected and overdue heartbeats, and probes machines with overdue ones.
func (u *unresponsiveMonitor) survey(now time.Time, failoverCompleted bool) surveyResult {
	found := surveyResult{sentinels: map[string]int{}}
	suspected := u.connectivity.SuspectsPartition(now)
	u.expectedHeartbeats, u.overdueHeartbeats = 0, 0
	for id, machine := range u.workers.Machines {
		if !mayBeRunning(machine) {
			continue
		}
		found.machines++
		if machine.IsSentinel = machine.IsSentinel && u.zones.IsUnavailable(machine.Zone); machine.IsSentinel {
			found.sentinels[machine.Zone]++
			continue
		}
		overdue := isHeartbeatOverdue(now, machine, u.heartbeatInterval)
		u.countHeartbeat(now, machine, overdue)
		if !failoverCompleted && u.isListedAsFailed(id) {
			machine.DrainReason = worker.DrainUnresponsive
			found.failed = append(found.failed, id)
			continue
		}
		if suspected {
			continue
		}
		if overdue || u.reachability.IsSuspected(machine) {
			u.prober.probe(now, machine)
		}
		if u.reachability.IsUnresponsive(now, machine) {
			found.unresponsive = append(found.unresponsive, id)
		}
	}
	return found
}

// countHeartbeat counts the heartbeat of a machine whose lease has not expired as expected. It counts as overdue, too, if it is or if
// the machine does not receive this controller's responses.
func (u *unresponsiveMonitor) countHeartbeat(now time.Time, machine *worker.Machine, overdue bool) {
	if u.workers.IsLeaseExpired(now, machine) {
		return
	}
	u.expectedHeartbeats++
	if overdue || machine.IsUnreachable {
		u.overdueHeartbeats++
	}
}

// isListedAsFailed reports whether the cloud lists the instance as failed and it is not being deleted yet.
func (u *unresponsiveMonitor) isListedAsFailed(id string) bool {
	instance := u.cloud.Instances[id]
	return instance != nil && instance.State == cloud.StateFailed && !instance.Deleting
}

// keepSentinels removes some machines of each unavailable zone from the list of those to be terminated, and marks them as sentinels:
// their heartbeats show at once that the zone has recovered, and they need not boot then. The least used machines are kept first.
func (u *unresponsiveMonitor) keepSentinels(ids []string, sentinels map[string]int) []string {
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(u.workers.Machines[a].UsedCPUs, u.workers.Machines[b].UsedCPUs), cmp.Compare(a, b))
	})
	return slices.DeleteFunc(ids, func(id string) bool {
		machine := u.workers.Machines[id]
		if sentinels[machine.Zone] >= u.zones.SentinelCount(machine.Zone) {
			return false
		}
		sentinels[machine.Zone]++
		machine.IsSentinel = true
		return true
	})
}

// mayBeRunning reports whether the machine may be running: it has reported or is registered, and is not being terminated.
func mayBeRunning(machine *worker.Machine) bool {
	return (machine.HasReported || machine.Registered) &&
		machine.DrainReason != worker.DrainUnresponsive && machine.DrainReason != worker.DrainTerminating
}

// isHeartbeatOverdue reports whether the last contact with the machine is longer ago than the time in which a heartbeat should arrive.
func isHeartbeatOverdue(now time.Time, machine *worker.Machine, heartbeatInterval time.Duration) bool {
	return now.Sub(machine.LastContactAt) >= heartbeatInterval*5/4+heartbeatGrace
}

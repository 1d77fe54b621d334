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
	// minMachinesPerUnresponsive is the minimum ratio of all machines to unresponsive ones for a termination. If a larger share is
	// unresponsive, this controller itself is probably unreachable. Then no machine is terminated, and leases may expire.
	minMachinesPerUnresponsive = 3
	// heartbeatGrace is added to the time after which a heartbeat is overdue, to allow for delays on the link.
	heartbeatGrace = time.Second
)

// unresponsiveMonitor probes the machines whose heartbeats are overdue and terminates those that do not answer. The cloud confirms the
// deletion long before their leases expire. So their tasks can be restarted sooner, and a failover does not wait for the leases: one
// machine that was reclaimed without notice had delayed a failover of a thousand machines by 15 s.
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
	overdueHeartbeats  int // expected machines whose heartbeat is overdue or that do not receive responses
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

// classification is the result of classifying all machines in one check.
type classification struct {
	machines     int            // number of machines that may be running
	failed       []string       // IDs of machines that the cloud lists as failed
	unresponsive []string       // IDs of machines that do not answer probes
	sentinels    map[string]int // number of sentinels, by zone
}

// tick checks the machines if a check is due.
func (u *unresponsiveMonitor) tick(now time.Time, failoverCompleted bool) {
	if now.Before(u.nextCheck) {
		return
	}
	u.nextCheck = now.Add(unresponsiveCheckInterval)
	u.check(now, failoverCompleted)
}

// check classifies all machines, probes those whose heartbeats are overdue, and terminates failed and unresponsive ones.
//
// Machines that the cloud lists as failed have certainly stopped. They are terminated only during a failover, and then however many
// others are unresponsive. Without this, a site of one machine whose processes had all been killed waited for the lease of that
// machine. No other machine is terminated while a partition is suspected (package connectivity): on two recorded days all machines were
// terminated, a third at a time, although they were healthy.
func (u *unresponsiveMonitor) check(now time.Time, failoverCompleted bool) {
	result := u.classifyMachines(now, failoverCompleted)
	if len(result.failed) > 0 {
		u.cloud.Terminate(result.failed, "failed")
	}
	if len(result.unresponsive) == 0 || len(result.unresponsive)*minMachinesPerUnresponsive > result.machines {
		return
	}
	unresponsive := u.keepSentinels(result.unresponsive, result.sentinels)
	if len(unresponsive) == 0 {
		return
	}
	for _, id := range unresponsive {
		u.workers.Machines[id].DrainReason = worker.DrainUnresponsive
	}
	u.cloud.Terminate(unresponsive, string(worker.DrainUnresponsive))
}

// classifyMachines classifies all machines, counts expected and overdue heartbeats, and probes machines with overdue heartbeats unless a
// partition is suspected.
func (u *unresponsiveMonitor) classifyMachines(now time.Time, failoverCompleted bool) classification {
	result := classification{sentinels: map[string]int{}}
	suspected := u.connectivity.SuspectsPartition(now)
	u.expectedHeartbeats, u.overdueHeartbeats = 0, 0
	for id, machine := range u.workers.Machines {
		if !mayBeRunning(machine) {
			continue
		}
		result.machines++
		if machine.IsSentinel = machine.IsSentinel && u.zones.IsUnavailable(machine.Zone); machine.IsSentinel {
			result.sentinels[machine.Zone]++
			continue
		}
		overdue := isHeartbeatOverdue(now, machine, u.heartbeatInterval)
		u.countHeartbeat(now, machine, overdue)
		if !failoverCompleted && u.isListedAsFailed(id) {
			machine.DrainReason = worker.DrainUnresponsive
			result.failed = append(result.failed, id)
			continue
		}
		if suspected {
			continue
		}
		if overdue || u.reachability.IsSuspected(machine) {
			u.prober.probe(now, machine)
		}
		if u.reachability.IsUnresponsive(now, machine) {
			result.unresponsive = append(result.unresponsive, id)
		}
	}
	return result
}

// countHeartbeat counts a machine as expected if its lease has not expired. It also counts the machine as overdue if its heartbeat is,
// or if the machine does not receive this controller's responses.
func (u *unresponsiveMonitor) countHeartbeat(now time.Time, machine *worker.Machine, overdue bool) {
	if u.workers.IsLeaseExpired(now, machine) {
		return
	}
	u.expectedHeartbeats++
	if overdue || machine.IsUnreachable {
		u.overdueHeartbeats++
	}
}

// isListedAsFailed reports whether the cloud lists the instance as failed and its deletion was not requested yet.
func (u *unresponsiveMonitor) isListedAsFailed(id string) bool {
	instance := u.cloud.Instances[id]
	return instance != nil && instance.State == cloud.StateFailed && !instance.Deleting
}

// keepSentinels removes some machines of each unavailable zone from the list of machines to terminate, and marks them as sentinels.
// Their heartbeats show immediately that the zone has recovered, and they are available then without a boot. The least used machines are
// kept first.
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

// mayBeRunning reports whether the machine may be running: it has sent a heartbeat or is registered, and is not being terminated.
func mayBeRunning(machine *worker.Machine) bool {
	return (machine.HasSentHeartbeat || machine.Registered) &&
		machine.DrainReason != worker.DrainUnresponsive && machine.DrainReason != worker.DrainTerminating
}

// isHeartbeatOverdue reports whether the time since the last contact with the machine exceeds the time in which a heartbeat should
// arrive.
func isHeartbeatOverdue(now time.Time, machine *worker.Machine, heartbeatInterval time.Duration) bool {
	return now.Sub(machine.LastContactAt) >= heartbeatInterval*5/4+heartbeatGrace
}

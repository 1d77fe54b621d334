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
	// unresponsiveCheckInterval is the time between two looks at all machines.
	unresponsiveCheckInterval = 500 * time.Millisecond
	// minMachinesPerUnresponsive is the number of machines there must be for each one that is unresponsive. If more than one
	// in so many is, it is rather this controller that cannot be reached: none is terminated, and the leases decide.
	minMachinesPerUnresponsive = 3
	// heartbeatGrace is added to the time after which a heartbeat is overdue, for delays on the link.
	heartbeatGrace = time.Second
)

// unresponsiveMonitor probes the machines whose heartbeats are overdue and terminates those that do not answer. The cloud's
// confirmation tells that their tasks are gone long before their leases expire, and a failover need not wait for them: one
// machine that was taken back without notice had held up a failover of a thousand for 15 s.
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
	overdueHeartbeats  int // of these, those whose heartbeat is overdue
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

// surveyResult is what one look at all machines has found.
type surveyResult struct {
	machines     int            // machines that may be there
	failed       []string       // listed as failed by the cloud
	unresponsive []string       // without an answer to their probes
	sentinels    map[string]int // sentinels by zone
}

// tick checks the machines if that is due.
func (u *unresponsiveMonitor) tick(now time.Time, failoverCompleted bool) {
	if now.Before(u.nextCheck) {
		return
	}
	u.nextCheck = now.Add(unresponsiveCheckInterval)
	u.check(now, failoverCompleted)
}

// check looks at all machines, probes those whose heartbeats are overdue, and terminates failed and unresponsive ones.
//
// Machines that the cloud itself lists as failed have stopped, however many others are unresponsive. They are terminated
// during a failover only: a site of one machine, all of whose processes had been killed, waited for the lease of the machine
// that was no more. Nothing else is terminated while the heartbeats of all machines are missing (package connectivity): on
// two recorded days one third of the machines was terminated after the other, all of them healthy.
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

// survey classifies all machines, counts expected and overdue heartbeats, and probes the machines with overdue ones.
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

// countHeartbeat counts the heartbeat of a machine whose lease has not expired as expected, and as overdue if it is, or if
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

// keepSentinels takes some machines of each unavailable zone off the list of those to be terminated, and marks them as
// sentinels: their heartbeats tell at once that the zone is back, and they need not boot then. Those that are used least
// are kept first.
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

// isHeartbeatOverdue reports whether the last certain contact with the machine is longer ago than its heartbeats take.
func isHeartbeatOverdue(now time.Time, machine *worker.Machine, heartbeatInterval time.Duration) bool {
	return now.Sub(machine.LastContactAt) >= heartbeatInterval*5/4+heartbeatGrace
}

package autoscaler

import (
	"time"

	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/worker"
)

const (
	// lostMachineGrace is how long a machine is kept after its lease has expired.
	lostMachineGrace = 15 * time.Second
	// idleFactorWithBacklog multiplies the option IdleTimeout while tasks wait that do not fit on the idle machine.
	idleFactorWithBacklog = 3
)

// Reasons for a termination, in addition to the drain reasons of package worker.
const (
	reasonFailed      = "failed"
	reasonNoHeartbeat = "never up"
	reasonLost        = "lost"
	reasonIdle        = "idle"
)

// terminateUnneeded terminates instances that are idle, drained, failed or lost, and those that never sent a heartbeat.
// startableTasks holds the number of waiting tasks that can start, by job.
func (s *Scaler) terminateUnneeded(now time.Time, startableTasks []int) {
	waiting := 0
	for _, tasks := range startableTasks {
		waiting += tasks
	}
	idsByReason := map[string][]string{}
	for i := range s.instances {
		tracked := &s.instances[i]
		if tracked.Deleting {
			continue
		}
		reason := s.terminationReason(now, tracked, waiting != 0)
		if reason == "" {
			continue
		}
		machine := tracked.machine
		if machine != nil && (machine.DrainReason == worker.NotDraining || machine.DrainReason.LeadsToTermination()) {
			machine.DrainReason = worker.DrainTerminating
		}
		idsByReason[reason] = append(idsByReason[reason], tracked.ID)
	}
	for reason, ids := range idsByReason {
		s.cloud.Terminate(ids, reason)
	}
}

// terminationReason returns why an instance is not needed, or "" if it is needed.
func (s *Scaler) terminationReason(now time.Time, tracked *trackedInstance, hasWaitingTasks bool) string {
	machine := tracked.machine
	switch {
	case tracked.State == cloud.StateFailed:
		return reasonFailed
	case machine == nil:
		if s.hasBootTimedOut(now, tracked) {
			return reasonNoHeartbeat
		}
	case tracked.leaseExpired:
		if s.isLost(now, tracked) {
			return reasonLost
		}
	case !machine.HasSentHeartbeat: // registered by an earlier leader: its tasks are not reconciled yet
	case machine.DrainReason.LeadsToTermination() && len(machine.Attempts) == 0:
		return string(machine.DrainReason)
	case s.isIdle(now, machine, hasWaitingTasks):
		return reasonIdle
	}
	return ""
}

// hasBootTimedOut reports whether an instance has sent no heartbeat within its boot timeout. It returns false shortly after the
// election, since the heartbeats may have gone to the earlier leader.
func (s *Scaler) hasBootTimedOut(now time.Time, tracked *trackedInstance) bool {
	return tracked.machineType != nil && now.Sub(tracked.RequestedAt) > s.cloud.BootTimeout(tracked.machineType) &&
		now.Sub(s.electedAt) > s.workers.LeaseExpiry()
}

// isLost reports whether a machine counts as lost because its lease expired some time ago. Sentinels of an unavailable zone are
// kept.
func (s *Scaler) isLost(now time.Time, tracked *trackedInstance) bool {
	if tracked.machine.IsSentinel && s.zones.IsUnavailable(tracked.Kind.Zone) {
		return false
	}
	return now.Sub(tracked.machine.LeaseRenewedAt) > s.workers.LeaseExpiry()+lostMachineGrace
}

// isIdle reports whether a machine has had no tasks for so long that it is not needed.
func (s *Scaler) isIdle(now time.Time, machine *worker.Machine, hasWaitingTasks bool) bool {
	if machine.DrainReason != worker.NotDraining || len(machine.Attempts) > 0 || s.prepaidTime(now, machine.ID) > 0 {
		return false
	}
	timeout := s.options.IdleTimeout
	if hasWaitingTasks {
		timeout *= idleFactorWithBacklog
	}
	return now.Sub(machine.IdleSince) > timeout
}

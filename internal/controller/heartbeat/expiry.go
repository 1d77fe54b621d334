package heartbeat

import (
	"time"

	"gullrudder/internal/controller/worker"
	"gullrudder/internal/logkeys"
)

// ExpireLeases ends the attempts on machines whose worker lease has expired, since no task can be left there. It removes machines that
// have neither a fresh heartbeat nor a registration: their heartbeats may have been duplicates of heartbeats to an earlier leader.
func (h *Handler) ExpireLeases(now time.Time) {
	for _, machine := range h.workers.Machines {
		if h.workers.IsLeaseExpired(now, machine) {
			h.expireLease(now, machine)
		}
	}
}

func (h *Handler) expireLease(now time.Time, machine *worker.Machine) {
	if !machine.HasSentHeartbeat && !machine.Registered && !machine.Registering {
		h.workers.Remove(machine)
		h.reachability.Forget(machine.ID)
		return
	}
	if len(machine.Attempts) > 0 {
		h.log.Info("lease expired", logkeys.Machine, machine.ID, logkeys.Count, len(machine.Attempts))
		h.HandleEnded(now, machine, h.workers.ReleaseAll(machine))
	}
	if machine.Registered {
		machine.Registered = false
		h.storage.Delete(now, MachineKeyPrefix+machine.ID)
	}
}

// RemoveDeleted removes the machines whose deletion the cloud has confirmed, and ends their attempts.
func (h *Handler) RemoveDeleted(now time.Time) {
	deleted := h.cloud.TakeConfirmedDeletions()
	for _, id := range deleted {
		machine := h.workers.Machines[id]
		if machine == nil {
			continue
		}
		h.HandleEnded(now, machine, h.workers.ReleaseAll(machine))
		h.workers.Remove(machine)
		h.observers.stragglers.Forget(machine.ID)
		h.observers.failures.ForgetMachine(machine.ID)
		h.reachability.Forget(machine.ID)
		h.storage.Delete(now, MachineKeyPrefix+id)
	}
}

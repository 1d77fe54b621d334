package heartbeat

import (
	"time"
)

// ExpireLeases takes the tasks of workers whose lease has ended for gone. A machine of which nothing has shown that
// it is there any more is let go of: all that came of it may have been a copy of what an earlier leader heard.
func (h *Handler) ExpireLeases(now time.Time) {
	for _, machine := range h.workers.Machines {
		if !h.workers.IsLeaseExpired(now, machine) {
			continue
		}
		if !machine.HasReported && !machine.Registered && !machine.Registering {
			h.workers.Remove(machine)
			h.reachability.Forget(machine.ID)
			continue
		}
		if len(machine.Attempts) > 0 {
			h.log.Info("a worker's lease has ended", "machine", machine.ID, "tasks", len(machine.Attempts))
			h.HandleEnded(now, machine, h.workers.ReleaseAll(machine))
		}
		if machine.Registered {
			machine.Registered = false
			h.storage.Delete(now, MachineKeyPrefix+machine.ID)
		}
	}
}

// RemoveDeleted takes in the machines whose deletion the cloud has confirmed.
func (h *Handler) RemoveDeleted(now time.Time) {
	deleted := h.cloud.ConfirmedDeletions
	h.cloud.ConfirmedDeletions = nil
	for _, id := range deleted {
		machine := h.workers.Machines[id]
		if machine == nil {
			continue
		}
		h.HandleEnded(now, machine, h.workers.ReleaseAll(machine))
		h.workers.Remove(machine)
		h.stragglers.Forget(machine.ID)
		h.failures.ForgetMachine(machine.ID)
		h.reachability.Forget(machine.ID)
		h.storage.Delete(now, MachineKeyPrefix+id)
	}
}

package autoscaler

import (
	"time"

	"gullrudder/internal/controller/worker"
	"gullrudder/internal/logkeys"
)

// maxCordonedShare is the share of the machines that may be cordoned as slow at a time. If more machines seem slow, the workload
// or the cloud is the more likely cause.
const maxCordonedShare = 0.05

// cordonStragglers cordons slow machines, since they cost as much as fast ones. No more tasks start on a cordoned machine, its
// running tasks continue, and then it is terminated. Machines without a price are kept: their replacements could be as slow.
func (s *Scaler) cordonStragglers(now time.Time) {
	withValidLease, cordoned := 0, 0
	var slow []*worker.Machine
	for _, machine := range s.workers.SortedMachines() {
		if !machine.HasSentHeartbeat || s.workers.IsLeaseExpired(now, machine) {
			continue
		}
		withValidLease++
		switch {
		case machine.DrainReason == worker.DrainSlow:
			cordoned++
		case machine.DrainReason == worker.NotDraining && s.costsMoney(machine) && s.stragglers.IsSlow(machine.ID):
			slow = append(slow, machine)
		}
	}
	for _, machine := range slow {
		if float64(cordoned) >= maxCordonedShare*float64(withValidLease) {
			return
		}
		cordoned++
		machine.DrainReason = worker.DrainSlow
		s.log.Info("slow machine cordoned", logkeys.Machine, machine.ID,
			logkeys.Slowdown, s.stragglers.Slowdown(machine.ID), logkeys.Tasks, len(machine.Attempts))
	}
}

// costsMoney reports whether the machine is a known instance of the cloud and its type has a price.
func (s *Scaler) costsMoney(machine *worker.Machine) bool {
	machineType := s.cloud.MachineTypes[machine.Type]
	return machineType != nil && machineType.HourlyPrice > 0 && s.cloud.Instances[machine.ID] != nil
}

package autoscaler

import (
	"time"

	"gullrudder/internal/controller/worker"
	"gullrudder/internal/logkeys"
)

// maxCordonedShare is the share of the machines that may be cordoned as slow at a time. If more look slow, the cause is rather the
// work or the cloud than the machines.
const maxCordonedShare = 0.05

// cordonStragglers cordons slow machines, which cost as much as others: no more tasks start on them, those that run go on, then
// they are terminated. Machines that cost nothing are kept: their replacements could be as slow.
func (s *Scaler) cordonStragglers(now time.Time) {
	reporting, cordoned := 0, 0
	var slow []*worker.Machine
	for _, machine := range s.workers.SortedMachines() {
		if !machine.HasReported || s.workers.IsLeaseExpired(now, machine) {
			continue
		}
		reporting++
		switch {
		case machine.DrainReason == worker.DrainSlow:
			cordoned++
		case machine.DrainReason == worker.NotDraining && s.costsMoney(machine) && s.stragglers.IsSlow(machine.ID):
			slow = append(slow, machine)
		}
	}
	for _, machine := range slow {
		if float64(cordoned) >= maxCordonedShare*float64(reporting) {
			return
		}
		cordoned++
		machine.DrainReason = worker.DrainSlow
		s.log.Info("slow machine cordoned", logkeys.Machine, machine.ID,
			logkeys.Slowdown, s.stragglers.Slowdown(machine.ID), logkeys.Tasks, len(machine.Attempts))
	}
}

// costsMoney reports whether the machine is an instance of the cloud that has a price.
func (s *Scaler) costsMoney(machine *worker.Machine) bool {
	machineType := s.cloud.MachineTypes[machine.Type]
	return machineType != nil && machineType.HourlyPrice > 0 && s.cloud.Instances[machine.ID] != nil
}

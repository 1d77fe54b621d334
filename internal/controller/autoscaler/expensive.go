package autoscaler

import (
	"slices"
	"time"

	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/queue"
	"gullrudder/internal/controller/worker"
)

const (
	// expensiveRatio is the multiple of the cheapest price above which a kind is expensive. Expensive kinds are evaluated against
	// the objectives.
	expensiveRatio = 1.5
	// expensiveCPUShare limits how many CPUs of expensive kinds are requested for the objectives, per CPU of cheap kinds. Without
	// the limit a short queue on a small cluster seems worth ten times the cost of the cluster, since there is no arrival rate yet.
	// Requests for work that lasts for the required backlog are not limited.
	expensiveCPUShare = 0.5
	secondsPerHour    = 3600
)

type kindSet map[cloud.InstanceKind]bool

type machinesByKind map[cloud.InstanceKind][]*worker.Machine

// evaluateExpensive evaluates the expensive kinds by the objective misses that they prevent. It returns how many instances of
// each kind are worth requesting now. It cordons the machines in use that are no longer worth their price, and uncordons cordoned
// machines before others are requested.
//
// A kind that is not in the result was not evaluated: it is cheap, or the platform has no objectives.
func (s *Scaler) evaluateExpensive(
	now time.Time, offerings []offering, order []queue.Entry, backlog teamBacklogs,
) map[cloud.InstanceKind]int {
	if len(s.objectives.objectives) == 0 {
		s.cordonExpensive(now, offerings, backlog)
		return nil
	}
	forecast := s.newObjectiveForecast(now, order)
	expensive := expensiveKinds(offerings)
	inUse, cordoned := s.expensiveMachines(now, expensive)
	headroom := s.expensiveCPUHeadroom(expensive)
	s.cordonSurplus(forecast, offerings, expensive, inUse)

	worthwhile := map[cloud.InstanceKind]int{}
	for _, offered := range offerings {
		if !expensive[offered.kind] {
			continue
		}
		worthwhile[offered.kind] = 0
		if len(forecast.queue) == 0 || offered.machineType.CPUs <= 0 {
			continue // an instance without CPUs is requested only for jobs that need its kind
		}
		if machines := cordoned[offered.kind]; len(machines) > 0 {
			s.uncordon(forecast, offered, machines)
			continue
		}
		count := s.worthwhileCount(now, forecast, offered, headroom)
		headroom -= float64(count) * offered.machineType.CPUs
		worthwhile[offered.kind] = count
	}
	return worthwhile
}

// cordonSurplus cordons the machines of expensive kinds that are no longer worth their price, those of the most expensive kind
// first.
func (s *Scaler) cordonSurplus(forecast *objectiveForecast, offerings []offering, expensive kindSet, inUse machinesByKind) {
	for _, offered := range slices.Backward(offerings) {
		if !expensive[offered.kind] {
			return
		}
		machines := inUse[offered.kind]
		count := forecast.surplusCount(s.candidateOf(offered, len(machines)))
		if count == 0 {
			continue
		}
		for _, machine := range machines[:count] {
			machine.DrainReason = worker.DrainExpensive
		}
		forecast.addCapacity(capacityStep{at: 0, cpus: -float64(count) * offered.machineType.CPUs})
	}
}

// uncordon uncordons as many of the cordoned machines of a kind as are worth their price.
func (s *Scaler) uncordon(forecast *objectiveForecast, offered offering, cordoned []*worker.Machine) {
	candidate := s.candidateOf(offered, len(cordoned))
	candidate.bootSeconds = 0
	count := forecast.bestCount(candidate)
	forecast.addCapacity(candidate.capacityOf(count))
	for _, machine := range cordoned[:count] {
		machine.DrainReason = worker.NotDraining
	}
}

// worthwhileCount returns how many instances of a kind are worth requesting. headroom is the number of CPUs of expensive kinds
// that may still be requested.
func (s *Scaler) worthwhileCount(now time.Time, forecast *objectiveForecast, offered offering, headroom float64) int {
	if s.maxRequestable(now, offered.kind) == 0 || s.zones.IsUnavailable(offered.kind.Zone) {
		return 0
	}
	candidate := s.candidateOf(offered, 0)
	candidate.maxCount = min(s.cloud.MaxRequestable(), int(max(headroom, 0)/candidate.cpus))
	if candidate.maxCount == 0 {
		return 0
	}
	count := forecast.bestCount(candidate)
	forecast.addCapacity(candidate.capacityOf(count))
	return count
}

// expensiveKinds returns the kinds whose price exceeds expensiveRatio times the cheapest price.
func expensiveKinds(offerings []offering) kindSet {
	expensive := kindSet{}
	for _, offered := range offerings {
		if priceRatio(offered.price, offerings[0].price) > expensiveRatio {
			expensive[offered.kind] = true
		}
	}
	return expensive
}

// expensiveCPUHeadroom returns how many more CPUs of expensive kinds may be requested for the objectives. It is negative if there
// are too many already.
func (s *Scaler) expensiveCPUHeadroom(expensive kindSet) float64 {
	for kind := range expensive {
		if s.cloud.HasPendingRequest(kind) {
			return 0 // the pending request may still add instances
		}
	}
	headroom := 0.0
	for i := range s.instances {
		tracked := &s.instances[i]
		switch {
		case !tracked.isActive() || tracked.leaseExpired:
		case expensive[tracked.Kind]:
			headroom -= tracked.machineType.CPUs
		default:
			headroom += expensiveCPUShare * tracked.machineType.CPUs
		}
	}
	return headroom
}

// candidateOf returns up to maxCount instances of an offering as a candidate for the forecast.
func (s *Scaler) candidateOf(offered offering, maxCount int) candidateKind {
	return candidateKind{
		cpus:          offered.machineType.CPUs,
		costPerSecond: offered.machineType.HourlyPriceFor(offered.kind.Spot) / secondsPerHour,
		bootSeconds:   s.cloud.ExpectedBootTime(offered.machineType).Seconds(),
		maxCount:      maxCount,
	}
}

// expensiveMachines returns the machines of expensive kinds that have sent a heartbeat. inUse are those in use whose minBilledTime
// is over, the emptiest first. cordoned are those that are cordoned as too expensive, the fullest first.
func (s *Scaler) expensiveMachines(now time.Time, expensive kindSet) (inUse, cordoned machinesByKind) {
	inUse, cordoned = machinesByKind{}, machinesByKind{}
	for _, machine := range s.workers.MachinesWithCapacity() {
		kind := placement.MachineKind(machine)
		switch {
		case !expensive[kind] || s.workers.IsLeaseExpired(now, machine):
		case machine.DrainReason == worker.DrainExpensive:
			cordoned[kind] = append(cordoned[kind], machine)
		case machine.DrainReason == worker.NotDraining && s.prepaidTime(now, machine.ID) == 0:
			inUse[kind] = append(inUse[kind], machine)
		}
	}
	for _, machines := range cordoned {
		slices.Reverse(machines)
	}
	return inUse, cordoned
}

// cordonExpensive is used if the platform has no objectives. It cordons the machines of an expensive kind while the cheaper
// machines can do the work in half the time that would justify a request for the kind. Otherwise it uncordons them.
func (s *Scaler) cordonExpensive(now time.Time, offerings []offering, backlog teamBacklogs) {
	byKind := machinesByKind{}
	for _, machine := range s.workers.Machines {
		if machine.HasSentHeartbeat && (machine.DrainReason == worker.NotDraining || machine.DrainReason == worker.DrainExpensive) {
			kind := placement.MachineKind(machine)
			byKind[kind] = append(byKind[kind], machine)
		}
	}
	cheaperCPUs := 0.0
	for _, offered := range offerings {
		required := s.requiredBacklog(offered.price, offerings[0].price)
		isExpensive := offered.price > expensiveRatio*offerings[0].price
		isSpare := isExpensive && backlog.completableWithin(required) < cheaperCPUs*required/2
		for _, machine := range byKind[offered.kind] {
			cheaperCPUs += machine.CPUs
			switch {
			case isSpare && machine.DrainReason == worker.NotDraining && s.prepaidTime(now, machine.ID) == 0:
				machine.DrainReason = worker.DrainExpensive
			case !isSpare && machine.DrainReason == worker.DrainExpensive:
				machine.DrainReason = worker.NotDraining
			}
		}
	}
}

package failover

import (
	"slices"
	"time"

	"gullrudder/internal/controller/election/connectivity"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/controller/worker/reachability"
)

const (
	// probeSampleSize is the number of machines that are probed in one sample.
	probeSampleSize = 4
	// probeSampleInterval is the time between two samples.
	probeSampleInterval = probeTimeout / 2
)

// sampler probes a few machines, different ones each time, while this controller may be partitioned from the workers. Package
// connectivity decides by the answers whether it is.
type sampler struct {
	heartbeatInterval time.Duration
	workers           *worker.Registry
	reachability      *reachability.Tracker
	connectivity      *connectivity.Monitor
	prober            *prober

	offset     int // index of the last candidate
	nextSample time.Time
}

func newSampler(machines Machines, heartbeatInterval time.Duration, prober *prober) *sampler {
	return &sampler{
		heartbeatInterval: heartbeatInterval,
		workers:           machines.Workers,
		reachability:      machines.Reachability,
		connectivity:      machines.Connectivity,
		prober:            prober,
	}
}

// probeSample probes the next few machines if connectivity needs probes. If any machines have reported to this leadership, only these
// are probed: otherwise a leader that has lost a zone would count the machines that no longer exist as evidence of a partition. If the
// only evidence is that workers contact other controllers, machines whose heartbeats are in time are probed.
func (s *sampler) probeSample(now time.Time) {
	if now.Before(s.nextSample) || !s.connectivity.NeedsProbes(now) {
		return
	}
	s.nextSample = now.Add(probeSampleInterval)
	suspected := s.connectivity.SuspectsPartition(now)
	machines := s.workers.SortedMachines()
	anyReported := slices.ContainsFunc(machines, func(machine *worker.Machine) bool { return machine.HasReported })
	for remaining, visited := probeSampleSize, 0; remaining > 0 && visited < len(machines); visited++ {
		s.offset++
		machine := machines[s.offset%len(machines)]
		if anyReported && !machine.HasReported || !s.isCandidate(now, machine, suspected) {
			continue
		}
		if !s.prober.canProbe() {
			return
		}
		remaining--
		s.prober.send(now, machine, func(now time.Time, answered bool) { s.connectivity.RecordProbe(now, suspected, answered) })
	}
}

// isCandidate reports whether a probe of the machine is evidence about the link.
func (s *sampler) isCandidate(now time.Time, machine *worker.Machine, suspected bool) bool {
	if machine.Addr == "" || machine.DrainReason != worker.NotDraining || s.workers.IsLeaseExpired(now, machine) {
		return false
	}
	if !suspected && isHeartbeatOverdue(now, machine, s.heartbeatInterval) {
		return false
	}
	return s.reachability.IsProbeDue(now, machine)
}

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

// sampler periodically probes a few machines in rotation while this controller may be partitioned from the workers. Package connectivity
// uses the results to decide whether it is.
type sampler struct {
	heartbeatInterval time.Duration
	workers           *worker.Registry
	reachability      *reachability.Tracker
	connectivity      *connectivity.Monitor
	prober            *prober

	offset     int // number of machines considered so far; modulo the number of machines, the index of the last one
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

// probeSample probes the next few machines if the connectivity monitor needs probes. If any machines have sent a heartbeat to this
// leader, only these are probed. Otherwise a leader that has lost a zone would count machines that no longer exist as evidence of a
// partition. If the only sign of a partition is that workers contact other controllers, only machines without overdue heartbeats are
// probed.
func (s *sampler) probeSample(now time.Time) {
	if now.Before(s.nextSample) || !s.connectivity.NeedsProbes(now) {
		return
	}
	s.nextSample = now.Add(probeSampleInterval)
	suspected := s.connectivity.SuspectsPartition(now)
	machines := s.workers.SortedMachines()
	anySentHeartbeat := slices.ContainsFunc(machines, func(machine *worker.Machine) bool { return machine.HasSentHeartbeat })
	for remaining, visited := probeSampleSize, 0; remaining > 0 && visited < len(machines); visited++ {
		s.offset++
		machine := machines[s.offset%len(machines)]
		if anySentHeartbeat && !machine.HasSentHeartbeat || !s.isCandidate(now, machine, suspected) {
			continue
		}
		if !s.prober.canProbe() {
			return
		}
		remaining--
		s.prober.send(now, machine, func(now time.Time, answered bool) { s.connectivity.RecordProbe(now, suspected, answered) })
	}
}

// isCandidate reports whether a probe of the machine is due, and its result is evidence about the link to the workers. suspected states
// whether heartbeats are missing.
func (s *sampler) isCandidate(now time.Time, machine *worker.Machine, suspected bool) bool {
	if machine.Addr == "" || machine.DrainReason != worker.NotDraining || s.workers.IsLeaseExpired(now, machine) {
		return false
	}
	if !suspected && isHeartbeatOverdue(now, machine, s.heartbeatInterval) {
		return false
	}
	return s.reachability.IsProbeDue(now, machine)
}

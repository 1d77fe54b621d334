package accounting

import (
	"strings"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/admission"
	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/worker"
)

// ClusterState is what a look sees of the other slices.
type ClusterState struct {
	FailoverCompleted bool // a takeover is complete
	StorageHealthy    bool // the state service takes changes
	Teams             map[string]config.Team
	Workers           *worker.Registry
	Cloud             *cloud.Client
	Queue             []admission.Entry // in which jobs get room
}

// sample is one look: what it found for a shape of job holds for all that have it.
type sample struct {
	ClusterState
	upMachines   []*worker.Machine
	byShape      map[resourceShape]availability
	bootingKinds []cloud.InstanceKind  // of machines that are rented and not up
	freeCPUs     float64               // CPUs that are free, and not held
	reservedCPUs float64               // free and held
	cpusAhead    map[*jobs.Job]float64 // CPUs that wait before a job in the order
}

// resourceShape is what decides which machines a job may use and what of them it needs.
type resourceShape struct {
	cpus, gpus, memoryGB float64
	zone, machineTypes   string
	allowsSpot           bool
}

// availability is what a shape finds.
type availability struct {
	hasUsable, hasBooting      bool
	hasFree, hasFreeOrReserved bool
	reservedFor                map[*jobs.Job]bool // for whom the room is held
}

func newSample(v ClusterState) *sample {
	s := &sample{
		ClusterState: v,
		upMachines:   v.Workers.ReportingMachines(),
		byShape:      map[resourceShape]availability{},
		cpusAhead:    map[*jobs.Job]float64{},
	}
	for _, m := range s.upMachines {
		switch {
		case m.DrainReason != worker.NotDraining:
		case m.ReservedFor == nil:
			s.freeCPUs += m.CPUs - m.UsedCPUs
		default:
			s.reservedCPUs += m.CPUs - m.UsedCPUs
		}
	}
	ahead := 0.0
	for i := range v.Queue {
		j := v.Queue[i].Job
		s.cpusAhead[j] = ahead
		ahead += float64(j.WaitingTasks()) * j.CPUs
	}
	kinds := map[cloud.InstanceKind]bool{}
	for id, h := range v.Cloud.Instances {
		if m := v.Workers.Machines[id]; !h.Deleting && h.State != cloud.StateFailed && m == nil && !kinds[h.Kind] {
			kinds[h.Kind] = true
			s.bootingKinds = append(s.bootingKinds, h.Kind)
		}
	}
	return s
}

func (s *sample) availabilityFor(j *jobs.Job) availability {
	k := resourceShape{j.CPUs, j.GPUs, j.MemoryGB, j.Zone, strings.Join(j.MachineTypes, " "), j.AllowsSpot}
	if r, ok := s.byShape[k]; ok && j.FailureCount == 0 {
		return r
	}
	r := availability{reservedFor: map[*jobs.Job]bool{}}
	for _, m := range s.upMachines {
		if !placement.IsEligible(j, m) || m.TasksThatFitWhenEmpty(j) == 0 {
			continue
		}
		r.hasUsable = true
		if m.TasksThatFit(j) == 0 {
			continue
		}
		r.hasFreeOrReserved = true
		if m.ReservedFor == nil {
			r.hasFree = true
			break
		}
		r.reservedFor[m.ReservedFor] = true
	}
	for _, kind := range s.bootingKinds {
		t := s.Cloud.MachineTypes[kind.Type]
		r.hasBooting = r.hasBooting || t != nil && placement.KindAllowed(j, kind) && placement.FitsType(j, t)
	}
	if j.FailureCount == 0 {
		s.byShape[k] = r
	}
	return r
}

// reasonFor says what keeps the job from being done now: of its unfinished tasks the one that is
// furthest from being done counts. A task that only waits for a loss to be made good counts to it
// once all that is left was lost.
func (s *sample) reasonFor(now time.Time, j *jobs.Job, a *account) WaitReason {
	away := func(c WaitReason) WaitReason {
		if !s.StorageHealthy {
			return StateUnavailable
		}
		return c
	}
	switch {
	case j.State == jobs.Pending:
		return away(NotAccepted)
	case j.IsFinishing || j.IsCancelling || j.State != jobs.Accepted || j.DoneTasks >= j.Tasks:
		return away(NotDurable)
	case j.UnmetDependencies > 0:
		return AwaitingDependencies
	case !s.FailoverCompleted:
		return NoLeader
	}
	if j.CrashLooping {
		return CrashLooping
	}
	if left := j.Tasks - j.DoneTasks; len(a.lostTasks) >= left {
		worst := WaitReason(-1)
		for _, c := range a.lostTasks {
			if worst < 0 || c < worst {
				worst = c
			}
		}
		return worst
	}
	if j.WaitingTasks() > 0 {
		return s.waitReason(now, j)
	}
	if j.RunningTasks() < len(j.ActiveAttempts) {
		return startingReason(now, j)
	}
	return Running
}

func (s *sample) waitReason(now time.Time, j *jobs.Job) WaitReason {
	if now.Before(j.NotBefore) {
		return AttemptFailed
	}
	if placement.TasksAllowedByQuota(j, s.Teams[j.Team], s.Workers.TeamUsage(j.Team)) == 0 {
		return TeamQuota
	}
	r := s.availabilityFor(j)
	ahead := s.cpusAhead[j]
	switch {
	case r.hasFree && ahead < s.freeCPUs, r.hasFreeOrReserved && r.reservedFor[j]:
		return AwaitingHeartbeat
	case r.hasFreeOrReserved && ahead < s.freeCPUs+s.reservedCPUs:
		return Reserved
	case r.hasUsable:
		return Queued
	case r.hasBooting:
		return MachineBooting
	}
	return NoMachineRented
}

// startingReason is for jobs all of whose tasks have a machine and not all run: until the worker has
// reported a task, its start is on its way.
func startingReason(now time.Time, j *jobs.Job) WaitReason {
	for _, a := range j.ActiveAttempts {
		if a.RunningSince.IsZero() && a.LastSeenReconcile == 0 {
			return AwaitingHeartbeat
		}
	}
	return FetchingImage
}

package accounting

import (
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/queue"
	"gullrudder/internal/controller/worker"
)

// ClusterState is the state that Tracker.Sample reads. Sample does not change it.
type ClusterState struct {
	FailoverCompleted bool // the leader may place tasks
	StorageHealthy    bool // the state service accepts changes
	Teams             map[string]config.Team
	Workers           *worker.Registry
	Cloud             *cloud.Client
	Queue             []queue.Entry // the jobs in the order in which they get resources
}

// sample is the state of the cluster at one moment, with data derived from it.
type sample struct {
	ClusterState
	machines     []*worker.Machine                // machines with known capacity
	bootingKinds []cloud.InstanceKind             // kinds of the instances without a worker
	freeCPUs     float64                          // CPUs that are available and not reserved
	reservedCPUs float64                          // CPUs that are available and reserved
	cpusAhead    map[*jobs.Job]float64            // CPUs of the waiting tasks ahead of a job in the queue
	byShape      map[placement.Shape]availability // cached
}

func newSample(state ClusterState) *sample {
	s := &sample{ClusterState: state, machines: state.Workers.MachinesWithCapacity(), byShape: map[placement.Shape]availability{}}
	s.sumAvailableCPUs()
	s.sumCPUsAhead()
	s.findBootingKinds()
	return s
}

func (s *sample) sumAvailableCPUs() {
	for _, machine := range s.machines {
		switch {
		case machine.DrainReason != worker.NotDraining:
		case machine.ReservedFor == nil:
			s.freeCPUs += machine.CPUs - machine.UsedCPUs
		default:
			s.reservedCPUs += machine.CPUs - machine.UsedCPUs
		}
	}
}

func (s *sample) sumCPUsAhead() {
	s.cpusAhead = map[*jobs.Job]float64{}
	ahead := 0.0
	for i := range s.Queue {
		job := s.Queue[i].Job
		s.cpusAhead[job] = ahead
		ahead += float64(job.WaitingTasks()) * job.CPUs
	}
}

// findBootingKinds collects the kinds of the instances whose workers have not sent a heartbeat yet.
func (s *sample) findBootingKinds() {
	found := map[cloud.InstanceKind]bool{}
	for id, instance := range s.Cloud.Instances {
		hasWorker := s.Workers.Machines[id] != nil
		if hasWorker || instance.Deleting || instance.State == cloud.StateFailed || found[instance.Kind] {
			continue
		}
		found[instance.Kind] = true
		s.bootingKinds = append(s.bootingKinds, instance.Kind)
	}
}

// reasonFor returns what keeps the job from being done now. The unfinished task that is furthest from completion decides.
// Tasks that run again after a loss count as lost only if all unfinished tasks were lost.
func (s *sample) reasonFor(now time.Time, job *jobs.Job, account *account) WaitReason {
	switch {
	case job.State == jobs.Pending:
		return s.unlessStateUnavailable(NotAccepted)
	case job.IsFinishing || job.IsCancelling || job.State != jobs.Accepted || job.DoneTasks >= job.Tasks:
		return s.unlessStateUnavailable(NotDurable)
	case job.UnmetDependencies > 0:
		return AwaitingDependencies
	case !s.FailoverCompleted:
		return NoLeader
	case job.CrashLooping:
		return CrashLooping
	}
	if lost, ok := account.lossReason(job.Tasks - job.DoneTasks); ok {
		return lost
	}
	switch {
	case job.WaitingTasks() > 0:
		return s.queueReason(now, job)
	case job.RunningTasks() < len(job.ActiveAttempts):
		return startReason(job)
	}
	return Running
}

// unlessStateUnavailable returns the reason of a job that waits for a commit: the given one, or StateUnavailable if the
// state service accepts no changes.
func (s *sample) unlessStateUnavailable(reason WaitReason) WaitReason {
	if !s.StorageHealthy {
		return StateUnavailable
	}
	return reason
}

// queueReason returns why tasks of a job wait for a machine.
func (s *sample) queueReason(now time.Time, job *jobs.Job) WaitReason {
	if now.Before(job.NotBefore) {
		return AttemptFailed
	}
	if placement.TasksAllowedByQuota(job, s.Teams[job.Team], s.Workers.TeamUsage(job.Team)) == 0 {
		return TeamQuota
	}
	available := s.availabilityFor(job)
	ahead := s.cpusAhead[job]
	switch {
	case available.hasFree && ahead < s.freeCPUs, available.hasFreeOrReserved && available.reservedFor[job]:
		return AwaitingHeartbeat
	case available.hasFreeOrReserved && ahead < s.freeCPUs+s.reservedCPUs:
		return Reserved
	case available.hasUsable:
		return Queued
	case available.hasBooting:
		return MachineBooting
	}
	return NoUsableMachine
}

// startReason returns why a job does not run completely although every unfinished task has a machine. Until the worker has
// reported a task, its start command is assumed to be on its way.
func startReason(job *jobs.Job) WaitReason {
	for _, attempt := range job.ActiveAttempts {
		if attempt.RunningSince.IsZero() && attempt.LastSeenReconcile == 0 {
			return AwaitingHeartbeat
		}
	}
	return FetchingImage
}

package failover

import (
	"math"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/worker"
)

const (
	// partialStartDelay is how long a takeover may take before anything starts in spite of the machines that are missing. Most
	// are complete by then, and all jobs start in their order.
	partialStartDelay = 2 * time.Second
	// unseenUsageInterval is how often it is seen anew what may run out of sight. It only becomes less: what has started since is
	// on machines that are accounted for.
	unseenUsageInterval = time.Second
)

// CanStartTasks reports whether tasks may start: all of them, or while machines are missing those of jobs whose acceptance this
// leader itself has committed. Leaders that ended every 37 s while half of the machines were away for a lease placed
// nothing for two thirds of the time.
func (t *Reconciler) CanStartTasks() bool { return t.completed || t.partialStart }

// updatePartialStart lets jobs that no earlier leader can have started go ahead of the machines that are missing.
func (t *Reconciler) updatePartialStart(now time.Time) {
	if len(t.unreconciled) == 0 {
		t.partialStart = false
		t.placer.SetPartialStart(nil)
		return
	}
	if now.Sub(t.electedAt) < partialStartDelay || now.Before(t.nextUnseenUsage) {
		return
	}
	t.nextUnseenUsage = now.Add(unseenUsageInterval)
	t.placer.SetPartialStart(t.unseenUsage())
	if !t.partialStart {
		t.partialStart = true
		t.placer.InvalidateOrder()
		t.log.Info("jobs of this leader begin to start", "token", t.fencingToken, "missing", len(t.unreconciled))
	}
}

// unseenUsage is what each team's tasks may use at most on the machines that are missing: no more than its tasks that are neither
// done nor seen on a machine, and no more than those machines have. Cancelled jobs count like all others until they are gone.
func (t *Reconciler) unseenUsage() placement.UnseenUsage {
	capacity := worker.Usage{}
	for _, machine := range t.unreconciled {
		cpus, gpus := t.maxCapacity(machine)
		capacity.CPUs, capacity.GPUs = capacity.CPUs+cpus, capacity.GPUs+gpus
	}
	usageByTeam := placement.UnseenUsage{}
	for _, job := range t.jobStore.Unfinished {
		if job.AcceptedByThisLeader || job.State == jobs.Pending || job.UnmetDependencies > 0 {
			continue
		}
		usage := usageByTeam[job.Team]
		unseen := float64(job.Tasks - job.DoneTasks - len(job.ActiveAttempts))
		usageByTeam[job.Team] = worker.Usage{
			CPUs: min(usage.CPUs+unseen*job.CPUs, capacity.CPUs),
			GPUs: min(usage.GPUs+unseen*job.GPUs, capacity.GPUs),
		}
	}
	return usageByTeam
}

// maxCapacity is what a machine has at most, as far as it is known.
func (t *Reconciler) maxCapacity(machine *worker.Machine) (cpus, gpus float64) {
	if machine.CPUs+machine.MemoryGB > 0 {
		return machine.CPUs, machine.GPUs
	}
	if instance := t.cloud.Instances[machine.ID]; instance != nil {
		if instanceType := t.cloud.MachineTypes[instance.Kind.Type]; instanceType != nil {
			return instanceType.CPUs, instanceType.GPUs
		}
	}
	if len(t.cloud.MachineTypes) == 0 {
		return math.Inf(1), math.Inf(1)
	}
	for _, instanceType := range t.cloud.MachineTypes {
		cpus, gpus = max(cpus, instanceType.CPUs), max(gpus, instanceType.GPUs)
	}
	return cpus, gpus
}

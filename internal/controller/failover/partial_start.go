package failover

import (
	"math"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/logkeys"
)

const (
	// partialStartDelay is the minimum age of a leadership for a partial start. Most failovers are completed within it, and then all
	// jobs start in the order of the queue.
	partialStartDelay = 2 * time.Second
	// unreconciledUsageInterval is the time between two computations of the unreconciled usage. An outdated result is safe: the
	// unreconciled usage only decreases, since new tasks start on reconciled machines.
	unreconciledUsageInterval = time.Second
)

// partialStart is the state of a partial start, in which some jobs start before the failover is completed.
type partialStart struct {
	active     bool      // jobs accepted by this leader may start although machines are unreconciled
	nextUpdate time.Time // time of the next computation of the unreconciled usage
}

// CanStartTasks reports whether tasks may start. Before the failover is completed, only jobs whose acceptance this leader committed may
// start, since no earlier leader can have started them. Without this partial start, no tasks were placed for two thirds of the time in
// a series of leaderships of 37 s, in each of which half of the machines were unreachable for a worker lease.
func (r *Reconciler) CanStartTasks() bool { return r.progress.completed || r.partialStart.active }

// updatePartialStart begins a partial start once the leadership is old enough, and ends it once all machines are reconciled. During a
// partial start it passes the unreconciled usage to the placer, which subtracts it from the quotas.
func (r *Reconciler) updatePartialStart(now time.Time) {
	if len(r.unreconciled) == 0 {
		r.partialStart.active = false
		r.placer.SetPartialStart(nil)
		return
	}
	if now.Sub(r.electedAt) < partialStartDelay || now.Before(r.partialStart.nextUpdate) {
		return
	}
	r.partialStart.nextUpdate = now.Add(unreconciledUsageInterval)
	r.placer.SetPartialStart(r.unreconciledUsage())
	if !r.partialStart.active {
		r.partialStart.active = true
		r.placer.InvalidateOrder()
		r.log.Info("partial start began", logkeys.FencingToken, r.fencingToken, logkeys.Count, len(r.unreconciled))
	}
}

// unreconciledUsage returns an upper bound of each team's usage on the unreconciled machines. It is the sum of the resources of the team's
// tasks that are neither done nor on a reconciled machine, limited by the capacity of the unreconciled machines. Cancelled jobs count
// until their tasks have ended.
func (r *Reconciler) unreconciledUsage() placement.UnreconciledUsage {
	capacity := worker.Usage{}
	for _, machine := range r.unreconciled {
		cpus, gpus := r.maxCapacity(machine)
		capacity.CPUs, capacity.GPUs = capacity.CPUs+cpus, capacity.GPUs+gpus
	}
	usageByTeam := placement.UnreconciledUsage{}
	for _, job := range r.stores.Jobs.Unfinished {
		if job.AcceptedByThisLeader || job.State == jobs.Pending || job.UnmetDependencies > 0 {
			continue
		}
		usage := usageByTeam[job.Team]
		unreconciledTasks := float64(job.Tasks - job.DoneTasks - len(job.ActiveAttempts))
		usageByTeam[job.Team] = worker.Usage{
			CPUs: min(usage.CPUs+unreconciledTasks*job.CPUs, capacity.CPUs),
			GPUs: min(usage.GPUs+unreconciledTasks*job.GPUs, capacity.GPUs),
		}
	}
	return usageByTeam
}

// maxCapacity returns an upper bound of the CPUs and GPUs of a machine: its own capacity if it is known, else that of its machine type,
// else the largest of all types. Without any machine type it returns infinity.
func (r *Reconciler) maxCapacity(machine *worker.Machine) (cpus, gpus float64) {
	if machine.CPUs+machine.MemoryGB > 0 {
		return machine.CPUs, machine.GPUs
	}
	if instance := r.cloud.Instances[machine.ID]; instance != nil {
		if machineType := r.cloud.MachineTypes[instance.Kind.Type]; machineType != nil {
			return machineType.CPUs, machineType.GPUs
		}
	}
	if len(r.cloud.MachineTypes) == 0 {
		return math.Inf(1), math.Inf(1)
	}
	for _, machineType := range r.cloud.MachineTypes {
		cpus, gpus = max(cpus, machineType.CPUs), max(gpus, machineType.GPUs)
	}
	return cpus, gpus
}

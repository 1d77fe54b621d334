// Package placement decides where a task may run and which machine it takes: the rules for
// types, zones and kinds, the teams' limits, and the packing. Its Placer owns the order of a
// leadership, what is held for whom, and the booked places of gangs. It never rents, returns or
// writes down anything.
package placement

import (
	"math"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/worker"
)

const resourceTolerance = 1e-6

// KindAllowed reports whether the job may run on such machines at all.
func KindAllowed(job *jobs.Job, kind cloud.InstanceKind) bool {
	if kind.Spot && !job.AllowsSpot || job.Zone != "" && job.Zone != kind.Zone {
		return false
	}
	if len(job.MachineTypes) == 0 {
		return true
	}
	for _, machineType := range job.MachineTypes {
		if machineType == kind.Type {
			return true
		}
	}
	return false
}

// FitsType reports whether an empty machine of the type holds one task.
func FitsType(job *jobs.Job, machineType *cloud.MachineType) bool {
	return job.CPUs <= machineType.CPUs+resourceTolerance && job.GPUs <= machineType.GPUs+resourceTolerance &&
		job.MemoryGB <= machineType.MemoryGB+resourceTolerance
}

// TypeResources is what an empty machine of the type has.
func TypeResources(machineType *cloud.MachineType) worker.Resources {
	return worker.Resources{CPUs: machineType.CPUs, GPUs: machineType.GPUs, MemoryGB: machineType.MemoryGB}
}

// TasksPerMachine is how many tasks an empty machine of the type holds.
func TasksPerMachine(job *jobs.Job, machineType *cloud.MachineType) int {
	return TypeResources(machineType).TasksThatFit(job)
}

// TasksAllowedInZone is how many more tasks of the job may be put into the zone, given where its
// other tasks are or may still be.
func TasksAllowedInZone(job *jobs.Job, zone string) int {
	if !job.SingleZone && !job.SpreadAcrossZones {
		return job.Tasks
	}
	inZone, inOtherZones := job.AttemptsInZone(zone)
	if job.SingleZone && inOtherZones > 0 {
		return 0
	}
	if job.SpreadAcrossZones {
		return max((job.Tasks+1)/2-inZone, 0)
	}
	return job.Tasks
}

// TasksAllowedByQuota is how many more tasks of the job its team's limit allows.
func TasksAllowedByQuota(job *jobs.Job, team config.Team, usage *worker.Usage) int {
	tasks := job.Tasks
	if team.CPULimit > 0 && job.CPUs > 0 {
		tasks = min(tasks, int(math.Floor((team.CPULimit-usage.CPUs+resourceTolerance)/job.CPUs)))
	}
	if team.GPULimit > 0 && job.GPUs > 0 {
		tasks = min(tasks, int(math.Floor((team.GPULimit-usage.GPUs+resourceTolerance)/job.GPUs)))
	}
	return max(tasks, 0)
}

// ExceedsQuota reports whether the job can never run within its team's limit.
func ExceedsQuota(job *jobs.Job, team config.Team) bool {
	tasks := 1.0
	if job.IsService || job.IsGang {
		tasks = float64(job.Tasks)
	}
	return team.CPULimit > 0 && tasks*job.CPUs > team.CPULimit+resourceTolerance ||
		team.GPULimit > 0 && tasks*job.GPUs > team.GPULimit+resourceTolerance
}

// MachineKind is the kind of a machine.
func MachineKind(machine *worker.Machine) cloud.InstanceKind {
	return cloud.InstanceKind{Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot}
}

// IsEligible reports whether tasks of the job may be started on the machine if there is room. On one that is kept
// to tell of its zone's return none may: its room looked free, and nothing was held elsewhere for jobs that
// had waited long. Nor on one that seems to hear nothing of us.
func IsEligible(job *jobs.Job, machine *worker.Machine) bool {
	return machine.DrainReason == worker.NotDraining && !machine.IsSentinel && !machine.IsUnreachable && machine.CPUs+machine.MemoryGB > 0 &&
		(len(machine.FailedJobs) == 0 || !machine.FailedJobs[job.ID]) &&
		KindAllowed(job, MachineKind(machine))
}

// IsFuller reports whether a is the better place to pack onto than b.
func IsFuller(a, b *worker.Machine) bool {
	fa, fb := a.UsedCPUs/max(a.CPUs, resourceTolerance), b.UsedCPUs/max(b.CPUs, resourceTolerance)
	if math.Abs(fa-fb) > resourceTolerance {
		return fa > fb
	}
	if a.CPUs != b.CPUs {
		return a.CPUs > b.CPUs
	}
	return a.ID < b.ID
}

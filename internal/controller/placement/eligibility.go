package placement

import (
	"math"
	"slices"

	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/units"
)

// KindAllowed reports whether the job's constraints allow instances of the kind.
func KindAllowed(job *jobs.Job, kind cloud.InstanceKind) bool {
	if kind.Spot && !job.AllowsSpot || job.Zone != "" && job.Zone != kind.Zone {
		return false
	}
	return len(job.MachineTypes) == 0 || slices.Contains(job.MachineTypes, kind.Type)
}

// FitsType reports whether one task of the job fits on an empty machine of the type.
func FitsType(job *jobs.Job, machineType *cloud.MachineType) bool {
	return job.CPUs <= machineType.CPUs+units.ResourceTolerance && job.GPUs <= machineType.GPUs+units.ResourceTolerance &&
		job.MemoryGB <= machineType.MemoryGB+units.ResourceTolerance
}

// TypeResources is the resources of an empty machine of the type.
func TypeResources(machineType *cloud.MachineType) worker.Resources {
	return worker.Resources{CPUs: machineType.CPUs, GPUs: machineType.GPUs, MemoryGB: machineType.MemoryGB}
}

// TasksPerMachine is the number of the job's tasks that fit on an empty machine of the type.
func TasksPerMachine(job *jobs.Job, machineType *cloud.MachineType) int {
	return TypeResources(machineType).TasksThatFit(job)
}

// TasksAllowedInZone is the number of further tasks of the job that its zone constraints allow in the zone, given where its
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

// MachineKind is the instance kind of a machine.
func MachineKind(machine *worker.Machine) cloud.InstanceKind {
	return cloud.InstanceKind{Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot}
}

// IsEligible reports whether tasks of the job may start on the machine if it has free resources. None may on a sentinel,
// whose free resources would keep reservations from being made elsewhere, or on a machine that seems to receive nothing
// from this leader.
func IsEligible(job *jobs.Job, machine *worker.Machine) bool {
	return machine.DrainReason == worker.NotDraining && !machine.IsSentinel && !machine.IsUnreachable &&
		machine.CPUs+machine.MemoryGB > 0 &&
		(len(machine.FailedJobs) == 0 || !machine.FailedJobs[job.ID]) &&
		KindAllowed(job, MachineKind(machine))
}

// IsFuller reports whether a is packed before b: the machine with the larger share of its CPUs in use, of two with the same
// share the larger one.
func IsFuller(a, b *worker.Machine) bool {
	usedA, usedB := a.UsedCPUs/max(a.CPUs, units.ResourceTolerance), b.UsedCPUs/max(b.CPUs, units.ResourceTolerance)
	if math.Abs(usedA-usedB) > units.ResourceTolerance {
		return usedA > usedB
	}
	if a.CPUs != b.CPUs {
		return a.CPUs > b.CPUs
	}
	return a.ID < b.ID
}

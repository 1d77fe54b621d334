package placement

import (
	"math"
	"slices"

	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/units"
	"gullrudder/internal/wire/workerapi"
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

// TypeResources returns the resources of an empty machine of the type.
func TypeResources(machineType *cloud.MachineType) worker.Resources {
	return worker.Resources{
		CPUs: machineType.CPUs, GPUs: machineType.GPUs, MemoryGB: machineType.MemoryGB, Tasks: workerapi.MaxTasksPerMachine,
	}
}

// TasksPerMachine returns how many of the job's tasks fit on an empty machine of the type.
func TasksPerMachine(job *jobs.Job, machineType *cloud.MachineType) int {
	return TypeResources(machineType).TasksThatFit(job)
}

// TasksAllowedInZone returns how many more tasks of the job its zone constraints allow in the zone. Every active attempt
// counts, also one that may already have ended. Without zone constraints, the result is the job's number of tasks.
func TasksAllowedInZone(job *jobs.Job, zone string) int {
	if !HasZoneRules(job) {
		return job.Tasks
	}
	inZone, inOtherZones := job.AttemptsInZone(zone)
	if job.SingleZone && inOtherZones > 0 {
		return 0
	}
	if job.SpreadAcrossZones {
		return max(maxSpreadTasks(job)-inZone, 0)
	}
	return job.Tasks
}

// MachineKind returns the instance kind of a machine.
func MachineKind(machine *worker.Machine) cloud.InstanceKind {
	return cloud.InstanceKind{Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot}
}

// IsAvoided reports whether the job avoids the machine because a task of it failed there.
func IsAvoided(job *jobs.Job, machine *worker.Machine) bool {
	return len(machine.FailedJobs) > 0 && machine.FailedJobs[job.ID]
}

// IsEligible reports whether tasks of the job may start on the machine if it has enough available resources. A sentinel is
// not eligible: its available resources would prevent reservations on other machines. Neither is a machine that probably
// receives no responses from this leader.
func IsEligible(job *jobs.Job, machine *worker.Machine) bool {
	return machine.DrainReason == worker.NotDraining && !machine.IsSentinel && !machine.IsUnreachable &&
		machine.CPUs+machine.MemoryGB > 0 && !IsAvoided(job, machine) &&
		KindAllowed(job, MachineKind(machine))
}

// IsFuller reports whether a is filled before b: the machine with the larger share of its CPUs in use, then the one with
// more CPUs, then the one with the lower ID.
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

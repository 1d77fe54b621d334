package accounting

import (
	"strings"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/placement"
)

// resourceShape is what decides which machines a task may use and what it takes of them. Jobs of the same shape share an
// availability, so that a sample looks at the machines once for each shape and not for each job.
type resourceShape struct {
	cpus         float64
	gpus         float64
	memoryGB     float64
	zone         string
	machineTypes string
	allowsSpot   bool
}

func shapeOf(job *jobs.Job) resourceShape {
	return resourceShape{job.CPUs, job.GPUs, job.MemoryGB, job.Zone, strings.Join(job.MachineTypes, " "), job.AllowsSpot}
}

// availability is what the machines offer to tasks of a shape.
type availability struct {
	hasUsable         bool               // a machine that reports is large enough
	hasBooting        bool               // an instance that boots is
	hasFree           bool               // a machine has resources available that are not reserved
	hasFreeOrReserved bool               // a machine has resources available
	reservedFor       map[*jobs.Job]bool // the jobs for which they are reserved
}

func (s *sample) availabilityFor(job *jobs.Job) availability {
	// A job with failures avoids machines on which it failed: what it finds is not true of others of its shape.
	if job.FailureCount > 0 {
		return s.findAvailability(job)
	}
	shape := shapeOf(job)
	if known, ok := s.byShape[shape]; ok {
		return known
	}
	found := s.findAvailability(job)
	s.byShape[shape] = found
	return found
}

func (s *sample) findAvailability(job *jobs.Job) availability {
	found := availability{reservedFor: map[*jobs.Job]bool{}}
	for _, machine := range s.machines {
		if !placement.IsEligible(job, machine) || machine.TasksThatFitWhenEmpty(job) == 0 {
			continue
		}
		found.hasUsable = true
		if machine.TasksThatFit(job) == 0 {
			continue
		}
		found.hasFreeOrReserved = true
		if machine.ReservedFor == nil {
			found.hasFree = true
			break
		}
		found.reservedFor[machine.ReservedFor] = true
	}
	for _, kind := range s.bootingKinds {
		machineType := s.Cloud.MachineTypes[kind.Type]
		if machineType != nil && placement.KindAllowed(job, kind) && placement.FitsType(job, machineType) {
			found.hasBooting = true
		}
	}
	return found
}

package accounting

import (
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/placement"
)

// availability is what the machines offer to tasks of a shape. A sample walks the machines once for each shape and not for
// each job.
type availability struct {
	hasUsable         bool               // a reporting machine is large enough
	hasBooting        bool               // a booting instance is large enough
	hasFree           bool               // a machine has resources available that are not reserved
	hasFreeOrReserved bool               // a machine has resources available
	reservedFor       map[*jobs.Job]bool // the jobs for which they are reserved
}

func (s *sample) availabilityFor(job *jobs.Job) availability {
	// A job with failures avoids the machines on which it failed, so its availability differs from others of its shape.
	if job.FailureCount > 0 {
		return s.findAvailability(job)
	}
	shape := placement.ShapeOf(job)
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

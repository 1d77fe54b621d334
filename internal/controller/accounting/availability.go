package accounting

import (
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/placement"
)

// availability describes what the machines offer to tasks of one shape. A sample scans the machines once per shape instead
// of once per job.
type availability struct {
	hasUsable         bool               // an eligible machine is large enough
	hasBooting        bool               // an allowed booting instance is large enough
	hasFree           bool               // a task fits on an unreserved machine
	hasFreeOrReserved bool               // a task fits on a machine, reserved or not
	reservedFor       map[*jobs.Job]bool // jobs with reserved machines on which a task fits
}

func (s *sample) availabilityFor(job *jobs.Job) availability {
	if !placement.FitsAsShape(job) {
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
		if !placement.IsEligible(job, machine) || placement.TasksAllowedInZone(job, machine.Zone) == 0 ||
			machine.TasksThatFitBesideServices(job) == 0 {
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
		if machineType != nil && placement.KindAllowed(job, kind) && placement.FitsType(job, machineType) &&
			placement.TasksAllowedInZone(job, kind.Zone) > 0 {
			found.hasBooting = true
		}
	}
	return found
}

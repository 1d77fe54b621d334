package autoscaler

import (
	"time"

	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/queue"
	"gullrudder/internal/controller/zones"
)

// scale terminates the instances that are not needed and requests those that the waiting work justifies.
func (s *Scaler) scale(now time.Time) {
	order := s.placer.Order(now)
	s.refreshInstances(now)
	startable := s.placer.StartableTasks(order)
	s.terminateUnneeded(now, startable)
	if !s.isInstanceListReliable(now) {
		return
	}
	offerings := s.offerings()
	if len(offerings) == 0 {
		return
	}
	plan := s.newScaleOutPlan(now, offerings, order)
	shapes := s.placer.ShapeNumbers()
	for i, tasks := range startable {
		plan.addJob(order[i].Job, tasks, shapes[i])
	}
	plan.request(now, s.zones, s.cloud)
}

// isInstanceListReliable reports whether the list of instances can be relied on. What an earlier leader requested last may not be listed
// yet, unless there was no earlier leader.
func (s *Scaler) isInstanceListReliable(now time.Time) bool {
	if len(s.cloud.MachineTypes) == 0 {
		return false
	}
	return s.history.IsFirstLeader() || s.cloud.CompletedLists > 0 && now.Sub(s.electedAt) >= s.platform.CloudListLag
}

// scaleOutPlan decides how many instances of each kind to request, job by job in the order in which they are to start. The tasks
// of a job go onto the projected capacity first; for the rest instances are added to it.
type scaleOutPlan struct {
	capacity *capacityProjection
	kinds    []*plannedKind // the cheapest first
	// saturatedShapes are the shapes of tasks that found no capacity and justified no request. Jobs of the same shape are skipped.
	saturatedShapes map[int]bool
}

// plannedKind is a kind of instances in the plan.
type plannedKind struct {
	offering
	maxRequestable    int
	requested         int
	isZoneUnavailable bool
	isWeighed         bool // it is expensive, and weighed against the objectives
	worthwhile        int  // if it is weighed: the number that is worth its price
	// requiredBacklog is how many seconds the waiting work must last, and completableWork the CPU seconds of it that can be
	// done within these.
	requiredBacklog float64
	completableWork float64
}

func (s *Scaler) newScaleOutPlan(now time.Time, offerings []offering, order []queue.Entry) *scaleOutPlan {
	plan := &scaleOutPlan{capacity: s.projectCapacity(), saturatedShapes: map[int]bool{}}
	backlog := s.backlogByTeam(order)
	worthwhile := s.weighExpensive(now, offerings, order, backlog)
	byKind := map[cloud.InstanceKind]*plannedKind{}
	for _, offered := range offerings {
		kind := byKind[offered.kind]
		if kind == nil {
			required := s.requiredBacklog(offered.price, offerings[0].price)
			kind = &plannedKind{
				offering:          offered,
				maxRequestable:    s.maxRequestable(now, offered.kind),
				isZoneUnavailable: s.zones.IsUnavailable(offered.kind.Zone),
				requiredBacklog:   required,
				completableWork:   backlog.completableWithin(required),
			}
			kind.worthwhile, kind.isWeighed = worthwhile[offered.kind]
			byKind[offered.kind] = kind
		}
		plan.kinds = append(plan.kinds, kind)
	}
	return plan
}

// jobDemand is what a job still needs while its instances are planned.
type jobDemand struct {
	job           *jobs.Job
	unplacedTasks int
	// missingPlaces is the number of required tasks that would not fit even on an otherwise empty cluster. Instances for them are
	// requested however small the waiting work is.
	missingPlaces int
}

// addJob plans the instances for a job with that many startable tasks.
func (p *scaleOutPlan) addJob(job *jobs.Job, startableTasks, shape int) {
	isUniform := !job.IsGang && !job.IsService
	if startableTasks == 0 || isUniform && p.saturatedShapes[shape] {
		return
	}
	unplaced := startableTasks - p.capacity.fill(job, startableTasks)
	if unplaced <= 0 {
		return
	}
	demand := jobDemand{job: job, unplacedTasks: unplaced, missingPlaces: requiredTasks(job) - p.capacity.taskCapacity(job)}
	if job.HasGuarantee() && !job.AllowsSpot {
		// Most capacity is spot instances, on which the job may not run, so the backlog of the cluster does not show how long the
		// job waits. Without this such jobs queue for a single machine past their deadlines.
		demand.missingPlaces = max(demand.missingPlaces, unplaced)
	}
	hasRequested := p.addInstancesFor(&demand)
	p.saturatedShapes[shape] = isUniform && unplaced == startableTasks && !hasRequested
}

// addInstancesFor plans instances of each kind that the job may use and that its demand justifies. It reports whether there are
// any.
func (p *scaleOutPlan) addInstancesFor(demand *jobDemand) bool {
	hasRequested := false
	for _, kind := range p.kinds {
		if demand.unplacedTasks <= 0 {
			break
		}
		perMachine := placement.TasksPerMachine(demand.job, kind.machineType)
		if perMachine == 0 || !placement.KindAllowed(demand.job, kind.kind) || kind.maxRequestable == 0 {
			continue
		}
		for demand.unplacedTasks > 0 && kind.requested < kind.maxRequestable && p.isJustified(kind, demand) {
			kind.requested++
			hasRequested = true
			clear(p.saturatedShapes)
			if kind.isZoneUnavailable {
				break // a probe: its capacity does not count
			}
			p.capacity.add(kind.kind, kind.machineType)
			demand.missingPlaces -= perMachine
			demand.unplacedTasks -= p.capacity.reserveLast(demand.job, min(perMachine, demand.unplacedTasks))
		}
	}
	return hasRequested
}

// isJustified reports whether one more instance of the kind is to be requested for the demand.
func (p *scaleOutPlan) isJustified(kind *plannedKind, demand *jobDemand) bool {
	return demand.missingPlaces > 0 ||
		kind.isWeighed && kind.requested < kind.worthwhile ||
		kind.completableWork > p.capacity.totalCPUs*kind.requiredBacklog
}

// request sends the planned requests.
func (p *scaleOutPlan) request(now time.Time, tracker *zones.Tracker, cloudClient *cloud.Client) {
	for _, kind := range p.kinds {
		if kind.requested > 0 {
			tracker.RecordRequest(now, kind.kind.Zone, kind.requested)
			cloudClient.RequestInstances(kind.kind, kind.requested)
		}
	}
}

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

// isInstanceListReliable reports whether the list of instances can be relied on. The last requests of an earlier leader may not
// be listed yet. Without an earlier leader there are no such requests.
func (s *Scaler) isInstanceListReliable(now time.Time) bool {
	if len(s.cloud.MachineTypes) == 0 {
		return false
	}
	return s.history.IsFirstLeader() || s.cloud.CompletedLists > 0 && now.Sub(s.electedAt) >= s.platform.CloudListLag
}

// scaleOutPlan decides how many instances of each kind to request. It takes the jobs in the order in which they are to start. The
// tasks of a job are placed on the projected capacity first, and instances are added for the rest.
type scaleOutPlan struct {
	capacity *capacityProjection
	kinds    []*plannedKind // cheapest first
	// saturatedShapes are the task shapes that found no capacity and justified no request. Further jobs of such a shape are
	// skipped.
	saturatedShapes map[int]bool
}

// plannedKind is a kind of instances with the number to request.
type plannedKind struct {
	offering
	maxRequestable    int
	requested         int
	isPending         bool // an earlier request has no outcome yet
	isZoneUnavailable bool
	isEvaluated       bool // the kind is expensive and was evaluated against the objectives
	worthwhileCount   int  // if isEvaluated: number of instances that are worth their price
	// requiredBacklog is how many seconds the waiting work must last to justify a request. completableWork is the part of that
	// work, in CPU seconds, that can be done in that time.
	requiredBacklog float64
	completableWork float64
}

// fits reports whether tasks of the job may run on an instance of the kind and fit there.
func (k *plannedKind) fits(job *jobs.Job) bool {
	return placement.KindAllowed(job, k.kind) && placement.TasksPerMachine(job, k.machineType) > 0
}

func (s *Scaler) newScaleOutPlan(now time.Time, offerings []offering, order []queue.Entry) *scaleOutPlan {
	plan := &scaleOutPlan{capacity: s.projectCapacity(), saturatedShapes: map[int]bool{}}
	backlog := s.backlogByTeam(order)
	worthwhile := s.evaluateExpensive(now, offerings, order, backlog)
	byKind := map[cloud.InstanceKind]*plannedKind{}
	for _, offered := range offerings {
		planned := byKind[offered.kind]
		if planned == nil {
			required := s.requiredBacklog(offered.price, offerings[0].price)
			planned = &plannedKind{
				offering:          offered,
				maxRequestable:    s.maxRequestable(now, offered.kind),
				isPending:         s.cloud.HasPendingRequest(offered.kind),
				isZoneUnavailable: s.zones.IsUnavailable(offered.kind.Zone),
				requiredBacklog:   required,
				completableWork:   backlog.completableWithin(required),
			}
			planned.worthwhileCount, planned.isEvaluated = worthwhile[offered.kind]
			byKind[offered.kind] = planned
		}
		plan.kinds = append(plan.kinds, planned)
	}
	return plan
}

// jobDemand tracks what a job still needs while instances are planned for it.
type jobDemand struct {
	job           *jobs.Job
	unplacedTasks int
	// missingPlaces is the number of tasks for which instances are requested regardless of the amount of waiting work. These are
	// the required tasks that would not fit even on a cluster on which only replicas of other jobs run. For a guaranteed job that
	// must not use spot instances they are at least all unplaced tasks.
	missingPlaces int
	zones         placement.ZoneAllowance
}

// addJob plans the instances for a job. startableTasks is the number of its tasks that can start, shape the number of its task
// shape.
func (p *scaleOutPlan) addJob(job *jobs.Job, startableTasks, shape int) {
	isPlannedByShape := !job.IsGang && !job.IsService && placement.FitsAsShape(job)
	if startableTasks == 0 || isPlannedByShape && p.saturatedShapes[shape] {
		return
	}
	demand := jobDemand{job: job, zones: placement.NewZoneAllowance(job)}
	if job.SingleZone {
		demand.zones.LimitTo(p.chooseZone(job, startableTasks))
	}
	unplaced := startableTasks - p.capacity.placeTasks(job, startableTasks, &demand.zones)
	if unplaced <= 0 {
		return
	}
	demand.unplacedTasks, demand.missingPlaces = unplaced, requiredTasks(job)-p.capacity.taskCapacity(job, &demand.zones)
	if job.HasGuarantee() && !job.AllowsSpot {
		// Most capacity is spot instances, on which the job may not run. The backlog of the cluster therefore does not show how long
		// the job waits. Without this rule such jobs queue for a single machine past their deadlines.
		demand.missingPlaces = max(demand.missingPlaces, unplaced)
	}
	hasRequested := p.addInstancesFor(&demand)
	if isPlannedByShape {
		p.saturatedShapes[shape] = unplaced == startableTasks && !hasRequested
	}
}

// addInstancesFor plans instances of each kind that the job may use and that its demand justifies. It reports whether it planned
// any.
func (p *scaleOutPlan) addInstancesFor(demand *jobDemand) bool {
	hasRequested := false
	for _, planned := range p.kinds {
		if demand.unplacedTasks <= 0 {
			break
		}
		if planned.maxRequestable == 0 || !planned.fits(demand.job) {
			continue
		}
		for demand.mayUse(planned) && planned.requested < planned.maxRequestable && p.isJustified(planned, demand) {
			planned.requested++
			hasRequested = true
			clear(p.saturatedShapes)
			if planned.isZoneUnavailable {
				break // a probe of the zone: its capacity does not count
			}
			p.capacity.addMachine(planned.kind, planned.machineType)
			placed := p.capacity.placeOnLast(demand.job, demand.unplacedTasks, &demand.zones)
			demand.missingPlaces -= placed
			demand.unplacedTasks -= placed
		}
	}
	return hasRequested
}

// mayUse reports whether tasks of the demand are unplaced and may run on an instance of the kind by the zone rules of the job.
func (d *jobDemand) mayUse(planned *plannedKind) bool {
	return d.unplacedTasks > 0 && d.zones.Allowed(planned.kind.Zone) > 0
}

// isJustified reports whether the demand justifies one more instance of the kind.
func (p *scaleOutPlan) isJustified(planned *plannedKind, demand *jobDemand) bool {
	return demand.missingPlaces > 0 ||
		planned.isEvaluated && planned.requested < planned.worthwhileCount ||
		planned.completableWork > p.capacity.totalCPUs*planned.requiredBacklog
}

// request queues the planned requests for instances and records them by zone.
func (p *scaleOutPlan) request(now time.Time, tracker *zones.Tracker, cloudClient *cloud.Client) {
	for _, planned := range p.kinds {
		if planned.requested > 0 {
			tracker.RecordRequest(now, planned.kind.Zone, planned.requested)
			cloudClient.RequestInstances(planned.kind, planned.requested)
		}
	}
}

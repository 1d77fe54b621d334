package autoscaler

import (
	"cmp"

	"gullrudder/internal/controller/jobs"
)

// chooseZone returns the zone in which instances are planned for a job that must run in one zone: the zone of its active attempts, else one
// with resources for its tasks, else one where instances can be requested. It returns "" if there is none.
func (p *scaleOutPlan) chooseZone(job *jobs.Job, tasks int) string {
	for _, attempt := range job.ActiveAttempts {
		return attempt.Zone
	}
	available := p.capacity.availableByZone(job)
	zone := largestZone(available)
	if available[zone] >= tasks || !job.IsGang && available[zone] > 0 {
		return zone
	}
	capacity := p.capacity.taskCapacityByZone(job)
	largest := largestZone(capacity)
	if required := requiredTasks(job); required > 1 && capacity[largest] >= required {
		return largest
	}
	return cmp.Or(p.growableZone(job, capacity), largest)
}

// largestZone returns the zone with the most tasks, of equal ones the first by name.
func largestZone(tasksByZone map[string]int) string {
	largest := ""
	for zone, tasks := range tasksByZone {
		if largest == "" || tasks > tasksByZone[largest] || tasks == tasksByZone[largest] && zone < largest {
			largest = zone
		}
	}
	return largest
}

// growableZone returns the zone with the largest capacity of those where instances for the job can be requested, or are requested. Of
// equal ones it returns that of the cheapest kind.
func (p *scaleOutPlan) growableZone(job *jobs.Job, capacity map[string]int) string {
	zone := ""
	for _, planned := range p.kinds {
		isGrowable := planned.maxRequestable > 0 || planned.isPending
		if isGrowable && planned.fits(job) && (zone == "" || capacity[planned.kind.Zone] > capacity[zone]) {
			zone = planned.kind.Zone
		}
	}
	return zone
}

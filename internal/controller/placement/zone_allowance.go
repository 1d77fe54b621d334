package placement

import "gullrudder/internal/controller/jobs"

// ZoneAllowance counts how many more tasks of a job its zone rules allow in each zone, while a plan assigns tasks to machines without
// starting them.
type ZoneAllowance struct {
	job      *jobs.Job
	onlyZone string         // the zone of a job that must run in one zone; empty: the plan has not decided it
	assigned map[string]int // tasks that the plan has assigned, by zone; nil without zone rules
}

// HasZoneRules reports whether the number of the job's tasks in a zone is limited by where its other tasks run.
func HasZoneRules(job *jobs.Job) bool { return job.SingleZone || job.SpreadAcrossZones }

// NewZoneAllowance returns the allowance of a job before the plan assigns any task.
func NewZoneAllowance(job *jobs.Job) ZoneAllowance {
	allowance := ZoneAllowance{job: job}
	if HasZoneRules(job) {
		allowance.assigned = map[string]int{}
	}
	return allowance
}

// LimitTo limits a job that must run in one zone to this zone. It has no effect on other jobs.
func (a *ZoneAllowance) LimitTo(zone string) {
	if a.job.SingleZone {
		a.onlyZone = zone
	}
}

// Allowed returns how many more tasks may be assigned to machines of the zone.
func (a *ZoneAllowance) Allowed(zone string) int {
	if a.isOtherZone(zone) {
		return 0
	}
	return max(TasksAllowedInZone(a.job, zone)-a.assigned[zone], 0)
}

// AllowedWhenEmpty returns how many tasks would be allowed in the zone if none were active or assigned.
func (a *ZoneAllowance) AllowedWhenEmpty(zone string) int {
	switch {
	case a.isOtherZone(zone):
		return 0
	case a.job.SpreadAcrossZones:
		return maxSpreadTasks(a.job)
	}
	return a.job.Tasks
}

// Assign records that the plan assigns up to maxTasks tasks to machines of the zone, as many as are allowed. It returns their number.
func (a *ZoneAllowance) Assign(zone string, maxTasks int) int {
	tasks := min(maxTasks, a.Allowed(zone))
	if a.assigned != nil {
		a.assigned[zone] += tasks
	}
	return tasks
}

func (a *ZoneAllowance) isOtherZone(zone string) bool {
	return a.job.SingleZone && a.onlyZone != "" && zone != a.onlyZone
}

// maxSpreadTasks returns how many tasks of a job that is spread across zones may run in one zone.
func maxSpreadTasks(job *jobs.Job) int { return (job.Tasks + 1) / 2 }

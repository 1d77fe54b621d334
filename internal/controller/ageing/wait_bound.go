package ageing

import (
	"time"

	"gullrudder/internal/controller/estimate"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/units"
)

// maxWaitBound is the limit of known bounds. If the bound of the first start reaches it, the bound counts as unknown.
const maxWaitBound = 30 * 24 * time.Hour

// minQuotaRate is the minimum rate, in CPUs, at which a team's older work is assumed to run under its quota.
const minQuotaRate = 0.1

// Load is an amount of unfinished work.
type Load struct {
	CPUSeconds float64 // computed from the estimated run times
	CPUs       float64 // sum over all unfinished tasks
}

// Add adds the unfinished tasks of a job. cpuSeconds is the CPU time that they need.
func (l *Load) Add(job *jobs.Job, cpuSeconds float64) {
	l.CPUSeconds += cpuSeconds
	l.CPUs += float64(job.Tasks-job.DoneTasks) * estimate.CountedCPUs(job)
}

func (l Load) plus(other Load) Load {
	return Load{CPUSeconds: l.CPUSeconds + other.CPUSeconds, CPUs: l.CPUs + other.CPUs}
}

// WorkAhead describes the work that can be served before a job, as of the job's acceptance.
type WorkAhead struct {
	Older        Load          // unfinished jobs that were accepted earlier
	Team         Load          // the part of Older that belongs to the same team
	TeamCPULimit float64       // the team's quota of CPUs; 0: no quota
	Own          Load          // the job itself
	TaskCPUs     float64       // CPUs of one task of the job
	LongestTask  time.Duration // longest expected run time of all live tasks
	UsableCPUs   float64       // CPUs of the machines that the job can use
	StartDelay   time.Duration // from available capacity to a running task: heartbeats, image, stops
}

// WaitBound is an upper bound of a job's wait.
type WaitBound struct {
	FirstStart time.Duration // until its first task starts
	LastStart  time.Duration // until its last task starts; maxWaitBound if its bound is longer
	IsKnown    bool          // false without a share for aged jobs or usable CPUs, or if FirstStart reaches maxWaitBound
}

// WaitBound returns an upper bound of a job's wait from the work ahead of it. The bound is the sum of the age bound, the
// time that the older work takes at the rate of the share, and the time until a machine is available for the job itself.
// Each older task may also wait until the longest running task has left its machine. If the team has a quota, the time that
// its older work takes under the quota is added.
//
// The bound holds while UsableCPUs are up, no task exceeds its estimate by more than the factor EstimateError, and no older
// work is lost. docs/design/ageing.md has the bounds for the other cases.
func (p Policy) WaitBound(ahead WorkAhead) WaitBound {
	if p.Share <= 0 || ahead.UsableCPUs <= 0 {
		return WaitBound{}
	}
	bound := WaitBound{
		FirstStart: p.maxWait(ahead, ahead.Older, ahead.Team),
		LastStart:  p.maxWait(ahead, ahead.Older.plus(ahead.Own), ahead.Team.plus(ahead.Own)),
	}
	bound.IsKnown = bound.FirstStart < maxWaitBound
	return bound
}

// maxWait returns the longest wait of a task behind the older work of all teams and of its own team.
func (p Policy) maxWait(ahead WorkAhead, older, team Load) time.Duration {
	placementSeconds := p.EstimateError*ahead.LongestTask.Seconds() + ahead.StartDelay.Seconds() // until a reserved machine is available
	seconds := p.AgeBound.Seconds() + p.drainSeconds(older, placementSeconds, p.Share*ahead.UsableCPUs) + placementSeconds
	if ahead.TeamCPULimit > 0 {
		rate := max(ahead.TeamCPULimit-ahead.TaskCPUs, ahead.TaskCPUs, minQuotaRate)
		seconds += p.drainSeconds(team, placementSeconds, rate)
	}
	if !(seconds < maxWaitBound.Seconds()) { // also true for NaN
		return maxWaitBound
	}
	return units.DurationFromSeconds(seconds)
}

// drainSeconds returns how long a load takes on the given CPUs if each of its tasks first waits for its placement.
func (p Policy) drainSeconds(load Load, placementSeconds, cpus float64) float64 {
	return (p.EstimateError*load.CPUSeconds + load.CPUs*placementSeconds) / cpus
}

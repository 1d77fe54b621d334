package ageing

import (
	"time"

	"gullrudder/internal/controller/estimate"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/units"
)

// maxStatedWait is the longest wait that is stated as a bound. For a longer one no bound is stated.
const maxStatedWait = 30 * 24 * time.Hour

// minQuotaRate is the least rate, in CPUs, at which a team's older work is taken to run under its quota.
const minQuotaRate = 0.1

// Load is an amount of unfinished work.
type Load struct {
	CPUSeconds float64 // by the estimated run times
	CPUs       float64 // of all unfinished tasks together
}

// Add counts the unfinished tasks of a job, which need cpuSeconds.
func (l *Load) Add(job *jobs.Job, cpuSeconds float64) {
	l.CPUSeconds += cpuSeconds
	l.CPUs += float64(job.Tasks-job.DoneTasks) * estimate.CountedCPUs(job)
}

// plus returns the sum of two loads.
func (l Load) plus(other Load) Load {
	return Load{CPUSeconds: l.CPUSeconds + other.CPUSeconds, CPUs: l.CPUs + other.CPUs}
}

// WorkAhead describes the work that can be served before a job, as of its acceptance.
type WorkAhead struct {
	Older        Load          // of the unfinished jobs that were accepted earlier
	Team         Load          // of those, the jobs of the same team
	TeamCPULimit float64       // the team's quota; 0: none
	Own          Load          // of the job itself
	TaskCPUs     float64       // of one task of the job
	LongestTask  time.Duration // longest expected run time of any live task
	UsableCPUs   float64       // of the machines that the job can use
	StartDelay   time.Duration // from free capacity to a running task: heartbeats, image, stops
}

// WaitBound is the longest that a job can wait.
type WaitBound struct {
	FirstStart time.Duration // until its first task starts
	LastStart  time.Duration // until its last task starts
	IsKnown    bool          // false without a share for aged jobs, or if the job can use no machine
}

// WaitBound bounds the wait of a job by the work that is ahead of it: the sum of the age bound, of the time for
// the older work at the rate of the share, and of the time until a machine is free for the job itself. Each older task too
// may wait until the longest running task has left its machine. It holds while UsableCPUs are up, no task exceeds its estimate by more than
// EstimateError, and none of the older work is lost; docs/design/ageing.md has the bounds for the other cases.
func (p Policy) WaitBound(ahead WorkAhead) WaitBound {
	if p.Share <= 0 || ahead.UsableCPUs <= 0 {
		return WaitBound{}
	}
	bound := WaitBound{
		FirstStart: p.maxWait(ahead, ahead.Older, ahead.Team),
		LastStart:  p.maxWait(ahead, ahead.Older.plus(ahead.Own), ahead.Team.plus(ahead.Own)),
	}
	bound.IsKnown = bound.FirstStart < maxStatedWait
	return bound
}

// maxWait is the longest wait of a task for older work of all teams and of its own.
func (p Policy) maxWait(ahead WorkAhead, older, team Load) time.Duration {
	placement := p.EstimateError*ahead.LongestTask.Seconds() + ahead.StartDelay.Seconds() // until a reserved machine is free
	seconds := p.AgeBound.Seconds() + p.drainSeconds(older, placement, p.Share*ahead.UsableCPUs) + placement
	if ahead.TeamCPULimit > 0 {
		rate := max(ahead.TeamCPULimit-ahead.TaskCPUs, ahead.TaskCPUs, minQuotaRate)
		seconds += p.drainSeconds(team, placement, rate)
	}
	if !(seconds < maxStatedWait.Seconds()) { // also if it is not a number
		return maxStatedWait
	}
	return units.DurationFromSeconds(seconds)
}

// drainSeconds is how long a load takes on so many CPUs if each of its tasks waits for its placement first.
func (p Policy) drainSeconds(load Load, placementSeconds, cpus float64) float64 {
	return (p.EstimateError*load.CPUSeconds + load.CPUs*placementSeconds) / cpus
}

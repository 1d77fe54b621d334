// Package ageing says which waiting work has waited so long that a share of the fleet is its
// own, and how long a job can wait at worst. It owns no state: the planner asks it anew for each
// order, from times that the ledger keeps. It never decides where a task runs.
//
// The rule. A job that has waited past the age bound is aged. Of all aged jobs the oldest go
// before everything else, until tasks of aged jobs hold the share of the fleet. Nothing that is
// accepted later ever comes before a job in that row, so the work that can stand before it is
// known when it is accepted: docs/design/ageing.md has the bound and its proof.
package ageing

import (
	"slices"
	"time"

	"gullrudder/internal/controller/jobs"
)

// Policy are what the operators have set.
type Policy struct {
	AgeBound      time.Duration // a job that has waited longer is aged
	Share         float64       // of the fleet's CPUs, kept for the aged
	EstimateError float64       // how many times its estimate work may take
}

// IsOlder reports whether a stands before b: by its first acceptance, or by when the last job that it needs was done. The
// ledger keeps both.
func IsOlder(a, b *jobs.Job) bool {
	if x, y := a.EligibleSince(), b.EligibleSince(); !x.Equal(y) {
		return x.Before(y)
	}
	return a.ID < b.ID
}

// IsAged reports whether a job has waited past the age bound. A service has no age: it never ends.
func (t Policy) IsAged(now time.Time, job *jobs.Job) bool {
	return !job.IsService && now.Sub(job.EligibleSince()) > t.AgeBound
}

// FirstJobs marks the aged jobs that go before everything else now. placeable says how many more
// tasks of a job its team's limit lets run: a job that it keeps waiting takes nothing of the
// share and holds nobody up, but is the first of its team once the limit lets it.
func (t Policy) FirstJobs(now time.Time, live []*jobs.Job, cpus float64, startableTasks func(*jobs.Job) int) map[*jobs.Job]bool {
	var aged []*jobs.Job
	usedCPUs := 0.0
	for _, job := range live {
		if !t.IsAged(now, job) {
			continue
		}
		usedCPUs += float64(len(job.ActiveAttempts)) * countedCPUs(job)
		if job.WaitingTasks() > 0 {
			aged = append(aged, job)
		}
	}
	if t.Share <= 0 || len(aged) == 0 {
		return nil
	}
	slices.SortFunc(aged, func(a, b *jobs.Job) int {
		if IsOlder(a, b) {
			return -1
		}
		return 1
	})
	first := map[*jobs.Job]bool{}
	for _, job := range aged {
		if usedCPUs >= t.Share*cpus {
			break
		}
		first[job] = true
		usedCPUs += float64(max(startableTasks(job), 0)) * countedCPUs(job)
	}
	return first
}

// countedCPUs is what a task counts in the share; one that takes no CPU counts a little.
func countedCPUs(job *jobs.Job) float64 { return max(job.CPUs, 0.1) }

// Load is work as a bound counts it.
type Load struct {
	CPUSeconds float64 // as estimated
	CPUs       float64 // of all its unfinished tasks, as if they ran at one time
}

// Add counts the unfinished tasks of a job.
func (l *Load) Add(job *jobs.Job, cpuSeconds float64) {
	l.CPUSeconds += cpuSeconds
	l.CPUs += float64(job.Tasks-job.DoneTasks) * countedCPUs(job)
}

// WorkAhead is what is known of the work that can stand before a job when it is accepted.
type WorkAhead struct {
	Older        Load          // unfinished jobs that were accepted before
	Team         Load          // of these, its own team's
	TeamCPULimit float64       // the CPUs that its team may use; 0: no limit
	Own          Load          // the job itself
	TaskCPUs     float64       // CPUs of one of its tasks
	LongestTask  time.Duration // estimated run time of the longest task of all that is live
	UsableCPUs   float64       // of the machines that it can use
	StartDelay   time.Duration // reports, image and stops: from free room to a running task
}

// WaitBound is how long a job can wait at worst.
type WaitBound struct {
	FirstStart time.Duration // until its first task starts
	LastStart  time.Duration // until its last task starts
	IsKnown    bool          // false if there is no share, or nothing that the job can use
}

// maxStatedWait keeps bounds printable: what is further away is not a promise.
const maxStatedWait = 30 * 24 * time.Hour

// WaitBound states how long a job can wait, from what stands before it: the age bound, then the work
// before it at the rate of the share, where each task may also wait for room as long as the
// longest task takes to leave it, then that long for its own room. It holds while so many CPUs
// are up, no task takes longer than its estimate by more than the error that is set, and nothing
// of the work before it is lost; docs/design/ageing.md says what it becomes otherwise.
func (t Policy) WaitBound(ahead WorkAhead) WaitBound {
	if t.Share <= 0 || ahead.UsableCPUs <= 0 {
		return WaitBound{}
	}
	placementWait := t.EstimateError*ahead.LongestTask.Seconds() + ahead.StartDelay.Seconds() // until room that is held is there
	drain := func(l Load, cpus float64) float64 {
		return (t.EstimateError*l.CPUSeconds + l.CPUs*placementWait) / cpus
	}
	wait := func(before, team Load) time.Duration {
		seconds := t.AgeBound.Seconds() + drain(before, t.Share*ahead.UsableCPUs) + placementWait
		if ahead.TeamCPULimit > 0 {
			seconds += drain(team, max(ahead.TeamCPULimit-ahead.TaskCPUs, ahead.TaskCPUs, 0.1)) // its team's older work, under the limit
		}
		if !(seconds < maxStatedWait.Seconds()) {
			return maxStatedWait
		}
		return time.Duration(seconds * float64(time.Second))
	}
	with := func(l Load) Load { return Load{l.CPUSeconds + ahead.Own.CPUSeconds, l.CPUs + ahead.Own.CPUs} }
	b := WaitBound{FirstStart: wait(ahead.Older, ahead.Team), LastStart: wait(with(ahead.Older), with(ahead.Team))}
	b.IsKnown = b.FirstStart < maxStatedWait
	return b
}

package autoscaler

import (
	"time"

	"gullrudder/internal/controller/estimate"
	"gullrudder/internal/controller/jobs"
)

const (
	// arrivalWindow is the length of a window in which arrivals are summed.
	arrivalWindow = 10 * time.Second
	// keptWindows is the number of complete windows from which a rate is computed.
	keptWindows = 6
	// minRateWindows is the number of complete windows that a rate requires.
	minRateWindows = 2
	// profileWeight is the number of jobs over which the profile of a flow is averaged.
	profileWeight = 8
)

// flowKey identifies the jobs whose arrivals are forecast together.
type flowKey struct{ class, team string }

// arrivalTracker holds the arrivals by class and team.
type arrivalTracker map[flowKey]*arrivalFlow

// arrivalFlow holds the recent arrivals of one class and team.
type arrivalFlow struct {
	team            string
	profile         jobProfile                  // moving average over the jobs
	windows         [keptWindows + 1]arrivalSum // the current window first
	windowStart     time.Time                   // of the current window
	completeWindows int                         // number of complete windows after the current one
}

// arrivalSum is the number of jobs and their work that arrive in a window, or per second.
type arrivalSum struct{ jobs, cpuSeconds float64 }

// record adds an accepted job to the arrivals of its class and team.
func (t arrivalTracker) record(now time.Time, job *jobs.Job, estimator *estimate.Estimator) {
	key := flowKey{class: job.Class, team: job.Team}
	flow := t[key]
	if flow == nil {
		flow = &arrivalFlow{team: job.Team, profile: jobProfile{class: job.Class}, windowStart: now}
		t[key] = flow
	}
	flow.advance(now)
	flow.windows[0].jobs++
	flow.windows[0].cpuSeconds += estimator.RemainingCPUSeconds(job, now)
	flow.updateProfile(estimator.TaskRunTime(job), job.TimeToDeadline())
}

// updateProfile moves the average profile towards that of a job.
func (f *arrivalFlow) updateProfile(taskDuration, deadline time.Duration) {
	if f.profile.taskDuration == 0 {
		f.profile.taskDuration, f.profile.deadline = taskDuration, deadline
	}
	f.profile.taskDuration += (taskDuration - f.profile.taskDuration) / profileWeight
	f.profile.deadline += (deadline - f.profile.deadline) / profileWeight
}

// advance begins the windows that are due.
func (f *arrivalFlow) advance(now time.Time) {
	for n := 0; now.Sub(f.windowStart) >= arrivalWindow; n++ {
		if n > keptWindows {
			f.windowStart = now
			break
		}
		copy(f.windows[1:], f.windows[:])
		f.windows[0] = arrivalSum{}
		f.windowStart = f.windowStart.Add(arrivalWindow)
		f.completeWindows = min(f.completeWindows+1, keptWindows)
	}
}

// rate returns the arrivals per second, or zero if there are too few complete windows. It leaves out the window with the most
// work: the jobs of a burst are in the queue already and do not predict further arrivals.
func (f *arrivalFlow) rate(now time.Time) arrivalSum {
	f.advance(now)
	if f.completeWindows < minRateWindows {
		return arrivalSum{}
	}
	var sum, largest arrivalSum
	for _, window := range f.windows[1 : f.completeWindows+1] {
		sum.jobs += window.jobs
		sum.cpuSeconds += window.cpuSeconds
		if window.cpuSeconds > largest.cpuSeconds {
			largest = window
		}
	}
	perSecond := 1 / (float64(f.completeWindows-1) * arrivalWindow.Seconds())
	return arrivalSum{jobs: (sum.jobs - largest.jobs) * perSecond, cpuSeconds: (sum.cpuSeconds - largest.cpuSeconds) * perSecond}
}

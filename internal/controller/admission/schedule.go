package admission

import (
	"math"
	"slices"
	"time"

	"gullrudder/internal/controller/estimate"
	"gullrudder/internal/controller/jobs"
)

const (
	// maxIntervals bounds the length of a plan. The time beyond it counts as one long interval.
	maxIntervals = 240
	// workTolerance is the amount of work, in CPU seconds, that counts as zero.
	workTolerance = 1e-9
)

// Capacity is the capacity of the cluster that a plan distributes.
type Capacity struct {
	CPUs        float64       // of the machines that are up or booting
	MachineCPUs float64       // of the largest machine type; RoundUp rounds to it; 0: no rounding
	GrowthCPUs  float64       // estimate of the CPUs that can still be requested from the cloud
	BootTime    time.Duration // from the request for a machine until it can run tasks
	// TasksAllowedByQuota returns how many more tasks of a job its team's quota allows to run; nil: no quota.
	TasksAllowedByQuota func(job *jobs.Job) int
}

// StartableTasks returns the number of waiting tasks of the job that its team's quota allows to run.
func (c Capacity) StartableTasks(job *jobs.Job) int {
	if c.TasksAllowedByQuota == nil {
		return job.WaitingTasks()
	}
	return min(job.WaitingTasks(), c.TasksAllowedByQuota(job))
}

// schedule is a plan that reserves CPUs for jobs (§3.3.3). It divides the time from now on into intervals of equal length.
type schedule struct {
	now           time.Time
	interval      time.Duration
	capacity      Capacity
	withheldShare float64   // share of the capacity that deadline jobs cannot use
	reservedCPUs  []float64 // by interval
}

// planGuaranteed reserves CPUs for the jobs, the earliest deadline first. It returns the plan and the jobs that fit. It sorts
// the list in place.
func (p *Planner) planGuaranteed(now time.Time, guaranteed []guaranteedJob, capacity Capacity) (*schedule, map[*jobs.Job]bool) {
	slices.SortFunc(guaranteed, compareDeadlines)
	plan := &schedule{
		now:           now,
		interval:      p.options.PlanningInterval,
		capacity:      capacity,
		withheldShare: p.options.AgedShare + p.fairShare.ReservedCPUShare(),
	}
	feasible := map[*jobs.Job]bool{}
	for _, entry := range guaranteed {
		if p.reserve(plan, entry.job) {
			feasible[entry.job] = true
		}
	}
	return plan, feasible
}

// reserve reserves CPUs for the remaining work of the job. If the work does not fit, it reserves nothing and returns false.
func (p *Planner) reserve(plan *schedule, job *jobs.Job) bool {
	return plan.reserve(job, p.estimator.TaskRunTime(job), p.estimator.RemainingCPUSeconds(job, plan.now))
}

// reserve reserves CPUs for the given work before the job's deadline. If the work does not fit, it reserves nothing and
// returns false.
func (s *schedule) reserve(job *jobs.Job, taskRunTime time.Duration, cpuSeconds float64) bool {
	remaining := job.DueAt().Sub(s.now)
	if remaining <= 0 {
		// No interval is left before the deadline.
		return cpuSeconds <= workTolerance
	}
	if len(job.ActiveAttempts) == 0 && remaining < taskRunTime {
		return false
	}
	cpusByInterval, unplaced := s.fitIntoIntervals(job, remaining, cpuSeconds)
	if unplaced > workTolerance {
		return false
	}
	for interval, cpus := range cpusByInterval {
		s.reservedCPUs[interval] += cpus
	}
	return true
}

// fitIntoIntervals returns the CPUs that the job can get in each interval before its deadline, and the CPU seconds that do
// not fit. It reserves nothing.
func (s *schedule) fitIntoIntervals(
	job *jobs.Job, remaining time.Duration, cpuSeconds float64,
) (cpusByInterval []float64, unplaced float64) {
	taskCPUs := estimate.CountedCPUs(job)
	width := RoundUp(float64(job.Tasks-job.DoneTasks)*taskCPUs, s.capacity.MachineCPUs)
	lastInterval := min(int(remaining/s.interval), maxIntervals)
	cpusByInterval = make([]float64, 0, lastInterval+1)
	for interval := 0; interval <= lastInterval && cpuSeconds > workTolerance; interval++ {
		seconds := s.interval.Seconds()
		if interval == lastInterval {
			// Only the part of the last interval before the deadline counts.
			seconds = (remaining - time.Duration(lastInterval)*s.interval).Seconds()
		}
		if seconds <= 0 {
			break
		}
		neededTasks := math.Ceil(cpuSeconds/seconds/taskCPUs - workTolerance)
		cpus := min(width, s.freeCPUs(interval), neededTasks*taskCPUs)
		cpusByInterval = append(cpusByInterval, cpus)
		cpuSeconds -= cpus * seconds
	}
	return cpusByInterval, cpuSeconds
}

// freeCPUs returns the CPUs of an interval that are neither withheld nor reserved.
func (s *schedule) freeCPUs(interval int) float64 {
	for len(s.reservedCPUs) <= interval {
		s.reservedCPUs = append(s.reservedCPUs, 0)
	}
	cpus := s.capacity.CPUs
	if time.Duration(interval)*s.interval >= s.capacity.BootTime {
		cpus += s.capacity.GrowthCPUs
	}
	return max(cpus*(1-s.withheldShare)-s.reservedCPUs[interval], 0)
}

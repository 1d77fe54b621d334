package queue

import (
	"math"
	"slices"
	"sort"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/admission"
	"gullrudder/internal/controller/fairshare"
	"gullrudder/internal/controller/jobs"
)

// legacyPlanner is the former implementation of estimates, admission and order in one type. It is the reference model for
// the packages estimate, admission and queue.
type legacyPlanner struct {
	options            config.Options
	teams              map[string]config.Team
	startObjectives    map[string][]time.Duration // by class, time limits for starting, shortest first
	finishObjectives   map[string][]time.Duration // by class, time limits for finishing, shortest first
	guaranteeObjective time.Duration              // time limit for starting jobs within a team's guarantee; 0: none
	runTimes           map[string]*legacyRunTimes
	recentSubmissions  []legacySubmission
	fairShare          *fairshare.Allocator
}

type legacyRunTimes struct {
	estimateRatio float64 // mean of measured divided by estimated run time
	samples       int
}

type legacySubmission struct {
	submittedAt time.Time
	team        string
	cpus        float64
}

func newLegacyPlanner(options config.Options, platform *config.Platform) *legacyPlanner {
	planner := &legacyPlanner{
		options: options, teams: platform.TeamsByName(), startObjectives: map[string][]time.Duration{},
		finishObjectives: map[string][]time.Duration{}, runTimes: map[string]*legacyRunTimes{},
		fairShare: fairshare.New(fairshare.PolicyOf(options)),
	}
	for _, objective := range platform.Objectives {
		switch objective.Kind {
		case "wait":
			planner.startObjectives[objective.Class] = append(planner.startObjectives[objective.Class], objective.TimeLimit)
		case "guarantee":
			planner.guaranteeObjective = max(planner.guaranteeObjective, objective.TimeLimit)
		case "finished":
			planner.finishObjectives[objective.Class] = append(planner.finishObjectives[objective.Class], objective.TimeLimit)
		}
	}
	for _, byClass := range []map[string][]time.Duration{planner.startObjectives, planner.finishObjectives} {
		for _, list := range byClass {
			slices.Sort(list)
		}
	}
	return planner
}

// SetOptions replaces the options. The measured run times stay.
func (p *legacyPlanner) SetOptions(options config.Options) {
	p.options = options
	p.fairShare.SetPolicy(fairshare.PolicyOf(options))
}

// ObserveRunTime records the run time of a completed task in the job and for its class.
func (p *legacyPlanner) ObserveRunTime(job *jobs.Job, ran time.Duration) {
	job.CompletedRunTime += ran
	job.CompletedRuns++
	if job.RunTimeEstimate <= 0 {
		return
	}
	s := p.runTimes[job.Class]
	if s == nil {
		s = &legacyRunTimes{estimateRatio: 1}
		p.runTimes[job.Class] = s
	}
	s.samples++
	weight := max(1/float64(s.samples+4), 0.01)
	s.estimateRatio += weight * (min(ran.Seconds()/job.RunTimeEstimate.Seconds(), 10) - s.estimateRatio)
}

// TaskRunTime returns the expected run time of one task of the job: the owner's estimate,
// corrected by the measured run times of its class and of the job itself.
func (p *legacyPlanner) TaskRunTime(job *jobs.Job) time.Duration {
	estimate := job.RunTimeEstimate
	if s := p.runTimes[job.Class]; s != nil {
		estimate = time.Duration(float64(estimate) * s.estimateRatio)
	}
	if job.CompletedRuns > 0 {
		// The weight of the job's own mean grows with the number of ended tasks, since
		// the first tasks to end are the short ones.
		weight := time.Duration(min(job.CompletedRuns, 8))
		estimate = (estimate*2 + job.CompletedRunTime/time.Duration(job.CompletedRuns)*weight) / (2 + weight)
	}
	return max(estimate, time.Second)
}

// RemainingCPUSeconds returns the CPU time that the job still needs. A task without CPUs counts 0.1 CPUs.
func (p *legacyPlanner) RemainingCPUSeconds(job *jobs.Job, now time.Time) float64 {
	return job.RemainingWork(p.TaskRunTime(job), now).Seconds() * max(job.CPUs, 0.1)
}

const legacyMaxIntervals = 240 // maximum number of intervals of a plan

// legacySchedule is a plan that reserves CPUs for deadline jobs in intervals of equal length, the earliest deadline first.
type legacySchedule struct {
	interval      time.Duration
	now           time.Time
	reservedCPUs  []float64
	capacity      admission.Capacity
	withheldShare float64 // share of the capacity that deadline jobs cannot use
}

// reserve reserves CPUs for a job. If its work does not fit, it reserves nothing and returns false.
func (s *legacySchedule) reserve(job *jobs.Job, taskRunTime time.Duration, work float64) bool {
	remaining := job.DueAt().Sub(s.now)
	if remaining <= 0 {
		// An overdue job has no intervals left. A negative number of intervals once crashed the process.
		return work <= 1e-9
	}
	width := admission.RoundUp(float64(job.Tasks-job.DoneTasks)*max(job.CPUs, 0.1), s.capacity.MachineCPUs)
	intervals := int(remaining / s.interval)
	if intervals > legacyMaxIntervals {
		intervals = legacyMaxIntervals
	}
	if len(job.ActiveAttempts) == 0 && remaining < taskRunTime {
		return false
	}
	// Only the part of the last interval before the deadline counts.
	lastIntervalSeconds := (remaining - time.Duration(intervals)*s.interval).Seconds()
	reserved := make([]float64, 0, intervals+1)
	for t := 0; t <= intervals && work > 1e-9; t++ {
		seconds := s.interval.Seconds()
		if t == intervals {
			seconds = max(lastIntervalSeconds, 0)
		}
		if seconds <= 0 {
			break
		}
		for len(s.reservedCPUs) <= t {
			s.reservedCPUs = append(s.reservedCPUs, 0)
		}
		cpus := s.capacity.CPUs
		if time.Duration(t)*s.interval >= s.capacity.BootTime {
			cpus += s.capacity.GrowthCPUs
		}
		granted := min(
			width,
			max(cpus*(1-s.withheldShare)-s.reservedCPUs[t], 0),
			math.Ceil(work/seconds/max(job.CPUs, 0.1)-1e-9)*max(job.CPUs, 0.1),
		)
		reserved = append(reserved, granted)
		work -= granted * seconds
	}
	if work > 1e-9 {
		return false
	}
	for t, granted := range reserved {
		s.reservedCPUs[t] += granted
	}
	return true
}

// recordSubmission counts the job against its team and returns the CPUs that the team submitted within the submission window.
func (p *legacyPlanner) recordSubmission(now time.Time, job *jobs.Job) float64 {
	cpus := float64(job.Tasks) * job.CPUs
	teamCPUs := cpus
	var recent []legacySubmission
	for _, earlier := range p.recentSubmissions {
		if now.Sub(earlier.submittedAt) < p.options.SubmissionWindow {
			recent = append(recent, earlier)
			if earlier.team == job.Team {
				teamCPUs += earlier.cpus
			}
		}
	}
	recent = append(recent, legacySubmission{now, job.Team, cpus})
	p.recentSubmissions = recent
	return teamCPUs
}

// Admit decides whether a new deadline job is guaranteed.
func (p *legacyPlanner) Admit(now time.Time, request admission.Request) bool {
	job, capacity := request.Job, request.Capacity
	submittedCPUs := p.recordSubmission(now, job)
	if job.Deadline <= 0 || job.IsService || submittedCPUs > p.options.SubmissionShare*(capacity.CPUs+capacity.GrowthCPUs) {
		return false
	}
	var guaranteed []*jobs.Job
	for _, other := range request.Live {
		if other.HasGuarantee() && !other.CrashLooping {
			guaranteed = append(guaranteed, other)
		}
	}
	plan := p.planGuaranteed(now, guaranteed, capacity, nil)
	if request.DependencyRunTime > 0 && now.Add(request.DependencyRunTime+p.TaskRunTime(job)).After(job.DueAt()) {
		return false
	}
	for _, dependency := range request.Dependencies {
		if dependency.HasGuarantee() {
			continue // already in the plan
		}
		early := *dependency
		if deadline := job.DueAt().
			Add(-p.TaskRunTime(job)); early.InheritedDeadline.IsZero() ||
			deadline.Before(early.InheritedDeadline) {
			early.InheritedDeadline = deadline
		}
		if !plan.reserve(&early, p.TaskRunTime(dependency), p.RemainingCPUSeconds(dependency, now)) {
			return false
		}
	}
	return plan.reserve(job, p.TaskRunTime(job), p.RemainingCPUSeconds(job, now))
}

// planGuaranteed reserves CPUs for the guaranteed jobs and adds those that fit to planned, unless it is nil.
func (p *legacyPlanner) planGuaranteed(
	now time.Time,
	guaranteed []*jobs.Job,
	capacity admission.Capacity,
	planned map[*jobs.Job]bool,
) *legacySchedule {
	sort.SliceStable(guaranteed, func(a, b int) bool {
		da, db := guaranteed[a].DueAt(), guaranteed[b].DueAt()
		if !da.Equal(db) {
			return da.Before(db)
		}
		return guaranteed[a].ID < guaranteed[b].ID
	})
	plan := &legacySchedule{
		interval:      p.options.PlanningInterval,
		now:           now,
		capacity:      capacity,
		withheldShare: p.options.AgedShare + p.fairShare.ReservedCPUShare(),
	}
	for _, job := range guaranteed {
		if plan.reserve(job, p.TaskRunTime(job), p.RemainingCPUSeconds(job, now)) && planned != nil {
			planned[job] = true
		}
	}
	return plan
}

// payoff returns the value of completing a job now: 0 before its deadline, -1 after it, and 1 less for each LatenessStep
// that it is late.
func (p *legacyPlanner) payoff(now time.Time, job *jobs.Job) int {
	lateness := now.Sub(job.DueAt())
	if lateness <= 0 {
		return 0
	}
	return -1 - int(lateness/p.options.LatenessStep)
}

package queue

import (
	"slices"
	"sort"
	"time"

	"gullrudder/internal/controller/admission"
	"gullrudder/internal/controller/ageing"
	"gullrudder/internal/controller/fairshare"
	"gullrudder/internal/controller/jobs"
)

// legacyEntry is an entry of the former implementation of the order, the reference model for Ranker.Order.
type legacyEntry struct {
	Job                 *jobs.Job
	MayReserve          bool
	Planned             bool
	WithinQuota         bool
	AgedFirst           bool
	MaxTasks            int
	TaskRunTime         time.Duration
	RemainingCPUSeconds float64
	Rank                int
	sortKey             float64
}

// The ranks, in serving order.
const (
	legacyRankAgedFirst = iota
	legacyRankService
	legacyRankInitialTasks
	legacyRankBelowShare
	legacyRankPlanned
	legacyRankQuotaInTime
	legacyRankQuotaOverdue
	legacyRankOverdue
	legacyRankAged
	legacyRankLimitBound
	legacyRankBestEffort
	legacyRankObjectivesMissed
	legacyRankCrashLooping
)

// legacyInputs are values that are computed from all jobs, once per call of Order.
type legacyInputs struct {
	now           time.Time
	clusterCPUs   float64
	planned       map[*jobs.Job]bool
	withinQuota   map[*jobs.Job]bool
	limitBound    map[string]bool
	agedFirst     map[*jobs.Job]bool
	awaitingStart map[*jobs.Job]bool
	allocations   map[*jobs.Job]fairshare.Reason
}

// Order ranks the jobs that may run in the way of the former implementation.
func (p *legacyPlanner) Order(now time.Time, live []*jobs.Job, capacity admission.Capacity) []legacyEntry {
	var guaranteed []*jobs.Job
	for _, job := range live {
		if job.HasGuarantee() && !job.CrashLooping && p.payoff(now, job) >= 0 {
			guaranteed = append(guaranteed, job)
		}
	}
	inputs := legacyInputs{now: now, clusterCPUs: max(capacity.CPUs, 1), planned: map[*jobs.Job]bool{}}
	p.planGuaranteed(now, guaranteed, capacity, inputs.planned)
	inputs.withinQuota = p.jobsWithinQuota(live)
	inputs.limitBound = p.limitBoundTeams(now, live, capacity)
	inputs.agedFirst = ageing.PolicyOf(p.options).FirstJobs(now, live, capacity.CPUs, capacity.StartableTasks)
	inputs.awaitingStart = p.jobsAwaitingStart(now, live, capacity)
	hasPrecedence := func(job *jobs.Job) bool { return inputs.planned[job] || inputs.agedFirst[job] }
	inputs.allocations = p.allocateOverdue(now, live, capacity, hasPrecedence)
	entries := make([]legacyEntry, 0, len(live))
	for _, job := range live {
		entries = append(entries, p.entry(&inputs, job))
	}
	sort.Slice(entries, func(a, b int) bool {
		x, y := &entries[a], &entries[b]
		if x.Rank != y.Rank {
			return x.Rank < y.Rank
		}
		if x.sortKey != y.sortKey {
			return x.sortKey < y.sortKey
		}
		return x.Job.ID < y.Job.ID
	})
	return entries
}

// entry ranks one job by the switch statement that the rules replaced.
func (p *legacyPlanner) entry(inputs *legacyInputs, job *jobs.Job) legacyEntry {
	entry := legacyEntry{Job: job, TaskRunTime: p.TaskRunTime(job), RemainingCPUSeconds: p.RemainingCPUSeconds(job, inputs.now)}
	entry.Planned, entry.WithinQuota = inputs.planned[job], inputs.withinQuota[job]
	age := inputs.now.Sub(job.EligibleSince())
	startObjective := legacyFirstObjectiveAfter(p.startObjectives[job.Class], age)
	remainingTime := entry.RemainingCPUSeconds / inputs.clusterCPUs
	switch {
	case job.CrashLooping:
		// Its tasks are retried one at a time, after all other jobs.
		entry.Rank, entry.sortKey = legacyRankCrashLooping, remainingTime
	case inputs.agedFirst[job]:
		entry.Rank, entry.sortKey, entry.MayReserve, entry.AgedFirst = legacyRankAgedFirst, -age.Seconds(), true, true
	case job.IsService:
		entry.Rank, entry.sortKey, entry.MayReserve = legacyRankService, -float64(job.Priority), true
	case inputs.awaitingStart[job]:
		entry.Rank, entry.sortKey, entry.MayReserve, entry.MaxTasks = legacyRankInitialTasks, -age.Seconds(), true, legacyInitialTaskCount(
			job,
		)
	case inputs.allocations[job] == fairshare.BelowMinShare:
		entry.Rank, entry.sortKey, entry.MayReserve = legacyRankBelowShare, remainingTime, true
	case entry.Planned:
		entry.Rank, entry.sortKey, entry.MayReserve = legacyRankPlanned, job.DueAt().Sub(inputs.now).Seconds(), true
	case entry.WithinQuota && age < p.guaranteeObjective:
		// It can still meet the objective of the guarantee.
		entry.Rank, entry.sortKey, entry.MayReserve = legacyRankQuotaInTime, entry.RemainingCPUSeconds, true
	case entry.WithinQuota:
		entry.Rank, entry.sortKey, entry.MayReserve = legacyRankQuotaOverdue, -age.Seconds(), true
	case inputs.allocations[job] == fairshare.Overdue:
		entry.Rank, entry.sortKey, entry.MayReserve = legacyRankOverdue, remainingTime, true
	case age > p.options.AgeBound:
		entry.Rank, entry.sortKey, entry.MayReserve = legacyRankAged, -age.Seconds(), true
	case p.objectivesMissed(job, age, entry.TaskRunTime):
		entry.Rank, entry.sortKey = legacyRankObjectivesMissed, remainingTime
	case startObjective > 0 && age > startObjective*2/3:
		// It has used two thirds of the time limit for starting its tasks.
		entry.Rank, entry.sortKey, entry.MayReserve = legacyRankAged, (startObjective - age).Seconds(), true
	case inputs.limitBound[job.Team]:
		entry.Rank, entry.sortKey, entry.MayReserve = legacyRankLimitBound, remainingTime-age.Seconds()/p.options.AgeBound.Seconds(), true
	default:
		// Ageing within the bound: the longer a job has waited, the less its remaining time counts.
		entry.Rank, entry.sortKey = legacyRankBestEffort, remainingTime-age.Seconds()/p.options.AgeBound.Seconds()
	}
	entry.MayReserve = entry.MayReserve || job.IsGang
	return entry
}

// allocateOverdue finds the overdue jobs and returns those that capacity is set aside for, each with the reason. A job is
// overdue if it can no longer meet any of its objectives or is past the age bound. Jobs with precedence are left out.
func (p *legacyPlanner) allocateOverdue(
	now time.Time,
	live []*jobs.Job,
	capacity admission.Capacity,
	hasPrecedence func(*jobs.Job) bool,
) map[*jobs.Job]fairshare.Reason {
	var overdue []fairshare.OverdueJob
	for _, job := range live {
		age := now.Sub(job.EligibleSince())
		if job.IsService || job.CrashLooping || hasPrecedence(job) ||
			age <= p.overdueAfter(now, job) && !p.objectivesMissed(job, age, p.TaskRunTime(job)) {
			continue
		}
		overdue = append(overdue, fairshare.OverdueJob{
			Job: job, RemainingCPUSeconds: p.RemainingCPUSeconds(job, now), StartableTasks: capacity.StartableTasks(job),
			IsStarved: age > min(5*p.longestTimeLimit(job)/4, p.overdueAfter(now, job)),
		})
	}
	return p.fairShare.Allocate(now, overdue, live, capacity.CPUs)
}

// overdueAfter returns the age after which a job is overdue even if it can still meet its objectives: the age bound, or less
// if no job of its class was done recently. Without the shorter age, only two of six jobs with long objectives were done by
// the end of the simulated run (a4e2-15).
func (p *legacyPlanner) overdueAfter(now time.Time, job *jobs.Job) time.Duration {
	if p.options.StartBound > 0 && p.fairShare.NoneDoneRecently(now, job.Class) {
		wait := 8 * p.options.StartBound / 5
		if p.TaskRunTime(job) > p.options.StartBound {
			wait = p.options.StartBound // with tasks this long, a later start would finish late or not at all
		}
		return min(wait, p.options.AgeBound)
	}
	return p.options.AgeBound
}

// legacyInitialTasksShare is the share of the cluster's CPUs for the initial tasks of all jobs that await their first start.
const legacyInitialTasksShare = 0.05

// legacyInitialTaskCount returns how many tasks of a job run at a time for its first start. All tasks of a gang start together.
func legacyInitialTaskCount(job *jobs.Job) int {
	if job.IsGang {
		return job.Tasks
	}
	return min(max(job.Tasks/100, 1), 8)
}

// jobsAwaitingStart returns jobs that had no task started within StartBound, the oldest first, until their initial tasks use
// up their share.
func (p *legacyPlanner) jobsAwaitingStart(now time.Time, live []*jobs.Job, capacity admission.Capacity) map[*jobs.Job]bool {
	if p.options.StartBound <= 0 {
		return nil
	}
	var awaiting []*jobs.Job
	for _, job := range live {
		if !job.IsService && !job.CrashLooping && job.DoneTasks+len(job.ActiveAttempts) == 0 &&
			now.Sub(job.EligibleSince()) > p.options.StartBound &&
			capacity.StartableTasks(job) > 0 {
			awaiting = append(awaiting, job)
		}
	}
	slices.SortFunc(awaiting, func(a, b *jobs.Job) int {
		if ageing.IsOlder(a, b) {
			return -1
		}
		return 1
	})
	marked := map[*jobs.Job]bool{}
	usedCPUs := 0.0
	for _, job := range awaiting {
		if usedCPUs >= legacyInitialTasksShare*capacity.CPUs && len(marked) > 0 {
			break
		}
		marked[job] = true
		usedCPUs += float64(legacyInitialTaskCount(job)) * max(job.CPUs, 0.1)
	}
	return marked
}

// longestTimeLimit returns the longest time limit of the job's objectives and its deadline; the age bound if it has neither.
func (p *legacyPlanner) longestTimeLimit(job *jobs.Job) time.Duration {
	longest := 3 * job.TimeToDeadline() / 2
	if finishObjectives := p.finishObjectives[job.Class]; len(finishObjectives) > 0 {
		longest = max(longest, finishObjectives[len(finishObjectives)-1])
	}
	if startObjectives := p.startObjectives[job.Class]; len(startObjectives) > 0 {
		longest = max(longest, startObjectives[len(startObjectives)-1]+p.TaskRunTime(job))
	}
	if longest <= 0 {
		return p.options.AgeBound
	}
	return longest
}

// RankReason returns the explanation of the rank that users see.
func (e *legacyEntry) RankReason() string {
	return [...]string{
		"aged, within the share that is kept",
		"service",
		"to begin, after a long wait",
		"late, and of a class or team that is served least",
		"guaranteed, its plan fits",
		"within its team's guarantee",
		"within its team's guarantee, late",
		"late, within the share that is kept",
		"aged",
		"its team is bound by its limit",
		"shortest remaining time",
		"its aims are missed",
		"its tasks fail wherever they are tried",
	}[e.Rank]
}

// legacyMinLimitBoundTime is the time that a team's work at its quota has to exceed for the team to be limit-bound.
const legacyMinLimitBoundTime = time.Minute

// limitBoundTeams returns the teams whose work, at their quota, takes longer than legacyMinLimitBoundTime and longer than the
// cluster needs for the work of all teams.
func (p *legacyPlanner) limitBoundTeams(now time.Time, live []*jobs.Job, capacity admission.Capacity) map[string]bool {
	workByTeam, totalWork := map[string]float64{}, 0.0
	for _, job := range live {
		work := p.RemainingCPUSeconds(job, now)
		workByTeam[job.Team] += work
		totalWork += work
	}
	minSeconds := max(legacyMinLimitBoundTime.Seconds(), totalWork/max(capacity.CPUs, 1))
	marked := map[string]bool{}
	for name, work := range workByTeam {
		if limit := p.teams[name].CPULimit; limit > 0 && work > limit*minSeconds {
			marked[name] = true
		}
	}
	return marked
}

// legacyFirstObjectiveAfter returns the first of the sorted time limits that is longer than age, or 0.
func legacyFirstObjectiveAfter(objectives []time.Duration, age time.Duration) time.Duration {
	for _, objective := range objectives {
		if objective > age {
			return objective
		}
	}
	return 0
}

// objectivesMissed reports whether the job has objectives or a deadline and can no longer meet any of them.
func (p *legacyPlanner) objectivesMissed(job *jobs.Job, age, taskRunTime time.Duration) bool {
	startObjectives, finishObjectives := p.startObjectives[job.Class], p.finishObjectives[job.Class]
	if len(startObjectives)+len(finishObjectives) == 0 && job.TimeToDeadline() <= 0 {
		return false
	}
	earliestFinish := age + taskRunTime
	return legacyFirstObjectiveAfter(startObjectives, age) == 0 && legacyFirstObjectiveAfter(finishObjectives, earliestFinish) == 0 &&
		(job.TimeToDeadline() <= 0 || job.TimeToDeadline() <= earliestFinish)
}

// jobsWithinQuota returns the jobs that fit into their team's guaranteed quota together with all earlier unfinished jobs of
// the team.
func (p *legacyPlanner) jobsWithinQuota(live []*jobs.Job) map[*jobs.Job]bool {
	byTeam := map[string][]*jobs.Job{}
	for _, job := range live {
		if team := p.teams[job.Team]; team.GuaranteedCPUs > 0 || team.GuaranteedGPUs > 0 {
			byTeam[job.Team] = append(byTeam[job.Team], job)
		}
	}
	marked := map[*jobs.Job]bool{}
	for name, list := range byTeam {
		sort.Slice(list, func(a, b int) bool {
			if !list[a].SubmittedAt.Equal(list[b].SubmittedAt) {
				return list[a].SubmittedAt.Before(list[b].SubmittedAt)
			}
			return list[a].ID < list[b].ID
		})
		team := p.teams[name]
		var cpus, gpus float64
		for _, job := range list {
			cpus += float64(job.Tasks) * job.CPUs
			gpus += float64(job.Tasks) * job.GPUs
			if cpus > team.GuaranteedCPUs+1e-6 || gpus > team.GuaranteedGPUs+1e-6 {
				break
			}
			marked[job] = true
		}
	}
	return marked
}

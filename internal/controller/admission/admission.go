// Package admission is the term-by-term plan: which deadline jobs are guaranteed, and in
// which order the waiting tasks get room.
package admission

import (
	"math"
	"slices"
	"sort"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/ageing"
	"gullrudder/internal/controller/fairshare"
	"gullrudder/internal/controller/jobs"
)

// Planner holds what the plan is made from.
type Planner struct {
	options            config.Options
	teams              map[string]config.Team
	startObjectives    map[string][]time.Duration // aims of a class for starting, earliest first
	finishObjectives   map[string][]time.Duration // aims of a class for finishing, earliest first
	guaranteeObjective time.Duration              // aim for starting what a team's guarantee covers; 0: none
	runTimes           map[string]*classRunTimes
	recentSubmissions  []submission
	fairShare          *fairshare.Allocator
}

type classRunTimes struct {
	estimateRatio float64 // actual run time over the owners' estimates
	samples       int
}

type submission struct {
	submittedAt time.Time
	team        string
	cpus        float64
}

// New makes a planner.
func New(options config.Options, platform *config.Platform) *Planner {
	planner := &Planner{
		options: options, teams: platform.TeamsByName(), startObjectives: map[string][]time.Duration{},
		finishObjectives: map[string][]time.Duration{}, runTimes: map[string]*classRunTimes{},
		fairShare: fairshare.New(fairSharePolicy(options)),
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

// SetOptions takes other options; what was learnt stays.
func (p *Planner) SetOptions(options config.Options) {
	p.options = options
	p.fairShare.SetPolicy(fairSharePolicy(options))
}

func fairSharePolicy(options config.Options) fairshare.Policy {
	return fairshare.Policy{
		Window:          options.FairShareWindow,
		MinServedShare:  options.MinServedShare,
		CatchUpCPUShare: options.FairShareCapacity,
		OverdueCPUShare: options.OverdueShare,
	}
}

// FairShare is what is known of how each class and team was served.
func (p *Planner) FairShare() *fairshare.Allocator { return p.fairShare }

// ObserveRunTime takes in how long a task of the job has run.
func (p *Planner) ObserveRunTime(job *jobs.Job, ran time.Duration) {
	job.CompletedRunTime += ran
	job.CompletedRuns++
	if job.RunTimeEstimate <= 0 {
		return
	}
	s := p.runTimes[job.Class]
	if s == nil {
		s = &classRunTimes{estimateRatio: 1}
		p.runTimes[job.Class] = s
	}
	s.samples++
	weight := max(1/float64(s.samples+4), 0.01)
	s.estimateRatio += weight * (min(ran.Seconds()/job.RunTimeEstimate.Seconds(), 10) - s.estimateRatio)
}

// TaskRunTime is the expected run time of one of the job's tasks: the owner's estimate,
// corrected by what its class and the job itself have shown.
func (p *Planner) TaskRunTime(job *jobs.Job) time.Duration {
	estimate := job.RunTimeEstimate
	if s := p.runTimes[job.Class]; s != nil {
		estimate = time.Duration(float64(estimate) * s.estimateRatio)
	}
	if job.CompletedRuns > 0 {
		// The first tasks to end are the short ones, so the job's own mean weighs more
		// the more of them there are.
		weight := time.Duration(min(job.CompletedRuns, 8))
		estimate = (estimate*2 + job.CompletedRunTime/time.Duration(job.CompletedRuns)*weight) / (2 + weight)
	}
	return max(estimate, time.Second)
}

// RemainingCPUSeconds is the CPU time that the job still needs; a task that takes none counts a little.
func (p *Planner) RemainingCPUSeconds(job *jobs.Job, now time.Time) float64 {
	return job.RemainingWork(p.TaskRunTime(job), now).Seconds() * max(job.CPUs, 0.1)
}

// DueAt is when a deadline job has to be complete.
func DueAt(job *jobs.Job) time.Time {
	due, _ := job.DueAt()
	return due
}

// Capacity is the fleet that the plan counts on.
type Capacity struct {
	CPUs        float64       // of the machines that are there or booting
	MachineCPUs float64       // of the machine type that jobs are rounded up to
	GrowthCPUs  float64       // CPUs that can still be rented, as far as is known
	BootTime    time.Duration // until rented machines serve
	// StartableTasks is how many more tasks of a job its team's limit lets run; nil: all that wait.
	StartableTasks func(j *jobs.Job) int
}

func (r Capacity) startableTasks(job *jobs.Job) int {
	if r.StartableTasks == nil {
		return job.WaitingTasks()
	}
	return min(job.WaitingTasks(), r.StartableTasks(job))
}

const maxTerms = 240 // terms that are planned at most

// schedule lays deadline jobs, tightest first, into terms. What does not fit before its
// deadline is dropped, the job with the lowest payoff first; lost holds the dropped.
type schedule struct {
	term          time.Duration
	now           time.Time
	reservedCPUs  []float64
	capacity      Capacity
	withheldShare float64 // share of the room that is kept for the aged, and promised to nobody
}

// reserve tries to hold room for a job and reports whether it fits; if not, nothing is held.
func (s *schedule) reserve(job *jobs.Job, perTask time.Duration, work float64) bool {
	remaining := DueAt(job).Sub(s.now)
	if remaining <= 0 {
		// A job that is late already has no terms left; counting them below zero once
		// ended the process.
		return work <= 1e-9
	}
	width := RoundUp(float64(job.Tasks-job.DoneTasks)*max(job.CPUs, 0.1), s.capacity.MachineCPUs)
	terms := int(remaining / s.term)
	if terms > maxTerms {
		terms = maxTerms
	}
	if len(job.ActiveAttempts) == 0 && remaining < perTask {
		return false
	}
	// The last term counts as far as the deadline reaches into it.
	lastTermSeconds := (remaining - time.Duration(terms)*s.term).Seconds()
	reserved := make([]float64, 0, terms+1)
	for t := 0; t <= terms && work > 1e-9; t++ {
		span := s.term.Seconds()
		if t == terms {
			span = max(lastTermSeconds, 0)
		}
		if span <= 0 {
			break
		}
		for len(s.reservedCPUs) <= t {
			s.reservedCPUs = append(s.reservedCPUs, 0)
		}
		cpus := s.capacity.CPUs
		if time.Duration(t)*s.term >= s.capacity.BootTime {
			cpus += s.capacity.GrowthCPUs
		}
		granted := min(width, max(cpus*(1-s.withheldShare)-s.reservedCPUs[t], 0), math.Ceil(work/span/max(job.CPUs, 0.1)-1e-9)*max(job.CPUs, 0.1))
		reserved = append(reserved, granted)
		work -= granted * span
	}
	if work > 1e-9 {
		return false
	}
	for t, granted := range reserved {
		s.reservedCPUs[t] += granted
	}
	return true
}

// Admit decides whether a new deadline job is guaranteed: its terms fit before its
// deadline beside what is held for the guaranteed jobs, and its team stays within its
// share of the fleet. before is how long the jobs take at least that it needs, by the longest way through them, and needs are
// these jobs: their terms have to fit as well, before the last of their own.
func (p *Planner) Admit(
	now time.Time,
	job *jobs.Job,
	live []*jobs.Job,
	capacity Capacity,
	dependencyRunTime time.Duration,
	dependencies []*jobs.Job,
) bool {
	cpus := float64(job.Tasks) * job.CPUs
	share := cpus
	recent := p.recentSubmissions[:0]
	for _, plan := range p.recentSubmissions {
		if now.Sub(plan.submittedAt) < p.options.SubmissionWindow {
			recent = append(recent, plan)
			if plan.team == job.Team {
				share += plan.cpus
			}
		}
	}
	p.recentSubmissions = append(recent, submission{now, job.Team, cpus})
	if job.Deadline <= 0 || job.IsService || share > p.options.SubmissionShare*(capacity.CPUs+capacity.GrowthCPUs) {
		return false
	}
	var guaranteed []*jobs.Job
	for _, other := range live {
		if other.HasGuarantee() && !other.CrashLooping {
			guaranteed = append(guaranteed, other)
		}
	}
	plan := p.planGuaranteed(now, guaranteed, capacity, nil)
	if dependencyRunTime > 0 && now.Add(dependencyRunTime+p.TaskRunTime(job)).After(DueAt(job)) {
		return false
	}
	for _, dependency := range dependencies {
		if dependency.HasGuarantee() {
			continue // in the list
		}
		early := *dependency
		if deadline := DueAt(job).Add(-p.TaskRunTime(job)); early.InheritedDeadline.IsZero() || deadline.Before(early.InheritedDeadline) {
			early.InheritedDeadline = deadline
		}
		if !plan.reserve(&early, p.TaskRunTime(dependency), p.RemainingCPUSeconds(dependency, now)) {
			return false
		}
	}
	return plan.reserve(job, p.TaskRunTime(job), p.RemainingCPUSeconds(job, now))
}

// planGuaranteed lays the guaranteed jobs. planned, if given, gets those that fit.
func (p *Planner) planGuaranteed(now time.Time, guaranteed []*jobs.Job, capacity Capacity, planned map[*jobs.Job]bool) *schedule {
	sort.SliceStable(guaranteed, func(a, b int) bool {
		da, db := DueAt(guaranteed[a]), DueAt(guaranteed[b])
		if !da.Equal(db) {
			return da.Before(db)
		}
		return guaranteed[a].ID < guaranteed[b].ID
	})
	plan := &schedule{
		term:          p.options.PlanningInterval,
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

// payoff is what completing a job is worth, in steps: a whole step less for every step
// of lateness.
func (p *Planner) payoff(now time.Time, job *jobs.Job) int {
	lateness := now.Sub(DueAt(job))
	if lateness <= 0 {
		return 0
	}
	return -1 - int(lateness/p.options.LatenessStep)
}

// Entry is a job in the order, with what the packing needs to know.
type Entry struct {
	Job                 *jobs.Job
	MayReserve          bool // free room may be held for it
	Planned             bool // guaranteed, and its terms fit
	WithinQuota         bool // within its team's guarantee
	AgedFirst           bool // aged, and before everything else
	MaxTasks            int  // tasks that it is to have at a time; 0: as many as can be
	TaskRunTime         time.Duration
	RemainingCPUSeconds float64
	Rank                int // the lower the earlier; within a rank the order is by key
	sortKey             float64
}

// Ranks, the first first.
const (
	rankAgedFirst = iota
	rankService
	rankInitialTasks
	rankBelowShare
	rankPlanned
	rankQuotaInTime
	rankQuotaOverdue
	rankOverdue
	rankAged
	rankLimitBound
	rankBestEffort
	rankObjectivesMissed
	rankCrashLooping
)

// AgeingPolicy are those of the aged.
func (p *Planner) AgeingPolicy() ageing.Policy {
	return ageing.Policy{AgeBound: p.options.AgeBound, Share: p.options.AgedShare, EstimateError: p.options.EstimateError}
}

// Order ranks the jobs that may run: the oldest of the aged, as far as the share goes that is
// kept for them, services by their priority, late jobs of classes and teams that are served least, the
// guaranteed jobs by deadline, then best effort: what a team's guarantee covers, late jobs within their share, what has waited past its
// bound, what is bound by its team's limit, then the shortest remaining time. Payoff steps: a job whose last aim is missed
// already earns nothing by being early and goes last, until it has waited past the
// operators' bound.
func (p *Planner) Order(now time.Time, live []*jobs.Job, capacity Capacity) []Entry {
	var guaranteed []*jobs.Job
	for _, job := range live {
		if job.HasGuarantee() && !job.CrashLooping && p.payoff(now, job) >= 0 {
			guaranteed = append(guaranteed, job)
		}
	}
	planned := map[*jobs.Job]bool{}
	p.planGuaranteed(now, guaranteed, capacity, planned)
	withinQuota := p.jobsWithinQuota(live)
	limitBound := p.limitBoundTeams(now, live, capacity)
	agedFirst := p.AgeingPolicy().FirstJobs(now, live, capacity.CPUs, capacity.startableTasks)
	awaitingStart := p.jobsAwaitingStart(now, live, capacity)
	allocations := p.allocateOverdue(now, live, capacity, func(job *jobs.Job) bool { return planned[job] || agedFirst[job] })
	entries := make([]Entry, 0, len(live))
	for _, job := range live {
		entry := Entry{
			Job:                 job,
			TaskRunTime:         p.TaskRunTime(job),
			RemainingCPUSeconds: p.RemainingCPUSeconds(job, now),
			Planned:             planned[job],
			WithinQuota:         withinQuota[job],
		}
		age := now.Sub(job.EligibleSince())
		startObjective := firstObjectiveAfter(p.startObjectives[job.Class], age)
		remainingTime := entry.RemainingCPUSeconds / max(capacity.CPUs, 1)
		switch {
		case job.CrashLooping:
			// It is tried now and then, and takes nobody's place for that.
			entry.Rank, entry.sortKey = rankCrashLooping, remainingTime
		case agedFirst[job]:
			entry.Rank, entry.sortKey, entry.MayReserve, entry.AgedFirst = rankAgedFirst, -age.Seconds(), true, true
		case job.IsService:
			entry.Rank, entry.sortKey, entry.MayReserve = rankService, -float64(job.Priority), true
		case awaitingStart[job]:
			entry.Rank, entry.sortKey, entry.MayReserve, entry.MaxTasks = rankInitialTasks, -age.Seconds(), true, initialTaskCount(job)
		case allocations[job] == fairshare.BelowMinShare:
			entry.Rank, entry.sortKey, entry.MayReserve = rankBelowShare, remainingTime, true
		case entry.Planned:
			entry.Rank, entry.sortKey, entry.MayReserve = rankPlanned, DueAt(job).Sub(now).Seconds(), true
		case entry.WithinQuota && age < p.guaranteeObjective:
			// It can still start in the time that the guarantee is aimed at.
			entry.Rank, entry.sortKey, entry.MayReserve = rankQuotaInTime, entry.RemainingCPUSeconds, true
		case entry.WithinQuota:
			entry.Rank, entry.sortKey, entry.MayReserve = rankQuotaOverdue, -age.Seconds(), true
		case allocations[job] == fairshare.Overdue:
			entry.Rank, entry.sortKey, entry.MayReserve = rankOverdue, remainingTime, true
		case age > p.options.AgeBound:
			entry.Rank, entry.sortKey, entry.MayReserve = rankAged, -age.Seconds(), true
		case p.objectivesMissed(job, age, entry.TaskRunTime):
			entry.Rank, entry.sortKey = rankObjectivesMissed, remainingTime
		case startObjective > 0 && age > startObjective*2/3:
			// Two thirds of the time in which its tasks are to start are gone.
			entry.Rank, entry.sortKey, entry.MayReserve = rankAged, (startObjective - age).Seconds(), true
		case limitBound[job.Team]:
			entry.Rank, entry.sortKey, entry.MayReserve = rankLimitBound, remainingTime-age.Seconds()/p.options.AgeBound.Seconds(), true
		default:
			// Ageing within the bound: waiting makes the remaining time count less.
			entry.Rank, entry.sortKey = rankBestEffort, remainingTime-age.Seconds()/p.options.AgeBound.Seconds()
		}
		entry.MayReserve = entry.MayReserve || job.IsGang
		entries = append(entries, entry)
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

// allocateOverdue finds the jobs that can keep none of their aims any more, or are past the age bound, and which of
// them have room of their own now. Those that go ahead in any case are none of them.
func (p *Planner) allocateOverdue(
	now time.Time,
	live []*jobs.Job,
	capacity Capacity,
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
			Job: job, RemainingCPUSeconds: p.RemainingCPUSeconds(job, now), StartableTasks: capacity.startableTasks(job),
			IsUnserved: age > min(5*p.longestAllowed(job)/4, p.overdueAfter(now, job)),
		})
	}
	return p.fairShare.Allocate(now, overdue, live, capacity.CPUs)
}

// overdueAfter is from when on a job is late whatever its aims say: past the age bound, and sooner if nothing of its
// class was done of late. A guest's six jobs, with wide aims, were nobody's concern until the age bound, and two of
// them were done by the end of the day (hunt day a4e2-15).
func (p *Planner) overdueAfter(now time.Time, job *jobs.Job) time.Duration {
	if p.options.StartBound > 0 && p.fairShare.NoneDoneRecently(now, job.Class) {
		wait := 8 * p.options.StartBound / 5
		if p.TaskRunTime(job) > p.options.StartBound {
			wait = p.options.StartBound // its tasks take so long that who waits longer is done late, or not at all
		}
		return min(wait, p.options.AgeBound)
	}
	return p.options.AgeBound
}

// initialTasksShare is which part of the fleet jobs may have that are to begin, for their beginnings.
const initialTasksShare = 0.05

// initialTaskCount is how many tasks at a time are a beginning of an array: it may take any width. A gang begins as a whole.
func initialTaskCount(job *jobs.Job) int {
	if job.IsGang {
		return job.Tasks
	}
	return min(max(job.Tasks/100, 1), 8)
}

// jobsAwaitingStart finds the jobs of which nothing has begun within the bound, the oldest first, as far as their share goes.
// Shortest remaining time first puts the largest last, and they began after more than four minutes.
func (p *Planner) jobsAwaitingStart(now time.Time, live []*jobs.Job, capacity Capacity) map[*jobs.Job]bool {
	if p.options.StartBound <= 0 {
		return nil
	}
	var awaiting []*jobs.Job
	for _, job := range live {
		if !job.IsService && !job.CrashLooping && job.DoneTasks+len(job.ActiveAttempts) == 0 &&
			now.Sub(job.EligibleSince()) > p.options.StartBound &&
			capacity.startableTasks(job) > 0 {
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
		if usedCPUs >= initialTasksShare*capacity.CPUs && len(marked) > 0 {
			break
		}
		marked[job] = true
		usedCPUs += float64(initialTaskCount(job)) * max(job.CPUs, 0.1)
	}
	return marked
}

// longestAllowed is how long the job may take by the widest of its aims; without any, the age bound.
func (p *Planner) longestAllowed(job *jobs.Job) time.Duration {
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

// RankReason says why an entry is where it is in the order.
func (e *Entry) RankReason() string {
	return [...]string{
		"aged, within the share that is kept", "service", "to begin, after a long wait", "late, and of a class or team that is served least", "guaranteed, its plan fits", "within its team's guarantee",
		"within its team's guarantee, late", "late, within the share that is kept", "aged", "its team is bound by its limit", "shortest remaining time", "its aims are missed", "its tasks fail wherever they are tried",
	}[e.Rank]
}

// minLimitedWork is how long a team's work must last at its limit for the team to go ahead.
const minLimitedWork = time.Minute

// limitBoundTeams marks the teams whose work lasts long even with all that their limits allow, and
// longer than the fleet needs for the work of all teams. What such a team does not use of its
// limit now it cannot make up for later, however many machines there are then.
func (p *Planner) limitBoundTeams(now time.Time, live []*jobs.Job, capacity Capacity) map[string]bool {
	workByTeam, totalWork := map[string]float64{}, 0.0
	for _, job := range live {
		work := p.RemainingCPUSeconds(job, now)
		workByTeam[job.Team] += work
		totalWork += work
	}
	minSeconds := max(minLimitedWork.Seconds(), totalWork/max(capacity.CPUs, 1))
	marked := map[string]bool{}
	for name, work := range workByTeam {
		if limit := p.teams[name].CPULimit; limit > 0 && work > limit*minSeconds {
			marked[name] = true
		}
	}
	return marked
}

// firstObjectiveAfter is the first of the sorted aims that lies after age, or 0.
func firstObjectiveAfter(objectives []time.Duration, age time.Duration) time.Duration {
	for _, objective := range objectives {
		if objective > age {
			return objective
		}
	}
	return 0
}

// objectivesMissed reports whether the job has aims and can keep none of them any more: for each, the
// wait at which all its tasks have to be started is over.
func (p *Planner) objectivesMissed(job *jobs.Job, age, perTask time.Duration) bool {
	startObjectives, finishObjectives := p.startObjectives[job.Class], p.finishObjectives[job.Class]
	if len(startObjectives)+len(finishObjectives) == 0 && job.TimeToDeadline() <= 0 {
		return false
	}
	earliestFinish := age + perTask
	return firstObjectiveAfter(startObjectives, age) == 0 && firstObjectiveAfter(finishObjectives, earliestFinish) == 0 &&
		(job.TimeToDeadline() <= 0 || job.TimeToDeadline() <= earliestFinish)
}

// jobsWithinQuota marks the jobs that fit into their team's guarantee together with the team's
// earlier unfinished jobs.
func (p *Planner) jobsWithinQuota(live []*jobs.Job) map[*jobs.Job]bool {
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

package queue

import (
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/fairshare"
)

// rule ranks the jobs that it matches. A rule never changes the candidate.
type rule interface {
	// matches reports whether the rule applies to the job. It is called only if no earlier rule matched.
	matches(c *candidate) bool
	// position returns the position of a job that the rule matches.
	position(c *candidate) position
}

// position is the position of a job in the order.
type position struct {
	rank       Rank
	sortKey    float64 // order within the rank, lowest first
	mayReserve bool    // machines may be reserved for the job
	maxTasks   int     // maximum number of tasks that run at a time; 0: no limit
}

// newRules returns the rules in the order in which they are tried. The last one matches every job. The order of the rules
// differs from that of the ranks.
func newRules(options config.Options, objectives *objectives) []rule {
	return []rule{
		crashLoopingRule{},
		agedFirstRule{},
		serviceRule{},
		initialTasksRule{},
		belowMinShareRule{},
		plannedRule{},
		quotaInTimeRule{objectives},
		quotaOverdueRule{},
		overdueRule{},
		agedRule{options.AgeBound},
		objectivesMissedRule{objectives},
		startObjectiveRule{objectives},
		limitBoundRule{options.AgeBound},
		bestEffortRule{options.AgeBound},
	}
}

// crashLoopingRule ranks jobs whose tasks fail on every machine after all other jobs. Their tasks are retried one at a time.
type crashLoopingRule struct{}

func (crashLoopingRule) matches(c *candidate) bool { return c.job.CrashLooping }

func (crashLoopingRule) position(c *candidate) position {
	return position{rank: RankCrashLooping, sortKey: c.remainingSeconds}
}

// agedFirstRule ranks the oldest aged jobs before all other jobs, until their share of the cluster is used up.
type agedFirstRule struct{}

func (agedFirstRule) matches(c *candidate) bool { return c.isAgedFirst }

func (agedFirstRule) position(c *candidate) position {
	return position{rank: RankAgedFirst, sortKey: -c.age.Seconds(), mayReserve: true}
}

// serviceRule ranks services by priority, the highest first.
type serviceRule struct{}

func (serviceRule) matches(c *candidate) bool { return c.job.IsService }

func (serviceRule) position(c *candidate) position {
	return position{rank: RankService, sortKey: -float64(c.job.Priority), mayReserve: true}
}

// initialTasksRule ranks jobs that had no task started within StartBound, the oldest first. It limits them to their initial tasks.
type initialTasksRule struct{}

func (initialTasksRule) matches(c *candidate) bool { return c.awaitsStart }

func (initialTasksRule) position(c *candidate) position {
	return position{rank: RankInitialTasks, sortKey: -c.age.Seconds(), mayReserve: true, maxTasks: initialTaskCount(c.job)}
}

// belowMinShareRule ranks overdue jobs of classes and teams that are served less than the minimum share, the shortest
// remaining time first.
type belowMinShareRule struct{}

func (belowMinShareRule) matches(c *candidate) bool {
	return c.overdueReason == fairshare.BelowMinShare
}

func (belowMinShareRule) position(c *candidate) position {
	return position{rank: RankBelowMinShare, sortKey: c.remainingSeconds, mayReserve: true}
}

// plannedRule ranks guaranteed jobs whose work fits before their deadlines, the earliest deadline first.
type plannedRule struct{}

func (plannedRule) matches(c *candidate) bool { return c.isPlanned }

func (plannedRule) position(c *candidate) position {
	return position{rank: RankPlanned, sortKey: c.job.DueAt().Sub(c.now).Seconds(), mayReserve: true}
}

// quotaInTimeRule ranks jobs within their team's guaranteed quota that can still meet the objective of the guarantee, the
// least remaining work first.
type quotaInTimeRule struct{ objectives *objectives }

func (r quotaInTimeRule) matches(c *candidate) bool {
	return c.isWithinQuota && c.age < r.objectives.guarantee
}

func (quotaInTimeRule) position(c *candidate) position {
	return position{rank: RankQuotaInTime, sortKey: c.remainingCPUSeconds, mayReserve: true}
}

// quotaOverdueRule ranks the other jobs within their team's guaranteed quota, the oldest first.
type quotaOverdueRule struct{}

func (quotaOverdueRule) matches(c *candidate) bool { return c.isWithinQuota }

func (quotaOverdueRule) position(c *candidate) position {
	return position{rank: RankQuotaOverdue, sortKey: -c.age.Seconds(), mayReserve: true}
}

// overdueRule ranks overdue jobs within the share for overdue jobs, the shortest remaining time first.
type overdueRule struct{}

func (overdueRule) matches(c *candidate) bool { return c.overdueReason == fairshare.Overdue }

func (overdueRule) position(c *candidate) position {
	return position{rank: RankOverdue, sortKey: c.remainingSeconds, mayReserve: true}
}

// agedRule ranks jobs that have waited past the age bound, the oldest first.
type agedRule struct{ ageBound time.Duration }

func (r agedRule) matches(c *candidate) bool { return c.age > r.ageBound }

func (agedRule) position(c *candidate) position {
	return position{rank: RankAged, sortKey: -c.age.Seconds(), mayReserve: true}
}

// objectivesMissedRule ranks jobs that can no longer meet any of their objectives after those that can, since starting them
// early gains nothing.
type objectivesMissedRule struct{ objectives *objectives }

func (r objectivesMissedRule) matches(c *candidate) bool {
	return r.objectives.areMissed(c.job, c.age, c.taskRunTime)
}

func (objectivesMissedRule) position(c *candidate) position {
	return position{rank: RankObjectivesMissed, sortKey: c.remainingSeconds}
}

// startObjectiveRule ranks jobs that have used two thirds of the time limit for starting their tasks, the least time left
// first.
type startObjectiveRule struct{ objectives *objectives }

func (r startObjectiveRule) matches(c *candidate) bool {
	objective := r.objectives.nextStart(c.job.Class, c.age)
	return objective > 0 && c.age > objective*2/3
}

func (r startObjectiveRule) position(c *candidate) position {
	left := r.objectives.nextStart(c.job.Class, c.age) - c.age
	return position{rank: RankAged, sortKey: left.Seconds(), mayReserve: true}
}

// limitBoundRule ranks jobs of teams whose work is delayed by their quota, by shortest remaining time with ageing.
type limitBoundRule struct{ ageBound time.Duration }

func (limitBoundRule) matches(c *candidate) bool { return c.limitBound[c.job.Team] }

func (r limitBoundRule) position(c *candidate) position {
	return position{rank: RankLimitBound, sortKey: c.agedRemainingSeconds(r.ageBound), mayReserve: true}
}

// bestEffortRule ranks all other jobs by shortest remaining time with ageing (§3.3.5).
type bestEffortRule struct{ ageBound time.Duration }

func (bestEffortRule) matches(*candidate) bool { return true }

func (r bestEffortRule) position(c *candidate) position {
	return position{rank: RankBestEffort, sortKey: c.agedRemainingSeconds(r.ageBound)}
}

// agedRemainingSeconds returns the job's remaining time on the whole cluster, minus one second per age bound that the job has
// waited.
func (c *candidate) agedRemainingSeconds(ageBound time.Duration) float64 {
	return c.remainingSeconds - c.age.Seconds()/ageBound.Seconds()
}

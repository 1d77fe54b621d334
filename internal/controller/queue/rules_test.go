package queue

import (
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/fairshare"
	"gullrudder/internal/controller/jobs"
)

// testAgeBound is the age bound of the rules under test.
const testAgeBound = 100 * time.Second

var testObjectives = newObjectives([]config.Objective{
	{Kind: "wait", Class: "class", TimeLimit: time.Minute},
	{Kind: "finished", Class: "class", TimeLimit: 2 * time.Minute},
	{Kind: "guarantee", TimeLimit: 30 * time.Second},
})

// testCandidate is a job of 200 tasks, 10 s old, with 1600 CPU seconds left on a cluster of 100 CPUs.
func testCandidate(change func(c *candidate)) *candidate {
	now := time.Unix(10_000, 0)
	job := jobs.New(
		jobs.Spec{ID: "job-1", Class: "class", Team: "team", Tasks: 200, CPUs: 1, Priority: jobs.High},
		now.Add(-10*time.Second),
	)
	c := &candidate{
		orderFacts: &orderFacts{now: now, clusterCPUs: 100, limitBound: map[string]bool{}},
		job:        job, age: 10 * time.Second, taskRunTime: 8 * time.Second, remainingCPUSeconds: 1600, remainingSeconds: 16,
	}
	if change != nil {
		change(c)
	}
	return c
}

// ruleCase is a rule, a job that it matches and one that it does not match.
type ruleCase struct {
	name    string
	rule    rule
	matches func(c *candidate)
	want    position           // of the job that it matches
	not     func(c *candidate) // nil: the unchanged candidate
}

var ruleCases = []ruleCase{
	{
		name: "crash-looping", rule: crashLoopingRule{},
		matches: func(c *candidate) { c.job.CrashLooping = true },
		want:    position{rank: RankCrashLooping, sortKey: 16},
	},
	{
		name: "aged first", rule: agedFirstRule{},
		matches: func(c *candidate) { c.isAgedFirst = true },
		want:    position{rank: RankAgedFirst, sortKey: -10, mayReserve: true},
	},
	{
		name: "service", rule: serviceRule{},
		matches: func(c *candidate) { c.job.IsService = true },
		want:    position{rank: RankService, sortKey: -float64(jobs.High), mayReserve: true},
	},
	{
		name: "initial tasks", rule: initialTasksRule{},
		matches: func(c *candidate) { c.awaitsStart = true },
		want:    position{rank: RankInitialTasks, sortKey: -10, mayReserve: true, maxTasks: 2},
	},
	{
		name: "initial tasks of a gang", rule: initialTasksRule{},
		matches: func(c *candidate) { c.awaitsStart, c.job.IsGang = true, true },
		want:    position{rank: RankInitialTasks, sortKey: -10, mayReserve: true, maxTasks: 200},
	},
	{
		name: "below the minimum share", rule: belowMinShareRule{},
		matches: func(c *candidate) { c.overdueReason = fairshare.BelowMinShare },
		want:    position{rank: RankBelowMinShare, sortKey: 16, mayReserve: true},
		not:     func(c *candidate) { c.overdueReason = fairshare.Overdue },
	},
	{
		name: "planned", rule: plannedRule{},
		matches: func(c *candidate) { c.isPlanned, c.job.Deadline = true, 70*time.Second },
		want:    position{rank: RankPlanned, sortKey: 60, mayReserve: true},
	},
	{
		name: "within quota in time", rule: quotaInTimeRule{&testObjectives},
		matches: func(c *candidate) { c.isWithinQuota = true },
		want:    position{rank: RankQuotaInTime, sortKey: 1600, mayReserve: true},
		not:     func(c *candidate) { c.isWithinQuota, c.age = true, 30*time.Second },
	},
	{
		name: "within quota, overdue", rule: quotaOverdueRule{},
		matches: func(c *candidate) { c.isWithinQuota, c.age = true, 30*time.Second },
		want:    position{rank: RankQuotaOverdue, sortKey: -30, mayReserve: true},
	},
	{
		name: "overdue", rule: overdueRule{},
		matches: func(c *candidate) { c.overdueReason = fairshare.Overdue },
		want:    position{rank: RankOverdue, sortKey: 16, mayReserve: true},
		not:     func(c *candidate) { c.overdueReason = fairshare.BelowMinShare },
	},
	{
		name: "past the age bound", rule: agedRule{testAgeBound},
		matches: func(c *candidate) { c.age = testAgeBound + time.Second },
		want:    position{rank: RankAged, sortKey: -101, mayReserve: true},
		not:     func(c *candidate) { c.age = testAgeBound },
	},
	{
		name: "objectives missed", rule: objectivesMissedRule{&testObjectives},
		matches: func(c *candidate) { c.age, c.taskRunTime = time.Minute, time.Minute },
		want:    position{rank: RankObjectivesMissed, sortKey: 16},
		not:     func(c *candidate) { c.age = time.Minute }, // it can still finish in time
	},
	{
		name: "deadline missed, or no objectives at all", rule: objectivesMissedRule{&testObjectives},
		matches: func(c *candidate) { c.job.Class, c.job.Deadline, c.age = "other", time.Minute, time.Minute },
		want:    position{rank: RankObjectivesMissed, sortKey: 16},
		not:     func(c *candidate) { c.job.Class, c.age = "other", time.Hour },
	},
	{
		name: "start objective", rule: startObjectiveRule{&testObjectives},
		matches: func(c *candidate) { c.age = 41 * time.Second },
		want:    position{rank: RankAged, sortKey: 19, mayReserve: true},
		not:     func(c *candidate) { c.age = 40 * time.Second },
	},
	{
		name: "start objective, just before and after it is missed", rule: startObjectiveRule{&testObjectives},
		matches: func(c *candidate) { c.age = 59 * time.Second },
		want:    position{rank: RankAged, sortKey: 1, mayReserve: true},
		not:     func(c *candidate) { c.age = time.Minute },
	},
	{
		name: "limit-bound team", rule: limitBoundRule{testAgeBound},
		matches: func(c *candidate) { c.limitBound["team"], c.age = true, 50*time.Second },
		want:    position{rank: RankLimitBound, sortKey: 15.5, mayReserve: true},
		not:     func(c *candidate) { c.limitBound["other"] = true },
	},
}

// Each rule by itself.
func TestRules(t *testing.T) {
	for _, c := range ruleCases {
		t.Run(c.name, func(t *testing.T) {
			matching := testCandidate(c.matches)
			if !c.rule.matches(matching) {
				t.Fatal("the rule does not match")
			}
			if got := c.rule.position(matching); got != c.want {
				t.Errorf("position %+v, want %+v", got, c.want)
			}
			if c.rule.matches(testCandidate(c.not)) {
				t.Error("the rule matches another job")
			}
		})
	}
}

// The last rule matches whatever no other rule matches.
func TestBestEffortRule(t *testing.T) {
	c := testCandidate(func(c *candidate) { c.age = 50 * time.Second })
	rule := bestEffortRule{testAgeBound}
	if !rule.matches(c) {
		t.Error("the rule does not match")
	}
	if got, want := rule.position(c), (position{rank: RankBestEffort, sortKey: 15.5}); got != want {
		t.Errorf("position %+v, want %+v", got, want)
	}
	rules := newRules(config.DefaultOptions(), &testObjectives)
	if _, ok := rules[len(rules)-1].(bestEffortRule); !ok {
		t.Errorf("the last rule is %T", rules[len(rules)-1])
	}
}

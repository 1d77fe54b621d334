package queue

import (
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/fairshare"
	"gullrudder/internal/controller/jobs"
)

const testAgeBound = 100 * time.Second

var testObjectives = newObjectives([]config.Objective{
	{Kind: "wait", Class: "class", TimeLimit: time.Minute},
	{Kind: "finished", Class: "class", TimeLimit: 2 * time.Minute},
	{Kind: "guarantee", TimeLimit: 30 * time.Second},
})

// testCandidate returns a job of 200 tasks that is 10 s old and has 1600 CPU seconds left, on a cluster of 100 CPUs. change
// may modify it; nil: no change.
func testCandidate(change func(c *candidate)) *candidate {
	now := time.Unix(10_000, 0)
	job := jobs.New(
		jobs.Spec{ID: "job-1", Class: "class", Team: "team", Tasks: 200, CPUs: 1, Priority: jobs.High},
		now.Add(-10*time.Second),
	)
	c := &candidate{
		orderInputs: &orderInputs{now: now, clusterCPUs: 100, limitBound: map[string]bool{}},
		job:         job, age: 10 * time.Second, taskRunTime: 8 * time.Second, remainingCPUSeconds: 1600, remainingSeconds: 16,
	}
	if change != nil {
		change(c)
	}
	return c
}

// ruleCase is a rule with a job that it matches and one that it does not match.
type ruleCase struct {
	name        string
	rule        rule
	matching    func(c *candidate)
	want        position           // position of the matching job
	nonMatching func(c *candidate) // nil: the unchanged candidate does not match
}

var ruleCases = []ruleCase{
	{
		name: "crash-looping", rule: crashLoopingRule{},
		matching: func(c *candidate) { c.job.CrashLooping = true },
		want:     position{rank: RankCrashLooping, sortKey: 16},
	},
	{
		name: "aged first", rule: agedFirstRule{},
		matching: func(c *candidate) { c.isAgedFirst = true },
		want:     position{rank: RankAgedFirst, sortKey: -10, mayReserve: true},
	},
	{
		name: "service", rule: serviceRule{},
		matching: func(c *candidate) { c.job.IsService = true },
		want:     position{rank: RankService, sortKey: -float64(jobs.High), mayReserve: true},
	},
	{
		name: "initial tasks", rule: initialTasksRule{},
		matching: func(c *candidate) { c.awaitsStart = true },
		want:     position{rank: RankInitialTasks, sortKey: -10, mayReserve: true, maxTasks: 2},
	},
	{
		name: "initial tasks of a gang", rule: initialTasksRule{},
		matching: func(c *candidate) { c.awaitsStart, c.job.IsGang = true, true },
		want:     position{rank: RankInitialTasks, sortKey: -10, mayReserve: true, maxTasks: 200},
	},
	{
		name: "below the minimum share", rule: belowMinShareRule{},
		matching:    func(c *candidate) { c.overdueReason = fairshare.BelowMinShare },
		want:        position{rank: RankBelowMinShare, sortKey: 16, mayReserve: true},
		nonMatching: func(c *candidate) { c.overdueReason = fairshare.Overdue },
	},
	{
		name: "planned", rule: plannedRule{},
		matching: func(c *candidate) { c.isPlanned, c.job.Deadline = true, 70*time.Second },
		want:     position{rank: RankPlanned, sortKey: 60, mayReserve: true},
	},
	{
		name: "within quota in time", rule: quotaInTimeRule{&testObjectives},
		matching:    func(c *candidate) { c.isWithinQuota = true },
		want:        position{rank: RankQuotaInTime, sortKey: 1600, mayReserve: true},
		nonMatching: func(c *candidate) { c.isWithinQuota, c.age = true, 30*time.Second },
	},
	{
		name: "within quota, overdue", rule: quotaOverdueRule{},
		matching: func(c *candidate) { c.isWithinQuota, c.age = true, 30*time.Second },
		want:     position{rank: RankQuotaOverdue, sortKey: -30, mayReserve: true},
	},
	{
		name: "overdue", rule: overdueRule{},
		matching:    func(c *candidate) { c.overdueReason = fairshare.Overdue },
		want:        position{rank: RankOverdue, sortKey: 16, mayReserve: true},
		nonMatching: func(c *candidate) { c.overdueReason = fairshare.BelowMinShare },
	},
	{
		name: "past the age bound", rule: agedRule{testAgeBound},
		matching:    func(c *candidate) { c.age = testAgeBound + time.Second },
		want:        position{rank: RankAged, sortKey: -101, mayReserve: true},
		nonMatching: func(c *candidate) { c.age = testAgeBound },
	},
	{
		name: "objectives missed", rule: objectivesMissedRule{&testObjectives},
		matching:    func(c *candidate) { c.age, c.taskRunTime = time.Minute, time.Minute },
		want:        position{rank: RankObjectivesMissed, sortKey: 16},
		nonMatching: func(c *candidate) { c.age = time.Minute }, // can still meet its finish objective
	},
	{
		name: "deadline missed, or no objectives at all", rule: objectivesMissedRule{&testObjectives},
		matching:    func(c *candidate) { c.job.Class, c.job.Deadline, c.age = "other", time.Minute, time.Minute },
		want:        position{rank: RankObjectivesMissed, sortKey: 16},
		nonMatching: func(c *candidate) { c.job.Class, c.age = "other", time.Hour },
	},
	{
		name: "start objective", rule: startObjectiveRule{&testObjectives},
		matching:    func(c *candidate) { c.age = 41 * time.Second },
		want:        position{rank: RankAged, sortKey: 19, mayReserve: true},
		nonMatching: func(c *candidate) { c.age = 40 * time.Second },
	},
	{
		name: "start objective, just before and after it is missed", rule: startObjectiveRule{&testObjectives},
		matching:    func(c *candidate) { c.age = 59 * time.Second },
		want:        position{rank: RankAged, sortKey: 1, mayReserve: true},
		nonMatching: func(c *candidate) { c.age = time.Minute },
	},
	{
		name: "limit-bound team", rule: limitBoundRule{testAgeBound},
		matching:    func(c *candidate) { c.limitBound["team"], c.age = true, 50*time.Second },
		want:        position{rank: RankLimitBound, sortKey: 15.5, mayReserve: true},
		nonMatching: func(c *candidate) { c.limitBound["other"] = true },
	},
}

// TestRules checks each rule alone: which job it matches, which it does not match, and the position that it gives.
func TestRules(t *testing.T) {
	for _, c := range ruleCases {
		t.Run(c.name, func(t *testing.T) {
			matching := testCandidate(c.matching)
			if !c.rule.matches(matching) {
				t.Fatal("matching job: got no match, want a match")
			}
			if got := c.rule.position(matching); got != c.want {
				t.Errorf("position: got %+v, want %+v", got, c.want)
			}
			if c.rule.matches(testCandidate(c.nonMatching)) {
				t.Error("other job: got a match, want none")
			}
		})
	}
}

// TestBestEffortRule checks the rule for all other jobs, and that it is the last rule.
func TestBestEffortRule(t *testing.T) {
	c := testCandidate(func(c *candidate) { c.age = 50 * time.Second })
	rule := bestEffortRule{testAgeBound}
	if !rule.matches(c) {
		t.Error("job without special conditions: got no match, want a match")
	}
	if got, want := rule.position(c), (position{rank: RankBestEffort, sortKey: 15.5}); got != want {
		t.Errorf("position: got %+v, want %+v", got, want)
	}
	rules := newRules(config.DefaultOptions(), &testObjectives)
	if _, ok := rules[len(rules)-1].(bestEffortRule); !ok {
		t.Errorf("last rule: got %T, want bestEffortRule", rules[len(rules)-1])
	}
}

package queue

import (
	"slices"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/jobs"
)

// objectives are the service level objectives of the job classes, each the longest time from eligibility.
type objectives struct {
	start     map[string][]time.Duration // by class, until the job's tasks are started, the shortest first
	finish    map[string][]time.Duration // by class, until the job is complete, the shortest first
	guarantee time.Duration              // until what a team's guaranteed quota covers is started; 0: none
}

func newObjectives(list []config.Objective) objectives {
	o := objectives{start: map[string][]time.Duration{}, finish: map[string][]time.Duration{}}
	for _, objective := range list {
		switch objective.Kind {
		case config.ObjectiveStart:
			o.start[objective.Class] = append(o.start[objective.Class], objective.TimeLimit)
		case config.ObjectiveGuarantee:
			o.guarantee = max(o.guarantee, objective.TimeLimit)
		case config.ObjectiveFinish:
			o.finish[objective.Class] = append(o.finish[objective.Class], objective.TimeLimit)
		}
	}
	for _, byClass := range []map[string][]time.Duration{o.start, o.finish} {
		for _, limits := range byClass {
			slices.Sort(limits)
		}
	}
	return o
}

// nextStart is the first start objective of the class that a job of the given age can still meet, or 0.
func (o *objectives) nextStart(class string, age time.Duration) time.Duration {
	return firstAfter(o.start[class], age)
}

// areMissed reports whether the job has objectives or a deadline and can meet none of them any more.
func (o *objectives) areMissed(job *jobs.Job, age, taskRunTime time.Duration) bool {
	start, finish, deadline := o.start[job.Class], o.finish[job.Class], job.TimeToDeadline()
	if len(start)+len(finish) == 0 && deadline <= 0 {
		return false
	}
	earliestFinish := age + taskRunTime
	return firstAfter(start, age) == 0 && firstAfter(finish, earliestFinish) == 0 && (deadline <= 0 || deadline <= earliestFinish)
}

// longestAllowed is the longest time that the job may take by any of its objectives or, half as long again, by its
// deadline; 0 if it has neither.
func (o *objectives) longestAllowed(job *jobs.Job, taskRunTime time.Duration) time.Duration {
	longest := 3 * job.TimeToDeadline() / 2
	if finish := o.finish[job.Class]; len(finish) > 0 {
		longest = max(longest, finish[len(finish)-1])
	}
	if start := o.start[job.Class]; len(start) > 0 {
		longest = max(longest, start[len(start)-1]+taskRunTime)
	}
	return longest
}

// firstAfter is the first of the sorted limits that is longer than elapsed, or 0.
func firstAfter(limits []time.Duration, elapsed time.Duration) time.Duration {
	for _, limit := range limits {
		if limit > elapsed {
			return limit
		}
	}
	return 0
}

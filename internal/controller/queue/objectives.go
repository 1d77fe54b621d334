package queue

import (
	"slices"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/jobs"
)

// objectives are the service level objectives of the job classes. Each is a time limit that counts from Job.EligibleSince.
type objectives struct {
	start     map[string][]time.Duration // by class, for starting the job's tasks, shortest first
	finish    map[string][]time.Duration // by class, for completing the job, shortest first
	guarantee time.Duration              // for starting jobs within their team's guaranteed quota; 0: none
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

// nextStart returns the shortest start objective of the class that a job of the given age can still meet, or 0.
func (o *objectives) nextStart(class string, age time.Duration) time.Duration {
	return firstAfter(o.start[class], age)
}

// areMissed reports whether the job has objectives or a deadline and can no longer meet any of them.
func (o *objectives) areMissed(job *jobs.Job, age, taskRunTime time.Duration) bool {
	start, finish, deadline := o.start[job.Class], o.finish[job.Class], job.TimeToDeadline()
	if len(start)+len(finish) == 0 && deadline <= 0 {
		return false
	}
	earliestFinish := age + taskRunTime
	return firstAfter(start, age) == 0 && firstAfter(finish, earliestFinish) == 0 && (deadline <= 0 || deadline <= earliestFinish)
}

// longestTimeLimit returns the longest time limit of the job's objectives and its deadline, or 0 if it has neither. The
// deadline counts one and a half times, a start objective together with the run time of a task.
func (o *objectives) longestTimeLimit(job *jobs.Job, taskRunTime time.Duration) time.Duration {
	longest := 3 * job.TimeToDeadline() / 2
	if finish := o.finish[job.Class]; len(finish) > 0 {
		longest = max(longest, finish[len(finish)-1])
	}
	if start := o.start[job.Class]; len(start) > 0 {
		longest = max(longest, start[len(start)-1]+taskRunTime)
	}
	return longest
}

// firstAfter returns the first of the sorted limits that is longer than elapsed, or 0.
func firstAfter(limits []time.Duration, elapsed time.Duration) time.Duration {
	for _, limit := range limits {
		if limit > elapsed {
			return limit
		}
	}
	return 0
}

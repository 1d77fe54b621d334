package autoscaler

import (
	"math"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/estimate"
	"gullrudder/internal/controller/jobs"
)

const (
	// minAllowedMissShare stands for the share that may miss an objective which all jobs are to keep.
	minAllowedMissShare = 0.001
	// negligibleMissShare is the part of the allowed share of misses below which fewer misses gain nothing.
	negligibleMissShare = 0.3
)

// objective requires of a class that a share of its jobs starts, or finishes, within a time.
type objective struct {
	class            string
	isStart          bool          // for the start of jobs, not for their end
	timeLimit        time.Duration // if deadlineFactor is 0
	deadlineFactor   float64       // if not 0, the limit is that multiple of the job's deadline
	allowedMissShare float64       // the share of jobs that may miss it
}

// objectivesOf returns those objectives of the platform that more machines can help to keep.
func objectivesOf(configured []config.Objective) []objective {
	var list []objective
	for _, c := range configured {
		o := objective{class: c.Class, timeLimit: c.TimeLimit, allowedMissShare: max(1-c.TargetShare, minAllowedMissShare)}
		switch c.Kind {
		case config.ObjectiveStart:
			o.isStart = true
		case config.ObjectiveFinish:
		case config.ObjectiveDeadline:
			o.deadlineFactor = max(c.DeadlineFactor, 1)
		default:
			continue
		}
		list = append(list, o)
	}
	return list
}

// slack returns how long a job of some age may still wait without missing the objective. It returns false if the objective does
// not apply because the job has no deadline.
func (o *objective) slack(age time.Duration, profile jobProfile) (time.Duration, bool) {
	limit := o.timeLimit
	if o.deadlineFactor > 0 {
		if profile.deadline <= 0 {
			return 0, false
		}
		limit = time.Duration(o.deadlineFactor * float64(profile.deadline))
	}
	if !o.isStart {
		limit -= profile.taskDuration
	}
	return limit - age, true
}

// missScore is what misses of the objective cost. Each halving of the share of misses is worth the same, from all jobs to the
// negligible share.
func (o *objective) missScore(missShare float64) float64 {
	negligible := negligibleMissShare * o.allowedMissShare
	return math.Log(max(missShare, negligible)/negligible) / math.Log(1/negligible)
}

// jobProfile is what decides whether a job can keep an objective.
type jobProfile struct {
	class        string
	taskDuration time.Duration
	deadline     time.Duration // from its submission, 0 for none
}

// objectiveRecord counts the jobs that ended lately and those that missed an objective. Both decay over forecastSpan.
type objectiveRecord struct{ jobs, missed float64 }

// objectiveTracker holds the objectives and how they were kept.
type objectiveTracker struct {
	objectives []objective
	records    []objectiveRecord // by objective
	updated    time.Time
}

func newObjectiveTracker(objectives []objective, now time.Time) objectiveTracker {
	return objectiveTracker{objectives: objectives, records: make([]objectiveRecord, len(objectives)), updated: now}
}

// recordEnded records whether a job that has ended kept the objectives of its class.
func (t *objectiveTracker) recordEnded(now time.Time, job *jobs.Job, estimator *estimate.Estimator) {
	decay := math.Exp(-now.Sub(t.updated).Seconds() / forecastSpan.Seconds())
	t.updated = now
	age := now.Sub(job.EligibleSince())
	for i := range t.objectives {
		record, objective := &t.records[i], &t.objectives[i]
		record.jobs, record.missed = record.jobs*decay, record.missed*decay
		if objective.class != job.Class {
			continue
		}
		slack, applies := objective.slack(age, jobProfile{deadline: job.TimeToDeadline()})
		if !applies {
			continue
		}
		if objective.isStart {
			// The tasks' start times are not recorded here: the last task is taken to have run until now.
			slack += estimator.TaskRunTime(job)
		}
		record.jobs++
		if slack < 0 {
			record.missed++
		}
	}
}

package autoscaler

import (
	"math"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/estimate"
	"gullrudder/internal/controller/jobs"
)

const (
	// minAllowedMissShare is the least share of misses that an objective allows. It also applies if all jobs are to meet the
	// objective.
	minAllowedMissShare = 0.001
	// negligibleMissShare is a fraction of the allowed share of misses. Below that fraction, fewer misses have no value.
	negligibleMissShare = 0.3
)

// objective requires that a share of the jobs of a class starts, or finishes, within a time limit.
type objective struct {
	class            string
	isStart          bool          // the time limit applies to the start of jobs instead of their end
	timeLimit        time.Duration // used if deadlineFactor is 0
	deadlineFactor   float64       // if not 0, the time limit is this multiple of the job's deadline
	allowedMissShare float64       // share of the jobs that may miss the objective
}

// objectivesOf returns the configured objectives that more machines can help to meet.
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

// slack returns how long a job of the given age may still wait without missing the objective. It returns false if the objective
// does not apply because the job has no deadline.
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

// missScore returns the cost of a share of misses, from 0 for a negligible share to 1 if all jobs miss the objective. Each
// halving of the share lowers the cost by the same amount.
func (o *objective) missScore(missShare float64) float64 {
	negligible := negligibleMissShare * o.allowedMissShare
	return math.Log(max(missShare, negligible)/negligible) / math.Log(1/negligible)
}

// jobProfile holds the properties that decide whether a job can meet an objective.
type jobProfile struct {
	class        string
	taskDuration time.Duration
	deadline     time.Duration // time from Job.EligibleSince to the deadline, 0 without a deadline
}

// objectiveRecord counts the jobs that ended recently and how many of them missed an objective. Both counts decay exponentially
// over forecastSpan.
type objectiveRecord struct{ jobs, missed float64 }

// objectiveTracker holds the objectives and records how well they are met.
type objectiveTracker struct {
	objectives []objective
	records    []objectiveRecord // by objective
	updated    time.Time
}

func newObjectiveTracker(objectives []objective, now time.Time) objectiveTracker {
	return objectiveTracker{objectives: objectives, records: make([]objectiveRecord, len(objectives)), updated: now}
}

// recordEnded records whether a job that has ended met the objectives of its class.
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
			// Start times of tasks are not recorded here. The last task is assumed to have run until now.
			slack += estimator.TaskRunTime(job)
		}
		record.jobs++
		if slack < 0 {
			record.missed++
		}
	}
}

// Package estimate predicts how long tasks run and how much work a job still needs. An Estimator owns, for each class
// of jobs, the ratio of measured run times to the owners' estimates; the run times measured of one job are kept in
// that job. It decides nothing; admission, the queue and the autoscaler use its estimates.
//
// Design note: docs/design/queue.md.
package estimate

import (
	"time"

	"gullrudder/internal/controller/jobs"
)

const (
	// maxSampleRatio bounds the influence of a single task that ran far longer than its estimate.
	maxSampleRatio = 10
	// priorSamples is the weight, in tasks, of the owners' estimates before anything was measured.
	priorSamples = 4
	// minSampleWeight keeps the ratio of a class adapting however many tasks were measured.
	minSampleWeight = 0.01
	// priorJobRuns is the weight, in tasks, of the class's estimate against the mean of the job itself.
	priorJobRuns = 2
	// maxJobRuns bounds the weight of the job's own mean. The first tasks to end are the short ones, so the mean
	// weighs more the more tasks have ended.
	maxJobRuns = 8
	// minTaskRunTime is the shortest run time that is ever predicted.
	minTaskRunTime = time.Second
	// minCountedCPUs is the least that a task counts in sums of CPUs: one that asks for none takes a place on a machine too.
	minCountedCPUs = 0.1
)

// Estimator predicts run times. It is not safe for concurrent use.
type Estimator struct {
	byClass map[string]*classRatio
}

// classRatio is the moving average of measured run time over estimate for one class of jobs.
type classRatio struct {
	ratio   float64
	samples int
}

// New returns an Estimator that has measured nothing yet.
func New() *Estimator {
	return &Estimator{byClass: map[string]*classRatio{}}
}

// ObserveRunTime records the run time of a completed task, for the job and for its class.
func (e *Estimator) ObserveRunTime(job *jobs.Job, ran time.Duration) {
	job.CompletedRunTime += ran
	job.CompletedRuns++
	if job.RunTimeEstimate <= 0 {
		return
	}
	class := e.byClass[job.Class]
	if class == nil {
		class = &classRatio{ratio: 1}
		e.byClass[job.Class] = class
	}
	class.add(min(ran.Seconds()/job.RunTimeEstimate.Seconds(), maxSampleRatio))
}

func (c *classRatio) add(sample float64) {
	c.samples++
	weight := max(1/float64(c.samples+priorSamples), minSampleWeight)
	c.ratio += weight * (sample - c.ratio)
}

// TaskRunTime is the expected run time of one task of the job: the owner's estimate, corrected by what was measured of
// the class and of the job itself.
func (e *Estimator) TaskRunTime(job *jobs.Job) time.Duration {
	expected := job.RunTimeEstimate
	if class := e.byClass[job.Class]; class != nil {
		expected = time.Duration(float64(expected) * class.ratio)
	}
	if job.CompletedRuns > 0 {
		mean := job.CompletedRunTime / time.Duration(job.CompletedRuns)
		weight := time.Duration(min(job.CompletedRuns, maxJobRuns))
		expected = (expected*priorJobRuns + mean*weight) / (priorJobRuns + weight)
	}
	return max(expected, minTaskRunTime)
}

// RemainingCPUSeconds is the CPU time that the job still needs.
func (e *Estimator) RemainingCPUSeconds(job *jobs.Job, now time.Time) float64 {
	return job.RemainingWork(e.TaskRunTime(job), now).Seconds() * CountedCPUs(job)
}

// CountedCPUs is the number of CPUs that one task of the job counts in sums of CPUs.
func CountedCPUs(job *jobs.Job) float64 { return max(job.CPUs, minCountedCPUs) }

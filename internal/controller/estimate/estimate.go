// Package estimate predicts how long tasks run and how much work a job still needs. An Estimator owns the ratio of
// measured to estimated run times of each job class. The measured run times of a single job are kept in that job. The
// package makes no decisions. Admission, the queue and the autoscaler use its estimates.
//
// Design note: docs/design/queue.md.
package estimate

import (
	"time"

	"gullrudder/internal/controller/jobs"
)

const (
	// maxSampleRatio limits the influence of a single task that ran far longer than its estimate.
	maxSampleRatio = 10
	// priorSamples is the weight, in tasks, of the owners' estimates in the ratio of a class.
	priorSamples = 4
	// minSampleWeight is the smallest weight of a new sample, so that the ratio of a class keeps adapting after many samples.
	minSampleWeight = 0.01
	// priorJobRuns is the weight, in tasks, of the estimate by class against the mean run time of the job's own tasks.
	priorJobRuns = 2
	// maxJobRuns bounds the weight, in tasks, of the job's own mean. The weight grows with the number of ended tasks, since
	// the first tasks to end are the short ones.
	maxJobRuns = 8
	// minTaskRunTime is the shortest predicted run time.
	minTaskRunTime = time.Second
	// minCountedCPUs is the minimum number of CPUs that a task counts in sums. A task that requests none still occupies a machine.
	minCountedCPUs = 0.1
)

// Estimator predicts run times. Create one with New. It is not safe for concurrent use.
type Estimator struct {
	byClass map[string]*classRatio
}

// classRatio is the moving average of measured divided by estimated run time of a job class.
type classRatio struct {
	ratio   float64
	samples int
}

// New returns an Estimator without samples. Until run times are recorded, its predictions are the owners' estimates.
func New() *Estimator {
	return &Estimator{byClass: map[string]*classRatio{}}
}

// ObserveRunTime records the run time of a completed task in the job and for its class. A job without an estimate does not
// affect its class.
func (e *Estimator) ObserveRunTime(job *jobs.Job, runTime time.Duration) {
	job.CompletedRunTime += runTime
	job.CompletedRuns++
	if job.RunTimeEstimate <= 0 {
		return
	}
	class := e.byClass[job.Class]
	if class == nil {
		class = &classRatio{ratio: 1}
		e.byClass[job.Class] = class
	}
	class.add(min(runTime.Seconds()/job.RunTimeEstimate.Seconds(), maxSampleRatio))
}

func (c *classRatio) add(sample float64) {
	c.samples++
	weight := max(1/float64(c.samples+priorSamples), minSampleWeight)
	c.ratio += weight * (sample - c.ratio)
}

// TaskRunTime returns the expected run time of one task of the job, at least a second. It corrects the owner's estimate by
// the measured run times of the class and of the job itself.
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

// RemainingCPUSeconds returns the CPU time, in seconds, that the job still needs. Each task counts CountedCPUs CPUs.
func (e *Estimator) RemainingCPUSeconds(job *jobs.Job, now time.Time) float64 {
	return job.RemainingWork(e.TaskRunTime(job), now).Seconds() * CountedCPUs(job)
}

// CountedCPUs returns the CPUs that one task of the job counts in sums: its requested CPUs, but at least 0.1.
func CountedCPUs(job *jobs.Job) float64 { return max(job.CPUs, minCountedCPUs) }

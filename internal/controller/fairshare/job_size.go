package fairshare

import (
	"math"
	"slices"

	"gullrudder/internal/controller/estimate"
	"gullrudder/internal/controller/jobs"
)

// The largest jobs of a class are not configured by users. They are the top tenth of the recent jobs of the class by work or
// by number of tasks, and at least one job. A job that is not larger than the median is never one of them.
const (
	largestQuantile = 0.9
	// maxRecentSizes bounds the sizes of done jobs that are kept per class.
	maxRecentSizes = 128
	// thresholdInterval is the number of done jobs after which the thresholds of a class are recomputed.
	thresholdInterval = 16
)

// jobSize is the size of a job by both measures: its work in CPU seconds, and its number of tasks.
type jobSize struct{ work, tasks float64 }

func sizeOf(job *jobs.Job) jobSize {
	return jobSize{work: float64(job.Tasks) * job.RunTimeEstimate.Seconds() * estimate.CountedCPUs(job), tasks: float64(job.Tasks)}
}

// isLargest reports whether the job is one of the largest of its class by either measure.
func (a *Allocator) isLargest(job *jobs.Job) bool {
	threshold, ok := a.thresholds[job.Class]
	size := sizeOf(job)
	return ok && (size.work >= threshold.work || size.tasks >= threshold.tasks)
}

// recordSize adds the size of a job that is done, and recomputes the thresholds of its class if that is due.
func (a *Allocator) recordSize(job *jobs.Job) {
	sizes := a.recentSizes[job.Class]
	sizes = append(sizes, sizeOf(job))
	a.recentSizes[job.Class] = sizes[max(len(sizes)-maxRecentSizes, 0):]
	if _, ok := a.thresholds[job.Class]; !ok || len(sizes)%thresholdInterval == 0 {
		a.thresholds[job.Class] = largestThresholds(a.recentSizes[job.Class])
	}
}

// updateThresholds recomputes the thresholds of all classes from the recently done jobs and the live jobs.
func (a *Allocator) updateThresholds(live []*jobs.Job) {
	sizes := map[string][]jobSize{}
	for class, recent := range a.recentSizes {
		sizes[class] = slices.Clone(recent)
	}
	for _, job := range live {
		if !job.IsService {
			sizes[job.Class] = append(sizes[job.Class], sizeOf(job))
		}
	}
	clear(a.thresholds)
	for class, list := range sizes {
		a.thresholds[class] = largestThresholds(list)
	}
}

// largestThresholds returns the sizes from which a job is one of the largest.
func largestThresholds(sizes []jobSize) jobSize {
	return jobSize{
		work:  largestThreshold(sizes, func(size jobSize) float64 { return size.work }),
		tasks: largestThreshold(sizes, func(size jobSize) float64 { return size.tasks }),
	}
}

// largestThreshold returns the smallest value of the top tenth that is larger than the median, or +Inf if there is none. Of
// two values, the smaller one counts as the median.
func largestThreshold(sizes []jobSize, measure func(jobSize) float64) float64 {
	values := make([]float64, len(sizes))
	for i, size := range sizes {
		values[i] = measure(size)
	}
	slices.Sort(values)
	for _, value := range values[min(int(largestQuantile*float64(len(values))), len(values)-1):] {
		if value > values[len(values)/2] || len(values) == 2 && value > values[0] {
			return value
		}
	}
	return math.Inf(1)
}

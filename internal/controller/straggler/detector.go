// Package straggler detects machines that are slow although they send heartbeats. A Detector compares the run time of each
// completed task with the mean of the same job's earlier tasks, and keeps one running mean of these ratios per machine and one
// for all machines. It is made at each election and kept in memory only. It never drains or terminates a machine: it answers
// whether one is slow, and the autoscaler acts on that (docs/design/autoscaler.md).
package straggler

import (
	"math"
	"time"
)

const (
	// minCompletedTasks is how many tasks of a job must have completed before another is compared with their mean.
	minCompletedTasks = 4
	// minComparisons is how many tasks of a machine must have been compared before it can be called slow.
	minComparisons = 8
	// maxComparisons bounds the weight of a machine's past, in tasks, so that a machine that recovers is found to have done so.
	maxComparisons = 32
	// slowdownThreshold is the least factor by which tasks take longer on a slow machine.
	slowdownThreshold = 1.4
	// minStandardErrors is how many standard errors a machine's mean must lie beyond the threshold.
	minStandardErrors = 3
	// maxLogRatio bounds the weight of one task (ln 8): a hundred times longer is no stronger evidence than eight times.
	maxLogRatio = 2.1
	// minResolutions is how many times the resolution a job's mean run time must be for a comparison to say anything.
	minResolutions = 2
)

// The running mean and variance of all machines' log ratios.
const (
	// initialVariance is the variance that is assumed before any task was compared.
	initialVariance = 0.25
	// priorSamples is how many tasks the initial mean and variance weigh as much as.
	priorSamples = 16
	// maxSamples bounds the weight of the past, so that the mean follows the load.
	maxSamples = 4096
)

// Detector keeps how the run times of each machine's tasks compare with those of the same jobs elsewhere. Times are compared
// as logarithms of the ratio, so that twice as long and half as long weigh the same.
type Detector struct {
	resolution       time.Duration // precision of the run times: the interval at which workers report
	meanLogRatio     float64       // over the tasks of all machines
	logRatioVariance float64
	samples          float64
	machines         map[string]*machineStats // by machine ID
}

// machineStats is the running mean of one machine's log ratios.
type machineStats struct{ meanLogRatio, count float64 }

// NewDetector returns a Detector that knows no machine. resolution is the precision of the run times that RecordRun is given.
func NewDetector(resolution time.Duration) *Detector {
	return &Detector{resolution: resolution, logRatioVariance: initialVariance, machines: map[string]*machineStats{}}
}

// RecordRun records how long a task ran on a machine. meanRunTime is the mean over the tasks of the same job that completed
// before, and completed their number. The owner's estimate is not used: it can be wrong for a whole job, and every machine
// that ran the job would look slow.
func (d *Detector) RecordRun(machineID string, runTime, meanRunTime time.Duration, completed int) {
	if completed < minCompletedTasks || meanRunTime < minResolutions*d.resolution || runTime <= 0 {
		return
	}
	logRatio := max(min(math.Log(runTime.Seconds()/meanRunTime.Seconds()), maxLogRatio), -maxLogRatio)
	d.recordSample(logRatio)
	stats := d.machines[machineID]
	if stats == nil {
		stats = &machineStats{}
		d.machines[machineID] = stats
	}
	stats.count = min(stats.count+1, maxComparisons)
	stats.meanLogRatio += (logRatio - stats.meanLogRatio) / stats.count
}

// recordSample updates the mean and the variance over all machines.
func (d *Detector) recordSample(logRatio float64) {
	d.samples = min(d.samples+1, maxSamples)
	weight := 1 / (d.samples + priorSamples)
	deviation := logRatio - d.meanLogRatio
	d.meanLogRatio += weight * deviation
	d.logRatioVariance += weight * (deviation*deviation - d.logRatioVariance)
}

// IsSlow reports whether the evidence is sufficient that tasks take longer on the machine than elsewhere.
func (d *Detector) IsSlow(machineID string) bool {
	stats := d.machines[machineID]
	if stats == nil || stats.count < minComparisons {
		return false
	}
	standardError := math.Sqrt(d.logRatioVariance / stats.count)
	return stats.meanLogRatio-d.meanLogRatio > math.Log(slowdownThreshold)+minStandardErrors*standardError
}

// Slowdown returns the estimated factor by which tasks take longer on the machine than elsewhere. It is 1 for a machine with
// too few comparisons.
func (d *Detector) Slowdown(machineID string) float64 {
	stats := d.machines[machineID]
	if stats == nil || stats.count < minComparisons {
		return 1
	}
	return math.Exp(stats.meanLogRatio - d.meanLogRatio)
}

// Forget drops what is known of a machine, which has been deleted.
func (d *Detector) Forget(machineID string) { delete(d.machines, machineID) }

// Package straggler detects machines that are slow although they send heartbeats. A Detector compares the run time of each completed
// task with the mean of the same job's earlier tasks, and keeps a running mean of these ratios for each machine and one for all machines.
// It is created at each election and kept in memory only. The autoscaler drains and terminates slow machines; this package does not.
// Design note: docs/design/autoscaler.md.
package straggler

import (
	"math"
	"time"
)

const (
	// minCompletedTasks is the minimum number of completed tasks of a job before further tasks are compared with their mean.
	minCompletedTasks = 4
	// minComparisons is the minimum number of compared tasks before a machine may count as slow.
	minComparisons = 8
	// maxComparisons bounds the weight of a machine's past tasks, so that its recovery is detected.
	maxComparisons = 32
	// slowdownThreshold is the factor by which tasks must take longer on a machine that counts as slow.
	slowdownThreshold = 1.4
	// minStandardErrors is the number of standard errors by which the mean of a slow machine must exceed the threshold.
	minStandardErrors = 3
	// maxLogRatio (about ln 8) bounds the weight of one task: a task that takes a hundred times longer counts like one that takes
	// eight times longer.
	maxLogRatio = 2.1
	// minResolutions is the minimum mean run time of a job whose tasks are compared, as a multiple of Detector.resolution.
	minResolutions = 2
)

// Parameters of the running mean and variance of all machines' log ratios.
const (
	// initialVariance is the variance that is assumed before a task was compared.
	initialVariance = 0.25
	// priorSamples is the weight, in tasks, of the initial mean and variance.
	priorSamples = 16
	// maxSamples bounds the weight of past tasks, so that the mean follows changes of the load.
	maxSamples = 4096
)

// Detector compares the run times of each machine's tasks with those of the same jobs on all machines. It averages the logarithms of
// their ratios, so that tasks that take twice as long and half as long have the same weight. It is not safe for concurrent use.
type Detector struct {
	resolution       time.Duration // precision of the run times: the heartbeat interval
	meanLogRatio     float64       // over the tasks of all machines
	logRatioVariance float64
	samples          float64
	machines         map[string]*machineStats // by machine ID
}

// machineStats is the running mean of one machine's log ratios.
type machineStats struct{ meanLogRatio, count float64 }

// New returns an empty Detector. resolution is the precision of the run times in RecordRun.
func New(resolution time.Duration) *Detector {
	return &Detector{resolution: resolution, logRatioVariance: initialVariance, machines: map[string]*machineStats{}}
}

// RecordRun records the run time of a task on a machine. meanRunTime is the mean over the tasks of the same job that completed before,
// and completed is their number. The user's estimate is not used: it may be wrong for a whole job, and then every machine that ran
// the job would look slow.
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

// IsSlow reports whether there is sufficient evidence that tasks take longer on the machine than elsewhere.
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

// Forget drops the statistics of a deleted machine.
func (d *Detector) Forget(machineID string) { delete(d.machines, machineID) }

// Package straggler recognises machines that are slow but report. Its Book owns, by machine, how the tasks
// that ended there compare with those of the same job elsewhere, and how far such tasks differ by
// nature. It never drains or returns a machine: it answers whether one is slow.
package straggler

import (
	"math"
	"time"
)

const (
	// minCompletedTasks tasks of a job must have ended before one is compared with their mean.
	minCompletedTasks = 4
	// minComparisons tasks of a machine must have been compared before it is called slow.
	minComparisons = 8
	// maxComparisons is for how many tasks a machine is remembered: one that recovers is not slow for ever.
	maxComparisons = 32
	// slowdownThreshold is how many times longer tasks take on a slow machine at least.
	slowdownThreshold = 1.4
	// minStandardErrors is how many standard errors its mean has to be beyond that.
	minStandardErrors = 3
	// maxLogRatio is how far one task may count: a hundred times longer says no more than eight times.
	maxLogRatio = 2.1 // ln 8
)

// Detector is what is known of the machines' pace.
type Detector struct {
	resolution       time.Duration // how exactly run times are known: what machines report, and how often
	meanLogRatio     float64       // of all tasks' logarithms
	logRatioVariance float64       // their variance
	samples          float64
	machines         map[string]*machineStats
}

type machineStats struct{ meanLogRatio, count float64 }

// NewDetector makes an empty one. Run times are known to the resolution.
func NewDetector(resolution time.Duration) *Detector {
	return &Detector{resolution: resolution, logRatioVariance: 0.25, machines: map[string]*machineStats{}}
}

// RecordRun takes in how long a task has run on a machine, and the mean of so many tasks of the same job
// that ended before. Owners' estimates are not used: they are wrong for a whole job at once, and
// machines that happened to run it would all look slow.
func (d *Detector) RecordRun(machineID string, runTime, meanRunTime time.Duration, completed int) {
	if completed < minCompletedTasks || meanRunTime < 2*d.resolution || runTime <= 0 {
		return
	}
	logRatio := max(min(math.Log(runTime.Seconds()/meanRunTime.Seconds()), maxLogRatio), -maxLogRatio)
	d.samples = min(d.samples+1, 4096)
	weight := 1 / (d.samples + 16)
	deviation := logRatio - d.meanLogRatio
	d.meanLogRatio += weight * deviation
	d.logRatioVariance += weight * (deviation*deviation - d.logRatioVariance)
	stats := d.machines[machineID]
	if stats == nil {
		stats = &machineStats{}
		d.machines[machineID] = stats
	}
	stats.count = min(stats.count+1, maxComparisons)
	stats.meanLogRatio += (logRatio - stats.meanLogRatio) / stats.count
}

// IsSlow reports whether tasks take longer on the machine for certain.
func (d *Detector) IsSlow(machineID string) bool {
	stats := d.machines[machineID]
	if stats == nil || stats.count < minComparisons {
		return false
	}
	return stats.meanLogRatio-d.meanLogRatio > math.Log(slowdownThreshold)+minStandardErrors*math.Sqrt(d.logRatioVariance/stats.count)
}

// Slowdown is how many times longer tasks take on the machine, as far as is known: 1 if nothing is.
func (d *Detector) Slowdown(machineID string) float64 {
	stats := d.machines[machineID]
	if stats == nil || stats.count < minComparisons {
		return 1
	}
	return math.Exp(stats.meanLogRatio - d.meanLogRatio)
}

// Forget forgets a machine.
func (d *Detector) Forget(machineID string) { delete(d.machines, machineID) }

package api

import (
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/ageing"
	"gullrudder/internal/controller/autoscaler"
	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/estimate"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/jobstore"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/queue"
	"gullrudder/internal/units"
)

// startBounds computes the longest waits until the first and the last start of a job that is about to be accepted.
type startBounds struct {
	platform  *config.Platform
	options   *config.Options
	teams     map[string]config.Team
	jobStore  *jobstore.Store
	cloud     *cloud.Client
	estimator *estimate.Estimator
	ranker    *queue.Ranker
}

// set sets the start bounds of a job that is about to be accepted. Services have none.
func (b *startBounds) set(now time.Time, job *jobs.Job) {
	if job.IsService {
		return
	}
	if bound := b.ranker.AgeingPolicy().WaitBound(b.workAhead(now, job)); bound.IsKnown {
		job.FirstStartBound, job.LastStartBound = bound.FirstStart, bound.LastStart
	}
}

// workAhead returns the work that may be served before a job.
func (b *startBounds) workAhead(now time.Time, job *jobs.Job) ageing.WorkAhead {
	ahead := ageing.WorkAhead{
		TeamCPULimit: b.teams[job.Team].CPULimit,
		TaskCPUs:     job.CPUs,
		LongestTask:  b.estimator.TaskRunTime(job),
		StartDelay:   b.startDelay(job),
	}
	ahead.Own.Add(job, b.estimator.RemainingCPUSeconds(job, now))
	b.addOlderJobs(now, job, &ahead)
	ahead.UsableCPUs = b.usableCPUs(job)
	bounds := b.findMachineTypeBounds(now, job)
	if ahead.UsableCPUs == 0 { // no usable instance exists: count the smallest growth that can be requested for the job
		ahead.UsableCPUs = bounds.minGrowthCPUs
		ahead.StartDelay += bounds.maxBootTime
	}
	// The fetch time counts twice: for the job's own image, and for the wait for a machine that already has the image.
	ahead.StartDelay += units.DurationFromSeconds(2 * bounds.maxFetchSeconds)
	return ahead
}

// startDelay returns the time from available capacity to a running task, without the fetch of its image. It consists of two heartbeats
// and the stop of the task that held the capacity: a checkpoint, taken to be as long as the job's own, and a planning interval.
func (b *startBounds) startDelay(job *jobs.Job) time.Duration {
	return 2*b.platform.HeartbeatInterval + job.CheckpointDuration + b.options.PlanningInterval
}

func (b *startBounds) addOlderJobs(now time.Time, job *jobs.Job, ahead *ageing.WorkAhead) {
	for _, other := range b.jobStore.Unfinished {
		if other == job || other.IsService || !other.IsSchedulable() {
			continue
		}
		ahead.LongestTask = max(ahead.LongestTask, b.estimator.TaskRunTime(other))
		if !ageing.IsOlder(other, job) {
			continue
		}
		work := b.estimator.RemainingCPUSeconds(other, now)
		ahead.Older.Add(other, work)
		if other.Team == job.Team {
			ahead.Team.Add(other, work)
		}
	}
}

// usableCPUs returns the sum of the CPUs of the instances that the job can use.
func (b *startBounds) usableCPUs(job *jobs.Job) float64 {
	cpus := 0.0
	for _, instance := range b.cloud.Instances {
		machineType := b.cloud.MachineTypes[instance.Kind.Type]
		if machineType != nil && !instance.Deleting && placement.KindAllowed(job, instance.Kind) && placement.FitsType(job, machineType) {
			cpus += machineType.CPUs
		}
	}
	return cpus
}

// machineTypeBounds holds the worst case of all machine types on which a task of a job fits.
type machineTypeBounds struct {
	minGrowthCPUs   float64       // CPUs of the assumed growth with the smallest type that can be requested; 0: none can be requested
	maxBootTime     time.Duration // expected, of the types that can be requested
	maxFetchSeconds float64       // to fetch the job's image
}

func (b *startBounds) findMachineTypeBounds(now time.Time, job *jobs.Job) machineTypeBounds {
	var bounds machineTypeBounds
	for _, machineType := range b.cloud.MachineTypes {
		if !placement.FitsType(job, machineType) {
			continue
		}
		if machineType.FetchGBPerSecond > 0 {
			bounds.maxFetchSeconds = max(bounds.maxFetchSeconds, job.ImageGB/machineType.FetchGBPerSecond)
		}
		if !b.canRequest(now, job, machineType) {
			continue
		}
		if cpus := float64(autoscaler.AssumedGrowth) * machineType.CPUs; bounds.minGrowthCPUs == 0 || cpus < bounds.minGrowthCPUs {
			bounds.minGrowthCPUs = cpus
		}
		bounds.maxBootTime = max(bounds.maxBootTime, b.cloud.ExpectedBootTime(machineType))
	}
	return bounds
}

// canRequest reports whether instances of a type that the job may use can be requested in at least one zone, spot or not.
func (b *startBounds) canRequest(now time.Time, job *jobs.Job, machineType *cloud.MachineType) bool {
	found := false
	for _, zone := range machineType.Zones {
		for _, isSpot := range []bool{false, true} {
			kind := cloud.InstanceKindOf(machineType, zone, isSpot)
			if b.cloud.CanRequest(now, kind) && placement.KindAllowed(job, kind) {
				found = true
			}
		}
	}
	return found
}

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

// startBounds computes, when a job is accepted, how long it waits at worst.
type startBounds struct {
	platform  *config.Platform
	options   *config.Options
	teams     map[string]config.Team
	jobStore  *jobstore.Store
	cloud     *cloud.Client
	estimator *estimate.Estimator
	ranker    *queue.Ranker
}

// set sets the bounds of a job that is about to be accepted. Services have none.
func (b *startBounds) set(now time.Time, job *jobs.Job) {
	if job.IsService {
		return
	}
	if bound := b.ranker.AgeingPolicy().WaitBound(b.workAhead(now, job)); bound.IsKnown {
		job.FirstStartBound, job.LastStartBound = bound.FirstStart, bound.LastStart
	}
}

// workAhead sums up the work that can be served before a job.
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
	offer := b.findOffer(now, job)
	if ahead.UsableCPUs == 0 { // no instance is there yet: count the smallest growth that is about to be requested for the job
		ahead.UsableCPUs = offer.leastCPUs
		ahead.StartDelay += offer.longestBoot
	}
	// The fetch time counts twice: for the job's own image, and for the wait for a machine that has it already.
	ahead.StartDelay += units.DurationFromSeconds(2 * offer.longestFetchSeconds)
	return ahead
}

// startDelay returns the time from free capacity to a running task, without its image: two heartbeats, and the stop of what held
// the capacity.
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

// usableCPUs returns the CPUs of the instances that the job can use.
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

// instanceOffer is what the cloud offers for a job at worst.
type instanceOffer struct {
	leastCPUs           float64 // of the growth that the autoscaler counts on, with the smallest type; 0: none can be requested
	longestBoot         time.Duration
	longestFetchSeconds float64 // to fetch the job's image
}

func (b *startBounds) findOffer(now time.Time, job *jobs.Job) instanceOffer {
	var offer instanceOffer
	for _, machineType := range b.cloud.MachineTypes {
		if !placement.FitsType(job, machineType) {
			continue
		}
		if machineType.FetchGBPerSecond > 0 {
			offer.longestFetchSeconds = max(offer.longestFetchSeconds, job.ImageGB/machineType.FetchGBPerSecond)
		}
		if !b.canRequest(now, job, machineType) {
			continue
		}
		if cpus := float64(autoscaler.AssumedGrowth) * machineType.CPUs; offer.leastCPUs == 0 || cpus < offer.leastCPUs {
			offer.leastCPUs = cpus
		}
		offer.longestBoot = max(offer.longestBoot, b.cloud.ExpectedBootTime(machineType))
	}
	return offer
}

// canRequest reports whether instances of a type that the job may use can be requested in any zone, spot or not.
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

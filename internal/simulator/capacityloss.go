package simulator

import (
	"fmt"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/jobs"
)

// CapacityLoss is the result of RunCapacityLoss: how many jobs of each class and team were done although the cluster lost 40 % of its
// machines for minutes.
type CapacityLoss struct {
	Classes, Teams map[string]Served
	MachinesBefore int // machines up before the loss
	MachinesDuring int // machines up right after the loss
}

// Served counts the jobs of a class, a team or another group: those that were done at the end of the run, and all of them.
type Served struct{ Done, All int }

// Share returns the share of the jobs that were done, 0 to 1. It is 0 if there are no jobs.
func (s Served) Share() float64 { return float64(s.Done) / float64(max(s.All, 1)) }

// LeastServed returns the group with the smallest share of done jobs, the first by name if several have it. Without groups the name is
// empty and the share is 2.
func LeastServed(served map[string]Served) (name string, share float64) {
	share = 2
	for group, counts := range served {
		groupShare := counts.Share()
		if groupShare < share || groupShare == share && group < name {
			name, share = group, groupShare
		}
	}
	return name, share
}

// CapacityLossOptions returns the options for RunCapacityLoss, with the given tuning. Of the three teams, guests has no guaranteed CPUs and
// submits only jobs of the lowest priority. Four of the five classes have an objective.
func CapacityLossOptions(tuning config.Options) Options {
	return Options{
		Controllers:         3,
		HeartbeatInterval:   2 * time.Second,
		WorkerLease:         12 * time.Second,
		CancelTimeout:       30 * time.Second,
		MachinesPerKind:     12,
		StopPollingFinished: true,
		NoTaskFailures:      true,
		SkipCostlyChecks:    true,
		Tuning:              tuning,
		Teams: []config.Team{
			{Name: "red", GuaranteedCPUs: 80},
			{Name: "blue", GuaranteedCPUs: 40, CPULimit: 400},
			{Name: "guests", CPULimit: 400},
		},
		AdjustPlatform: func(p *config.Platform) {
			p.StateRequestRate, p.StateWriteRate = 400, 60
			p.Objectives = []config.Objective{
				{Kind: "deadline", Class: "urgent", TargetShare: 0.95, DeadlineFactor: 1.5},
				{Kind: "finished", Class: "batch", TimeLimit: 90 * time.Second, TargetShare: 0.95},
				{Kind: "finished", Class: "flood", TimeLimit: 120 * time.Second, TargetShare: 0.95},
				{Kind: "wait", Class: "archive", TimeLimit: 150 * time.Second, TargetShare: 0.9},
			}
		},
	}
}

// workload is a job that is submitted at intervals.
type workload struct {
	spec     jobs.Spec
	runTime  time.Duration // expected run time of a task
	interval time.Duration
}

// jobSpec returns the workload's job with number n of the run.
func (w workload) jobSpec(n int) jobs.Spec {
	spec := w.spec
	spec.ID, spec.Image, spec.ImageGB, spec.AllowsSpot, spec.RunTimeEstimate = fmt.Sprintf("job-%07d", n), spec.Class, 0.5, true, w.runTime
	return spec
}

// randomRunTime returns a random duration between 0.7 and 1.3 times the expected run time.
func (sim *Cluster) randomRunTime(expected time.Duration) time.Duration {
	return time.Duration(float64(expected) * (0.7 + 0.6*sim.Rand.Float64()))
}

// randomDelay returns a random duration shorter than the limit.
func (sim *Cluster) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(sim.Rand.Int64N(int64(limit)))
}

// capacityLossWorkload requests about the capacity of all machines.
var capacityLossWorkload = []workload{
	{
		jobs.Spec{Class: "urgent", Team: "red", Priority: jobs.High, Tasks: 8, CPUs: 1, MemoryGB: 1, Deadline: 40 * time.Second},
		10 * time.Second,
		time.Second,
	},
	{jobs.Spec{Class: "batch", Team: "red", Priority: jobs.Normal, Tasks: 30, CPUs: 1, MemoryGB: 1}, 12 * time.Second, 6 * time.Second},
	{jobs.Spec{Class: "flood", Team: "blue", Priority: jobs.Normal, Tasks: 20, CPUs: 2, MemoryGB: 2}, 15 * time.Second, 8 * time.Second},
	{
		jobs.Spec{
			Class:              "archive",
			Team:               "guests",
			Priority:           jobs.Low,
			Tasks:              10,
			CPUs:               4,
			MemoryGB:           4,
			CheckpointInterval: 10 * time.Second,
			CheckpointDuration: time.Second,
		},
		30 * time.Second,
		24 * time.Second,
	},
	{jobs.Spec{Class: "scan", Team: "guests", Priority: jobs.Low, Tasks: 400, CPUs: 0.25, MemoryGB: 0.5}, 40 * time.Second, time.Hour},
}

// Phases of RunCapacityLoss. Times count from its beginning.
const (
	capacityLossStart          = time.Minute
	capacityLossDuration       = 7 * time.Minute
	capacityLossLength         = 510 * time.Second
	capacityLossSubmissionsEnd = 7 * time.Minute
	// remainingMachineTenths is the share of the machines that remains during the loss, in tenths.
	remainingMachineTenths = 6
)

// RunCapacityLoss simulates eight and a half minutes. The loss begins after a minute and lasts for seven. During the loss the cloud has
// 60 % of its machines and reclaims the others, machines fail, and the leader crashes three times. In the first minute of the loss
// one class is submitted three times as often.
func (sim *Cluster) RunCapacityLoss() CapacityLoss {
	result := CapacityLoss{Classes: map[string]Served{}, Teams: map[string]Served{}}
	sim.scheduleCapacityLossJobs()
	capacity := sim.Cloud.machinesPerKind
	sim.At(capacityLossStart, func() {
		result.MachinesBefore = len(sim.Cloud.runningMachines())
		sim.Cloud.machinesPerKind = capacity * remainingMachineTenths / 10
		for len(sim.Cloud.runningMachines()) > result.MachinesBefore*remainingMachineTenths/10 {
			sim.Cloud.ReclaimMachine(0)
		}
		result.MachinesDuring = len(sim.Cloud.runningMachines())
	})
	sim.At(capacityLossStart+capacityLossDuration, func() { sim.Cloud.machinesPerKind = capacity })
	for at := capacityLossStart + 20*time.Second; at < capacityLossStart+capacityLossDuration; at += 70 * time.Second {
		sim.At(at, sim.Cloud.FailMachine)
		sim.At(at, sim.Cloud.FailMachine)
	}
	for _, after := range []time.Duration{30 * time.Second, 150 * time.Second, 260 * time.Second} {
		sim.At(capacityLossStart+after, func() { sim.crashLeaseHolders(4 * time.Second) })
	}
	sim.Run(capacityLossLength)
	for _, jobID := range sim.Users.jobIDs {
		job := sim.checker.jobs[jobID]
		result.Classes[job.spec.Class] = result.Classes[job.spec.Class].withJob(job)
		result.Teams[job.spec.Team] = result.Teams[job.spec.Team].withJob(job)
	}
	return result
}

// scheduleCapacityLossJobs schedules the submissions of RunCapacityLoss.
func (sim *Cluster) scheduleCapacityLossJobs() {
	n := 0
	for _, work := range capacityLossWorkload {
		for at := time.Duration(0); at < capacityLossSubmissionsEnd; at += work.interval {
			copies := 1
			if work.spec.Class == "flood" && at >= capacityLossStart && at < capacityLossStart+time.Minute {
				copies = 3
			}
			for range copies {
				spec := work.jobSpec(n)
				n++
				runTime := sim.randomRunTime(work.runTime)
				sim.At(at+sim.randomDelay(time.Second), func() { sim.Users.SubmitJob(spec, runTime) })
			}
		}
	}
}

// crashLeaseHolders crashes every controller that holds the leader lease.
func (sim *Cluster) crashLeaseHolders(restartAfter time.Duration) {
	for i := range sim.controllers {
		if holdsLease, _ := sim.leadershipOf(i); holdsLease {
			sim.Crash(i, restartAfter)
		}
	}
}

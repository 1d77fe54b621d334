package simulator

import (
	"fmt"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/jobs"
)

// CapacityLoss is how each class and team was served by a fleet that lost four in ten of its machines for minutes.
type CapacityLoss struct {
	Classes, Teams map[string]Served
	MachinesBefore int // machines up before the loss
	MachinesDuring int // machines up right after it
}

// Served counts the jobs of a class, a team or another group, and those of them that were done at the end of the run.
type Served struct{ Done, All int }

// Share is the share of the jobs that was done, 0 to 1.
func (p Served) Share() float64 { return float64(p.Done) / float64(max(p.All, 1)) }

// LeastServed names the group with the smallest share of done jobs, the first by name if several have it.
func LeastServed(served map[string]Served) (name string, share float64) {
	share = 2
	for n, p := range served {
		if s := p.Share(); s < share || s == share && n < name {
			name, share = n, s
		}
	}
	return name, share
}

// CapacityLossOptions are the options for RunCapacityLoss: three teams, one of which has no guaranteed quota and the jobs of
// lowest priority only, and objectives for the classes of the others.
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

// capacityLossWorkload is what is submitted: about as much as all machines can run. One class is submitted three times as often
// for a minute.
var capacityLossWorkload = []struct {
	spec  jobs.Spec
	run   time.Duration
	every time.Duration
}{
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

// RunCapacityLoss simulates eight and a half minutes. For seven of them, from the first on, the cloud has six in ten of the machines,
// the others are reclaimed, machines fail, and the leader crashes three times.
func (sim *Cluster) RunCapacityLoss() CapacityLoss {
	const begins, lasts, submits, day = time.Minute, 7 * time.Minute, 7 * time.Minute, 510 * time.Second
	n := 0
	for _, k := range capacityLossWorkload {
		for at := time.Duration(0); at < submits; at += k.every {
			times := 1
			if k.spec.Class == "flood" && at >= begins && at < begins+time.Minute {
				times = 3
			}
			for range times {
				s := k.spec
				s.ID, s.Image, s.ImageGB, s.AllowsSpot, s.RunTimeEstimate = fmt.Sprintf("job-%07d", n), s.Class, 0.5, true, k.run
				n++
				run := time.Duration(float64(k.run) * (0.7 + 0.6*sim.Rand.Float64()))
				sim.At(at+time.Duration(sim.Rand.Int64N(int64(time.Second))), func() { sim.Users.SubmitJob(s, run) })
			}
		}
	}
	f := CapacityLoss{}
	capacity := sim.Cloud.machinesPerKind
	sim.At(begins, func() {
		f.MachinesBefore = len(sim.Cloud.runningMachines())
		sim.Cloud.machinesPerKind = capacity * 6 / 10
		for len(sim.Cloud.runningMachines()) > f.MachinesBefore*6/10 {
			sim.Cloud.ReclaimMachine(0)
		}
		f.MachinesDuring = len(sim.Cloud.runningMachines())
	})
	sim.At(begins+lasts, func() { sim.Cloud.machinesPerKind = capacity })
	for at := begins + 20*time.Second; at < begins+lasts; at += 70 * time.Second {
		sim.At(at, sim.Cloud.FailMachine)
		sim.At(at, sim.Cloud.FailMachine)
	}
	for _, at := range []time.Duration{begins + 30*time.Second, begins + 150*time.Second, begins + 260*time.Second} {
		sim.At(at, func() {
			for i := range sim.controllers {
				if acting, _ := sim.leadershipOf(i); acting {
					sim.Crash(i, 4*time.Second)
				}
			}
		})
	}
	sim.Run(day)
	f.Classes, f.Teams = map[string]Served{}, map[string]Served{}
	for _, id := range sim.Users.jobIDs {
		j := sim.checker.jobs[id]
		done := 0
		if len(j.completedTasks) == j.spec.Tasks {
			done = 1
		}
		for name, of := range map[string]map[string]Served{j.spec.Class: f.Classes, j.spec.Team: f.Teams} {
			p := of[name]
			of[name] = Served{p.Done + done, p.All + 1}
		}
	}
	return f
}

// Package clustertest provides a cluster for tests: machine types, a platform, and a Cluster with machines, jobs and a clock. The tests
// of placement and autoscaler share it. Only tests import it. It does not implement any scheduling.
package clustertest

import (
	"fmt"
	"log/slog"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/workerapi"
)

// The class and the team of all jobs.
const (
	class = "c"
	team  = "t"
)

const platformName = "n"

// Cluster has machines and jobs, and a clock that the test sets.
type Cluster struct {
	Now          time.Time
	Platform     *config.Platform
	Options      config.Options
	MachineTypes map[string]*cloud.MachineType
	Workers      *worker.Registry
	Jobs         map[string]*jobs.Job
	Outbox       *client.Outbox
	Log          *slog.Logger // discards all lines
}

// New returns a Cluster without machines and jobs.
func New() *Cluster {
	platform := &config.Platform{
		Name:         platformName,
		WorkerTiming: config.WorkerTiming{HeartbeatInterval: 4 * time.Second, WorkerLeaseDuration: 20 * time.Second},
		ProcessQuota: config.ProcessQuota{CPUQuota: 0.2, MaxConnections: 1000},
		CloudLimits:  config.CloudLimits{CloudRequestRate: 2},
		Teams:        []config.Team{{Name: team, GuaranteedCPUs: 500, CPULimit: 1e6}},
	}
	log := slog.New(slog.DiscardHandler)
	return &Cluster{
		Now:          time.Unix(10_000, 0),
		Platform:     platform,
		Options:      config.DefaultOptions(),
		MachineTypes: machineTypes(),
		Workers:      worker.NewRegistry(worker.LeaseExpiry(platform.WorkerLeaseDuration), log),
		Jobs:         map[string]*jobs.Job{},
		Outbox:       &client.Outbox{},
		Log:          log,
	}
}

func machineTypes() map[string]*cloud.MachineType {
	return map[string]*cloud.MachineType{
		"small": {
			Name: "small", CPUs: 4, MemoryGB: 8, Zones: []string{"a"}, HourlyPrice: 1, SpotHourlyPrice: 0.3,
			BootSeconds: 40, ImageCacheGB: 40, FetchGBPerSecond: 0.25,
		},
		"large": {
			Name: "large", CPUs: 16, MemoryGB: 64, Zones: []string{"a", "b"}, HourlyPrice: 4, SpotHourlyPrice: 1,
			BootSeconds: 30, ImageCacheGB: 40, FetchGBPerSecond: 0.25,
		},
	}
}

// AddMachine adds a machine without tasks that has just sent a heartbeat. typeName must be in MachineTypes.
func (c *Cluster) AddMachine(number int, typeName, zone string, spot bool) *worker.Machine {
	machine := c.Workers.GetOrAdd(fmt.Sprintf("vm-%06d", number))
	machine.Type, machine.Zone, machine.Spot = typeName, zone, spot
	c.SendHeartbeat(machine)
	machineType := c.MachineTypes[typeName]
	resources := worker.Resources{CPUs: machineType.CPUs, GPUs: machineType.GPUs, MemoryGB: machineType.MemoryGB}
	c.Workers.SetCapacity(machine, resources, machineType.ImageCacheGB, machineType.FetchGBPerSecond)
	machine.Reconciled, machine.Registered = true, true
	return machine
}

// NextHeartbeat returns the next heartbeat of the machine, without tasks.
func NextHeartbeat(machine *worker.Machine) *workerapi.Heartbeat {
	return &workerapi.Heartbeat{
		Machine: machine.ID, Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot, Incarnation: 1, Sequence: machine.Sequence + 1,
	}
}

// SendHeartbeat reconciles a heartbeat in which exactly the tasks on the machine are running. It also renews the lease.
func (c *Cluster) SendHeartbeat(machine *worker.Machine) {
	heartbeat := NextHeartbeat(machine)
	for _, attempt := range machine.Attempts {
		heartbeat.Tasks = append(heartbeat.Tasks, workerapi.TaskStatus{
			Task: attempt.Task.String(), Attempt: attempt.Number, State: workerapi.StateRunning,
		})
	}
	c.Workers.Reconcile(c.Now, machine, heartbeat, true, c.FindJob)
	c.RenewLease(machine)
}

// RenewLease renews the lease of the machine, and records that the machine is alive.
func (c *Cluster) RenewLease(machine *worker.Machine) {
	machine.LeaseRenewedAt, machine.LastContactAt = c.Now, c.Now
}

// FindJob returns the job with this ID, or nil if there is none.
func (c *Cluster) FindJob(id string) *jobs.Job { return c.Jobs[id] }

// AddJob adds an accepted job. The number determines its ID, deadline and constraints. The caller must invalidate the placer's order.
func (c *Cluster) AddJob(number, tasks int, cpus float64) *jobs.Job {
	job := jobs.New(jobs.Spec{
		ID:                fmt.Sprintf("job-%06d", number),
		Class:             class,
		Team:              team,
		Tasks:             tasks,
		CPUs:              cpus,
		MemoryGB:          cpus,
		AllowsSpot:        number%3 > 0,
		SpreadAcrossZones: number%4 == 1,
		RunTimeEstimate:   30 * time.Second,
		Deadline:          time.Duration(number%2) * time.Minute,
	}, c.Now)
	job.State, job.Guaranteed = jobs.Accepted, number%2 == 1
	c.Jobs[job.ID] = job
	return job
}

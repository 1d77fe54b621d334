package autoscaler

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/admission"
	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/queue"
	"gullrudder/internal/controller/straggler"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/controller/zones"
	"gullrudder/internal/testseed"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/workerapi"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// fixture is a Scaler with machines, a cloud, jobs and a clock of its own.
type fixture struct {
	*Scaler
	now    time.Time
	jobs   map[string]*jobs.Job
	outbox *client.Outbox
}

func newFixture() *fixture {
	log := slog.New(slog.DiscardHandler)
	options := config.DefaultOptions()
	platform := &config.Platform{
		Name:                "n",
		HeartbeatInterval:   4 * time.Second,
		WorkerLeaseDuration: 20 * time.Second,
		CPUQuota:            0.2,
		MaxConnections:      1000,
		CloudRequestRate:    2,
		Teams:               []config.Team{{Name: "t", GuaranteedCPUs: 500, CPULimit: 1e6}},
	}
	f := &fixture{now: time.Unix(10_000, 0), jobs: map[string]*jobs.Job{}, outbox: &client.Outbox{}}
	workers := worker.NewRegistry(worker.LeaseExpiry(platform.WorkerLeaseDuration), log)
	queueing := queue.NewComponents(options)
	cloudClient := cloud.New(1, 2, time.Second, log)
	cloudClient.MachineTypes = map[string]*cloud.MachineType{
		"small": {Name: "small", CPUs: 4, MemoryGB: 8, Zones: []string{"a"}, HourlyPrice: 1, SpotHourlyPrice: 0.3, BootSeconds: 40},
		"large": {Name: "large", CPUs: 16, MemoryGB: 64, Zones: []string{"a", "b"}, HourlyPrice: 4, SpotHourlyPrice: 1, BootSeconds: 30},
	}
	placer := placement.New(placement.Components{
		Platform: platform, FencingToken: 1, Jobs: f.jobs, Workers: workers, Ranker: queue.NewRanker(options, platform, queueing),
		Capacity: func(now time.Time) admission.Capacity { return f.ExpectedCapacity(now) }, Outbox: f.outbox, Log: log,
	})
	f.Scaler = New(Components{
		Platform:      platform,
		Options:       &options,
		FencingToken:  1,
		ElectedAt:     f.now,
		IsFirstLeader: func() bool { return true },
		Cloud:         cloudClient,
		Workers:       workers,
		Estimator:     queueing.Estimator,
		Placer:        placer,
		Stragglers:    straggler.NewDetector(platform.HeartbeatInterval),
		Zones:         zones.New(platform.HeartbeatInterval, f.now, log),
		Outbox:        f.outbox,
		Log:           log,
	})
	return f
}

// setObjectives replaces the objectives of the platform.
func (f *fixture) setObjectives(configured ...config.Objective) {
	f.objectives = newObjectiveTracker(objectivesOf(configured), f.now)
}

// addMachine adds a machine that has sent its first heartbeat.
func (f *fixture) addMachine(i int, typeName, zone string, spot bool) *worker.Machine {
	machine := f.workers.GetOrAdd(fmt.Sprintf("vm-%06d", i))
	machine.Type, machine.Zone, machine.Spot = typeName, zone, spot
	f.sendHeartbeat(machine)
	f.cloud.ObserveHeartbeat(f.now, machine.ID, "", placement.MachineKind(machine))
	machineType := f.cloud.MachineTypes[typeName]
	f.workers.SetCapacity(machine, placement.TypeResources(machineType), machineType.ImageCacheGB, machineType.FetchGBPerSecond)
	machine.Reconciled, machine.Registered = true, true
	return machine
}

// nextHeartbeat returns a heartbeat of the machine without tasks.
func nextHeartbeat(machine *worker.Machine) *workerapi.Heartbeat {
	return &workerapi.Heartbeat{
		Machine: machine.ID, Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot, Incarnation: 1, Sequence: machine.Sequence + 1,
	}
}

// sendHeartbeat takes in a heartbeat that has exactly the tasks that are on the machine, all of them running.
func (f *fixture) sendHeartbeat(machine *worker.Machine) {
	heartbeat := nextHeartbeat(machine)
	for _, attempt := range machine.Attempts {
		heartbeat.Tasks = append(heartbeat.Tasks, workerapi.TaskStatus{
			Task: attempt.Task.String(), Attempt: attempt.Number, State: workerapi.StateRunning,
		})
	}
	f.workers.Reconcile(f.now, machine, heartbeat, true, f.findJob)
	f.renewLease(machine)
}

func (f *fixture) findJob(id string) *jobs.Job { return f.jobs[id] }

func (f *fixture) renewLease(machine *worker.Machine) {
	machine.LeaseRenewedAt, machine.LastContactAt = f.now, f.now
}

func (f *fixture) addJob(i, tasks int, cpus float64) *jobs.Job {
	job := jobs.New(jobs.Spec{
		ID: fmt.Sprintf("job-%06d", i), Class: "c", Team: "t", Tasks: tasks, CPUs: cpus, MemoryGB: cpus, AllowsSpot: i%3 > 0,
		SpreadAcrossZones: i%4 == 1, RunTimeEstimate: 30 * time.Second, Deadline: time.Duration(i%2) * time.Minute,
	}, f.now)
	job.State, job.Guaranteed = jobs.Accepted, i%2 == 1
	f.jobs[job.ID] = job
	f.placer.InvalidateOrder()
	return job
}

// assignTasks starts the next tasks of a job on the machine.
func (f *fixture) assignTasks(machine *worker.Machine, job *jobs.Job, count int) {
	for range count {
		index := job.TakeNextTask()
		f.workers.Assign(machine, &jobs.Attempt{
			Task: jobs.TaskID{JobID: job.ID, Index: index}, Number: uint64(index + 1), MachineID: machine.ID, Zone: machine.Zone,
			Job: job, AssignedAt: f.now,
		})
	}
}

// requestCalls lets the cloud client send its calls and returns the requests for instances among them.
func (f *fixture) requestCalls() []client.Call {
	f.cloud.Tick(f.now, f.outbox)
	var requests []client.Call
	for _, call := range f.outbox.TakeCalls() {
		if call.Path == "/hosts" {
			requests = append(requests, call)
		}
	}
	return requests
}

// requestedCount returns the number of instances that a request asks for.
func requestedCount(call client.Call) int { return call.Body.(map[string]any)["how_many"].(int) }

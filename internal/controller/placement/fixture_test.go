package placement

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/admission"
	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/queue"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/testseed"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/workerapi"
)

func TestMain(m *testing.M) { testseed.Main(m) }

var machineTypes = map[string]*cloud.MachineType{
	"small": {
		Name: "small", CPUs: 4, MemoryGB: 8, Zones: []string{"a"}, HourlyPrice: 1, SpotHourlyPrice: 0.3,
		BootSeconds: 40, ImageCacheGB: 40, FetchGBPerSecond: 0.25,
	},
	"large": {
		Name: "large", CPUs: 16, MemoryGB: 64, Zones: []string{"a", "b"}, HourlyPrice: 4, SpotHourlyPrice: 1,
		BootSeconds: 30, ImageCacheGB: 40, FetchGBPerSecond: 0.25,
	},
}

// fixture is a placer with machines and jobs of its own, and the time.
type fixture struct {
	*Placer
	now time.Time
}

func newFixture() *fixture {
	log, options := slog.New(slog.DiscardHandler), config.DefaultOptions()
	platform := &config.Platform{
		Name: "n", HeartbeatInterval: 4 * time.Second, WorkerLeaseDuration: 20 * time.Second, CPUQuota: 0.2, MaxConnections: 1000,
		Teams: []config.Team{{Name: "t", GuaranteedCPUs: 500, CPULimit: 1e6}},
	}
	workers := worker.NewRegistry(worker.LeaseExpiry(platform.WorkerLeaseDuration), log)
	capacity := func(time.Time) admission.Capacity {
		capacity := admission.Capacity{MachineCPUs: 16}
		for _, machine := range workers.Machines {
			capacity.CPUs += machine.CPUs
		}
		return capacity
	}
	return &fixture{now: time.Unix(10_000, 0), Placer: New(Components{
		Platform:     platform,
		FencingToken: 1,
		Jobs:         map[string]*jobs.Job{},
		Workers:      workers,
		Ranker:       queue.NewRanker(options, platform, queue.NewComponents(options)),
		Capacity:     capacity,
		Outbox:       &client.Outbox{},
		Log:          log,
	})}
}

// addMachine adds an empty machine that has just sent a heartbeat.
func (f *fixture) addMachine(number int, machineType, zone string, spot bool) *worker.Machine {
	machine := f.workers.GetOrAdd(fmt.Sprintf("vm-%06d", number))
	machine.Type, machine.Zone, machine.Spot = machineType, zone, spot
	f.observeHeartbeat(machine)
	t := machineTypes[machineType]
	f.workers.SetCapacity(machine, TypeResources(t), t.ImageCacheGB, t.FetchGBPerSecond)
	machine.Reconciled, machine.Registered = true, true
	return machine
}

// observeHeartbeat observes a heartbeat with exactly the tasks that the machine has, all of them running.
func (f *fixture) observeHeartbeat(machine *worker.Machine) {
	heartbeat := &workerapi.Heartbeat{
		Machine: machine.ID, Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot, Incarnation: 1, Sequence: machine.Sequence + 1,
	}
	for _, attempt := range machine.Attempts {
		status := workerapi.TaskStatus{Task: attempt.Task.String(), Attempt: attempt.Number, State: workerapi.StateRunning}
		heartbeat.Tasks = append(heartbeat.Tasks, status)
	}
	f.workers.Reconcile(f.now, machine, heartbeat, true, func(id string) *jobs.Job { return f.jobs[id] })
	machine.LeaseRenewedAt, machine.LastContactAt = f.now, f.now
}

// clearMachine takes all tasks off a machine; they are to be started again.
func (f *fixture) clearMachine(machine *worker.Machine) {
	for _, ended := range f.workers.ReleaseAll(machine) {
		ended.Attempt.Job.Requeue(ended.Attempt.Task.Index)
	}
	f.InvalidateOrder()
}

// addJob adds an accepted job, whose number decides on its deadline and its constraints.
func (f *fixture) addJob(number, tasks int, cpus float64) *jobs.Job {
	job := jobs.New(jobs.Spec{
		ID: fmt.Sprintf("job-%06d", number), Class: "c", Team: "t", Tasks: tasks, CPUs: cpus, MemoryGB: cpus, AllowsSpot: number%3 > 0,
		SpreadAcrossZones: number%4 == 1, RunTimeEstimate: 30 * time.Second, Deadline: time.Duration(number%2) * time.Minute,
	}, f.now)
	job.State, job.Guaranteed = jobs.Accepted, number%2 == 1
	f.jobs[job.ID] = job
	f.InvalidateOrder()
	return job
}

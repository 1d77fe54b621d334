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
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/testseed"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/workerapi"
)

func TestMain(m *testing.M) { testseed.Main(m) }

var machineTypes = map[string]*cloud.MachineType{
	"small": {
		Name:             "small",
		CPUs:             4,
		MemoryGB:         8,
		Zones:            []string{"a"},
		HourlyPrice:      1,
		SpotHourlyPrice:  0.3,
		BootSeconds:      40,
		ImageCacheGB:     40,
		FetchGBPerSecond: 0.25,
	},
	"large": {
		Name:             "large",
		CPUs:             16,
		MemoryGB:         64,
		Zones:            []string{"a", "b"},
		HourlyPrice:      4,
		SpotHourlyPrice:  1,
		BootSeconds:      30,
		ImageCacheGB:     40,
		FetchGBPerSecond: 0.25,
	},
}

// newTestPlacer is a placer with a fleet of machines and jobs of its own.
func newTestPlacer(now time.Time) *Placer {
	log := slog.New(slog.DiscardHandler)
	cfg := &config.Platform{
		Name: "n", HeartbeatInterval: 4 * time.Second, WorkerLeaseDuration: 20 * time.Second, CPUQuota: 0.2, MaxConnections: 1000,
		Teams: []config.Team{{Name: "t", GuaranteedCPUs: 500, CPULimit: 1e6}},
	}
	f := worker.NewRegistry(worker.LeaseExpiry(cfg.WorkerLeaseDuration), log)
	return New(Components{
		Platform: cfg, FencingToken: 1, Jobs: map[string]*jobs.Job{}, Workers: f, Planner: admission.New(config.DefaultOptions(), cfg),
		Capacity: func(time.Time) admission.Capacity {
			r := admission.Capacity{MachineCPUs: 16}
			for _, m := range f.Machines {
				r.CPUs += m.CPUs
			}
			return r
		}, Outbox: &client.Outbox{}, Log: log,
	})
}

func (p *Placer) addMachine(now time.Time, i int, machineType, zone string, spot bool) *worker.Machine {
	machine := p.workers.GetOrAdd(fmt.Sprintf("vm-%06d", i))
	p.observeHeartbeat(now, machine, machineType, zone, spot)
	t := machineTypes[machineType]
	p.workers.SetCapacity(machine, TypeResources(t), t.ImageCacheGB, t.FetchGBPerSecond)
	machine.Reconciled, machine.Registered = true, true
	return machine
}

// observeHeartbeat takes in a report that has exactly what is on the machine, all of it running.
func (p *Placer) observeHeartbeat(now time.Time, machine *worker.Machine, machineType, zone string, spot bool) {
	heartbeat := &workerapi.Heartbeat{
		Machine:     machine.ID,
		Type:        machineType,
		Zone:        zone,
		Spot:        spot,
		Incarnation: 1,
		Sequence:    machine.Sequence + 1,
	}
	for _, a := range machine.Attempts {
		heartbeat.Tasks = append(heartbeat.Tasks, workerapi.TaskStatus{Task: a.Task.String(), Attempt: a.Number, State: workerapi.StateRunning})
	}
	p.workers.Reconcile(now, machine, heartbeat, true, func(id string) *jobs.Job { return p.jobs[id] })
	machine.LeaseRenewedAt, machine.LastContactAt = now, now
}

// clearMachine takes all tasks off a machine; they are started again.
func (p *Placer) clearMachine(machine *worker.Machine) {
	for _, e := range p.workers.ReleaseAll(machine) {
		e.Attempt.Job.Requeue(e.Attempt.Task.Index)
	}
	p.InvalidateOrder()
}

func (p *Placer) addJob(now time.Time, i, tasks int, cpus float64) *jobs.Job {
	job := jobs.New(jobs.Spec{
		ID: fmt.Sprintf("job-%06d", i), Class: "c", Team: "t", Tasks: tasks, CPUs: cpus, MemoryGB: cpus, AllowsSpot: i%3 > 0,
		SpreadAcrossZones: i%4 == 1, RunTimeEstimate: 30 * time.Second, Deadline: time.Duration(i%2) * time.Minute,
	}, now)
	job.State, job.Guaranteed = jobs.Accepted, i%2 == 1
	p.jobs[job.ID] = job
	p.InvalidateOrder()
	return job
}

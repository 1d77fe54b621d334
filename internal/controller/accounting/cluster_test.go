package accounting

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/testseed"
	"gullrudder/internal/wire/workerapi"

	"github.com/prometheus/client_golang/prometheus"
)

func TestMain(m *testing.M) { testseed.Main(m) }

func newTracker() *Tracker {
	tracker, _ := newTrackerWithMetrics()
	return tracker
}

func newTrackerWithMetrics() (*Tracker, *prometheus.Registry) {
	registry := prometheus.NewRegistry()
	return New(NewMetrics(registry), slog.New(slog.DiscardHandler)), registry
}

func newJob(number, tasks int, submittedAt time.Time) *jobs.Job {
	id := fmt.Sprintf("job-%06d", number)
	spec := jobs.Spec{ID: id, Team: "t", Class: "c", Tasks: tasks, CPUs: 1, MemoryGB: 1, AllowsSpot: true}
	job := jobs.New(spec, submittedAt)
	job.State = jobs.Accepted
	return job
}

// cluster is a ClusterState with machines of one type.
type cluster struct {
	ClusterState
	now time.Time
}

func newCluster() *cluster {
	log := slog.New(slog.DiscardHandler)
	c := &cluster{now: time.Unix(10_000, 0), ClusterState: ClusterState{
		FailoverCompleted: true, StorageHealthy: true, Teams: map[string]config.Team{"t": {Name: "t", CPULimit: 100}},
		Workers: worker.NewRegistry(time.Minute, log), Cloud: cloud.New(1, 2, time.Second, log),
	}}
	c.Cloud.MachineTypes = map[string]*cloud.MachineType{"small": {Name: "small", CPUs: 2, MemoryGB: 8, Zones: []string{"a"}}}
	return c
}

func (c *cluster) addMachine(number int) *worker.Machine {
	machine := c.Workers.GetOrAdd(fmt.Sprintf("vm-%d", number))
	heartbeat := &workerapi.Heartbeat{Machine: machine.ID, Type: "small", Zone: "a", Incarnation: 1, Sequence: machine.Sequence + 1}
	c.Workers.Reconcile(c.now, machine, heartbeat, true, func(string) *jobs.Job { return nil })
	c.Workers.SetCapacity(machine, placement.TypeResources(c.Cloud.MachineTypes["small"]), 0, 0)
	return machine
}

func (c *cluster) startTask(machine *worker.Machine, job *jobs.Job) *jobs.Attempt {
	task := job.TakeNextTask()
	attempt := &jobs.Attempt{
		Task:       jobs.TaskID{JobID: job.ID, Index: task},
		Number:     uint64(task + 1),
		MachineID:  machine.ID,
		Zone:       machine.Zone,
		Job:        job,
		AssignedAt: c.now,
	}
	c.Workers.Assign(machine, attempt)
	return attempt
}

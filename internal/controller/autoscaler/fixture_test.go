package autoscaler

import (
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/clustertest"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/queue"
	"gullrudder/internal/controller/straggler"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/controller/zones"
	"gullrudder/internal/testseed"
	"gullrudder/internal/wire/client"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// fixture is a Scaler with a cloud client on a cluster of its own.
type fixture struct {
	*Scaler
	*clustertest.Cluster
}

func newFixture() *fixture {
	f := &fixture{Cluster: clustertest.New()}
	queueing := queue.NewComponents(f.Options)
	cloudClient := cloud.New(1, 2, time.Second, f.Log)
	cloudClient.MachineTypes = f.MachineTypes
	placer := placement.New(placement.Components{
		Platform: f.Platform, FencingToken: 1, Jobs: f.Jobs, Workers: f.Workers,
		Ranker: queue.NewRanker(f.Options, f.Platform, queueing), Outbox: f.Outbox, Log: f.Log,
	})
	f.Scaler = New(Components{
		Platform:     f.Platform,
		Options:      &f.Options,
		FencingToken: 1,
		ElectedAt:    f.Now,
		History:      firstLeaderHistory{},
		Cloud:        cloudClient,
		Workers:      f.Workers,
		Estimator:    queueing.Estimator,
		Placer:       placer,
		Stragglers:   straggler.New(f.Platform.HeartbeatInterval),
		Zones:        zones.New(f.Platform.HeartbeatInterval, f.Now, f.Log),
		Outbox:       f.Outbox,
		Log:          f.Log,
	})
	placer.SetCapacityForecaster(f.Scaler)
	return f
}

// firstLeaderHistory is the LeadershipHistory of a cluster without an earlier leader.
type firstLeaderHistory struct{}

func (firstLeaderHistory) IsFirstLeader() bool { return true }

// setObjectives replaces the objectives of the Scaler.
func (f *fixture) setObjectives(configured ...config.Objective) {
	f.objectives = newObjectiveTracker(objectivesOf(configured), f.Now)
}

// addMachine adds a machine that has sent its first heartbeat.
func (f *fixture) addMachine(number int, typeName, zone string, spot bool) *worker.Machine {
	machine := f.AddMachine(number, typeName, zone, spot)
	f.cloud.ObserveHeartbeat(f.Now, machine.ID, "", placement.MachineKind(machine))
	return machine
}

func (f *fixture) addJob(number, tasks int, cpus float64) *jobs.Job {
	job := f.AddJob(number, tasks, cpus)
	f.placer.InvalidateOrder()
	return job
}

// assignTasks starts the next tasks of a job on the machine.
func (f *fixture) assignTasks(machine *worker.Machine, job *jobs.Job, count int) {
	for range count {
		index := job.TakeNextTask()
		f.workers.Assign(machine, &jobs.Attempt{
			Task: jobs.TaskID{JobID: job.ID, Index: index}, Number: uint64(index + 1), MachineID: machine.ID, Zone: machine.Zone,
			Job: job, AssignedAt: f.Now,
		})
	}
}

// requestCalls lets the cloud client send its calls. It returns those that request instances.
func (f *fixture) requestCalls() []client.Call {
	f.cloud.Tick(f.Now, f.Outbox)
	var requests []client.Call
	for _, call := range f.Outbox.TakeCalls() {
		if call.Path == "/hosts" {
			requests = append(requests, call)
		}
	}
	return requests
}

// requestedCount returns the number of instances that a request asks for.
func requestedCount(call client.Call) int { return call.Body.(map[string]any)["how_many"].(int) }

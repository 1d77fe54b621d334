package placement

import (
	"testing"
	"time"

	"gullrudder/internal/controller/admission"
	"gullrudder/internal/controller/clustertest"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/queue"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// fixture is a placer on a cluster of its own.
type fixture struct {
	*Placer
	*clustertest.Cluster
}

func newFixture() *fixture {
	cluster := clustertest.New()
	f := &fixture{Cluster: cluster, Placer: New(Components{
		Platform:     cluster.Platform,
		FencingToken: 1,
		Jobs:         cluster.Jobs,
		Workers:      cluster.Workers,
		Ranker:       queue.NewRanker(cluster.Options, cluster.Platform, queue.NewComponents(cluster.Options)),
		Outbox:       cluster.Outbox,
		Log:          cluster.Log,
	})}
	f.SetCapacityForecaster(presentCapacity{cluster.Workers})
	return f
}

// presentCapacity forecasts that the machines stay as they are.
type presentCapacity struct{ workers *worker.Registry }

func (p presentCapacity) ExpectedCapacity(time.Time) admission.Capacity {
	capacity := admission.Capacity{MachineCPUs: 16}
	for _, machine := range p.workers.Machines {
		capacity.CPUs += machine.CPUs
	}
	return capacity
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
	job := f.AddJob(number, tasks, cpus)
	f.InvalidateOrder()
	return job
}

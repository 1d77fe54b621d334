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

// fixture is a Placer with its own cluster.
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
	f.SetCapacityForecaster(currentCapacity{cluster.Workers})
	return f
}

// currentCapacity forecasts that the set of machines stays as it is.
type currentCapacity struct{ workers *worker.Registry }

func (p currentCapacity) ExpectedCapacity(time.Time) admission.Capacity {
	capacity := admission.Capacity{MachineCPUs: 16}
	for _, machine := range p.workers.Machines {
		capacity.CPUs += machine.CPUs
	}
	return capacity
}

// clearMachine removes all tasks from a machine and requeues them.
func (f *fixture) clearMachine(machine *worker.Machine) {
	for _, ended := range f.workers.ReleaseAll(machine) {
		ended.Attempt.Job.Requeue(ended.Attempt.Task.Index)
	}
	f.InvalidateOrder()
}

// addJob adds an accepted job. Its deadline and constraints depend on its number, see clustertest.Cluster.AddJob.
func (f *fixture) addJob(number, tasks int, cpus float64) *jobs.Job {
	job := f.AddJob(number, tasks, cpus)
	f.InvalidateOrder()
	return job
}

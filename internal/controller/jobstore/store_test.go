package jobstore

import (
	"log/slog"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/accounting"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/storage"
	"gullrudder/internal/controller/worker"

	"github.com/prometheus/client_golang/prometheus"
)

var now = time.Unix(1000, 0)

// newTestStore returns a store without jobs, with an empty archive.
func newTestStore(t *testing.T) *Store {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	platform := &config.Platform{
		StateLimits: config.StateLimits{MaxValueBytes: 8192, MaxTransactionOps: 8, StateWriteRate: 15, StateRequestRate: 100},
	}
	store := New(Components{
		Platform:   platform,
		Options:    &config.Options{},
		Storage:    storage.New(storage.Options{MaxValueBytes: 8192, MaxTransactionOps: 8, WriteRate: 15}, 7, log),
		Workers:    worker.NewRegistry(time.Minute, log),
		Accounting: accounting.New(accounting.NewMetrics(prometheus.NewRegistry()), log),
		Log:        log,
	})
	if !store.OpenArchive() {
		t.Fatal("open the archive: got false, want true")
	}
	return store
}

// addJob adds a job with one task in the given state.
func addJob(store *Store, id string, state jobs.State, dependencies ...string) *jobs.Job {
	job := jobs.New(jobs.Spec{Tasks: 1, Dependencies: dependencies}, now)
	job.ID, job.State = id, state
	store.Add(job)
	return job
}

// TestDependencyState checks the dependency state of finished, unfinished and unknown jobs.
func TestDependencyState(t *testing.T) {
	store := newTestStore(t)
	store.finished["job-1"] = finishedJob{FinalState: jobs.FinalState{State: jobs.Done, Tasks: 1}}
	store.finished["job-2"] = finishedJob{FinalState: jobs.FinalState{State: jobs.Cancelled, Tasks: 1}}
	addJob(store, "job-3", jobs.Accepted)
	addJob(store, "job-4", jobs.Pending)
	addJob(store, "job-5", jobs.Accepted).IsCancelling = true
	addJob(store, "job-6", jobs.Accepted).HasUndecidedDependency = true
	addJob(store, "job-7", jobs.Accepted).IsService = true
	addJob(store, "job-8", jobs.Done)
	addJob(store, "job-9", jobs.Cancelled)
	for _, test := range []struct {
		name string
		id   string
		want DependencyState
	}{
		{"done", "job-1", DependencyMet},
		{"cancelled", "job-2", DependencyCancelled},
		{"accepted", "job-3", DependencyOpen},
		{"acceptance being written", "job-4", DependencyUndecided},
		{"cancellation being written", "job-5", DependencyUndecided},
		{"own dependency unresolved", "job-6", DependencyUndecided},
		{"service", "job-7", DependencyService},
		{"done, not retired yet", "job-8", DependencyMet},
		{"cancelled, tasks stopping", "job-9", DependencyCancelled},
		{"unknown", "job-10", DependencyNeverAccepted},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := store.DependencyState(test.id); got != test.want {
				t.Errorf("dependency state: got %d, want %d", got, test.want)
			}
		})
	}
}

// orderObserver counts the changes of the queue's order.
type orderObserver struct {
	noObserver
	changes int
}

func (o *orderObserver) OrderChanged() { o.changes++ }

// TestCancellationCancelsDependents checks that a durable cancellation cancels all jobs that depend on the job,
// directly or through others, and no other job.
func TestCancellationCancelsDependents(t *testing.T) {
	store := newTestStore(t)
	first := addJob(store, "job-1", jobs.Accepted)
	second := addJob(store, "job-2", jobs.Accepted, "job-1")
	third := addJob(store, "job-3", jobs.Accepted, "job-2")
	other := addJob(store, "job-4", jobs.Accepted)
	store.WaitForDependencies(now, second, []string{"job-1"})
	store.WaitForDependencies(now, third, []string{"job-2"})
	observer := &orderObserver{}
	store.SetObserver(observer)
	store.ApplyCancellation(now, first)
	for _, job := range []*jobs.Job{first, second, third} {
		if job.State != jobs.Cancelled || !job.CancelConfirmedAt.Equal(now) {
			t.Errorf("%s: state %v, confirmed at %v, want %v, %v", job.ID, job.State, job.CancelConfirmedAt, jobs.Cancelled, now)
		}
	}
	if other.State != jobs.Accepted {
		t.Errorf("%s: state %v, want %v", other.ID, other.State, jobs.Accepted)
	}
	if observer.changes == 0 {
		t.Error("changes of the queue's order: got 0, want at least 1")
	}
}

// TestCancellationsCompletedBefore checks that a cancellation is completed once the job is retired, and that a
// cancellation which an earlier leader confirmed has no known time.
func TestCancellationsCompletedBefore(t *testing.T) {
	store := newTestStore(t)
	if got, known := store.CancellationsCompletedBefore(now); !known || !got.Equal(now) {
		t.Errorf("without cancellations: got %v (known %v), want %v", got, known, now)
	}
	job := addJob(store, "job-1", jobs.Accepted)
	store.ApplyCancellation(now.Add(-time.Minute), job)
	if got, known := store.CancellationsCompletedBefore(now); !known || !got.Equal(now.Add(-time.Minute)) || !store.IsStopping(job) {
		t.Errorf("while the job stops (stopping %v): completed before %v (known %v), want true, %v",
			store.IsStopping(job), got, known, now.Add(-time.Minute))
	}
	store.Save(now, false)
	if store.Find("job-1") == nil {
		t.Error("job-1 retired before all machines are reconciled, want kept")
	}
	store.Save(now.Add(saveInterval), true)
	if got, known := store.CancellationsCompletedBefore(now); !known || !got.Equal(now) || store.Find("job-1") != nil {
		t.Errorf("after retirement: completed before %v (known %v), job kept %v, want %v, false", got, known, store.Find("job-1") != nil, now)
	}
	if state, ok := store.FinalState("job-1"); !ok || state.State != jobs.Cancelled {
		t.Errorf("final state: got %+v (found %v), want cancelled", state, ok)
	}
	restored := addJob(store, "job-2", jobs.Cancelled)
	store.stopping[restored] = true
	if _, known := store.CancellationsCompletedBefore(now); known {
		t.Error("cancellation confirmed by an earlier leader: time known, want unknown")
	}
}

// TestRestoreJob checks that a final record is restored as a final state, and any other record as an unfinished job.
func TestRestoreJob(t *testing.T) {
	accepted := jobs.New(jobs.Spec{Tasks: 3, CPUs: 2}, now).Record()
	cancelled := accepted
	cancelled.State = jobs.NewFinalRecord(jobs.Cancelled, 3).State
	for _, test := range []struct {
		name     string
		record   jobs.Record
		final    bool
		state    jobs.State // if final
		stopping bool
	}{
		{name: "done", record: jobs.NewFinalRecord(jobs.Done, 3), final: true, state: jobs.Done},
		{name: "cancelled and retired", record: jobs.NewFinalRecord(jobs.Cancelled, 3), final: true, state: jobs.Cancelled},
		{name: "cancelled, tasks may still run", record: cancelled, stopping: true},
		{name: "accepted", record: accepted},
	} {
		t.Run(test.name, func(t *testing.T) {
			store := newTestStore(t)
			confirmedAt := now.Add(-time.Minute)
			store.RestoreJob(now, now, confirmedAt, "job-1", func(v any) error {
				*v.(*jobs.Record) = test.record
				return nil
			})
			state, final := store.FinalState("job-1")
			if final != test.final || state.State != test.state || final && state.Tasks != 3 {
				t.Errorf("final state: got %+v (final %v), want state %v, final %v", state, final, test.state, test.final)
			}
			job := store.Find("job-1")
			if (job == nil) != test.final {
				t.Fatalf("unfinished job: got %v, want one: %v", job, !test.final)
			}
			if test.stopping && (!store.IsStopping(job) || !job.CancelConfirmedAt.Equal(confirmedAt)) {
				t.Errorf("stopping %v, confirmed at %v, want true, %v", store.IsStopping(job), job.CancelConfirmedAt, confirmedAt)
			}
		})
	}
}

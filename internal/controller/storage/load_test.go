package storage_test

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"gullrudder/internal/controller/archive"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/storage"
	"gullrudder/internal/simulator"
	"gullrudder/internal/wire/client"
)

const (
	liveJobs   = 2000
	valueBytes = 8192
)

// populate returns a cluster whose state service holds count finished jobs and liveJobs unfinished jobs. The stores under test wrote them.
func populate(b *testing.B, count int, newID func(i int) string) *simulator.Cluster {
	b.Helper()
	cluster := simulator.New(1, simulator.Options{}, slog.New(slog.DiscardHandler))
	now := time.Unix(1000, 0)
	var outbox client.Outbox
	store, archiveStore, finished := openStores(b, cluster, now, &outbox)
	record := jobs.New(jobs.Spec{
		Class: "intake-settle", Team: "harvest-records", Tasks: 40, CPUs: 2, MemoryGB: 4, Image: "img-07", ImageGB: 6.2,
		MachineTypes: []string{"g8", "c4"}, RunTimeEstimate: 4 * time.Minute, Deadline: 15 * time.Minute,
	}, now).Record()
	for i := range liveJobs {
		if err := store.Set(now, fmt.Sprintf("job-9%08d", i), record, storage.SetOptions{Urgent: true}); err != nil {
			b.Fatal(err)
		}
	}
	flush := func() {
		now = now.Add(1100 * time.Millisecond)
		archiveStore.Tick(now, &outbox)
		store.Flush(now, &outbox)
		for calls := outbox.TakeCalls(); len(calls) > 0; calls = outbox.TakeCalls() {
			for _, c := range calls {
				c.Done(now, cluster.State.Exchange(c))
			}
		}
	}
	for i := range count {
		name := newID(i)
		err := store.Set(now, name, jobs.NewFinalRecord(jobs.Done, 100), storage.SetOptions{Urgent: true, Done: func(time.Time, bool) {
			finished[name] = jobs.FinalState{State: jobs.Done, Tasks: 100}
			store.SetFinished(name)
		}})
		if err != nil {
			b.Fatal(err)
		}
		if i%1000 == 999 {
			for range 20 {
				flush()
			}
		}
	}
	for idle := 0; idle < 200; idle++ {
		flush()
	}
	return cluster
}

func openStores(
	b *testing.B,
	cluster *simulator.Cluster,
	now time.Time,
	outbox *client.Outbox,
) (*storage.Store, *archive.Store, map[string]jobs.FinalState) {
	b.Helper()
	log := slog.New(slog.DiscardHandler)
	response := cluster.State.Exchange(
		client.Call{Method: "POST", Path: "/commit", Body: map[string]any{"apply": []any{map[string]any{"write": "leader", "value": 1}}}},
	)
	if response.Status != 200 {
		b.Fatalf("write the leader's key: got status %d, want 200", response.Status)
	}
	store := storage.New(
		storage.Options{LeaderKey: "leader", MaxValueBytes: valueBytes, MaxTransactionOps: 8, WriteRate: 1e6},
		cluster.State.Revision(),
		log,
	)
	store.Load(outbox)
	for calls := outbox.TakeCalls(); len(calls) > 0; calls = outbox.TakeCalls() {
		for _, c := range calls {
			c.Done(now, cluster.State.Exchange(c))
		}
	}
	finished := map[string]jobs.FinalState{}
	archiveStore, err := archive.New(store, archive.Options{
		MaxValueBytes: valueBytes, MaxTransactionOps: 8, WriteRate: 1e6, ReadRate: 1e6, MinSegmentJobs: 128, CompactionFanIn: 8,
		CanArchive: func(_ time.Time, id string) bool { _, ok := finished[id]; return ok },
		FinalState: func(id string) (jobs.FinalState, bool) { f, ok := finished[id]; return f, ok },
		OnArchived: func(ids []string) { deleteAll(finished, ids) },
	}, log)
	if err != nil {
		b.Fatal(err)
	}
	return store, archiveStore, finished
}

func deleteAll(finished map[string]jobs.FinalState, ids []string) {
	for _, id := range ids {
		delete(finished, id)
	}
}

// recordedLoad loads the state of a populated state service. The first load records the responses and later ones replay them, so that only
// the leader's work is measured.
type recordedLoad struct {
	b         *testing.B
	cluster   *simulator.Cluster // nil once the responses have been recorded
	responses []client.Result
}

func (r *recordedLoad) load() (*storage.Store, *archive.Store) {
	r.b.Helper()
	var outbox client.Outbox
	log := slog.New(slog.DiscardHandler)
	store := storage.New(storage.Options{LeaderKey: "leader", MaxValueBytes: valueBytes, MaxTransactionOps: 8, WriteRate: 1e6}, 1, log)
	store.Load(&outbox)
	next := 0
	for calls := outbox.TakeCalls(); len(calls) > 0; calls = outbox.TakeCalls() {
		for _, call := range calls {
			if r.cluster != nil {
				r.responses = append(r.responses, r.cluster.State.Exchange(call))
			}
			call.Done(time.Unix(2000, 0), r.responses[next])
			next++
		}
	}
	options := archive.Options{MaxValueBytes: valueBytes, MaxTransactionOps: 8, WriteRate: 1, ReadRate: 1, CompactionFanIn: 8}
	archiveStore, err := archive.New(store, options, log)
	if err != nil {
		r.b.Fatal(err)
	}
	return store, archiveStore
}

// measureHeap returns the result of load and the number of heap bytes that it holds.
func measureHeap(load func() (*storage.Store, *archive.Store)) (store *storage.Store, archiveStore *archive.Store, heapBytes int64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	store, archiveStore = load()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return store, archiveStore, int64(after.HeapAlloc) - int64(before.HeapAlloc)
}

// BenchmarkLoad measures how a leader processes the responses of the state service at a failover. The service holds 2,000 unfinished jobs
// and the given number of finished jobs. Job IDs are drawn from ten times as many numbers, and in the last case from all 14-digit numbers.
func BenchmarkLoad(b *testing.B) {
	spreadIDs := func(n int) func(int) string {
		perm := rand.New(rand.NewPCG(1, 2)).Perm(10 * n)
		return func(i int) string { return fmt.Sprintf("job-%07d", perm[i]) }
	}
	random := rand.New(rand.NewPCG(3, 4))
	randomIDs := func(int) string { return fmt.Sprintf("job-%014d", random.Uint64N(1e14)) }
	for _, testCase := range []struct {
		name     string
		finished int
		id       func(int) string
	}{
		{"1000", 1000, spreadIDs(1000)},
		{"100000", 100_000, spreadIDs(100_000)},
		{"1000000", 1_000_000, spreadIDs(1_000_000)},
		{"1000000 of 14 digits", 1_000_000, randomIDs},
	} {
		b.Run(testCase.name, func(b *testing.B) { benchmarkLoad(b, testCase.finished, testCase.id) })
	}
}

func benchmarkLoad(b *testing.B, finished int, newID func(int) string) {
	b.Helper()
	recorded := &recordedLoad{b: b, cluster: populate(b, finished, newID)}
	recorded.load()
	recorded.cluster = nil
	store, archiveStore, heapBytes := measureHeap(recorded.load)
	archivedCount, segments := archiveStore.JobCount(), archiveStore.SegmentCount()
	unarchived := 0
	store.ForEach(func(string, func(any) error) { unarchived++ })
	if archivedCount+unarchived < finished*99/100+liveJobs {
		b.Fatalf("jobs kept: got %d archived and %d in pages, want at least %d", archivedCount, unarchived, finished*99/100+liveJobs)
	}
	bytes := 0
	for _, response := range recorded.responses {
		bytes += len(response.Body)
	}
	for b.Loop() {
		recorded.load()
	}
	b.ReportMetric(float64(len(recorded.responses)), "requests")
	b.ReportMetric(float64(bytes)/1e6, "MB-read")
	b.ReportMetric(float64(heapBytes)/(1<<20), "MB-held")
	b.ReportMetric(float64(segments), "runs")
	b.ReportMetric(float64(unarchived-liveJobs), "unsealed")
}

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

// populate is a state service with a ledger of so many finished jobs, written by the ledger and
// the keeper themselves, and 2,000 live jobs.
func populate(b *testing.B, count int, id func(i int) string) *simulator.World {
	cluster := simulator.New(1, simulator.Options{}, slog.New(slog.DiscardHandler))
	now := time.Unix(1000, 0)
	var box client.Outbox
	store, archiveStore, finished := openStores(b, cluster, now, &box)
	record := jobs.New(jobs.Spec{
		Class: "intake-settle", Team: "harvest-records", Tasks: 40, CPUs: 2, MemoryGB: 4, Image: "img-07", ImageGB: 6.2,
		MachineTypes: []string{"g8", "c4"}, RunTimeEstimate: 4 * time.Minute, Deadline: 15 * time.Minute,
	}, now).Record()
	for i := range liveJobs {
		if err := store.Set(now, fmt.Sprintf("job-9%08d", i), record, 0, true, nil); err != nil {
			b.Fatal(err)
		}
	}
	flush := func() {
		now = now.Add(1100 * time.Millisecond)
		archiveStore.Tick(now, &box)
		store.Flush(now, &box)
		for calls := box.TakeCalls(); len(calls) > 0; calls = box.TakeCalls() {
			for _, c := range calls {
				c.Done(now, cluster.State.Exchange(c))
			}
		}
	}
	for i := range count {
		name := id(i)
		err := store.Set(now, name, jobs.NewFinalRecord(jobs.Done, 100), 0, true, func(_ time.Time, ok bool) {
			finished[name] = archive.FinalState{Tasks: 100}
			store.SetFinished(name)
		})
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
	cluster *simulator.World,
	now time.Time,
	box *client.Outbox,
) (*storage.Store, *archive.Store, map[string]archive.FinalState) {
	log := slog.New(slog.DiscardHandler)
	put := cluster.State.Exchange(
		client.Call{Method: "POST", Path: "/commit", Body: map[string]any{"apply": []any{map[string]any{"write": "leader", "value": 1}}}},
	)
	if put.Status != 200 {
		b.Fatal(put.Status)
	}
	store := storage.New(
		storage.Options{LeaderKey: "leader", ValueBytes: valueBytes, TxnOps: 8, WriteRate: 1e6},
		cluster.State.Revision(),
		log,
	)
	store.Load(box)
	for calls := box.TakeCalls(); len(calls) > 0; calls = box.TakeCalls() {
		for _, c := range calls {
			c.Done(now, cluster.State.Exchange(c))
		}
	}
	finished := map[string]archive.FinalState{}
	archiveStore, err := archive.New(store, archive.Options{
		ValueBytes: valueBytes, TxnOps: 8, WriteRate: 1e6, ReadRate: 1e6, MinSegmentJobs: 128, CompactionFanIn: 8,
		CanArchive: func(_ time.Time, id string) bool { _, ok := finished[id]; return ok },
		FinalState: func(id string) (archive.FinalState, bool) { f, ok := finished[id]; return f, ok },
		OnArchived: func(ids []string) { deleteAll(finished, ids) },
	}, log)
	if err != nil {
		b.Fatal(err)
	}
	return store, archiveStore, finished
}

func deleteAll(finished map[string]archive.FinalState, ids []string) {
	for _, id := range ids {
		delete(finished, id)
	}
}

// BenchmarkLoad is a takeover's reading of a ledger with 2,000 live jobs and so many finished
// ones: the answers of the state service are there, and what is measured is what the leader
// does with them. Ids are spread over ten times as many numbers, and in the last case over all
// of 14 digits.
func BenchmarkLoad(b *testing.B) {
	spread := func(n int) func(int) string {
		perm := rand.New(rand.NewPCG(1, 2)).Perm(10 * n)
		return func(i int) string { return fmt.Sprintf("job-%07d", perm[i]) }
	}
	random := rand.New(rand.NewPCG(3, 4))
	anywhere := func(int) string { return fmt.Sprintf("job-%014d", random.Uint64N(1e14)) }
	for _, testCase := range []struct {
		name     string
		finished int
		id       func(int) string
	}{{"1000", 1000, spread(1000)}, {"100000", 100_000, spread(100_000)}, {"1000000", 1_000_000, spread(1_000_000)}, {"1000000 of 14 digits", 1_000_000, anywhere}} {
		b.Run(testCase.name, func(b *testing.B) {
			cluster := populate(b, testCase.finished, testCase.id)
			var answers []client.Result
			replay := false
			at := 0
			load := func() (*storage.Store, *archive.Store) {
				var box client.Outbox
				store := storage.New(
					storage.Options{LeaderKey: "leader", ValueBytes: valueBytes, TxnOps: 8, WriteRate: 1e6},
					1,
					slog.New(slog.DiscardHandler),
				)
				store.Load(&box)
				at = 0
				for calls := box.TakeCalls(); len(calls) > 0; calls = box.TakeCalls() {
					for _, call := range calls {
						if !replay {
							answers = append(answers, cluster.State.Exchange(call))
						}
						call.Done(time.Unix(2000, 0), answers[at])
						at++
					}
				}
				archiveStore, err := archive.New(
					store,
					archive.Options{ValueBytes: valueBytes, TxnOps: 8, WriteRate: 1, ReadRate: 1, CompactionFanIn: 8},
					slog.New(slog.DiscardHandler),
				)
				if err != nil {
					b.Fatal(err)
				}
				return store, archiveStore
			}
			load()
			replay = true
			cluster = nil
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			store, archiveStore := load()
			runtime.GC()
			runtime.ReadMemStats(&after)
			heap := float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)) / (1 << 20)
			archived, segments := archiveStore.JobCount(), archiveStore.SegmentCount()
			left := 0
			store.ForEach(func(string, func(any) error) { left++ })
			if archived+left < testCase.finished*99/100+liveJobs {
				b.Fatalf("%d sealed and %d in pages", archived, left)
			}
			bytes := 0
			for _, a := range answers {
				bytes += len(a.Body)
			}
			for b.Loop() {
				load()
			}
			b.ReportMetric(float64(len(answers)), "requests")
			b.ReportMetric(float64(bytes)/1e6, "MB-read")
			b.ReportMetric(heap, "MB-held")
			b.ReportMetric(float64(segments), "runs")
			b.ReportMetric(float64(left-liveJobs), "unsealed")
		})
	}
}

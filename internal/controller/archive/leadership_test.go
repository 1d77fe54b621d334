package archive_test

import (
	"fmt"
	"hash/fnv"
	"log/slog"
	"time"

	"gullrudder/internal/controller/archive"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/storage"
	"gullrudder/internal/simulator"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/stateapi"
)

const leaderKey = "leader"

// leadership is a leader that consists only of its storage and its archive.
type leadership struct {
	cluster  *simulator.Cluster
	storage  *storage.Store
	archive  *archive.Store
	finished map[string]jobs.FinalState
	outbox   client.Outbox
	now      time.Time
}

// executeAll executes all calls, including those that their responses cause.
func (r *leadership) executeAll() {
	for calls := r.outbox.TakeCalls(); len(calls) > 0; calls = r.outbox.TakeCalls() {
		for _, call := range calls {
			call.Done(r.now, r.cluster.State.Exchange(call))
		}
	}
}

// becomeLeader begins a leadership. It writes the leader's key, which gets a new revision, and loads all pages and the archive.
func becomeLeader(t fataler, cluster *simulator.Cluster, now time.Time, leaderNumber uint64, rate float64) *leadership {
	t.Helper()
	response := cluster.State.Exchange(client.Call{Method: "POST", Path: "/commit", Body: map[string]any{
		"guards": []any{},
		"apply":  []any{map[string]any{"write": leaderKey, "value": map[string]any{"n": leaderNumber}}},
	}})
	if response.Status != 200 {
		t.Fatalf("write the leader's key: got status %d, want 200", response.Status)
	}
	r := &leadership{cluster: cluster, now: now, finished: map[string]jobs.FinalState{}}
	log := slog.New(slog.DiscardHandler)
	r.storage = storage.New(
		storage.Options{LeaderKey: leaderKey, MaxValueBytes: 1024, MaxTransactionOps: 8, WriteRate: 7 * rate},
		cluster.State.Revision(),
		log,
	)
	r.storage.Load(&r.outbox)
	r.executeAll()
	if !r.storage.IsLoaded() {
		t.Fatalf("storage not loaded, want loaded")
	}
	var err error
	r.archive, err = archive.New(r.storage, archive.Options{
		MaxValueBytes: 1024, MaxTransactionOps: 8, WriteRate: rate, ReadRate: 1000, MinSegmentJobs: 3, CompactionFanIn: 2,
		CanArchive: func(_ time.Time, id string) bool { _, ok := r.finished[id]; return ok },
		FinalState: func(id string) (jobs.FinalState, bool) { f, ok := r.finished[id]; return f, ok },
		OnArchived: func(ids []string) {
			for _, id := range ids {
				delete(r.finished, id)
			}
		},
	}, log)
	if err != nil {
		t.Fatalf("open the archive: %v", err)
	}
	r.storage.ForEach(func(name string, decode func(any) error) {
		var record jobs.Record
		if err := decode(&record); err != nil {
			t.Fatalf("decode the record of %s: %v", name, err)
		}
		r.finished[name] = finalState(record)
		r.storage.SetFinished(name)
	})
	return r
}

// finalState returns the final state in the record of a finished job.
func finalState(record jobs.Record) jobs.FinalState {
	if record.State == "c" {
		return jobs.FinalState{State: jobs.Cancelled, Tasks: record.Tasks}
	}
	return jobs.FinalState{State: jobs.Done, Tasks: record.Tasks}
}

// requiresLeaderKey reports whether a commit has a precondition on the leader's key, so that it is rejected once another leader is elected.
func requiresLeaderKey(c client.Call) bool {
	for _, precondition := range c.Body.(stateapi.CommitRequest).Preconditions {
		if precondition.Key == leaderKey {
			return true
		}
	}
	return false
}

type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

func (r *leadership) finish(t fataler, jobID string, finalState jobs.FinalState, durable func()) {
	done := func(_ time.Time, ok bool) {
		if ok {
			r.finished[jobID] = finalState
			r.storage.SetFinished(jobID)
			durable()
		}
	}
	err := r.storage.Set(r.now, jobID, jobs.NewFinalRecord(finalState.State, finalState.Tasks), storage.SetOptions{Urgent: true, Done: done})
	if err != nil {
		t.Fatalf("store the final record of %s: %v", jobID, err)
	}
}

func (r *leadership) tick() { r.tickAfter(1100 * time.Millisecond) }

func (r *leadership) tickAfter(d time.Duration) {
	r.now = r.now.Add(d)
	r.archive.Tick(r.now, &r.outbox)
	r.storage.Flush(r.now, &r.outbox)
}

// lookUp returns the final state of a job as users see it. ok is false if the lookup must be retried.
func (r *leadership) lookUp(id string) (finalState jobs.FinalState, found, ok bool) {
	if finalState, known := r.finished[id]; known {
		return finalState, true, true
	}
	if r.archive.LookupIndex(id) == archive.Absent {
		return finalState, false, true
	}
	r.archive.LookupData(r.now, &r.outbox, id, func(_ time.Time, got jobs.FinalState, known bool, err error) {
		finalState, found, ok = got, known, err == nil
	})
	r.executeAll()
	return finalState, found, ok
}

// collidingIDs returns two job IDs that have the same key in the index.
func collidingIDs() (string, string) {
	seen := map[uint32]string{}
	for i := 0; ; i++ {
		digits := fmt.Sprintf("%014d", i)
		h := fnv.New32a()
		h.Write([]byte(digits))
		hash := h.Sum32() >> 4
		if other, ok := seen[hash]; ok {
			return "job-" + other, "job-" + digits
		}
		seen[hash] = digits
	}
}

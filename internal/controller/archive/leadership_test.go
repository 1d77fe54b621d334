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

// leadership is a leader with its storage and archive only.
type leadership struct {
	cluster  *simulator.Cluster
	storage  *storage.Store
	archive  *archive.Store
	finished map[string]jobs.FinalState
	outbox   client.Outbox
	now      time.Time
}

// executeAll has the state service execute all calls, and those that follow from them.
func (r *leadership) executeAll() {
	for calls := r.outbox.TakeCalls(); len(calls) > 0; calls = r.outbox.TakeCalls() {
		for _, call := range calls {
			call.Done(r.now, r.cluster.State.Exchange(call))
		}
	}
}

// becomeLeader begins a leadership: the leader's key gets a new revision, and all pages are read.
func becomeLeader(t fataler, cluster *simulator.Cluster, now time.Time, leaderNumber uint64, rate float64) *leadership {
	t.Helper()
	put := cluster.State.Exchange(client.Call{Method: "POST", Path: "/commit", Body: map[string]any{
		"guards": []any{},
		"apply":  []any{map[string]any{"write": leaderKey, "value": map[string]any{"n": leaderNumber}}},
	}})
	if put.Status != 200 {
		t.Fatalf("write the leader's key: got status %d, want 200", put.Status)
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
		var rec jobs.Record
		if err := decode(&rec); err != nil {
			t.Fatalf("decode the record of %s: %v", name, err)
		}
		r.finished[name] = finalState(rec)
		r.storage.SetFinished(name)
	})
	return r
}

// finalState returns what the record of a finished job says.
func finalState(rec jobs.Record) jobs.FinalState {
	if rec.State == "c" {
		return jobs.FinalState{State: jobs.Cancelled, Tasks: rec.Tasks}
	}
	return jobs.FinalState{State: jobs.Done, Tasks: rec.Tasks}
}

// requiresLeaderKey reports whether a commit is refused once another leader was elected.
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

// lookUp returns what a user can read of the job; ok is false if the lookup has to be retried.
func (r *leadership) lookUp(id string) (finalState jobs.FinalState, found, ok bool) {
	if finalState, there := r.finished[id]; there {
		return finalState, true, true
	}
	if r.archive.LookupIndex(id) == archive.Absent {
		return finalState, false, true
	}
	r.archive.LookupData(r.now, &r.outbox, id, func(_ time.Time, got jobs.FinalState, there bool, err error) {
		finalState, found, ok = got, there, err == nil
	})
	r.executeAll()
	return finalState, found, ok
}

// collidingIDs returns two IDs with the same key in the index.
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

package archive_test

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/storage"
	"gullrudder/internal/simulator"
	"gullrudder/internal/wire/client"
)

// TestArchivingWaitsForUserWrites checks that no job is archived while urgent writes fill the transactions, and that jobs
// are archived once the transactions have space left.
func TestArchivingWaitsForUserWrites(t *testing.T) {
	cluster := simulator.New(1, simulator.Options{}, slog.New(slog.DiscardHandler))
	leader := becomeLeader(t, cluster, time.Unix(5000, 0), 1, 1000)
	for i := range 10 {
		leader.finish(t, fmt.Sprintf("job-%06d", i), jobs.FinalState{State: jobs.Done, Tasks: 1}, func() {})
	}
	round := func(urgent int) {
		for i := range urgent { // each entry needs a page of its own
			id, options := fmt.Sprintf("job-2%05d", i), storage.SetOptions{ReservedBytes: 800, Urgent: true}
			if err := leader.storage.Set(leader.now, id, jobs.NewFinalRecord(jobs.Done, 1), options); err != nil {
				t.Fatal(err)
			}
		}
		leader.tick()
		leader.executeAll()
	}
	for range 30 {
		round(8)
	}
	if n := leader.archive.SegmentCount(); n > 0 {
		t.Errorf("segments written while user writes fill the transactions: got %d, want 0", n)
	}
	for range 3 {
		round(2)
	}
	if leader.archive.SegmentCount() == 0 {
		t.Error("segments written while few user writes are made: got 0, want at least 1")
	}
}

// TestFailedWriteIsRetriedUnchanged checks that a write of several parts without a response is retried with the same
// parts, although the budget may allow more parts by then. If the first attempt is executed late, the read-back checks
// only its first part. If the retry had other parts, missing parts would count as written.
func TestFailedWriteIsRetriedUnchanged(t *testing.T) {
	cluster := simulator.New(1, simulator.Options{}, slog.New(slog.DiscardHandler))
	leader := becomeLeader(t, cluster, time.Unix(5000, 0), 1, 3)
	for i := range 120 {
		leader.finish(t, fmt.Sprintf("job-%032d", i), jobs.FinalState{State: jobs.Done, Tasks: i}, func() {})
	}
	var heldCall *client.Call
	attempts := 0
	for range 1200 {
		leader.tickAfter(100 * time.Millisecond) // the write budget is small at first and grows
		for _, c := range leader.outbox.TakeCalls() {
			if c.Path == "/commit" && strings.Contains(fmt.Sprint(c.Body), "results/00000001/00000") && attempts < 2 {
				if attempts++; attempts == 1 {
					heldCall = &c
					c.Done(leader.now, client.Result{})
					leader.now = leader.now.Add(3 * time.Second)
					continue
				}
				cluster.State.Exchange(*heldCall) // the first attempt is executed late
			}
			c.Done(leader.now, cluster.State.Exchange(c))
		}
		leader.executeAll()
	}
	if leader.archive.JobCount() != 120 || attempts < 2 {
		t.Fatalf("archived jobs: got %d after %d attempts, want 120 after at least 2", leader.archive.JobCount(), attempts)
	}
	leader = becomeLeader(t, cluster, leader.now, 2, 3)
	for i := range 120 {
		id := fmt.Sprintf("job-%032d", i)
		if f, found, ok := leader.lookUp(id); !ok || !found || f.Tasks != i {
			t.Fatalf("%s: got %+v (found %v, readable %v), want %d tasks", id, f, found, ok, i)
		}
	}
}

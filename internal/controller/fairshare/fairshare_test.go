package fairshare

import (
	"fmt"
	"log/slog"
	"math"
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/storage"
	"gullrudder/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

func testPolicy() Policy {
	return Policy{Window: 10 * time.Minute, MinServedShare: 0.6, CapacityShare: 0.2, OverdueShare: 0.1}
}

// newJob returns an accepted job whose tasks run for a minute.
func newJob(number int, class, team string, tasks int, cpus float64) *jobs.Job {
	job := jobs.New(
		jobs.Spec{
			ID:              fmt.Sprintf("job-%d", number),
			Class:           class,
			Team:            team,
			Tasks:           tasks,
			CPUs:            cpus,
			MemoryGB:        1,
			RunTimeEstimate: time.Minute,
		},
		time.Unix(1000, 0),
	)
	job.State = jobs.Accepted
	return job
}

// starvedJob returns the job as an overdue job that counts against its class and team.
func starvedJob(job *jobs.Job) OverdueJob {
	return OverdueJob{
		Job:                 job,
		RemainingCPUSeconds: float64(job.Tasks) * job.CPUs * 60,
		StartableTasks:      job.WaitingTasks(),
		IsStarved:           true,
	}
}

func startAllTasks(job *jobs.Job) {
	for task := range job.Tasks {
		if job.ActiveAttempts[task] == nil {
			job.AddAttempt(&jobs.Attempt{Task: jobs.TaskID{JobID: job.ID, Index: task}, Job: job})
		}
	}
}

// TestServedCountsAreRestored checks that a leader elected during a shortage restores the served counts, decayed since they
// were saved.
func TestServedCountsAreRestored(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	store := storage.New(storage.Options{MaxValueBytes: 4096, MaxTransactionOps: 8, WriteRate: 20}, 1, log)
	now := time.Unix(10_000, 0)
	allocator := New(testPolicy())
	for i := range 200 {
		allocator.RecordDone(now, newJob(i, fmt.Sprint("class-", i%100), "t", 1, 1))
	}
	allocator.Save(now, store, log)
	next, later := New(testPolicy()), now.Add(10*time.Minute)
	found := false
	store.ForEach(func(name string, decode func(any) error) {
		if found = name == EntryName; found {
			if err := next.Restore(later, decode, store); err != nil {
				t.Errorf("restore served counts: %v", err)
			}
		}
	})
	if !found {
		t.Fatalf("entry %q not written, want written", EntryName)
	}
	team := next.done[Group{IsTeam: true, Name: "t"}]
	if got := team.decayTo(later, testPolicy().Window); math.Abs(got-200/math.E) > 1 {
		t.Errorf("served jobs after one window: got %.2f, want %.2f", got, 200/math.E)
	}
	if len(next.done) > maxSavedGroups {
		t.Errorf("restored groups: got %d, want at most %d", len(next.done), maxSavedGroups)
	}
}

// TestOverdueNotStarvedGetsSmallShare checks that jobs that are overdue but not starved get only the small share. On a
// busy day of the first site, whole classes were overdue and done soon after. Two fifths of the cluster for them made other
// jobs miss their objectives.
func TestOverdueNotStarvedGetsSmallShare(t *testing.T) {
	for _, c := range []struct {
		name      string
		isStarved bool
		want      int // of 40 jobs
		reason    Reason
	}{
		{"overdue", false, 10, Overdue},
		{"starved", true, 20, BelowMinShare},
	} {
		t.Run(c.name, func(t *testing.T) {
			var overdue []OverdueJob
			for i := range 40 {
				candidate := starvedJob(newJob(i, "c", "t", 1, 1))
				candidate.IsStarved = c.isStarved
				overdue = append(overdue, candidate)
			}
			allocations := New(testPolicy()).Allocate(time.Unix(10_000, 0), overdue, nil, 100)
			if len(allocations) != c.want {
				t.Errorf("jobs with allocations: got %d of 40, want %d", len(allocations), c.want)
			}
			for job, reason := range allocations {
				if reason != c.reason {
					t.Errorf("reason of %s: got %d, want %d", job.ID, reason, c.reason)
				}
			}
		})
	}
}

// TestAllocatedCPUsCountWhileInUse checks that allocated capacity counts while it is in use, even if its job has no task
// left to start.
func TestAllocatedCPUsCountWhileInUse(t *testing.T) {
	allocator, now := New(testPolicy()), time.Unix(10_000, 0)
	first, second := newJob(1, "c", "t", 20, 1), newJob(2, "c", "t", 20, 1)
	if allocator.Allocate(now, []OverdueJob{starvedJob(first)}, nil, 100)[first] == 0 {
		t.Fatal("allocation to an overdue job: got none, want one")
	}
	startAllTasks(first)
	if allocations := allocator.Allocate(now, []OverdueJob{starvedJob(first), starvedJob(second)}, nil, 100); len(allocations) != 0 {
		t.Errorf("allocations beyond the share: got %d, want 0", len(allocations))
	}
	if allocator.ReservedCPUShare() != 0 {
		t.Errorf("reserved share of the CPUs without allocations: got %g, want 0", allocator.ReservedCPUShare())
	}
	allocator.RecordDone(now, first)
	if allocator.Allocate(now, []OverdueJob{starvedJob(second)}, nil, 100)[second] == 0 {
		t.Error("allocation of released capacity: got none, want one")
	}
}

// TestLargestJobsOfClass checks that a class with jobs of one size has no largest jobs. In other classes, the top tenth by
// work or by tasks are largest jobs, and at least one job is. As a group of their own, the largest jobs can be below the
// minimum share although their class is served well.
func TestLargestJobsOfClass(t *testing.T) {
	now := time.Unix(5000, 0)
	allocator := New(Policy{Window: time.Hour, MinServedShare: 0.7, CapacityShare: 0.5})
	var live []*jobs.Job
	for i := range 30 {
		live = append(live, newJob(i, "even", "t", 7, 1), newJob(100+i, "odd", "t", 5, 1))
	}
	mostWork, mostTasks := newJob(300, "odd", "t", 400, 1), newJob(301, "odd", "t", 500, 0.01)
	live = append(live, mostWork, mostTasks)
	for range 40 {
		allocator.RecordDone(now, live[0])
		allocator.RecordDone(now, live[1])
	}
	allocations := allocator.Allocate(now, []OverdueJob{starvedJob(mostWork), starvedJob(live[1])}, live, 10_000)
	for _, job := range live {
		isLargest := len(allocator.groupsOf(job)) == 3
		if want := job == mostWork || job == mostTasks; isLargest != want {
			t.Errorf("job of class %s with %d tasks: got largest %v, want %v", job.Class, job.Tasks, isLargest, want)
		}
	}
	if allocations[mostWork] != BelowMinShare || allocations[live[1]] == BelowMinShare {
		t.Errorf(
			"reasons: got %v for one of the largest, %v for another job, want only the first %v",
			allocations[mostWork], allocations[live[1]], BelowMinShare,
		)
	}
}

// TestLargestJobsWaitForHalfOfClass checks that the largest job of a class is not served first while less than half of the
// class is done. It would take the capacity of a job that can still be done.
func TestLargestJobsWaitForHalfOfClass(t *testing.T) {
	now := time.Unix(5000, 0)
	allocator := New(Policy{Window: time.Hour, MinServedShare: 0.7, CapacityShare: 0.4})
	var live []*jobs.Job
	var overdue []OverdueJob
	for i := range 6 {
		job := newJob(i, "guest", "guests", 55, 8)
		job.RunTimeEstimate = time.Duration(4+i) * time.Minute
		live = append(live, job)
		overdue = append(
			overdue,
			OverdueJob{Job: job, RemainingCPUSeconds: 55 * 8 * job.RunTimeEstimate.Seconds(), StartableTasks: 55, IsStarved: true},
		)
	}
	allocations := allocator.Allocate(now, overdue, live, 3300)
	for i, job := range live {
		if want := i < 3; (allocations[job] != 0) != want {
			t.Errorf("job %d with tasks of %v: got reason %v, want allocated %v", i, job.RunTimeEstimate, allocations[job], want)
		}
	}
	// Once half of the class is done, the group of its largest jobs is the least served.
	for _, job := range live[:3] {
		allocator.RecordDone(now, job)
	}
	if allocations := allocator.Allocate(now, overdue[3:], live[3:], 1000); allocations[live[5]] == 0 || allocations[live[3]] != 0 {
		t.Errorf("allocations after half of the class is done: got %v, want one for %s and none for %s", allocations, live[5].ID, live[3].ID)
	}
}

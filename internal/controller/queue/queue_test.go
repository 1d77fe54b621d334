package queue

import (
	"fmt"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/admission"
	"gullrudder/internal/controller/jobs"
)

func newTestRanker(platform *config.Platform) *Ranker {
	options := config.DefaultOptions()
	return NewRanker(options, platform, NewComponents(options))
}

// newJob returns an accepted job with tasks of one CPU.
func newJob(spec jobs.Spec, submittedAt time.Time) *jobs.Job {
	spec.CPUs, spec.MemoryGB = 1, 1
	job := jobs.New(spec, submittedAt)
	job.State = jobs.Accepted
	return job
}

// TestOrderWithOverdueGuaranteedJob checks that a guaranteed job that is overdue by more than two planning intervals stays in
// the order.
func TestOrderWithOverdueGuaranteedJob(t *testing.T) {
	now := time.Unix(10_000, 0)
	ranker := newTestRanker(&config.Platform{})
	overdue := newJob(
		jobs.Spec{ID: "job-1", Class: "c", Tasks: 4, RunTimeEstimate: 20 * time.Second, Deadline: time.Minute},
		now.Add(-10*time.Minute),
	)
	overdue.Guaranteed = true
	fresh := newJob(jobs.Spec{ID: "job-2", Class: "c", Tasks: 4, RunTimeEstimate: 20 * time.Second, Deadline: 2 * time.Minute}, now)
	if got := ranker.Order(now, []*jobs.Job{overdue, fresh}, admission.Capacity{CPUs: 16, MachineCPUs: 8}); len(got) != 2 {
		t.Errorf("jobs in the order: got %d, want 2", len(got))
	}
}

// TestLimitBoundTeams checks that a team is limit-bound if its work is delayed by its quota rather than by the cluster.
// Without the comparison with the cluster, the score of the smaller varga deployment (docs/measurements.md) fell from 0.80 to
// 0.78 on three seeds.
func TestLimitBoundTeams(t *testing.T) {
	now := time.Unix(10_000, 0)
	ranker := newTestRanker(&config.Platform{Teams: []config.Team{{Name: "t", CPULimit: 10}, {Name: "u"}}})
	limited := newJob(
		jobs.Spec{ID: "job-1", Class: "c", Team: "t", Tasks: 100, RunTimeEstimate: 10 * time.Second},
		now,
	) // 100 s at its quota
	small := newJob(jobs.Spec{ID: "job-3", Class: "c", Team: "t", Tasks: 50, RunTimeEstimate: 10 * time.Second}, now)
	other := newJob(jobs.Spec{ID: "job-2", Class: "c", Team: "u", Tasks: 20, RunTimeEstimate: 10 * time.Second}, now)
	for _, c := range []struct {
		name string
		live []*jobs.Job
		cpus float64
		want bool
	}{
		{"cluster is larger than the quota", []*jobs.Job{limited, other}, 40, true},
		{"cluster takes longer for the work of all teams", []*jobs.Job{limited, other}, 10, false},
		{"less than a minute of work at the quota", []*jobs.Job{small}, 40, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			candidates := ranker.makeCandidates(now, c.live, admission.Capacity{CPUs: c.cpus})
			if got := candidates[0].limitBound["t"]; got != c.want {
				t.Errorf("team is limit-bound: got %v, want %v", got, c.want)
			}
		})
	}
}

// TestInitialTasksForJobsAwaitingStart checks that jobs without a started task get initial tasks ahead of other jobs once
// they are older than StartBound, the oldest first, until the share of the cluster for initial tasks is used up.
func TestInitialTasksForJobsAwaitingStart(t *testing.T) {
	now := time.Unix(100_000, 0)
	startBound := config.DefaultOptions().StartBound
	ranker := newTestRanker(&config.Platform{})
	jobOfAge := func(id string, age time.Duration, tasks int) *jobs.Job {
		return newJob(jobs.Spec{ID: id, Class: "c", Team: "t", Tasks: tasks, RunTimeEstimate: time.Minute}, now.Add(-age))
	}
	huge := jobOfAge("job-1", startBound+2*time.Second, 25_000)
	second := jobOfAge("job-2", startBound+time.Second, 10)
	third := jobOfAge("job-3", startBound+time.Second/2, 10)
	young := jobOfAge("job-4", startBound-time.Second, 1)
	capacity := admission.Capacity{CPUs: 100, MachineCPUs: 16}
	got := ""
	for _, entry := range ranker.Order(now, []*jobs.Job{young, third, second, huge}, capacity) {
		got += fmt.Sprintf("%s:%d ", entry.Job.ID, entry.MaxTasks)
	}
	if want := "job-1:8 job-4:0 job-2:0 job-3:0 "; got != want {
		t.Errorf("order: got %q, want %q", got, want)
	}
	huge.ActiveAttempts[0] = &jobs.Attempt{Job: huge, RunningSince: now}
	entries := ranker.Order(now, []*jobs.Job{second, huge}, capacity)
	if entries[0].Job != second || entries[0].MaxTasks != 1 || entries[1].MaxTasks != 0 {
		t.Errorf("order after job-1 has started: got %+v, want job-2 with initial tasks first", entries)
	}
}

// TestLongTasksAreOverdueSooner checks when a job without objectives is overdue if no job of its class was done recently:
// after StartBound if its tasks are long, after eight fifths of it if they are short.
func TestLongTasksAreOverdueSooner(t *testing.T) {
	now := time.Unix(100_000, 0)
	startBound := config.DefaultOptions().StartBound
	for _, c := range []struct {
		name         string
		runTime, age time.Duration
		want         bool
	}{
		{"long tasks past the bound", 5 * time.Minute, startBound + time.Second, true},
		{"long tasks before the bound", 5 * time.Minute, startBound - time.Second, false},
		{"short tasks past the bound", time.Minute, startBound + time.Second, false},
		{"short tasks past eight fifths of the bound", time.Minute, 8*startBound/5 + time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			ranker := newTestRanker(&config.Platform{})
			job := newJob(jobs.Spec{ID: "job-1", Class: "guest", Team: "t", Tasks: 30, RunTimeEstimate: c.runTime}, now.Add(-c.age))
			job.ActiveAttempts[0] = &jobs.Attempt{Job: job, RunningSince: now} // started, so that it needs no initial tasks
			entry := ranker.Order(now, []*jobs.Job{job}, admission.Capacity{CPUs: 100, MachineCPUs: 16})[0]
			if (entry.Rank == RankBelowMinShare) != c.want {
				t.Errorf("overdue below the minimum share: got rank %q, want %v", entry.Rank.Reason(), c.want)
			}
		})
	}
}

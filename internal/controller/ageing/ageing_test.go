package ageing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gullrudder/internal/controller/jobs"
)

func drawJobs(t *rapid.T, now time.Time) []*jobs.Job {
	var live []*jobs.Job
	for i := range rapid.IntRange(1, 12).Draw(t, "jobs") {
		spec := jobs.Spec{
			ID:        fmt.Sprintf("job-%06d", i),
			Team:      rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"),
			Tasks:     rapid.IntRange(1, 6).Draw(t, "tasks"),
			CPUs:      rapid.SampledFrom([]float64{0, 0.5, 2, 8}).Draw(t, "cpus"),
			IsService: rapid.IntRange(0, 9).Draw(t, "service") == 0,
		}
		job := jobs.New(spec, now.Add(-time.Duration(rapid.IntRange(0, 900).Draw(t, "age"))*time.Second))
		for index := range rapid.IntRange(0, spec.Tasks).Draw(t, "running") {
			job.AddAttempt(&jobs.Attempt{Task: jobs.TaskID{JobID: spec.ID, Index: index}, Job: job})
		}
		live = append(live, job)
	}
	return live
}

// firstJobsReference is the reference implementation of Policy.FirstJobs. It selects one job at a time, the oldest first,
// and recomputes all sums each time.
func firstJobsReference(policy Policy, now time.Time, live []*jobs.Job, cpus float64, startableTasks func(*jobs.Job) int) map[string]bool {
	first := map[string]bool{}
	for {
		usedCPUs := 0.0
		var next *jobs.Job
		for _, job := range live {
			if job.IsService || now.Sub(job.SubmittedAt) <= policy.AgeBound {
				continue
			}
			usedCPUs += float64(len(job.ActiveAttempts)) * max(job.CPUs, 0.1)
			if first[job.ID] {
				usedCPUs += float64(startableTasks(job)) * max(job.CPUs, 0.1)
				continue
			}
			if job.WaitingTasks() > 0 &&
				(next == nil || job.SubmittedAt.Before(next.SubmittedAt) || job.SubmittedAt.Equal(next.SubmittedAt) && job.ID < next.ID) {
				next = job
			}
		}
		if next == nil || usedCPUs >= policy.Share*cpus {
			return first
		}
		first[next.ID] = true
	}
}

// TestFirstJobsMatchReference compares the jobs that are served first with the reference implementation. It also checks that
// cancelling a job and submitting it again gains nothing: no other job loses its place, and the new jobs are not served
// first.
func TestFirstJobsMatchReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(10_000, 0)
		policy := Policy{AgeBound: 5 * time.Minute, Share: rapid.Float64Range(0.01, 0.9).Draw(t, "share"), EstimateError: 2}
		cpus := rapid.Float64Range(1, 60).Draw(t, "fleet")
		live := drawJobs(t, now)
		limit := map[string]int{"a": rapid.IntRange(0, 3).Draw(t, "limit"), "b": 9}
		startableTasks := func(job *jobs.Job) int { return min(job.WaitingTasks(), limit[job.Team]) }
		got := policy.FirstJobs(now, live, cpus, startableTasks)
		want := firstJobsReference(policy, now, live, cpus, startableTasks)
		if len(got) != len(want) {
			t.Fatalf("number of first jobs: got %d, want %d: %v", len(got), len(want), want)
		}
		for job := range got {
			if !want[job.ID] {
				t.Fatalf("first jobs: got %s, want only %v", job.ID, want)
			}
		}
		cancelled := rapid.IntRange(0, len(live)-1).Draw(t, "again")
		if len(live[cancelled].ActiveAttempts) > 0 {
			return
		}
		later := policy.FirstJobs(now, resubmit(now, live, cancelled), cpus, startableTasks)
		for job := range got {
			if job != live[cancelled] && !later[job] {
				t.Fatalf("%s after another job was resubmitted: got not first, want first", job.ID)
			}
		}
		for job := range later {
			if job.SubmittedAt.Equal(now) {
				t.Fatalf("resubmitted job %s: got first, want not first", job.ID)
			}
		}
	})
}

// resubmit returns the jobs with one of them cancelled and submitted again as jobs of one task each.
func resubmit(now time.Time, live []*jobs.Job, cancelled int) []*jobs.Job {
	resubmitted := append(slices.Clone(live[:cancelled]), live[cancelled+1:]...)
	for index := range live[cancelled].Tasks {
		spec := live[cancelled].Spec
		spec.ID, spec.Tasks = fmt.Sprintf("job-9%05d", index), 1
		resubmitted = append(resubmitted, jobs.New(spec, now))
	}
	return resubmitted
}

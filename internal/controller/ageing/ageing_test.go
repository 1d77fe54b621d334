package ageing

import (
	"fmt"
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"

	"pgregory.net/rapid"
)

func drawJobs(t *rapid.T, now time.Time) []*jobs.Job {
	var live []*jobs.Job
	for i := range rapid.IntRange(1, 12).Draw(t, "jobs") {
		s := jobs.Spec{
			ID: fmt.Sprintf("job-%06d", i), Team: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"),
			Tasks: rapid.IntRange(1, 6).Draw(t, "tasks"), CPUs: rapid.SampledFrom([]float64{0, 0.5, 2, 8}).Draw(t, "cpus"),
			IsService: rapid.IntRange(0, 9).Draw(t, "service") == 0,
		}
		j := jobs.New(s, now.Add(-time.Duration(rapid.IntRange(0, 900).Draw(t, "age"))*time.Second))
		for k := range rapid.IntRange(0, s.Tasks).Draw(t, "running") {
			j.AddAttempt(&jobs.Attempt{Task: jobs.TaskID{JobID: s.ID, Index: k}, Job: j})
		}
		live = append(live, j)
	}
	return live
}

// firstJobsByWalk looks at one job after the other, the oldest first, and recomputes all each time.
func firstJobsByWalk(policy Policy, now time.Time, live []*jobs.Job, cpus float64, startableTasks func(*jobs.Job) int) map[string]bool {
	marked := map[string]bool{}
	for {
		used := 0.0
		var next *jobs.Job
		for _, j := range live {
			if j.IsService || now.Sub(j.SubmittedAt) <= policy.AgeBound {
				continue
			}
			used += float64(len(j.ActiveAttempts)) * max(j.CPUs, 0.1)
			if marked[j.ID] {
				used += float64(startableTasks(j)) * max(j.CPUs, 0.1)
				continue
			}
			if j.WaitingTasks() > 0 &&
				(next == nil || j.SubmittedAt.Before(next.SubmittedAt) || j.SubmittedAt.Equal(next.SubmittedAt) && j.ID < next.ID) {
				next = j
			}
		}
		if next == nil || used >= policy.Share*cpus {
			return marked
		}
		marked[next.ID] = true
	}
}

// What goes first is what the plain model marks, and nobody gains by asking later: whatever a
// team cancels and submits anew, no job of another team that went first is pushed out.
func TestFirstJobsMatchWalk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(10_000, 0)
		policy := Policy{AgeBound: 5 * time.Minute, Share: rapid.Float64Range(0.01, 0.9).Draw(t, "share"), EstimateError: 2}
		cpus := rapid.Float64Range(1, 60).Draw(t, "fleet")
		live := drawJobs(t, now)
		limit := map[string]int{"a": rapid.IntRange(0, 3).Draw(t, "limit"), "b": 9}
		startableTasks := func(j *jobs.Job) int { return min(j.WaitingTasks(), limit[j.Team]) }
		got := policy.FirstJobs(now, live, cpus, startableTasks)
		want := firstJobsByWalk(policy, now, live, cpus, startableTasks)
		if len(got) != len(want) {
			t.Fatalf("%d jobs go first, want %v", len(got), want)
		}
		for j := range got {
			if !want[j.ID] {
				t.Fatalf("%s goes first, want %v", j.ID, want)
			}
		}
		i := rapid.IntRange(0, len(live)-1).Draw(t, "again")
		if len(live[i].ActiveAttempts) > 0 {
			return
		}
		// Cancelled, and submitted anew as several that are as large together.
		resubmitted := append(append([]*jobs.Job(nil), live[:i]...), live[i+1:]...)
		for k := range live[i].Tasks {
			s := live[i].Spec
			s.ID, s.Tasks = fmt.Sprintf("job-9%05d", k), 1
			resubmitted = append(resubmitted, jobs.New(s, now))
		}
		later := policy.FirstJobs(now, resubmitted, cpus, startableTasks)
		for j := range got {
			if j != live[i] && !later[j] {
				t.Fatalf("%s went first and does not any more", j.ID)
			}
		}
		for j := range later {
			if j.SubmittedAt.Equal(now) {
				t.Fatal("what was submitted anew goes first")
			}
		}
	})
}

// A bound never falls because more stands before a job, or because there is less room; it is not
// stated where nothing is kept for the aged.
func TestWaitBoundGrowsWithWorkAhead(t *testing.T) {
	policy := Policy{AgeBound: 7 * time.Minute, Share: 0.1, EstimateError: 2}
	base := WorkAhead{
		Older:       Load{36_000, 120},
		Own:         Load{1200, 24},
		TaskCPUs:    2,
		LongestTask: time.Minute,
		UsableCPUs:  240,
		StartDelay:  10 * time.Second,
	}
	// On 24 CPUs: 36,000 CPU seconds that may take twice as long, and 120 CPUs that wait for
	// room for 130 s; and then its own room.
	want := 7*time.Minute + 3000*time.Second + 650*time.Second + 130*time.Second
	if b := policy.WaitBound(base); !b.IsKnown || b.FirstStart != want || b.LastStart != want+100*time.Second+130*time.Second {
		t.Errorf("%+v, want %v", b, want)
	}
	rapid.Check(t, func(t *rapid.T) {
		a := WorkAhead{
			Older: Load{rapid.Float64Range(0, 1e6).Draw(t, "older"), rapid.Float64Range(0, 1e4).Draw(t, "width")},
			Own: Load{
				rapid.Float64Range(0, 1e5).Draw(t, "own"),
				4,
			},
			TaskCPUs:    1,
			LongestTask: time.Minute,
			UsableCPUs:  rapid.Float64Range(1, 1000).Draw(t, "cpus"),
		}
		x := policy.WaitBound(a)
		more, less, limited := a, a, a
		more.Older.CPUSeconds += 500
		less.UsableCPUs /= 2
		limited.Team, limited.TeamCPULimit = Load{a.Older.CPUSeconds / 2, a.Older.CPUs / 2}, 2
		for _, other := range []WorkAhead{more, less, limited} {
			if y := policy.WaitBound(other); y.IsKnown && (!x.IsKnown || y.FirstStart < x.FirstStart || y.LastStart < y.FirstStart) {
				t.Fatalf("%+v: %+v, and %+v for %+v", a, x, y, other)
			}
		}
	})
	if b := (Policy{AgeBound: time.Minute, EstimateError: 2}).WaitBound(base); b.IsKnown {
		t.Errorf("a bound without a share: %+v", b)
	}
}

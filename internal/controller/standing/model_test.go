package standing

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gullrudder/internal/controller/jobs"
)

func drawJobs(t *rapid.T, now time.Time) []*jobs.Job {
	var live []*jobs.Job
	for i := range rapid.IntRange(1, 12).Draw(t, "jobs") {
		s := jobs.Spec{ID: fmt.Sprintf("job-%06d", i), Team: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"),
			Tasks: rapid.IntRange(1, 6).Draw(t, "tasks"), CPUs: rapid.SampledFrom([]float64{0, 0.5, 2, 8}).Draw(t, "cpus"),
			Service: rapid.IntRange(0, 9).Draw(t, "service") == 0}
		j := jobs.NewJob(s, now.Add(-time.Duration(rapid.IntRange(0, 900).Draw(t, "age"))*time.Second))
		for k := range rapid.IntRange(0, s.Tasks).Draw(t, "running") {
			j.Attach(&jobs.Attempt{Key: jobs.Key{Job: s.ID, Task: k}, Job: j})
		}
		live = append(live, j)
	}
	return live
}

// plainFirst looks at one job after the other, the oldest first, and recomputes all each time.
func plainFirst(t Terms, now time.Time, live []*jobs.Job, cpus float64, placeable func(*jobs.Job) int) map[string]bool {
	marked := map[string]bool{}
	for {
		used := 0.0
		var next *jobs.Job
		for _, j := range live {
			if j.Service || now.Sub(j.Submitted) <= t.Age {
				continue
			}
			used += float64(len(j.Active)) * max(j.CPUs, 0.1)
			if marked[j.ID] {
				used += float64(placeable(j)) * max(j.CPUs, 0.1)
				continue
			}
			if j.Waiting() > 0 && (next == nil || j.Submitted.Before(next.Submitted) || j.Submitted.Equal(next.Submitted) && j.ID < next.ID) {
				next = j
			}
		}
		if next == nil || used >= t.Share*cpus {
			return marked
		}
		marked[next.ID] = true
	}
}

// What goes first is what the plain model marks, and nobody gains by asking later: whatever a
// team cancels and submits anew, no job of another team that went first is pushed out.
func TestFirstAgreesWithThePlainModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(10_000, 0)
		terms := Terms{Age: 5 * time.Minute, Share: rapid.Float64Range(0.01, 0.9).Draw(t, "share"), Error: 2}
		cpus := rapid.Float64Range(1, 60).Draw(t, "fleet")
		live := drawJobs(t, now)
		limit := map[string]int{"a": rapid.IntRange(0, 3).Draw(t, "limit"), "b": 9}
		placeable := func(j *jobs.Job) int { return min(j.Waiting(), limit[j.Team]) }
		got := terms.First(now, live, cpus, placeable)
		want := plainFirst(terms, now, live, cpus, placeable)
		if len(got) != len(want) {
			t.Fatalf("%d jobs go first, want %v", len(got), want)
		}
		for j := range got {
			if !want[j.ID] {
				t.Fatalf("%s goes first, want %v", j.ID, want)
			}
		}
		i := rapid.IntRange(0, len(live)-1).Draw(t, "again")
		if len(live[i].Active) > 0 {
			return
		}
		// Cancelled, and submitted anew as several that are as large together.
		anew := append(append([]*jobs.Job(nil), live[:i]...), live[i+1:]...)
		for k := range live[i].Tasks {
			s := live[i].Spec
			s.ID, s.Tasks = fmt.Sprintf("job-9%05d", k), 1
			anew = append(anew, jobs.NewJob(s, now))
		}
		later := terms.First(now, anew, cpus, placeable)
		for j := range got {
			if j != live[i] && !later[j] {
				t.Fatalf("%s went first and does not any more", j.ID)
			}
		}
		for j := range later {
			if j.Submitted.Equal(now) {
				t.Fatal("what was submitted anew goes first")
			}
		}
	})
}

// A bound never falls because more stands before a job, or because there is less room; it is not
// stated where nothing is kept for the aged.
func TestBoundGrowsWithWhatStandsBefore(t *testing.T) {
	terms := Terms{Age: 7 * time.Minute, Share: 0.1, Error: 2}
	base := Ahead{Older: Load{36_000, 120}, Own: Load{1200, 24}, Task: 2, Longest: time.Minute, CPUs: 240, Settle: 10 * time.Second}
	// On 24 CPUs: 36,000 CPU seconds that may take twice as long, and 120 CPUs that wait for
	// room for 130 s; and then its own room.
	want := 7*time.Minute + 3000*time.Second + 650*time.Second + 130*time.Second
	if b := terms.Bound(base); !b.Known || b.First != want || b.Last != want+100*time.Second+130*time.Second {
		t.Errorf("%+v, want %v", b, want)
	}
	rapid.Check(t, func(t *rapid.T) {
		a := Ahead{Older: Load{rapid.Float64Range(0, 1e6).Draw(t, "older"), rapid.Float64Range(0, 1e4).Draw(t, "width")},
			Own: Load{rapid.Float64Range(0, 1e5).Draw(t, "own"), 4}, Task: 1, Longest: time.Minute, CPUs: rapid.Float64Range(1, 1000).Draw(t, "cpus")}
		x := terms.Bound(a)
		more, less, bound := a, a, a
		more.Older.CPUSeconds += 500
		less.CPUs /= 2
		bound.Team, bound.Limit = Load{a.Older.CPUSeconds / 2, a.Older.CPUs / 2}, 2
		for _, other := range []Ahead{more, less, bound} {
			if y := terms.Bound(other); y.Known && (!x.Known || y.First < x.First || y.Last < y.First) {
				t.Fatalf("%+v: %+v, and %+v for %+v", a, x, y, other)
			}
		}
	})
	if b := (Terms{Age: time.Minute, Error: 2}).Bound(base); b.Known {
		t.Errorf("a bound without a share: %+v", b)
	}
}

package dependencies

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/testseed"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { testseed.Main(m) }

var start = time.Unix(1000, 0)

func job(id string, needs ...string) *jobs.Job {
	j := jobs.New(jobs.Spec{ID: id, Tasks: 1, CPUs: 1, RunTimeEstimate: 10 * time.Second, Dependencies: needs}, start)
	j.State = jobs.Accepted
	return j
}

// plain walks all jobs for each question.
type plain struct {
	jobs []*jobs.Job
	done map[string]bool
}

func (p *plain) open(j *jobs.Job) (list []string) {
	for _, id := range j.Dependencies {
		if !p.done[id] {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

func (p *plain) needs(j *jobs.Job, id string) bool {
	for _, x := range p.open(j) {
		if x == id {
			return true
		}
		for _, o := range p.jobs {
			if o.ID == x && p.needs(o, id) {
				return true
			}
		}
	}
	return false
}

// path is the longest way by trying all ways.
func (p *plain) path(j *jobs.Job) time.Duration {
	longest := time.Duration(0)
	for _, id := range p.open(j) {
		for _, o := range p.jobs {
			if o.ID == id {
				longest = max(longest, p.path(o)+o.RunTimeEstimate)
			}
		}
	}
	return longest
}

// The graph agrees with plain walks on random graphs, as jobs are done, cancelled with all that need them, and asked for.
func TestGraphAsPlainWalks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &plain{done: map[string]bool{}}
		live := map[string]*jobs.Job{}
		g := New(func(id string) *jobs.Job { return live[id] })
		perTask := func(j *jobs.Job) time.Duration { return j.RunTimeEstimate }
		for i := range rapid.IntRange(1, 40).Draw(t, "moves") {
			switch what := rapid.IntRange(0, 4).Draw(t, "what"); {
			case what < 3:
				var needs []string
				for range rapid.IntRange(0, 3).Draw(t, "needs") {
					if len(p.jobs) > 0 {
						id := p.jobs[rapid.IntRange(0, len(p.jobs)-1).Draw(t, "need")].ID
						if (p.done[id] || live[id] != nil) && !slices.Contains(needs, id) {
							needs = append(needs, id)
						}
					}
				}
				j := job(fmt.Sprintf("job-%03d", i), needs...)
				j.RunTimeEstimate = time.Duration(rapid.IntRange(1, 9).Draw(t, "estimate")) * time.Second
				g.Add(j, p.open(j))
				p.jobs, live[j.ID] = append(p.jobs, j), j
			case len(p.jobs) == 0:
			case what == 3: // one that waits for nothing is done
				j := p.jobs[rapid.IntRange(0, len(p.jobs)-1).Draw(t, "done")]
				if live[j.ID] == nil || len(p.open(j)) > 0 {
					continue
				}
				var want []*jobs.Job
				for _, o := range p.jobs {
					if slices.Equal(p.open(o), []string{j.ID}) {
						want = append(want, o)
					}
				}
				delete(live, j.ID)
				p.done[j.ID] = true
				if got := g.RecordDone(start.Add(time.Minute), j.ID); !slices.Equal(got, want) {
					t.Fatalf("%d are let go, %d should be", len(got), len(want))
				}
			default: // one is cancelled, and takes along all that need it
				j := p.jobs[rapid.IntRange(0, len(p.jobs)-1).Draw(t, "cancelled")]
				if live[j.ID] == nil {
					continue
				}
				var want []*jobs.Job
				for _, o := range p.jobs {
					if p.needs(o, j.ID) {
						want = append(want, o)
					}
				}
				got := g.Dependents(j.ID)
				if !slices.Equal(got, want) {
					t.Fatalf("%d are taken along, %d should be", len(got), len(want))
				}
				for _, o := range append(got, j) {
					g.Remove(o)
					delete(live, o.ID)
					p.jobs = slices.DeleteFunc(p.jobs, func(x *jobs.Job) bool { return x == o })
				}
			}
			for _, j := range p.jobs {
				if live[j.ID] == nil {
					continue
				}
				if open := p.open(j); !slices.Equal(g.Unmet(j), open) || j.UnmetDependencies != len(open) || j.IsSchedulable() != (len(open) == 0) {
					t.Fatalf("%s waits for %v (%d), not %v", j.ID, g.Unmet(j), j.UnmetDependencies, open)
				}
				if got, _ := g.CriticalPath(j, perTask); got != p.path(j) {
					t.Fatalf("the longest way to %s takes %v, not %v", j.ID, got, p.path(j))
				}
			}
		}
	})
}

// A deadline and a priority flow backwards through a diamond: each job is due by when the longest way after it has to begin.
func TestDeadlineFlowsBackwards(t *testing.T) {
	a, b, c, d := job("job-1"), job("job-2", "job-1"), job("job-3", "job-1"), job("job-4", "job-2", "job-3")
	b.RunTimeEstimate, d.Deadline, d.Priority = 30*time.Second, 100*time.Second, jobs.High
	live := map[string]*jobs.Job{"job-1": a, "job-2": b, "job-3": c, "job-4": d}
	g := New(func(id string) *jobs.Job { return live[id] })
	for _, j := range []*jobs.Job{b, c, d} {
		g.Add(j, j.Dependencies)
	}
	g.PropagateDeadline(d, func(j *jobs.Job) time.Duration { return j.RunTimeEstimate }, 2*time.Second, true)
	for j, want := range map[*jobs.Job]time.Duration{a: 56 * time.Second, b: 88 * time.Second, c: 88 * time.Second, d: 100 * time.Second} {
		if due, ok := j.DueAt(); !ok || due.Sub(start) != want {
			t.Errorf("%s is due after %v, not %v", j.ID, due.Sub(start), want)
		}
		if j != d && (!j.RequiredByGuaranteed || j.InheritedPriority != jobs.High) {
			t.Errorf("%s: pulled %v, urgency %v", j.ID, j.RequiredByGuaranteed, j.InheritedPriority)
		}
	}
	// Its time for all else counts from the end of what it needs, its deadline from the submission.
	g.RecordDone(start.Add(50*time.Second), "job-1")
	if b.TimeToDeadline() != 38*time.Second || b.EligibleSince() != start.Add(50*time.Second) {
		t.Errorf("%v after %v", b.TimeToDeadline(), b.EligibleSince())
	}
}

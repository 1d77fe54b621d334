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

func newJob(id string, dependencies ...string) *jobs.Job {
	spec := jobs.Spec{ID: id, Tasks: 1, CPUs: 1, RunTimeEstimate: 10 * time.Second, Dependencies: dependencies}
	job := jobs.New(spec, start)
	job.State = jobs.Accepted
	return job
}

func estimatedRunTime(job *jobs.Job) time.Duration { return job.RunTimeEstimate }

// plainModel is the reference model for Graph. It computes each result from a list of all jobs.
type plainModel struct {
	jobs []*jobs.Job // without cancelled jobs, in order of submission
	done map[string]bool
}

func (m *plainModel) find(id string) *jobs.Job {
	for _, job := range m.jobs {
		if job.ID == id {
			return job
		}
	}
	return nil
}

func (m *plainModel) unmet(job *jobs.Job) (ids []string) {
	for _, id := range job.Dependencies {
		if !m.done[id] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (m *plainModel) dependsOn(job *jobs.Job, id string) bool {
	for _, unmet := range m.unmet(job) {
		if unmet == id {
			return true
		}
		if dependency := m.find(unmet); dependency != nil && m.dependsOn(dependency, id) {
			return true
		}
	}
	return false
}

func (m *plainModel) jobsWhere(matches func(job *jobs.Job) bool) (list []*jobs.Job) {
	for _, job := range m.jobs {
		if matches(job) {
			list = append(list, job)
		}
	}
	return list
}

// criticalPath computes the critical path by following every chain of dependencies.
func (m *plainModel) criticalPath(job *jobs.Job) time.Duration {
	longest := time.Duration(0)
	for _, id := range m.unmet(job) {
		if dependency := m.find(id); dependency != nil {
			longest = max(longest, m.criticalPath(dependency)+dependency.RunTimeEstimate)
		}
	}
	return longest
}

// graphTest applies the same actions to a graph and to the model.
type graphTest struct {
	model      *plainModel
	unfinished map[string]*jobs.Job
	graph      *Graph
}

func newGraphTest() *graphTest {
	test := &graphTest{model: &plainModel{done: map[string]bool{}}, unfinished: map[string]*jobs.Job{}}
	test.graph = New(func(id string) *jobs.Job { return test.unfinished[id] })
	return test
}

func (g *graphTest) drawJob(t *rapid.T, label string) *jobs.Job {
	return g.model.jobs[rapid.IntRange(0, len(g.model.jobs)-1).Draw(t, label)]
}

func (g *graphTest) submit(t *rapid.T, jobID string) {
	var dependencies []string
	for range rapid.IntRange(0, 3).Draw(t, "needs") {
		if len(g.model.jobs) == 0 {
			continue
		}
		dependency := g.drawJob(t, "need").ID
		if (g.model.done[dependency] || g.unfinished[dependency] != nil) && !slices.Contains(dependencies, dependency) {
			dependencies = append(dependencies, dependency)
		}
	}
	job := newJob(jobID, dependencies...)
	job.RunTimeEstimate = time.Duration(rapid.IntRange(1, 9).Draw(t, "estimate")) * time.Second
	g.graph.Add(job, g.model.unmet(job))
	g.model.jobs, g.unfinished[job.ID] = append(g.model.jobs, job), job
}

// finish completes a job without unmet dependencies and compares the jobs that become ready.
func (g *graphTest) finish(t *rapid.T) {
	job := g.drawJob(t, "done")
	if g.unfinished[job.ID] == nil || len(g.model.unmet(job)) > 0 {
		return
	}
	want := g.model.jobsWhere(func(other *jobs.Job) bool { return slices.Equal(g.model.unmet(other), []string{job.ID}) })
	delete(g.unfinished, job.ID)
	g.model.done[job.ID] = true
	if got := g.graph.RecordDone(start.Add(time.Minute), job.ID); !slices.Equal(got, want) {
		t.Fatalf("jobs that become ready differ from the model: got %d jobs, want %d", len(got), len(want))
	}
}

// cancel removes a job with all its dependents and compares the dependents.
func (g *graphTest) cancel(t *rapid.T) {
	job := g.drawJob(t, "cancelled")
	if g.unfinished[job.ID] == nil {
		return
	}
	want := g.model.jobsWhere(func(other *jobs.Job) bool { return g.model.dependsOn(other, job.ID) })
	got := g.graph.Dependents(job.ID)
	if !slices.Equal(got, want) {
		t.Fatalf("dependents differ from the model: got %d jobs, want %d", len(got), len(want))
	}
	for _, cancelled := range append(got, job) {
		g.graph.Remove(cancelled)
		delete(g.unfinished, cancelled.ID)
		g.model.jobs = slices.DeleteFunc(g.model.jobs, func(other *jobs.Job) bool { return other == cancelled })
	}
}

// check compares the unmet dependencies and the critical path of each unfinished job.
func (g *graphTest) check(t *rapid.T) {
	for _, job := range g.model.jobs {
		if g.unfinished[job.ID] == nil {
			continue
		}
		unmet := g.model.unmet(job)
		if !slices.Equal(g.graph.Unmet(job), unmet) || job.UnmetDependencies != len(unmet) || job.IsSchedulable() != (len(unmet) == 0) {
			t.Fatalf(
				"unmet dependencies of %s: got %v, counted %d, schedulable %v, want %v",
				job.ID, g.graph.Unmet(job), job.UnmetDependencies, job.IsSchedulable(), unmet,
			)
		}
		if got, _ := g.graph.CriticalPath(job, estimatedRunTime); got != g.model.criticalPath(job) {
			t.Fatalf("critical path of %s: got %v, want %v", job.ID, got, g.model.criticalPath(job))
		}
	}
}

// TestGraphMatchesModel compares the graph with a reference model while random jobs are submitted, completed, and cancelled
// with their dependents.
func TestGraphMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		test := newGraphTest()
		for i := range rapid.IntRange(1, 40).Draw(t, "moves") {
			switch action := rapid.IntRange(0, 4).Draw(t, "what"); {
			case action < 3:
				test.submit(t, fmt.Sprintf("job-%03d", i))
			case len(test.model.jobs) == 0:
			case action == 3:
				test.finish(t)
			default:
				test.cancel(t)
			}
			test.check(t)
		}
	})
}

// TestPropagateDeadline checks that a deadline and a priority propagate from a job to its dependencies in a diamond-shaped
// graph. Each job is due when the longest chain of its dependents has to start.
func TestPropagateDeadline(t *testing.T) {
	root, slow, fast, last := newJob("job-1"), newJob("job-2", "job-1"), newJob("job-3", "job-1"), newJob("job-4", "job-2", "job-3")
	slow.RunTimeEstimate, last.Deadline, last.Priority = 30*time.Second, 100*time.Second, jobs.High
	unfinished := map[string]*jobs.Job{"job-1": root, "job-2": slow, "job-3": fast, "job-4": last}
	graph := New(func(id string) *jobs.Job { return unfinished[id] })
	for _, job := range []*jobs.Job{slow, fast, last} {
		graph.Add(job, job.Dependencies)
	}
	graph.PropagateDeadline(last, estimatedRunTime, 2*time.Second, true)
	dueAfter := map[*jobs.Job]time.Duration{
		root: 56 * time.Second, slow: 88 * time.Second, fast: 88 * time.Second, last: 100 * time.Second,
	}
	for job, want := range dueAfter {
		if due := job.DueAt(); due.IsZero() || due.Sub(start) != want {
			t.Errorf("%s: got due after %v, want %v", job.ID, due.Sub(start), want)
		}
		if job != last && (!job.RequiredByGuaranteed || job.InheritedPriority != jobs.High) {
			t.Errorf(
				"%s: got required by guaranteed %v, inherited priority %v, want true, %v",
				job.ID, job.RequiredByGuaranteed, job.InheritedPriority, jobs.High,
			)
		}
	}
	// The age and the time to the deadline count from the end of the last dependency.
	graph.RecordDone(start.Add(50*time.Second), "job-1")
	if slow.TimeToDeadline() != 38*time.Second || slow.EligibleSince() != start.Add(50*time.Second) {
		t.Errorf(
			"time to deadline: got %v, eligible since %v, want 38s, %v",
			slow.TimeToDeadline(), slow.EligibleSince(), start.Add(50*time.Second),
		)
	}
}

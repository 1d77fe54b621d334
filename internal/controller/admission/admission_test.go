package admission

import (
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/estimate"
	"gullrudder/internal/controller/fairshare"
	"gullrudder/internal/controller/jobs"
)

func newTestPlanner(options config.Options) *Planner {
	return New(options, estimate.New(), fairshare.New(fairshare.PolicyOf(options)))
}

// deadlineJob returns an accepted job with tasks of one CPU.
func deadlineJob(id string, submittedAt time.Time, deadline time.Duration, tasks int, runTime time.Duration) *jobs.Job {
	job := jobs.New(
		jobs.Spec{ID: id, Class: "c", Tasks: tasks, CPUs: 1, MemoryGB: 1, RunTimeEstimate: runTime, Deadline: deadline},
		submittedAt,
	)
	job.State = jobs.Accepted
	return job
}

// TestAdmitBesideOverdueGuaranteedJob checks that a job is admitted while a guaranteed job is overdue by more than two
// planning intervals. Such a job has a negative number of intervals left, which once stopped the controller.
func TestAdmitBesideOverdueGuaranteedJob(t *testing.T) {
	planner := newTestPlanner(config.DefaultOptions())
	now := time.Unix(10_000, 0)
	overdue := deadlineJob("job-1", now.Add(-10*time.Minute), time.Minute, 4, 20*time.Second)
	overdue.Guaranteed = true
	newJob := deadlineJob("job-2", now, 2*time.Minute, 4, 20*time.Second)
	capacity := Capacity{CPUs: 16, MachineCPUs: 8}
	if !planner.Admit(now, Request{Job: newJob, Live: []*jobs.Job{overdue}, Capacity: capacity}) {
		t.Error("job that fits although another job is overdue: refused, want admitted")
	}
	newJob.Guaranteed = true
	feasible := planner.FeasibleJobs(now, []*jobs.Job{overdue, newJob}, capacity)
	if feasible[overdue] || !feasible[newJob] {
		t.Errorf("feasible jobs: got overdue job %v, new job %v, want false, true", feasible[overdue], feasible[newJob])
	}
}

// TestAdmitWithDependencies checks that a job with dependencies is guaranteed only if the dependencies fit before it.
func TestAdmitWithDependencies(t *testing.T) {
	now := time.Unix(10_000, 0)
	for _, c := range []struct {
		name              string
		runTime           time.Duration // of each of the 16 tasks of the dependency
		dependencyRunTime time.Duration
		want              bool
	}{
		{"dependency fits before the job", 20 * time.Second, 20 * time.Second, true},
		{"critical path is too long", 20 * time.Second, 50 * time.Second, false},
		{"dependency has too much work", 50 * time.Second, 20 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			planner := newTestPlanner(config.DefaultOptions())
			request := Request{
				Job:               deadlineJob("job-2", now, time.Minute, 4, 20*time.Second),
				Capacity:          Capacity{CPUs: 16, MachineCPUs: 8},
				Dependencies:      []*jobs.Job{deadlineJob("job-1", now, 0, 16, c.runTime)},
				DependencyRunTime: c.dependencyRunTime,
			}
			if got := planner.Admit(now, request); got != c.want {
				t.Errorf("admitted: got %v, want %v", got, c.want)
			}
		})
	}
}

// TestRoundUp checks how a number of CPUs is rounded up for a machine size.
func TestRoundUp(t *testing.T) {
	for _, c := range []struct{ cpus, machineCPUs, want float64 }{
		{0, 16, 0},
		{3, 0, 3},
		{1, 16, 1},
		{3, 16, 4},
		{8, 16, 8},
		{9, 16, 16},
		{17, 16, 32},
	} {
		if got := RoundUp(c.cpus, c.machineCPUs); got != c.want {
			t.Errorf("%g CPUs rounded up on machines of %g: got %g, want %g", c.cpus, c.machineCPUs, got, c.want)
		}
	}
}

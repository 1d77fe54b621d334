package admission

import (
	"fmt"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/jobs"
)

func deadlineJob(id string, submittedAt time.Time, deadline time.Duration, tasks int, cpus float64, estimate time.Duration) *jobs.Job {
	job := jobs.New(
		jobs.Spec{ID: id, Class: "c", Tasks: tasks, CPUs: cpus, MemoryGB: 1, RunTimeEstimate: estimate, Deadline: deadline},
		submittedAt,
	)
	job.State = jobs.Accepted
	return job
}

// Guards against what ended a controller on a hunt's day: a guaranteed job that was late
// by more than two terms, met while a new job was admitted.
func TestAdmitBesideOverdueGuaranteedJob(t *testing.T) {
	options := config.DefaultOptions()
	planner := New(options, &config.Platform{})
	now := time.Unix(10_000, 0)
	overdue := deadlineJob("job-1", now.Add(-10*time.Minute), time.Minute, 4, 1, 20*time.Second)
	overdue.Guaranteed = true
	newJob := deadlineJob("job-2", now, 2*time.Minute, 4, 1, 20*time.Second)
	if !planner.Admit(now, newJob, []*jobs.Job{overdue}, Capacity{CPUs: 16, MachineCPUs: 8}, 0, nil) {
		t.Error("a job that fits easily is not guaranteed")
	}
	if got := planner.Order(now, []*jobs.Job{overdue, newJob}, Capacity{CPUs: 16, MachineCPUs: 8}); len(got) != 2 {
		t.Errorf("the order holds %d jobs, want 2", len(got))
	}
}

// A team goes ahead if it is its limit, not the fleet, that its work waits for. With the
// first half alone the earlier, smaller varga fell from 0.80 to 0.78 on three seeds.
func TestLimitBoundTeams(t *testing.T) {
	planner := New(config.DefaultOptions(), &config.Platform{Teams: []config.Team{{Name: "t", CPULimit: 10}, {Name: "u"}}})
	now := time.Unix(10_000, 0)
	narrow := deadlineJob("job-1", now, 0, 100, 1, 10*time.Second) // 100 s at its limit
	narrow.Team = "t"
	other := deadlineJob("job-2", now, 0, 20, 1, 10*time.Second)
	other.Team = "u"
	for _, c := range []struct {
		what string
		live []*jobs.Job
		cpus float64
		want bool
	}{
		{"more machines than it may use", []*jobs.Job{narrow, other}, 40, true},
		{"a fleet that takes longer for all", []*jobs.Job{narrow, other}, 10, false},
		{"less than a minute of work", []*jobs.Job{deadlineJob("job-3", now, 0, 50, 1, 10*time.Second)}, 40, false},
	} {
		c.live[0].Team = "t"
		if got := planner.limitBoundTeams(now, c.live, Capacity{CPUs: c.cpus})["t"]; got != c.want {
			t.Errorf("%s: bound %v", c.what, got)
		}
	}
}

// A job of which nothing has begun within the bound has a beginning ahead of the planned, the oldest first, as far
// as its share of the fleet goes; shortest remaining time first put the largest behind all others.
func TestInitialTasksForJobsAwaitingStart(t *testing.T) {
	now := time.Unix(100_000, 0)
	options := config.DefaultOptions()
	planner := New(options, &config.Platform{})
	newJob := func(id string, age time.Duration, tasks int) *jobs.Job {
		j := jobs.New(jobs.Spec{ID: id, Class: "c", Team: "t", Tasks: tasks, CPUs: 1, MemoryGB: 1, RunTimeEstimate: time.Minute}, now.Add(-age))
		j.State = jobs.Accepted
		return j
	}
	huge := newJob("job-1", options.StartBound+2*time.Second, 25_000)
	second := newJob("job-2", options.StartBound+time.Second, 10)
	third := newJob("job-3", options.StartBound+time.Second/2, 10)
	young := newJob("job-4", options.StartBound-time.Second, 1)
	order := planner.Order(now, []*jobs.Job{young, third, second, huge}, Capacity{CPUs: 100, MachineCPUs: 16})
	got := ""
	for _, e := range order {
		got += fmt.Sprintf("%s:%d ", e.Job.ID, e.MaxTasks)
	}
	if want := "job-1:8 job-4:0 job-2:0 job-3:0 "; got != want {
		t.Errorf("order %q, want %q", got, want)
	}
	huge.ActiveAttempts[0] = &jobs.Attempt{Job: huge, RunningSince: now}
	if e := planner.Order(
		now,
		[]*jobs.Job{second, huge},
		Capacity{CPUs: 100, MachineCPUs: 16},
	); e[0].Job != second || e[0].MaxTasks != 1 ||
		e[1].MaxTasks != 0 {
		t.Error("who has begun still goes ahead of who has not")
	}
}

// A job of a class of which nothing was done of late, without aims, has room of its own after the bound for beginnings if its
// tasks are long, later if they are short.
func TestLongTasksAreOverdueSooner(t *testing.T) {
	now := time.Unix(100_000, 0)
	options := config.DefaultOptions()
	for _, c := range []struct {
		run, age time.Duration
		behind   bool
	}{
		{5 * time.Minute, options.StartBound + time.Second, true},
		{5 * time.Minute, options.StartBound - time.Second, false},
		{time.Minute, options.StartBound + time.Second, false},
		{time.Minute, 8*options.StartBound/5 + time.Second, true},
	} {
		p := New(options, &config.Platform{})
		j := jobs.New(jobs.Spec{ID: "job-1", Class: "guest", Team: "t", Tasks: 30, CPUs: 1, MemoryGB: 1, RunTimeEstimate: c.run}, now.Add(-c.age))
		j.State = jobs.Accepted
		j.ActiveAttempts[0] = &jobs.Attempt{Job: j, RunningSince: now} // it has begun
		if e := p.Order(now, []*jobs.Job{j}, Capacity{CPUs: 100, MachineCPUs: 16})[0]; (e.Rank == rankBelowShare) != c.behind {
			t.Errorf("tasks of %v after %v: %s", c.run, c.age, e.RankReason())
		}
	}
}

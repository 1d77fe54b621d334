package plan

import (
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/jobs"
)

func deadlineJob(id string, at time.Time, deadline time.Duration, tasks int, cpus float64, est time.Duration) *jobs.Job {
	j := jobs.NewJob(jobs.Spec{ID: id, Class: "c", Tasks: tasks, CPUs: cpus, Mem: 1, Estimate: est, Deadline: deadline}, at)
	j.State = jobs.Accepted
	return j
}

// Guards against what ended a controller on a hunt's day: a guaranteed job that was late
// by more than two terms, met while a new job was admitted.
func TestAdmitBesideAJobThatIsLate(t *testing.T) {
	opt := config.DefaultOptions()
	p := New(opt, &config.Platform{})
	now := time.Unix(10_000, 0)
	late := deadlineJob("job-1", now.Add(-10*time.Minute), time.Minute, 4, 1, 20*time.Second)
	late.Guaranteed = true
	fresh := deadlineJob("job-2", now, 2*time.Minute, 4, 1, 20*time.Second)
	if !p.Admit(now, fresh, []*jobs.Job{late}, Room{CPUs: 16, Machine: 8}) {
		t.Error("a job that fits easily is not guaranteed")
	}
	if got := p.Order(now, []*jobs.Job{late, fresh}, Room{CPUs: 16, Machine: 8}); len(got) != 2 {
		t.Errorf("the order holds %d jobs, want 2", len(got))
	}
}

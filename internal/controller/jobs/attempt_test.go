package jobs

import (
	"testing"
	"time"
)

// TestCanBePreempted checks that each condition on its own prevents the preemption of an attempt.
func TestCanBePreempted(t *testing.T) {
	now := time.Unix(10_000, 0)
	cases := map[string]struct {
		change func(job *Job, attempt *Attempt)
		want   bool
	}{
		"long run with checkpoints": {func(*Job, *Attempt) {}, true},
		"job not in the job store":  {func(_ *Job, attempt *Attempt) { attempt.Job = nil }, false},
		"orphan":                    {func(_ *Job, attempt *Attempt) { attempt.IsOrphan = true }, false},
		"start not sent":            {func(_ *Job, attempt *Attempt) { attempt.IsUnsent = true }, false},
		"not running yet":           {func(_ *Job, attempt *Attempt) { attempt.RunningSince = time.Time{} }, false},
		"stop requested":            {func(_ *Job, attempt *Attempt) { attempt.StopRequestedAt = now }, false},
		"gang":                      {func(job *Job, _ *Attempt) { job.IsGang = true }, false},
		"service":                   {func(job *Job, _ *Attempt) { job.IsService = true }, false},
		"guaranteed":                {func(job *Job, _ *Attempt) { job.Guaranteed = true }, false},
		"no checkpoints":            {func(job *Job, _ *Attempt) { job.CheckpointInterval = 0 }, false},
		"run shorter than saving a checkpoint": {func(_ *Job, attempt *Attempt) {
			attempt.RunningSince = now.Add(-3 * time.Second)
		}, false},
		"first task has just started": {func(job *Job, attempt *Attempt) {
			job.DoneTasks, attempt.RunningSince = 0, now.Add(-29*time.Second)
		}, false},
		"first task has run for 30 s": {func(job *Job, attempt *Attempt) {
			job.DoneTasks, attempt.RunningSince = 0, now.Add(-30*time.Second)
		}, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			job := New(Spec{ID: "job-1", Tasks: 9, CheckpointInterval: time.Minute, CheckpointDuration: 4 * time.Second}, now)
			job.DoneTasks = 1
			attempt := &Attempt{Job: job, RunningSince: now.Add(-4 * time.Second)}
			test.change(job, attempt)
			if got := attempt.CanBePreempted(now); got != test.want {
				t.Errorf("can be preempted: got %v, want %v", got, test.want)
			}
		})
	}
}

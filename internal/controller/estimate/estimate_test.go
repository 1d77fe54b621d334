package estimate

import (
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
)

func newJob(class string, estimate time.Duration, tasks int, cpus float64, submittedAt time.Time) *jobs.Job {
	return jobs.New(jobs.Spec{ID: "job-1", Class: class, Tasks: tasks, CPUs: cpus, RunTimeEstimate: estimate}, submittedAt)
}

// TestTaskRunTime checks how run times of the class and of the job itself adjust the owner's estimate.
func TestTaskRunTime(t *testing.T) {
	for _, c := range []struct {
		name          string
		classRunTimes []time.Duration // measured for another job of the class, estimated at 100 s
		jobRunTimes   []time.Duration // measured for the job itself
		estimate      time.Duration
		want          time.Duration
	}{
		{"owner's estimate", nil, nil, 100 * time.Second, 100 * time.Second},
		{"at least a second", nil, nil, 0, time.Second},
		{"first sample of the class has a weight of one fifth", []time.Duration{200 * time.Second}, nil, 100 * time.Second, 120 * time.Second},
		{"one sample counts at most ten times the estimate", []time.Duration{time.Hour}, nil, 100 * time.Second, 280 * time.Second},
		{"one run of the job against a prior weight of two", nil, []time.Duration{40 * time.Second}, 0, 13333333333 * time.Nanosecond},
		{"mean of the job has a weight of at most eight", nil, repeat(40*time.Second, 20), 0, 32 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			estimator, now := New(), time.Unix(1000, 0)
			other, job := newJob("c", 100*time.Second, 1, 1, now), newJob("c", c.estimate, 1, 1, now)
			for _, ran := range c.classRunTimes {
				estimator.ObserveRunTime(other, ran)
			}
			for _, ran := range c.jobRunTimes {
				estimator.ObserveRunTime(job, ran)
			}
			if got := estimator.TaskRunTime(job); got != c.want {
				t.Errorf("estimated run time: got %v, want %v", got, c.want)
			}
		})
	}
}

func repeat(ran time.Duration, times int) []time.Duration {
	list := make([]time.Duration, times)
	for i := range list {
		list[i] = ran
	}
	return list
}

// TestRemainingCPUSeconds checks the remaining CPU seconds of jobs whose tasks request CPUs or none.
func TestRemainingCPUSeconds(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name string
		cpus float64
		want float64
	}{
		{"tasks with CPUs", 2, 2 * 3 * 60},
		{"tasks without CPUs count as a tenth of a CPU", 0, 0.1 * 3 * 60},
	} {
		t.Run(c.name, func(t *testing.T) {
			job := newJob("c", time.Minute, 3, c.cpus, now)
			if got := New().RemainingCPUSeconds(job, now); got != c.want {
				t.Errorf("remaining CPU seconds: got %g, want %g", got, c.want)
			}
		})
	}
}

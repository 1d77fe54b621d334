package autoscaler

import (
	"testing"
	"time"

	"gullrudder/internal/controller/jobs"
)

// TestArrivalRate checks that a single burst of arrivals gives a rate of zero. A steady flow gives its rate, and zero once it has
// ended.
func TestArrivalRate(t *testing.T) {
	f := newFixture()
	record := func(tasks int) {
		spec := jobs.Spec{ID: "job-1", Class: "c", Team: "t", Tasks: tasks, CPUs: 1, RunTimeEstimate: time.Minute}
		f.arrivals.record(f.Now, jobs.New(spec, f.Now), f.estimator)
	}
	for i := range 60 { // a burst, followed by no arrivals
		record(100)
		if i == 30 {
			f.Now = f.Now.Add(time.Second)
		}
	}
	flow := f.arrivals[flowKey{class: "c", team: "t"}]
	f.Now = f.Now.Add(30 * time.Second)
	if rate := flow.rate(f.Now); rate.cpuSeconds > 0 {
		t.Errorf("arrival rate of a single burst: got %g CPU s a second, want 0", rate.cpuSeconds)
	}
	for range 50 {
		f.Now = f.Now.Add(2 * time.Second)
		record(10)
	}
	if rate := flow.rate(f.Now); rate.cpuSeconds < 250 || rate.cpuSeconds > 350 {
		t.Errorf("arrival rate: got %g CPU s a second, want 250 to 350", rate.cpuSeconds)
	}
	if rate := flow.rate(f.Now.Add(time.Hour)); rate.cpuSeconds > 0 {
		t.Errorf("arrival rate an hour after the last job: got %g CPU s a second, want 0", rate.cpuSeconds)
	}
}

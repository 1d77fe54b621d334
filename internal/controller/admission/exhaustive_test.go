package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/jobs"
)

// exhaustiveModel is the reference model for the greedy plan. It tries every assignment of whole CPUs to jobs, interval by
// interval.
type exhaustiveModel struct {
	work []int // by job, in CPU intervals
	due  []int // by job, the number of intervals before its deadline
	cpus int
}

// isFeasible reports whether the remaining work can be done before the deadlines, starting at the given interval.
func (m exhaustiveModel) isFeasible(interval int) bool {
	done := true
	for job, left := range m.work {
		if left > 0 {
			done = false
			if m.due[job] <= interval {
				return false
			}
		}
	}
	return done || m.assign(interval, m.cpus, 0)
}

// assign reports whether any assignment of an interval's free CPUs to the given job and those after it is feasible.
func (m exhaustiveModel) assign(interval, free, job int) bool {
	if job == len(m.work) {
		return m.isFeasible(interval + 1)
	}
	for granted := min(free, m.work[job]); granted >= 0; granted-- {
		m.work[job] -= granted
		ok := m.assign(interval, free-granted, job+1)
		m.work[job] += granted
		if ok {
			return true
		}
	}
	return false
}

// TestAdmittedJobsAreFeasible checks that the admitted jobs are feasible together, and that the first job is admitted if and
// only if it is feasible. It covers all combinations of three jobs with up to four tasks and four intervals on one to four CPUs.
func TestAdmittedJobsAreFeasible(t *testing.T) {
	admitted, refused := 0, 0
	for code := range 16 * 16 * 16 {
		for cpus := 1; cpus <= 4; cpus++ {
			a, r := compareWithExhaustiveModel(t, code, cpus)
			admitted, refused = admitted+a, refused+r
		}
	}
	if admitted == 0 || refused == 0 {
		t.Errorf("coverage: got %d admitted and %d refused, want both above 0", admitted, refused)
	}
}

// compareWithExhaustiveModel submits three jobs and compares the decisions with the model. Each job takes four bits of the
// code: two for its tasks and two for its deadline.
func compareWithExhaustiveModel(t *testing.T, code, cpus int) (admitted, refused int) {
	t.Helper()
	options := config.DefaultOptions()
	options.PlanningInterval = time.Second
	now := time.Unix(10_000, 0)
	planner := newTestPlanner(options)
	capacity := Capacity{CPUs: float64(cpus) / (1 - options.AgedShare)} // leaves the given CPUs after the share of aged jobs
	var live []*jobs.Job
	model := exhaustiveModel{cpus: cpus}
	for index := range 3 {
		tasks, dueInterval := code>>(4*index)&3+1, code>>(4*index+2)&3+1
		job := deadlineJob(fmt.Sprintf("job-%d", index), now, time.Duration(dueInterval)*time.Second, tasks, time.Second)
		got := planner.Admit(now, Request{Job: job, Live: slices.Clone(live), Capacity: capacity})
		if want := (exhaustiveModel{[]int{tasks}, []int{dueInterval}, cpus}).isFeasible(0); index == 0 && got != want {
			t.Fatalf("%d tasks in %d intervals on %d CPUs: got admitted %v, want %v", tasks, dueInterval, cpus, got, want)
		}
		if !got {
			refused++
			continue
		}
		admitted++
		job.Guaranteed = true
		live = append(live, job)
		model.work, model.due = append(model.work, tasks), append(model.due, dueInterval)
	}
	if !model.isFeasible(0) {
		t.Fatalf("admitted jobs are not feasible: %+v", model)
	}
	return admitted, refused
}

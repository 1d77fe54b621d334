package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/jobs"
)

// wholeCPUs is the simple model that the greedy plan is compared with: it tries every assignment of whole CPUs to the jobs,
// interval by interval.
type wholeCPUs struct {
	work []int // by job, in CPUs times intervals
	due  []int // by job, in intervals
	cpus int
}

// isFeasible reports whether the remaining work can be done in time from the interval on.
func (m wholeCPUs) isFeasible(interval int) bool {
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

// assign tries every assignment of the free CPUs of an interval to the jobs from the given one on.
func (m wholeCPUs) assign(interval, free, job int) bool {
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

// TestAdmittedJobsAreFeasible checks that all admitted jobs are feasible, and that a single job is admitted exactly if
// it is feasible. It covers all cases of three jobs of up to four tasks and four intervals on one to four CPUs.
func TestAdmittedJobsAreFeasible(t *testing.T) {
	admitted, refused := 0, 0
	for code := range 16 * 16 * 16 {
		for cpus := 1; cpus <= 4; cpus++ {
			a, r := compareWithWholeCPUs(t, code, cpus)
			admitted, refused = admitted+a, refused+r
		}
	}
	if admitted == 0 || refused == 0 {
		t.Errorf("coverage: %d admitted, %d refused, want both above 0", admitted, refused)
	}
}

// compareWithWholeCPUs submits the three jobs that the code stands for, each of them in four bits.
func compareWithWholeCPUs(t *testing.T, code, cpus int) (admitted, refused int) {
	t.Helper()
	options := config.DefaultOptions()
	options.PlanningInterval = time.Second
	now := time.Unix(10_000, 0)
	planner := newTestPlanner(options)
	capacity := Capacity{CPUs: float64(cpus) / (1 - options.AgedShare)} // the share of aged jobs comes on top
	var live []*jobs.Job
	model := wholeCPUs{cpus: cpus}
	for index := range 3 {
		tasks, terms := code>>(4*index)&3+1, code>>(4*index+2)&3+1
		job := deadlineJob(fmt.Sprintf("job-%d", index), now, time.Duration(terms)*time.Second, tasks, time.Second)
		got := planner.Admit(now, Request{Job: job, Live: slices.Clone(live), Capacity: capacity})
		if alone := (wholeCPUs{[]int{tasks}, []int{terms}, cpus}).isFeasible(0); index == 0 && got != alone {
			t.Fatalf("%d tasks in %d terms on %d CPUs: admitted %v, want %v", tasks, terms, cpus, got, alone)
		}
		if !got {
			refused++
			continue
		}
		admitted++
		job.Guaranteed = true
		live = append(live, job)
		model.work, model.due = append(model.work, tasks), append(model.due, terms)
	}
	if !model.isFeasible(0) {
		t.Fatalf("admitted jobs are not feasible: %+v", model)
	}
	return admitted, refused
}

package admission

import (
	"fmt"
	"testing"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/jobs"
)

// isFeasible tries every way to give the jobs whole CPUs term by term: the slow plain model
// that the greedy plan is compared with. work is in CPU terms, due in terms.
func isFeasible(work, due []int, cpus, term int) bool {
	done := true
	for i := range work {
		if work[i] > 0 {
			done = false
			if due[i] <= term {
				return false
			}
		}
	}
	return done || assignTerm(work, due, cpus, cpus, term, 0)
}

// assignTerm gives the CPUs that are left in a term to the jobs from i on, in every way.
func assignTerm(work, due []int, cpus, left, term, next int) bool {
	if next == len(work) {
		return isFeasible(work, due, cpus, term+1)
	}
	for give := min(left, work[next]); give >= 0; give-- {
		work[next] -= give
		ok := assignTerm(work, due, cpus, left-give, term, next+1)
		work[next] += give
		if ok {
			return true
		}
	}
	return false
}

// Whatever the greedy plan admits is feasible, and a job that is alone is admitted
// exactly if it is feasible. All cases up to three jobs of four tasks, four terms.
func TestAdmittedJobsAreFeasible(t *testing.T) {
	options := config.DefaultOptions()
	options.PlanningInterval = time.Second
	now := time.Unix(10_000, 0)
	admitted, refused := 0, 0
	for code := range 16 * 16 * 16 {
		for cpus := 1; cpus <= 4; cpus++ {
			planner := New(options, &config.Platform{})
			capacity := Capacity{CPUs: float64(cpus) / (1 - options.AgedShare)} // the aged have their share on top
			var admittedJobs []*jobs.Job
			var work, due []int
			for index, digits := 0, code; index < 3; index, digits = index+1, digits/16 {
				tasks, terms := digits%4+1, digits/4%4+1
				job := deadlineJob(fmt.Sprintf("job-%d", index), now, time.Duration(terms)*time.Second, tasks, 1, time.Second)
				alone := isFeasible([]int{tasks}, []int{terms}, cpus, 0)
				ok := planner.Admit(now, job, admittedJobs, capacity, 0, nil)
				if index == 0 && ok != alone {
					t.Fatalf("%d tasks in %d terms on %d CPUs: admitted %v, feasible %v", tasks, terms, cpus, ok, alone)
				}
				if !ok {
					refused++
					continue
				}
				admitted++
				job.Guaranteed = true
				admittedJobs, work, due = append(admittedJobs, job), append(work, tasks), append(due, terms)
			}
			if !isFeasible(work, due, cpus, 0) {
				t.Fatalf("admitted what cannot be done: work %v, due %v, %d CPUs", work, due, cpus)
			}
		}
	}
	if admitted == 0 || refused == 0 {
		t.Errorf("%d admitted, %d refused: nothing was tested", admitted, refused)
	}
}

// Package ageing bounds how long a job can wait, so that no job starves. It selects the jobs that have waited so long that
// they get a share of the cluster, and computes an upper bound of a new job's wait. It has no state: a Policy computes
// everything from the times in the jobs, which are kept in persistent state. It does not decide on which machine a task
// runs.
//
// A job that has waited longer than the age bound is aged. The oldest aged jobs are served before all other jobs until tasks
// of aged jobs use the policy's share of the cluster. A job that is accepted later is never served before an older aged one.
// The work that can be served before a job is therefore fixed when the job is accepted.
//
// Design note, with the bound and its proof: docs/design/ageing.md.
package ageing

import (
	"cmp"
	"slices"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/estimate"
	"gullrudder/internal/controller/jobs"
)

// Policy holds the operators' settings for aged jobs.
type Policy struct {
	AgeBound      time.Duration // a job that has waited longer is aged
	Share         float64       // fraction of the cluster's CPUs for tasks of aged jobs; 0: no job is served first
	EstimateError float64       // factor by which a task may exceed its estimated run time
}

// PolicyOf returns the policy that the options set.
func PolicyOf(options config.Options) Policy {
	return Policy{AgeBound: options.AgeBound, Share: options.AgedShare, EstimateError: options.EstimateError}
}

// CompareAge orders jobs by age, the oldest first. The age counts from the first acceptance or, for a job with dependencies,
// from the end of the last one. Jobs of the same age are ordered by ID.
func CompareAge(a, b *jobs.Job) int {
	return cmp.Or(a.EligibleSince().Compare(b.EligibleSince()), cmp.Compare(a.ID, b.ID))
}

// IsOlder reports whether a is older than b.
func IsOlder(a, b *jobs.Job) bool { return CompareAge(a, b) < 0 }

// IsAged reports whether a job has waited longer than the age bound. A service is never aged, since it has no end to wait
// for.
func (p Policy) IsAged(now time.Time, job *jobs.Job) bool {
	return !job.IsService && now.Sub(job.EligibleSince()) > p.AgeBound
}

// FirstJobs returns the aged jobs that are served before all other jobs. live are the jobs that may run, and cpus the CPUs
// of the cluster. startableTasks returns how many more tasks of a job its team's quota allows to run. A job that waits for
// its team's quota uses none of the share and delays no other job. As soon as the quota allows it, it is the first job of
// its team to start.
func (p Policy) FirstJobs(now time.Time, live []*jobs.Job, cpus float64, startableTasks func(*jobs.Job) int) map[*jobs.Job]bool {
	aged, usedCPUs := p.agedJobs(now, live)
	if p.Share <= 0 || len(aged) == 0 {
		return nil
	}
	slices.SortFunc(aged, CompareAge)
	first := map[*jobs.Job]bool{}
	for _, job := range aged {
		if usedCPUs >= p.Share*cpus {
			break
		}
		first[job] = true
		usedCPUs += float64(max(startableTasks(job), 0)) * estimate.CountedCPUs(job)
	}
	return first
}

// agedJobs returns the aged jobs with waiting tasks, and the CPUs that tasks of all aged jobs use.
func (p Policy) agedJobs(now time.Time, live []*jobs.Job) (waiting []*jobs.Job, usedCPUs float64) {
	for _, job := range live {
		if !p.IsAged(now, job) {
			continue
		}
		usedCPUs += float64(len(job.ActiveAttempts)) * estimate.CountedCPUs(job)
		if job.WaitingTasks() > 0 {
			waiting = append(waiting, job)
		}
	}
	return waiting, usedCPUs
}

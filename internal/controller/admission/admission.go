// Package admission decides which deadline jobs are guaranteed. A job is guaranteed if its work fits into a plan of the
// cluster's capacity before its deadline (§3.3.2).
//
// A Planner owns the submissions of the last submission window and uses them to limit each team. It computes everything
// else from the jobs. It never orders jobs and never starts or stops a task.
//
// Design note: docs/design/queue.md.
package admission

import (
	"cmp"
	"slices"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/estimate"
	"gullrudder/internal/controller/fairshare"
	"gullrudder/internal/controller/jobs"
)

// Planner admits deadline jobs and computes which guaranteed jobs can still meet their deadlines. It is not safe for
// concurrent use.
type Planner struct {
	options           config.Options
	estimator         *estimate.Estimator
	fairShare         *fairshare.Allocator
	recentSubmissions []submission // of the last submission window
}

// submission records the CPUs of one submitted job, which count against its team's share.
type submission struct {
	submittedAt time.Time
	team        string
	cpus        float64
}

// New returns a planner that has recorded no submissions. The planner keeps the estimator and the allocator and reads them
// at each call.
func New(options config.Options, estimator *estimate.Estimator, fairShare *fairshare.Allocator) *Planner {
	return &Planner{options: options, estimator: estimator, fairShare: fairShare}
}

// SetOptions replaces the operators' settings. The recorded submissions stay.
func (p *Planner) SetOptions(options config.Options) { p.options = options }

// Request is a request for a guarantee for a job that is about to be accepted.
type Request struct {
	Job      *jobs.Job
	Live     []*jobs.Job // all jobs that may run
	Capacity Capacity
	// Dependencies are the unfinished jobs that the job depends on, directly or indirectly.
	Dependencies []*jobs.Job
	// DependencyRunTime is the shortest time in which the dependencies can finish, that is, their critical path.
	DependencyRunTime time.Duration
}

// Admit reports whether a new deadline job is guaranteed. Three conditions apply:
//   - The job's work fits before its deadline, in addition to the work of all guaranteed jobs.
//   - The work of its dependencies fits before the job.
//   - Its team stays within its share of the cluster.
//
// Each call counts against the team's share, even if the job is not guaranteed.
func (p *Planner) Admit(now time.Time, request Request) bool {
	job := request.Job
	submittedCPUs := p.recordSubmission(now, job)
	capacity := request.Capacity
	if job.Deadline <= 0 || job.IsService || submittedCPUs > p.options.SubmissionShare*(capacity.CPUs+capacity.GrowthCPUs) {
		return false
	}
	if request.DependencyRunTime > 0 && now.Add(request.DependencyRunTime+p.estimator.TaskRunTime(job)).After(job.DueAt()) {
		return false
	}
	plan, _ := p.planGuaranteed(now, guaranteedJobs(request.Live), capacity)
	for _, dependency := range request.Dependencies {
		if dependency.HasGuarantee() {
			continue // already in the plan
		}
		if !p.reserve(plan, p.withEarlierDeadline(dependency, job)) {
			return false
		}
	}
	return p.reserve(plan, job)
}

// recordSubmission counts the job against its team's share and returns the CPUs that the team submitted within the last
// submission window.
func (p *Planner) recordSubmission(now time.Time, job *jobs.Job) float64 {
	cpus := float64(job.Tasks) * job.CPUs
	teamCPUs := cpus
	recent := p.recentSubmissions[:0]
	for _, earlier := range p.recentSubmissions {
		if now.Sub(earlier.submittedAt) >= p.options.SubmissionWindow {
			continue
		}
		recent = append(recent, earlier)
		if earlier.team == job.Team {
			teamCPUs += earlier.cpus
		}
	}
	recent = append(recent, submission{now, job.Team, cpus})
	p.recentSubmissions = recent
	return teamCPUs
}

// withEarlierDeadline returns a copy of the dependency with an inherited deadline that leaves time for one task of the job.
func (p *Planner) withEarlierDeadline(dependency, job *jobs.Job) *jobs.Job {
	early := *dependency
	deadline := job.DueAt().Add(-p.estimator.TaskRunTime(job))
	if early.InheritedDeadline.IsZero() || deadline.Before(early.InheritedDeadline) {
		early.InheritedDeadline = deadline
	}
	return &early
}

// FeasibleJobs returns the guaranteed jobs whose work still fits before their deadlines if jobs are served by earliest deadline
// first. Jobs whose deadline has passed are left out.
func (p *Planner) FeasibleJobs(now time.Time, live []*jobs.Job, capacity Capacity) map[*jobs.Job]bool {
	inTime := slices.DeleteFunc(guaranteedJobs(live), func(entry guaranteedJob) bool { return now.After(entry.dueAt) })
	_, feasible := p.planGuaranteed(now, inTime, capacity)
	return feasible
}

// guaranteedJob is a job for which capacity is planned. Its due time is computed once, since the jobs are sorted by it.
type guaranteedJob struct {
	job   *jobs.Job
	dueAt time.Time
}

// guaranteedJobs returns the jobs for which capacity is planned. Crash-looping jobs are not planned.
func guaranteedJobs(live []*jobs.Job) []guaranteedJob {
	guaranteed := make([]guaranteedJob, 0, len(live))
	for _, job := range live {
		if job.HasGuarantee() && !job.CrashLooping {
			guaranteed = append(guaranteed, guaranteedJob{job, job.DueAt()})
		}
	}
	return guaranteed
}

// compareDeadlines orders jobs by due time, the earliest first, and then by ID.
func compareDeadlines(a, b guaranteedJob) int {
	if byDueTime := a.dueAt.Compare(b.dueAt); byDueTime != 0 {
		return byDueTime
	}
	return cmp.Compare(a.job.ID, b.job.ID)
}

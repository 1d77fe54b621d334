// Package queue orders the jobs that may run. A Ranker owns the objectives of the job classes and the list of rules. Run
// times, guarantees and served shares come from the packages estimate, admission and fairshare. The package never places,
// starts or stops a task.
//
// Jobs are ordered by rank, then by a sort key within the rank. The first rule that matches a job sets both.
//
// Design note: docs/design/queue.md.
package queue

import (
	"cmp"
	"slices"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/admission"
	"gullrudder/internal/controller/ageing"
	"gullrudder/internal/controller/estimate"
	"gullrudder/internal/controller/fairshare"
	"gullrudder/internal/controller/jobs"
)

// Entry is a job in the order, with its estimates and the limits for starting its tasks.
type Entry struct {
	Job                 *jobs.Job
	Rank                Rank
	MayReserve          bool          // machines may be reserved for the job's waiting tasks
	Planned             bool          // the job is guaranteed and its work fits before its deadline
	MaxTasks            int           // maximum number of tasks that run at a time; 0: no limit
	TaskRunTime         time.Duration // estimate for one task
	RemainingCPUSeconds float64       // estimate for the whole job
	sortKey             float64       // order within the rank, lowest first
}

// IsAgedFirst reports whether the job is aged and served before all other jobs.
func (e *Entry) IsAgedFirst() bool { return e.Rank == RankAgedFirst }

// Ranker orders jobs by rank and sort key. It is not safe for concurrent use.
type Ranker struct {
	options    config.Options
	teams      map[string]config.Team
	objectives objectives
	rules      []rule
	estimator  *estimate.Estimator
	planner    *admission.Planner
	fairShare  *fairshare.Allocator

	candidates []candidate // of the last call of Order; the next call reuses the memory
}

// Components are the parts of the controller that a Ranker uses. The caller updates their settings.
type Components struct {
	Estimator *estimate.Estimator
	Planner   *admission.Planner
	FairShare *fairshare.Allocator
}

// NewComponents returns the components of a new leader. They hold no data of earlier jobs.
func NewComponents(options config.Options) Components {
	estimator, fairShare := estimate.New(), fairshare.New(fairshare.PolicyOf(options))
	return Components{Estimator: estimator, Planner: admission.New(options, estimator, fairShare), FairShare: fairShare}
}

// NewRanker returns a ranker for the platform's teams and objectives.
func NewRanker(options config.Options, platform *config.Platform, components Components) *Ranker {
	r := &Ranker{
		teams:      platform.TeamsByName(),
		objectives: newObjectives(platform.Objectives),
		estimator:  components.Estimator,
		planner:    components.Planner,
		fairShare:  components.FairShare,
	}
	r.SetOptions(options)
	return r
}

// SetOptions replaces the operators' settings of the ranker, but not those of its components.
func (r *Ranker) SetOptions(options config.Options) {
	r.options = options
	r.rules = newRules(options, &r.objectives)
}

// AgeingPolicy returns the policy for aged jobs by the current settings.
func (r *Ranker) AgeingPolicy() ageing.Policy { return ageing.PolicyOf(r.options) }

// Order returns the jobs in the order in which they get capacity. live are all jobs that may run. The caller owns the result.
func (r *Ranker) Order(now time.Time, live []*jobs.Job, capacity admission.Capacity) []Entry {
	candidates := r.makeCandidates(now, live, capacity)
	order := make([]*candidate, len(candidates))
	for i := range candidates {
		order[i] = &candidates[i]
		r.rank(order[i])
	}
	slices.SortFunc(order, comparePositions)
	entries := make([]Entry, len(order))
	for i, c := range order {
		entries[i] = c.entry()
	}
	return entries
}

// rank sets the candidate's position by the first rule that matches.
func (r *Ranker) rank(c *candidate) {
	for _, rule := range r.rules {
		if rule.matches(c) {
			c.position = rule.position(c)
			return
		}
	}
}

// comparePositions orders candidates by rank, sort key and job ID, so that the result does not depend on the input order.
func comparePositions(a, b *candidate) int {
	if a.position.rank != b.position.rank {
		return cmp.Compare(a.position.rank, b.position.rank)
	}
	if a.position.sortKey != b.position.sortKey {
		return cmp.Compare(a.position.sortKey, b.position.sortKey)
	}
	return cmp.Compare(a.job.ID, b.job.ID)
}

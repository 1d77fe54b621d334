package queue

import (
	"time"

	"gullrudder/internal/controller/admission"
	"gullrudder/internal/controller/fairshare"
	"gullrudder/internal/controller/jobs"
)

// orderFacts is what is computed once for an order from all jobs. The rules read it.
type orderFacts struct {
	now         time.Time
	clusterCPUs float64         // at least 1
	limitBound  map[string]bool // teams whose work is delayed by their quota
}

// candidate is a job that is being ranked, with what the rules read of it. Estimates and times are computed once for an
// order.
type candidate struct {
	*orderFacts
	job                 *jobs.Job
	age                 time.Duration
	taskRunTime         time.Duration
	remainingCPUSeconds float64
	remainingSeconds    float64 // on the whole cluster

	isPlanned     bool             // guaranteed, and the work fits before the deadline
	isWithinQuota bool             // within the team's guaranteed quota
	isAgedFirst   bool             // aged, and served before everything else
	awaitsStart   bool             // nothing was started for long, and its initial tasks have capacity of their own
	overdueReason fairshare.Reason // why an overdue job has capacity of its own; 0: it has none, or is not overdue

	position position // set by Ranker.rank
}

// makeCandidates returns the candidates of one order. They are valid until the next call.
func (r *Ranker) makeCandidates(now time.Time, live []*jobs.Job, capacity admission.Capacity) []candidate {
	facts := &orderFacts{now: now, clusterCPUs: max(capacity.CPUs, 1)}
	clear(r.candidates) // the jobs of the last order may have ended
	r.candidates = r.candidates[:0]
	for _, job := range live {
		r.candidates = append(r.candidates, r.newCandidate(facts, job))
	}
	candidates := r.candidates
	facts.limitBound = r.limitBoundTeams(candidates, facts.clusterCPUs)
	r.setWithinQuota(candidates)
	r.setAwaitingStart(candidates, capacity)
	planned := r.planner.Feasible(now, live, capacity)
	agedFirst := r.AgeingPolicy().FirstJobs(now, live, capacity.CPUs, capacity.StartableTasks)
	for i := range candidates {
		c := &candidates[i]
		c.isPlanned, c.isAgedFirst = planned[c.job], agedFirst[c.job]
	}
	r.setOverdueReasons(now, candidates, live, capacity)
	return candidates
}

// newCandidate returns a candidate with what depends on the job alone.
func (r *Ranker) newCandidate(facts *orderFacts, job *jobs.Job) candidate {
	remainingCPUSeconds := r.estimator.RemainingCPUSeconds(job, facts.now)
	return candidate{
		orderFacts:          facts,
		job:                 job,
		age:                 facts.now.Sub(job.EligibleSince()),
		taskRunTime:         r.estimator.TaskRunTime(job),
		remainingCPUSeconds: remainingCPUSeconds,
		remainingSeconds:    remainingCPUSeconds / facts.clusterCPUs,
	}
}

// entry returns the candidate's entry in the order.
func (c *candidate) entry() Entry {
	return Entry{
		Job:                 c.job,
		Rank:                c.position.rank,
		MayReserve:          c.position.mayReserve || c.job.IsGang,
		Planned:             c.isPlanned,
		MaxTasks:            c.position.maxTasks,
		TaskRunTime:         c.taskRunTime,
		RemainingCPUSeconds: c.remainingCPUSeconds,
		sortKey:             c.position.sortKey,
	}
}

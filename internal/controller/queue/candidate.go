package queue

import (
	"time"

	"gullrudder/internal/controller/admission"
	"gullrudder/internal/controller/fairshare"
	"gullrudder/internal/controller/jobs"
)

// orderInputs are values that are computed from all jobs, once per call of Order. The rules read them.
type orderInputs struct {
	now         time.Time
	clusterCPUs float64         // at least 1
	limitBound  map[string]bool // teams whose work is delayed by their quota; see limitBoundTeams
}

// candidate is a job that is being ranked, with the values that the rules read. They are computed once per call of Order.
type candidate struct {
	*orderInputs
	job                 *jobs.Job
	age                 time.Duration
	taskRunTime         time.Duration
	remainingCPUSeconds float64
	remainingSeconds    float64 // if the whole cluster worked on the job

	isPlanned     bool             // guaranteed, and its work fits before its deadline
	isWithinQuota bool             // fits into the team's guaranteed quota
	isAgedFirst   bool             // aged, and served before all other jobs
	awaitsStart   bool             // no task was started within StartBound; capacity is set aside for its initial tasks
	overdueReason fairshare.Reason // why capacity is set aside for an overdue job; 0: none is, or the job is not overdue

	position position // set by Ranker.rank
}

// makeCandidates returns one candidate for each job, not ranked yet. They are valid until the next call.
func (r *Ranker) makeCandidates(now time.Time, live []*jobs.Job, capacity admission.Capacity) []candidate {
	inputs := &orderInputs{now: now, clusterCPUs: max(capacity.CPUs, 1)}
	clear(r.candidates) // releases jobs that have ended since the last call
	r.candidates = r.candidates[:0]
	for _, job := range live {
		r.candidates = append(r.candidates, r.newCandidate(inputs, job))
	}
	candidates := r.candidates
	inputs.limitBound = r.limitBoundTeams(candidates, inputs.clusterCPUs)
	r.setWithinQuota(candidates)
	r.setAwaitingStart(candidates, capacity)
	planned := r.planner.FeasibleJobs(now, live, capacity)
	agedFirst := r.AgeingPolicy().FirstJobs(now, live, capacity.CPUs, capacity.StartableTasks)
	for i := range candidates {
		c := &candidates[i]
		c.isPlanned, c.isAgedFirst = planned[c.job], agedFirst[c.job]
	}
	r.setOverdueReasons(now, candidates, live, capacity)
	return candidates
}

// newCandidate returns a candidate with the values that depend on the job alone.
func (r *Ranker) newCandidate(inputs *orderInputs, job *jobs.Job) candidate {
	remainingCPUSeconds := r.estimator.RemainingCPUSeconds(job, inputs.now)
	return candidate{
		orderInputs:         inputs,
		job:                 job,
		age:                 inputs.now.Sub(job.EligibleSince()),
		taskRunTime:         r.estimator.TaskRunTime(job),
		remainingCPUSeconds: remainingCPUSeconds,
		remainingSeconds:    remainingCPUSeconds / inputs.clusterCPUs,
	}
}

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

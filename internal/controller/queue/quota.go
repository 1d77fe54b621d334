package queue

import (
	"cmp"
	"slices"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/admission"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/units"
)

// minLimitedWork is how long a team's work must last at its quota for the team to be limit-bound.
const minLimitedWork = time.Minute

// limitBoundTeams returns the teams whose work is delayed by their quota rather than by the cluster: at its quota it lasts
// long, and longer than the cluster needs for the work of all teams. Such a team can never make up for what it does not
// use of its quota now, however many machines are added.
func (r *Ranker) limitBoundTeams(now time.Time, live []*jobs.Job, capacity admission.Capacity) map[string]bool {
	workByTeam, totalWork := map[string]float64{}, 0.0
	for _, job := range live {
		work := r.estimator.RemainingCPUSeconds(job, now)
		workByTeam[job.Team] += work
		totalWork += work
	}
	minSeconds := max(minLimitedWork.Seconds(), totalWork/max(capacity.CPUs, 1))
	bound := map[string]bool{}
	for team, work := range workByTeam {
		if limit := r.teams[team].CPULimit; limit > 0 && work > limit*minSeconds {
			bound[team] = true
		}
	}
	return bound
}

// jobsWithinQuota returns the jobs that fit into their team's guaranteed quota together with the team's earlier
// unfinished jobs.
func (r *Ranker) jobsWithinQuota(live []*jobs.Job) map[*jobs.Job]bool {
	byTeam := map[string][]*jobs.Job{}
	for _, job := range live {
		if team := r.teams[job.Team]; team.GuaranteedCPUs > 0 || team.GuaranteedGPUs > 0 {
			byTeam[job.Team] = append(byTeam[job.Team], job)
		}
	}
	within := map[*jobs.Job]bool{}
	for team, list := range byTeam {
		slices.SortFunc(list, compareSubmission)
		for _, job := range list[:countWithinQuota(r.teams[team], list)] {
			within[job] = true
		}
	}
	return within
}

// countWithinQuota is the number of jobs, from the first on, that fit into the team's guaranteed quota together.
func countWithinQuota(team config.Team, list []*jobs.Job) int {
	var cpus, gpus float64
	for i, job := range list {
		cpus += float64(job.Tasks) * job.CPUs
		gpus += float64(job.Tasks) * job.GPUs
		if cpus > team.GuaranteedCPUs+units.ResourceTolerance || gpus > team.GuaranteedGPUs+units.ResourceTolerance {
			return i
		}
	}
	return len(list)
}

func compareSubmission(a, b *jobs.Job) int {
	return cmp.Or(a.SubmittedAt.Compare(b.SubmittedAt), cmp.Compare(a.ID, b.ID))
}

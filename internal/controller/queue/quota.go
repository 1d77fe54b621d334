package queue

import (
	"cmp"
	"slices"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/units"
)

// minLimitBoundTime is the time that a team's work at its quota has to exceed for the team to be limit-bound.
const minLimitBoundTime = time.Minute

// limitBoundTeams returns the teams whose work is delayed by their quota rather than by the cluster. At the team's quota, the
// work takes longer than minLimitBoundTime and longer than the cluster needs for the work of all teams. Such a team can never
// catch up on quota that it leaves unused now, however many machines are added.
func (r *Ranker) limitBoundTeams(candidates []candidate, clusterCPUs float64) map[string]bool {
	workByTeam, totalWork := map[string]float64{}, 0.0
	for i := range candidates {
		c := &candidates[i]
		workByTeam[c.job.Team] += c.remainingCPUSeconds
		totalWork += c.remainingCPUSeconds
	}
	minSeconds := max(minLimitBoundTime.Seconds(), totalWork/clusterCPUs)
	bound := map[string]bool{}
	for team, work := range workByTeam {
		if limit := r.teams[team].CPULimit; limit > 0 && work > limit*minSeconds {
			bound[team] = true
		}
	}
	return bound
}

// setWithinQuota selects the jobs that fit into their team's guaranteed quota together with all earlier unfinished jobs of
// the team.
func (r *Ranker) setWithinQuota(candidates []candidate) {
	byTeam := map[string][]*candidate{}
	for i := range candidates {
		c := &candidates[i]
		if team := r.teams[c.job.Team]; team.GuaranteedCPUs > 0 || team.GuaranteedGPUs > 0 {
			byTeam[c.job.Team] = append(byTeam[c.job.Team], c)
		}
	}
	for team, list := range byTeam {
		slices.SortFunc(list, compareSubmission)
		for _, c := range list[:countWithinQuota(r.teams[team], list)] {
			c.isWithinQuota = true
		}
	}
}

// countWithinQuota returns how many jobs from the start of the list fit together into the team's guaranteed quota.
func countWithinQuota(team config.Team, list []*candidate) int {
	var cpus, gpus float64
	for i, c := range list {
		cpus += float64(c.job.Tasks) * c.job.CPUs
		gpus += float64(c.job.Tasks) * c.job.GPUs
		if cpus > team.GuaranteedCPUs+units.ResourceTolerance || gpus > team.GuaranteedGPUs+units.ResourceTolerance {
			return i
		}
	}
	return len(list)
}

// compareSubmission orders candidates by the submission time of their jobs, the earliest first, and then by ID.
func compareSubmission(a, b *candidate) int {
	if bySubmission := a.job.SubmittedAt.Compare(b.job.SubmittedAt); bySubmission != 0 {
		return bySubmission
	}
	return cmp.Compare(a.job.ID, b.job.ID)
}

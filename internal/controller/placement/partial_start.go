package placement

import (
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/worker"
)

// UnseenUsage is, by team, what tasks of earlier leaders may use at most on machines that a takeover has not accounted for.
type UnseenUsage map[string]worker.Usage

// SetPartialStart lets only those jobs start whose acceptance this leader itself has committed, for as long as hidden is not nil: no
// earlier leader can have started a task of theirs, wherever it is. Their teams' limits hold with what is hidden counted.
func (p *Placer) SetPartialStart(unseenUsage UnseenUsage) { p.unseenUsage = unseenUsage }

// canStart reports whether tasks of the job may start at all at present.
func (p *Placer) canStart(job *jobs.Job) bool {
	return p.unseenUsage == nil || job.AcceptedByThisLeader
}

// tasksAllowedByQuota is how many more tasks of the job its team's limit allows, with what may run out of sight.
func (p *Placer) tasksAllowedByQuota(job *jobs.Job) int {
	used := *p.workers.TeamUsage(job.Team)
	unseen := p.unseenUsage[job.Team]
	return TasksAllowedByQuota(job, p.teams[job.Team], &worker.Usage{CPUs: used.CPUs + unseen.CPUs, GPUs: used.GPUs + unseen.GPUs})
}

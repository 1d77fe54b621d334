package placement

import (
	"math"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/queue"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/units"
)

// unlimitedResource is more of a resource than any cluster has.
const unlimitedResource = 1e12

// UnseenUsage is, by team, the most that tasks of earlier leaders may use on machines that are not reconciled yet.
type UnseenUsage map[string]worker.Usage

// TasksAllowedByQuota is the number of further tasks of the job that its team's quota allows.
func TasksAllowedByQuota(job *jobs.Job, team config.Team, usage *worker.Usage) int {
	tasks := job.Tasks
	if team.CPULimit > 0 && job.CPUs > 0 {
		tasks = min(tasks, int(math.Floor((team.CPULimit-usage.CPUs+units.ResourceTolerance)/job.CPUs)))
	}
	if team.GPULimit > 0 && job.GPUs > 0 {
		tasks = min(tasks, int(math.Floor((team.GPULimit-usage.GPUs+units.ResourceTolerance)/job.GPUs)))
	}
	return max(tasks, 0)
}

// ExceedsQuota reports whether the job can never run within its team's quota. Services and gangs run as a whole.
func ExceedsQuota(job *jobs.Job, team config.Team) bool {
	tasks := 1.0
	if job.IsService || job.IsGang {
		tasks = float64(job.Tasks)
	}
	return team.CPULimit > 0 && tasks*job.CPUs > team.CPULimit+units.ResourceTolerance ||
		team.GPULimit > 0 && tasks*job.GPUs > team.GPULimit+units.ResourceTolerance
}

// SetPartialStart limits starts to jobs that this leader itself has accepted as long as usage is not nil: no earlier
// leader can have started a task of theirs. Their teams' quotas hold with the unseen usage counted.
func (p *Placer) SetPartialStart(usage UnseenUsage) { p.unseenUsage = usage }

// canStart reports whether tasks of the job may start at all at present.
func (p *Placer) canStart(job *jobs.Job) bool {
	return p.unseenUsage == nil || job.AcceptedByThisLeader
}

// tasksAllowedByQuota is the number of further tasks of the job that its team's quota allows, with unseen usage counted.
func (p *Placer) tasksAllowedByQuota(job *jobs.Job) int {
	used := *p.workers.TeamUsage(job.Team)
	unseen := p.unseenUsage[job.Team]
	return TasksAllowedByQuota(job, p.teams[job.Team], &worker.Usage{CPUs: used.CPUs + unseen.CPUs, GPUs: used.GPUs + unseen.GPUs})
}

// startableTasksOf is the number of waiting tasks of the job that its team's quota allows to run.
func (p *Placer) startableTasksOf(job *jobs.Job) int {
	return min(job.WaitingTasks(), TasksAllowedByQuota(job, p.teams[job.Team], p.workers.TeamUsage(job.Team)))
}

// StartableTasks is, by entry of an order, the number of waiting tasks that the quotas allow to run together. What is left
// of a team's quota goes to its first job first.
func (p *Placer) StartableTasks(order []queue.Entry) []int {
	quotaLeft := map[string]worker.Resources{}
	tasks := make([]int, len(order))
	for i := range order {
		job := order[i].Job
		tasks[i] = job.WaitingTasks()
		team := p.teams[job.Team]
		if tasks[i] == 0 || team.CPULimit <= 0 && team.GPULimit <= 0 {
			continue
		}
		quota, ok := quotaLeft[job.Team]
		if !ok {
			quota = remainingQuota(team, p.workers.TeamUsage(job.Team))
		}
		tasks[i] = min(tasks[i], quota.TasksThatFit(job))
		quotaLeft[job.Team] = quota.AfterPlacing(job, tasks[i])
	}
	return tasks
}

// remainingQuota is what the team may use besides what it uses.
func remainingQuota(team config.Team, used *worker.Usage) worker.Resources {
	left := worker.Resources{CPUs: unlimitedResource, GPUs: unlimitedResource, MemoryGB: unlimitedResource}
	if team.CPULimit > 0 {
		left.CPUs = team.CPULimit - used.CPUs
	}
	if team.GPULimit > 0 {
		left.GPUs = team.GPULimit - used.GPUs
	}
	return left
}

package placement

import (
	"math"

	"gullrudder/internal/config"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/queue"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/units"
)

// unlimitedResource is the amount of a resource without a limit. No cluster has as much.
const unlimitedResource = 1e12

// UnreconciledUsage is, by team, an upper bound of what tasks of earlier leaders use on machines that are not reconciled yet.
type UnreconciledUsage map[string]worker.Usage

// TasksAllowedByQuota returns how many more tasks of the job its team's quota allows, up to the job's number of tasks. usage
// is what the team uses now.
func TasksAllowedByQuota(job *jobs.Job, team config.Team, usage *worker.Usage) int {
	tasks := job.Tasks
	if team.CPULimit > 0 && job.CPUs > 0 {
		tasks = units.CountThatFits(tasks, job.CPUs, team.CPULimit-usage.CPUs+units.ResourceTolerance)
	}
	if team.GPULimit > 0 && job.GPUs > 0 {
		tasks = units.CountThatFits(tasks, job.GPUs, team.GPULimit-usage.GPUs+units.ResourceTolerance)
	}
	return tasks
}

// ExceedsQuota reports whether the job can never run within its team's quota. Services and gangs need the quota for all
// their tasks at the same time, other jobs for one task.
func ExceedsQuota(job *jobs.Job, team config.Team) bool {
	tasks := 1.0
	if job.IsService || job.IsGang {
		tasks = float64(job.Tasks)
	}
	return team.CPULimit > 0 && tasks*job.CPUs > team.CPULimit+units.ResourceTolerance ||
		team.GPULimit > 0 && tasks*job.GPUs > team.GPULimit+units.ResourceTolerance
}

// SetPartialStart restricts starts to the jobs that this leader itself has accepted: no earlier leader can have started any
// of their tasks. usage counts against the teams' quotas. A nil usage lifts the restriction.
func (p *Placer) SetPartialStart(usage UnreconciledUsage) { p.unreconciledUsage = usage }

// canStart reports whether tasks of the job may start at present.
func (p *Placer) canStart(job *jobs.Job) bool {
	return p.unreconciledUsage == nil || job.AcceptedByThisLeader
}

// tasksAllowedByQuota returns how many more tasks of the job its team's quota allows. The usage on unreconciled machines
// counts.
func (p *Placer) tasksAllowedByQuota(job *jobs.Job) int {
	used := *p.workers.TeamUsage(job.Team)
	unreconciled := p.unreconciledUsage[job.Team]
	return TasksAllowedByQuota(job, p.teams[job.Team], &worker.Usage{CPUs: used.CPUs + unreconciled.CPUs, GPUs: used.GPUs + unreconciled.GPUs})
}

// startableTasksOf returns how many of the job's waiting tasks its team's quota allows to run.
func (p *Placer) startableTasksOf(job *jobs.Job) int {
	return min(job.WaitingTasks(), TasksAllowedByQuota(job, p.teams[job.Team], p.workers.TeamUsage(job.Team)))
}

// StartableTasks returns, for each entry of an order, how many of its waiting tasks may run at the same time as those of the
// earlier entries. The remainder of a team's quota goes to the team's jobs in order.
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

// remainingQuota returns how much more the team may use.
func remainingQuota(team config.Team, used *worker.Usage) worker.Resources {
	left := worker.Resources{CPUs: unlimitedResource, GPUs: unlimitedResource, MemoryGB: unlimitedResource, Tasks: math.MaxInt}
	if team.CPULimit > 0 {
		left.CPUs = team.CPULimit - used.CPUs
	}
	if team.GPULimit > 0 {
		left.GPUs = team.GPULimit - used.GPUs
	}
	return left
}

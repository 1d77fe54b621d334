package simulator

import (
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/wire/workerapi"
)

// checkRanTwice checks that a task does not start on one machine while it may still run on another.
func (checker *invariantChecker) checkRanTwice(worker *machine, taskID jobs.TaskID) {
	for _, other := range checker.placements[taskID] {
		if checker.mayHoldTasks(other) {
			checker.sim.reportViolation(RuleRanTwice, "%s started on %s while on %s", taskID, worker.id, other.id)
		}
	}
}

// checkQuota checks that a team's tasks do not use more CPUs than the team's limit.
func (checker *invariantChecker) checkQuota(team string) {
	used := 0.0
	for taskID, workers := range checker.placements {
		for _, worker := range workers {
			if job := checker.jobs[taskID.JobID]; job.spec.Team == team && checker.mayHoldTasks(worker) {
				used += job.spec.CPUs
			}
		}
	}
	for _, teamConfig := range checker.sim.Options.Teams {
		if teamConfig.Name == team && teamConfig.CPULimit > 0 && used > teamConfig.CPULimit+1e-6 {
			checker.sim.reportViolation(RuleQuota, "team %s uses %g CPUs, its limit is %g", team, used, teamConfig.CPULimit)
		}
	}
}

// checkWrongPlace checks that a task starts only on a machine that its job allows, given the placement of the job's other tasks.
func (checker *invariantChecker) checkWrongPlace(worker *machine, taskID jobs.TaskID, job *observedJob) {
	spec := job.spec
	if !worker.allowsJob(spec) {
		checker.sim.reportViolation(RuleWrongPlace, "%s started on %s, which its job does not allow", taskID, worker.id)
	}
	tasksByZone, _ := checker.tasksByZone(spec)
	if spec.SingleZone && len(tasksByZone) > 1 {
		checker.sim.reportViolation(RuleWrongPlace, "%s is in %d zones", taskID.JobID, len(tasksByZone))
	}
	for zone, count := range tasksByZone {
		if spec.SpreadAcrossZones && count > (spec.Tasks+1)/2 {
			checker.sim.reportViolation(RuleWrongPlace, "%d tasks of %s are in zone %s", count, taskID.JobID, zone)
		}
	}
}

// tasksByZone counts the tasks of a job that may still be on machines, by zone and in total.
func (checker *invariantChecker) tasksByZone(spec jobs.Spec) (byZone map[string]int, total int) {
	byZone = map[string]int{}
	for index := range spec.Tasks {
		for _, worker := range checker.placements[jobs.TaskID{JobID: spec.ID, Index: index}] {
			if checker.mayHoldTasks(worker) {
				byZone[worker.zone]++
				total++
			}
		}
	}
	return byZone, total
}

// checkStartOfCancelled checks the part of RuleRanCancelled that concerns starts: no task starts after CancelTimeout has passed.
func (checker *invariantChecker) checkStartOfCancelled(taskID jobs.TaskID, job *observedJob) {
	if job.cancelledAt.IsZero() {
		return
	}
	if since := checker.sim.Now.Sub(job.cancelledAt); since > checker.sim.Options.CancelTimeout {
		checker.sim.reportViolation(RuleRanCancelled, "%s starts %v after its user learned that it is cancelled", taskID, since)
	}
}

// checkRanCancelled checks that no task of a cancelled job is on a machine. It is called when CancelTimeout has passed since the user
// learned of the cancellation.
func (checker *invariantChecker) checkRanCancelled(jobID string) {
	for index := range checker.jobs[jobID].spec.Tasks {
		for _, worker := range checker.placements[jobs.TaskID{JobID: jobID, Index: index}] {
			if checker.mayHoldTasks(worker) {
				checker.sim.reportViolation(RuleRanCancelled, "%s/%d is still on %s", jobID, index, worker.id)
			}
		}
	}
}

// checkForgotten is called when a request gets a 404 or a repeated submission is rejected. Neither may happen to a job that was accepted
// before the request was sent.
func (checker *invariantChecker) checkForgotten(jobID string, requestedAt time.Time, status int) {
	if job := checker.jobs[jobID]; job != nil && !job.acceptedAt.IsZero() && requestedAt.After(job.acceptedAt) {
		checker.sim.reportViolation(RuleForgotten, "a request about %s got status %d", jobID, status)
	}
}

// maxTimeWithoutResponse is the longest time that all polls for an accepted job may fail after the end of all faults. The protocol allows
// 90 s while most other polls get responses. This limit is stricter and does not depend on other polls.
const maxTimeWithoutResponse = 75 * time.Second

// checkPollFailures is called when a poll for a job fails. It checks the part of RuleForgotten that concerns polls.
func (checker *invariantChecker) checkPollFailures(jobID string) {
	job := checker.jobs[jobID]
	if job == nil || job.acceptedAt.IsZero() {
		return
	}
	since := job.lastResponseAt
	if checker.sim.faultsUntil.After(since) {
		since = checker.sim.faultsUntil
	}
	if withoutResponse := checker.sim.Now.Sub(since); withoutResponse > maxTimeWithoutResponse {
		checker.sim.reportViolation(RuleForgotten, "no poll for %s got a response for %v", jobID, withoutResponse.Round(time.Second))
	}
}

// checkInvented checks that no response gives a state for a job that no user submitted. It returns false if the rule is broken.
func (checker *invariantChecker) checkInvented(jobID, state string) bool {
	if job := checker.jobs[jobID]; job != nil && job.isSubmitted {
		return true
	}
	checker.sim.reportViolation(RuleInvented, "%s, which no user submitted, is %s", jobID, state)
	return false
}

// checkNotDone checks that a job is not reported as done before all of its tasks are completed.
func (checker *invariantChecker) checkNotDone(jobID string) {
	job := checker.jobs[jobID]
	if len(job.completedTasks) < job.spec.Tasks {
		checker.sim.reportViolation(RuleNotDone, "%s is done with %d of %d tasks completed", jobID, len(job.completedTasks), job.spec.Tasks)
	}
}

// checkWentBack checks that a final state never changes. It also checks that a job is reported as cancelled only if a user requested to
// cancel it or one of its direct or indirect dependencies.
func (checker *invariantChecker) checkWentBack(jobID, state string, requestedAt time.Time) {
	job := checker.jobs[jobID]
	wasCancelled, wasDone := !job.cancelledAt.IsZero(), !job.finishedAt.IsZero()
	switch state {
	case stateDone:
		if wasCancelled {
			checker.sim.reportViolation(RuleWentBack, "%s was cancelled, is done", jobID)
		}
	case stateCancelled:
		if !job.cancelRequested && !checker.anyAncestor(jobID, func(other *observedJob) bool { return other.cancelRequested }) {
			checker.sim.reportViolation(RuleWentBack, "%s is cancelled, which no user requested", jobID)
		}
		if wasDone {
			checker.sim.reportViolation(RuleWentBack, "%s was done, is cancelled", jobID)
		}
	default:
		// A request sent before the user learned the final state may still get an older state.
		if wasDone && requestedAt.After(job.finishedAt) {
			checker.sim.reportViolation(RuleWentBack, "%s was done, is %s", jobID, state)
		}
		if wasCancelled && requestedAt.After(job.cancelledAt) {
			checker.sim.reportViolation(RuleWentBack, "%s was cancelled, is %s", jobID, state)
		}
	}
}

// checkTooEarly checks that a task does not run before every dependency of its job is done and its results are durable.
func (checker *invariantChecker) checkTooEarly(jobID string) {
	for _, dependency := range checker.jobs[jobID].spec.Dependencies {
		dependencyJob := checker.jobs[dependency]
		if len(dependencyJob.completedTasks) < dependencyJob.spec.Tasks {
			checker.sim.reportViolation(RuleTooEarly, "a task of %s runs before %s is done", jobID, dependency)
			continue
		}
		if isDurable, err := checker.sim.State.durableResults(dependency); err != nil || !isDurable(dependencyJob.spec.Tasks-1) {
			checker.sim.reportViolation(RuleTooEarly, "a task of %s runs before the results of %s are durable", jobID, dependency)
		}
	}
}

// checkOrphaned is called when a user learns that a job is queued or running. No dependency may have been cancelled for longer than
// CancelTimeout at the time of the request.
func (checker *invariantChecker) checkOrphaned(jobID string, requestedAt time.Time) {
	cancelledLongAgo := func(other *observedJob) bool {
		return !other.cancelledAt.IsZero() && requestedAt.Sub(other.cancelledAt) > checker.sim.Options.CancelTimeout
	}
	if len(checker.jobs[jobID].spec.Dependencies) > 0 && checker.anyAncestor(jobID, cancelledLongAgo) {
		checker.sim.reportViolation(RuleOrphaned, "%s is not cancelled although a dependency was cancelled", jobID)
	}
}

// checkAttemptUnused checks that no attempt number is used twice, even by different leaders. Only tasks of a gang share an attempt number,
// and simulated jobs have no gangs.
func (checker *invariantChecker) checkAttemptUnused(worker *machine, task *machineTask) {
	if firstUse, ok := checker.attempts[task.attempt]; ok {
		checker.sim.reportViolation(
			RuleAttemptReused,
			"attempt %d of %s on %s was used before: %s",
			task.attempt,
			task.id,
			worker.id,
			firstUse,
		)
	}
}

// checkKnownTask checks that only tasks of submitted jobs run. It returns false if the job is unknown.
func (checker *invariantChecker) checkKnownTask(taskID jobs.TaskID) bool {
	job := checker.jobs[taskID.JobID]
	if job == nil || !job.isSubmitted {
		checker.sim.reportViolation(RuleUnknownTask, "a task of an unknown job runs: %s", taskID)
		return false
	}
	if taskID.Index >= job.spec.Tasks {
		checker.sim.reportViolation(RuleUnknownTask, "a task runs whose index exceeds the tasks of its job: %s", taskID)
	}
	return true
}

// checkResultDurable is called when a worker receives a forget command for a task. The result must be durable unless the cancellation of
// the job was requested.
func (checker *invariantChecker) checkResultDurable(task *machineTask) {
	job := checker.jobs[task.id.JobID]
	if job == nil || task.reason != workerapi.ReasonDone || job.cancelRequested {
		return
	}
	isDurable, err := checker.sim.State.durableResults(task.id.JobID)
	if err != nil {
		checker.sim.reportViolation(RuleMalformed, "the persistent state cannot be read: %v", err)
		return
	}
	if !isDurable(task.id.Index) {
		checker.sim.reportViolation(RuleResultLost, "the result of %s was forgotten before it was durable", task.id)
	}
}

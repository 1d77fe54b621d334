package api

import (
	"strings"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/wire/workerapi"
)

// waitExplanation collects the reasons and remedies of one job. It checks every condition that placement checks
// before it starts a task.
type waitExplanation struct {
	*explanationHandler
	*Explanation
	now time.Time
	job *jobs.Job
}

// collect adds the reasons and remedies to the explanation, the most important first.
func (w *waitExplanation) collect() {
	if w.explainBlocked() {
		return
	}
	w.explainFailover()
	w.explainInheritedDeadline()
	w.explainRetry()
	w.explainQuota()
	machines := w.surveyMachines()
	w.explainCapacity(machines)
	w.explainAvoided(machines)
	w.explainTasksFull(machines)
	w.explainReservations(machines)
	w.explainUnreachable(machines)
	w.explainStartBound()
	w.explainZoneRules(machines)
	w.explainAgeing()
}

// explainBlocked adds the reason of a job that needs no machine at present. It returns false if the job waits for machines.
func (w *waitExplanation) explainBlocked() bool {
	switch {
	case w.job.State == jobs.Pending:
		w.addReason("the job is not saved yet")
	case w.job.IsCancelling || w.job.State == jobs.Cancelled:
		w.addReason("the job was cancelled")
	case w.job.UnmetDependencies > 0:
		w.explainDependencies()
	case w.job.CrashLooping:
		w.explainCrashLoop()
	case w.job.WaitingTasks() == 0:
		w.addReason("all tasks of the job are running or done")
	default:
		return false
	}
	return true
}

func (w *waitExplanation) explainDependencies() {
	graph := w.jobStore.DependencyGraph()
	unmet := graph.Unmet(w.job)
	listed := unmet[:min(len(unmet), maxJobsAhead)]
	w.addReason("the job waits until %d other jobs are done: %s", len(unmet), strings.Join(listed, ", "))
	runTime, _ := graph.CriticalPath(w.job, w.estimator.TaskRunTime)
	w.addReason("the longest chain of these jobs takes at least %.0f s", runTime.Seconds())
	w.addRemedy("completion of these jobs; if one of them is cancelled, this job is cancelled too")
}

func (w *waitExplanation) explainCrashLoop() {
	// A crash loop means failures on at least two machines. Failures under an earlier leader are not counted here.
	machines := max(w.failures.FailedMachineCount(w.job.ID), 2)
	w.addReason("tasks of the job failed on %d machines, and no task has completed; "+
		"the job was probably submitted with a mistake", machines)
	w.addReason("one task is tried at a time; the next one starts in %.0f s at the earliest", max(w.job.NotBefore.Sub(w.now), 0).Seconds())
	w.addRemedy("completion of one task; after that, all tasks may start again")
	w.addRemedy("cancellation (gullrudder cancel JOB), and submission of a corrected job under a new ID")
}

func (w *waitExplanation) explainFailover() {
	if !w.failover.Completed() {
		w.addReason("a new leader has taken over; %d machines have not reported yet what they run", w.failover.UnreconciledMachines())
	}
}

func (w *waitExplanation) explainInheritedDeadline() {
	if due := w.job.InheritedDeadline; !due.IsZero() {
		w.addReason("a job that depends on this one has a deadline; this job must be done within %.0f s", due.Sub(w.now).Seconds())
	}
}

func (w *waitExplanation) explainRetry() {
	if w.now.Before(w.job.NotBefore) {
		w.addReason("tasks of the job failed or were refused recently; the job is retried in %.0f s", w.job.NotBefore.Sub(w.now).Seconds())
	}
}

func (w *waitExplanation) explainQuota() {
	team := w.teams[w.job.Team]
	if placement.TasksAllowedByQuota(w.job, team, w.workers.TeamUsage(w.job.Team)) == 0 {
		w.addReason("team %s has no quota left for another task of the job (limit: %g CPUs, %g GPUs)", w.job.Team, team.CPULimit, team.GPULimit)
		w.addRemedy("a higher limit for team %s, or the end of one of its tasks", w.job.Team)
	}
}

// machineSurvey counts the machines that a job can use, and those that it cannot use now. Only machines that have sent a heartbeat count.
type machineSurvey struct {
	eligible     int // may run tasks of the job
	avoided      int // meet the constraints of the job, which avoids them because a task of it failed there
	reserved     int // have available resources for a task, but are reserved for another job
	zoneFull     int // have available resources for a task, but the job may have no further task in their zone
	fittingTasks int // tasks that the available resources of the other machines allow
	withImage    int // machines that count for fittingTasks and have the job's image
	unreachable  int // send heartbeats but seem to receive no responses
	tasksFull    int // hold the maximum number of tasks
}

func (w *waitExplanation) surveyMachines() machineSurvey {
	var survey machineSurvey
	for _, machine := range w.workers.MachinesWithCapacity() {
		if machine.IsUnreachable {
			survey.unreachable++
		}
		if placement.IsAvoided(w.job, machine) && placement.KindAllowed(w.job, placement.MachineKind(machine)) {
			survey.avoided++
		}
		if !placement.IsEligible(w.job, machine) || machine.DrainReason != worker.NotDraining {
			continue
		}
		survey.eligible++
		if machine.Available().Tasks <= 0 {
			survey.tasksFull++
		}
		tasks := machine.TasksThatFit(w.job)
		switch {
		case tasks == 0:
		case placement.TasksAllowedInZone(w.job, machine.Zone) == 0:
			survey.zoneFull++
		case machine.ReservedFor != nil && machine.ReservedFor != w.job:
			survey.reserved++
		default:
			survey.fittingTasks += tasks
			if machine.ImageCache.Has(w.job.Image) {
				survey.withImage++
			}
		}
	}
	return survey
}

func (w *waitExplanation) explainCapacity(machines machineSurvey) {
	waiting := w.job.WaitingTasks()
	switch {
	case machines.eligible == 0 && machines.avoided > 0:
		w.addRemedy("another machine")
	case machines.eligible == 0:
		w.addReason("no machine that is up may run the job%s", describeConstraints(w.job))
		w.addRemedy("a machine that meets the constraints of the job on type, zone and spot")
	case machines.fittingTasks == 0:
		w.addReason("%d machines may run the job; none has enough available resources for one more task (%g CPUs, %g GPUs, %g GB)%s",
			machines.eligible, w.job.CPUs, w.job.GPUs, w.job.MemoryGB, describeConstraints(w.job))
		if w.Position > 1 {
			w.addReason("%d jobs with %.0f CPU seconds of work get resources first", w.Position-1, w.CPUSecondsAhead)
		}
		w.addRemedy("resources that become available, or another machine")
	case w.job.IsGang && machines.fittingTasks < waiting:
		w.addReason("the %d waiting tasks start together or not at all; resources are available for %d", waiting, machines.fittingTasks)
		w.addRemedy("available resources for all of these tasks at the same time; machines are reserved one by one")
	default:
		w.addReason("resources are available for %d tasks of the job; they start with the next heartbeats of the machines",
			min(machines.fittingTasks, waiting))
		if machines.withImage == 0 {
			w.addReason("no machine with available resources has the image %s yet", w.job.Image)
		}
	}
}

func (w *waitExplanation) explainAvoided(machines machineSurvey) {
	if machines.avoided > 0 {
		w.addReason("%d machines are avoided, since a task of the job failed there", machines.avoided)
		w.addRemedy("waiting: a machine is avoided for %.0f s after a failure", jobs.MachineAvoidance.Seconds())
	}
}

func (w *waitExplanation) explainTasksFull(machines machineSurvey) {
	if machines.tasksFull > 0 {
		w.addReason("%d machines hold %d tasks, the most that a worker may report", machines.tasksFull, workerapi.MaxTasksPerMachine)
	}
}

func (w *waitExplanation) explainReservations(machines machineSurvey) {
	if machines.reserved > 0 {
		w.addReason("%d machines with available resources are reserved for other jobs", machines.reserved)
	}
}

func (w *waitExplanation) explainUnreachable(machines machineSurvey) {
	if machines.unreachable > 0 {
		w.addReason("%d machines send heartbeats but seem to receive no responses; "+
			"they start no tasks, and are terminated if they answer no probe", machines.unreachable)
	}
}

func (w *waitExplanation) explainStartBound() {
	bound := w.options.StartBound
	waited := w.now.Sub(w.job.EligibleSince())
	hasStarted := w.job.DoneTasks+len(w.job.ActiveAttempts) > 0
	if bound <= 0 || w.job.IsService || w.job.IsGang || hasStarted || waited >= bound {
		return
	}
	w.addRemedy("waiting: if no task has started in %.0f s, some tasks of the job go ahead of other jobs", (bound - waited).Seconds())
}

func (w *waitExplanation) explainZoneRules(machines machineSurvey) {
	if machines.zoneFull > 0 {
		w.addReason("%d machines with available resources are in zones where the job may have no further task", machines.zoneFull)
		w.addRemedy("a job that is neither limited to one zone nor spread across zones")
	}
}

func (w *waitExplanation) explainAgeing() {
	policy := w.ranker.AgeingPolicy()
	if w.job.IsService || policy.IsAged(w.now, w.job) || policy.Share <= 0 {
		return
	}
	remaining := policy.AgeBound - w.now.Sub(w.job.EligibleSince())
	w.addRemedy("waiting: the job counts as aged in %.0f s; aged jobs get %.0f %% of the cluster, the oldest first",
		remaining.Seconds(), 100*policy.Share)
}

// describeConstraints lists the job's constraints on machines. It returns an empty string without any.
func describeConstraints(job *jobs.Job) string {
	var list []string
	if len(job.MachineTypes) > 0 {
		list = append(list, "types "+strings.Join(job.MachineTypes, ", "))
	}
	if job.Zone != "" {
		list = append(list, "zone "+job.Zone)
	}
	if !job.AllowsSpot {
		list = append(list, "no spot machines")
	}
	if len(list) == 0 {
		return ""
	}
	return "; constraints: " + strings.Join(list, "; ")
}

package api

import (
	"strings"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/worker"
)

// waitExplanation finds the reasons and remedies of one job. It checks every condition that placement checks
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
	w.explainReservations(machines)
	w.explainUnreachable(machines)
	w.explainStartBound()
	w.explainZoneRules(machines)
	w.explainAgeing()
}

// explainBlocked gives the reason of a job that needs no machine at present. It returns false if the job waits for machines.
func (w *waitExplanation) explainBlocked() bool {
	switch {
	case w.job.State == jobs.Pending:
		w.addReason("it is not saved yet")
	case w.job.IsCancelling || w.job.State == jobs.Cancelled:
		w.addReason("its user has cancelled it")
	case w.job.UnmetDependencies > 0:
		w.explainDependencies()
	case w.job.CrashLooping:
		w.explainCrashLoop()
	case w.job.WaitingTasks() == 0:
		w.addReason("all of its tasks run or are done")
	default:
		return false
	}
	return true
}

func (w *waitExplanation) explainDependencies() {
	graph := w.jobStore.DependencyGraph()
	unmet := graph.Unmet(w.job)
	listed := unmet[:min(len(unmet), maxJobsAhead)]
	w.addReason("it waits for %d other jobs that have to be done first: %s", len(unmet), strings.Join(listed, ", "))
	runTime, _ := graph.CriticalPath(w.job, w.estimator.TaskRunTime)
	w.addReason("by the longest way through them that takes %.0f s at least", runTime.Seconds())
	w.addRemedy("the end of those jobs; if one of them is cancelled, so is this one")
}

func (w *waitExplanation) explainCrashLoop() {
	// A crash loop takes failures on two machines at least; those under an earlier leader are not counted here.
	machines := max(w.failures.FailedMachineCount(w.job.ID), 2)
	w.addReason("its tasks have failed on %d machines and on none of them has one completed: "+
		"it looks as if it was submitted with a mistake", machines)
	w.addReason("one task is tried at a time; the next in %.0f s", max(w.job.NotBefore.Sub(w.now), 0).Seconds())
	w.addRemedy("a task that completes: then all are started again")
	w.addRemedy("its cancellation, and a submission without the mistake")
}

func (w *waitExplanation) explainFailover() {
	if !w.failover.Completed() {
		w.addReason("a new leader has taken over, and %d machines have not said yet what runs on them", w.failover.UnreconciledMachines())
	}
}

func (w *waitExplanation) explainInheritedDeadline() {
	if due := w.job.InheritedDeadline; !due.IsZero() {
		w.addReason("a job that needs it has a deadline: for that it has to be done in %.0f s", due.Sub(w.now).Seconds())
	}
}

func (w *waitExplanation) explainRetry() {
	if w.now.Before(w.job.NotBefore) {
		w.addReason("its tasks failed or were refused lately: it is tried again in %.0f s", w.job.NotBefore.Sub(w.now).Seconds())
	}
}

func (w *waitExplanation) explainQuota() {
	team := w.teams[w.job.Team]
	if placement.TasksAllowedByQuota(w.job, team, w.workers.TeamUsage(w.job.Team)) == 0 {
		w.addReason("team %s uses all that its limit allows (%g CPUs, %g cards)", w.job.Team, team.CPULimit, team.GPULimit)
		w.addRemedy("a higher limit of team %s, or the end of a task of the team", w.job.Team)
	}
}

// machineSurvey is what the machines offer to a job. The numbers are of machines that report.
type machineSurvey struct {
	eligible    int // may run the job
	reserved    int // have capacity for a task, but it is reserved for another job
	zoneFull    int // have capacity for a task, but are in a zone where the job may have no more tasks
	freeTasks   int // tasks for which there is capacity on the other machines
	withImage   int // machines with such capacity that have the job's image
	unreachable int // send heartbeats, but seem to receive no responses
}

func (w *waitExplanation) surveyMachines() machineSurvey {
	var survey machineSurvey
	for _, machine := range w.workers.ReportingMachines() {
		if machine.IsUnreachable {
			survey.unreachable++
		}
		if !placement.IsEligible(w.job, machine) || machine.DrainReason != worker.NotDraining {
			continue
		}
		survey.eligible++
		tasks := machine.TasksThatFit(w.job)
		switch {
		case tasks == 0:
		case placement.TasksAllowedInZone(w.job, machine.Zone) == 0:
			survey.zoneFull++
		case machine.ReservedFor != nil && machine.ReservedFor != w.job:
			survey.reserved++
		default:
			survey.freeTasks += tasks
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
	case machines.eligible == 0:
		w.addReason("no machine that is up may run it%s", describeConstraints(w.job))
		w.addRemedy("a machine of a type, zone and kind that the job allows")
	case machines.freeTasks == 0:
		w.addReason("%d machines may run it, and none has room for one more task (%g CPUs, %g cards, %g GB)%s",
			machines.eligible, w.job.CPUs, w.job.GPUs, w.job.MemoryGB, describeConstraints(w.job))
		if w.Position > 1 {
			w.addReason("%d jobs with %.0f CPU seconds of work get room before it", w.Position-1, w.CPUSecondsAhead)
		}
		w.addRemedy("room that comes free, or another machine")
	case w.job.IsGang && machines.freeTasks < waiting:
		w.addReason("its %d tasks start at the same time or not at all; there is room for %d", waiting, machines.freeTasks)
		w.addRemedy("room for all of them at one time: it is held machine by machine")
	default:
		w.addReason("there is room for %d of its tasks: they start with the next reports of those machines", min(machines.freeTasks, waiting))
		if machines.withImage == 0 {
			w.addReason("no machine with room has its image %s yet", w.job.Image)
		}
	}
}

func (w *waitExplanation) explainReservations(machines machineSurvey) {
	if machines.reserved > 0 {
		w.addReason("%d machines with room are held for jobs before it", machines.reserved)
	}
}

func (w *waitExplanation) explainUnreachable(machines machineSurvey) {
	if machines.unreachable > 0 {
		w.addReason("%d machines report and seem to hear nothing of us: "+
			"they start nothing, and are given back if they answer no question", machines.unreachable)
	}
}

func (w *waitExplanation) explainStartBound() {
	bound := w.options.StartBound
	waited := w.now.Sub(w.job.EligibleSince())
	hasStarted := w.job.DoneTasks+len(w.job.ActiveAttempts) > 0
	if bound <= 0 || w.job.IsService || w.job.IsGang || hasStarted || waited >= bound {
		return
	}
	w.addRemedy("waiting: if nothing of it has begun in %.0f s, some of its tasks go before others", (bound - waited).Seconds())
}

func (w *waitExplanation) explainZoneRules(machines machineSurvey) {
	if machines.zoneFull > 0 {
		w.addReason("%d machines with room are in zones where it may have no more tasks", machines.zoneFull)
		w.addRemedy("a job that is not bound to one zone, or spread less")
	}
}

func (w *waitExplanation) explainAgeing() {
	policy := w.ranker.AgeingPolicy()
	if w.job.IsService || policy.IsAged(w.now, w.job) || policy.Share <= 0 {
		return
	}
	remaining := policy.AgeBound - w.now.Sub(w.job.EligibleSince())
	w.addRemedy("waiting: in %.0f s it is aged, and %.0f %% of the fleet go to the aged, the oldest first",
		remaining.Seconds(), 100*policy.Share)
}

// describeConstraints lists what limits the machines that the job may use, empty if nothing does.
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
	return "; it allows " + strings.Join(list, "; ")
}

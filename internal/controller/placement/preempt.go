package placement

import (
	"cmp"
	"slices"
	"time"

	"gullrudder/internal/controller/estimate"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/queue"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/logkeys"
	"gullrudder/internal/units"
	"gullrudder/internal/wire/workerapi"
)

// preemptionSlack is how long before the latest possible start preemption begins, in addition to two heartbeat intervals.
const preemptionSlack = 5 * time.Second

// victim is a running task that may be preempted.
type victim struct {
	machine *worker.Machine
	attempt *jobs.Attempt
}

// freeableMachine is a machine with available resources or with tasks that are being stopped.
type freeableMachine struct {
	machine      *worker.Machine
	stoppingCPUs float64 // CPUs of the tasks that are being stopped
}

// preemptionSurvey lists the machines on which resources are or will soon be available, and the tasks that may be preempted.
type preemptionSurvey struct {
	freeable []freeableMachine
	victims  []victim // the newest first
}

// preempt stops best-effort tasks where a guaranteed job would otherwise miss its deadline. It stops only tasks with
// checkpoints, and reserves their machines for the job. The protocol also allows preemption for a team's guaranteed quota.
// That would gain nothing: stopping with a checkpoint takes as long as waiting.
func (p *Placer) preempt(now time.Time) {
	p.refreshOrder(now)
	var survey *preemptionSurvey
	for i := range p.order.candidates {
		entry := &p.order.candidates[i].Entry
		if !entry.Planned || !isUrgent(now, entry, p.platform.HeartbeatInterval) {
			continue
		}
		tasks := p.startableTasksOf(entry.Job)
		if tasks == 0 {
			continue
		}
		if survey == nil {
			survey = p.surveyPreemption(now)
		}
		if tasks = survey.tasksWithoutMachine(entry.Job, tasks); tasks > 0 {
			p.preemptFor(now, entry.Job, tasks, survey.victims)
		}
	}
}

// isUrgent reports whether the job has to start about now to meet its deadline.
func isUrgent(now time.Time, entry *queue.Entry, heartbeatInterval time.Duration) bool {
	return entry.Job.DueAt().Sub(now) < entry.TaskRunTime+2*heartbeatInterval+preemptionSlack
}

// surveyPreemption scans the machines once for all jobs that need preemption.
func (p *Placer) surveyPreemption(now time.Time) *preemptionSurvey {
	survey := &preemptionSurvey{}
	for _, machine := range p.workers.Machines {
		if machine.Reconciled {
			survey.add(now, machine, now.Sub(machine.LastContactAt) <= 2*p.platform.HeartbeatInterval)
		}
	}
	slices.SortFunc(survey.freeable, func(a, b freeableMachine) int { return compareIDs(a.machine, b.machine) })
	slices.SortFunc(survey.victims, func(a, b victim) int {
		return cmp.Or(b.attempt.AssignedAt.Compare(a.attempt.AssignedAt), cmp.Compare(b.attempt.Number, a.attempt.Number))
	})
	return survey
}

// add adds a machine and its tasks. Tasks are preempted only on machines with recent contact.
func (s *preemptionSurvey) add(now time.Time, machine *worker.Machine, isContactRecent bool) {
	freeable := freeableMachine{machine: machine}
	for _, attempt := range machine.Attempts {
		switch {
		case !attempt.StopRequestedAt.IsZero() && attempt.Job != nil:
			freeable.stoppingCPUs += attempt.Job.CPUs
		case isContactRecent && attempt.CanBePreempted(now):
			s.victims = append(s.victims, victim{machine, attempt})
		}
	}
	if freeable.stoppingCPUs > 0 || machine.UtilizationBucket() < worker.BucketCount {
		s.freeable = append(s.freeable, freeable)
	}
}

// tasksWithoutMachine returns how many of the job's tasks fit neither on available resources nor on those that will soon be
// available. Zero or less means that all of them fit.
func (s *preemptionSurvey) tasksWithoutMachine(job *jobs.Job, tasks int) int {
	zones := NewZoneAllowance(job)
	for _, freeable := range s.freeable {
		if tasks <= 0 {
			break
		}
		if !IsEligible(job, freeable.machine) {
			continue
		}
		fit := freeable.machine.TasksThatFit(job)
		if job.CPUs > 0 {
			fit += units.CountThatFits(tasks, job.CPUs, freeable.stoppingCPUs)
		}
		tasks -= zones.Assign(freeable.machine.Zone, fit)
	}
	return tasks
}

// preemptFor stops victims, the newest first, until the given number of the job's tasks have machines.
func (p *Placer) preemptFor(now time.Time, job *jobs.Job, tasks int, victims []victim) {
	for _, victim := range victims {
		if tasks <= 0 {
			return
		}
		attempt, machine := victim.attempt, victim.machine
		if !attempt.StopRequestedAt.IsZero() || attempt.Job.EffectivePriority() >= job.EffectivePriority() ||
			!IsEligible(job, machine) || TasksAllowedInZone(job, machine.Zone) == 0 {
			continue
		}
		attempt.StopRequestedAt = now
		tasks -= max(int(attempt.Job.CPUs/estimate.CountedCPUs(job)), 1)
		p.reservations.reserve(machine, job)
		p.log.Info("task preempted", logkeys.Task, attempt.Task, logkeys.Machine, machine.ID, logkeys.Job, job.ID)
		kill := workerapi.KillAfterCheckpoint(attempt.Task.String(), attempt.Number, attempt.Job.CheckpointDuration)
		worker.SendCommands(p.outbox, p.fencingToken, machine, []workerapi.Command{kill})
	}
}

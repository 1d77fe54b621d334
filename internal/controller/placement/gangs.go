package placement

import (
	"cmp"
	"slices"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/logkeys"
)

const (
	// gangCompletionTimeout is how long a gang may run in part before it is stopped, to be restarted as a whole.
	gangCompletionTimeout = 15 * time.Second
	// gangStartSlack is how long, in addition to two heartbeat intervals, a start command may stay unsent before it is
	// withdrawn.
	gangStartSlack = time.Second
)

// gangPart is the tasks of a gang that are assigned to one machine.
type gangPart struct {
	machine *worker.Machine
	tasks   int
}

// gangZone is the machines of one zone on which tasks of a gang fit.
type gangZone struct {
	name     string
	machines []*worker.Machine
	tasks    int // number of tasks that fit on the machines
}

// scheduleGangs places gangs: all tasks at the same time or none. The start commands are sent with the responses to the
// machines' next heartbeats. Until then the tasks occupy the machines' resources.
func (p *Placer) scheduleGangs(now time.Time) {
	p.refreshOrder(now)
	for i := range p.order.entries {
		job := p.order.entries[i].Job
		if !job.IsGang || !job.IsSchedulable() || now.Before(job.NotBefore) {
			continue
		}
		if len(job.ActiveAttempts) == 0 {
			p.placeGang(now, job)
			continue
		}
		stopPartialGang(now, job)
	}
	p.withdrawGangStarts(now)
}

// withdrawGangStarts withdraws unsent start commands if the machine is silent or draining, or if the job must not start any
// more.
func (p *Placer) withdrawGangStarts(now time.Time) {
	maxWait := 2*p.platform.HeartbeatInterval + gangStartSlack
	for attempt, machine := range p.pendingGangStarts {
		switch {
		case machine.Attempts[attempt.Task] != attempt: // the machine was released meanwhile
			delete(p.pendingGangStarts, attempt)
		case machine.DrainReason != worker.NotDraining || !attempt.Job.IsSchedulable() || now.Sub(attempt.AssignedAt) > maxWait:
			delete(p.pendingGangStarts, attempt)
			p.workers.Unassign(machine, attempt)
			attempt.Job.Requeue(attempt.Task.Index)
		}
	}
}

// stopPartialGang stops the tasks of a gang if other tasks of it have been missing for too long.
func stopPartialGang(now time.Time, job *jobs.Job) {
	if job.WaitingTasks() == 0 {
		return
	}
	for _, attempt := range job.ActiveAttempts {
		if !attempt.IsUnsent && attempt.StopRequestedAt.IsZero() && now.Sub(attempt.AssignedAt) > gangCompletionTimeout {
			attempt.StopRequestedAt = now
		}
	}
}

// placeGang assigns all tasks of a gang to as few machines as possible, or none if they do not all fit.
func (p *Placer) placeGang(now time.Time, job *jobs.Job) {
	tasks := job.WaitingTasks()
	if tasks == 0 || p.startableTasksOf(job) < tasks {
		return
	}
	parts := p.distributeGang(now, job, tasks)
	if parts == nil {
		return
	}
	p.log.Debug("gang placed", logkeys.Job, job.ID, logkeys.Count, tasks, logkeys.Machines, len(parts))
	// The workers match the tasks of a gang by their common attempt number.
	number := p.nextAttemptNumber()
	for _, part := range parts {
		for range part.tasks {
			task := job.TakeNextTask()
			if task < 0 {
				return
			}
			attempt := p.newAttempt(now, part.machine, job, task, number)
			attempt.IsUnsent = true
			p.pendingGangStarts[attempt] = part.machine
		}
	}
}

// distributeGang distributes the tasks to machines, starting with the machines on which the most tasks fit. It returns nil
// if not all tasks fit.
func (p *Placer) distributeGang(now time.Time, job *jobs.Job, tasks int) []gangPart {
	var parts []gangPart
	left := tasks
	for _, zone := range p.gangZones(now, job) {
		if job.SingleZone && zone.tasks < tasks {
			continue
		}
		slices.SortStableFunc(zone.machines, func(a, b *worker.Machine) int {
			return cmp.Compare(b.TasksThatFit(job), a.TasksThatFit(job))
		})
		allowed := min(left, TasksAllowedInZone(job, zone.name))
		for _, machine := range zone.machines {
			if count := min(machine.TasksThatFit(job), allowed); count > 0 {
				parts = append(parts, gangPart{machine, count})
				allowed -= count
				left -= count
			}
		}
		if left == 0 {
			return parts
		}
	}
	return nil
}

// gangZones returns the machines on which tasks of the gang fit, by zone. The zone in which the most tasks fit comes first.
func (p *Placer) gangZones(now time.Time, job *jobs.Job) []gangZone {
	var zones []gangZone
	for _, machine := range p.workers.SortedMachines() {
		tasks := machine.TasksThatFit(job)
		if !machine.Reconciled || !machine.Registered || !p.contactIsRecent(now, machine) || tasks == 0 || !IsEligible(job, machine) {
			continue
		}
		i := slices.IndexFunc(zones, func(zone gangZone) bool { return zone.name == machine.Zone })
		if i < 0 {
			i = len(zones)
			zones = append(zones, gangZone{name: machine.Zone})
		}
		zones[i].machines = append(zones[i].machines, machine)
		zones[i].tasks += tasks
	}
	slices.SortStableFunc(zones, func(a, b gangZone) int { return cmp.Compare(b.tasks, a.tasks) })
	return zones
}

package placement

import (
	"sort"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/worker"
)

// gangCompletionTimeout is how long a gang may be in part on its machines before it is stopped to
// be started anew as a whole.
const gangCompletionTimeout = 15 * time.Second

// scheduleGangs books places for gangs: all tasks at once or none. The starts go out with the
// machines' next reports; until then the places count as taken.
func (p *Placer) scheduleGangs(now time.Time) {
	p.refreshOrder(now)
	for _, entry := range p.order {
		job := entry.Job
		if !job.IsGang || !job.IsSchedulable() || now.Before(job.NotBefore) {
			continue
		}
		if len(job.ActiveAttempts) == 0 {
			p.placeGang(now, job)
			continue
		}
		p.stopPartialGang(now, job)
	}
	// What waits to be sent to a machine that is silent, or for a job that must not
	// start any more, is taken back: it never left.
	for attempt, machine := range p.pendingGangStarts {
		switch {
		case machine.Attempts[attempt.Task] != attempt:
			delete(p.pendingGangStarts, attempt) // its machine is gone
		case machine.DrainReason != worker.NotDraining || !attempt.Job.IsSchedulable() || now.Sub(attempt.AssignedAt) > 2*p.platform.HeartbeatInterval+time.Second:
			delete(p.pendingGangStarts, attempt)
			p.workers.Unassign(machine, attempt)
			attempt.Job.Requeue(attempt.Task.Index)
		}
	}
}

// stopPartialGang stops what is left of a gang of which a part has been missing for too long.
func (p *Placer) stopPartialGang(now time.Time, job *jobs.Job) {
	if job.WaitingTasks() == 0 {
		return
	}
	for _, attempt := range job.ActiveAttempts {
		if !attempt.IsUnsent && attempt.StopSentAt.IsZero() && now.Sub(attempt.AssignedAt) > gangCompletionTimeout {
			attempt.StopSentAt = now
		}
	}
}

// placeGang lays all tasks of a gang on as few machines as can be.
func (p *Placer) placeGang(now time.Time, job *jobs.Job) {
	want := job.WaitingTasks()
	if want == 0 || TasksAllowedByQuota(job, p.teams[job.Team], p.workers.TeamUsage(job.Team)) < want {
		return
	}
	byZone := map[string][]*worker.Machine{}
	var zones []string
	for _, m := range p.workers.MachinesByName() {
		if m.Reconciled && m.Registered && IsEligible(job, m) && now.Sub(m.LastContactAt) < 2*p.platform.HeartbeatInterval &&
			m.TasksThatFit(job) > 0 {
			if byZone[m.Zone] == nil {
				zones = append(zones, m.Zone)
			}
			byZone[m.Zone] = append(byZone[m.Zone], m)
		}
	}
	zoneCapacity := func(list []*worker.Machine) int {
		room := 0
		for _, m := range list {
			room += m.TasksThatFit(job)
		}
		return room
	}
	sort.SliceStable(zones, func(a, b int) bool { return zoneCapacity(byZone[zones[a]]) > zoneCapacity(byZone[zones[b]]) })
	type share struct {
		m     *worker.Machine
		count int
	}
	var shares []share
	left := want
	for _, z := range zones {
		list := byZone[z]
		if job.SingleZone && zoneCapacity(list) < want {
			continue
		}
		sort.SliceStable(list, func(a, b int) bool { return list[a].TasksThatFit(job) > list[b].TasksThatFit(job) })
		allowed := min(left, TasksAllowedInZone(job, z))
		for _, m := range list {
			if c := min(m.TasksThatFit(job), allowed); c > 0 {
				shares = append(shares, share{m, c})
				allowed -= c
				left -= c
			}
		}
		if left == 0 {
			break
		}
	}
	if left > 0 {
		return
	}
	p.log.Debug("gang booked", "job", job.ID, "tasks", want, "machines", len(shares))
	// The workers bring the tasks of a gang together by their attempt number.
	number := p.nextAttemptNumber()
	for _, s := range shares {
		for range s.count {
			t := job.TakeNextTask()
			if t < 0 {
				return
			}
			a := p.newAttempt(now, s.m, job, t, number)
			a.IsUnsent = true
			p.pendingGangStarts[a] = s.m
		}
	}
}

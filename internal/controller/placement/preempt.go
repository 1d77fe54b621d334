package placement

import (
	"slices"
	"sort"
	"time"

	"gullrudder/internal/controller/admission"
	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/wire/workerapi"
)

// victim is a running task that may be stopped for another job.
type victim struct {
	machine *worker.Machine
	attempt *jobs.Attempt
}

// freeableMachine is a machine that has free room or where room is about to come free.
type freeableMachine struct {
	machine      *worker.Machine
	stoppingCPUs float64 // CPUs of what is being stopped
}

// preempt stops best-effort tasks where a guaranteed job would otherwise miss its
// deadline. For a team's guarantee the protocol would allow it too; that was tried and
// gained nothing, since stopping and saving take as long as waiting. Only tasks that save
// are stopped; the room is held for the job that it was made for.
func (p *Placer) preempt(now time.Time) {
	p.refreshOrder(now)
	var victims []victim
	var freeable []freeableMachine
	surveyed := false
	for _, e := range p.candidates {
		job := e.Job
		if !e.Planned || !isUrgent(now, e.Entry, p.platform.HeartbeatInterval) {
			continue
		}
		want := p.StartableTasksOf(job)
		if want == 0 {
			continue
		}
		if !surveyed {
			surveyed = true
			freeable, victims = p.findPreemptable(now)
		}
		for _, o := range freeable {
			if want <= 0 {
				break
			}
			if IsEligible(job, o.machine) {
				want -= o.machine.TasksThatFit(job)
				if job.CPUs > 0 {
					want -= int(o.stoppingCPUs / job.CPUs)
				}
			}
		}
		if want > 0 {
			p.preemptFor(now, job, want, victims)
		}
	}
}

// isUrgent reports whether waiting for room that comes free by itself would be too late.
func isUrgent(now time.Time, entry admission.Entry, reportEvery time.Duration) bool {
	return admission.DueAt(entry.Job).Sub(now) < entry.TaskRunTime+2*reportEvery+5*time.Second
}

// findPreemptable walks the machines once for all jobs that need room: where it is or is about
// to be, and what may be stopped, the newest first.
func (p *Placer) findPreemptable(now time.Time) ([]freeableMachine, []victim) {
	var freeable []freeableMachine
	var victims []victim
	for _, machine := range p.workers.Machines {
		if !machine.Reconciled {
			continue
		}
		heardRecently := now.Sub(machine.LastContactAt) <= 2*p.platform.HeartbeatInterval
		o := freeableMachine{machine: machine}
		for _, a := range machine.Attempts {
			switch {
			case !a.StopSentAt.IsZero() && a.Job != nil:
				o.stoppingCPUs += a.Job.CPUs
			case heardRecently && a.CanBePreempted(now):
				victims = append(victims, victim{machine, a})
			}
		}
		if o.stoppingCPUs > 0 || machine.UtilizationBucket() < worker.BucketCount {
			freeable = append(freeable, o)
		}
	}
	slices.SortFunc(freeable, func(x, y freeableMachine) int { return compareIDs(x.machine, y.machine) })
	sort.Slice(victims, func(x, y int) bool {
		a, b := victims[x].attempt, victims[y].attempt
		if !a.AssignedAt.Equal(b.AssignedAt) {
			return a.AssignedAt.After(b.AssignedAt)
		}
		return a.Number > b.Number
	})
	return freeable, victims
}

// preemptFor stops the newest of the tasks that may be stopped for the job.
func (p *Placer) preemptFor(now time.Time, job *jobs.Job, want int, victims []victim) {
	for _, v := range victims {
		if want <= 0 {
			return
		}
		if !v.attempt.StopSentAt.IsZero() || v.attempt.Job.EffectivePriority() >= job.EffectivePriority() || !IsEligible(job, v.machine) ||
			TasksAllowedInZone(job, v.machine.Zone) == 0 {
			continue
		}
		v.attempt.StopSentAt = now
		want -= max(int(v.attempt.Job.CPUs/max(job.CPUs, 0.1)), 1)
		p.reserveMachine(v.machine, job)
		p.log.Info("stopping a task for another job", "task", v.attempt.Task, "machine", v.machine.ID, "for", job.ID)
		worker.SendCommands(
			p.outbox,
			p.fencingToken,
			v.machine,
			[]workerapi.Command{workerapi.Kill(v.attempt.Task.String(), v.attempt.Number, v.attempt.Job.CheckpointDuration.Seconds())},
		)
	}
}

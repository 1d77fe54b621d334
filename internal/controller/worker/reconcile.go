package worker

import (
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/logkeys"
	"gullrudder/internal/units"
	"gullrudder/internal/wire/workerapi"
)

// ReasonLost is the exit reason of an attempt that has ended without a reported exit. It is not used on the wire.
const ReasonLost workerapi.ExitReason = "lost"

// maxReclaimNotice bounds the time to the reclaim. Longer times in reclaim notices are shortened to it.
const maxReclaimNotice = time.Hour

// JobLookup returns the unfinished job with this ID, or nil if there is none.
type JobLookup func(id string) *jobs.Job

// EndedAttempt is an attempt that has certainly ended.
type EndedAttempt struct {
	Attempt         *jobs.Attempt
	Reason          workerapi.ExitReason // as reported, or ReasonLost
	CheckpointSaved bool
}

// Reconcile updates the machine from a heartbeat that is newer than all earlier ones (Machine.IsNewer), and returns the attempts that
// have ended. complete is false for the response to direct commands. The worker may have sent that response before it received a
// heartbeat response with start commands, so attempts that are missing in it may still start.
func (r *Registry) Reconcile(
	now time.Time, machine *Machine, heartbeat *workerapi.Heartbeat, complete bool, findJob JobLookup,
) []EndedAttempt {
	isNewIncarnation := heartbeat.Incarnation != machine.Incarnation
	r.recordHeartbeat(now, machine, heartbeat)
	r.reconcileCount++
	var ended []EndedAttempt
	for i := range heartbeat.Tasks {
		status := &heartbeat.Tasks[i]
		task, err := jobs.ParseTaskID(status.Task)
		if err != nil {
			r.log.Info("invalid task ID in heartbeat", logkeys.Machine, machine.ID, logkeys.Task, status.Task)
			continue
		}
		if status.State == workerapi.StateExited {
			machine.ExitedTasks++
			ended = append(ended, r.reconcileExited(machine, task, status, findJob)...)
		} else {
			ended = append(ended, r.reconcileActive(now, machine, task, status, findJob)...)
		}
	}
	if complete || isNewIncarnation {
		ended = append(ended, r.releaseMissing(machine)...)
	}
	if len(machine.Attempts) > 0 {
		machine.IdleSince = now
	}
	return ended
}

// recordHeartbeat updates the properties of the machine from a heartbeat.
func (r *Registry) recordHeartbeat(now time.Time, machine *Machine, heartbeat *workerapi.Heartbeat) {
	if !machine.HasSentHeartbeat {
		machine.HasSentHeartbeat = true
		machine.IdleSince = now
		r.updateBucket(machine)
	}
	machine.Position = heartbeat.Position()
	machine.Addr, machine.Type, machine.Zone, machine.Spot = heartbeat.Addr, heartbeat.Type, heartbeat.Zone, heartbeat.Spot
	machine.ExitedTasks = 0
	if heartbeat.ReclaimInSeconds != nil {
		r.recordReclaimNotice(now, machine, *heartbeat.ReclaimInSeconds)
	}
}

func (r *Registry) recordReclaimNotice(now time.Time, machine *Machine, seconds float64) {
	remaining := units.DurationFromSeconds(max(min(seconds, maxReclaimNotice.Seconds()), 0))
	if machine.ReclaimAt.IsZero() {
		r.log.Info("reclaim notice received", logkeys.Machine, machine.ID, logkeys.Duration, remaining)
	}
	machine.ReclaimAt = now.Add(remaining)
	if machine.DrainReason == NotDraining {
		machine.DrainReason = DrainReclaimed
	}
}

// reconcileExited processes the status of an attempt that has exited.
func (r *Registry) reconcileExited(machine *Machine, task jobs.TaskID, status *workerapi.TaskStatus, findJob JobLookup) []EndedAttempt {
	attempt := machine.Attempts[task]
	if attempt != nil && attempt.Number == status.Attempt {
		r.release(machine, attempt)
		return []EndedAttempt{{attempt, status.Reason, status.CheckpointSaved}}
	}
	if status.Reason != workerapi.ReasonDone {
		return nil
	}
	// The leader does not know this attempt, for example because an earlier leader started it. Its result counts.
	unknown := &jobs.Attempt{Task: task, Number: status.Attempt, MachineID: machine.ID, Zone: machine.Zone, Job: findJob(task.JobID)}
	return []EndedAttempt{{unknown, workerapi.ReasonDone, false}}
}

// reconcileActive processes the status of an attempt that has not exited. A different attempt of the task that was recorded on this
// machine has ended.
func (r *Registry) reconcileActive(
	now time.Time, machine *Machine, task jobs.TaskID, status *workerapi.TaskStatus, findJob JobLookup,
) []EndedAttempt {
	var ended []EndedAttempt
	attempt := machine.Attempts[task]
	if attempt == nil || attempt.Number != status.Attempt {
		if attempt != nil {
			ended = append(ended, r.releaseLost(machine, attempt))
		}
		attempt = r.adopt(now, machine, task, status.Attempt, findJob(task.JobID))
	}
	attempt.LastSeenReconcile = r.reconcileCount
	switch {
	case status.State == workerapi.StateRunning && attempt.Job != nil:
		attempt.Job.RecordRunning(attempt, now)
	case status.State == workerapi.StateCheckpointing:
		attempt.IsCheckpointing = true
	}
	return ended
}

// releaseMissing releases the attempts that are missing in the present heartbeat, except those whose start command was not sent yet.
func (r *Registry) releaseMissing(machine *Machine) []EndedAttempt {
	var ended []EndedAttempt
	for _, attempt := range machine.Attempts {
		if attempt.LastSeenReconcile != r.reconcileCount && !attempt.IsUnsent {
			ended = append(ended, r.releaseLost(machine, attempt))
		}
	}
	return ended
}

func (r *Registry) releaseLost(machine *Machine, attempt *jobs.Attempt) EndedAttempt {
	r.release(machine, attempt)
	return EndedAttempt{attempt, ReasonLost, false}
}

// adopt records an attempt that a worker reports and the leader does not know. It is an orphan unless its task may run. An orphan has
// to be killed and uses its resources until it has ended.
func (r *Registry) adopt(now time.Time, machine *Machine, task jobs.TaskID, number uint64, job *jobs.Job) *jobs.Attempt {
	attempt := &jobs.Attempt{Task: task, Number: number, MachineID: machine.ID, Zone: machine.Zone, Job: job, AssignedAt: now}
	attempt.IsOrphan = job == nil || !mayRun(job, task.Index)
	if job != nil && task.Index >= job.Tasks {
		attempt.Job = nil
	}
	r.Assign(machine, attempt)
	return attempt
}

// mayRun reports whether the task may have an attempt and has none yet.
func mayRun(job *jobs.Job, index int) bool {
	return index < job.Tasks && job.IsSchedulable() && !job.IsTaskDone(index) && job.ActiveAttempts[index] == nil
}

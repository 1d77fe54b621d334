package heartbeat

import (
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/controller/worker/reachability"
	"gullrudder/internal/wire/workerapi"
)

// maxRegistrationWait is how long a new machine's report may wait for its place on the roster.
const maxRegistrationWait = 700 * time.Millisecond

// SendResponses answers the reports of this batch; what starts where is decided now, if anything may start.
func (h *Handler) SendResponses(now time.Time, canStart bool) {
	batch := h.pending
	h.pending = nil
	for _, pending := range batch {
		if pending.freshness == reachability.Fresh && pending.machine.Registering && canStart &&
			now.Sub(pending.receivedAt) < maxRegistrationWait {
			// Its place on the roster is being written; with that it gets tasks at once.
			h.pending = append(h.pending, pending)
			continue
		}
		// The same machine may have reported twice; only its newest report gets starts.
		response := workerapi.HeartbeatResponse{FencingToken: h.fencingToken, Commands: []workerapi.Command{}}
		switch {
		case pending.freshness != reachability.Fresh && pending.stateLoaded:
			response.Commands = h.killCancelled(pending.heartbeat)
		case pending.freshness == reachability.Fresh:
			if h.ignoresKills(now, pending.machine) {
				// Its lease is what ends them in time.
				h.log.Info("a machine does not end what was cancelled: it gets no more leases", "machine", pending.machine.ID)
				h.responder.RespondError(pending.request, 503, "tasks of cancelled jobs are still there", 0)
				continue
			}
			h.checkpointBeforeReclaim(now, pending.machine)
			response.Commands = append(response.Commands, h.commandsFor(now, pending.machine, pending.heartbeat)...)
			if h.reachability.IsNewest(pending.machine, pending.heartbeat) {
				if canStart && h.reachability.IsReachable(pending.machine) {
					response.Commands = append(
						response.Commands,
						h.placer.StartTasks(now, pending.machine, maxCommandsPerResponse-len(response.Commands))...)
				}
				h.reachability.RecordAcknowledged(pending.machine)
			}
		}
		pending.machine.LeaseRenewedAt = now
		h.responder.Respond(pending.request, 200, response, 0)
	}
}

// killCancelled ends the tasks of cancelled jobs in a report that is not believed: whether it is old or not, they are to
// end, and a 200 without that would keep them for another lease.
func (h *Handler) killCancelled(heartbeat *workerapi.Heartbeat) []workerapi.Command {
	commands := []workerapi.Command{}
	for _, status := range heartbeat.Tasks {
		if key, err := jobs.ParseTaskID(
			status.Task,
		); err == nil && status.State != workerapi.StateExited && len(commands) < maxCommandsPerResponse &&
			h.jobStore.IsTaskCancelled(key) {
			commands = append(commands, workerapi.Kill(status.Task, status.Attempt, 0))
		}
	}
	return commands
}

// ignoresKills reports whether a task that a machine was told twice to end at once is still there so long after its user was
// told that it is cancelled that another lease would keep it for too long.
func (h *Handler) ignoresKills(now time.Time, machine *worker.Machine) bool {
	for _, attempt := range machine.Attempts {
		if job := attempt.Job; job != nil && job.State == jobs.Cancelled && attempt.KillsSent >= 2 && !job.CancelConfirmedAt.IsZero() &&
			now.Sub(job.CancelConfirmedAt) >= h.cancelWindow {
			return true
		}
	}
	return false
}

// commandsFor lists what the machine is told besides starts.
func (h *Handler) commandsFor(now time.Time, machine *worker.Machine, heartbeat *workerapi.Heartbeat) []workerapi.Command {
	var commands []workerapi.Command
	for _, status := range heartbeat.Tasks {
		if status.State != workerapi.StateExited || len(commands) >= maxCommandsPerResponse {
			continue
		}
		key, err := jobs.ParseTaskID(status.Task)
		if err != nil || status.Reason != workerapi.ReasonDone || h.jobStore.IsResultDurable(key) {
			commands = append(commands, workerapi.Forget(status.Task, status.Attempt))
		}
	}
	for _, attempt := range machine.Attempts {
		if len(commands) >= maxCommandsPerResponse {
			break
		}
		job := attempt.Job
		if attempt.IsUnsent {
			continue
		}
		switch {
		case attempt.IsOrphan || job == nil || job.IsCancelling || job.State == jobs.Cancelled:
			attempt.KillsSent++
			commands = append(commands, workerapi.Kill(attempt.Task.String(), attempt.Number, 0))
		case !attempt.StopSentAt.IsZero() && !attempt.IsCheckpointing:
			commands = append(commands, workerapi.Kill(attempt.Task.String(), attempt.Number, job.CheckpointDuration.Seconds()))
		}
	}
	return commands
}

// checkpointBeforeReclaim has the tasks that can save do so in time before the cloud takes the
// machine.
func (h *Handler) checkpointBeforeReclaim(now time.Time, machine *worker.Machine) {
	if machine.ReclaimAt.IsZero() {
		return
	}
	for _, attempt := range machine.Attempts {
		if job := attempt.Job; job != nil && job.CheckpointInterval > 0 && attempt.StopSentAt.IsZero() && !attempt.RunningSince.IsZero() &&
			machine.ReclaimAt.Sub(now) < job.CheckpointDuration+3*h.platform.HeartbeatInterval+time.Second {
			attempt.StopSentAt = now
		}
	}
}

package heartbeat

import (
	"net/http"
	"time"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/controller/worker/reachability"
	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/workerapi"
)

const (
	// maxRegistrationWait limits how long the response to a new machine's heartbeat is held back until the machine is registered.
	maxRegistrationWait = 700 * time.Millisecond
	// maxCommandsPerResponse bounds the commands of one response, whose body must stay below 64 KiB.
	maxCommandsPerResponse = 300
	// minKillsSent is the number of kill commands that must have been sent for an attempt before the machine counts as ignoring
	// them. The last one may still be in transit.
	minKillsSent = 2
	// The command to save a checkpoint is sent once the time to the reclaim is below the sum of the checkpoint duration, reclaimSlack
	// and reclaimHeartbeats heartbeat intervals.
	reclaimSlack      = time.Second
	reclaimHeartbeats = 3
)

// SendResponses responds to the heartbeats of this step. If canStart is true, it also chooses the tasks that start on their machines.
// Responses to machines that are being registered may be delayed to a later step.
func (h *Handler) SendResponses(now time.Time, canStart bool) {
	batch := h.pending
	h.pending = nil
	for _, pending := range batch {
		if canStart && pending.awaitsRegistration(now) {
			h.pending = append(h.pending, pending)
			continue
		}
		h.respond(now, pending, canStart)
	}
}

// RejectPending refuses the heartbeats whose response has not been sent yet.
func (h *Handler) RejectPending() {
	for _, pending := range h.pending {
		h.responder.Respond(pending.request, http.StatusServiceUnavailable, nil, 0)
	}
	h.pending = nil
}

// awaitsRegistration reports whether the response is held back until the machine is registered and may be sent start commands.
func (p pendingHeartbeat) awaitsRegistration(now time.Time) bool {
	return p.freshness == reachability.Fresh && p.machine.Registering && now.Sub(p.receivedAt) < maxRegistrationWait
}

// respond sends the response to a heartbeat, which renews the worker's lease unless the machine ignores kill commands.
func (h *Handler) respond(now time.Time, pending pendingHeartbeat, canStart bool) {
	commands := []workerapi.Command{}
	switch {
	case pending.freshness == reachability.Fresh:
		if h.ignoresKills(now, pending.machine) {
			// Only the expiry of its lease can end the tasks within the cancel timeout.
			h.log.Info("lease renewal refused", logkeys.Machine, pending.machine.ID, logkeys.Reason, "cancelled tasks still running")
			h.responder.RespondError(pending.request, http.StatusServiceUnavailable, "tasks of cancelled jobs are still there", 0)
			return
		}
		commands = h.commandsFor(now, pending, canStart)
	case pending.stateLoaded:
		commands = h.killCommands(pending.heartbeat)
	}
	pending.machine.LeaseRenewedAt = now
	response := workerapi.HeartbeatResponse{FencingToken: h.fencingToken, Commands: commands}
	h.responder.Respond(pending.request, http.StatusOK, response, 0)
}

// commandsFor returns the commands in the response to a fresh heartbeat. If a machine has several heartbeats in this step, only the
// response to the newest contains start commands.
func (h *Handler) commandsFor(now time.Time, pending pendingHeartbeat, canStart bool) []workerapi.Command {
	machine, heartbeat := pending.machine, pending.heartbeat
	checkpointBeforeReclaim(now, machine, reclaimHeartbeats*h.heartbeatInterval+reclaimSlack)
	commands := appendKills(h.forgetCommands(heartbeat), machine)
	if !h.reachability.IsNewest(machine, heartbeat) {
		return commands
	}
	if canStart && h.reachability.IsReachable(machine) {
		commands = append(commands, h.placer.StartTasks(now, machine, maxCommandsPerResponse-len(commands))...)
	}
	h.reachability.RecordAcknowledged(machine)
	return commands
}

// killCommands returns the commands to kill the tasks of cancelled jobs that appear in a heartbeat that is not fresh. The
// tasks must end however old the heartbeat is: a response without the commands would keep them running for another lease.
func (h *Handler) killCommands(heartbeat *workerapi.Heartbeat) []workerapi.Command {
	commands := []workerapi.Command{}
	for _, status := range heartbeat.Tasks {
		if len(commands) >= maxCommandsPerResponse {
			break
		}
		task, err := jobs.ParseTaskID(status.Task)
		if err == nil && status.State != workerapi.StateExited && h.jobStore.IsTaskCancelled(task) {
			commands = append(commands, workerapi.Kill(status.Task, status.Attempt, 0))
		}
	}
	return commands
}

// ignoresKills reports whether a task of a cancelled job is still on the machine after repeated kill commands, and renewing the lease
// now could keep it running beyond the cancel timeout.
func (h *Handler) ignoresKills(now time.Time, machine *worker.Machine) bool {
	for _, attempt := range machine.Attempts {
		job := attempt.Job
		if job == nil || job.State != jobs.Cancelled || attempt.KillsSent < minKillsSent || job.CancelConfirmedAt.IsZero() {
			continue
		}
		if now.Sub(job.CancelConfirmedAt) >= h.cancelWindow {
			return true
		}
	}
	return false
}

// forgetCommands returns the commands to forget the exited attempts in a heartbeat. A worker must keep a completed attempt until its
// result is durable.
func (h *Handler) forgetCommands(heartbeat *workerapi.Heartbeat) []workerapi.Command {
	commands := []workerapi.Command{}
	for _, status := range heartbeat.Tasks {
		if status.State != workerapi.StateExited || len(commands) >= maxCommandsPerResponse {
			continue
		}
		task, err := jobs.ParseTaskID(status.Task)
		if err != nil || status.Reason != workerapi.ReasonDone || h.jobStore.IsResultDurable(task) {
			commands = append(commands, workerapi.Forget(status.Task, status.Attempt))
		}
	}
	return commands
}

// appendKills appends the commands to kill attempts that must not run on the machine, and to checkpoint and stop attempts that are
// preempted.
func appendKills(commands []workerapi.Command, machine *worker.Machine) []workerapi.Command {
	for _, attempt := range machine.Attempts {
		if len(commands) >= maxCommandsPerResponse {
			break
		}
		job := attempt.Job
		switch {
		case attempt.IsUnsent:
		case attempt.IsOrphan || job == nil || job.IsCancelling || job.State == jobs.Cancelled:
			attempt.KillsSent++
			commands = append(commands, workerapi.Kill(attempt.Task.String(), attempt.Number, 0))
		case !attempt.StopRequestedAt.IsZero() && !attempt.IsCheckpointing:
			commands = append(commands, workerapi.KillAfterCheckpoint(attempt.Task.String(), attempt.Number, job.CheckpointDuration))
		}
	}
	return commands
}

// checkpointBeforeReclaim marks the attempts that can save a checkpoint as stopping before the cloud reclaims the machine. leadTime is
// added to the checkpoint duration.
func checkpointBeforeReclaim(now time.Time, machine *worker.Machine, leadTime time.Duration) {
	if machine.ReclaimAt.IsZero() {
		return
	}
	for _, attempt := range machine.Attempts {
		job := attempt.Job
		canStop := job != nil && job.CheckpointInterval > 0 && attempt.StopRequestedAt.IsZero() && !attempt.RunningSince.IsZero()
		if canStop && machine.ReclaimAt.Sub(now) < job.CheckpointDuration+leadTime {
			attempt.StopRequestedAt = now
		}
	}
}

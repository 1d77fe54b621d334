package agent

import (
	"net/http"
	"strings"
	"time"

	"gullrudder/internal/units"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/workerapi"
)

// maxTasks bounds the attempts in a heartbeat, whose body must stay below 64 KiB.
const maxTasks = 400

// handleDirect answers a request to the worker's own address, and executes its commands. They do not renew the lease.
func (s *State) handleDirect(now time.Time, direct Direct, effects *Effects) {
	reply := func(status int) {
		effects.Replies = append(effects.Replies, Reply{direct.Handle, status, s.nextHeartbeat()})
	}
	if !direct.HasCommands {
		reply(http.StatusOK)
		return
	}
	var message controllerMessage
	if codec.Unmarshal(direct.Body, &message) != nil || message.FencingToken == nil || message.Incarnation == nil {
		reply(http.StatusBadRequest)
		return
	}
	if s.machine == "" || s.isClearing || *message.FencingToken < s.fencingToken || *message.Incarnation != s.incarnation {
		reply(http.StatusConflict)
		return
	}
	s.raiseFencingToken(now, *message.FencingToken)
	s.execute(message.Commands, effects)
	reply(http.StatusOK)
}

// execute carries out commands. Those about an attempt that is not known, but for its start, have no effect.
func (s *State) execute(commands []workerapi.Command, effects *Effects) {
	for _, command := range commands {
		attempt := s.tasks[attemptKey{command.Task, command.Attempt}]
		switch command.Operation {
		case workerapi.OperationStart:
			if attempt == nil {
				s.start(command)
			}
		case workerapi.OperationKill:
			if attempt != nil {
				s.kill(attempt, command.GraceSeconds, effects)
			}
		case workerapi.OperationForget:
			if attempt != nil && attempt.state == workerapi.StateExited {
				delete(s.tasks, attempt.attemptKey)
			}
		}
	}
}

// start takes in a new attempt, or refuses it: then it has exited at once.
func (s *State) start(command workerapi.Command) {
	s.hasChanged = true
	attempt := &taskAttempt{attemptKey: attemptKey{command.Task, command.Attempt}, state: workerapi.StateFetching}
	job, _, ok := strings.Cut(command.Task, "/")
	switch {
	case !ok || job == "":
		attempt.exit(workerapi.ReasonNotFound)
	case len(s.tasks) >= maxTasks:
		attempt.exit(workerapi.ReasonNoCapacity)
	case s.hasActiveAttempt(command.Task):
		attempt.exit(workerapi.ReasonInUse)
	}
	s.tasks[attempt.attemptKey] = attempt
}

func (s *State) hasActiveAttempt(task string) bool {
	for _, other := range s.tasks {
		if other.task == task && other.state != workerapi.StateExited {
			return true
		}
	}
	return false
}

// kill stops an attempt: with time to save a checkpoint if it can and the command grants enough, else at once. It keeps its
// resources until Ended says that nothing of it is left.
func (s *State) kill(attempt *taskAttempt, graceSeconds *float64, effects *Effects) {
	grace := 0.0
	if graceSeconds != nil {
		grace = *graceSeconds
	}
	switch {
	case attempt.state == workerapi.StateExited:
	case attempt.state == workerapi.StateFetching:
		attempt.exit(workerapi.ReasonStopped)
		s.hasChanged = true
	case attempt.canSaveWithin(graceSeconds):
		attempt.state, s.hasChanged = workerapi.StateCheckpointing, true
		effects.Stops = append(effects.Stops, Stop{attempt.task, attempt.number, units.DurationFromSeconds(grace)})
	case attempt.state == workerapi.StateCheckpointing && grace > 0, attempt.isKilled: // it is being stopped already
	default:
		attempt.isKilled = true
		effects.Stops = append(effects.Stops, Stop{attempt.task, attempt.number, 0})
	}
}

// canSaveWithin reports whether a running attempt can save a checkpoint in that time; nil: none is granted.
func (t *taskAttempt) canSaveWithin(graceSeconds *float64) bool {
	if graceSeconds == nil || t.state != workerapi.StateRunning || t.isKilled {
		return false
	}
	return t.spec.CheckpointSeconds > 0 && *graceSeconds >= t.spec.CheckpointSeconds
}

// handleEnded takes in that an attempt has exited.
func (s *State) handleEnded(ended Ended) {
	attempt := s.tasks[attemptKey{ended.Task, ended.Attempt}]
	if attempt == nil || attempt.state == workerapi.StateExited {
		return
	}
	s.hasChanged = true
	wasCheckpointing := attempt.state == workerapi.StateCheckpointing
	switch {
	case ended.Stopped:
		attempt.exit(workerapi.ReasonStopped)
		attempt.checkpointSaved = wasCheckpointing && ended.CheckpointSaved
	case ended.Failed:
		attempt.exit(workerapi.ReasonError)
	default:
		attempt.exit(workerapi.ReasonDone)
	}
}

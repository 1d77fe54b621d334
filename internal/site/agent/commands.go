package agent

import (
	"net/http"
	"strings"
	"time"

	"gullrudder/internal/units"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/workerapi"
)

// handleDirectRequest answers a request to the worker's own address and executes its commands. Such a request does not renew the lease.
func (s *State) handleDirectRequest(now time.Time, request DirectRequest, effects *Effects) {
	reply := func(status int) {
		effects.Replies = append(effects.Replies, Reply{request.Handle, status, s.nextHeartbeat()})
	}
	if !request.HasCommands {
		reply(http.StatusOK)
		return
	}
	var message controllerMessage
	if codec.Unmarshal(request.Body, &message) != nil || message.FencingToken == nil || message.Incarnation == nil {
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

// execute executes commands. A kill or forget command for an unknown attempt has no effect.
func (s *State) execute(commands []workerapi.Command, effects *Effects) {
	for _, command := range commands {
		attempt := s.attempts[attemptKey{command.Task, command.Attempt}]
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
				delete(s.attempts, attempt.attemptKey)
			}
		}
	}
}

// start adds a new attempt. A refused attempt is added as exited, with the reason for the refusal.
func (s *State) start(command workerapi.Command) {
	s.hasChanged = true
	attempt := &taskAttempt{attemptKey: attemptKey{command.Task, command.Attempt}, state: workerapi.StateFetching}
	job, _, ok := strings.Cut(command.Task, "/")
	switch {
	case !ok || job == "":
		attempt.setExited(workerapi.ReasonNotFound)
	case len(s.attempts) >= workerapi.MaxTasksPerMachine:
		attempt.setExited(workerapi.ReasonNoCapacity)
	case s.hasActiveAttempt(command.Task):
		attempt.setExited(workerapi.ReasonInUse)
	}
	s.attempts[attempt.attemptKey] = attempt
}

func (s *State) hasActiveAttempt(task string) bool {
	for _, other := range s.attempts {
		if other.task == task && other.state != workerapi.StateExited {
			return true
		}
	}
	return false
}

// kill stops an attempt. The attempt gets time to save a checkpoint if it supports that and the command grants enough time. Otherwise it
// is killed at once. It keeps its resources until an Ended input reports that none of its processes is left.
func (s *State) kill(attempt *taskAttempt, graceSeconds *float64, effects *Effects) {
	grace := 0.0
	if graceSeconds != nil {
		grace = *graceSeconds
	}
	switch {
	case attempt.state == workerapi.StateExited:
	case attempt.state == workerapi.StateFetching:
		attempt.setExited(workerapi.ReasonStopped)
		s.hasChanged = true
	case attempt.canSaveWithin(graceSeconds):
		attempt.state, s.hasChanged = workerapi.StateCheckpointing, true
		effects.Stops = append(effects.Stops, Stop{attempt.task, attempt.number, units.DurationFromSeconds(grace)})
	case attempt.state == workerapi.StateCheckpointing && grace > 0, attempt.isKilled: // already being stopped
	default:
		attempt.isKilled = true
		effects.Stops = append(effects.Stops, Stop{attempt.task, attempt.number, 0})
	}
}

// canSaveWithin reports whether the attempt is running and can save a checkpoint within graceSeconds. nil means that no time is granted.
func (t *taskAttempt) canSaveWithin(graceSeconds *float64) bool {
	if graceSeconds == nil || t.state != workerapi.StateRunning || t.isKilled {
		return false
	}
	return t.spec.CheckpointSeconds > 0 && *graceSeconds >= t.spec.CheckpointSeconds
}

// handleEnded marks an attempt as exited and sets the reason.
func (s *State) handleEnded(ended Ended) {
	attempt := s.attempts[attemptKey{ended.Task, ended.Attempt}]
	if attempt == nil || attempt.state == workerapi.StateExited {
		return
	}
	s.hasChanged = true
	wasCheckpointing := attempt.state == workerapi.StateCheckpointing
	switch {
	case ended.Stopped:
		attempt.setExited(workerapi.ReasonStopped)
		attempt.checkpointSaved = wasCheckpointing && ended.CheckpointSaved
	case ended.Failed:
		attempt.setExited(workerapi.ReasonError)
	default:
		attempt.setExited(workerapi.ReasonDone)
	}
}

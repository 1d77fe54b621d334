package agent

import (
	"net/http"
	"slices"
	"time"

	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/workerapi"
)

const (
	// minHeartbeatInterval is the minimum time between two heartbeats.
	minHeartbeatInterval = 500 * time.Millisecond
	// responseTimeout is how long the worker waits for the response to a heartbeat.
	responseTimeout = 4 * time.Second
	// nextControllerDelay is how long the worker waits before it tries another controller.
	nextControllerDelay = time.Second
	// drainNoticeSeconds is the time until reclaim that a worker reports while its machine has a drain notice.
	drainNoticeSeconds = 3600.0
)

// nextHeartbeat returns a heartbeat with the next sequence number.
func (s *State) nextHeartbeat() workerapi.Heartbeat {
	s.sequence++
	heartbeat := workerapi.Heartbeat{
		Machine: s.machine, Addr: s.options.Addr, Type: s.options.Type, Zone: s.options.Zone,
		Incarnation: s.incarnation, Sequence: s.sequence, FencingToken: s.fencingToken,
		Tasks: make([]workerapi.TaskStatus, 0, len(s.attempts)),
	}
	if s.hasDrainNotice {
		remaining := drainNoticeSeconds
		heartbeat.ReclaimInSeconds = &remaining
	}
	for _, t := range s.sortedAttempts() {
		heartbeat.Tasks = append(heartbeat.Tasks, workerapi.TaskStatus{
			Task: t.task, Attempt: t.number, State: t.state, Reason: t.reason, CheckpointSaved: t.checkpointSaved,
		})
	}
	return heartbeat
}

// sendHeartbeat sends a heartbeat if one is due: after the interval, or when something has changed. Only one heartbeat at a time awaits
// its response.
func (s *State) sendHeartbeat(now time.Time, effects *Effects) {
	isDue := s.hasChanged || !now.Before(s.nextHeartbeatAt)
	if s.isAwaitingResponse || len(s.controllers) == 0 || now.Sub(s.sentAt) < minHeartbeatInterval || !isDue {
		return
	}
	s.isAwaitingResponse, s.hasChanged = true, false
	s.sentAt, s.sentIncarnation = now, s.incarnation
	effects.Heartbeat = &OutgoingHeartbeat{s.options.Controllers[s.controllers[s.currentController]], s.nextHeartbeat()}
}

// handleHeartbeatResult handles the result of the last heartbeat. After a redirect to another controller, the next heartbeat goes there.
// After any other response without status 200, or without a response, it goes to the next controller, after nextControllerDelay.
func (s *State) handleHeartbeatResult(now time.Time, result HeartbeatResult, effects *Effects) {
	s.isAwaitingResponse = false
	s.nextHeartbeatAt = s.sentAt.Add(s.options.HeartbeatInterval)
	var message controllerMessage
	isReadable := result.Status != 0 && codec.Unmarshal(result.Body, &message) == nil
	switch {
	case result.Status == http.StatusOK:
		if isReadable {
			s.handleResponse(now, &message, effects)
		}
	case result.Status == http.StatusMisdirectedRequest && isReadable && s.isOtherController(message.Leader):
		s.currentController = slices.Index(s.controllers, message.Leader)
		s.nextHeartbeatAt = now
	default:
		s.currentController = (s.currentController + 1) % len(s.controllers)
		s.nextHeartbeatAt = now.Add(nextControllerDelay)
		s.hasChanged = false
	}
}

// handleResponse renews the lease, which starts when the heartbeat was sent, and executes the commands. It ignores a response that has a
// lower fencing token, belongs to another incarnation, or arrives after responseTimeout.
func (s *State) handleResponse(now time.Time, message *controllerMessage, effects *Effects) {
	isOutdated := s.isClearing || s.sentIncarnation != s.incarnation || now.Sub(s.sentAt) > responseTimeout
	if message.FencingToken == nil || *message.FencingToken < s.fencingToken || isOutdated {
		return
	}
	s.raiseFencingToken(now, *message.FencingToken)
	s.leaseRenewedAt = s.sentAt
	s.execute(message.Commands, effects)
}

func (s *State) isOtherController(name string) bool {
	return slices.Contains(s.controllers, name) && name != s.controllers[s.currentController]
}

// raiseFencingToken adopts a higher fencing token. This triggers a heartbeat ahead of the interval, at most once per half of the
// lease duration.
func (s *State) raiseFencingToken(now time.Time, fencingToken uint64) {
	if fencingToken > s.fencingToken {
		s.fencingToken = fencingToken
		if now.Sub(s.tokenRaisedAt) > s.options.LeaseDuration/2 {
			s.tokenRaisedAt, s.hasChanged = now, true
		}
	}
}

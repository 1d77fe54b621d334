package agent

import (
	"net/http"
	"strings"
	"time"

	"gullrudder/internal/units"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/workerapi"
)

const (
	// specRetryDelay is how long the worker waits after a failed request for a Spec.
	specRetryDelay = time.Second
	// maxTaskIndex bounds the index of a task, so that parsing it does not overflow.
	maxTaskIndex = 1e6
)

// requestSpecs requests the Spec of each attempt that has none, unless a request is pending or must still wait after a failure.
func (s *State) requestSpecs(now time.Time, effects *Effects) {
	for _, attempt := range s.sortedAttempts() {
		needsSpec := attempt.state == workerapi.StateFetching && attempt.spec == nil
		if needsSpec && !attempt.isSpecRequested && !now.Before(attempt.requestSpecAt) {
			attempt.isSpecRequested = true
			effects.SpecRequests = append(effects.SpecRequests, Launch{Task: attempt.task, Attempt: attempt.number})
		}
	}
}

// handleSpecResult starts the attempt with the Spec that was received, or refuses the attempt. After a failed request the Spec is
// requested again.
func (s *State) handleSpecResult(now time.Time, result SpecResult, effects *Effects) {
	attempt := s.attempts[attemptKey{result.Task, result.Attempt}]
	if attempt == nil || attempt.state != workerapi.StateFetching || attempt.spec != nil {
		return
	}
	attempt.isSpecRequested = false
	exit := func(reason workerapi.ExitReason) {
		attempt.setExited(reason)
		s.hasChanged = true
	}
	var spec Spec
	switch {
	case result.HasStoredResult:
		exit(workerapi.ReasonDone)
	case result.Status == http.StatusNotFound:
		exit(workerapi.ReasonNotFound)
	case result.Status != http.StatusOK:
		attempt.requestSpecAt = now.Add(specRetryDelay)
	case codec.Unmarshal(result.Body, &spec) != nil || len(spec.Command) == 0 || !isTaskOf(result.Task, spec):
		exit(workerapi.ReasonNotFound)
	case !s.fits(attempt, spec):
		exit(workerapi.ReasonNoCapacity)
	default:
		attempt.spec, attempt.state = &spec, workerapi.StateRunning
		s.hasChanged = true
		effects.Launches = append(effects.Launches, Launch{attempt.task, attempt.number, &spec})
	}
}

// isTaskOf reports whether taskID is JOB/INDEX with the job of the Spec and the index of one of its tasks.
func isTaskOf(taskID string, spec Spec) bool {
	job, digits, _ := strings.Cut(taskID, "/")
	index := 0
	for _, digit := range digits {
		if digit < '0' || digit > '9' || index > maxTaskIndex {
			return false
		}
		index = index*10 + int(digit-'0')
	}
	return digits != "" && job == spec.JobID && index < spec.Tasks
}

// fits reports whether the machine has the resources for the attempt in addition to the attempts that have a Spec and have not exited.
func (s *State) fits(attempt *taskAttempt, spec Spec) bool {
	cpus, memoryGB := spec.CPUs, spec.MemoryGB
	for _, other := range s.attempts {
		if other != attempt && other.spec != nil && other.state != workerapi.StateExited {
			cpus += other.spec.CPUs
			memoryGB += other.spec.MemoryGB
		}
	}
	return cpus <= s.options.CPUs+units.ResourceTolerance && memoryGB <= s.options.MemoryGB+units.ResourceTolerance
}

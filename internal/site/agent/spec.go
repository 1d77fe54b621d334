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
	// maxTaskIndex bounds the index of a task.
	maxTaskIndex = 1e6
)

// requestSpecs requests the Spec of each attempt that waits for one.
func (s *State) requestSpecs(now time.Time, effects *Effects) {
	for _, attempt := range s.sortedTasks() {
		needsSpec := attempt.state == workerapi.StateFetching && attempt.spec == nil
		if needsSpec && !attempt.isSpecRequested && !now.Before(attempt.requestSpecAt) {
			attempt.isSpecRequested = true
			effects.SpecRequests = append(effects.SpecRequests, Launch{Task: attempt.task, Attempt: attempt.number})
		}
	}
}

// handleDescribed starts the attempt with the Spec that was requested, or refuses it.
func (s *State) handleDescribed(now time.Time, described Described, effects *Effects) {
	attempt := s.tasks[attemptKey{described.Task, described.Attempt}]
	if attempt == nil || attempt.state != workerapi.StateFetching || attempt.spec != nil {
		return
	}
	attempt.isSpecRequested = false
	exit := func(reason workerapi.ExitReason) {
		attempt.exit(reason)
		s.hasChanged = true
	}
	var spec Spec
	switch {
	case described.IsDone:
		exit(workerapi.ReasonDone)
	case described.Status == http.StatusNotFound:
		exit(workerapi.ReasonNotFound)
	case described.Status != http.StatusOK:
		attempt.requestSpecAt = now.Add(specRetryDelay)
	case codec.Unmarshal(described.Body, &spec) != nil || len(spec.Command) == 0 || !isTaskOf(described.Task, spec):
		exit(workerapi.ReasonNotFound)
	case !s.fits(attempt, spec):
		exit(workerapi.ReasonNoCapacity)
	default:
		attempt.spec, attempt.state = &spec, workerapi.StateRunning
		s.hasChanged = true
		effects.Launches = append(effects.Launches, Launch{attempt.task, attempt.number, &spec})
	}
}

// isTaskOf reports whether the job has a task with this ID.
func isTaskOf(name string, spec Spec) bool {
	job, digits, _ := strings.Cut(name, "/")
	index := 0
	for _, digit := range digits {
		if digit < '0' || digit > '9' || index > maxTaskIndex {
			return false
		}
		index = index*10 + int(digit-'0')
	}
	return digits != "" && job == spec.JobID && index < spec.Tasks
}

// fits reports whether the machine has the resources for one more attempt beside those with a Spec.
func (s *State) fits(attempt *taskAttempt, spec Spec) bool {
	cpus, memoryGB := spec.CPUs, spec.MemoryGB
	for _, other := range s.tasks {
		if other != attempt && other.spec != nil && other.state != workerapi.StateExited {
			cpus += other.spec.CPUs
			memoryGB += other.spec.MemoryGB
		}
	}
	return cpus <= s.options.CPUs+units.ResourceTolerance && memoryGB <= s.options.MemoryGB+units.ResourceTolerance
}

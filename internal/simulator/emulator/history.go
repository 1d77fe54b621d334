package emulator

import (
	"fmt"
	"sync"

	"gullrudder/internal/controller/jobs"
)

// History records what became of every task. A task is forgotten once its worker was
// told to forget its result: from then on only the state service knows the result.
type History struct {
	mu             sync.Mutex
	placements     map[jobs.TaskID]string
	attempts       map[uint64]string
	completedTasks map[jobs.TaskID]bool
	forgottenTasks map[jobs.TaskID]bool
	dependencies   map[string][]dependency

	Started    int
	Duplicated int      // tasks that were started again although their results were durable
	Violations []string // rules that were broken; Run stops at the first
}

// dependency is a job that has to be done before another starts.
type dependency struct {
	jobID     string
	taskCount int
}

func newHistory() *History {
	return &History{
		placements:     map[jobs.TaskID]string{},
		attempts:       map[uint64]string{},
		completedTasks: map[jobs.TaskID]bool{},
		forgottenTasks: map[jobs.TaskID]bool{},
		dependencies:   map[string][]dependency{},
	}
}

func (h *History) reportViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Violations = append(h.Violations, fmt.Sprintf(format, args...))
}

func (h *History) taskStarted(key jobs.TaskID, attempt uint64, machine string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Started++
	if other, ok := h.placements[key]; ok {
		h.Violations = append(h.Violations, fmt.Sprintf("ran_twice: %s starts on %s while on %s", key, machine, other))
	}
	if before, ok := h.attempts[attempt]; ok {
		h.Violations = append(h.Violations, fmt.Sprintf("attempt %d of %s was used before: %s", attempt, key, before))
	}
	if h.forgottenTasks[key] {
		h.Duplicated++
		h.Violations = append(h.Violations, fmt.Sprintf("%s starts again after its result was durable", key))
	}
	for _, n := range h.dependencies[key.JobID] {
		for i := range n.taskCount {
			if !h.completedTasks[jobs.TaskID{JobID: n.jobID, Index: i}] {
				h.Violations = append(h.Violations, fmt.Sprintf("too_early: %s starts before %s is done", key, n.jobID))
				break
			}
		}
	}
	h.attempts[attempt] = key.String()
	h.placements[key] = machine
}

// AddDependency records that a job must not start before all tasks of another are done.
func (h *History) AddDependency(job, other string, tasks int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dependencies[job] = append(h.dependencies[job], dependency{other, tasks})
}

func (h *History) taskStopped(key jobs.TaskID, machine string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.placements[key] == machine {
		delete(h.placements, key)
	}
}

func (h *History) taskCompleted(key jobs.TaskID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.completedTasks[key] = true
}

func (h *History) resultForgotten(key jobs.TaskID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forgottenTasks[key] = true
}

// CompletedTasks counts the tasks of a job that have completed at least once.
func (h *History) CompletedTasks(job string, tasks int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for i := range tasks {
		if h.completedTasks[jobs.TaskID{JobID: job, Index: i}] {
			n++
		}
	}
	return n
}

// Summary returns what was recorded so far.
func (h *History) Summary() (started, duplicated int, broken []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Started, h.Duplicated, append([]string(nil), h.Violations...)
}

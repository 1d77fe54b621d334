package emulator

import (
	"fmt"
	"sync"

	"gullrudder/internal/controller/jobs"
)

// History records the starts and ends of all tasks, and the violations of the protocol's rules. A task counts as forgotten
// after a command to its worker to forget its result. From then on only the state service has the result. The methods are
// safe for concurrent use; the fields are not.
type History struct {
	mu             sync.Mutex
	placements     map[jobs.TaskID]string // machine on which a task runs
	attempts       map[uint64]string      // task of each attempt number
	completedTasks map[jobs.TaskID]bool
	forgottenTasks map[jobs.TaskID]bool
	dependencies   map[string][]dependency // by job ID

	Started    int      // number of starts of tasks
	Duplicated int      // number of starts of tasks whose results were already durable
	Violations []string // descriptions of the violated rules, in the order of their occurrence
}

// dependency is a job that must be done before a dependent job starts.
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

func (h *History) taskStarted(taskID jobs.TaskID, attempt uint64, machine string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Started++
	if otherMachine, ok := h.placements[taskID]; ok {
		h.Violations = append(h.Violations, fmt.Sprintf("ran_twice: %s starts on %s while it runs on %s", taskID, machine, otherMachine))
	}
	if otherTask, ok := h.attempts[attempt]; ok {
		h.Violations = append(h.Violations, fmt.Sprintf("attempt %d of %s was used before: %s", attempt, taskID, otherTask))
	}
	if h.forgottenTasks[taskID] {
		h.Duplicated++
		h.Violations = append(h.Violations, fmt.Sprintf("%s starts again although its result is durable", taskID))
	}
	for _, required := range h.dependencies[taskID.JobID] {
		for i := range required.taskCount {
			if !h.completedTasks[jobs.TaskID{JobID: required.jobID, Index: i}] {
				h.Violations = append(h.Violations, fmt.Sprintf("too_early: %s starts before job %s is done", taskID, required.jobID))
				break
			}
		}
	}
	h.attempts[attempt] = taskID.String()
	h.placements[taskID] = machine
}

// AddDependency records that a job must not start before all tasks of requiredJob are done. tasks is the number of tasks of
// requiredJob.
func (h *History) AddDependency(job, requiredJob string, tasks int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dependencies[job] = append(h.dependencies[job], dependency{requiredJob, tasks})
}

func (h *History) taskStopped(taskID jobs.TaskID, machine string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.placements[taskID] == machine {
		delete(h.placements, taskID)
	}
}

func (h *History) taskCompleted(taskID jobs.TaskID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.completedTasks[taskID] = true
}

func (h *History) resultForgotten(taskID jobs.TaskID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forgottenTasks[taskID] = true
}

// CompletedTasks returns how many tasks of a job have completed at least once. tasks is the number of tasks of the job.
func (h *History) CompletedTasks(job string, tasks int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for i := range tasks {
		if h.completedTasks[jobs.TaskID{JobID: job, Index: i}] {
			count++
		}
	}
	return count
}

// Summary returns the number of starts, the number of starts after a durable result, and a copy of the violations so far.
func (h *History) Summary() (started, duplicated int, violations []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Started, h.Duplicated, append([]string(nil), h.Violations...)
}

package emulator

import (
	"fmt"
	"sync"

	"gullrudder/internal/controller/jobs"
)

// History is the plain record of what became of every task. A task is over once its worker was
// told to forget its result: from then on only the state service knows it.
type History struct {
	mu       sync.Mutex
	where    map[jobs.TaskID]string
	attempts map[uint64]string
	done     map[jobs.TaskID]bool
	over     map[jobs.TaskID]bool
	needs    map[string][]need

	Started    int
	Duplicated int      // tasks that were started although they were over
	Broken     []string // rules that were broken
}

// need is a job that has to be done before another starts.
type need struct {
	job   string
	tasks int
}

func newHistory() *History {
	return &History{
		where:    map[jobs.TaskID]string{},
		attempts: map[uint64]string{},
		done:     map[jobs.TaskID]bool{},
		over:     map[jobs.TaskID]bool{},
		needs:    map[string][]need{},
	}
}

func (h *History) broke(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Broken = append(h.Broken, fmt.Sprintf(format, args...))
}

func (h *History) on(key jobs.TaskID, attempt uint64, machine string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Started++
	if other, ok := h.where[key]; ok {
		h.Broken = append(h.Broken, fmt.Sprintf("ran_twice: %s starts on %s while on %s", key, machine, other))
	}
	if before, ok := h.attempts[attempt]; ok {
		h.Broken = append(h.Broken, fmt.Sprintf("attempt %d of %s was used before: %s", attempt, key, before))
	}
	if h.over[key] {
		h.Duplicated++
		h.Broken = append(h.Broken, fmt.Sprintf("%s starts again after its result was durable", key))
	}
	for _, n := range h.needs[key.JobID] {
		for i := range n.tasks {
			if !h.done[jobs.TaskID{JobID: n.job, Index: i}] {
				h.Broken = append(h.Broken, fmt.Sprintf("too_early: %s starts before %s is done", key, n.job))
				break
			}
		}
	}
	h.attempts[attempt] = key.String()
	h.where[key] = machine
}

// Needs says that a job must not start before all tasks of another are done.
func (h *History) Needs(job, other string, tasks int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.needs[job] = append(h.needs[job], need{other, tasks})
}

func (h *History) off(key jobs.TaskID, machine string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.where[key] == machine {
		delete(h.where, key)
	}
}

func (h *History) finished(key jobs.TaskID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.done[key] = true
}

func (h *History) forgotten(key jobs.TaskID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.over[key] = true
}

// Done counts the tasks of a job that have completed at least once.
func (h *History) Done(job string, tasks int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for i := range tasks {
		if h.done[jobs.TaskID{JobID: job, Index: i}] {
			n++
		}
	}
	return n
}

// Report is what was seen so far.
func (h *History) Report() (started, duplicated int, broken []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Started, h.Duplicated, append([]string(nil), h.Broken...)
}

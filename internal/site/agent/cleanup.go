package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"gullrudder/internal/logkeys"
	"gullrudder/internal/site/process"
)

// cleanUpDelay is how long an exited process waits for others to be cleaned up with.
const cleanUpDelay = 20 * time.Millisecond

// endLeftProcesses ends the tasks of an earlier process of this worker: by their tags, and by their records where a task has
// cleared its environment.
func (r *Runner) endLeftProcesses() error {
	records, err := filepath.Glob(filepath.Join(r.dir, "running", "*"))
	if err != nil {
		return err
	}
	groups := map[int]bool{}
	for _, path := range records {
		var id process.Identity
		if raw, err := os.ReadFile(path); err == nil && json.Unmarshal(raw, &id) == nil && id.IsRunning() {
			groups[id.PID] = true
		}
	}
	if err := process.End(map[string]bool{r.workerTag: true}, groups, endTimeout); err != nil {
		return fmt.Errorf("tasks of an earlier process: %w", err)
	}
	for _, path := range records {
		if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("remove record of an earlier process: %w", err)
		}
	}
	return nil
}

// cleanUpExited ends the processes that attempts leave when their first process has exited. Those that exited within cleanUpDelay are
// handled together, since to list all processes takes some milliseconds. It runs as long as the worker's process.
func (r *Runner) cleanUpExited() {
	for first := range r.exited {
		batch := []*taskProcess{first}
		time.Sleep(cleanUpDelay)
		for more := true; more; {
			select {
			case child := <-r.exited:
				batch = append(batch, child)
			default:
				more = false
			}
		}
		marks, groups := map[string]bool{}, map[int]bool{}
		for _, child := range batch {
			marks[child.processTag()] = true
			if child.processGroup > 0 {
				groups[child.processGroup] = true
			}
		}
		for process.End(marks, groups, endTimeout) != nil {
			r.log.Error("left task processes not ended", logkeys.Count, len(batch))
		}
		for _, child := range batch {
			close(child.ended)
		}
	}
}

// Clear ends all attempts and returns when nothing of them is left. onEnded is called for each all the same.
func (r *Runner) Clear() {
	r.mu.Lock()
	var children []*taskProcess
	groups := map[int]bool{}
	for _, child := range r.processes {
		child.isStopped, child.isKilled = true, true
		children = append(children, child)
		if child.processGroup > 0 {
			groups[child.processGroup] = true
		}
	}
	r.mu.Unlock()
	for group := range groups {
		r.signal(group, syscall.SIGKILL)
	}
	for process.End(map[string]bool{r.workerTag: true}, groups, endTimeout) != nil {
		r.log.Error("tasks not ended", logkeys.Count, len(children))
	}
	for _, child := range children {
		<-child.ended
	}
}

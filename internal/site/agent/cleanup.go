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

// cleanUpDelay is how long the cleanup waits for further exited processes, to handle them together.
const cleanUpDelay = 20 * time.Millisecond

// endLeftoverProcesses ends the tasks of an earlier process of this worker. It finds them by their tags. A task that has cleared its
// environment is found by its record on disk.
func (r *Runner) endLeftoverProcesses() error {
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
		return fmt.Errorf("end tasks of an earlier worker process: %w", err)
	}
	for _, path := range records {
		if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("remove task record of an earlier worker process: %w", err)
		}
	}
	return nil
}

// cleanUpExited ends the child processes that attempts leave behind when their first process has exited. Attempts that exit within
// cleanUpDelay are handled together, since listing all processes takes some milliseconds. It never returns.
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
		tags, groups := map[string]bool{}, map[int]bool{}
		for _, child := range batch {
			tags[child.processTag()] = true
			if child.processGroup > 0 {
				groups[child.processGroup] = true
			}
		}
		for process.End(tags, groups, endTimeout) != nil {
			r.log.Error("leftover task processes not ended", logkeys.Count, len(batch))
		}
		for _, child := range batch {
			close(child.ended)
		}
	}
}

// Clear kills all attempts and returns when none of their processes is left. onEnded is called for each attempt.
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

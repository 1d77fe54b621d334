// Package supervisor runs the processes of a site. A process that exits is restarted, with exponential backoff if it exits
// soon; all are stopped in reverse order of their start. The package owns these processes and their logs, not the tasks that a
// worker runs. Each process has a tag in its environment, so that the next supervisor ends what one that was killed has left.
// docs/design/site.md describes a site.
package supervisor

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"gullrudder/internal/logkeys"
	"gullrudder/internal/site/process"
)

// stopTimeout is how long a process may take to exit after SIGTERM before it is killed.
const stopTimeout = 5 * time.Second

// tagVariable is the environment variable whose value is the ID of the site that a process belongs to.
const tagVariable = "GULLRUDDER_SITE"

// ProcessSpec describes one process of the site.
type ProcessSpec struct {
	Name string
	Args []string // arguments of the supervisor's program
}

// Supervisor runs the processes of a site. Run and Stop may be called from different goroutines, each once.
type Supervisor struct {
	program  string
	dir      string // of the site
	tag      string
	children []*child
	log      *slog.Logger
	running  sync.WaitGroup // one for each child whose goroutine runs
}

// New returns a supervisor that runs program with the arguments of each spec. It first ends the processes that an earlier
// supervisor of the site with siteID has left.
func New(program, dir, siteID string, specs []ProcessSpec, log *slog.Logger) (*Supervisor, error) {
	s := &Supervisor{program: program, dir: dir, tag: tagVariable + "=" + siteID, log: log}
	for _, spec := range specs {
		s.children = append(s.children, s.newChild(spec))
	}
	if err := os.MkdirAll(filepath.Join(dir, "log"), 0o700); err != nil {
		return nil, fmt.Errorf("logs: %w", err)
	}
	// Only these processes have the tag: a task gets an environment of its own from the worker, which ends it.
	if err := process.End(map[string]bool{s.tag: true}, nil, stopTimeout); err != nil {
		return nil, fmt.Errorf("parts of an earlier start: %w", err)
	}
	return s, nil
}

// Run starts the processes and returns when Stop has stopped them all.
func (s *Supervisor) Run() {
	for _, c := range s.children {
		s.running.Add(1)
		go func() {
			defer s.running.Done()
			defer close(c.exited)
			c.runUntilStopped()
		}()
	}
	s.running.Wait()
}

// Stop stops the processes one after another, the last one first: with SIGTERM, and after stopTimeout with SIGKILL.
func (s *Supervisor) Stop() {
	for i := len(s.children) - 1; i >= 0; i-- {
		c := s.children[i]
		c.stop()
		select {
		case <-c.exited:
			continue
		case <-time.After(stopTimeout):
		}
		s.log.Error("process does not exit and is killed", logkeys.Process, c.Name)
		c.kill()
		<-c.exited
	}
}

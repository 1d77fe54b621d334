// Package supervisor runs the processes of a site. A process that exits is restarted, with exponential backoff if it exits soon.
// Processes are stopped in reverse order of their start. The package owns these processes and their logs, but not the tasks that a worker
// runs. Each process has a tag in its environment, by which the next supervisor finds and ends the processes of a supervisor that was
// killed. docs/design/site.md describes a site.
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

// ProcessSpec describes one process of the site. Its name is unique in the site.
type ProcessSpec struct {
	Name string
	Args []string // arguments of the supervisor's program
}

// Supervisor runs the processes of a site. Run and Stop may be called from different goroutines, each once.
type Supervisor struct {
	program  string
	dir      string // data directory of the site
	tag      string // environment variable of all processes, NAME=value
	children []*child
	log      *slog.Logger
	running  sync.WaitGroup // one for each child whose goroutine runs
}

// New returns a supervisor that runs program with the arguments of each spec, in their order. It first ends the processes that an earlier
// supervisor of the same site left running.
func New(program, dir, siteID string, specs []ProcessSpec, log *slog.Logger) (*Supervisor, error) {
	s := &Supervisor{program: program, dir: dir, tag: tagVariable + "=" + siteID, log: log}
	for _, spec := range specs {
		s.children = append(s.children, s.newChild(spec))
	}
	if err := os.MkdirAll(filepath.Join(dir, "log"), 0o700); err != nil {
		return nil, fmt.Errorf("create log directory: %w", err)
	}
	// Only the site's own processes have the tag. A task gets a separate environment from its worker, which also ends it.
	if err := process.End(map[string]bool{s.tag: true}, nil, stopTimeout); err != nil {
		return nil, fmt.Errorf("end processes of an earlier supervisor: %w", err)
	}
	return s, nil
}

// Run starts the processes and restarts those that exit. It returns when Stop has stopped them all.
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

// Stop stops the processes one after another, in reverse order of their start. Each gets SIGTERM, and SIGKILL after stopTimeout.
func (s *Supervisor) Stop() {
	for i := len(s.children) - 1; i >= 0; i-- {
		c := s.children[i]
		c.stop()
		select {
		case <-c.exited:
			continue
		case <-time.After(stopTimeout):
		}
		s.log.Error("process did not exit in time, killing it", logkeys.Process, c.Name)
		c.kill()
		<-c.exited
	}
}

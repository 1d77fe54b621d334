// Package supervisor runs the processes of a site: each is started again when it ends, ever later if it
// ends soon, and all are ended in order. It owns the processes and the file that says which they are,
// so that a successor ends what is left of a supervisor that was killed.
package supervisor

import (
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"gullrudder/internal/site/process"
)

const (
	minRestartDelay = 200 * time.Millisecond
	maxRestartDelay = 10 * time.Second
	// stableRunTime is how long a process has to run for its next end to count as the first.
	stableRunTime = 10 * time.Second
	// stopTimeout is how long a process is given to end by itself.
	stopTimeout = 5 * time.Second
	// maxLogBytes is the size at which a process's log is set aside; one older log is kept.
	maxLogBytes = 16 << 20
)

// ProcessSpec is one process of the site.
type ProcessSpec struct {
	Name string
	Args []string // of the program
}

// Supervisor runs the parts of a site.
type Supervisor struct {
	program  string
	dir      string // of the site
	tag      string
	children []*child
	log      *slog.Logger
	running  sync.WaitGroup
}

type child struct {
	ProcessSpec
	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{} // closed when the part is not started any more
	stopped chan struct{}
}

// New makes a supervisor and ends what an earlier one has left.
func New(program, dir, id string, specs []ProcessSpec, log *slog.Logger) (*Supervisor, error) {
	s := &Supervisor{program: program, dir: dir, tag: "GULLRUDDER_SITE=" + id, log: log}
	for _, p := range specs {
		s.children = append(s.children, &child{ProcessSpec: p, exited: make(chan struct{}), stopped: make(chan struct{})})
	}
	if err := os.MkdirAll(filepath.Join(dir, "log"), 0o700); err != nil {
		return nil, fmt.Errorf("logs: %w", err)
	}
	// Only the parts carry the mark; tasks have an environment of their own, and are the worker's.
	if err := process.End(map[string]bool{s.tag: true}, nil, stopTimeout); err != nil {
		return nil, fmt.Errorf("parts of an earlier start: %w", err)
	}
	return s, nil
}

// Run starts the parts and returns when Stop has ended them all.
func (s *Supervisor) Run() {
	for _, p := range s.children {
		s.running.Add(1)
		go func() {
			defer s.running.Done()
			defer close(p.exited)
			s.runUntilStopped(p)
		}()
	}
	s.running.Wait()
}

// runUntilStopped runs one part, again and again.
func (s *Supervisor) runUntilStopped(p *child) {
	delay := minRestartDelay
	for {
		startedAt := time.Now()
		err := s.runOnce(p)
		select {
		case <-p.stopped:
			return
		default:
		}
		if time.Since(startedAt) > stableRunTime {
			delay = minRestartDelay
		}
		s.log.Error(
			"a part ended and is started again",
			"part",
			p.Name,
			"after",
			time.Since(startedAt).Round(time.Millisecond),
			"error",
			err,
			"in",
			delay,
		)
		select {
		case <-p.stopped:
			return
		case <-time.After(delay):
		}
		delay = min(2*delay, maxRestartDelay)
	}
}

func (s *Supervisor) runOnce(p *child) error {
	logFile, err := openLog(filepath.Join(s.dir, "log", p.Name+".log"))
	if err != nil {
		return err
	}
	defer logFile.Close()
	cmd := exec.Command(s.program, p.Args...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.Env = append(os.Environ(), s.tag)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // an interrupt at the terminal is the supervisor's
	p.mu.Lock()
	select {
	case <-p.stopped:
		p.mu.Unlock()
		return nil
	default:
	}
	err = cmd.Start()
	p.cmd = cmd
	p.mu.Unlock()
	if err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	return cmd.Wait()
}

func openLog(path string) (*os.File, error) {
	if st, err := os.Stat(path); err == nil && st.Size() > maxLogBytes {
		if err := os.Rename(path, path+".old"); err != nil {
			return nil, err
		}
	}
	return os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}

// Stop ends the parts one after another, the last first: asked to, and after a while for certain.
func (s *Supervisor) Stop() {
	for i := len(s.children) - 1; i >= 0; i-- {
		p := s.children[i]
		p.mu.Lock()
		close(p.stopped)
		cmd := p.cmd
		p.mu.Unlock()
		if cmd != nil && cmd.Process != nil {
			_ = cmd.Process.Signal(syscall.SIGTERM) // it may have ended by itself
		}
		select {
		case <-p.exited:
			continue
		case <-time.After(stopTimeout):
		}
		s.log.Error("a part does not end and is killed", "part", p.Name)
		if cmd != nil && cmd.Process != nil {
			_ = cmd.Process.Kill() // as above
		}
		<-p.exited
	}
}

// PIDs tells which processes there are, for whoever looks at the site.
func (s *Supervisor) PIDs() map[string]int {
	pids := map[string]int{}
	for _, p := range s.children {
		p.mu.Lock()
		if p.cmd != nil && p.cmd.Process != nil {
			pids[p.Name] = p.cmd.Process.Pid
		}
		p.mu.Unlock()
	}
	return pids
}

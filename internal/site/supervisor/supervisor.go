// Package supervisor runs the processes of a site: each part is restarted when it ends, after a longer delay if it ends soon,
// and all are ended in order. It owns these processes. A supervisor that starts after one that was killed ends what that one
// left. It never looks into the parts: whether one works is not its business. The design is in docs/design/appliance.md.
package supervisor

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"gullrudder/internal/logkeys"
	"gullrudder/internal/site/process"
)

const (
	// minRestartDelay is the delay before the first restart; it doubles with each one up to maxRestartDelay.
	minRestartDelay = 200 * time.Millisecond
	maxRestartDelay = 10 * time.Second
	// stableRunTime is how long a process has to run for its next end to count as the first.
	stableRunTime = 10 * time.Second
	// stopTimeout is how long a process has to end by itself before it is killed.
	stopTimeout = 5 * time.Second
	// maxLogBytes is the size at which a part's log is set aside; one older log is kept.
	maxLogBytes = 16 << 20
)

// siteVariable is the environment variable that tags the processes of a site.
const siteVariable = "GULLRUDDER_SITE"

// ProcessSpec is one part of the site: a process of the program.
type ProcessSpec struct {
	Name string
	Args []string // of the program
}

// Supervisor runs the parts of a site.
type Supervisor struct {
	program  string
	dir      string // the site's directory
	tag      string // in the environment of the parts
	children []*child
	log      *slog.Logger
	running  sync.WaitGroup
}

// child is a part with its process.
type child struct {
	ProcessSpec
	mu      sync.Mutex // guards cmd, and the decision to start against Stop
	cmd     *exec.Cmd
	exited  chan struct{} // closed when the part is not restarted any more
	stopped chan struct{} // closed when the part is to end
}

// New makes a supervisor and ends what an earlier one has left. The parts' logs go to the directory log of dir.
func New(program, dir, siteID string, specs []ProcessSpec, log *slog.Logger) (*Supervisor, error) {
	s := &Supervisor{program: program, dir: dir, tag: siteVariable + "=" + siteID, log: log}
	for _, spec := range specs {
		s.children = append(s.children, &child{ProcessSpec: spec, exited: make(chan struct{}), stopped: make(chan struct{})})
	}
	if err := os.MkdirAll(filepath.Join(dir, "log"), 0o700); err != nil {
		return nil, fmt.Errorf("logs: %w", err)
	}
	// Only the parts carry the tag; tasks have an environment of their own, and belong to the worker.
	if err := process.End(map[string]bool{s.tag: true}, nil, stopTimeout); err != nil {
		return nil, fmt.Errorf("parts of an earlier start: %w", err)
	}
	return s, nil
}

// Run starts the parts, one goroutine each, and returns when Stop has ended them all.
func (s *Supervisor) Run() {
	for _, part := range s.children {
		s.running.Add(1)
		go func() {
			defer s.running.Done()
			defer close(part.exited)
			s.runUntilStopped(part)
		}()
	}
	s.running.Wait()
}

// runUntilStopped runs one part, again and again, until it is to end.
func (s *Supervisor) runUntilStopped(part *child) {
	delay := minRestartDelay
	for {
		startedAt := time.Now()
		err := s.runOnce(part)
		if part.isStopping() {
			return
		}
		runTime := time.Since(startedAt)
		if runTime > stableRunTime {
			delay = minRestartDelay
		}
		s.log.Error("part ended and is restarted",
			"part", part.Name, logkeys.Duration, runTime.Round(time.Millisecond), "restart_delay", delay, logkeys.Err, err)
		select {
		case <-part.stopped:
			return
		case <-time.After(delay):
		}
		delay = min(2*delay, maxRestartDelay)
	}
}

// runOnce runs the process of a part until it ends, and returns why it ended. It does nothing if the part is to end.
func (s *Supervisor) runOnce(part *child) (err error) {
	logFile, err := openLog(filepath.Join(s.dir, "log", part.Name+".log"))
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, logFile.Close()) }()
	cmd := exec.Command(s.program, part.Args...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.Env = append(os.Environ(), s.tag)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // an interrupt at the terminal goes to the supervisor alone
	if started, err := part.start(cmd); !started || err != nil {
		return err
	}
	return cmd.Wait()
}

// start starts the process unless the part is to end.
func (p *child) start(cmd *exec.Cmd) (started bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isStopping() {
		return false, nil
	}
	p.cmd = cmd
	if err := cmd.Start(); err != nil {
		return false, fmt.Errorf("start %s: %w", p.Name, err)
	}
	return true, nil
}

func (p *child) isStopping() bool {
	select {
	case <-p.stopped:
		return true
	default:
		return false
	}
}

// openLog opens a part's log for appending. A log that has grown too large is set aside first.
func openLog(path string) (*os.File, error) {
	if info, err := os.Stat(path); err == nil && info.Size() > maxLogBytes {
		if err := os.Rename(path, path+".old"); err != nil {
			return nil, err
		}
	}
	return os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}

// Stop ends the parts one after another, the last first: by SIGTERM, and by SIGKILL after a timeout. It may be called once.
func (s *Supervisor) Stop() {
	for i := len(s.children) - 1; i >= 0; i-- {
		s.stopPart(s.children[i])
	}
}

func (s *Supervisor) stopPart(part *child) {
	part.mu.Lock()
	close(part.stopped)
	cmd := part.cmd
	part.mu.Unlock()
	signalIfRunning(cmd, syscall.SIGTERM)
	select {
	case <-part.exited:
		return
	case <-time.After(stopTimeout):
	}
	s.log.Error("part killed after stop timeout", "part", part.Name)
	signalIfRunning(cmd, syscall.SIGKILL)
	<-part.exited
}

// signalIfRunning sends a signal to a process that was started. The error is not looked at: the process may have ended by
// itself.
func signalIfRunning(cmd *exec.Cmd, signal syscall.Signal) {
	if cmd != nil && cmd.Process != nil {
		_ = cmd.Process.Signal(signal)
	}
}

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
)

const (
	minRestartDelay = 200 * time.Millisecond
	maxRestartDelay = 10 * time.Second
	// stableRunTime is how long a process must run for the restart delay to be reset to the minimum.
	stableRunTime = 10 * time.Second
)

// child is one process of the site, including its restarts.
type child struct {
	ProcessSpec
	program string
	logPath string // receives the output of the process
	tag     string // environment variable of the process, NAME=value
	log     *slog.Logger

	mu      sync.Mutex
	cmd     *exec.Cmd     // guarded by mu; the last start, nil before the first
	exited  chan struct{} // closed when the process has exited and will not be restarted
	stopped chan struct{} // closed when the process must not be started any more
}

func (s *Supervisor) newChild(spec ProcessSpec) *child {
	return &child{
		ProcessSpec: spec,
		program:     s.program,
		logPath:     filepath.Join(s.dir, "log", spec.Name+".log"),
		tag:         s.tag,
		log:         s.log,
		exited:      make(chan struct{}),
		stopped:     make(chan struct{}),
	}
}

func (c *child) isStopped() bool {
	select {
	case <-c.stopped:
		return true
	default:
		return false
	}
}

// stop sends SIGTERM to the process and prevents its restart.
func (c *child) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.stopped)
	if c.cmd != nil && c.cmd.Process != nil {
		_ = c.cmd.Process.Signal(syscall.SIGTERM) // fails if the process has already exited
	}
}

func (c *child) kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd != nil && c.cmd.Process != nil {
		_ = c.cmd.Process.Kill() // fails if the process has already exited
	}
}

// start starts cmd unless the child is stopped. It holds the lock so that stop does not miss a process that is being started.
func (c *child) start(cmd *exec.Cmd) (isStarted bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isStopped() {
		return false, nil
	}
	err = cmd.Start()
	c.cmd = cmd
	if err != nil {
		return false, fmt.Errorf("start %s: %w", c.Name, err)
	}
	return true, nil
}

// runUntilStopped runs the process and restarts it with exponential backoff until the child is stopped.
func (c *child) runUntilStopped() {
	delay := minRestartDelay
	for {
		startedAt := time.Now()
		err := c.runOnce()
		if c.isStopped() {
			return
		}
		ranFor := time.Since(startedAt)
		if ranFor > stableRunTime {
			delay = minRestartDelay
		}
		c.log.Error("process exited, restarting", logkeys.Process, c.Name,
			logkeys.Duration, ranFor.Round(time.Millisecond), logkeys.Err, err, logkeys.RestartDelay, delay)
		select {
		case <-c.stopped:
			return
		case <-time.After(delay):
		}
		delay = min(2*delay, maxRestartDelay)
	}
}

// runOnce starts the process and waits until it exits. The error says why the process did not start or how it exited.
func (c *child) runOnce() (err error) {
	output, err := openLog(c.logPath)
	if err != nil {
		return fmt.Errorf("open log of %s: %w", c.Name, err)
	}
	defer func() { err = errors.Join(err, output.Close()) }()
	cmd := exec.Command(c.program, c.Args...)
	cmd.Stdout, cmd.Stderr = output, output
	cmd.Env = append(os.Environ(), c.tag)
	// A separate process group: an interrupt at the terminal reaches only the supervisor, which stops the processes one after another.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	isStarted, err := c.start(cmd)
	if err != nil || !isStarted {
		return err
	}
	return cmd.Wait()
}

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
	soonest = 200 * time.Millisecond
	latest  = 10 * time.Second
	// settled is how long a process has to run for its next end to count as the first.
	settled = 10 * time.Second
	// patience is how long a process is given to end by itself.
	patience = 5 * time.Second
	// mostLog is the size at which a process's log is set aside; one older log is kept.
	mostLog = 16 << 20
)

// Part is one process of the site.
type Part struct {
	Name string
	Args []string // of the program
}

// Supervisor runs the parts of a site.
type Supervisor struct {
	program string
	dir     string // of the site
	mark    string
	parts   []*part
	log     *slog.Logger
	done    sync.WaitGroup
}

type part struct {
	Part
	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{} // closed when the part is not started any more
	stop  chan struct{}
}

// New makes a supervisor and ends what an earlier one has left.
func New(program, dir, id string, list []Part, log *slog.Logger) (*Supervisor, error) {
	s := &Supervisor{program: program, dir: dir, mark: "GULLRUDDER_SITE=" + id, log: log}
	for _, p := range list {
		s.parts = append(s.parts, &part{Part: p, ended: make(chan struct{}), stop: make(chan struct{})})
	}
	if err := os.MkdirAll(filepath.Join(dir, "log"), 0o700); err != nil {
		return nil, fmt.Errorf("logs: %w", err)
	}
	// Only the parts carry the mark; tasks have an environment of their own, and are the worker's.
	if err := process.End(map[string]bool{s.mark: true}, nil, patience); err != nil {
		return nil, fmt.Errorf("parts of an earlier start: %w", err)
	}
	return s, nil
}

// Run starts the parts and returns when Stop has ended them all.
func (s *Supervisor) Run() {
	for _, p := range s.parts {
		s.done.Add(1)
		go func() {
			defer s.done.Done()
			defer close(p.ended)
			s.keep(p)
		}()
	}
	s.done.Wait()
}

// keep runs one part, again and again.
func (s *Supervisor) keep(p *part) {
	wait := soonest
	for {
		began := time.Now()
		err := s.once(p)
		select {
		case <-p.stop:
			return
		default:
		}
		if time.Since(began) > settled {
			wait = soonest
		}
		s.log.Error(
			"a part ended and is started again",
			"part",
			p.Name,
			"after",
			time.Since(began).Round(time.Millisecond),
			"error",
			err,
			"in",
			wait,
		)
		select {
		case <-p.stop:
			return
		case <-time.After(wait):
		}
		wait = min(2*wait, latest)
	}
}

func (s *Supervisor) once(p *part) error {
	out, err := openLog(filepath.Join(s.dir, "log", p.Name+".log"))
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(s.program, p.Args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), s.mark)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // an interrupt at the terminal is the supervisor's
	p.mu.Lock()
	select {
	case <-p.stop:
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
	if st, err := os.Stat(path); err == nil && st.Size() > mostLog {
		if err := os.Rename(path, path+".old"); err != nil {
			return nil, err
		}
	}
	return os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}

// Stop ends the parts one after another, the last first: asked to, and after a while for certain.
func (s *Supervisor) Stop() {
	for i := len(s.parts) - 1; i >= 0; i-- {
		p := s.parts[i]
		p.mu.Lock()
		close(p.stop)
		cmd := p.cmd
		p.mu.Unlock()
		if cmd != nil && cmd.Process != nil {
			_ = cmd.Process.Signal(syscall.SIGTERM) // it may have ended by itself
		}
		select {
		case <-p.ended:
			continue
		case <-time.After(patience):
		}
		s.log.Error("a part does not end and is killed", "part", p.Name)
		if cmd != nil && cmd.Process != nil {
			_ = cmd.Process.Kill() // as above
		}
		<-p.ended
	}
}

// Parts tells which processes there are, for whoever looks at the site.
func (s *Supervisor) Parts() map[string]int {
	list := map[string]int{}
	for _, p := range s.parts {
		p.mu.Lock()
		if p.cmd != nil && p.cmd.Process != nil {
			list[p.Name] = p.cmd.Process.Pid
		}
		p.mu.Unlock()
	}
	return list
}

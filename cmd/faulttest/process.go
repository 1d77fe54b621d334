package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"gullrudder/internal/wire/http1"
)

// process is a child process that can be killed and started again.
type process struct {
	name      string
	path      string
	args      []string
	env       []string
	logWriter io.Writer                     // receives the log of the child; nil: none
	onLogLine func(p *process, line string) // called for each line of the log; may be nil

	mu  sync.Mutex
	cmd *exec.Cmd
}

// start starts the child and reads its log.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.path, p.args...)
	cmd.Env = append(os.Environ(), p.env...)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.cmd = cmd
	go func() {
		lines := bufio.NewScanner(stderr)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			if p.logWriter != nil {
				_, _ = fmt.Fprintf(p.logWriter, "%s %s\n", p.name, lines.Text()) // the test does not depend on its own log output
			}
			if p.onLogLine != nil {
				p.onLogLine(p, lines.Text())
			}
		}
	}()
	return nil
}

// kill sends SIGKILL to the child and waits until it has exited. It does nothing if none was started.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	// Errors are ignored: the child may have exited before, and a killed child exits with an error.
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	p.cmd = nil
}

// freePorts returns n loopback addresses, each with a free port.
func freePorts(n int) (addrs []string, err error) {
	for range n {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { err = errors.Join(err, l.Close()) }()
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, nil
}

// awaitOK polls a path of a service until it responds with status 200.
func awaitOK(client *http1.Client, addr, target string, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for {
		response, err := client.Do(addr, "GET", target, nil, time.Second)
		if err == nil && response.Status == http.StatusOK {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("GET %s%s: no response with status 200 within %v: %w", addr, target, timeout, err)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// resolveProgram returns the absolute path of the program to test. It builds gullrudder in a directory if the path is empty.
func resolveProgram(path, dir string) (string, error) {
	if path != "" {
		return filepath.Abs(path)
	}
	out := filepath.Join(dir, "gullrudder")
	if msg, err := exec.Command("go", "build", "-o", out, "gullrudder/cmd/gullrudder").CombinedOutput(); err != nil {
		return "", fmt.Errorf("build gullrudder: %w: %s", err, msg)
	}
	return out, nil
}

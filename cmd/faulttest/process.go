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

// process is a child process that is started, killed and started again.
type process struct {
	name string
	path string
	args []string
	env  []string
	logs io.Writer
	seen func(p *process, line string)

	mu  sync.Mutex
	cmd *exec.Cmd
}

// start starts the child and reads its log.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.path, p.args...)
	cmd.Env = append(os.Environ(), p.env...)
	errs, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.cmd = cmd
	go func() {
		lines := bufio.NewScanner(errs)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			if p.logs != nil {
				_, _ = fmt.Fprintf(p.logs, "%s %s\n", p.name, lines.Text()) // a lost line of a log is no failure of the test
			}
			if p.seen != nil {
				p.seen(p, lines.Text())
			}
		}
	}()
	return nil
}

// kill sends SIGKILL to the child and waits for it.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	// A child that has exited by itself is no error here.
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	p.cmd = nil
}

// freePorts returns addresses of loopback with free ports.
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

// await polls until the service responds with 200.
func await(client *http1.Client, addr, target string, within time.Duration) error {
	end := time.Now().Add(within)
	for {
		response, err := client.Do(addr, "GET", target, nil, time.Second)
		if err == nil && response.Status == http.StatusOK {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s%s does not answer 200 within %v: %w", addr, target, within, err)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// program returns the path of the program that is tested, built if none is given.
func program(path, dir string) (string, error) {
	if path != "" {
		return filepath.Abs(path)
	}
	out := filepath.Join(dir, "gullrudder")
	if msg, err := exec.Command("go", "build", "-o", out, "gullrudder/cmd/gullrudder").CombinedOutput(); err != nil {
		return "", fmt.Errorf("build gullrudder: %w: %s", err, msg)
	}
	return out, nil
}

package main

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
)

// start starts a program with its output in a file of the temporary folder. It is killed when the run ends.
func (l *lab) start(name, program string, args ...string) (*exec.Cmd, error) {
	output, err := os.Create(filepath.Join(l.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program, args...)
	cmd.Dir = l.root
	cmd.Stdout, cmd.Stderr = output, output
	cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	l.log("started %s, process %d", name, cmd.Process.Pid)
	l.onEnd(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = output.Close()
	})
	return cmd, nil
}

// freeAddrs returns loopback addresses on which no process listens.
func freeAddrs(count int) ([]string, error) {
	var addrs []string
	for range count {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		addrs = append(addrs, listener.Addr().String())
	}
	return addrs, nil
}

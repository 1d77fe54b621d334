package main

import (
	"errors"
	"net"
	"os"
	"sync"
)

// cut is an interruption of the network around one host. While it lasts, the packets of its links are held back; afterwards they are
// delivered in order. A connection attempt that was given up meanwhile is not completed.
type cut struct {
	mu     sync.Mutex
	healed chan struct{} // closed unless the host is cut off
}

func newCut() *cut {
	c := &cut{healed: make(chan struct{})}
	close(c.healed)
	return c
}

func (c *cut) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.healed = make(chan struct{})
}

func (c *cut) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.healed:
	default:
		close(c.healed)
	}
}

// wait blocks while the host is cut off. It reports whether it had to wait.
func (c *cut) wait() bool {
	c.mu.Lock()
	healed := c.healed
	c.mu.Unlock()
	select {
	case <-healed:
		return false
	default:
		<-healed
		return true
	}
}

// link forwards connections to a target over the network around its hosts.
type link struct {
	target string
	cuts   []*cut             // of the hosts at both ends
	onSend func(chunk []byte) // called with the bytes that were delivered to the target; nil: not called
}

// newLink listens on a loopback address and forwards its connections. It returns the address.
func newLink(l *lab, target string, onSend func([]byte), cuts ...*cut) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	l.onEnd(func() { _ = listener.Close() })
	k := &link{target: target, cuts: cuts, onSend: onSend}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go k.forward(conn)
		}
	}()
	return listener.Addr().String(), nil
}

func (k *link) wait() (waited bool) {
	for _, c := range k.cuts {
		waited = c.wait() || waited
	}
	return waited
}

func (k *link) forward(from net.Conn) {
	defer func() { _ = from.Close() }()
	if k.wait() && wasGivenUp(from) {
		return
	}
	to, err := net.Dial("tcp4", k.target)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.pump(from, to, k.onSend)
	}()
	k.pump(to, from, nil)
	<-done
}

// wasGivenUp reports whether the client of a connection attempt has closed it.
func wasGivenUp(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	closed := true
	_ = raw.Read(func(fd uintptr) bool {
		closed = peerHasClosed(int(fd))
		return true
	})
	return closed
}

// pump copies bytes in one direction until the sender closes the connection, and then closes that direction.
func (k *link) pump(from, to net.Conn, onSend func([]byte)) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			k.wait()
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
			if onSend != nil {
				onSend(buffer[:n])
			}
		}
		if err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				k.wait()
				_ = to.(*net.TCPConn).CloseWrite()
			}
			return
		}
	}
}

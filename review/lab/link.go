package main

import (
	"net"
	"sync"
	"time"
)

// link is a TCP proxy between two parts of the deployment. It can hold packets back, delay them or reset connections.
type link struct {
	target string
	addr   string

	mu      sync.Mutex
	forward bool // packets to the target are held back
	back    bool // packets from the target are held back
	refuse  bool
	delay   time.Duration // of packets from the target
	conns   map[net.Conn]bool
}

func newLink(target string) *link {
	l := &link{target: target, conns: map[net.Conn]bool{}}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	l.addr = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn)
		}
	}()
	return l
}

// hold holds packets back in the given directions. Held packets are delivered in order once it is lifted.
func (l *link) hold(forward, back bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forward, l.back = forward, back
}

// reset closes all connections and refuses new ones while refuse is set.
func (l *link) reset(refuse bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuse = refuse
	for conn := range l.conns {
		_ = conn.Close()
	}
}

func (l *link) isHeld(back bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if back {
		return l.back
	}
	return l.forward
}

func (l *link) serve(conn net.Conn) {
	l.mu.Lock()
	refuse := l.refuse
	l.conns[conn] = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.conns, conn)
		l.mu.Unlock()
		_ = conn.Close()
	}()
	if refuse {
		return
	}
	for l.isHeld(false) { // a connection attempt during a cut does not complete
		time.Sleep(20 * time.Millisecond)
	}
	out, err := net.Dial("tcp4", l.target)
	if err != nil {
		return
	}
	go l.copy(conn, out, true)
	l.copy(out, conn, false)
}

func (l *link) copy(to, from net.Conn, back bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		for l.isHeld(back) {
			time.Sleep(10 * time.Millisecond)
		}
		if l.delay > 0 && back {
			time.Sleep(l.delay)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
}

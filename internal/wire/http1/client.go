package http1

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Client sends requests and keeps idle connections for the next one.
type Client struct {
	maxIdlePerAddr int
	maxBodyBytes   int
	openRequests   chan struct{}
	mu             sync.Mutex
	idle           map[string][]idleConn
}

type idleConn struct {
	net.Conn
	idleSince time.Time
}

// maxIdleTime is how long an idle connection is trusted.
const maxIdleTime = 20 * time.Second

// NewClient bounds the open requests, the idle connections for one address and the
// size of a response.
func NewClient(maxOpenRequests, maxIdlePerAddr, maxBodyBytes int) *Client {
	return &Client{
		maxIdlePerAddr: maxIdlePerAddr,
		maxBodyBytes:   maxBodyBytes,
		openRequests:   make(chan struct{}, maxOpenRequests),
		idle:           map[string][]idleConn{},
	}
}

// Do sends one request. An error means that no whole answer came and that nobody knows
// whether the request was executed. A request is never sent twice.
func (c *Client) Do(addr, method, target string, body []byte, timeout time.Duration) (*Message, error) {
	deadline := time.Now().Add(timeout)
	select {
	case c.openRequests <- struct{}{}:
		defer func() { <-c.openRequests }()
	default:
		return nil, fmt.Errorf("%s %s: too many open requests", method, addr)
	}
	conn, err := c.takeConn(addr, deadline)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, addr, err)
	}
	msg, err := c.roundTrip(conn, addr, method, target, body, deadline)
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("%s %s%s: %w", method, addr, target, err)
	}
	if msg.CloseConnection || !c.keepConn(addr, conn) {
		conn.Close()
	}
	return msg, nil
}

func (c *Client) takeConn(addr string, deadline time.Time) (net.Conn, error) {
	c.mu.Lock()
	idle := c.idle[addr]
	for len(idle) > 0 {
		last := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		c.idle[addr] = idle
		if time.Since(last.idleSince) < maxIdleTime {
			c.mu.Unlock()
			return last.Conn, nil
		}
		last.Close()
	}
	delete(c.idle, addr)
	c.mu.Unlock()
	d := net.Dialer{Deadline: deadline}
	return d.Dial("tcp4", addr)
}

func (c *Client) keepConn(addr string, conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[addr]) >= c.maxIdlePerAddr {
		return false
	}
	c.idle[addr] = append(c.idle[addr], idleConn{conn, time.Now()})
	return true
}

func (c *Client) roundTrip(conn net.Conn, addr, method, target string, body []byte, deadline time.Time) (*Message, error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	if _, err := conn.Write(AppendRequest(nil, method, addr, target, body)); err != nil {
		return nil, err
	}
	buf := make([]byte, 0, 2048)
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := conn.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		msg, used, perr := Parse(buf, true, c.maxBodyBytes)
		if perr != nil {
			return nil, perr
		}
		if msg != nil {
			if used < len(buf) {
				msg.CloseConnection = true
			}
			return msg, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

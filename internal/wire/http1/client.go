package http1

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// Client sends requests and reuses idle connections. Its methods may be called from any goroutine.
type Client struct {
	maxIdlePerAddr int
	maxBodyBytes   int
	openRequests   chan struct{} // a semaphore
	mu             sync.Mutex    // guards idle
	idle           map[string][]idleConn
}

type idleConn struct {
	net.Conn
	idleSince time.Time
}

const (
	// maxIdleTime is how long an idle connection may be reused. Servers close connections after 75 s without a request.
	maxIdleTime = 20 * time.Second
	// responseBufferBytes is the initial size of the response buffer. Most responses fit without growing it.
	responseBufferBytes = 2 << 10
)

// ErrTooManyRequests is returned by Do while the maximum number of requests is open.
var ErrTooManyRequests = errors.New("too many open requests")

// NewClient returns a Client with bounds on the open requests, the idle connections per address, and the bytes of a response's body.
func NewClient(maxOpenRequests, maxIdlePerAddr, maxBodyBytes int) *Client {
	return &Client{
		maxIdlePerAddr: maxIdlePerAddr,
		maxBodyBytes:   maxBodyBytes,
		openRequests:   make(chan struct{}, maxOpenRequests),
		idle:           map[string][]idleConn{},
	}
}

// Do sends one request to addr (host:port) and waits for its response until the timeout. After an error it is uncertain whether the request
// was executed or will still be executed. Only after ErrTooManyRequests it was certainly not sent. A request is never sent twice.
func (c *Client) Do(addr, method, target string, body []byte, timeout time.Duration) (*Message, error) {
	deadline := time.Now().Add(timeout)
	select {
	case c.openRequests <- struct{}{}:
		defer func() { <-c.openRequests }()
	default:
		return nil, fmt.Errorf("%s %s: %w", method, addr, ErrTooManyRequests)
	}
	conn, err := c.takeConn(addr, deadline)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, addr, err)
	}
	response, err := c.roundTrip(conn, appendRequest(nil, method, addr, target, body), deadline)
	if err != nil {
		discard(conn)
		return nil, fmt.Errorf("%s %s%s: %w", method, addr, target, err)
	}
	if response.CloseConnection || !c.keepConn(addr, conn) {
		discard(conn)
	}
	return response, nil
}

// discard closes a connection that is not used any more. The error is ignored: either the response is complete, or the request already
// counts as uncertain.
func discard(conn net.Conn) { _ = conn.Close() }

// takeConn returns the most recently used idle connection to an address, or opens one.
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
		discard(last)
	}
	delete(c.idle, addr)
	c.mu.Unlock()
	dialer := net.Dialer{Deadline: deadline}
	return dialer.Dial("tcp4", addr)
}

// keepConn keeps a connection for the next request. It returns false if maxIdlePerAddr connections are already kept.
func (c *Client) keepConn(addr string, conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[addr]) >= c.maxIdlePerAddr {
		return false
	}
	c.idle[addr] = append(c.idle[addr], idleConn{conn, time.Now()})
	return true
}

func (c *Client) roundTrip(conn net.Conn, request []byte, deadline time.Time) (*Message, error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	if _, err := conn.Write(request); err != nil {
		return nil, err
	}
	return c.readResponse(conn)
}

func (c *Client) readResponse(conn net.Conn) (*Message, error) {
	buffer := make([]byte, 0, responseBufferBytes)
	for {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		n, readErr := conn.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		response, consumedBytes, err := Parse(buffer, true, c.maxBodyBytes)
		if err != nil {
			return nil, err
		}
		if response != nil {
			if consumedBytes < len(buffer) {
				response.CloseConnection = true // the bytes after the response belong to no request
			}
			return response, nil
		}
		if readErr != nil {
			return nil, readErr
		}
	}
}

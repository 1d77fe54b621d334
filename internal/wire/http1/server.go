package http1

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"gullrudder/internal/logkeys"

	"github.com/tidwall/evio"
)

// Request is one request that waits for its response: Respond, RespondText or Abort ends the wait.
type Request struct {
	Message
	FromPeer bool // came in on the controllers' own address
	conn     *conn
}

// conn is the state of one connection. The evio loop owns its first part; the rest is handed over under the lock.
type conn struct {
	events           evio.Conn
	buffer           []byte // of a request that is not whole yet
	awaitingResponse bool
	isClosing        bool
	lastActivity     time.Time

	mu        sync.Mutex // guards what follows
	output    []byte     // of the response that is to be written
	responded bool
	aborted   bool // the connection ends without a response
}

// ServerOptions bound a server.
type ServerOptions struct {
	PublicAddr     string // host:port
	PeerAddr       string // host:port of the controllers' own address; empty: none
	MaxConnections int
	IdleTimeout    time.Duration  // a connection with no request for this long is closed
	ReadTimeout    time.Duration  // a request has to be whole within this
	Handler        func(*Request) // runs on the evio loop, so it only hands the request on
}

// Server accepts connections on one or two addresses with evio, and parses their requests.
type Server struct {
	options ServerOptions
	conns   map[*conn]struct{} // owned by the evio loop
}

const (
	// minServeTime is how long a server has to run for its end not to mean that its address cannot be had.
	minServeTime = time.Second
	// restartDelay is how long after its end a server is started again.
	restartDelay = 500 * time.Millisecond
	// timeoutCheckInterval is how often the connections are checked for the idle and read timeouts.
	timeoutCheckInterval = time.Second
)

// ErrAcceptLoopEnded is returned by Run when evio ends its loop, which it does without an error of its own when accept fails.
var ErrAcceptLoopEnded = errors.New("the accept loop ended")

// NewServer makes a server; Run starts it.
func NewServer(options ServerOptions) *Server {
	return &Server{options: options, conns: map[*conn]struct{}{}}
}

// Run serves until the listeners fail; it always returns an error.
func (s *Server) Run() error {
	events := evio.Events{NumLoops: 1, Opened: s.onOpened, Closed: s.onClosed, Data: s.onData, Tick: s.onTick}
	addrs := []string{"tcp://" + s.options.PublicAddr}
	if s.options.PeerAddr != "" {
		addrs = append(addrs, "tcp://"+s.options.PeerAddr)
	}
	if err := evio.Serve(events, addrs...); err != nil {
		return err
	}
	return ErrAcceptLoopEnded
}

// RunWithRestart serves, and again whenever evio ends its loop, as it does where sockets run out. It returns only if the address
// cannot be had.
func (s *Server) RunWithRestart(log *slog.Logger) error {
	for {
		startedAt := time.Now()
		err := s.Run()
		if time.Since(startedAt) < minServeTime {
			return fmt.Errorf("serve %s: %w", s.options.PublicAddr, err)
		}
		log.Error("server stopped and is restarted", logkeys.Err, err)
		time.Sleep(restartDelay)
	}
}

func (s *Server) onOpened(c evio.Conn) ([]byte, evio.Options, evio.Action) {
	// evio ends its whole loop when accept fails, so the last sockets are never used up.
	if len(s.conns) >= s.options.MaxConnections {
		return nil, evio.Options{}, evio.Close
	}
	state := &conn{events: c, lastActivity: time.Now()}
	c.SetContext(state)
	s.conns[state] = struct{}{}
	return nil, evio.Options{ReuseInputBuffer: true}, evio.None
}

func (s *Server) onClosed(c evio.Conn, _ error) evio.Action {
	if state, ok := c.Context().(*conn); ok {
		delete(s.conns, state)
	}
	return evio.None
}

// onData takes in what has arrived on a connection; no input means that the connection was woken by a response.
func (s *Server) onData(connection evio.Conn, input []byte) ([]byte, evio.Action) {
	state, ok := connection.Context().(*conn)
	if !ok {
		return nil, evio.Close
	}
	if input == nil {
		return state.onWake()
	}
	if state.isClosing {
		return nil, evio.None
	}
	if state.awaitingResponse {
		// Requests are not sent pipelined: what comes early is dropped, and the connection ends with the response that is due.
		state.isClosing = true
		return nil, evio.None
	}
	if len(state.buffer) == 0 {
		state.lastActivity = time.Now()
	}
	state.buffer = append(state.buffer, input...)
	message, err := state.takeMessage()
	if err != nil {
		return AppendResponse(nil, errorStatus(err), nil, 0, true), evio.Close
	}
	if message != nil {
		s.options.Handler(&Request{Message: *message, FromPeer: connection.AddrIndex() == 1, conn: state})
	}
	return nil, evio.None
}

// takeMessage takes the request out of the buffer, or nothing while it is not whole.
func (c *conn) takeMessage() (*Message, error) {
	message, consumedBytes, err := Parse(c.buffer, false, MaxBodyBytes)
	if err != nil {
		c.isClosing = true
		return nil, err
	}
	if message == nil {
		return nil, nil
	}
	if consumedBytes < len(c.buffer) || message.CloseConnection {
		c.isClosing = true
	}
	// The body is the request's own from here on; the buffer starts anew.
	c.buffer = nil
	c.awaitingResponse = true
	return message, nil
}

// errorStatus is the status that a request which cannot be parsed is answered with.
func errorStatus(err error) int {
	var protocolErr *ProtocolError
	if errors.As(err, &protocolErr) {
		return protocolErr.Status
	}
	return http.StatusBadRequest
}

// onWake writes the response that has been handed over, if there is one.
func (c *conn) onWake() ([]byte, evio.Action) {
	c.mu.Lock()
	output := c.output
	c.output = nil
	c.responded = false
	aborted := c.aborted
	c.mu.Unlock()
	if aborted {
		return nil, evio.Close
	}
	action := evio.None
	if output != nil {
		c.awaitingResponse = false
		c.lastActivity = time.Now()
	}
	if c.isClosing && !c.awaitingResponse {
		action = evio.Close
	}
	return output, action
}

// Respond answers the request with a MessagePack body; only the first response counts. A retryAfter of 0 leaves Retry-After out.
// It may be called from any goroutine.
func (r *Request) Respond(status int, body []byte, retryAfter time.Duration) {
	r.send(AppendResponse(nil, status, body, retryAfter, r.CloseConnection))
}

// RespondText answers the request with a body of another content type; else as Respond.
func (r *Request) RespondText(status int, contentType string, body []byte) {
	r.send(AppendTextResponse(nil, status, contentType, body, r.CloseConnection))
}

func (r *Request) send(output []byte) {
	c := r.conn
	c.mu.Lock()
	if c.responded {
		c.mu.Unlock()
		return
	}
	c.responded = true
	c.output = output
	c.mu.Unlock()
	c.events.Wake()
}

// Abort ends the connection without a response, so that the client takes the outcome of the request for uncertain. It may be called
// from any goroutine.
func (r *Request) Abort() {
	c := r.conn
	c.mu.Lock()
	c.responded, c.aborted = true, true
	c.mu.Unlock()
	c.events.Wake()
}

// onTick closes the connections whose request does not come, or not whole.
func (s *Server) onTick() (time.Duration, evio.Action) {
	now := time.Now()
	for state := range s.conns {
		if state.isOverdue(now, &s.options) {
			state.isClosing = true
			state.events.Wake()
		}
	}
	return timeoutCheckInterval, evio.None
}

func (c *conn) isOverdue(now time.Time, options *ServerOptions) bool {
	if c.awaitingResponse {
		return false
	}
	idle := now.Sub(c.lastActivity)
	return len(c.buffer) > 0 && idle > options.ReadTimeout || idle > options.IdleTimeout
}

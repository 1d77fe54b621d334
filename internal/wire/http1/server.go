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

// Request is a request that awaits its response. It must be answered once, with Respond, RespondText or Abort.
type Request struct {
	Message
	FromPeer bool // received on ServerOptions.PeerAddr
	conn     *conn
}

// conn is the state of one connection. The evio loop owns the first group of fields; mu guards the second.
type conn struct {
	evioConn         evio.Conn
	reader           messageReader
	requests         int // complete requests so far
	awaitingResponse bool
	isClosing        bool
	openedAt         time.Time
	lastActivity     time.Time

	mu        sync.Mutex // guards the fields below
	output    []byte     // encoded response to be written
	responded bool
	aborted   bool // the connection ends without a response
}

// ServerOptions are the addresses and bounds of a server.
type ServerOptions struct {
	PublicAddr     string // host:port
	PeerAddr       string // host:port of a second address, which only the controllers use; empty: none
	MaxConnections int
	IdleTimeout    time.Duration  // a connection without a request for this long is closed
	ReadTimeout    time.Duration  // a request must be complete within this time
	Handler        func(*Request) // runs on the evio loop and must not block
	Log            *slog.Logger   // for requests that are refused before Handler sees them; nil: not logged
}

// Server accepts connections on one or two addresses with evio and parses their requests.
type Server struct {
	options  ServerOptions
	conns    map[*conn]struct{} // owned by the evio loop
	refusals refusalLog
}

const (
	// minServeTime is the run time below which a server that has ended counts as unable to listen on its address. A server that ran
	// longer is restarted.
	minServeTime = time.Second
	// restartDelay is the delay before a server that has ended is restarted.
	restartDelay = 500 * time.Millisecond
	// minUnusedTime is how long a connection may be open without a complete request when connections are scarce.
	minUnusedTime = time.Second
	// timeoutCheckInterval is how often the connections are checked for the idle and read timeouts.
	timeoutCheckInterval = time.Second
)

// ErrAcceptLoopEnded is returned by Run when evio ends its loop. When accept fails, evio does so without returning an error.
var ErrAcceptLoopEnded = errors.New("evio accept loop ended")

// NewServer returns a server that is started with Run or RunWithRestart.
func NewServer(options ServerOptions) *Server {
	return &Server{options: options, conns: map[*conn]struct{}{}, refusals: newRefusalLog(options.Log)}
}

// Run serves until the listeners fail. It always returns an error.
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

// RunWithRestart serves and restarts the server whenever evio ends its loop, which happens when the process runs out of sockets. It returns
// an error if the server cannot listen on its address.
func (s *Server) RunWithRestart(log *slog.Logger) error {
	for {
		startedAt := time.Now()
		err := s.Run()
		if time.Since(startedAt) < minServeTime {
			return fmt.Errorf("serve %s: %w", s.options.PublicAddr, err)
		}
		log.Error("server stopped, restarting", logkeys.Err, err)
		time.Sleep(restartDelay)
	}
}

func (s *Server) onOpened(evioConn evio.Conn) ([]byte, evio.Options, evio.Action) {
	// The process must not run out of sockets: accept would fail, and evio would end its loop.
	now := time.Now()
	if len(s.conns) >= s.options.MaxConnections && !s.closeUnused(now) {
		return nil, evio.Options{}, evio.Close
	}
	state := &conn{evioConn: evioConn, reader: newMessageReader(false, MaxBodyBytes), openedAt: now, lastActivity: now}
	evioConn.SetContext(state)
	s.conns[state] = struct{}{}
	return nil, evio.Options{ReuseInputBuffer: true}, evio.None
}

func (s *Server) onClosed(evioConn evio.Conn, _ error) evio.Action {
	if state, ok := evioConn.Context().(*conn); ok {
		delete(s.conns, state)
	}
	return evio.None
}

// onData processes the bytes received on a connection. Without input, the connection was woken to write a response or to be closed.
func (s *Server) onData(evioConn evio.Conn, input []byte) ([]byte, evio.Action) {
	state, ok := evioConn.Context().(*conn)
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
		if len(input) == leadingEmptyLines(input) {
			return nil, evio.None
		}
		// Pipelining is not supported: the input is dropped, and the connection is closed after the pending response.
		state.isClosing = true
		return nil, evio.None
	}
	if !state.reader.isPartial() {
		state.lastActivity = time.Now()
	}
	state.reader.add(input)
	message, err := state.takeMessage()
	if err != nil {
		s.refusals.record(time.Now(), evioConn.RemoteAddr().String(), err)
		return AppendResponse(nil, errorStatus(err), nil, 0, true), evio.Close
	}
	if message != nil {
		s.options.Handler(&Request{Message: *message, FromPeer: evioConn.AddrIndex() == 1, conn: state})
	}
	return nil, evio.None
}

// takeMessage parses a complete request and releases the buffer. It returns nil while the request is incomplete.
func (c *conn) takeMessage() (*Message, error) {
	message, err := c.reader.next()
	if err != nil {
		c.isClosing = true
		return nil, err
	}
	if message == nil {
		return nil, nil
	}
	if rest := c.reader.buffer; len(rest) > leadingEmptyLines(rest) || message.CloseConnection {
		c.isClosing = true
	}
	// The body may be a slice of the buffer and now belongs to the request.
	c.reader = newMessageReader(false, MaxBodyBytes)
	c.awaitingResponse = true
	c.requests++
	return message, nil
}

// errorStatus returns the status of the response to a request that cannot be parsed.
func errorStatus(err error) int {
	var protocolErr *ProtocolError
	if errors.As(err, &protocolErr) {
		return protocolErr.Status
	}
	return http.StatusBadRequest
}

// onWake writes the pending response, if there is one, and closes the connection if that is due.
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

// Respond answers the request with a MessagePack body. Only the first response is sent. A retryAfter of 0 sends no Retry-After. Respond may
// be called from any goroutine.
func (r *Request) Respond(status int, body []byte, retryAfter time.Duration) {
	r.send(AppendResponse(nil, status, body, retryAfter, r.CloseConnection))
}

// RespondText answers the request like Respond, with a body of the given content type.
func (r *Request) RespondText(status int, contentType string, body []byte) {
	r.send(appendTextResponse(nil, status, contentType, body, r.CloseConnection))
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
	c.evioConn.Wake()
}

// Abort closes the connection without a response, so that the client cannot tell whether the request was executed. It may be called from
// any goroutine.
func (r *Request) Abort() {
	c := r.conn
	c.mu.Lock()
	c.responded, c.aborted = true, true
	c.mu.Unlock()
	c.evioConn.Wake()
}

// onTick closes the connections that exceed the idle or the read timeout.
func (s *Server) onTick() (time.Duration, evio.Action) {
	now := time.Now()
	for state := range s.conns {
		if state.isOverdue(now, &s.options) {
			state.isClosing = true
			state.evioConn.Wake()
		}
	}
	return timeoutCheckInterval, evio.None
}

func (c *conn) isOverdue(now time.Time, options *ServerOptions) bool {
	if c.awaitingResponse {
		return false
	}
	sinceActivity := now.Sub(c.lastActivity)
	return c.reader.isPartial() && sinceActivity > options.ReadTimeout || sinceActivity > options.IdleTimeout
}

// closeUnused closes the oldest connection that has not sent a complete request for minUnusedTime since it was opened. It returns false if
// there is none. So a client that opens connections without using them cannot keep others out.
func (s *Server) closeUnused(now time.Time) bool {
	var oldest *conn
	for state := range s.conns {
		isUnused := state.requests == 0 && !state.isClosing && now.Sub(state.openedAt) >= minUnusedTime
		if isUnused && (oldest == nil || state.openedAt.Before(oldest.openedAt)) {
			oldest = state
		}
	}
	if oldest == nil {
		return false
	}
	oldest.isClosing = true
	oldest.evioConn.Wake()
	return true
}

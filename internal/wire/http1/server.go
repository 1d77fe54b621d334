package http1

import (
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/tidwall/evio"
)

// Request is one request that waits for its answer.
type Request struct {
	Message
	FromPeer bool // came in on the controllers' own address
	conn     *conn
}

// conn is the state of one connection. The evio loop owns buf, waiting and touched;
// out is handed over under the lock.
type conn struct {
	events           evio.Conn
	buffer           []byte
	awaitingResponse bool
	isClosing        bool
	lastActivity     time.Time
	mu               sync.Mutex
	output           []byte
	responded        bool
	aborted          bool // the connection ends without an answer
}

// ServerOptions bound a server.
type ServerOptions struct {
	PublicAddr, PeerAddr string // Peer may be empty
	MaxConnections       int
	IdleTimeout          time.Duration // a connection with no request for this long is closed
	ReadTimeout          time.Duration // a request has to be whole within this
	Handler              func(*Request)
}

// Server is the evio server of one controller.
type Server struct {
	options ServerOptions
	conns   map[*conn]struct{} // owned by the evio loop
}

// NewServer makes a server; Run starts it.
func NewServer(options ServerOptions) *Server {
	return &Server{options: options, conns: map[*conn]struct{}{}}
}

// Run serves until the listeners fail.
func (s *Server) Run() error {
	events := evio.Events{NumLoops: 1, Opened: s.onOpened, Closed: s.onClosed, Data: s.onData, Tick: s.onTick}
	addrs := []string{"tcp://" + s.options.PublicAddr}
	if s.options.PeerAddr != "" {
		addrs = append(addrs, "tcp://"+s.options.PeerAddr)
	}
	if err := evio.Serve(events, addrs...); err != nil {
		return err
	}
	// evio ends its loop without an error of its own when accept fails.
	return errors.New("the accept loop ended")
}

// minServeTime is how long a server has to run for its end not to mean that its address cannot be had.
const minServeTime = time.Second

// RunWithRestart serves, and again whenever evio ends its loop, as it does where sockets run out. It returns only if
// the address cannot be had.
func (s *Server) RunWithRestart(log *slog.Logger) error {
	for {
		startedAt := time.Now()
		err := s.Run()
		if time.Since(startedAt) < minServeTime {
			return fmt.Errorf("serve %s: %w", s.options.PublicAddr, err)
		}
		log.Error("the server stopped and is started again", "error", err)
		time.Sleep(500 * time.Millisecond)
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

func (s *Server) onData(connection evio.Conn, input []byte) ([]byte, evio.Action) {
	state, ok := connection.Context().(*conn)
	if !ok {
		return nil, evio.Close
	}
	if input == nil {
		return s.onWake(state)
	}
	if state.isClosing {
		return nil, evio.None
	}
	if state.awaitingResponse {
		// Requests are not sent pipelined: what comes early is dropped, and the
		// connection ends with the answer that is due.
		state.isClosing = true
		return nil, evio.None
	}
	if len(state.buffer) == 0 {
		state.lastActivity = time.Now()
	}
	state.buffer = append(state.buffer, input...)
	message, used, err := Parse(state.buffer, false, MaxBodyBytes)
	if err != nil {
		state.isClosing = true
		status := 400
		var protocolErr *ProtocolError
		if errors.As(err, &protocolErr) {
			status = protocolErr.Status
		}
		return AppendResponse(nil, status, nil, 0, true), evio.Close
	}
	if message == nil {
		return nil, evio.None
	}
	if used < len(state.buffer) || message.CloseConnection {
		state.isClosing = true
	}
	// The body is the request's own from here on; the buffer starts anew.
	state.buffer = nil
	state.awaitingResponse = true
	s.options.Handler(&Request{Message: *message, FromPeer: connection.AddrIndex() == 1, conn: state})
	return nil, evio.None
}

func (s *Server) onWake(state *conn) ([]byte, evio.Action) {
	state.mu.Lock()
	output := state.output
	state.output = nil
	state.responded = false
	aborted := state.aborted
	state.mu.Unlock()
	if aborted {
		return nil, evio.Close
	}
	action := evio.None
	if output != nil {
		state.awaitingResponse = false
		state.lastActivity = time.Now()
	}
	if state.isClosing && !state.awaitingResponse {
		action = evio.Close
	}
	return output, action
}

// Respond answers the request; only the first answer counts. It may be called from any
// goroutine.
func (r *Request) Respond(status int, body []byte, retryAfter time.Duration) {
	r.send(AppendResponse(nil, status, body, retryAfter, r.Message.CloseConnection))
}

func (r *Request) send(out []byte) {
	c := r.conn
	c.mu.Lock()
	if c.responded {
		c.mu.Unlock()
		return
	}
	c.responded = true
	c.output = out
	c.mu.Unlock()
	c.events.Wake()
}

// Abort ends the connection without an answer: whoever asked learns that nobody knows what
// became of the request.
func (r *Request) Abort() {
	c := r.conn
	c.mu.Lock()
	c.responded, c.aborted = true, true
	c.mu.Unlock()
	c.events.Wake()
}

// RespondText answers with plain text, as metrics are.
func (r *Request) RespondText(status int, contentType string, body []byte) {
	r.send(AppendTextResponse(nil, status, contentType, body, r.Message.CloseConnection))
}

func (s *Server) onTick() (time.Duration, evio.Action) {
	now := time.Now()
	for state := range s.conns {
		idle := now.Sub(state.lastActivity)
		if !state.awaitingResponse && (len(state.buffer) > 0 && idle > s.options.ReadTimeout || idle > s.options.IdleTimeout) {
			state.isClosing = true
			state.events.Wake()
		}
	}
	return time.Second, evio.None
}

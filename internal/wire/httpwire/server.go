package httpwire

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
	Peer bool // came in on the controllers' own address
	conn *conn
}

// conn is the state of one connection. The evio loop owns buf, waiting and touched;
// out is handed over under the lock.
type conn struct {
	ev       evio.Conn
	buf      []byte
	waiting  bool
	closing  bool
	touched  time.Time
	mu       sync.Mutex
	out      []byte
	answered bool
	dropped  bool // the connection ends without an answer
}

// ServerOptions bound a server.
type ServerOptions struct {
	Public, Peer string // Peer may be empty
	MaxConns     int
	Idle         time.Duration // a connection with no request for this long is closed
	Slow         time.Duration // a request has to be whole within this
	Handle       func(*Request)
}

// Server is the evio server of one controller.
type Server struct {
	opt   ServerOptions
	conns map[*conn]struct{} // owned by the evio loop
}

// NewServer makes a server; Run starts it.
func NewServer(opt ServerOptions) *Server {
	return &Server{opt: opt, conns: map[*conn]struct{}{}}
}

// Run serves until the listeners fail.
func (s *Server) Run() error {
	events := evio.Events{NumLoops: 1, Opened: s.opened, Closed: s.closed, Data: s.data, Tick: s.tick}
	addrs := []string{"tcp://" + s.opt.Public}
	if s.opt.Peer != "" {
		addrs = append(addrs, "tcp://"+s.opt.Peer)
	}
	if err := evio.Serve(events, addrs...); err != nil {
		return err
	}
	// evio ends its loop without an error of its own when accept fails.
	return errors.New("the accept loop ended")
}

// settled is how long a server has to run for its end not to mean that its address cannot be had.
const settled = time.Second

// Keep serves, and again whenever evio ends its loop, as it does where sockets run out. It returns only if
// the address cannot be had.
func (s *Server) Keep(log *slog.Logger) error {
	for {
		began := time.Now()
		err := s.Run()
		if time.Since(began) < settled {
			return fmt.Errorf("serve %s: %w", s.opt.Public, err)
		}
		log.Error("the server stopped and is started again", "error", err)
		time.Sleep(500 * time.Millisecond)
	}
}

func (s *Server) opened(c evio.Conn) ([]byte, evio.Options, evio.Action) {
	// evio ends its whole loop when accept fails, so the last sockets are never used up.
	if len(s.conns) >= s.opt.MaxConns {
		return nil, evio.Options{}, evio.Close
	}
	st := &conn{ev: c, touched: time.Now()}
	c.SetContext(st)
	s.conns[st] = struct{}{}
	return nil, evio.Options{ReuseInputBuffer: true}, evio.None
}

func (s *Server) closed(c evio.Conn, _ error) evio.Action {
	if st, ok := c.Context().(*conn); ok {
		delete(s.conns, st)
	}
	return evio.None
}

func (s *Server) data(c evio.Conn, in []byte) ([]byte, evio.Action) {
	st, ok := c.Context().(*conn)
	if !ok {
		return nil, evio.Close
	}
	if in == nil {
		return s.woken(st)
	}
	if st.closing {
		return nil, evio.None
	}
	if st.waiting {
		// Requests are not sent pipelined: what comes early is dropped, and the
		// connection ends with the answer that is due.
		st.closing = true
		return nil, evio.None
	}
	if len(st.buf) == 0 {
		st.touched = time.Now()
	}
	st.buf = append(st.buf, in...)
	msg, n, err := Parse(st.buf, false, MaxBody)
	if err != nil {
		st.closing = true
		status := 400
		var f *Fault
		if errors.As(err, &f) {
			status = f.Status
		}
		return AppendResponse(nil, status, nil, 0, true), evio.Close
	}
	if msg == nil {
		return nil, evio.None
	}
	if n < len(st.buf) || msg.Close {
		st.closing = true
	}
	// The body is the request's own from here on; the buffer starts anew.
	st.buf = nil
	st.waiting = true
	s.opt.Handle(&Request{Message: *msg, Peer: c.AddrIndex() == 1, conn: st})
	return nil, evio.None
}

func (s *Server) woken(st *conn) ([]byte, evio.Action) {
	st.mu.Lock()
	out := st.out
	st.out = nil
	st.answered = false
	dropped := st.dropped
	st.mu.Unlock()
	if dropped {
		return nil, evio.Close
	}
	action := evio.None
	if out != nil {
		st.waiting = false
		st.touched = time.Now()
	}
	if st.closing && !st.waiting {
		action = evio.Close
	}
	return out, action
}

// Reply answers the request; only the first answer counts. It may be called from any
// goroutine.
func (r *Request) Reply(status int, body []byte, retry time.Duration) {
	r.answer(AppendResponse(nil, status, body, retry, r.Message.Close))
}

func (r *Request) answer(out []byte) {
	st := r.conn
	st.mu.Lock()
	if st.answered {
		st.mu.Unlock()
		return
	}
	st.answered = true
	st.out = out
	st.mu.Unlock()
	st.ev.Wake()
}

// Drop ends the connection without an answer: whoever asked learns that nobody knows what
// became of the request.
func (r *Request) Drop() {
	st := r.conn
	st.mu.Lock()
	st.answered, st.dropped = true, true
	st.mu.Unlock()
	st.ev.Wake()
}

// ReplyText answers with plain text, as metrics are.
func (r *Request) ReplyText(status int, kind string, body []byte) {
	r.answer(AppendText(nil, status, kind, body, r.Message.Close))
}

func (s *Server) tick() (time.Duration, evio.Action) {
	now := time.Now()
	for st := range s.conns {
		idle := now.Sub(st.touched)
		if !st.waiting && (len(st.buf) > 0 && idle > s.opt.Slow || idle > s.opt.Idle) {
			st.closing = true
			st.ev.Wake()
		}
	}
	return time.Second, evio.None
}

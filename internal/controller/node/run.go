package node

import (
	"log/slog"
	"runtime/debug"
	"strings"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/wire/httpwire"
	"gullrudder/internal/wire/inbox"
	"gullrudder/internal/wire/outbox"
	"gullrudder/internal/wire/packed"
)

const (
	queueLength = 4096
	batch       = 128
)

type arrived struct {
	*httpwire.Request
	at time.Time
}

// Runtime connects a node with the clock and the network.
type Runtime struct {
	node *Node
	cfg  *config.Platform
	log  *slog.Logger
	// Answers to our calls, the renewal's among them, do not queue behind requests.
	queue    chan Command
	outcomes chan Command
	clients  map[outbox.Service]*httpwire.Client
}

// NewRuntime makes the runtime of a node.
func NewRuntime(n *Node, cfg *config.Platform, log *slog.Logger) *Runtime {
	// The server has three quarters of the sockets. Each far side has a part of the rest, so
	// that no bulk work leaves the renewal or the other controllers without one. Questions to
	// workers are asked once: their connections are not kept.
	share := max(cfg.Connections/12, 4)
	return &Runtime{node: n, cfg: cfg, log: log, queue: make(chan Command, queueLength), outcomes: make(chan Command, queueLength),
		clients: map[outbox.Service]*httpwire.Client{
			outbox.State:  httpwire.NewClient(max(share/4, 4), 4, largest),
			outbox.Cloud:  httpwire.NewClient(max(share/4, 4), 4, largest),
			outbox.Peer:   httpwire.NewClient(share, 8, largest),
			outbox.Worker: httpwire.NewClient(share, 0, largest),
		}}
}

// largest bounds the answers that are read: the cloud's lists and the ledger's pages.
const largest = 16 << 20

// Serve runs the node for ever.
func (rt *Runtime) Serve() {
	// The collector runs seldom as long as there is memory: it takes from the same processor.
	// Two fifths of the memory that is ours are left to what the collector does not count.
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(int64(rt.cfg.MemoryMB * 0.6 * (1 << 20)))
	go rt.listen()
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	commands := make([]Command, 0, batch)
	for {
		commands = commands[:0]
		select {
		case c := <-rt.outcomes:
			commands = append(commands, c)
		case c := <-rt.queue:
			commands = append(commands, c)
		case <-ticker.C:
		}
		commands = drain(rt.outcomes, commands)
		commands = drain(rt.queue, commands)
		rt.carryOut(rt.node.Step(time.Now(), commands))
	}
}

// drain takes what waits in a queue, up to a whole batch.
func drain(queue <-chan Command, commands []Command) []Command {
	for len(commands) < batch {
		select {
		case c := <-queue:
			commands = append(commands, c)
		default:
			return commands
		}
	}
	return commands
}

func (rt *Runtime) listen() {
	server := httpwire.NewServer(httpwire.ServerOptions{Public: rt.cfg.Public, Peer: rt.cfg.PeerBind,
		MaxConns: max(rt.cfg.Connections*3/4, 8), Idle: 75 * time.Second, Slow: 10 * time.Second,
		Handle: rt.handle})
	for {
		err := server.Run()
		rt.log.Error("the server stopped and is started again", "error", err)
		time.Sleep(500 * time.Millisecond)
	}
}

func (rt *Runtime) handle(r *httpwire.Request) {
	select {
	case rt.queue <- Command{Request: &inbox.Request{Ref: arrived{r, time.Now()}, Peer: r.Peer, Method: r.Method, Target: r.Target, Body: r.Body}}:
	default:
		r.Reply(503, nil, time.Second)
	}
}

func (rt *Runtime) carryOut(e Effects) {
	for _, r := range e.Replies {
		if a, ok := r.Ref.(arrived); ok {
			a.Reply(r.Status, r.Body, r.Retry)
			rt.node.Took(kindOfRequest(a.Method, a.Target, r.Status), time.Since(a.at))
		}
	}
	for _, c := range e.Calls {
		go rt.call(c)
	}
}

// kindOfRequest groups requests for the latency table; what was not understood is one
// group, so that strangers cannot make the table grow.
func kindOfRequest(method, target string, status int) string {
	if status == 404 || status == 405 {
		return "other"
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(target, "/"), "/")
	path, _, _ := strings.Cut(first, "?")
	return method + " /" + path
}

func (rt *Runtime) call(c outbox.Call) {
	if c.After > 0 {
		time.Sleep(c.After)
	}
	rt.outcomes <- Command{Outcome: &Outcome{Call: c, Result: rt.exchange(c)}}
}

func (rt *Runtime) exchange(c outbox.Call) outbox.Result {
	addr := c.Addr
	switch c.Service {
	case outbox.State:
		addr = rt.cfg.StateAddr
	case outbox.Cloud:
		addr = rt.cfg.CloudAddr
	}
	body, ok := Raw(c.Body)
	if !ok && c.Body != nil {
		var err error
		if body, err = packed.Marshal(c.Body); err != nil {
			rt.log.Error("a request cannot be encoded", "path", c.Path, "error", err)
			return outbox.Result{Err: err}
		}
	}
	msg, err := rt.clients[c.Service].Do(addr, c.Method, c.Path, body, c.Timeout)
	if err != nil {
		rt.log.Debug("a call failed", "error", err)
		return outbox.Result{Err: err}
	}
	return outbox.Result{Status: msg.Status, Body: msg.Body, RetryAfter: msg.RetryAfter}
}

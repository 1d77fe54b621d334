package controller

import (
	"log/slog"
	"runtime/debug"
	"strings"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/http1"
	"gullrudder/internal/wire/server"
)

const (
	commandQueueLength = 4096
	maxBatch           = 128
)

type receivedRequest struct {
	*http1.Request
	receivedAt time.Time
}

// Runtime connects a node with the clock and the network.
type Runtime struct {
	controller *Controller
	platform   *config.Platform
	log        *slog.Logger
	// Answers to our calls, the renewal's among them, do not queue behind requests.
	queue    chan Command
	outcomes chan Command
	clients  map[client.Destination]*http1.Client
}

// NewRuntime makes the runtime of a node.
func NewRuntime(n *Controller, platform *config.Platform, log *slog.Logger) *Runtime {
	// The server has three quarters of the sockets. Each far side has a part of the rest, so
	// that no bulk work leaves the renewal or the other controllers without one. Questions to
	// workers are asked once: their connections are not kept.
	socketsPerService := max(platform.MaxConnections/12, 4)
	return &Runtime{
		controller: n,
		platform:   platform,
		log:        log,
		queue:      make(chan Command, commandQueueLength),
		outcomes:   make(chan Command, commandQueueLength),
		clients: map[client.Destination]*http1.Client{
			client.StateService:   http1.NewClient(max(socketsPerService/4, 4), 4, maxResponseBytes),
			client.CloudAPI:       http1.NewClient(max(socketsPerService/4, 4), 4, maxResponseBytes),
			client.PeerController: http1.NewClient(socketsPerService, 8, maxResponseBytes),
			client.WorkerAgent:    http1.NewClient(socketsPerService, 0, maxResponseBytes),
		},
	}
}

// maxResponseBytes bounds the answers that are read: the cloud's lists and the ledger's pages.
const maxResponseBytes = 16 << 20

// Serve runs the node for ever.
func (rt *Runtime) Serve() {
	// The collector runs seldom as long as there is memory: it takes from the same processor.
	// Two fifths of the memory that is ours are left to what the collector does not count.
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(int64(rt.platform.MemoryQuotaMB * 0.6 * (1 << 20)))
	go rt.listen()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	commands := make([]Command, 0, maxBatch)
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
		rt.execute(rt.controller.Step(time.Now(), commands))
	}
}

// drain takes what waits in a queue, up to a whole batch.
func drain(queue <-chan Command, commands []Command) []Command {
	for len(commands) < maxBatch {
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
	server := http1.NewServer(http1.ServerOptions{
		PublicAddr: rt.platform.PublicAddr, PeerAddr: rt.platform.PeerListenAddr,
		MaxConnections: max(rt.platform.MaxConnections*3/4, 8), IdleTimeout: 75 * time.Second, ReadTimeout: 10 * time.Second,
		Handler: rt.handle,
	})
	for {
		err := server.Run()
		rt.log.Error("the server stopped and is started again", "error", err)
		time.Sleep(500 * time.Millisecond)
	}
}

func (rt *Runtime) handle(r *http1.Request) {
	select {
	case rt.queue <- Command{Request: &server.Request{Handle: receivedRequest{r, time.Now()}, FromPeer: r.FromPeer, Method: r.Method, Target: r.Target, Body: r.Body}}:
	default:
		r.Respond(503, nil, time.Second)
	}
}

func (rt *Runtime) execute(e Effects) {
	for _, r := range e.Replies {
		if received, ok := r.Handle.(receivedRequest); ok {
			received.Respond(r.Status, r.Body, r.RetryAfter)
			rt.controller.RecordLatency(requestKind(received.Method, received.Target, r.Status), time.Since(received.receivedAt))
		}
	}
	for _, c := range e.Calls {
		go rt.call(c)
	}
}

// requestKind groups requests for the latency table; what was not understood is one
// group, so that strangers cannot make the table grow.
func requestKind(method, target string, status int) string {
	if status == 404 || status == 405 {
		return "other"
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(target, "/"), "/")
	path, _, _ := strings.Cut(first, "?")
	return method + " /" + path
}

func (rt *Runtime) call(c client.Call) {
	if c.Delay > 0 {
		time.Sleep(c.Delay)
	}
	rt.outcomes <- Command{Outcome: &Outcome{Call: c, Result: rt.exchange(c)}}
}

func (rt *Runtime) exchange(call client.Call) client.Result {
	address := call.Addr
	switch call.Destination {
	case client.StateService:
		address = rt.platform.StateAddr
	case client.CloudAPI:
		address = rt.platform.CloudAddr
	}
	body, ok := ForwardedBody(call.Body)
	if !ok && call.Body != nil {
		var err error
		if body, err = codec.Marshal(call.Body); err != nil {
			rt.log.Error("a request cannot be encoded", "path", call.Path, "error", err)
			return client.Result{Err: err}
		}
	}
	response, err := rt.clients[call.Destination].Do(address, call.Method, call.Path, body, call.Timeout)
	if err != nil {
		rt.log.Debug("a call failed", "error", err)
		return client.Result{Err: err}
	}
	return client.Result{Status: response.Status, Body: response.Body, RetryAfter: response.RetryAfter}
}

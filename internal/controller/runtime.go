package controller

import (
	"log/slog"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/eventloop"
	"gullrudder/internal/logkeys"
	"gullrudder/internal/units"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/http1"
	"gullrudder/internal/wire/server"
)

const (
	// inputQueueLength bounds the requests that wait for the event loop. Further requests are refused with status 503.
	inputQueueLength = 4096
	// maxBatchSize bounds the inputs of one step, so that ticks are not delayed.
	maxBatchSize = 128
	// maxResponseBytes bounds the size of a response. The largest responses are lists of cloud instances and pages of state.
	maxResponseBytes = 16 << 20
	// serverRestartDelay is the time before a server that has stopped is started again.
	serverRestartDelay = 500 * time.Millisecond
	// idleTimeout and readTimeout apply to the connections of the server.
	idleTimeout = 75 * time.Second
	readTimeout = 10 * time.Second
	// minServerConnections and minClientConnections are lower bounds that apply however small the connection limit is.
	minServerConnections = 8
	minClientConnections = 4
	// maxIdleConnections bounds the idle connections that are kept open to the state service, and those to the cloud API.
	// maxIdlePeerConnections bounds those to each other controller. Connections to workers are not kept, since probes are rare.
	maxIdleConnections     = 4
	maxIdlePeerConnections = 8
	// gcPercent makes garbage collections rare until the memory limit is near, since they use the same CPU quota.
	gcPercent = 400
	// heapShare is the share of the memory quota for the Go heap. The rest is for memory that the runtime does not count.
	heapShare = 0.6
)

// receivedRequest is a request with the connection for its response, and the time of its arrival.
type receivedRequest struct {
	*http1.Request
	receivedAt time.Time
}

// Runtime connects a controller with the clock and the network. It runs the event loop: one goroutine that calls Step. The server
// and each outgoing call have their own goroutines, which communicate with the event loop through the queues only.
type Runtime struct {
	controller *Controller
	platform   *config.Platform
	log        *slog.Logger
	queue      chan Input
	outcomes   chan Input // outcomes of calls, such as renewals of the leader lease, which must not wait behind requests
	clients    map[client.Destination]*http1.Client
}

// NewRuntime returns the runtime of a controller. The server may use three quarters of the connections. Each destination of calls has
// a fixed part of the rest, so that many calls to one destination cannot block the renewal of the leader lease or the pings. The peers and
// the workers, which are many servers, have a larger part than the state service and the cloud API.
func NewRuntime(controller *Controller, platform *config.Platform, log *slog.Logger) *Runtime {
	multiServerConnections := max(platform.MaxConnections/12, minClientConnections)
	singleServerConnections := max(multiServerConnections/4, minClientConnections)
	return &Runtime{
		controller: controller,
		platform:   platform,
		log:        log,
		queue:      make(chan Input, inputQueueLength),
		outcomes:   make(chan Input, inputQueueLength),
		clients: map[client.Destination]*http1.Client{
			client.StateService:   http1.NewClient(singleServerConnections, maxIdleConnections, maxResponseBytes),
			client.CloudAPI:       http1.NewClient(singleServerConnections, maxIdleConnections, maxResponseBytes),
			client.PeerController: http1.NewClient(multiServerConnections, maxIdlePeerConnections, maxResponseBytes),
			client.WorkerAgent:    http1.NewClient(multiServerConnections, 0, maxResponseBytes),
		},
	}
}

// Serve runs the controller. It does not return; a signal ends the process.
func (rt *Runtime) Serve() {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(rt.platform.MemoryQuotaMB * heapShare * units.BytesPerMB))
	go rt.listen()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	inputs := make([]Input, 0, maxBatchSize)
	for {
		inputs = inputs[:0]
		select {
		case input := <-rt.outcomes:
			inputs = append(inputs, input)
		case input := <-rt.queue:
			inputs = append(inputs, input)
		case <-ticker.C:
		}
		inputs = eventloop.Drain(rt.outcomes, inputs)
		inputs = eventloop.Drain(rt.queue, inputs)
		rt.execute(rt.controller.Step(time.Now(), inputs))
	}
}

// listen runs the server, and restarts it if accepting connections fails, for example for lack of file descriptors.
func (rt *Runtime) listen() {
	httpServer := http1.NewServer(http1.ServerOptions{
		PublicAddr:     rt.platform.PublicAddr,
		PeerAddr:       rt.platform.PeerListenAddr,
		MaxConnections: max(rt.platform.MaxConnections*3/4, minServerConnections),
		IdleTimeout:    idleTimeout,
		ReadTimeout:    readTimeout,
		Handler:        rt.handle,
		Log:            rt.log,
	})
	for {
		err := httpServer.Run()
		rt.log.Error("server stopped, restarting", logkeys.Err, err)
		time.Sleep(serverRestartDelay)
	}
}

// handle puts a request into the queue, or refuses it if the queue is full. It runs on the server's goroutines.
func (rt *Runtime) handle(request *http1.Request) {
	input := Input{Request: &server.Request{
		Handle:   receivedRequest{request, time.Now()},
		FromPeer: request.FromPeer,
		Method:   request.Method,
		Target:   request.Target,
		Body:     request.Body,
	}}
	select {
	case rt.queue <- input:
	default:
		request.Respond(http.StatusServiceUnavailable, nil, time.Second)
	}
}

// execute sends the responses of a step and starts its calls, each on its own goroutine.
func (rt *Runtime) execute(effects Effects) {
	for _, response := range effects.Responses {
		if received, ok := response.Handle.(receivedRequest); ok {
			received.Respond(response.Status, response.Body, response.RetryAfter)
			kind := requestKind(received.Method, received.Target, response.Status)
			rt.controller.recordLatency(kind, time.Since(received.receivedAt))
		}
	}
	for _, call := range effects.Calls {
		go rt.call(call)
	}
}

// requestKind returns the kind of a request in the latency table: its method and the first segment of its path. Requests for unknown
// paths or methods share one kind, so that clients cannot make the table grow.
func requestKind(method, target string, status int) string {
	if status == http.StatusNotFound || status == http.StatusMethodNotAllowed {
		return "other"
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(target, "/"), "/")
	path, _, _ := strings.Cut(first, "?")
	return method + " /" + path
}

// call makes a call and puts its outcome into the queue. It takes at most the delay and the timeout of the call.
func (rt *Runtime) call(call client.Call) {
	if call.Delay > 0 {
		time.Sleep(call.Delay)
	}
	rt.outcomes <- Input{Outcome: &Outcome{Call: call, Result: rt.exchange(call)}}
}

// exchange sends the request of a call and reads the response. After an error the status of the result is 0 and the outcome is
// uncertain: the request may have been executed, or may be executed later.
func (rt *Runtime) exchange(call client.Call) client.Result {
	addr := call.Addr
	switch call.Destination {
	case client.StateService:
		addr = rt.platform.StateAddr
	case client.CloudAPI:
		addr = rt.platform.CloudAddr
	}
	body, ok := ForwardedBody(call.Body)
	if !ok && call.Body != nil {
		var err error
		if body, err = codec.Marshal(call.Body); err != nil {
			rt.log.Error("request encoding failed", logkeys.Path, call.Path, logkeys.Err, err)
			return client.Result{Err: err}
		}
	}
	response, err := rt.clients[call.Destination].Do(addr, call.Method, call.Path, body, call.Timeout)
	if err != nil {
		rt.log.Debug("call failed", logkeys.Path, call.Path, logkeys.Err, err)
		return client.Result{Err: err}
	}
	return client.Result{Status: response.Status, Body: response.Body, RetryAfter: response.RetryAfter}
}

package kvserver

import (
	"log/slog"
	"net/http"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/eventloop"
	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/http1"
)

const (
	// requestQueueLength bounds the requests that wait for a step. Further ones get status 503 at once.
	requestQueueLength = 4096
	// maxBatchRequests bounds the requests of a step. The disk syncs the records of earlier steps while a step is processed. With
	// large steps the disk and the processor would wait for each other.
	maxBatchRequests = 16
	// responseQueueLength bounds the groups of steps whose responses wait to be encoded and sent.
	responseQueueLength = 256
	// tickInterval is the time between checks of leases and watches when there are no requests.
	tickInterval = 20 * time.Millisecond
	// idleTimeout closes a connection that has no request in progress. An open watch is a request in progress.
	idleTimeout = 75 * time.Second
	// readTimeout closes a connection whose request has been incomplete for this long.
	readTimeout = 10 * time.Second
)

// Server connects a State to the network, the clock and the disk. The work is shared by four kinds of goroutines, each with its own
// state:
//   - the event loop steps the State,
//   - the writer appends to the log,
//   - the sender encodes and sends responses,
//   - a further one writes a snapshot when one is due.
//
// The goroutines run until the process ends.
//
// While the disk syncs the records of some steps, the following steps are collected. Their responses wait for the next sync. Responses to
// reads wait too, because they may contain changes that are not durable yet and that a crash would revert.
type Server struct {
	state     *State
	storage   *Storage
	options   config.KVServerOptions
	log       *slog.Logger
	metrics   *Metrics
	requests  chan Request
	responses chan []Effects // of steps whose records are durable
	writes    writePipeline
	snapshots snapshotSchedule
}

// NewServer returns a server for the state and storage that Open returned. It does nothing until Serve is called.
func NewServer(state *State, storage *Storage, options config.KVServerOptions, metrics *Metrics, log *slog.Logger) *Server {
	return &Server{
		state: state, storage: storage, options: options, log: log, metrics: metrics,
		requests:  make(chan Request, requestQueueLength),
		responses: make(chan []Effects, responseQueueLength),
		writes:    writePipeline{jobs: make(chan writeJob, 1), results: make(chan writeResult, 1)},
		snapshots: snapshotSchedule{results: make(chan snapshotResult, 1)},
	}
}

// Serve starts the goroutines and serves requests at an address. It returns only if it cannot listen on the address. It may be called
// only once.
func (s *Server) Serve(addr string) error {
	go s.runWriter()
	go s.runEventLoop()
	go s.runSender()
	server := http1.NewServer(http1.ServerOptions{
		PublicAddr: addr, MaxConnections: s.options.MaxConnections, IdleTimeout: idleTimeout, ReadTimeout: readTimeout,
		Handler: s.enqueue, Log: s.log,
	})
	return server.RunWithRestart(s.log)
}

// enqueue queues a request for the event loop, or refuses it if the queue is full. It runs on the goroutine of the connections.
func (s *Server) enqueue(r *http1.Request) {
	select {
	case s.requests <- Request{Handle: r, Method: r.Method, Target: r.Target, Body: r.Body}:
	default:
		s.metrics.shedCount.Inc()
		r.Respond(http.StatusServiceUnavailable, nil, limitRetryAfter)
	}
}

// runEventLoop steps the state with the requests, and handles the results of the other goroutines.
func (s *Server) runEventLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	batch := make([]Request, 0, maxBatchRequests)
	for {
		batch = batch[:0]
		select {
		case r := <-s.requests:
			batch = append(batch, r)
		case result := <-s.writes.results:
			s.handleWriteResult(time.Now(), result)
		case result := <-s.snapshots.results:
			s.handleSnapshotResult(time.Now(), result)
		case <-ticker.C:
		}
		batch = eventloop.Drain(s.requests, batch)
		now := time.Now()
		if effects := s.state.Step(now, batch); len(effects.Records) > 0 || len(effects.Responses) > 0 {
			s.writes.pending = append(s.writes.pending, effects)
		}
		s.submitPending(now)
		s.metrics.observeState(s.state, len(s.requests), s.storage.uncoveredBytes())
	}
}

// runSender encodes and sends the responses of steps whose records are durable.
func (s *Server) runSender() {
	for steps := range s.responses {
		for _, effects := range steps {
			for _, response := range effects.Responses {
				s.sendResponse(response)
			}
		}
	}
}

func (s *Server) sendResponse(response Response) {
	status := response.Status
	body, err := codec.Marshal(response.Body)
	if err != nil {
		s.log.Error("response encoding failed", logkeys.Status, status, logkeys.Err, err)
		status, body = http.StatusServiceUnavailable, nil
	}
	if request, ok := response.Handle.(*http1.Request); ok {
		s.metrics.countResponse(request.Method, request.Target, status)
		request.Respond(status, body, response.RetryAfter)
	}
}

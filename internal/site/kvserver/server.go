package kvserver

import (
	"errors"
	"log/slog"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/http1"
)

const (
	requestQueueLength = 4096
	// maxBatchRequests bounds a step. While the disk syncs what a step has changed, the next one
	// is worked through: with large steps one would wait for the other.
	maxBatchRequests    = 16
	responseQueueLength = 256 // steps whose answers are on their way out
	tickInterval        = 20 * time.Millisecond
	// snapshotRetryIntervals is after how many tries of the disk a snapshot that failed is tried again.
	snapshotRetryIntervals = 10
)

// Server connects a State with the network, the clock and the disk. One goroutine owns the
// state; while the disk syncs one step's records, the next steps gather. Their answers wait,
// also those of reads: what a read has seen might else be gone after a crash.
type Server struct {
	state    *State
	storage  *Storage
	options  config.KVServer
	log      *slog.Logger
	metrics  *Metrics
	requests chan Request

	pendingSteps      []Effects // steps whose records are not on their way yet
	inFlightSteps     []Effects // steps whose records are being kept
	inFlightBytes     int       // of these
	writeResults      chan writeResult
	writeJobs         chan writeJob
	snapshotResults   chan snapshotResult
	responses         chan []Effects // on their way out
	snapshotRunning   bool           // one is under way
	snapshotBeginning bool           // one begins after the records that are on their way
	nextSnapshotAt    time.Time      // no snapshot before this
	nextRepairAt      time.Time
	repairPending     bool // a repair is under way
}

type writeJob struct {
	records  []byte
	revision uint64
	view     *View // a snapshot of it is to begin after this
	repair   bool
}

type writeResult struct {
	err         error
	duration    time.Duration
	broken      bool
	repair      bool
	snapshot    *SnapshotWriter
	snapshotErr error
}

type snapshotResult struct {
	snapshot *SnapshotWriter
	err      error
	duration time.Duration
}

// NewServer makes the service of a store that was opened.
func NewServer(state *State, storage *Storage, options config.KVServer, metrics *Metrics, log *slog.Logger) *Server {
	return &Server{
		state:    state,
		storage:  storage,
		options:  options,
		log:      log,
		metrics:  metrics,
		requests: make(chan Request, requestQueueLength),
		writeResults: make(
			chan writeResult,
			1,
		),
		writeJobs:       make(chan writeJob, 1),
		snapshotResults: make(chan snapshotResult, 1),
		responses:       make(chan []Effects, responseQueueLength),
	}
}

// Serve runs the service at an address; it returns only if that cannot be had.
func (s *Server) Serve(addr string) error {
	go s.runWriter()
	go s.runOwner()
	go func() {
		for steps := range s.responses {
			s.sendResponses(steps)
		}
	}()
	server := http1.NewServer(http1.ServerOptions{
		PublicAddr: addr, MaxConnections: s.options.MaxConnections, IdleTimeout: 75 * time.Second,
		ReadTimeout: 10 * time.Second, Handler: s.enqueue,
	})
	return server.RunWithRestart(s.log)
}

func (s *Server) enqueue(r *http1.Request) {
	select {
	case s.requests <- Request{Handle: r, Method: r.Method, Target: r.Target, Body: r.Body}:
	default:
		s.metrics.shedCount.Inc()
		r.Respond(503, nil, time.Second)
	}
}

// runWriter is the only one that writes to the log.
func (s *Server) runWriter() {
	for job := range s.writeJobs {
		startedAt := time.Now()
		result := writeResult{repair: job.repair}
		if job.repair {
			result.err = s.storage.Repair(job.revision)
		} else {
			result.err = s.storage.Append(job.records)
		}
		result.duration = time.Since(startedAt)
		if result.err == nil && job.view != nil {
			result.snapshot, result.snapshotErr = s.storage.BeginSnapshot(job.view)
		}
		result.broken = s.storage.IsBroken()
		s.writeResults <- result
	}
}

func (s *Server) runOwner() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	batch := make([]Request, 0, maxBatchRequests)
	for {
		batch = batch[:0]
		select {
		case r := <-s.requests:
			batch = append(batch, r)
		case result := <-s.writeResults:
			s.handleWriteResult(time.Now(), result)
		case result := <-s.snapshotResults:
			s.handleSnapshotResult(time.Now(), result)
		case <-ticker.C:
		}
	fill:
		for len(batch) < maxBatchRequests {
			select {
			case r := <-s.requests:
				batch = append(batch, r)
			default:
				break fill
			}
		}
		now := time.Now()
		if effects := s.state.Step(now, batch); len(effects.Records) > 0 || len(effects.Responses) > 0 {
			s.pendingSteps = append(s.pendingSteps, effects)
		}
		s.submitPending(now)
		s.metrics.observeState(s.state, len(s.requests), s.storage.uncoveredLogBytes+s.storage.pendingSnapshotLogBytes)
	}
}

// submitPending sends what has gathered to the disk, or answers it if there is nothing to keep.
func (s *Server) submitPending(now time.Time) {
	if s.inFlightSteps != nil {
		return
	}
	if s.state.writesFailing && !s.repairPending && !now.Before(s.nextRepairAt) {
		s.repairPending = true
		s.writeJobs <- writeJob{repair: true, revision: s.state.revision}
	}
	var records []byte
	for _, e := range s.pendingSteps {
		records = append(records, e.Records...)
	}
	if len(records) == 0 {
		if len(s.pendingSteps) > 0 {
			s.responses <- s.pendingSteps
		}
		s.pendingSteps = nil
		return
	}
	job := writeJob{records: records, revision: s.state.revision}
	if !s.snapshotRunning && s.storage.IsSnapshotDue() && now.After(s.nextSnapshotAt) {
		// All that has gathered goes into this frame, so the content is what it will be
		// right after it.
		s.snapshotRunning, s.snapshotBeginning = true, true
		job.view = s.state.Freeze()
	}
	s.inFlightBytes = len(records)
	s.inFlightSteps, s.pendingSteps = s.pendingSteps, nil
	s.writeJobs <- job
}

func (s *Server) sendResponses(steps []Effects) {
	for _, e := range steps {
		for _, r := range e.Responses {
			s.sendResponse(r)
		}
	}
}

func (s *Server) sendResponse(r Response) {
	body, err := codec.Marshal(r.Body)
	if err != nil {
		s.log.Error("an answer cannot be encoded", "error", err)
		r.Status, body = 503, nil
	}
	if req, ok := r.Handle.(*http1.Request); ok {
		s.metrics.countResponse(req.Method, req.Target, r.Status)
		req.Respond(r.Status, body, r.RetryAfter)
	}
}

// handleWriteResult takes in what became of the records that were on their way.
func (s *Server) handleWriteResult(now time.Time, result writeResult) {
	if result.repair {
		s.handleRepairResult(now, result)
		return
	}
	steps := s.inFlightSteps
	s.inFlightSteps = nil
	if result.err == nil {
		s.storage.RecordAppended(s.inFlightBytes)
		s.metrics.observeSync(result.duration)
		s.responses <- steps
	} else {
		s.rollBack(steps, result.err)
	}
	if result.broken {
		s.state.SetWritesFailing(now, true)
		s.nextRepairAt = now.Add(s.options.DiskRetryInterval)
	}
	switch {
	case result.snapshot != nil:
		s.storage.RecordSnapshotBegun()
		go s.runSnapshot(result.snapshot)
	case result.snapshotErr != nil:
		s.deferSnapshot(now, result.snapshotErr)
	case result.err != nil && s.snapshotBeginning:
		s.snapshotRunning = false // it was to begin after these records
	}
	s.snapshotBeginning = false
}

// deferSnapshot gives a snapshot up for a while; the log grows on.
func (s *Server) deferSnapshot(now time.Time, err error) {
	s.snapshotRunning = false
	s.nextSnapshotAt = now.Add(snapshotRetryIntervals * s.options.DiskRetryInterval)
	s.metrics.failedSnapshotCount.Inc()
	s.log.Error("a snapshot failed; the log goes on", "error", err)
}

// rollBack undoes the steps whose records were not kept. Those that were never written, and
// those of which it is certain that they are not in the log, are told so; of the rest nobody
// knows.
func (s *Server) rollBack(steps []Effects, err error) {
	s.metrics.failedWriteCount.Inc()
	s.log.Error("changes cannot be kept", "error", err)
	for _, list := range [][]Effects{s.pendingSteps, steps} {
		for i := len(list) - 1; i >= 0; i-- {
			s.state.Undo(list[i])
		}
	}
	refuse := func(list []Effects) {
		for _, e := range list {
			for _, r := range e.Responses {
				s.sendResponse(
					Response{Handle: r.Handle, Status: 503, Body: errorResponse{"changes cannot be kept"}, RetryAfter: s.options.DiskRetryInterval},
				)
			}
		}
	}
	refuse(s.pendingSteps)
	s.pendingSteps = nil
	if errors.Is(err, ErrNotWritten) {
		refuse(steps)
		return
	}
	for _, e := range steps {
		for _, r := range e.Responses {
			if req, ok := r.Handle.(*http1.Request); ok {
				req.Abort()
			}
		}
	}
}

func (s *Server) handleRepairResult(now time.Time, result writeResult) {
	s.repairPending = false
	if result.err != nil {
		s.log.Error("the disk still fails", "error", result.err)
		s.nextRepairAt = now.Add(s.options.DiskRetryInterval)
		return
	}
	s.log.Info("changes are kept again, in a new segment of the log")
	s.state.SetWritesFailing(now, false)
}

// runSnapshot writes a snapshot while the service goes on, and lets go of the log that it covers.
func (s *Server) runSnapshot(writer *SnapshotWriter) {
	startedAt := time.Now()
	log := s.log.With("snapshot", writer.fileName())
	log.Info("snapshot begins", "revision", writer.view.revision, "keys", writer.view.tree.Len())
	err := writer.writeAll(func(stage string) { log.Info("snapshot " + stage) })
	if err != nil {
		err = errors.Join(err, writer.Abort())
	} else {
		log.Info("deleting the log that is covered")
		if err := s.storage.Prune(writer); err != nil {
			log.Error("what a snapshot covers cannot be removed", "error", err)
		}
	}
	s.snapshotResults <- snapshotResult{writer, err, time.Since(startedAt)}
}

func (s *Server) handleSnapshotResult(now time.Time, result snapshotResult) {
	s.storage.RecordSnapshotDone(result.snapshot, result.err == nil)
	if result.err != nil {
		s.deferSnapshot(now, result.err)
		return
	}
	s.snapshotRunning = false
	s.metrics.observeSnapshot(result.duration, result.snapshot.offset)
	s.log.Info(
		"snapshot done",
		"snapshot",
		result.snapshot.fileName(),
		"bytes",
		result.snapshot.offset,
		"took",
		result.duration.Round(time.Millisecond),
	)
}

package kvserver

import (
	"errors"
	"net/http"
	"time"

	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/http1"
	"gullrudder/internal/wire/server"
)

// writePipeline holds the steps that wait for the writer, and those whose records it is writing. Only the event loop accesses the fields
// other than the channels.
type writePipeline struct {
	pending         []Effects // steps whose records were not passed to the writer yet
	inFlight        []Effects // steps whose records are being written; nil: none
	inFlightBytes   int       // size of the records in flight
	jobs            chan writeJob
	results         chan writeResult
	nextRepairAt    time.Time // earliest time of the next repair
	isRepairPending bool
}

// writeJob appends a frame to the log, or repairs the log.
type writeJob struct {
	records  []byte
	revision uint64
	view     *View // begin a snapshot of it after the frame; nil: none
	isRepair bool
}

type writeResult struct {
	err         error
	duration    time.Duration
	isBroken    bool // the log accepts no records until it is repaired
	isRepair    bool
	snapshot    *SnapshotWriter // to be written; nil: none
	snapshotErr error
}

// runWriter executes the jobs. No other goroutine writes to the log.
func (s *Server) runWriter() {
	for job := range s.writes.jobs {
		startedAt := time.Now()
		result := writeResult{isRepair: job.isRepair}
		if job.isRepair {
			result.err = s.storage.Repair(job.revision)
		} else {
			result.err = s.storage.Append(job.records)
		}
		result.duration = time.Since(startedAt)
		if result.err == nil && job.view != nil {
			result.snapshot, result.snapshotErr = s.storage.BeginSnapshot(job.view)
		}
		result.isBroken = s.storage.IsBroken()
		s.writes.results <- result
	}
}

// submitPending passes the pending steps to the writer, or to the sender if they have no records.
func (s *Server) submitPending(now time.Time) {
	if s.writes.inFlight != nil {
		return
	}
	if s.state.writesFailing && !s.writes.isRepairPending && !now.Before(s.writes.nextRepairAt) {
		s.writes.isRepairPending = true
		s.writes.jobs <- writeJob{isRepair: true, revision: s.state.revision}
	}
	var records []byte
	for _, effects := range s.writes.pending {
		records = append(records, effects.Records...)
	}
	if len(records) == 0 {
		if len(s.writes.pending) > 0 {
			s.responses <- s.writes.pending
		}
		s.writes.pending = nil
		return
	}
	job := writeJob{records: records, revision: s.state.revision}
	if s.snapshots.canBegin(now) && s.storage.isSnapshotDue() {
		// This frame has the records of all steps so far. So the current keyspace is the state right after the frame.
		s.snapshots.isRunning, s.snapshots.isAwaitingWrite = true, true
		job.view = s.state.Freeze()
	}
	s.writes.inFlightBytes = len(records)
	s.writes.inFlight, s.writes.pending = s.writes.pending, nil
	s.writes.jobs <- job
}

// handleWriteResult processes the result of the writer's job.
func (s *Server) handleWriteResult(now time.Time, result writeResult) {
	if result.isRepair {
		s.handleRepairResult(now, result)
		return
	}
	steps := s.writes.inFlight
	s.writes.inFlight = nil
	if result.err == nil {
		s.storage.RecordAppended(s.writes.inFlightBytes)
		s.metrics.observeSync(result.duration)
		s.responses <- steps
	} else {
		s.rollBack(steps, result.err)
	}
	if result.isBroken {
		s.state.SetWritesFailing(now, true)
		s.writes.nextRepairAt = now.Add(s.options.DiskRetryInterval)
	}
	switch {
	case result.snapshot != nil:
		s.storage.RecordSnapshotBegun()
		go s.runSnapshot(result.snapshot)
	case result.snapshotErr != nil:
		s.deferSnapshot(now, result.snapshotErr)
	case result.err != nil && s.snapshots.isAwaitingWrite:
		s.snapshots.isRunning = false // the snapshot would have begun after the frame that failed
	}
	s.snapshots.isAwaitingWrite = false
}

// rollBack undoes the steps whose records were not made durable, and all later steps. It refuses the requests of the later steps. It also
// refuses those of the failed steps if their records are certainly not in the log. Otherwise the outcome of these requests is uncertain,
// and it closes their connections without a response.
func (s *Server) rollBack(steps []Effects, err error) {
	s.metrics.failedWriteCount.Inc()
	s.log.Error("write to the log failed", logkeys.Err, err)
	s.undo(s.writes.pending)
	s.undo(steps)
	s.refuse(s.writes.pending)
	s.writes.pending = nil
	if errors.Is(err, ErrNotWritten) {
		s.refuse(steps)
	} else {
		abortConnections(steps)
	}
}

func (s *Server) undo(steps []Effects) {
	for i := len(steps) - 1; i >= 0; i-- {
		s.state.Undo(steps[i])
	}
}

func (s *Server) refuse(steps []Effects) {
	for _, effects := range steps {
		for _, response := range effects.Responses {
			s.sendResponse(Response{
				Handle: response.Handle, Status: http.StatusServiceUnavailable,
				Body: server.ErrorResponse{Error: notDurableMessage}, RetryAfter: s.options.DiskRetryInterval,
			})
		}
	}
}

func abortConnections(steps []Effects) {
	for _, effects := range steps {
		for _, response := range effects.Responses {
			if request, ok := response.Handle.(*http1.Request); ok {
				request.Abort()
			}
		}
	}
}

func (s *Server) handleRepairResult(now time.Time, result writeResult) {
	s.writes.isRepairPending = false
	if result.err != nil {
		s.log.Error("log not repaired", logkeys.Err, result.err)
		s.writes.nextRepairAt = now.Add(s.options.DiskRetryInterval)
		return
	}
	s.log.Info("log repaired")
	s.state.SetWritesFailing(now, false)
}

package kvserver

import (
	"errors"
	"time"

	"gullrudder/internal/logkeys"
)

// snapshotRetryIntervals is the number of disk retry intervals after which a failed snapshot is retried. A snapshot writes far more than
// a commit, and is not urgent, since the log has all changes.
const snapshotRetryIntervals = 10

// snapshotSchedule is the event loop's state of snapshots. One is written at a time.
type snapshotSchedule struct {
	isRunning       bool      // from the decision to write a snapshot until its result
	isAwaitingWrite bool      // the snapshot begins after the frame in flight
	nextAt          time.Time // earliest time of the next snapshot
	results         chan snapshotResult
}

type snapshotResult struct {
	snapshot *SnapshotWriter
	err      error
	duration time.Duration
}

func (s *snapshotSchedule) canBegin(now time.Time) bool { return !s.isRunning && now.After(s.nextAt) }

// runSnapshot writes a snapshot and then deletes the files that it covers. It runs on its own goroutine.
// cmd/faulttest matches its log messages to kill the process at these moments.
func (s *Server) runSnapshot(snapshot *SnapshotWriter) {
	startedAt := time.Now()
	log := s.log.With(logkeys.Snapshot, snapshot.fileName())
	log.Info("snapshot begins", logkeys.Revision, snapshot.view.revision, logkeys.Count, snapshot.view.tree.Len())
	err := snapshot.writeAll(func(stage snapshotStage) { log.Info(stageMessages[stage]) })
	if err != nil {
		err = errors.Join(err, snapshot.Abort())
	} else {
		log.Info("deleting the log that is covered")
		if err := s.storage.Prune(snapshot); err != nil {
			log.Error("covered files not removed", logkeys.Err, err)
		}
	}
	s.snapshots.results <- snapshotResult{snapshot, err, time.Since(startedAt)}
}

func (s *Server) handleSnapshotResult(now time.Time, result snapshotResult) {
	s.storage.RecordSnapshotDone(result.snapshot, result.err == nil)
	if result.err != nil {
		s.deferSnapshot(now, result.err)
		return
	}
	s.snapshots.isRunning = false
	s.metrics.observeSnapshot(result.duration, result.snapshot.offset)
	s.log.Info("snapshot completed", logkeys.Snapshot, result.snapshot.fileName(), logkeys.Bytes, result.snapshot.offset,
		logkeys.Duration, result.duration.Round(time.Millisecond))
}

// deferSnapshot postpones the retry of a failed snapshot. The log grows until then.
func (s *Server) deferSnapshot(now time.Time, err error) {
	s.snapshots.isRunning = false
	s.snapshots.nextAt = now.Add(snapshotRetryIntervals * s.options.DiskRetryInterval)
	s.metrics.failedSnapshotCount.Inc()
	s.log.Error("snapshot failed", logkeys.Err, err)
}

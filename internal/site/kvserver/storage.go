package kvserver

import (
	"log/slog"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/logkeys"
)

// Storage manages the directory of a running store: its write-ahead log, and the sizes that decide when a snapshot is due.
//
// Append, BeginSnapshot, Repair and IsBroken access the log and are called by the writer's goroutine only. Prune is called by the
// snapshot's goroutine, and the other methods by the event loop's.
type Storage struct {
	files                   Directory
	wal                     *writeAheadLog
	options                 config.KVServerOptions
	uncoveredLogBytes       int64 // size of the log that no snapshot covers, neither a durable nor a running one
	pendingSnapshotLogBytes int64 // size of the log that the running snapshot will cover
	lastSnapshotBytes       int64 // size of the last snapshot
}

// Open recovers a store from its directory and opens its log for appending. Every lease has its full time to live, counted from now.
// If the directory is damaged, the error is a DamageError and nothing is changed.
func Open(files Directory, options config.KVServerOptions, now time.Time, log *slog.Logger) (*State, *Storage, Inspection, error) {
	recovered, err := recoverDirectory(files)
	if err != nil {
		return nil, nil, Inspection{}, err
	}
	inspection := &recovered.inspection
	for _, damage := range inspection.SkippedDamage {
		log.Error("damaged snapshot skipped", logkeys.Reason, damage)
	}
	if inspection.TornBytes > 0 {
		log.Error("torn frame truncated", logkeys.Bytes, inspection.TornBytes)
	}
	wal, err := recovered.openWAL(files)
	if err != nil {
		return nil, nil, Inspection{}, err
	}
	if err := recovered.removeLeftovers(files); err != nil {
		log.Error("covered files not removed", logkeys.Err, err)
	}
	storage := &Storage{
		files: files, wal: wal, options: options,
		uncoveredLogBytes: inspection.LogBytes, lastSnapshotBytes: inspection.SnapshotBytes,
	}
	return newState(recovered.keyspace, options, now), storage, *inspection, nil
}

// isSnapshotDue reports whether the log is large enough for a snapshot.
func (s *Storage) isSnapshotDue() bool {
	byRatio := int64(float64(s.lastSnapshotBytes) * s.options.SnapshotLogRatio)
	return s.uncoveredLogBytes > max(s.options.SnapshotMinLogBytes, byRatio)
}

// uncoveredBytes returns the size of the log that no durable snapshot covers.
func (s *Storage) uncoveredBytes() int64 { return s.uncoveredLogBytes + s.pendingSnapshotLogBytes }

// Append makes a step's records durable in the log. After ErrNotWritten they are certainly not in the log. After ErrUncertain they may
// be, and the log accepts no records until Repair has succeeded.
func (s *Storage) Append(records []byte) error { return s.wal.append(records) }

// RecordAppended records that a frame with records of this size was appended to the log.
func (s *Storage) RecordAppended(bytes int) { s.uncoveredLogBytes += int64(bytes + frameHeaderBytes) }

// BeginSnapshot continues the log in a new segment and returns a writer for a snapshot of the view. The snapshot will cover all earlier
// segments. The view has to include every record that was appended.
func (s *Storage) BeginSnapshot(view *View) (*SnapshotWriter, error) {
	if err := s.wal.rotate(view.revision); err != nil {
		return nil, err
	}
	view.segment, view.nextFrame = s.wal.segment, s.wal.nextFrame
	return &SnapshotWriter{files: s.files, view: view}, nil
}

// RecordSnapshotBegun records that the running snapshot will cover the log so far.
func (s *Storage) RecordSnapshotBegun() {
	s.pendingSnapshotLogBytes, s.uncoveredLogBytes = s.uncoveredLogBytes, 0
}

// RecordSnapshotDone records whether the running snapshot succeeded. If it did not, the log that it would have covered is uncovered again.
func (s *Storage) RecordSnapshotDone(writer *SnapshotWriter, ok bool) {
	if ok {
		s.lastSnapshotBytes = writer.offset
	} else {
		s.uncoveredLogBytes += s.pendingSnapshotLogBytes
	}
	s.pendingSnapshotLogBytes = 0
}

// IsBroken reports whether the log accepts no records until Repair has succeeded.
func (s *Storage) IsBroken() bool { return s.wal.isBroken }

// Repair continues the log in a new segment after a failed sync. revision is that of the last durable change. Once the new segment is
// durable, a recovery ignores the frame whose sync failed, even if the old segment contains it.
func (s *Storage) Repair(revision uint64) error { return s.wal.rotate(revision) }

// Prune deletes the segments and snapshots that a completed snapshot covers.
func (s *Storage) Prune(writer *SnapshotWriter) error {
	return removeCoveredFiles(s.files, writer.view.segment)
}

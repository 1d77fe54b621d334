package kvserver

import (
	"log/slog"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/logkeys"
)

// Storage is the directory of a running store: the write-ahead log, and the sizes that decide when a snapshot is due. Append,
// BeginSnapshot, Repair and IsBroken access the log and belong to the writer's goroutine, Prune to the snapshot's, and the other
// methods to the event loop's.
type Storage struct {
	files                   Directory
	wal                     *writeAheadLog
	options                 config.KVServerOptions
	uncoveredLogBytes       int64 // of log that is in no snapshot
	pendingSnapshotLogBytes int64 // of log that the running snapshot will cover
	lastSnapshotBytes       int64 // size of the last snapshot
}

// Open recovers a store from its directory and opens its log for appending. If the directory is damaged, the error is a DamageError
// and nothing is changed.
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

// Append makes a step's records durable in the log. See writeAheadLog.append for its errors.
func (s *Storage) Append(records []byte) error { return s.wal.append(records) }

// RecordAppended counts the bytes of appended records.
func (s *Storage) RecordAppended(bytes int) { s.uncoveredLogBytes += int64(bytes + frameHeaderBytes) }

// BeginSnapshot continues the log in a new segment, so that a snapshot of the view covers all earlier ones.
func (s *Storage) BeginSnapshot(view *View) (*SnapshotWriter, error) {
	if err := s.wal.rotate(view.revision); err != nil {
		return nil, err
	}
	view.segment, view.nextFrame = s.wal.segment, s.wal.nextFrame
	return &SnapshotWriter{files: s.files, view: view}, nil
}

// RecordSnapshotBegun counts the log so far as covered by the running snapshot.
func (s *Storage) RecordSnapshotBegun() {
	s.pendingSnapshotLogBytes, s.uncoveredLogBytes = s.uncoveredLogBytes, 0
}

// RecordSnapshotDone records the result of the running snapshot.
func (s *Storage) RecordSnapshotDone(writer *SnapshotWriter, ok bool) {
	if ok {
		s.lastSnapshotBytes = writer.offset
	} else {
		s.uncoveredLogBytes += s.pendingSnapshotLogBytes
	}
	s.pendingSnapshotLogBytes = 0
}

// IsBroken reports whether the log takes no records until Repair has succeeded.
func (s *Storage) IsBroken() bool { return s.wal.isBroken }

// Repair continues the log in a new segment after a failed sync. Once the new segment is durable, the frame whose sync failed is void,
// whether the old segment has it or not.
func (s *Storage) Repair(revision uint64) error { return s.wal.rotate(revision) }

// Prune deletes the files that a durable snapshot covers.
func (s *Storage) Prune(writer *SnapshotWriter) error {
	return removeCoveredFiles(s.files, writer.view.segment)
}

package kvserver

import (
	"log/slog"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/logkeys"
)

// Storage is the directory of a running store: the write-ahead log, and when it is worth a snapshot. Append, BeginSnapshot and
// Repair touch the log and belong to the goroutine that writes; the rest are counts and belong to the owner of the state. Prune
// belongs to the goroutine that writes the snapshot.
type Storage struct {
	files                   Directory
	wal                     *WAL
	options                 config.KVServerOptions
	uncoveredLogBytes       int64 // of log that no snapshot covers
	pendingSnapshotLogBytes int64 // of log that the snapshot under way is to cover
	lastSnapshotBytes       int64 // size of the last snapshot
}

// Open recovers a store from its directory and makes it ready to go on. A directory that is damaged is a DamageError, and nothing in
// it is changed.
func Open(files Directory, options config.KVServerOptions, now time.Time, log *slog.Logger) (*State, *Storage, Inspection, error) {
	recovered, err := recoverDirectory(files)
	if err != nil {
		return nil, nil, Inspection{}, err
	}
	inspection := &recovered.inspection
	for _, damage := range inspection.SkippedDamage {
		log.Error("damaged snapshot skipped: an older one and the log are whole", logkeys.Reason, damage)
	}
	if inspection.TornBytes > 0 {
		log.Error("torn frame at the end of the log cut off: it was never answered", logkeys.Bytes, inspection.TornBytes)
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

// IsSnapshotDue reports whether the log is worth a snapshot.
func (s *Storage) IsSnapshotDue() bool {
	byRatio := int64(float64(s.lastSnapshotBytes) * s.options.SnapshotLogRatio)
	return s.uncoveredLogBytes > max(s.options.SnapshotMinLogBytes, byRatio)
}

// UncoveredLogBytes is how much log there is that no durable snapshot covers.
func (s *Storage) UncoveredLogBytes() int64 { return s.uncoveredLogBytes + s.pendingSnapshotLogBytes }

// Append makes a step's records durable in the log. See WAL.Append for its errors.
func (s *Storage) Append(records []byte) error { return s.wal.Append(records) }

// RecordAppended counts records that were appended.
func (s *Storage) RecordAppended(bytes int) { s.uncoveredLogBytes += int64(bytes + frameHeaderBytes) }

// BeginSnapshot turns to a new segment, so that a snapshot of the view covers all before it.
func (s *Storage) BeginSnapshot(view *View) (*SnapshotWriter, error) {
	if err := s.wal.Rotate(view.revision); err != nil {
		return nil, err
	}
	view.segment, view.nextFrame = s.wal.segment, s.wal.nextFrame
	return &SnapshotWriter{files: s.files, view: view}, nil
}

// RecordSnapshotBegun counts what a snapshot is to cover.
func (s *Storage) RecordSnapshotBegun() {
	s.pendingSnapshotLogBytes, s.uncoveredLogBytes = s.uncoveredLogBytes, 0
}

// RecordSnapshotDone counts what became of a snapshot.
func (s *Storage) RecordSnapshotDone(writer *SnapshotWriter, ok bool) {
	if ok {
		s.lastSnapshotBytes = writer.offset
	} else {
		s.uncoveredLogBytes += s.pendingSnapshotLogBytes
	}
	s.pendingSnapshotLogBytes = 0
}

// IsBroken reports that nothing is made durable until Repair has succeeded.
func (s *Storage) IsBroken() bool { return s.wal.isBroken }

// Repair goes on in a new segment after a failed sync. The frame whose sync failed does not count any more once that is durable,
// whether the old segment has kept it or not.
func (s *Storage) Repair(revision uint64) error { return s.wal.Rotate(revision) }

// Prune deletes what a durable snapshot covers.
func (s *Storage) Prune(writer *SnapshotWriter) error {
	return removeCoveredFiles(s.files, writer.view.segment)
}

package kvserver

import (
	"log/slog"
	"time"

	"gullrudder/internal/config"
)

// Storage is the directory of a running store: the log, and when it is worth a snapshot. Keep,
// Begin and Repair touch the log; the rest are counts. So two goroutines may share it, one for
// each.
type Storage struct {
	files                   Directory
	wal                     *WAL
	options                 config.KVServer
	uncoveredLogBytes       int64 // bytes of log that no snapshot covers
	pendingSnapshotLogBytes int64 // of the log that the snapshot under way is to cover
	lastSnapshotBytes       int64 // bytes of the last snapshot
}

// Open brings a store back from its directory and makes it ready to go on.
func Open(files Directory, options config.KVServer, now time.Time, log *slog.Logger) (*State, *Storage, Inspection, error) {
	recovered, err := recoverDirectory(files)
	if err != nil {
		return nil, nil, Inspection{}, err
	}
	for _, damage := range recovered.inspection.SkippedDamage {
		log.Error("a damaged snapshot is passed over: an older one and the log are whole", "damage", damage)
	}
	if recovered.inspection.TornBytes > 0 {
		log.Error("an unfinished write at the end of the log is cut off; it was never answered", "bytes", recovered.inspection.TornBytes)
	}
	wal, err := recovered.openWAL(files)
	if err != nil {
		return nil, nil, Inspection{}, err
	}
	if err := recovered.removeLeftovers(files); err != nil {
		log.Error("what a snapshot covers cannot be removed", "error", err)
	}
	storage := &Storage{
		files:             files,
		wal:               wal,
		options:           options,
		uncoveredLogBytes: recovered.inspection.LogBytes,
		lastSnapshotBytes: recovered.inspection.SnapshotBytes,
	}
	return newState(recovered.keyspace, options, now), storage, recovered.inspection, nil
}

// IsSnapshotDue reports whether the log is worth a snapshot.
func (d *Storage) IsSnapshotDue() bool {
	return d.uncoveredLogBytes > max(d.options.SnapshotMinLogBytes, int64(float64(d.lastSnapshotBytes)*d.options.SnapshotLogRatio))
}

// Append brings a step's records into the log. See Log.Append for its errors.
func (d *Storage) Append(records []byte) error { return d.wal.Append(records) }

// RecordAppended counts what was.
func (d *Storage) RecordAppended(bytes int) { d.uncoveredLogBytes += int64(bytes + frameHeaderBytes) }

// BeginSnapshot turns to a new segment, so that a snapshot of the view covers all before it.
func (d *Storage) BeginSnapshot(v *View) (*SnapshotWriter, error) {
	if err := d.wal.Rotate(v.revision); err != nil {
		return nil, err
	}
	v.segment, v.nextFrame = d.wal.segment, d.wal.nextFrame
	return &SnapshotWriter{files: d.files, view: v}, nil
}

// RecordSnapshotBegun counts what a snapshot is to cover.
func (d *Storage) RecordSnapshotBegun() {
	d.pendingSnapshotLogBytes, d.uncoveredLogBytes = d.uncoveredLogBytes, 0
}

// RecordSnapshotDone counts what became of a snapshot.
func (d *Storage) RecordSnapshotDone(s *SnapshotWriter, ok bool) {
	if ok {
		d.lastSnapshotBytes = s.offset
	} else {
		d.uncoveredLogBytes += d.pendingSnapshotLogBytes
	}
	d.pendingSnapshotLogBytes = 0
}

// IsBroken reports that nothing is kept until Repair has succeeded.
func (d *Storage) IsBroken() bool { return d.wal.broken }

// Repair goes on in a new segment after a failed sync. The frame whose sync failed does not
// count any more once that lasts, whether the old segment has kept it or not.
func (d *Storage) Repair(revision uint64) error { return d.wal.Rotate(revision) }

// Prune deletes what a snapshot that counts covers.
func (d *Storage) Prune(s *SnapshotWriter) error { return removeCoveredFiles(d.files, s.view.segment) }

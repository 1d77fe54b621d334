package store

import (
	"log/slog"
	"time"

	"gullrudder/internal/config"
)

// Disk is the directory of a running store: the log, and when it is worth a snapshot. Keep,
// Begin and Repair touch the log; the rest are counts. So two goroutines may share it, one for
// each.
type Disk struct {
	files     Files
	log       *Log
	opt       config.Store
	logged    int64 // bytes of log that no snapshot covers
	covered   int64 // of the log that the snapshot under way is to cover
	snapshots int64 // bytes of the last snapshot
}

// Open brings a store back from its directory and makes it ready to go on.
func Open(files Files, opt config.Store, now time.Time, log *slog.Logger) (*State, *Disk, Report, error) {
	f, err := examine(files)
	if err != nil {
		return nil, nil, Report{}, err
	}
	for _, p := range f.report.Passed {
		log.Error("a damaged snapshot is passed over: an older one and the log are whole", "damage", p)
	}
	if f.report.Torn > 0 {
		log.Error("an unfinished write at the end of the log is cut off; it was never answered", "bytes", f.report.Torn)
	}
	l, err := f.open(files)
	if err != nil {
		return nil, nil, Report{}, err
	}
	if err := f.clear(files); err != nil {
		log.Error("what a snapshot covers cannot be removed", "error", err)
	}
	d := &Disk{files: files, log: l, opt: opt, logged: f.report.LogBytes, snapshots: f.report.SnapBytes}
	return newState(f.content, opt, now), d, f.report, nil
}

// Due reports whether the log is worth a snapshot.
func (d *Disk) Due() bool {
	return d.logged > max(d.opt.SnapshotLeast, int64(float64(d.snapshots)*d.opt.SnapshotShare))
}

// Keep brings a step's records into the log. See Log.Append for its errors.
func (d *Disk) Keep(records []byte) error { return d.log.Append(records) }

// Kept counts what was.
func (d *Disk) Kept(bytes int) { d.logged += int64(bytes + frameHeader) }

// Begin turns to a new segment, so that a snapshot of the view covers all before it.
func (d *Disk) Begin(v *View) (*Snapshot, error) {
	if err := d.log.Rotate(v.revision); err != nil {
		return nil, err
	}
	v.segment, v.next = d.log.segment, d.log.next
	return &Snapshot{files: d.files, view: v}, nil
}

// Begun counts what a snapshot is to cover.
func (d *Disk) Begun() { d.covered, d.logged = d.logged, 0 }

// Finish counts what became of a snapshot.
func (d *Disk) Finish(s *Snapshot, ok bool) {
	if ok {
		d.snapshots = s.offset
	} else {
		d.logged += d.covered
	}
	d.covered = 0
}

// Broken reports that nothing is kept until Repair has succeeded.
func (d *Disk) Broken() bool { return d.log.broken }

// Repair goes on in a new segment after a failed sync. The frame whose sync failed does not
// count any more once that lasts, whether the old segment has kept it or not.
func (d *Disk) Repair(revision uint64) error { return d.log.Rotate(revision) }

// Prune deletes what a snapshot that counts covers.
func (d *Disk) Prune(s *Snapshot) error { return prune(d.files, s.view.segment) }

package kvserver

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"
)

// restoreRevisionGap is what a restored store's revisions are ahead of the backup's: more changes than
// can have been made since. A leader's token is a revision, and no worker obeys a lower one than
// it has seen.
const restoreRevisionGap = 1 << 40

// Inspect reads a directory and changes nothing. A store that runs there is not disturbed; what
// it does meanwhile may make the end of the log look torn.
func Inspect(path string) (Inspection, error) {
	dir, err := ReadOnlyDirectory(path)
	if err != nil {
		return Inspection{}, err
	}
	recovered, err := recoverDirectory(dir)
	if recovered == nil {
		return Inspection{}, err
	}
	return recovered.inspection, err
}

// KeyInfo is a key of a store as it is shown.
type KeyInfo struct {
	Key         string `json:"key"`
	ValueBytes  int    `json:"bytes"`
	ModRevision uint64 `json:"mark"`
	LeaseID     uint64 `json:"lease,omitempty"`
}

// Keys lists the keys of a directory.
func Keys(path string) ([]KeyInfo, error) {
	recovered, err := recoverWithRetry(path)
	if err != nil {
		return nil, err
	}
	var keys []KeyInfo
	recovered.keyspace.tree.Ascend(func(it *item) bool {
		keys = append(keys, KeyInfo{it.key, it.jsonBytes, it.modRevision, it.leaseID})
		return true
	})
	return keys, nil
}

// recoverWithRetry examines a directory in which a store may be at work: while it is read, a segment may
// be deleted because a new snapshot covers it. Then it is read again.
func recoverWithRetry(path string) (*recovery, error) {
	dir, err := ReadOnlyDirectory(path)
	if err != nil {
		return nil, err
	}
	for try := 0; ; try++ {
		f, err := recoverDirectory(dir)
		var damage *DamageError
		if err == nil || try == 5 || !errors.Is(err, fs.ErrNotExist) && !errors.As(err, &damage) {
			return f, err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Backup writes what a directory holds to a file, as one snapshot. A store may run there.
func Backup(path, file string) (Inspection, error) {
	recovered, err := recoverWithRetry(path)
	if err != nil {
		return Inspection{}, fmt.Errorf("back up %s: %w", path, err)
	}
	dir, err := LockDirectory(filepath.Dir(file) + "/.backup-" + filepath.Base(file))
	if err != nil {
		return Inspection{}, err
	}
	view := recovered.keyspace.Freeze()
	view.segment, view.nextFrame = 1, 1
	writer := &SnapshotWriter{files: dir, view: view}
	err = writer.writeAll(nil)
	if err == nil {
		err = os.Rename(dir.filePath(writer.fileName()), file)
	}
	if err == nil {
		err = (&OSDirectory{path: filepath.Dir(file)}).SyncDir()
	}
	dir.Close()
	if e := os.RemoveAll(dir.path); err == nil {
		err = e
	}
	if err != nil {
		return Inspection{}, fmt.Errorf("back up %s: %w", path, err)
	}
	return recovered.inspection, nil
}

// Restore makes a directory of a backup. The directory must hold nothing.
func Restore(file, path string) (Inspection, error) {
	backup, err := os.ReadFile(file)
	if err != nil {
		return Inspection{}, fmt.Errorf("restore: %w", err)
	}
	data, _, _, err := readSnapshot(file, backup)
	if err != nil {
		return Inspection{}, fmt.Errorf("restore: the backup is not whole: %w", err)
	}
	dir, err := LockDirectory(path)
	if err != nil {
		return Inspection{}, err
	}
	defer dir.Close()
	names, err := dir.List()
	if err != nil {
		return Inspection{}, err
	}
	for _, name := range names {
		if name != lockFileName {
			return Inspection{}, fmt.Errorf("restore: %s is not empty: it holds %s", path, name)
		}
	}
	data.revision += restoreRevisionGap
	data.lastLeaseID += restoreRevisionGap
	view := data.Freeze()
	view.segment, view.nextFrame = 1, 1
	// The segment first: a snapshot without the log behind it would be damage.
	log, err := createSegment(dir, segmentHeader{view.segment, view.nextFrame, view.revision})
	if err != nil {
		return Inspection{}, fmt.Errorf("restore: %w", err)
	}
	defer log.Close()
	if err := (&SnapshotWriter{files: dir, view: view}).writeAll(nil); err != nil {
		return Inspection{}, fmt.Errorf("restore: %w", err)
	}
	recovered, err := recoverDirectory(dir)
	if err != nil {
		return Inspection{}, fmt.Errorf("restore: what was written cannot be read: %w", err)
	}
	return recovered.inspection, nil
}

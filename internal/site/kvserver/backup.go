package kvserver

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// restoreRevisionGap is added to the revision and the last lease ID of a restored store. It exceeds any number of changes made since the
// backup, so that no revision is used twice. A leader's fencing token is a revision, and workers reject tokens lower than the highest
// that they have received.
const restoreRevisionGap = 1 << 40

// Backup writes the content of the store in the directory path to a file, as one snapshot. The file appears only once it is complete
// and durable. A server may be running in the directory.
func Backup(path, file string) (Inspection, error) {
	recovered, err := recoverWithRetry(path)
	if err != nil {
		return Inspection{}, fmt.Errorf("back up %s: %w", path, err)
	}
	dir, err := LockDirectory(filepath.Dir(file) + "/.backup-" + filepath.Base(file))
	if err != nil {
		return Inspection{}, err
	}
	err = writeBackup(dir, recovered.keyspace, file)
	_ = dir.Close() // releases the lock only: the directory is removed next
	if removeErr := os.RemoveAll(dir.path); err == nil {
		err = removeErr
	}
	if err != nil {
		return Inspection{}, fmt.Errorf("back up %s: %w", path, err)
	}
	return recovered.inspection, nil
}

// writeBackup writes a snapshot in a temporary directory and moves it to the file.
func writeBackup(dir *OSDirectory, k *keyspace, file string) error {
	writer := &SnapshotWriter{files: dir, view: k.freezeForBackup()}
	if err := writer.writeAll(nil); err != nil {
		return err
	}
	if err := os.Rename(dir.filePath(writer.fileName()), file); err != nil {
		return err
	}
	return (&OSDirectory{path: filepath.Dir(file)}).SyncDir()
}

// freezeForBackup returns a view after which the log begins with segment 1 and frame 1.
func (k *keyspace) freezeForBackup() *View {
	view := k.Freeze()
	view.segment, view.nextFrame = 1, 1
	return view
}

// Restore writes a backup to the directory path, which must be empty or must not exist. The revision of the restored store is
// restoreRevisionGap above that of the backup.
func Restore(file, path string) (Inspection, error) {
	backup, err := os.ReadFile(file)
	if err != nil {
		return Inspection{}, fmt.Errorf("restore: %w", err)
	}
	content, err := readSnapshot(file, backup)
	if err != nil {
		return Inspection{}, fmt.Errorf("restore: the backup is incomplete or damaged: %w", err)
	}
	dir, err := LockDirectory(path)
	if err != nil {
		return Inspection{}, err
	}
	defer func() { _ = dir.Close() }() // releases the lock only
	if err := checkEmpty(dir); err != nil {
		return Inspection{}, err
	}
	content.keyspace.revision += restoreRevisionGap
	content.keyspace.lastLeaseID += restoreRevisionGap
	if err := writeRestored(dir, content.keyspace.freezeForBackup()); err != nil {
		return Inspection{}, fmt.Errorf("restore: %w", err)
	}
	recovered, err := recoverDirectory(dir)
	if err != nil {
		return Inspection{}, fmt.Errorf("restore: check the restored directory: %w", err)
	}
	return recovered.inspection, nil
}

func checkEmpty(dir *OSDirectory) error {
	names, err := dir.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if name != lockFileName {
			return fmt.Errorf("restore: directory %s must be empty, but contains %s", dir.path, name)
		}
	}
	return nil
}

// writeRestored writes the segment before the snapshot: a snapshot without the segment after it would count as damage.
func writeRestored(dir *OSDirectory, view *View) error {
	wal, err := createSegment(dir, segmentHeader{segment: view.segment, firstFrame: view.nextFrame, revision: view.revision})
	if err != nil {
		return err
	}
	writer := &SnapshotWriter{files: dir, view: view}
	return errors.Join(writer.writeAll(nil), wal.close())
}

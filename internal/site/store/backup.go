package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"
)

// restoreGap is what a restored store's revisions are ahead of the backup's: more changes than
// can have been made since. A leader's token is a revision, and no worker obeys a lower one than
// it has seen.
const restoreGap = 1 << 40

// Inspect reads a directory and changes nothing. A store that runs there is not disturbed; what
// it does meanwhile may make the end of the log look torn.
func Inspect(path string) (Report, error) {
	dir, err := ReadDir(path)
	if err != nil {
		return Report{}, err
	}
	f, err := examine(dir)
	if f == nil {
		return Report{}, err
	}
	return f.report, err
}

// Key is a key of a store as it is shown.
type Key struct {
	Key   string `json:"key"`
	Bytes int    `json:"bytes"`
	Mark  uint64 `json:"mark"`
	Lease uint64 `json:"lease,omitempty"`
}

// Keys lists the keys of a directory.
func Keys(path string) ([]Key, error) {
	f, err := steadily(path)
	if err != nil {
		return nil, err
	}
	var keys []Key
	f.content.tree.Ascend(func(it *item) bool {
		keys = append(keys, Key{it.key, it.size, it.mark, it.lease})
		return true
	})
	return keys, nil
}

// steadily examines a directory in which a store may be at work: while it is read, a segment may
// be deleted because a new snapshot covers it. Then it is read again.
func steadily(path string) (*found, error) {
	dir, err := ReadDir(path)
	if err != nil {
		return nil, err
	}
	for try := 0; ; try++ {
		f, err := examine(dir)
		var d *Damaged
		if err == nil || try == 5 || !errors.Is(err, fs.ErrNotExist) && !errors.As(err, &d) {
			return f, err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Backup writes what a directory holds to a file, as one snapshot. A store may run there.
func Backup(path, file string) (Report, error) {
	f, err := steadily(path)
	if err != nil {
		return Report{}, fmt.Errorf("back up %s: %w", path, err)
	}
	dir, err := LockDir(filepath.Dir(file) + "/.backup-" + filepath.Base(file))
	if err != nil {
		return Report{}, err
	}
	v := f.content.Freeze()
	v.segment, v.next = 1, 1
	s := &Snapshot{files: dir, view: v}
	err = s.write(nil)
	if err == nil {
		err = os.Rename(dir.name(s.name()), file)
	}
	if err == nil {
		err = (&Dir{path: filepath.Dir(file)}).SyncDir()
	}
	dir.Close()
	if e := os.RemoveAll(dir.path); err == nil {
		err = e
	}
	if err != nil {
		return Report{}, fmt.Errorf("back up %s: %w", path, err)
	}
	return f.report, nil
}

// Restore makes a directory of a backup. The directory must hold nothing.
func Restore(file, path string) (Report, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Report{}, fmt.Errorf("restore: %w", err)
	}
	c, _, _, err := readSnapshot(file, raw)
	if err != nil {
		return Report{}, fmt.Errorf("restore: the backup is not whole: %w", err)
	}
	dir, err := LockDir(path)
	if err != nil {
		return Report{}, err
	}
	defer dir.Close()
	names, err := dir.List()
	if err != nil {
		return Report{}, err
	}
	for _, name := range names {
		if name != lockName {
			return Report{}, fmt.Errorf("restore: %s is not empty: it holds %s", path, name)
		}
	}
	c.revision += restoreGap
	c.granted += restoreGap
	v := c.Freeze()
	v.segment, v.next = 1, 1
	// The segment first: a snapshot without the log behind it would be damage.
	l, err := beginSegment(dir, segmentHead{v.segment, v.next, v.revision})
	if err != nil {
		return Report{}, fmt.Errorf("restore: %w", err)
	}
	defer l.Close()
	if err := (&Snapshot{files: dir, view: v}).write(nil); err != nil {
		return Report{}, fmt.Errorf("restore: %w", err)
	}
	f, err := examine(dir)
	if err != nil {
		return Report{}, fmt.Errorf("restore: what was written cannot be read: %w", err)
	}
	return f.report, nil
}

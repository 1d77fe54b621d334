package kvserver

import (
	"errors"
	"fmt"
	"io/fs"
	"time"
)

// Inspection is what was found in a directory. `gullrudder state inspect` prints it.
type Inspection struct {
	Revision            uint64   `json:"revision"`
	Keys                int      `json:"keys"`
	Leases              int      `json:"leases"`
	Snapshot            string   `json:"snapshot,omitempty"` // the one that counts
	Snapshots           []string `json:"snapshots,omitempty"`
	Segments            []string `json:"segments,omitempty"`
	Frames              int      `json:"frames"` // that were replayed
	LogBytes            int64    `json:"log_bytes"`
	SnapshotBytes       int64    `json:"snapshot_bytes"`
	TornBytes           int64    `json:"torn_bytes"`       // at the end: written and never answered
	SkippedDamage       []string `json:"passed,omitempty"` // what was damaged and not needed
	UnfinishedSnapshots []string `json:"unused,omitempty"`
}

// DamageError ends a start: something that was answered cannot be read any more.
type DamageError struct {
	File   string
	Offset int64 // bytes from its start
	Reason string
}

// Error names the file and the place, and what an operator can do.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s at byte %d: %s; nothing was changed. Look with 'gullrudder state inspect', and restore a backup "+
		"into an empty directory, or the file if a copy of it is whole", e.File, e.Offset, e.Reason)
}

func newDamageError(file string, offset int, format string, args ...any) error {
	return &DamageError{File: file, Offset: int64(offset), Reason: fmt.Sprintf(format, args...)}
}

const (
	// inspectRetries is how often a directory is read again in which a running store has deleted a file meanwhile.
	inspectRetries = 5
	// inspectRetryDelay is the wait before that.
	inspectRetryDelay = 100 * time.Millisecond
)

// Inspect reads a directory and changes nothing. A store that runs there is not disturbed; what it does meanwhile may make the end
// of the log look torn. For a damaged directory, what could be read is returned with a DamageError.
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
	ValueBytes  int    `json:"bytes"` // as JSON
	ModRevision uint64 `json:"mark"`
	LeaseID     uint64 `json:"lease,omitempty"`
}

// Keys lists the keys of a directory, in order. A store may run there.
func Keys(path string) ([]KeyInfo, error) {
	recovered, err := recoverWithRetry(path)
	if err != nil {
		return nil, err
	}
	var keys []KeyInfo
	recovered.keyspace.tree.Ascend(func(it *item) bool {
		keys = append(keys, KeyInfo{Key: it.key, ValueBytes: it.jsonBytes, ModRevision: it.modRevision, LeaseID: it.leaseID})
		return true
	})
	return keys, nil
}

// recoverWithRetry reads a directory in which a store may be at work: while it is read, a segment may be deleted because a new
// snapshot covers it. Then it is read again.
func recoverWithRetry(path string) (*recovery, error) {
	dir, err := ReadOnlyDirectory(path)
	if err != nil {
		return nil, err
	}
	for retries := 0; ; retries++ {
		recovered, err := recoverDirectory(dir)
		var damage *DamageError
		mayBeDeletion := errors.Is(err, fs.ErrNotExist) || errors.As(err, &damage)
		if err == nil || retries == inspectRetries || !mayBeDeletion {
			return recovered, err
		}
		time.Sleep(inspectRetryDelay)
	}
}

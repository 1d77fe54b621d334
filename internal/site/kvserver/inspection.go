package kvserver

import (
	"errors"
	"fmt"
	"io/fs"
	"time"
)

// Inspection describes the content of a store's directory. `gullrudder state inspect` prints it.
type Inspection struct {
	Revision            uint64   `json:"revision"`
	Keys                int      `json:"keys"`
	Leases              int      `json:"leases"`
	Snapshot            string   `json:"snapshot,omitempty"` // snapshot that was loaded; empty: none
	Snapshots           []string `json:"snapshots,omitempty"`
	Segments            []string `json:"segments,omitempty"`
	Frames              int      `json:"frames"` // frames of the log that were replayed
	LogBytes            int64    `json:"log_bytes"`
	SnapshotBytes       int64    `json:"snapshot_bytes"`
	TornBytes           int64    `json:"torn_bytes"`       // at the end of the log: written, but never confirmed
	SkippedDamage       []string `json:"passed,omitempty"` // damaged snapshots that were not needed
	UnfinishedSnapshots []string `json:"unused,omitempty"`
}

// DamageError means that data that was confirmed as durable cannot be read. A store with such damage does not open.
type DamageError struct {
	File   string
	Offset int64 // in bytes from the start of the file
	Reason string
}

// Error returns the file, the offset, the reason, and what an operator can do.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s at byte %d: %s; nothing was changed. Run 'gullrudder state inspect'. Then restore a backup "+
		"into an empty directory, or replace the file with an undamaged copy", e.File, e.Offset, e.Reason)
}

func newDamageError(file string, offset int, format string, args ...any) error {
	return &DamageError{File: file, Offset: int64(offset), Reason: fmt.Sprintf(format, args...)}
}

const (
	// inspectRetries bounds the retries of reading a directory in which a running server deletes files meanwhile.
	inspectRetries = 5
	// inspectRetryDelay is the delay before each of these retries.
	inspectRetryDelay = 100 * time.Millisecond
)

// Inspect reads a store's directory and changes nothing. A server may be running there, and its concurrent writes may make the end of
// the log look torn. For a damaged directory, the readable part is returned with a DamageError.
func Inspect(path string) (Inspection, error) {
	dir, err := readOnlyDirectory(path)
	if err != nil {
		return Inspection{}, err
	}
	recovered, err := recoverDirectory(dir)
	if recovered == nil {
		return Inspection{}, err
	}
	return recovered.inspection, err
}

// KeyInfo describes a key of a store.
type KeyInfo struct {
	Key         string `json:"key"`
	ValueBytes  int    `json:"bytes"` // size of the value as JSON
	ModRevision uint64 `json:"mark"`
	LeaseID     uint64 `json:"lease,omitempty"`
}

// Keys lists the keys of the store in a directory, in ascending order. A server may be running there.
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

// recoverWithRetry reads a directory in which a server may be running. It retries after damage or a missing file: the server may have
// deleted a file meanwhile because a new snapshot covers it.
func recoverWithRetry(path string) (*recovery, error) {
	dir, err := readOnlyDirectory(path)
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

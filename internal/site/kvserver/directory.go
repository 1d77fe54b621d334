package kvserver

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"syscall"
)

// Directory is the directory of a store. The content of a file is durable only after File.Sync. Its name is durable only after SyncDir,
// also after a Rename. The errors are those of package os.
type Directory interface {
	Create(name string) (File, error) // a new empty file; replaces an existing one
	Open(name string) (File, error)   // an existing file, for writing
	Read(name string) ([]byte, error) // the whole file
	Rename(from, to string) error     // replaces an existing file
	Remove(name string) error         // deletes a file
	List() ([]string, error)          // the names of the files, in ascending order
	SyncDir() error                   // makes the names durable
}

// File is an open file of a store. It is not safe for concurrent use.
type File interface {
	io.WriterAt
	Truncate(size int64) error
	Sync() error // makes the content durable
	Close() error
}

// OSDirectory implements Directory with a directory of the operating system.
type OSDirectory struct {
	path string
	lock *os.File // nil: not locked, for reading only
}

// ErrLocked is returned for a directory that another process has locked.
var ErrLocked = errors.New("another process has locked this directory")

// LockDirectory creates a directory if it does not exist, and locks it for this process until Close is called. The error wraps ErrLocked
// if another process has locked it.
func LockDirectory(path string) (*OSDirectory, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("data directory: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFileName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("data directory: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close() // nothing was written
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s: %w", path, ErrLocked)
		}
		return nil, fmt.Errorf("lock %s: %w", path, err)
	}
	return &OSDirectory{path, lock}, nil
}

// readOnlyDirectory returns a directory for reading only, without locking it. Another process may have locked it.
func readOnlyDirectory(path string) (*OSDirectory, error) {
	if _, err := os.Stat(path); err != nil {
		return nil, fmt.Errorf("data directory: %w", err)
	}
	return &OSDirectory{path: path}, nil
}

// Close releases the lock of the directory. Without a lock it does nothing.
func (d *OSDirectory) Close() error {
	if d.lock == nil {
		return nil
	}
	return d.lock.Close()
}

func (d *OSDirectory) filePath(name string) string { return filepath.Join(d.path, name) }

// Create implements Directory.
func (d *OSDirectory) Create(name string) (File, error) {
	f, err := os.OpenFile(d.filePath(name), os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Open implements Directory.
func (d *OSDirectory) Open(name string) (File, error) {
	f, err := os.OpenFile(d.filePath(name), os.O_RDWR, 0)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Read implements Directory.
func (d *OSDirectory) Read(name string) ([]byte, error) { return os.ReadFile(d.filePath(name)) }

// Rename implements Directory.
func (d *OSDirectory) Rename(from, to string) error {
	return os.Rename(d.filePath(from), d.filePath(to))
}

// Remove implements Directory.
func (d *OSDirectory) Remove(name string) error { return os.Remove(d.filePath(name)) }

// List implements Directory.
func (d *OSDirectory) List() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

// SyncDir implements Directory.
func (d *OSDirectory) SyncDir() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

type osFile struct{ *os.File }

// Sync makes the content durable, but not the file's timestamps.
func (f osFile) Sync() error {
	for {
		if err := syscall.Fdatasync(int(f.Fd())); !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}

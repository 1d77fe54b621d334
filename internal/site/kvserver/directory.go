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

// Directory is the directory that a store lives in. What is written is durable only after Sync of the file, and a file's name, or
// its new name, only after SyncDir. The errors are those of package os.
type Directory interface {
	Create(name string) (File, error) // a new empty file, in place of an old one
	Open(name string) (File, error)   // to write to
	Read(name string) ([]byte, error) // the whole file
	Rename(from, to string) error     // in place of a file that has the name
	Remove(name string) error         // deletes a file
	List() ([]string, error)          // the names of the files, in order
	SyncDir() error                   // makes the names durable
}

// File is an open file of a store.
type File interface {
	io.WriterAt
	Truncate(size int64) error
	Sync() error // makes the content durable
	Close() error
}

// OSDirectory is a directory of the operating system.
type OSDirectory struct {
	path string
	lock *os.File // nil: the directory is only read
}

// ErrLocked is returned for a directory that another process has.
var ErrLocked = errors.New("another process has this directory")

// LockDirectory takes a directory, which is made if it is not there, for this process alone, until it is closed.
func LockDirectory(path string) (*OSDirectory, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("data directory: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFileName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("data directory: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close() // nothing was written to it
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s: %w", path, ErrLocked)
		}
		return nil, fmt.Errorf("lock %s: %w", path, err)
	}
	return &OSDirectory{path, lock}, nil
}

// ReadOnlyDirectory is a directory that is only read, perhaps while another process has it.
func ReadOnlyDirectory(path string) (*OSDirectory, error) {
	if _, err := os.Stat(path); err != nil {
		return nil, fmt.Errorf("data directory: %w", err)
	}
	return &OSDirectory{path: path}, nil
}

// Close gives the directory back: another process may lock it.
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

// Sync makes the content durable. The file's times need not be.
func (f osFile) Sync() error {
	for {
		if err := syscall.Fdatasync(int(f.Fd())); !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}

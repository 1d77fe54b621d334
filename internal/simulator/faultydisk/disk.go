// Package faultydisk simulates a disk that keeps only synced data across a crash. Unsynced data may be lost. It may also be
// kept in part, in sectors that are written in any order. Changes of file names may be lost until the directory is synced.
// The disk crashes or fails at a chosen operation. Data that a failed sync should have kept may be lost in a crash, even if a
// later sync succeeds.
package faultydisk

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"slices"
	"sort"
	"syscall"

	"gullrudder/internal/site/kvserver"
)

const sectorBytes = 512

// ErrCrashed is returned by the operation that crashes and by every later one.
var ErrCrashed = errors.New("simulated machine has crashed")

// Fault is the kind of failure of one operation or of several in a row.
type Fault int

// Kinds of faults. Other operations than those named succeed.
const (
	NoFault         Fault = iota
	ShortWrite            // a write stops after half of the data with ENOSPC; Create fails with ENOSPC
	FailedOperation       // a write, Create, Rename or Remove fails and changes nothing
	ErrorAfterWrite       // a write returns EIO after it has written all of the data
	FailedSync            // Sync or SyncDir fails with EIO
)

// Loss is the effect of a crash on unsynced data and unsynced changes of file names.
type Loss int

// Kinds of losses.
const (
	LoseAll           Loss = iota // all of it is lost
	LoseNothing                   // all of it is kept
	LoseRandomSectors             // random sectors are kept, written in any order, and random changes of names
	ProcessCrash                  // only the process crashed; the operating system holds all of it, and a later crash may lose it
)

// Disk is a directory on the simulated disk. Its fields may be set between operations. It is not safe for concurrent use.
type Disk struct {
	names               map[string]*inode // files by name, as the running process sees them
	durableNames        map[string]*inode // files by name, as of the last SyncDir
	unsyncedNameChanges []func(names map[string]*inode)

	Operations int // operations so far; Read, List and Size do not count
	CrashAt    int // the operation at which the machine crashes, counted from 1; 0: none
	FailAt     int // the first operation that fails, counted from 1; 0: none
	FailCount  int // number of operations in a row that fail; below 1: one
	Fault      Fault
	crashed    bool
	rng        *rand.Rand
}

// inode holds the contents of a file. The current and the durable names of a file may differ and refer to the same inode.
type inode struct {
	data     []byte // contents as the running process sees them
	durable  []byte
	unsynced []unsyncedWrite
}

// unsyncedWrite is a write or truncation that no sync has made durable.
type unsyncedWrite struct {
	offset       int64
	data         []byte // nil: truncates the file to offset
	neverDurable bool   // lost by a failed sync; a later sync does not make it durable either
}

// New returns an empty disk.
func New(rng *rand.Rand) *Disk {
	return &Disk{names: map[string]*inode{}, durableNames: map[string]*inode{}, rng: rng}
}

// beginOperation counts an operation. It returns ErrCrashed if the machine has crashed or crashes at this operation.
func (d *Disk) beginOperation() error {
	if d.crashed {
		return ErrCrashed
	}
	d.Operations++
	if d.Operations == d.CrashAt {
		d.crashed = true
		return ErrCrashed
	}
	return nil
}

// Crashed reports whether the machine has crashed at operation CrashAt.
func (d *Disk) Crashed() bool { return d.crashed }

// currentFault returns the fault injected into the current operation.
func (d *Disk) currentFault() Fault {
	if d.FailAt > 0 && d.Operations >= d.FailAt && d.Operations < d.FailAt+max(d.FailCount, 1) {
		return d.Fault
	}
	return NoFault
}

// changeNames changes the names of files. A crash may lose the change until the next SyncDir.
func (d *Disk) changeNames(change func(names map[string]*inode)) {
	change(d.names)
	d.unsyncedNameChanges = append(d.unsyncedNameChanges, change)
}

// Create creates an empty file, or replaces an existing one.
func (d *Disk) Create(name string) (kvserver.File, error) {
	err := d.beginOperation()
	if err == nil && (d.currentFault() == FailedOperation || d.currentFault() == ShortWrite) {
		err = syscall.ENOSPC
	}
	if err != nil {
		return nil, err
	}
	node := &inode{}
	d.changeNames(func(names map[string]*inode) { names[name] = node })
	return &file{d, node}, nil
}

// Open opens an existing file. It returns fs.ErrNotExist if there is none.
func (d *Disk) Open(name string) (kvserver.File, error) {
	if err := d.beginOperation(); err != nil {
		return nil, err
	}
	n := d.names[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return &file{d, n}, nil
}

// Read returns a copy of the contents of a file. It returns fs.ErrNotExist if there is none.
func (d *Disk) Read(name string) ([]byte, error) {
	if d.crashed {
		return nil, ErrCrashed
	}
	n := d.names[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(n.data), nil
}

// Rename renames a file and replaces an existing one of the new name.
func (d *Disk) Rename(oldName, newName string) error {
	err := d.beginOperation()
	if err == nil && d.currentFault() == FailedOperation {
		err = syscall.EIO
	}
	if err == nil && d.names[oldName] == nil {
		err = fs.ErrNotExist
	}
	if err == nil {
		d.changeNames(func(names map[string]*inode) {
			if n := names[oldName]; n != nil {
				names[newName] = n
				delete(names, oldName)
			}
		})
	}
	return err
}

// Remove deletes a file. It returns fs.ErrNotExist if there is none.
func (d *Disk) Remove(name string) error {
	err := d.beginOperation()
	if err == nil && d.currentFault() == FailedOperation {
		err = syscall.EIO
	}
	if err == nil && d.names[name] == nil {
		err = fs.ErrNotExist
	}
	if err == nil {
		d.changeNames(func(names map[string]*inode) { delete(names, name) })
	}
	return err
}

// List returns the sorted names of the files.
func (d *Disk) List() ([]string, error) {
	if d.crashed {
		return nil, ErrCrashed
	}
	list := make([]string, 0, len(d.names))
	for n := range d.names {
		list = append(list, n)
	}
	sort.Strings(list)
	return list, nil
}

// SyncDir makes all changes of file names durable.
func (d *Disk) SyncDir() error {
	if err := d.beginOperation(); err != nil {
		return err
	}
	if d.currentFault() == FailedSync {
		return syscall.EIO
	}
	for _, change := range d.unsyncedNameChanges {
		change(d.durableNames)
	}
	d.unsyncedNameChanges = nil
	return nil
}

type file struct {
	disk  *Disk
	inode *inode
}

// WriteAt writes at an offset. A crash may lose the data until the next Sync.
func (f *file) WriteAt(data []byte, offset int64) (int, error) {
	if err := f.disk.beginOperation(); err != nil {
		if f.disk.Operations == f.disk.CrashAt {
			f.writeUnsynced(data, offset) // a crash during a write may leave part of it
		}
		return 0, err
	}
	switch f.disk.currentFault() {
	case ShortWrite:
		n := len(data) / 2
		f.writeUnsynced(data[:n], offset)
		return n, syscall.ENOSPC
	case FailedOperation:
		return 0, syscall.EIO
	case ErrorAfterWrite:
		f.writeUnsynced(data, offset)
		return len(data), syscall.EIO
	}
	f.writeUnsynced(data, offset)
	return len(data), nil
}

// writeUnsynced changes the contents that the running process sees, without syncing them.
func (f *file) writeUnsynced(data []byte, offset int64) {
	f.inode.unsynced = append(f.inode.unsynced, unsyncedWrite{offset: offset, data: slices.Clone(data)})
	f.inode.data = applyWrite(f.inode.data, f.inode.unsynced[len(f.inode.unsynced)-1])
}

// applyWrite returns the contents of a file after a write or truncation. It may change the given slice.
func applyWrite(contents []byte, change unsyncedWrite) []byte {
	if change.data == nil {
		if int64(len(contents)) > change.offset {
			return contents[:change.offset:change.offset]
		}
		return contents
	}
	end := int(change.offset) + len(change.data)
	if end > len(contents) {
		contents = append(contents, make([]byte, end-len(contents))...)
	}
	copy(contents[change.offset:], change.data)
	return contents
}

// Truncate shortens the file to a size in bytes. It does not extend a shorter file. A crash may lose the change until the
// next Sync.
func (f *file) Truncate(size int64) error {
	if err := f.disk.beginOperation(); err != nil {
		return err
	}
	f.inode.unsynced = append(f.inode.unsynced, unsyncedWrite{offset: size})
	f.inode.data = slices.Clone(applyWrite(f.inode.data, f.inode.unsynced[len(f.inode.unsynced)-1]))
	return nil
}

// Sync makes all earlier writes durable, except those that an earlier failed sync has lost. A failed sync loses each
// unsynced write with a probability of one half.
func (f *file) Sync() error {
	if err := f.disk.beginOperation(); err != nil {
		return err
	}
	if f.disk.currentFault() == FailedSync {
		for i := range f.inode.unsynced {
			f.inode.unsynced[i].neverDurable = f.inode.unsynced[i].neverDurable || f.disk.rng.IntN(2) == 0
		}
		return syscall.EIO
	}
	for _, change := range f.inode.unsynced {
		if !change.neverDurable {
			f.inode.durable = applyWrite(f.inode.durable, change)
		}
	}
	f.inode.unsynced = slices.DeleteFunc(f.inode.unsynced, func(change unsyncedWrite) bool { return !change.neverDurable })
	return nil
}

// Close does nothing. Unsynced data stays unsynced.
func (f *file) Close() error { return nil }

// AfterCrash returns the disk as the next process finds it. The new disk has no faults and counts its operations from 0.
func (d *Disk) AfterCrash(loss Loss) *Disk {
	next := New(d.rng)
	if loss == ProcessCrash {
		next.names, next.durableNames, next.unsyncedNameChanges = d.names, d.durableNames, d.unsyncedNameChanges
		return next
	}
	names := map[string]*inode{}
	for name, node := range d.durableNames {
		names[name] = node
	}
	for _, change := range d.unsyncedNameChanges {
		if loss == LoseNothing || loss == LoseRandomSectors && d.rng.IntN(2) == 0 {
			change(names)
		}
	}
	for name, node := range names {
		data := slices.Clone(node.durable)
		pending := slices.Clone(node.unsynced)
		if loss == LoseRandomSectors {
			d.rng.Shuffle(len(pending), func(i, j int) { pending[i], pending[j] = pending[j], pending[i] })
		}
		for _, change := range pending {
			if loss == LoseAll || change.neverDurable {
				continue
			}
			data = d.applySectors(data, change, loss)
		}
		next.names[name] = &inode{data: data, durable: slices.Clone(data)}
	}
	for name, node := range next.names {
		next.durableNames[name] = node
	}
	return next
}

// applySectors applies a write or, with LoseRandomSectors, random sectors of it. A truncation is applied or lost as a whole.
func (d *Disk) applySectors(data []byte, change unsyncedWrite, loss Loss) []byte {
	if loss == LoseNothing || change.data == nil {
		if change.data == nil && loss == LoseRandomSectors && d.rng.IntN(2) == 0 {
			return data
		}
		return applyWrite(data, change)
	}
	for from := 0; from < len(change.data); {
		// Sectors are aligned to the beginning of the file and not to the write.
		to := min(len(change.data), int((change.offset+int64(from))/sectorBytes+1)*sectorBytes-int(change.offset))
		if d.rng.IntN(3) > 0 {
			data = applyWrite(data, unsyncedWrite{offset: change.offset + int64(from), data: change.data[from:to]})
		}
		from = to
	}
	return data
}

// CorruptByte flips bits of one byte of a file. The current contents of the file become the durable ones. It panics if the
// file or the offset does not exist.
func (d *Disk) CorruptByte(name string, offset int) {
	n := d.names[name]
	n.data[offset] ^= 0x55
	n.durable = slices.Clone(n.data)
}

// Size returns the size of a file in bytes, 0 if there is none.
func (d *Disk) Size(name string) int {
	if n := d.names[name]; n != nil {
		return len(n.data)
	}
	return 0
}

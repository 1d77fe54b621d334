// Package faultydisk is a simulated disk that keeps only what it must: what was written and not synced may be
// lost, kept in part, sector by sector and in any order; names that were not synced may be the
// old ones. It crashes at a chosen operation, or fails operations. After a sync that
// has failed, what it should have kept never lasts, whatever later syncs say.
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

// ErrCrashed is returned by every operation after the crash.
var ErrCrashed = errors.New("the machine has ended")

// Fault is how one operation, or several in a row, fail.
type Fault int

// Kinds of faults. Each concerns only the operations that can fail in that way.
const (
	NoFault         Fault = iota
	ShortWrite            // a write stops half way with ENOSPC
	FailedOperation       // a write, a rename or a new file fails, and nothing is changed
	ErrorAfterWrite       // a write returns an error though all of it was written
	FailedSync            // a sync fails
)

// Loss is what a crash does to unsynced data.
type Loss int

// Kinds of losses.
const (
	LoseAll           Loss = iota // all of it is lost
	LoseNothing                   // all of it is kept
	LoseRandomSectors             // random sectors are kept, in any order, and random changes of names
	ProcessCrash                  // only the process crashed: the operating system still has all of it, to be lost later
)

// Disk is a directory on the simulated disk. It is used by one goroutine.
type Disk struct {
	names           map[string]*inode // files by name as the running process sees them
	durableNames    map[string]*inode // files by name as a crash leaves them
	unsyncedChanges []func(names map[string]*inode)

	Operations int // operations so far
	CrashAt    int // the operation at which the machine crashes; 0: none
	FailAt     int // the first operation that fails; 0: none
	FailFor    int // how many operations in a row fail
	Fault      Fault
	crashed    bool
	rng        *rand.Rand
}

// inode is the contents of a file, which may have several names.
type inode struct {
	data    []byte // as the running process sees it
	durable []byte
	pending []write
}

// write is a write or a truncation that is not synced.
type write struct {
	offset       int64
	data         []byte // nil: the file is truncated to offset
	neverDurable bool   // a sync failed since: no later sync makes it durable
}

// New returns an empty disk.
func New(rng *rand.Rand) *Disk {
	return &Disk{names: map[string]*inode{}, durableNames: map[string]*inode{}, rng: rng}
}

// beginOperation counts an operation. It fails if the machine has crashed, or crashes now.
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

// Crashed reports whether the machine has crashed.
func (d *Disk) Crashed() bool { return d.crashed }

// currentFault is the fault that the operation in progress meets.
func (d *Disk) currentFault() Fault {
	if d.FailAt > 0 && d.Operations >= d.FailAt && d.Operations < d.FailAt+max(d.FailFor, 1) {
		return d.Fault
	}
	return NoFault
}

// changeNames changes names of files. A crash loses the change unless SyncDir follows.
func (d *Disk) changeNames(change func(names map[string]*inode)) {
	change(d.names)
	d.unsyncedChanges = append(d.unsyncedChanges, change)
}

// Create creates an empty file.
func (d *Disk) Create(name string) (kvserver.File, error) {
	err := d.beginOperation()
	if err == nil && (d.currentFault() == FailedOperation || d.currentFault() == ShortWrite) {
		err = syscall.ENOSPC
	}
	if err != nil {
		return nil, err
	}
	n := &inode{}
	d.changeNames(func(names map[string]*inode) { names[name] = n })
	return &file{d, n}, nil
}

// Open opens an existing file.
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

// Read returns the contents of a file.
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

// Rename renames a file, over another one if need be.
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

// Remove deletes a file.
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

// SyncDir makes all names durable.
func (d *Disk) SyncDir() error {
	if err := d.beginOperation(); err != nil {
		return err
	}
	if d.currentFault() == FailedSync {
		return syscall.EIO
	}
	for _, c := range d.unsyncedChanges {
		c(d.durableNames)
	}
	d.unsyncedChanges = nil
	return nil
}

// file is an open file.
type file struct {
	disk  *Disk
	inode *inode
}

// WriteAt writes at an offset. The data is lost in a crash unless it is synced.
func (f *file) WriteAt(data []byte, offset int64) (int, error) {
	if err := f.disk.beginOperation(); err != nil {
		if f.disk.Operations == f.disk.CrashAt {
			f.put(data, offset) // a crash during a write may leave part of it
		}
		return 0, err
	}
	switch f.disk.currentFault() {
	case ShortWrite:
		n := len(data) / 2
		f.put(data[:n], offset)
		return n, syscall.ENOSPC
	case FailedOperation:
		return 0, syscall.EIO
	case ErrorAfterWrite:
		f.put(data, offset)
		return len(data), syscall.EIO
	}
	f.put(data, offset)
	return len(data), nil
}

// put changes what the running process reads, without syncing it.
func (f *file) put(data []byte, offset int64) {
	f.inode.pending = append(f.inode.pending, write{offset: offset, data: slices.Clone(data)})
	f.inode.data = applyWrite(f.inode.data, f.inode.pending[len(f.inode.pending)-1])
}

// applyWrite returns the contents of a file after a write or a truncation.
func applyWrite(contents []byte, change write) []byte {
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

// Truncate cuts the file off. The change is lost in a crash unless it is synced.
func (f *file) Truncate(size int64) error {
	if err := f.disk.beginOperation(); err != nil {
		return err
	}
	f.inode.pending = append(f.inode.pending, write{offset: size})
	f.inode.data = slices.Clone(applyWrite(f.inode.data, f.inode.pending[len(f.inode.pending)-1]))
	return nil
}

// Sync makes everything written so far durable, except what an earlier failed sync has lost.
func (f *file) Sync() error {
	if err := f.disk.beginOperation(); err != nil {
		return err
	}
	if f.disk.currentFault() == FailedSync {
		for i := range f.inode.pending {
			f.inode.pending[i].neverDurable = f.inode.pending[i].neverDurable || f.disk.rng.IntN(2) == 0
		}
		return syscall.EIO
	}
	for _, change := range f.inode.pending {
		if !change.neverDurable {
			f.inode.durable = applyWrite(f.inode.durable, change)
		}
	}
	f.inode.pending = slices.DeleteFunc(f.inode.pending, func(change write) bool { return !change.neverDurable })
	return nil
}

// Close does nothing: the data is neither synced nor lost.
func (f *file) Close() error { return nil }

// AfterCrash returns the disk as the next process finds it.
func (d *Disk) AfterCrash(loss Loss) *Disk {
	next := New(d.rng)
	if loss == ProcessCrash {
		next.names, next.durableNames, next.unsyncedChanges = d.names, d.durableNames, d.unsyncedChanges
		return next
	}
	names := map[string]*inode{}
	for name, node := range d.durableNames {
		names[name] = node
	}
	for _, change := range d.unsyncedChanges {
		if loss == LoseNothing || loss == LoseRandomSectors && d.rng.IntN(2) == 0 {
			change(names)
		}
	}
	for name, node := range names {
		data := slices.Clone(node.durable)
		pending := slices.Clone(node.pending)
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

// applySectors applies a write, or random sectors of it.
func (d *Disk) applySectors(data []byte, change write, loss Loss) []byte {
	if loss == LoseNothing || change.data == nil {
		if change.data == nil && loss == LoseRandomSectors && d.rng.IntN(2) == 0 {
			return data
		}
		return applyWrite(data, change)
	}
	for from := 0; from < len(change.data); {
		// Sectors are aligned to the file, not to the write.
		to := min(len(change.data), int((change.offset+int64(from))/sectorBytes+1)*sectorBytes-int(change.offset))
		if d.rng.IntN(3) > 0 {
			data = applyWrite(data, write{offset: change.offset + int64(from), data: change.data[from:to]})
		}
		from = to
	}
	return data
}

// CorruptByte flips bits of one durable byte.
func (d *Disk) CorruptByte(name string, at int) {
	n := d.names[name]
	n.data[at] ^= 0x55
	n.durable = slices.Clone(n.data)
}

// Size is the size of a file in bytes, 0 if there is none.
func (d *Disk) Size(name string) int {
	if n := d.names[name]; n != nil {
		return len(n.data)
	}
	return 0
}

// Package faultydisk is a disk that keeps only what it must: what was written and not synced may be
// lost, kept in part, sector by sector and in any order; names that were not synced may be the
// old ones. It ends at an operation that is chosen, or reports errors there. After a sync that
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

const sector = 512

// ErrCrashed is what every operation says once the machine has ended.
var ErrCrashed = errors.New("the machine has ended")

// Fault is what one operation, or a row of them, does instead of succeeding.
type Fault int

// Faults. Only operations that can fail in a way do.
const (
	None    Fault = iota
	Short         // a write stops half way: no space
	Failed        // a write, a rename or a new file fails, and nothing is changed
	Whole         // a write says that it failed though all of it was written
	NotKept       // a sync fails
)

// Loss is what becomes of what was not synced.
type Loss int

// Losses.
const (
	All     Loss = iota // nothing of it is there
	Kept                // all of it is there
	Random              // any sectors, in any order, and any of the changes of names
	Process             // only the process has ended: the system still has all of it, to be lost later
)

// Disk is the directory.
type Disk struct {
	names   map[string]*inode // as the running process sees them
	kept    map[string]*inode // as they last
	changes []func(names map[string]*inode)

	Ops     int // operations so far
	CrashAt int // the operation at which everything ends; 0: none
	FailAt  int // the first operation with a fault
	FailFor int // how many operations have it
	Fault   Fault
	crashed bool
	rng     *rand.Rand
}

type inode struct {
	data    []byte // as the running process sees it
	kept    []byte
	pending []piece
}

type piece struct {
	at     int64
	data   []byte // nil: cut off here
	losing bool   // a sync has failed since: it never lasts
}

// New makes an empty disk.
func New(rng *rand.Rand) *Disk {
	return &Disk{names: map[string]*inode{}, kept: map[string]*inode{}, rng: rng}
}

// op counts an operation; it fails if everything has ended, or ends now.
func (d *Disk) op() error {
	if d.crashed {
		return ErrCrashed
	}
	d.Ops++
	if d.Ops == d.CrashAt {
		d.crashed = true
		return ErrCrashed
	}
	return nil
}

// Crashed reports that everything has ended.
func (d *Disk) Crashed() bool { return d.crashed }

func (d *Disk) fault() Fault {
	if d.FailAt > 0 && d.Ops >= d.FailAt && d.Ops < d.FailAt+max(d.FailFor, 1) {
		return d.Fault
	}
	return None
}

func (d *Disk) name(change func(names map[string]*inode)) {
	change(d.names)
	d.changes = append(d.changes, change)
}

// Create makes a new empty file.
func (d *Disk) Create(name string) (kvserver.File, error) {
	err := d.op()
	if err == nil && (d.fault() == Failed || d.fault() == Short) {
		err = syscall.ENOSPC
	}
	if err != nil {
		return nil, err
	}
	n := &inode{}
	d.name(func(names map[string]*inode) { names[name] = n })
	return &file{d, n}, nil
}

// Open opens a file.
func (d *Disk) Open(name string) (kvserver.File, error) {
	if err := d.op(); err != nil {
		return nil, err
	}
	n := d.names[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return &file{d, n}, nil
}

// Read reads a file.
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

// Rename gives a file another name.
func (d *Disk) Rename(from, to string) error {
	err := d.op()
	if err == nil && d.fault() == Failed {
		err = syscall.EIO
	}
	if err == nil && d.names[from] == nil {
		err = fs.ErrNotExist
	}
	if err == nil {
		d.name(func(names map[string]*inode) {
			if n := names[from]; n != nil {
				names[to] = n
				delete(names, from)
			}
		})
	}
	return err
}

// Remove deletes a file.
func (d *Disk) Remove(name string) error {
	err := d.op()
	if err == nil && d.fault() == Failed {
		err = syscall.EIO
	}
	if err == nil && d.names[name] == nil {
		err = fs.ErrNotExist
	}
	if err == nil {
		d.name(func(names map[string]*inode) { delete(names, name) })
	}
	return err
}

// List names the files.
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

// SyncDir makes the names last.
func (d *Disk) SyncDir() error {
	if err := d.op(); err != nil {
		return err
	}
	if d.fault() == NotKept {
		return syscall.EIO
	}
	for _, c := range d.changes {
		c(d.kept)
	}
	d.changes = nil
	return nil
}

type file struct {
	d *Disk
	n *inode
}

func (f *file) WriteAt(b []byte, at int64) (int, error) {
	if err := f.d.op(); err != nil {
		if f.d.Ops == f.d.CrashAt {
			f.put(b, at) // it was under way
		}
		return 0, err
	}
	switch f.d.fault() {
	case Short:
		n := len(b) / 2
		f.put(b[:n], at)
		return n, syscall.ENOSPC
	case Failed:
		return 0, syscall.EIO
	case Whole:
		f.put(b, at)
		return len(b), syscall.EIO
	}
	f.put(b, at)
	return len(b), nil
}

func (f *file) put(b []byte, at int64) {
	f.n.pending = append(f.n.pending, piece{at: at, data: slices.Clone(b)})
	f.n.data = apply(f.n.data, f.n.pending[len(f.n.pending)-1])
}

func apply(to []byte, p piece) []byte {
	if p.data == nil {
		if int64(len(to)) > p.at {
			return to[:p.at:p.at]
		}
		return to
	}
	end := int(p.at) + len(p.data)
	if end > len(to) {
		to = append(to, make([]byte, end-len(to))...)
	}
	copy(to[p.at:], p.data)
	return to
}

func (f *file) Truncate(size int64) error {
	if err := f.d.op(); err != nil {
		return err
	}
	f.n.pending = append(f.n.pending, piece{at: size})
	f.n.data = slices.Clone(apply(f.n.data, f.n.pending[len(f.n.pending)-1]))
	return nil
}

func (f *file) Sync() error {
	if err := f.d.op(); err != nil {
		return err
	}
	if f.d.fault() == NotKept {
		for i := range f.n.pending {
			f.n.pending[i].losing = f.n.pending[i].losing || f.d.rng.IntN(2) == 0
		}
		return syscall.EIO
	}
	for _, p := range f.n.pending {
		if !p.losing {
			f.n.kept = apply(f.n.kept, p)
		}
	}
	f.n.pending = slices.DeleteFunc(f.n.pending, func(p piece) bool { return !p.losing })
	return nil
}

func (f *file) Close() error { return nil }

// After is the disk as the next process finds it, once the machine has ended.
func (d *Disk) After(loss Loss) *Disk {
	next := New(d.rng)
	if loss == Process {
		next.names, next.kept, next.changes = d.names, d.kept, d.changes
		return next
	}
	names := map[string]*inode{}
	for k, v := range d.kept {
		names[k] = v
	}
	for _, c := range d.changes {
		if loss == Kept || loss == Random && d.rng.IntN(2) == 0 {
			c(names)
		}
	}
	for k, n := range names {
		data := slices.Clone(n.kept)
		pending := slices.Clone(n.pending)
		if loss == Random {
			d.rng.Shuffle(len(pending), func(i, j int) { pending[i], pending[j] = pending[j], pending[i] })
		}
		for _, p := range pending {
			if loss == All || p.losing {
				continue
			}
			data = d.keep(data, p, loss)
		}
		next.names[k] = &inode{data: data, kept: slices.Clone(data)}
	}
	for k, n := range next.names {
		next.kept[k] = n
	}
	return next
}

// keep keeps a write, or some of its sectors.
func (d *Disk) keep(data []byte, p piece, loss Loss) []byte {
	if loss == Kept || p.data == nil {
		if p.data == nil && loss == Random && d.rng.IntN(2) == 0 {
			return data
		}
		return apply(data, p)
	}
	for from := 0; from < len(p.data); {
		// Sectors of the file, not of the write.
		to := min(len(p.data), int((p.at+int64(from))/sector+1)*sector-int(p.at))
		if d.rng.IntN(3) > 0 {
			data = apply(data, piece{at: p.at + int64(from), data: p.data[from:to]})
		}
		from = to
	}
	return data
}

// Rot changes a byte that lasts, as damage does.
func (d *Disk) Rot(name string, at int) {
	n := d.names[name]
	n.data[at] ^= 0x55
	n.kept = slices.Clone(n.data)
}

// Size is that of a file.
func (d *Disk) Size(name string) int {
	if n := d.names[name]; n != nil {
		return len(n.data)
	}
	return 0
}

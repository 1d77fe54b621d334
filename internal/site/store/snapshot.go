package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"
	"time"

	"github.com/google/btree"
)

// A snapshot is a header and a row of blocks, each with its checksum; the last block is empty
// and counts the keys. It is written beside the old one and takes its name only once it lasts.
// The name is that of the segment with which the log goes on.
const (
	snapMagic  = "gullSNP1"
	snapHeader = 8 + 8 + 8 + 8 + 8 + 4 // magic, segment, next frame, revision, last lease, checksum
	blockBytes = 64 << 10
)

// View is the content at one moment. It does not change while commits go on.
type View struct {
	tree     *btree.BTreeG[*item]
	leases   []lease
	revision uint64
	granted  uint64
	segment  uint64 // the log goes on here
	next     uint64 // with this frame
}

// Freeze takes a view of the content. The tree is shared: whoever writes copies what it changes.
func (c *content) Freeze() *View {
	v := &View{tree: c.tree.Clone(), revision: c.revision, granted: c.granted}
	for _, l := range c.leases {
		v.leases = append(v.leases, lease{id: l.id, ttl: l.ttl})
	}
	slices.SortFunc(v.leases, func(a, b lease) int { return int(int64(a.id) - int64(b.id)) })
	return v
}

func (v *View) header() []byte {
	out := append([]byte(nil), snapMagic...)
	for _, n := range []uint64{v.segment, v.next, v.revision, v.granted} {
		out = binary.LittleEndian.AppendUint64(out, n)
	}
	return binary.LittleEndian.AppendUint32(out, crc32.Checksum(out, table()))
}

func appendBlock(out, block []byte) []byte {
	out = binary.LittleEndian.AppendUint32(out, uint32(len(block)))
	out = binary.LittleEndian.AppendUint32(out, crc32.Checksum(block, table()))
	return append(out, block...)
}

// Snapshot is one that is being written.
type Snapshot struct {
	files  Files
	view   *View
	file   File
	offset int64
	from   string // the last key that was written
	keys   uint64
	stage  int
}

func (s *Snapshot) name() string { return snapName(s.view.segment) }

func (s *Snapshot) put(b []byte) error {
	n, err := s.file.WriteAt(b, s.offset)
	s.offset += int64(n)
	return err
}

// Step writes the next block, or does what is next at the end; done is true once the snapshot
// counts. Whatever fails, the store goes on with what it had.
func (s *Snapshot) Step() (done bool, err error) {
	switch s.stage {
	case 0:
		if s.file, err = s.files.Create(s.name() + tempSuffix); err == nil {
			err = s.put(s.view.header())
		}
		if err == nil {
			err = s.put(appendBlock(nil, s.leases()))
		}
		s.stage++
	case 1:
		err = s.block()
	case 2:
		if err = s.file.Sync(); err == nil {
			err = s.file.Close()
			s.file = nil
		}
		s.stage++
	case 3:
		err = s.files.Rename(s.name()+tempSuffix, s.name())
		s.stage++
	case 4:
		err = s.files.SyncDir()
		done = true
	}
	if err != nil {
		return false, fmt.Errorf("write %s: %w", s.name(), err)
	}
	return done, nil
}

func (s *Snapshot) leases() []byte {
	out := binary.AppendUvarint(nil, uint64(len(s.view.leases)))
	for _, l := range s.view.leases {
		out = binary.AppendUvarint(out, l.id)
		out = binary.AppendUvarint(out, uint64(l.ttl.Milliseconds()))
	}
	return out
}

func (s *Snapshot) block() error {
	var block []byte
	s.view.tree.AscendGreaterOrEqual(&item{key: s.from}, func(it *item) bool {
		if s.keys > 0 && it.key == s.from {
			return true
		}
		block = appendText(block, []byte(it.key))
		block = appendText(block, it.value)
		block = binary.AppendUvarint(block, it.mark)
		block = binary.AppendUvarint(block, it.lease)
		s.from = it.key
		s.keys++
		return len(block) < blockBytes
	})
	if len(block) > 0 {
		return s.put(appendBlock(nil, block))
	}
	s.stage++
	end := binary.LittleEndian.AppendUint64(nil, s.keys)
	return s.put(append(appendBlock(nil, nil), appendBlock(nil, end)...))
}

// Abandon leaves nothing of a snapshot that has failed.
func (s *Snapshot) Abandon() error {
	if s.file != nil {
		s.file.Close()
	}
	return s.files.Remove(s.name() + tempSuffix)
}

// prune deletes what a whole snapshot covers.
func prune(files Files, segment uint64) error {
	names, err := files.List()
	if err != nil {
		return err
	}
	var first error
	for _, name := range names {
		log, isLog := numbered(name, logPrefix)
		snap, isSnap := numbered(name, snapPrefix)
		if isLog && log < segment || isSnap && snap < segment {
			if err := files.Remove(name); err != nil && first == nil {
				first = err
			}
		}
	}
	return first
}

// write writes the whole snapshot; stage, if given, is told of each new stage.
func (s *Snapshot) write(stage func(name string)) error {
	names := [...]string{"begun", "written", "synced", "renamed"}
	for told := 0; ; {
		done, err := s.Step()
		if done || err != nil {
			return err
		}
		for ; told < s.stage && stage != nil; told++ {
			stage(names[told])
		}
	}
}

var errBlock = errors.New("a block is damaged or missing")

// damage says where a file cannot be read.
type damage struct {
	file   string
	offset int64
	err    error
}

func (d *damage) Error() string { return fmt.Sprintf("%s at byte %d: %v", d.file, d.offset, d.err) }
func (d *damage) Unwrap() error { return d.err }

// readSnapshot reads a snapshot; it is whole or an error.
func readSnapshot(name string, raw []byte) (c *content, segment, next uint64, err error) {
	fail := func(offset int, err error) (*content, uint64, uint64, error) {
		return nil, 0, 0, &damage{name, int64(offset), err}
	}
	if len(raw) < snapHeader || string(raw[:8]) != snapMagic ||
		crc32.Checksum(raw[:snapHeader-4], table()) != binary.LittleEndian.Uint32(raw[snapHeader-4:]) {
		return fail(0, errors.New("no header of a snapshot"))
	}
	number := func(i int) uint64 { return binary.LittleEndian.Uint64(raw[8+8*i:]) }
	c = newContent()
	segment, next, c.revision, c.granted = number(0), number(1), number(2), number(3)
	c.floor = c.revision
	at := snapHeader
	keys := uint64(0)
	for i := 0; ; i++ {
		if len(raw) < at+8 {
			return fail(at, errBlock)
		}
		n, sum := int(binary.LittleEndian.Uint32(raw[at:])), binary.LittleEndian.Uint32(raw[at+4:])
		if n > len(raw)-at-8 || crc32.Checksum(raw[at+8:at+8+n], table()) != sum {
			return fail(at, errBlock)
		}
		block := raw[at+8 : at+8+n]
		start := at
		at += 8 + n
		if i == 0 {
			err = c.readLeases(block)
		} else if n == 0 {
			break
		} else {
			err = c.readItems(block, &keys)
		}
		if err != nil {
			return fail(start, err)
		}
	}
	if len(raw) != at+16 || binary.LittleEndian.Uint32(raw[at:]) != 8 || crc32.Checksum(raw[at+8:], table()) != binary.LittleEndian.Uint32(raw[at+4:]) || binary.LittleEndian.Uint64(raw[at+8:]) != keys {
		return fail(at, errBlock)
	}
	return c, segment, next, nil
}

func (c *content) readLeases(block []byte) error {
	r := &reader{b: block}
	for n := r.number(); n > 0 && r.err == nil; n-- {
		id, ttl := r.number(), r.number()
		granted := c.granted
		c.grant(id, time.Duration(ttl)*time.Millisecond, time.Time{}, nil)
		c.granted = granted
	}
	return r.err
}

func (c *content) readItems(block []byte, keys *uint64) error {
	r := &reader{b: block}
	for len(r.b) > 0 {
		ch := change{key: string(r.text()), value: append([]byte(nil), r.text()...)}
		mark, lease := r.number(), r.number()
		if r.err != nil {
			return r.err
		}
		c.put(newItem(ch.key, ch.value, mark, lease))
		*keys++
	}
	return nil
}
